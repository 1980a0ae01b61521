#include <algorithm>
#include <tuple>

#include "step_p.h"

namespace laurelhall::placement {
namespace {

using model::Priority;
using model::Resources;

// After this many failed attempts to make room in a pool, none are made in the
// rest of the step.
constexpr int kMaxFailuresPerPool = 64;

// The job that needs room, and what entitles it to preempt runs.
struct Claimant {
  const QueuedJob& queued;
  bool is_urgent = false;
  bool is_guaranteed = false;
};

// Cost of ending a run; fields are compared in this order.
struct VictimCost {
  bool is_guaranteed = false;  // Within another team's guarantee.
  int urgency = 0;             // 1 for batch.
  Millis work_lost{0};
  int run = 0;

  friend bool operator<(const VictimCost& a, const VictimCost& b) {
    return std::tie(a.is_guaranteed, a.urgency, a.work_lost, a.run) <
           std::tie(b.is_guaranteed, b.urgency, b.work_lost, b.run);
  }
};

// Cost of making room on one host; fields are compared in this order.
struct RoomCost {
  bool takes_guaranteed = false;
  bool ends_runs = false;  // Otherwise throttling suffices.
  Millis work_lost{0};
  size_t victims = 0;

  friend bool operator<(const RoomCost& a, const RoomCost& b) {
    return std::tie(a.takes_guaranteed, a.ends_runs, a.work_lost, a.victims) <
           std::tie(b.takes_guaranteed, b.ends_runs, b.work_lost, b.victims);
  }
};

struct RoomPlan {
  int host = -1;
  RoomCost cost;
  std::vector<int> victims;
};

// Whether a job within its team's guarantee still waits for borrowed runs to
// end on their own, before runs that cannot checkpoint are stopped for it.
bool WaitsForBorrowers(const StepContext& context, const QueuedJob& queued) {
  const Millis max_wait = context.init.reclaim_timeout;
  return context.now < queued.waiting_since + max_wait &&
         context.now + max_wait < queued.latest_start;
}

// Urgent work within its team's guarantee may preempt any less urgent run;
// urgent work that borrows, only less urgent runs that are borrowed or of its
// own team. Other work within the guarantee may preempt borrowed runs of other
// teams, and less urgent ones of its own.
bool CanPreempt(StepContext& context, const Claimant& claimant, int index) {
  Ledger& ledger = context.ledger;
  const Run& run = ledger.runs[index];
  if (run.is_releasing) {
    return false;
  }
  const bool is_lower =
      PriorityRank(*run.job) > PriorityRank(*claimant.queued.job);
  const bool is_own = run.team == claimant.queued.team;
  ledger.MarkBorrowed(ledger.teams[run.team]);
  if (claimant.is_urgent) {
    return is_lower && (claimant.is_guaranteed || is_own || run.is_borrowed);
  }
  const bool loses_work = !run.job->can_checkpoint;
  return run.is_borrowed && (is_lower || !is_own) &&
         !(loses_work && WaitsForBorrowers(context, claimant.queued));
}

Millis WorkLost(const StepContext& context, const model::Job& job) {
  return job.can_checkpoint
             ? Millis(0)
             : ProcessorTime(job, WorkSinceStart(job, context.now));
}

VictimCost CostOf(const StepContext& context,
                  const Claimant& claimant,
                  int index) {
  const Run& run = context.ledger.runs[index];
  const bool is_unprotected = run.is_borrowed ||
                              run.team == claimant.queued.team ||
                              context.fleet.quotas.empty();
  return {!is_unprotected,
          static_cast<int>(kPriorityCount) -
              static_cast<int>(PriorityRank(*run.job)),
          WorkLost(context, *run.job), index};
}

double ThrottleGain(const StepContext& context, const Run& run) {
  const double share = std::max(0.0, run.throttle - context.init.min_throttle);
  return run.job->reserved.processors * share;
}

// Runs on a host that the claimant may preempt, cheapest first.
std::vector<VictimCost> FindVictims(StepContext& context,
                                    const Claimant& claimant,
                                    const HostSlot& slot) {
  std::vector<VictimCost> victims;
  for (const int index : slot.runs) {
    if (CanPreempt(context, claimant, index)) {
      victims.push_back(CostOf(context, claimant, index));
    }
  }
  std::sort(victims.begin(), victims.end());
  return victims;
}

std::optional<RoomPlan> PlanThrottle(const StepContext& context,
                                     const std::vector<VictimCost>& victims,
                                     const HostSlot& slot,
                                     const Resources& size) {
  Resources room = slot.available();
  RoomPlan plan;
  for (const VictimCost& victim : victims) {
    if (Fits(size, room)) {
      break;
    }
    room.processors += ThrottleGain(context, context.ledger.runs[victim.run]);
    plan.victims.push_back(victim.run);
    plan.cost.takes_guaranteed |= victim.is_guaranteed;
  }
  if (!Fits(size, room)) {
    return std::nullopt;
  }
  plan.cost.victims = plan.victims.size();
  return plan;
}

// Selects the cheapest runs until there is room. Then drops, starting with the
// most expensive, those that turn out not to be needed for it.
std::optional<RoomPlan> PlanEnding(const StepContext& context,
                                   const std::vector<VictimCost>& victims,
                                   const HostSlot& slot,
                                   const Resources& size) {
  const std::vector<Run>& runs = context.ledger.runs;
  Resources room = slot.expected();
  std::vector<VictimCost> taken;
  for (const VictimCost& victim : victims) {
    if (Fits(size, room)) {
      break;
    }
    room = room + runs[victim.run].held;
    taken.push_back(victim);
  }
  if (!Fits(size, room)) {
    return std::nullopt;
  }
  RoomPlan plan;
  plan.cost.ends_runs = true;
  for (auto victim = taken.rbegin(); victim != taken.rend(); ++victim) {
    const Resources remaining_room = room - runs[victim->run].held;
    if (Fits(size, remaining_room)) {
      room = remaining_room;
      continue;
    }
    plan.victims.push_back(victim->run);
    plan.cost.takes_guaranteed |= victim->is_guaranteed;
    plan.cost.work_lost += victim->work_lost;
  }
  plan.cost.victims = plan.victims.size();
  return plan;
}

std::optional<RoomPlan> PlanForHost(StepContext& context,
                                    const Claimant& claimant,
                                    const HostSlot& slot,
                                    const Resources& size) {
  const std::vector<VictimCost> victims = FindVictims(context, claimant, slot);
  if (victims.empty()) {
    return std::nullopt;
  }
  if (claimant.is_urgent) {
    auto plan = PlanThrottle(context, victims, slot, size);
    if (plan.has_value()) {
      return plan;
    }
  }
  return PlanEnding(context, victims, slot, size);
}

void Claim(StepContext& context,
           int host,
           const Claimant& claimant,
           const Resources& size) {
  HostSlot& slot = context.ledger.hosts[host];
  slot.claimed = slot.claimed + size;
  slot.has_urgent_claim |= claimant.is_urgent;
  TeamUsage& team = context.ledger.teams[claimant.queued.team];
  Resources& use = team.usage_by_rank[PriorityRank(*claimant.queued.job)];
  use = use + size;
}

// The first host that will have room once runs have ended that this step or an
// earlier one told to end.
int FindHostWithExpectedRoom(const StepContext& context,
                             const QueuedJob& queued) {
  for (const int index : context.ledger.pools[queued.pool].hosts) {
    const HostSlot& slot = context.ledger.hosts[index];
    if (IsEligibleHost(slot, queued) &&
        Fits(context.ledger.SizeOn(slot, *queued.job, queued.size),
             slot.expected())) {
      return index;
    }
  }
  return -1;
}

RoomPlan FindPlan(StepContext& context, const Claimant& claimant) {
  RoomPlan best;
  const QueuedJob& queued = claimant.queued;
  for (const int index : context.ledger.pools[queued.pool].hosts) {
    const HostSlot& slot = context.ledger.hosts[index];
    if (!IsEligibleHost(slot, queued)) {
      continue;
    }
    const Resources size =
        context.ledger.SizeOn(slot, *queued.job, queued.size);
    auto plan = PlanForHost(context, claimant, slot, size);
    if (plan.has_value() && (best.host < 0 || plan->cost < best.cost)) {
      best = std::move(*plan);
      best.host = index;
    }
  }
  return best;
}

void ThrottleFor(StepContext& context,
                 const RoomPlan& plan,
                 const Resources& size,
                 const std::string& reason) {
  const HostSlot& slot = context.ledger.hosts[plan.host];
  for (const int index : plan.victims) {
    const Run& run = context.ledger.runs[index];
    const double reserved = run.job->reserved.processors;
    const double missing = size.processors - slot.available().processors;
    if (missing <= 0 || reserved <= 0) {
      continue;
    }
    const double throttle =
        std::max(context.init.min_throttle, run.throttle - missing / reserved);
    Throttle(context, index, throttle, reason);
  }
}

// Whether a checkpoint that fails would make an urgent job start too late. Then
// the runs are stopped at once, e.g. in a second attempt, after a worker did
// not answer in the first.
bool MustStopWithoutCheckpoint(const StepContext& context,
                               const Claimant& claimant) {
  const PlacerInit& init = context.init;
  const WallTime bound =
      claimant.queued.waiting_since + init.max_urgent_start_delay;
  const WallTime failed_checkpoint_end =
      context.now + init.urgent_checkpoint_timeout + init.stop_timeout;
  return claimant.is_urgent && context.now < bound &&
         failed_checkpoint_end > bound;
}

bool IsKnownToFail(const PoolState& pool, const Claimant& claimant) {
  const QueuedJob& queued = claimant.queued;
  return std::any_of(
      pool.blocked_preemptions.begin(), pool.blocked_preemptions.end(),
      [&](const BlockedPreemption& blocked) {
        return blocked.team == queued.team &&
               blocked.rank == PriorityRank(*queued.job) &&
               blocked.is_guaranteed == claimant.is_guaranteed &&
               Fits(blocked.size.declared, queued.job->declared) &&
               Fits(blocked.size.size, queued.size);
      });
}

void NoteFailure(PoolState& pool, const Claimant& claimant) {
  const QueuedJob& queued = claimant.queued;
  ++pool.preempt_failures;
  if (queued.job->failed_on.empty()) {
    pool.blocked_preemptions.push_back({{queued.job->declared, queued.size},
                                        queued.team,
                                        PriorityRank(*queued.job),
                                        claimant.is_guaranteed});
  }
}

}  // namespace

Room MakeRoom(StepContext& context,
              const QueuedJob& queued,
              bool is_guaranteed) {
  const Claimant claimant{queued, queued.job->priority == Priority::kUrgent,
                          is_guaranteed};
  const int expected = FindHostWithExpectedRoom(context, queued);
  if (expected >= 0) {
    Claim(context, expected, claimant,
          context.ledger.SizeOn(context.ledger.hosts[expected], *queued.job,
                                queued.size));
    return {RoomResult::kWaiting, expected};
  }
  PoolState& pool = context.ledger.pools[queued.pool];
  if (pool.preempt_failures >= kMaxFailuresPerPool ||
      IsKnownToFail(pool, claimant)) {
    return {};
  }
  const RoomPlan plan = FindPlan(context, claimant);
  if (plan.host < 0) {
    NoteFailure(pool, claimant);
    return {};
  }
  const Resources size = context.ledger.SizeOn(context.ledger.hosts[plan.host],
                                               *queued.job, queued.size);
  const std::string reason =
      (claimant.is_urgent ? "urgent job " : "its team's quota for job ") +
      queued.job->id;
  if (!plan.cost.ends_runs) {
    ThrottleFor(context, plan, size, reason);
    return {RoomResult::kAvailableNow, plan.host};
  }
  const bool must_stop = MustStopWithoutCheckpoint(context, claimant);
  for (const int victim : plan.victims) {
    if (must_stop) {
      Stop(context, victim, reason);
    } else {
      CheckpointOrStop(context, victim, reason);
    }
  }
  Claim(context, plan.host, claimant, size);
  return {RoomResult::kWaiting, plan.host};
}

bool MakeQuotaRoom(StepContext& context, const QueuedJob& queued) {
  TeamUsage& team = context.ledger.teams[queued.team];
  const Claimant claimant{queued, true, true};
  std::vector<VictimCost> victims;
  for (const int index : team.runs) {
    const Run& run = context.ledger.runs[index];
    if (!run.is_releasing &&
        PriorityRank(*run.job) > PriorityRank(*queued.job)) {
      victims.push_back(CostOf(context, claimant, index));
    }
  }
  std::sort(victims.begin(), victims.end());
  for (const VictimCost& victim : victims) {
    if (context.ledger.MayBorrow(team, queued.size)) {
      break;
    }
    CheckpointOrStop(context, victim.run,
                     "its team may not borrow, and job " + queued.job->id +
                         " goes before it");
  }
  return context.ledger.MayBorrow(team, queued.size);
}

}  // namespace laurelhall::placement
