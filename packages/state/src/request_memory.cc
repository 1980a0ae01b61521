#include "request_memory_p.h"

#include <utility>

namespace laurelhall::state {

RequestMemory::RequestMemory(const MachineLimits& limits) : m_limits(limits) {}

RequestMemory::Key RequestMemory::KeyOf(const OperatorRequest& request) {
  return {request.operator_name, request.request_id};
}

std::optional<RememberedRequest> RequestMemory::Find(
    const OperatorRequest& request) const {
  const std::lock_guard lock(m_mutex);
  const auto found = m_requests.find(KeyOf(request));
  return found == m_requests.end() ? std::nullopt
                                   : std::optional(found->second);
}

void RequestMemory::Remember(RememberedRequest remembered) {
  if (remembered.request.request_id.empty()) {
    return;
  }
  const std::lock_guard lock(m_mutex);
  const Key key = KeyOf(remembered.request);
  if (m_requests.emplace(key, std::move(remembered)).second) {
    m_order.push_back(key);
  }
  if (m_order.size() > m_limits.max_remembered_requests) {
    ForgetOldest();
  }
}

void RequestMemory::ForgetOldest() {
  m_requests.erase(m_order.front());
  m_order.pop_front();
}

void RequestMemory::Expire(WallTime now) {
  const std::lock_guard lock(m_mutex);
  while (!m_order.empty()) {
    const RememberedRequest& oldest = m_requests.at(m_order.front());
    if (oldest.request.at + m_limits.remember_requests > now) {
      return;
    }
    ForgetOldest();
  }
}

void RequestMemory::Save(SnapshotWriter& writer) const {
  const std::lock_guard lock(m_mutex);
  for (const Key& key : m_order) {
    writer.Add("request", m_requests.at(key));
  }
}

}  // namespace laurelhall::state
