#pragma once

#include <map>
#include <mutex>
#include <string>
#include <utility>

namespace laurelhall::operations {

/// What the leader last saw in flight on each host, for explanations.
/// Thread-safe.
class InFlightBoard {
 public:
  void Set(std::map<std::string, int> in_flight) {
    const std::lock_guard lock(m_mutex);
    m_in_flight = std::move(in_flight);
  }

  std::map<std::string, int> Get() const {
    const std::lock_guard lock(m_mutex);
    return m_in_flight;
  }

 private:
  mutable std::mutex m_mutex;  // Guards the map.
  std::map<std::string, int> m_in_flight;
};

}  // namespace laurelhall::operations
