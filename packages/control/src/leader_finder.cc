#include "leader_finder_p.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace laurelhall::control {

namespace {

constexpr Millis kFirstBackoff{10};
constexpr Millis kLongestBackoff{200};
// A follower may name a leader that is dead: not asked again for so long.
constexpr Millis kDistrustHint = std::chrono::seconds(1);

}  // namespace

LeaderFinder::LeaderFinder(std::vector<std::string> addresses)
    : m_addresses(std::move(addresses)) {
  if (m_addresses.empty()) {
    throw std::invalid_argument("no control address is given");
  }
  m_current = m_addresses.front();
}

void LeaderFinder::Led(const std::string& address) {
  m_current = address;
  m_backoff = Millis(0);
  m_ready_at = SteadyTime();
  m_failed_at.erase(address);
  m_doubted.clear();
}

void LeaderFinder::Heard(const std::string& address) {
  m_failed_at.erase(address);
  if (address == m_doubted) {
    m_current = std::exchange(m_doubted, {});
    m_ready_at = SteadyTime();
  }
}

void LeaderFinder::DoesNotLead(const std::string& address,
                               const std::string& hint,
                               SteadyTime now) {
  if (address != m_current) {
    return;  // Another call has moved on already.
  }
  const auto failed = m_failed_at.find(hint);
  const bool is_distrusted =
      failed != m_failed_at.end() && now - failed->second < kDistrustHint;
  m_doubted = is_distrusted ? hint : std::string();
  if (hint.empty() || hint == address || is_distrusted) {
    Rotate(now);
    return;
  }
  m_current = hint;
}

void LeaderFinder::Failed(const std::string& address, SteadyTime now) {
  m_failed_at[address] = now;
  if (address == m_current) {
    Rotate(now);
  }
}

void LeaderFinder::Learn(const std::vector<std::string>& addresses) {
  for (const std::string& address : addresses) {
    if (std::find(m_addresses.begin(), m_addresses.end(), address) ==
        m_addresses.end()) {
      m_addresses.push_back(address);
    }
  }
}

void LeaderFinder::Rotate(SteadyTime now) {
  m_current = m_addresses[m_next++ % m_addresses.size()];
  m_backoff = std::clamp(m_backoff * 2, kFirstBackoff, kLongestBackoff);
  m_ready_at = now + m_backoff;
}

}  // namespace laurelhall::control
