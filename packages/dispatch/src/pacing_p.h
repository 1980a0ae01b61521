#pragma once

#include <cstdint>
#include <map>

#include "laurelhall/dispatch/ports.h"

namespace laurelhall::dispatch {

/// Controls how much of their full speed the filling tasks of one worker may
/// use beside tasks that serve requests.
///
/// @remarks Pure; not thread-safe. A feedback control, since interference
///   between tasks changes within seconds: the speed is halved when a tail
///   latency comes near its target, and raised in small steps while it is well
///   below.
class Pacer {
 public:
  /// @param worst_tail_share The highest ratio of a tail latency to its target.
  void Observe(double worst_tail_share, SteadyTime now);

  /// Allowed percentage of full speed; 0 means paused.
  uint32_t percent() const { return m_percent; }

  /// The percentage last sent, by task and run. New tasks work at 100.
  std::map<std::pair<scheduling::TaskId, uint32_t>, uint32_t> told;

 private:
  uint32_t m_percent = 100;
  SteadyTime m_changed_at{};
};

}  // namespace laurelhall::dispatch
