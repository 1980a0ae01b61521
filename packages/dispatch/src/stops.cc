#include <algorithm>
#include <iterator>

#include "laurelhall/base/decision_log.h"
#include "leadership_p.h"

namespace laurelhall::dispatch {

using scheduling::Job;
using scheduling::TaskId;
using scheduling::Worker;

namespace {

constexpr const char* kReasonNames[] = {
    "done",        "cancelled",    "job-failed",        "worker-leaves",
    "maintenance", "stands-still", "start-not-answered"};
static_assert(std::size(kReasonNames) ==
              static_cast<size_t>(StopReason::kCount));

// Longer than a busy worker's look takes while the leader is in time, far
// shorter than the time after which a task counts as away. A leader that is
// behind waits: what it has not seen lately may be away.
constexpr Millis kFreshList{1'800};
// A task whose progress stands still for so long, and twice its estimate, is
// started again elsewhere.
constexpr Millis kStalled{2'500};
constexpr Millis kDoubtfulAfterStall{15'000};

StopReason WhyNeedless(const Job& job) {
  switch (job.state) {
    case scheduling::JobState::kCancelled:
      return StopReason::kCancelled;
    case scheduling::JobState::kFailed:
      return StopReason::kJobFailed;
    default:
      return StopReason::kDone;
  }
}

}  // namespace

const char* StopReasonName(StopReason reason) {
  return kReasonNames[static_cast<size_t>(reason)];
}

void Leadership::WantStop(const RunKey& key,
                          RunTrack& track,
                          StopReason reason,
                          const std::optional<StepAway>& others) {
  track.is_stop_wanted = true;
  track.stop_reason = reason;
  DecisionLine line("dispatch", "stop",
                    others ? LineClass::kDecision : LineClass::kTask);
  line.With("task", FormatTaskId(key.task))
      .With("run", key.run)
      .With("worker", track.worker)
      .With("percent", track.percent)
      .With("why", StopReasonName(reason));
  if (others) {
    line.With("others_away", others->away).With("may_miss", others->may_miss);
  }
  DecisionLog::Get().Write(line);
}

// Asked each time that the order goes out: one that was lost is sent again
// seconds later, when others may have gone down.
bool Leadership::IsStillToStop(const Ledger& ledger,
                               const RunKey& key,
                               const RunTrack& track) const {
  const Job* job = ledger.FindJob(key.task.job);
  return track.stop_reason != StopReason::kMaintenance || job == nullptr ||
         job->is_over() || MayTakeAway(ledger, key.task);
}

void Leadership::WantStops(const Ledger& ledger) {
  for (auto& [key, track] : m_runs) {
    if (track.is_stop_wanted) {
      continue;
    }
    const Job* found = ledger.FindJob(key.task.job);
    if (found == nullptr) {
      continue;
    }
    const Job& job = *found;
    const size_t index = job.IndexOf(key.task);
    const Worker* worker = ledger.FindWorker(track.worker);
    const bool is_needless = job.is_over() || job.tasks[index].is_done;
    const bool is_leaving = worker != nullptr && worker->info.is_draining &&
                            job.StepOf(index).is_persistent;
    if (is_needless || is_leaving) {
      WantStop(key, track,
               is_needless ? WhyNeedless(job) : StopReason::kWorkerLeaves,
               OthersAway(ledger, key.task));
    }
  }
}

void Leadership::StopStalled(const Ledger& ledger) {
  const SteadyTime now = Now();
  for (auto& [key, track] : m_runs) {
    if (track.is_stop_wanted || !track.is_listed || track.percent >= 100) {
      continue;
    }
    const Job* job = ledger.FindJob(key.task.job);
    if (job == nullptr) {
      continue;
    }
    const scheduling::StepSpec& step = job->spec.steps[key.task.step];
    const auto link = m_links.find(track.worker);
    const bool is_seen =
        link != m_links.end() &&
        link->second.last_listed - track.percent_since >=
            std::max<SteadyTime::duration>(kStalled, 2 * step.estimate);
    if (!is_seen || step.is_gang || step.is_filling) {
      continue;
    }
    link->second.doubtful_until = now + kDoubtfulAfterStall;
    WantStop(key, track, StopReason::kStandsStill,
             OthersAway(ledger, key.task));
  }
}

// Whether a task is seen at work and is to stay.
bool Leadership::IsAtWork(const Ledger& ledger, const TaskId& task) const {
  const Job& job = *ledger.FindJob(task.job);
  const auto& runs = job.tasks[job.IndexOf(task)].active;
  return std::any_of(runs.begin(), runs.end(), [&](const auto& active) {
    const auto track = m_runs.find({task, active.run});
    const auto link = m_links.find(active.worker);
    // What a silent worker listed last may be over long since.
    const bool is_fresh = link != m_links.end() && !link->second.is_silent &&
                          Now() - link->second.last_listed < kFreshList;
    return is_fresh && track != m_runs.end() && track->second.is_listed &&
           track->second.percent >= 100 && !track->second.is_stop_wanted;
  });
}

std::optional<StepAway> Leadership::OthersAway(const Ledger& ledger,
                                               const TaskId& task) const {
  const Job& job = *ledger.FindJob(task.job);
  const scheduling::StepSpec& step = job.spec.steps[task.step];
  if (!step.is_persistent) {
    return std::nullopt;
  }
  StepAway others{0, step.may_miss};
  TaskId other = task;
  for (other.index = 0; other.index < step.count; ++other.index) {
    const bool is_other = other.index != task.index;
    others.away += is_other && !IsAtWork(ledger, other) ? 1 : 0;
  }
  return others;
}

bool Leadership::MayTakeAway(const Ledger& ledger, const TaskId& task) const {
  const std::optional<StepAway> others = OthersAway(ledger, task);
  return !others || others->may_miss == 0 || others->away < others->may_miss;
}

}  // namespace laurelhall::dispatch
