#include <algorithm>
#include <array>

#include "planning_p.h"

// Plans the next transitions of hosts that are draining, drained or returning,
// whether planning or an operator started the drain.
namespace laurelhall::planning {
namespace {

using model::ActState;
using model::DrainReason;
using model::Host;
using model::HostEvent;
using model::HostState;

/// What the state of an act (wave, roll-out or move) allows its hosts to do.
enum class Permission {
  kProceed,
  kWait,      ///< Keep the host's state: the act is paused.
  kGiveBack,  ///< Cancel the host's drain: the act has ended.
};

Permission PermissionInState(ActState state) {
  switch (state) {
    case ActState::kRunning:
    case ActState::kRollingBack:
      return Permission::kProceed;
    case ActState::kPaused:
      return Permission::kWait;
    default:
      return Permission::kGiveBack;
  }
}

/// Finds a wave or roll-out: as updated in this step, else as committed.
template <typename WaveOrRollout>
const WaveOrRollout* FindAct(
    const std::unordered_map<std::string_view, const WaveOrRollout*>& updated,
    const std::map<std::string, WaveOrRollout>& committed,
    const std::string& id) {
  const auto changed = updated.find(id);
  if (changed != updated.end()) {
    return changed->second;
  }
  const auto found = committed.find(id);
  return found == committed.end() ? nullptr : &found->second;
}

const model::Rollout* RolloutOf(const PlanContext& context,
                                const UpdatedActs& acts,
                                const Host& host) {
  return FindAct(acts.rollouts, context.fleet().rollouts, host.act);
}

Permission ActPermission(const PlanContext& context,
                         const UpdatedActs& acts,
                         const Host& host) {
  // A drain without an act was started by an operator. Moves have no state of
  // their own that could pause them.
  if (host.act.empty() || host.drain_reason == DrainReason::kMove) {
    return Permission::kProceed;
  }
  if (host.drain_reason == DrainReason::kRollout) {
    const model::Rollout* rollout = RolloutOf(context, acts, host);
    return rollout == nullptr ? Permission::kGiveBack
                              : PermissionInState(rollout->state);
  }
  const model::Wave* wave =
      FindAct(acts.waves, context.fleet().waves, host.act);
  return wave == nullptr ? Permission::kGiveBack
                         : PermissionInState(wave->state);
}

std::string TargetVersion(const model::Rollout& rollout) {
  return rollout.state == ActState::kRollingBack ? rollout.previous_version
                                                 : rollout.version;
}

/// Cancels a planned drain whose act has ended or whose target pool is gone.
/// Returns whether it did.
bool CancelDrainIfObsolete(PlanContext& context,
                           const UpdatedActs& acts,
                           const Host& host) {
  if (!IsPlannerDrainReason(host.drain_reason)) {
    return false;
  }
  if (ActPermission(context, acts, host) == Permission::kGiveBack) {
    context.PlanTransition(host, HostEvent::kCancelDrain,
                           host.act + " doesn't run any more");
    return true;
  }
  const bool lacks_target_pool = host.drain_reason == DrainReason::kMove &&
                                 !context.fleet().pools.count(host.move_to);
  if (lacks_target_pool) {
    context.PlanTransition(host, HostEvent::kCancelDrain,
                           "pool " + host.move_to + " doesn't exist");
    return true;
  }
  return false;
}

void AdvanceDraining(PlanContext& context,
                     const UpdatedActs& acts,
                     const Host& host) {
  if (CancelDrainIfObsolete(context, acts, host)) {
    return;
  }
  if (context.IsEmpty(host)) {
    context.PlanTransition(host, HostEvent::kConfirmEmpty,
                           "nothing is in flight");
    return;
  }
  if (context.IsPastDrainTimeout(host)) {
    const Millis bound = context.view().PoolOf(host).drain_timeout;
    context.PlanTransition(
        host, HostEvent::kCancelDrain,
        "not empty after " + FormatDuration(bound) +
            ": the stop is postponed, nothing in flight is cut off");
  }
}

void StopHost(PlanContext& context, const UpdatedActs& acts, const Host& host) {
  std::string version;
  if (host.drain_reason == DrainReason::kRollout) {
    version = TargetVersion(*RolloutOf(context, acts, host));
    if (host.version == version) {
      context.PlanTransition(host, HostEvent::kCancelDrain,
                             "has the version already");
      return;
    }
  }
  context.PlanTransition(host, HostEvent::kStopForMaintenance,
                         "drained and confirmed", version);
}

void AdvanceDrained(PlanContext& context,
                    const UpdatedActs& acts,
                    const Host& host) {
  if (CancelDrainIfObsolete(context, acts, host)) {
    return;
  }
  if (context.IsPastDrainTimeout(host)) {
    context.PlanTransition(host, HostEvent::kCancelDrain,
                           "held drained for too long");
    return;
  }
  // Checks everything again: the host was confirmed empty on an older view, and
  // other hosts may have failed since the budget was taken.
  const bool can_proceed =
      context.IsEmpty(host) &&
      ActPermission(context, acts, host) == Permission::kProceed &&
      context.budget().IsHostWhole(host.id);
  switch (host.drain_reason) {
    case DrainReason::kMaintenance:
    case DrainReason::kRollout:
      if (can_proceed) {
        StopHost(context, acts, host);
      }
      return;
    case DrainReason::kMove:
      if (can_proceed) {
        context.PlanTransition(host, HostEvent::kMovePool,
                               "joins " + host.move_to);
      }
      return;
    case DrainReason::kRetire:
      if (context.IsEmpty(host)) {
        context.PlanTransition(host, HostEvent::kRetire,
                               "drained to be retired");
      }
      return;
    default:
      return;  // An operator's drain: it lasts until the operator ends it.
  }
}

void AdvanceReturning(PlanContext& context,
                      const UpdatedActs&,
                      const Host& host) {
  const Millis warm_up = context.view().PoolOf(host).warm_up;
  if (context.now() - host.state_since >= warm_up) {
    context.PlanTransition(host, HostEvent::kWarm,
                           "warm after " + FormatDuration(warm_up));
  }
}

void DoNothing(PlanContext&, const UpdatedActs&, const Host&) {}

using AdvanceFunction = void (*)(PlanContext&, const UpdatedActs&, const Host&);

constexpr std::array<AdvanceFunction, static_cast<size_t>(HostState::kCount)>
    kAdvanceByState = {
        &DoNothing,         // kAnnounced
        &DoNothing,         // kInPool
        &AdvanceDraining,   // kDraining
        &AdvanceDrained,    // kDrained
        &DoNothing,         // kInMaintenance
        &AdvanceReturning,  // kReturning
        &DoNothing,         // kFailed
        &DoNothing,         // kRetired
};

/// Orders hosts by the time of their last transition, the latest first:
/// cancelling the latest drains discards the least progress.
bool StartedLater(const Host* a, const Host* b) {
  return a->state_since != b->state_since ? a->state_since > b->state_since
                                          : a->id < b->id;
}

/// Cancels planned drains until the budgets of their hosts would be whole.
void CancelDrainsForBudgets(PlanContext& context,
                            const std::vector<const Host*>& hosts) {
  std::vector<const Host*> cancellable;
  for (const Host* host : hosts) {
    const bool is_cancellable = IsDrainingOrDrained(*host) &&
                                IsPlannerDrainReason(host->drain_reason) &&
                                !context.budget().IsHostWhole(host->id);
    if (is_cancellable) {
      cancellable.push_back(host);
    }
  }
  if (cancellable.empty()) {
    return;
  }
  std::sort(cancellable.begin(), cancellable.end(), StartedLater);
  budget::Budget budget_after_cancels = context.budget();
  for (const Host* host : cancellable) {
    if (!budget_after_cancels.IsHostWhole(host->id)) {
      context.PlanTransition(*host, HostEvent::kCancelDrain,
                             "its service is short");
      budget_after_cancels.GiveBack(host->id);
    }
  }
}

}  // namespace

void AdvanceHosts(PlanContext& context,
                  const UpdatedActs& acts,
                  std::string_view only_act) {
  std::vector<const Host*> hosts;
  if (only_act.empty()) {
    for (const auto& [id, host] : context.fleet().hosts) {
      if (IsDrainingOrDrained(host) || host.state == HostState::kReturning) {
        hosts.push_back(&host);
      }
    }
  } else {
    hosts = context.view().ActHosts(only_act);
  }
  CancelDrainsForBudgets(context, hosts);
  for (const Host* host : hosts) {
    if (!context.HasPlannedAction(*host)) {
      kAdvanceByState[static_cast<size_t>(host->state)](context, acts, *host);
    }
  }
}

}  // namespace laurelhall::planning
