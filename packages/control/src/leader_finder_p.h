#pragma once

#include <map>
#include <string>
#include <vector>

#include "laurelhall/base/time.h"

namespace laurelhall::control {

/// Which control host to ask: the leader if known, else one after the other.
///
/// @remarks Pure; not thread-safe.
class LeaderFinder {
 public:
  /// @param addresses At least one.
  explicit LeaderFinder(std::vector<std::string> addresses);

  /// Control hosts that are known besides; those of the start stay.
  void Learn(const std::vector<std::string>& addresses);

  /// The host to ask now.
  const std::string& current() const { return m_current; }

  /// When it may be asked again.
  SteadyTime ready_at() const { return m_ready_at; }

  /// The host answered as the leader.
  void Led(const std::string& address);

  /// The host answered that it does not lead; `hint` may be empty.
  void DoesNotLead(const std::string& address,
                   const std::string& hint,
                   SteadyTime now);

  /// The host answered, whatever it said: it is trusted again, and asked next
  /// if it was named as the leader while it was distrusted.
  void Heard(const std::string& address);

  /// Named as the leader but distrusted, as it failed lately; else empty.
  const std::string& doubted() const { return m_doubted; }

  /// The host did not answer.
  void Failed(const std::string& address, SteadyTime now);

 private:
  void Rotate(SteadyTime now);

  std::vector<std::string> m_addresses;
  std::string m_current;
  std::string m_doubted;
  size_t m_next = 0;
  SteadyTime m_ready_at{};
  Millis m_backoff{0};
  std::map<std::string, SteadyTime> m_failed_at;
};

}  // namespace laurelhall::control
