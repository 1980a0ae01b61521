#pragma once

#include <algorithm>
#include <cstdint>

#include "laurelhall/base/time.h"

namespace laurelhall::dispatch {

/// A sum of times that are reported together as their mean and maximum.
struct TimeSummary {
  uint64_t count = 0;
  Millis sum{0};
  Millis longest{0};

  void Add(Millis time) {
    ++count;
    sum += time;
    longest = std::max(longest, time);
  }

  /// Zero if there was none.
  Millis Mean() const {
    return count == 0 ? Millis(0) : sum / static_cast<int64_t>(count);
  }
};

/// Where the time between the end of a task and the next start in its room
/// went, since the last report.
struct PathTimes {
  TimeSummary batch_wait;  ///< From a batch's first record to its commit call.
  TimeSummary commit;      ///< From there to the outcome.
  TimeSummary start;       ///< From a start's order to its worker's answer.
  uint64_t records = 0;    ///< In these batches.
  uint64_t largest_batch = 0;
  uint64_t starts_on_time = 0;  ///< Planned, of jobs that can be on time.
  uint64_t starts_late = 0;     ///< Planned, of jobs that can't.
};

}  // namespace laurelhall::dispatch
