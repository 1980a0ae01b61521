#pragma once

#include <vector>

#include "laurelhall/scheduling/record.h"

// Determines which task made a worker crash. A crash has one cause, while many
// unrelated tasks may run on the worker; the loss of a rack or a site is not
// caused by a task. When a worker crashes with a single task on it, that task
// counts as the cause. Suspects are therefore started on workers without other
// runs, until they have been observed running.
namespace laurelhall::scheduling {

/// A run that was lost with its worker, as observed by the leader.
struct LostRun {
  TaskId task;
  bool may_have_started = true;
  /// Run time that was observed. Zero: its worker never listed it.
  Millis observed_run_time{0};
  /// Upper bound of the time from its start to the loss.
  Millis max_time_since_start{Millis::max()};
  bool has_started = false;  ///< Its worker confirmed the start.
  bool is_persistent = false;
  bool is_proven = false;  ///< See ActiveRun; also by an earlier leader.
  bool is_in_gang = false;
  /// Its estimate ran out after the worker's last contact and before the loss:
  /// it may have ended there without a report.
  bool may_have_ended = false;
};

/// A task is given up after so many workers crashed while it ran, even if other
/// tasks ran there too: each further start might cost another worker.
constexpr size_t kMaxCrashesPerTask = 5;

/// A run of a suspect that has been observed for this long no longer keeps
/// other tasks off its worker.
constexpr Millis kMinObservedRunTime{300};

/// A task with a run that has been observed for this long does not crash the
/// workers on which it starts.
constexpr Millis kProvenRunTime{5'000};

/// What was lost together with a worker.
enum class LossScope : uint8_t {
  kWorker,
  kSeveral,  ///< Other workers too: its tasks may not be the cause.
  kRack,     ///< Its whole rack.
  kUnknown,  ///< It was lost before the current leader took over.
  kCount,
};

/// Lower-case name for logs. Thread-safe.
const char* LossScopeName(LossScope scope);

/// Assesses each run that may have started on a crashed worker. The runs of one
/// gang count as a single one, as they start together and are given up
/// together. Thread-safe.
std::vector<CrashSuspect> AssessCrash(const std::vector<LostRun>& runs,
                                      LossScope scope);

/// The score that a crash adds to Task::blame. Thread-safe.
uint32_t BlameScore(Suspicion suspicion);

/// Whether a task is to be given up. Thread-safe.
///
/// @param crashes Number of workers that crashed while it ran.
/// @param blame Sum of BlameScore() over these crashes.
/// @param last Suspicion of the last crash.
/// @param is_persistent A persistent task is given up by the number of crashes
///   only, because its users lose it for good.
bool ShouldGiveUp(size_t crashes,
                  uint32_t blame,
                  Suspicion last,
                  bool is_persistent);

/// The interval in which a worker was lost: after `alive_until` and before
/// `lost_before`.
struct LossTime {
  SteadyTime alive_until{};
  SteadyTime lost_before{};
};

/// Whether all losses may have happened at the same time. Thread-safe.
bool MayBeSimultaneous(const std::vector<LossTime>& losses);

}  // namespace laurelhall::scheduling
