#include <algorithm>
#include <iterator>
#include <utility>

#include "laurelhall/base/decision_log.h"
#include "leadership_p.h"

namespace laurelhall::dispatch {

using scheduling::Job;
using scheduling::TaskId;
using scheduling::Worker;

namespace {

constexpr const char* kStopReasonNames[] = {
    "done",        "cancelled",    "job-failed",        "worker-leaves",
    "maintenance", "stands-still", "start-not-answered"};
static_assert(std::size(kStopReasonNames) ==
              static_cast<size_t>(StopReason::kCount));

// A task counts as at work only if its worker listed it within this time. That
// is longer than a hold call to a busy worker takes while the leader's ticks
// are on time, and far shorter than the time after which a task counts as away.
// A leader whose ticks are late holds stops back: tasks that it has not seen
// lately may be away.
constexpr Millis kMaxListAge{1'800};
// A run whose progress has not changed for this time and for twice its estimate
// is stopped, and its task is started again elsewhere.
constexpr Millis kStallTimeout{2'500};
constexpr Millis kDoubtfulAfterStall{15'000};

StopReason ReasonForObsoleteRun(const Job& job) {
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
  return kStopReasonNames[static_cast<size_t>(reason)];
}

void Leadership::RequestStop(const RunKey& key,
                             RunTrack& track,
                             StopReason reason,
                             const std::optional<StepUnavailability>& others) {
  track.is_stop_requested = true;
  track.stop_reason = reason;
  m_runs_to_order.insert(key);
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

// Checked each time the order is sent. A lost order is sent again seconds
// later, and other tasks of the step may have gone down by then.
bool Leadership::IsStopStillAllowed(const Ledger& ledger,
                                    const RunKey& key,
                                    const RunTrack& track) const {
  const Job* job = ledger.FindJob(key.task.job);
  return track.stop_reason != StopReason::kMaintenance || job == nullptr ||
         job->is_over() || MayStopTask(ledger, key.task);
}

bool Leadership::IsStalled(const scheduling::StepSpec& step,
                           const RunTrack& track) const {
  if (!track.is_listed || track.percent >= 100 || step.is_gang ||
      step.is_best_effort || Now() - track.percent_since < kStallTimeout) {
    return false;
  }
  const auto link = m_links.find(track.worker);
  return link != m_links.end() &&
         link->second.last_listed - track.percent_since >=
             std::max<SteadyTime::duration>(kStallTimeout, 2 * step.estimate);
}

std::optional<StopReason> Leadership::StopReasonFor(
    const Ledger& ledger,
    const RunKey& key,
    const RunTrack& track) const {
  const Job* job = ledger.FindJob(key.task.job);
  if (job == nullptr) {
    return std::nullopt;
  }
  const size_t index = job->IndexOf(key.task);
  const scheduling::StepSpec& step = job->StepOf(index);
  if (job->is_over() || job->tasks[index].is_done) {
    return ReasonForObsoleteRun(*job);
  }
  const Worker* worker = ledger.FindWorker(track.worker);
  if (worker != nullptr && worker->info.is_draining && step.is_persistent) {
    return StopReason::kWorkerLeaves;
  }
  return IsStalled(step, track) ? std::optional(StopReason::kStalled)
                                : std::nullopt;
}

void Leadership::CheckRunsOfJob(const Ledger& ledger, const std::string& id) {
  const Job* job = ledger.FindJob(id);
  if (job == nullptr || job->active_runs == 0) {
    return;
  }
  for (size_t index = 0; index < job->tasks.size(); ++index) {
    for (const auto& active : job->tasks[index].active) {
      m_runs_to_check.insert({job->IdOf(index), active.run});
    }
  }
}

void Leadership::CheckRunsOfDrainingWorker(const Ledger& ledger,
                                           const Worker& worker) {
  if (!worker.info.is_draining || worker.persistent_runs == 0) {
    return;
  }
  for (const TaskId& id : worker.active) {
    const Job& job = *ledger.FindJob(id.job);
    for (const auto& active : job.tasks[job.IndexOf(id)].active) {
      m_runs_to_check.insert({id, active.run});
    }
  }
}

// A run is a reason to look at it only when something happens: its job or task
// ends, its worker begins to drain, it is tracked anew, or its worker lists it
// without progress.
void Leadership::RequestDueStops(const Ledger& ledger) {
  const bool are_known = ledger.FollowJobsWithRunsToStop(
      m_stops_version,
      [&](const std::string& id) { CheckRunsOfJob(ledger, id); });
  if (!are_known) {
    for (const auto& [key, track] : m_runs) {
      m_runs_to_check.insert(key);
    }
  }
  m_counters.run_visits += m_runs_to_check.size();
  for (const RunKey& key : std::exchange(m_runs_to_check, {})) {
    const auto found = m_runs.find(key);
    if (found == m_runs.end() || found->second.is_stop_requested) {
      continue;  // TrackOf() has it checked once it is tracked.
    }
    RunTrack& track = found->second;
    const auto reason = StopReasonFor(ledger, key, track);
    if (!reason) {
      continue;
    }
    if (*reason == StopReason::kStalled) {
      m_links.at(track.worker).doubtful_until = Now() + kDoubtfulAfterStall;
    }
    RequestStop(key, track, *reason, OthersUnavailable(ledger, key.task));
  }
}

// Whether a run of the task is known to be at work and is not to be stopped.
bool Leadership::IsAtWork(const Ledger& ledger, const TaskId& task) const {
  const Job& job = *ledger.FindJob(task.job);
  const auto& runs = job.tasks[job.IndexOf(task)].active;
  return std::any_of(runs.begin(), runs.end(), [&](const auto& active) {
    const auto track = m_runs.find(RunRef{task, active.run});
    const auto link = m_links.find(active.worker);
    // The runs that a silent worker listed last may have ended since.
    const bool is_fresh = link != m_links.end() && !link->second.is_silent &&
                          Now() - link->second.last_listed < kMaxListAge;
    // The list of a worker that has restarted doesn't have it, though its end
    // may not be committed yet.
    const bool is_in_last_list =
        is_fresh && track != m_runs.end() &&
        track->second.work_until >= link->second.last_listed;
    return is_in_last_list && track->second.is_listed &&
           track->second.percent >= 100 && !track->second.is_stop_requested;
  });
}

std::optional<StepUnavailability> Leadership::OthersUnavailable(
    const Ledger& ledger,
    const TaskId& task) const {
  const Job& job = *ledger.FindJob(task.job);
  const scheduling::StepSpec& step = job.spec.steps[task.step];
  if (!step.is_persistent) {
    return std::nullopt;
  }
  StepUnavailability others{0, step.may_miss};
  TaskId other = task;
  for (other.index = 0; other.index < step.count; ++other.index) {
    const bool is_other = other.index != task.index;
    others.away += is_other && !IsAtWork(ledger, other) ? 1 : 0;
  }
  return others;
}

bool Leadership::MayStopTask(const Ledger& ledger, const TaskId& task) const {
  const std::optional<StepUnavailability> others =
      OthersUnavailable(ledger, task);
  return !others || others->may_miss == 0 || others->away < others->may_miss;
}

}  // namespace laurelhall::dispatch
