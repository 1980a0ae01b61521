#include "laurelhall/scheduling/crash.h"

#include <algorithm>
#include <array>

namespace laurelhall::scheduling {

namespace {

// A run that has worked for so long does not crash the workers that start it.
constexpr Millis kWorksWell{5'000};
// Whatever else was there: more starts would cost a worker each.
constexpr size_t kMostCrashes = 4;

constexpr std::array<const char*, static_cast<size_t>(LossScope::kCount)>
    kScopeNames{"worker", "several", "rack", "unknown"};

bool IsNew(const LostRun& run) {
  return run.seen_at_work < kSeenAtWork;
}

}  // namespace

const char* LossScopeName(LossScope scope) {
  return kScopeNames.at(static_cast<size_t>(scope));
}

std::vector<CrashSuspect> JudgeCrash(const std::vector<LostRun>& runs,
                                     LossScope scope) {
  std::vector<LostRun> started;
  std::copy_if(runs.begin(), runs.end(), std::back_inserter(started),
               [](const LostRun& run) { return run.may_have_started; });
  // A worker goes down soon after a culprit's start: what has been at work for
  // a while is suspected only where nothing newer is there.
  const bool is_any_new = std::any_of(started.begin(), started.end(), IsNew);
  std::vector<CrashSuspect> suspects;
  for (const LostRun& run : started) {
    Suspicion suspicion = Suspicion::kBystander;
    if (run.seen_at_work >= kWorksWell) {
      suspicion = Suspicion::kCleared;
    } else if (scope == LossScope::kWorker && started.size() == 1 &&
               IsNew(run)) {
      suspicion = Suspicion::kSole;
    } else if (scope < LossScope::kRack && (IsNew(run) || !is_any_new)) {
      suspicion = Suspicion::kSuspect;
    }
    suspects.push_back({run.task, suspicion});
  }
  return suspects;
}

bool IsGivenUp(size_t crashes, bool was_blamed, Suspicion last) {
  return crashes >= kMostCrashes || (was_blamed && last == Suspicion::kSole);
}

bool MayBeOneMoment(const std::vector<LossTime>& losses) {
  SteadyTime earliest = SteadyTime::min();
  SteadyTime latest = SteadyTime::max();
  for (const LossTime& loss : losses) {
    earliest = std::max(earliest, loss.alive_until);
    latest = std::min(latest, loss.lost_by);
  }
  return earliest <= latest;
}

}  // namespace laurelhall::scheduling
