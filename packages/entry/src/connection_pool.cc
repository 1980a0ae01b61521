#include "connection_pool_p.h"

#include <utility>

namespace laurelhall::entry {

std::shared_ptr<net::HttpConnection> ConnectionPool::Take(
    const std::string& address) {
  Idle dropped;  // Let go of after the lock.
  const std::lock_guard lock(m_mutex);
  const auto found = m_idle.find(address);
  while (found != m_idle.end() && !found->second.empty()) {
    auto connection = std::move(found->second.back());
    found->second.pop_back();
    if (connection->is_reusable()) {
      return connection;
    }
    dropped.push_back(std::move(connection));
  }
  return nullptr;
}

void ConnectionPool::Give(const std::string& address,
                          std::shared_ptr<net::HttpConnection> connection) {
  if (connection == nullptr || !connection->is_reusable()) {
    return;
  }
  const std::lock_guard lock(m_mutex);
  m_idle[address].push_back(std::move(connection));
}

void ConnectionPool::Trim(const std::string& address, size_t most) {
  Idle dropped;  // Let go of after the lock.
  const std::lock_guard lock(m_mutex);
  const auto found = m_idle.find(address);
  if (found == m_idle.end()) {
    return;
  }
  while (found->second.size() > most) {
    dropped.push_back(std::move(found->second.back()));
    found->second.pop_back();
  }
  if (found->second.empty()) {
    m_idle.erase(found);
  }
}

}  // namespace laurelhall::entry
