#pragma once

#include <vector>

#include "laurelhall/scheduling/record.h"

// Which task is to blame for a worker that went down. A crash has one culprit
// and many bystanders; a rack or a site that is lost has no culprit. A worker
// that goes down with one task alone convicts it, so suspects are started where
// nothing else runs until they have been seen at work.
namespace laurelhall::scheduling {

/// A run that went down with its worker, as its leader saw it.
struct LostRun {
  TaskId task;
  bool may_have_started = true;
  Millis seen_at_work{0};  ///< Zero: its worker never listed it.
};

/// From then on a run no longer keeps other tasks off its worker.
constexpr Millis kSeenAtWork{500};

/// What else was lost with a worker.
enum class LossScope : uint8_t {
  kWorker,
  kSeveral,  ///< Others at the same moment: it may not be its tasks' fault.
  kRack,     ///< All of its rack.
  kUnknown,  ///< It was lost before its leader began to lead.
  kCount,
};

/// A lower-case word for logs. Thread-safe.
const char* LossScopeName(LossScope scope);

/// What a worker's end says of each run that may have started there.
/// Thread-safe.
std::vector<CrashSuspect> JudgeCrash(const std::vector<LostRun>& runs,
                                     LossScope scope);

/// Whether a task is given up after so many workers went down under it, the
/// last one as `last` says.
///
/// @param was_blamed It was suspected for one of those before. Thread-safe.
bool IsGivenUp(size_t crashes, bool was_blamed, Suspicion last);

/// When a worker was lost: after the one time, before the other.
struct LossTime {
  SteadyTime alive_until{};
  SteadyTime lost_by{};
};

/// Whether all of these may have been lost at one moment. Thread-safe.
bool MayBeOneMoment(const std::vector<LossTime>& losses);

}  // namespace laurelhall::scheduling
