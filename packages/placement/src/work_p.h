#pragma once

#include <cmath>

#include "placement_p.h"

// The work that a run has done, computed from its committed times.
namespace laurelhall::placement {

// Run time at full speed since the run started. The current throttle is applied
// to the whole run, so that the result is too low rather than too high.
inline Millis WorkSinceStart(const model::Job& job, WallTime now) {
  if (!IsRunning(job) || now <= job.started) {
    return Millis(0);
  }
  const auto elapsed = static_cast<double>((now - job.started).count());
  return Millis(std::llround(elapsed * job.throttle));
}

// Work of the current run and the work kept from earlier runs (checkpoints).
inline Millis WorkDone(const model::Job& job, WallTime now) {
  return job.work_done + WorkSinceStart(job, now);
}

inline Millis ProcessorTime(const model::Job& job, Millis run_time) {
  const double processors = std::max(1.0, job.reserved.processors);
  return Millis(
      std::llround(static_cast<double>(run_time.count()) * processors));
}

}  // namespace laurelhall::placement
