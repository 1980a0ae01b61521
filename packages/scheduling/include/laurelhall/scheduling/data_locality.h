#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "laurelhall/scheduling/graph.h"

namespace laurelhall::scheduling {

inline constexpr double kDefaultRemoteDataFactor = 3;

/// How long a task waits at most for the rack of its data, or a gang for one
/// rack that takes all of it: as long as it would take longer elsewhere.
/// Thread-safe.
///
/// @param remote_data_factor How many times as long it takes elsewhere.
Millis LongestRackWait(const StepSpec& step, double remote_data_factor);

/// The work that waits for the racks of one service, in the order in which it
/// will be served.
///
/// @remarks Not thread-safe.
class RackQueues {
 public:
  /// Adds the processors of a worker to its rack.
  void AddWorker(const std::string& rack, int64_t millicores);

  /// Adds a task that waits for a rack.
  void AddTask(const std::string& rack, const StepSpec& step);

  /// Whether all that waits for a rack so far can run within a time: in any, if
  /// nothing waits.
  bool IsServedWithin(const std::string& rack, Millis time) const;

 private:
  struct RackQueue {
    int64_t millicores = 0;
    double work = 0;  // In millicore-milliseconds.
  };
  std::unordered_map<std::string, RackQueue> m_queues;  // By rack.
};

}  // namespace laurelhall::scheduling
