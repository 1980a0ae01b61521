#include <algorithm>

#include "step_p.h"

namespace laurelhall::placement {
namespace {

using model::HostState;
using model::Job;

// On a draining host, a run that is expected to end within this time is left to
// end on its own.
constexpr Millis kMaxRemainingWithoutCheckpoint{60'000};

JobAction MakeAction(const Job& job, JobActionKind kind, std::string reason) {
  JobAction action;
  action.job = job.id;
  action.expected_lease = job.lease;
  action.kind = kind;
  action.host = job.host;
  action.reason = std::move(reason);
  return action;
}

bool KeepsRuns(HostState state) {
  return state == HostState::kInPool || state == HostState::kDraining;
}

// The reason to requeue a run whose worker is lost, or empty. A lost worker
// ends its runs when its leases expire; before that no other worker may start
// them.
std::string RequeueReason(const StepContext& context, const Run& run) {
  const Job& job = *run.job;
  const model::Host& host = *context.ledger.hosts[run.host].host;
  const Millis lease = context.init.lease_timeout;
  if (!KeepsRuns(host.state) && context.now >= host.state_since + lease) {
    return "its worker " + host.id + " is out of service";
  }
  if (job.is_stopping && context.now >= job.state_since + lease) {
    return "its worker " + host.id + " did not confirm the stop";
  }
  return {};
}

void DrainHost(StepContext& context, const HostSlot& slot) {
  const model::Host& host = *slot.host;
  const auto pool = context.fleet.pools.find(host.pool);
  const Millis timeout = pool == context.fleet.pools.end()
                             ? model::Pool{}.drain_timeout
                             : pool->second.drain_timeout;
  const bool is_over = context.now >= host.state_since + timeout;
  for (const int index : slot.runs) {
    const Run& run = context.ledger.runs[index];
    if (run.is_releasing) {
      continue;
    }
    if (is_over) {
      CheckpointOrStop(context, index,
                       "host " + host.id + " has drained for too long");
    } else if (run.job->can_checkpoint && RemainingRunTime(context, run) >
                                              kMaxRemainingWithoutCheckpoint) {
      Checkpoint(context, index, "host " + host.id + " drains");
    }
  }
}

// Number of hosts in service in the job's pool that could run it. If there are
// few, the job is failed after fewer attempts.
int CountEligibleHosts(const Ledger& ledger, const Job& job) {
  const int pool = ledger.FindPool(job.pool);
  if (pool < 0) {
    return 0;
  }
  int count = 0;
  for (const int index : ledger.pools[pool].hosts) {
    const model::Host& host = *ledger.hosts[index].host;
    count +=
        host.state == HostState::kInPool && Fits(job.declared, host.capacity);
  }
  return count;
}

}  // namespace

void Checkpoint(StepContext& context, int run, std::string reason) {
  const Job& job = *context.ledger.runs[run].job;
  context.actions.push_back(
      MakeAction(job, JobActionKind::kCheckpoint, std::move(reason)));
  context.ledger.Release(run);
}

void Stop(StepContext& context, int run, std::string reason) {
  const Run& target = context.ledger.runs[run];
  context.actions.push_back(
      MakeAction(*target.job, JobActionKind::kStop, std::move(reason)));
  if (!target.is_releasing) {
    context.ledger.Release(run);
  }
}

void CheckpointOrStop(StepContext& context,
                      int run,
                      const std::string& reason) {
  if (context.ledger.runs[run].job->can_checkpoint) {
    Checkpoint(context, run, reason);
  } else {
    Stop(context, run, reason);
  }
}

void Throttle(StepContext& context,
              int run,
              double throttle,
              std::string reason) {
  JobAction action = MakeAction(*context.ledger.runs[run].job,
                                JobActionKind::kThrottle, std::move(reason));
  action.throttle = throttle;
  context.actions.push_back(std::move(action));
  context.ledger.Throttle(run, throttle);
}

void RequeueLostRuns(StepContext& context) {
  for (const Job* job : context.ledger.jobs_on_missing_hosts) {
    context.actions.push_back(MakeAction(
        *job, JobActionKind::kRequeue, "its worker " + job->host + " is gone"));
  }
  for (size_t i = 0; i < context.ledger.runs.size(); ++i) {
    const Run& run = context.ledger.runs[i];
    const HostState state = context.ledger.hosts[run.host].host->state;
    if ((!run.is_releasing && KeepsRuns(state)) || !IsRunning(*run.job)) {
      continue;
    }
    std::string reason = RequeueReason(context, run);
    if (reason.empty()) {
      continue;
    }
    context.actions.push_back(
        MakeAction(*run.job, JobActionKind::kRequeue, std::move(reason)));
    if (!run.is_releasing) {
      context.ledger.Release(static_cast<int>(i));
    }
  }
}

void FailExhaustedJobs(StepContext& context) {
  std::erase_if(context.ledger.queued_jobs, [&context](const Job* job) {
    if (job->failures == 0) {
      return false;
    }
    const int against =
        CountHealthyWorkersFailedOn(*job, context.evidence, context.now);
    const int enough =
        std::min(context.init.max_failed_workers,
                 std::max(1, CountEligibleHosts(context.ledger, *job)));
    if (against < enough && job->failures < context.init.max_failures) {
      return false;
    }
    context.actions.push_back(MakeAction(
        *job, JobActionKind::kFail,
        fmt::format("it failed {} times on {} workers that run other work; "
                    "last: {}",
                    job->failures, against, job->reason)));
    return true;
  });
}

void DrainHosts(StepContext& context) {
  for (const HostSlot& slot : context.ledger.hosts) {
    if (slot.host->state == HostState::kDraining && !slot.runs.empty()) {
      DrainHost(context, slot);
    }
  }
}

void StopSlowCheckpoints(StepContext& context) {
  for (size_t i = 0; i < context.ledger.runs.size(); ++i) {
    const Run& run = context.ledger.runs[i];
    const HostSlot& slot = context.ledger.hosts[run.host];
    if (!run.is_checkpointing || !KeepsRuns(slot.host->state)) {
      continue;
    }
    const Job& job = *run.job;
    const bool is_urgent = slot.has_urgent_claim;
    const Millis timeout = is_urgent ? context.init.urgent_checkpoint_timeout
                                     : context.init.checkpoint_timeout;
    if (context.now >= job.state_since + timeout) {
      Stop(context, static_cast<int>(i), "its checkpoint takes too long");
    }
  }
}

}  // namespace laurelhall::placement
