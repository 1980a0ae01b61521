#include "laurelhall/scheduling/crash.h"

#include <algorithm>
#include <array>

namespace laurelhall::scheduling {

namespace {

// A worker that crashes with a single task may do so by chance. This is
// unlikely within so short a time of the task's start.
constexpr Millis kPromptCrashTime{250};
// By Suspicion.
constexpr std::array<uint32_t, static_cast<size_t>(Suspicion::kCount)>
    kBlameScores{0, 0, 1, 2, 3, 0};
constexpr uint32_t kMinBlameToGiveUp = 4;

constexpr std::array<const char*, static_cast<size_t>(LossScope::kCount)>
    kScopeNames{"worker", "several", "rack", "unknown"};

bool IsNew(const LostRun& run) {
  return run.observed_run_time < kMinObservedRunTime;
}

// Whether two runs are the same one, or members of one gang.
bool AreTogether(const LostRun& a, const LostRun& b) {
  TaskId same_step = b.task;
  same_step.index = a.task.index;
  return a.task == b.task ||
         (a.is_in_gang && b.is_in_gang && a.task == same_step);
}

}  // namespace

const char* LossScopeName(LossScope scope) {
  return kScopeNames.at(static_cast<size_t>(scope));
}

std::vector<CrashSuspect> AssessCrash(const std::vector<LostRun>& runs,
                                      LossScope scope) {
  std::vector<LostRun> started;
  std::copy_if(runs.begin(), runs.end(), std::back_inserter(started),
               [](const LostRun& run) { return run.may_have_started; });
  // A worker crashes soon after the start of the task that causes it. Runs that
  // were already observed for a while are suspected only if no run is newer.
  const auto newest = std::find_if(
      started.begin(), started.end(),
      [](const LostRun& run) { return run.has_started && IsNew(run); });
  const bool has_new_run = newest != started.end();
  const auto is_with_newest = [&](const LostRun& run) {
    return AreTogether(run, *newest);
  };
  const bool is_alone =
      has_new_run &&
      std::all_of(started.begin(), started.end(), is_with_newest);
  // Runs that were already observed do not explain a loss right after the start
  // of another one.
  const bool is_only_one_new =
      has_new_run &&
      std::all_of(started.begin(), started.end(), [&](const LostRun& run) {
        return !IsNew(run) || is_with_newest(run);
      });
  std::vector<CrashSuspect> suspects;
  for (const LostRun& run : started) {
    Suspicion suspicion = Suspicion::kBystander;
    if (run.is_proven || run.observed_run_time >= kProvenRunTime) {
      suspicion = Suspicion::kCleared;
    } else if (run.is_persistent && !IsNew(run) && has_new_run) {
      // A persistent run is present at the start of every other run: the new
      // runs explain the loss.
      suspicion = Suspicion::kExcused;
    } else if (!run.has_started || run.may_have_ended) {
      suspicion = Suspicion::kBystander;
    } else if (scope == LossScope::kWorker && is_only_one_new && IsNew(run) &&
               run.max_time_since_start < kPromptCrashTime) {
      suspicion = Suspicion::kPrompt;
    } else if (scope == LossScope::kWorker && is_alone && IsNew(run)) {
      suspicion = Suspicion::kSole;
    } else if (scope < LossScope::kRack && (IsNew(run) || !has_new_run)) {
      suspicion = Suspicion::kSuspect;
    }
    suspects.push_back({run.task, suspicion});
  }
  return suspects;
}

uint32_t BlameScore(Suspicion suspicion) {
  return kBlameScores.at(static_cast<size_t>(suspicion));
}

bool ShouldGiveUp(size_t crashes,
                  uint32_t blame,
                  Suspicion last,
                  bool is_persistent) {
  const bool is_blamed_enough =
      !is_persistent && blame >= kMinBlameToGiveUp && last >= Suspicion::kSole;
  return crashes >= kMaxCrashesPerTask || is_blamed_enough;
}

bool MayBeSimultaneous(const std::vector<LossTime>& losses) {
  SteadyTime earliest = SteadyTime::min();
  SteadyTime latest = SteadyTime::max();
  for (const LossTime& loss : losses) {
    earliest = std::max(earliest, loss.alive_until);
    latest = std::min(latest, loss.lost_before);
  }
  return earliest <= latest;
}

}  // namespace laurelhall::scheduling
