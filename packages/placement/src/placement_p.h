#pragma once

#include <fmt/format.h>

#include <algorithm>
#include <string>

#include "laurelhall/model/fleet.h"

// Arithmetic on resources and predicates on job states.
namespace laurelhall::placement {

// Tolerance for the rounding errors of sums of doubles.
inline constexpr double kResourceTolerance = 1e-6;

inline bool Fits(const model::Resources& need, const model::Resources& room) {
  return need.processors <= room.processors + kResourceTolerance &&
         need.memory_gb <= room.memory_gb + kResourceTolerance &&
         need.accelerators <= room.accelerators;
}

inline model::Resources Max(const model::Resources& a,
                            const model::Resources& b) {
  return {std::max(a.processors, b.processors),
          std::max(a.memory_gb, b.memory_gb),
          std::max(a.accelerators, b.accelerators)};
}

inline model::Resources Min(const model::Resources& a,
                            const model::Resources& b) {
  return {std::min(a.processors, b.processors),
          std::min(a.memory_gb, b.memory_gb),
          std::min(a.accelerators, b.accelerators)};
}

inline model::Resources operator+(const model::Resources& a,
                                  const model::Resources& b) {
  return {a.processors + b.processors, a.memory_gb + b.memory_gb,
          a.accelerators + b.accelerators};
}

inline model::Resources operator-(const model::Resources& a,
                                  const model::Resources& b) {
  return {a.processors - b.processors, a.memory_gb - b.memory_gb,
          a.accelerators - b.accelerators};
}

// The largest share that `part` takes of `whole` in any one resource.
inline double DominantShare(const model::Resources& part,
                            const model::Resources& whole) {
  double share = 0;
  if (whole.processors > 0) {
    share = std::max(share, part.processors / whole.processors);
  }
  if (whole.memory_gb > 0) {
    share = std::max(share, part.memory_gb / whole.memory_gb);
  }
  if (whole.accelerators > 0) {
    share = std::max(share, static_cast<double>(part.accelerators) /
                                static_cast<double>(whole.accelerators));
  }
  return share;
}

inline std::string Describe(const model::Resources& resources) {
  return fmt::format("{:.4g} processors, {:.4g} GB and {} accelerators",
                     resources.processors, resources.memory_gb,
                     resources.accelerators);
}

inline bool IsRunning(const model::Job& job) {
  return job.state == model::JobState::kRunning ||
         job.state == model::JobState::kCheckpointing;
}

// Whether the worker was told to end the run and has not confirmed yet.
inline bool IsReleasing(const model::Job& job) {
  return job.state == model::JobState::kCheckpointing || job.is_stopping;
}

}  // namespace laurelhall::placement
