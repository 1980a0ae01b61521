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
  Millis seen_at_work{0};       ///< Zero: its worker never listed it.
  Millis lived{Millis::max()};  ///< From its start to the loss, at most.
  bool has_started = false;     ///< Its worker said so.
  bool is_persistent = false;
  bool is_proven = false;  ///< Had worked for long, whoever saw it.
};

/// A task under which so many workers went down is given up, whatever else was
/// there: each more start would cost another one.
constexpr size_t kMostCrashes = 5;

/// From then on a run no longer keeps other tasks off its worker.
constexpr Millis kSeenAtWork{300};

/// A run that has worked for so long does not crash the workers that start it.
constexpr Millis kWorksWell{5'000};

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

/// How much a crash speaks against a task. Thread-safe.
uint32_t BlameOf(Suspicion suspicion);

/// Whether a task is given up after so many workers went down under it.
///
/// @param blame Of all of these together.
/// @param last Of the last one.
/// @param is_persistent One that lasts is given up by their number alone: its
///   users lose it for good. Thread-safe.
bool IsGivenUp(size_t crashes,
               uint32_t blame,
               Suspicion last,
               bool is_persistent);

/// When a worker was lost: after the one time, before the other.
struct LossTime {
  SteadyTime alive_until{};
  SteadyTime lost_by{};
};

/// Whether all of these may have been lost at one moment. Thread-safe.
bool MayBeOneMoment(const std::vector<LossTime>& losses);

}  // namespace laurelhall::scheduling
