#include <algorithm>
#include <array>

#include "planning_p.h"

// Takes hosts through a drain that is under way, whoever asked for it.
namespace laurelhall::planning {
namespace {

using model::ActState;
using model::DrainReason;
using model::Host;
using model::HostEvent;
using model::HostState;

/// What a host may do on behalf of its act.
enum class Permission {
  kGo,
  kHold,  ///< Stay as it is: the act pauses.
  kBack,  ///< The act no longer wants it.
};

Permission PermissionOf(ActState state) {
  switch (state) {
    case ActState::kRunning:
    case ActState::kRollingBack:
      return Permission::kGo;
    case ActState::kPaused:
      return Permission::kHold;
    default:
      return Permission::kBack;
  }
}

template <typename Act>
const Act* FindAct(const std::unordered_map<std::string_view, const Act*>& now,
                   const std::map<std::string, Act>& committed,
                   const std::string& id) {
  const auto changed = now.find(id);
  if (changed != now.end()) {
    return changed->second;
  }
  const auto found = committed.find(id);
  return found == committed.end() ? nullptr : &found->second;
}

const model::Rollout* RolloutOf(const PlanContext& context,
                                const ActStates& acts,
                                const Host& host) {
  return FindAct(acts.rollouts, context.fleet().rollouts, host.act);
}

Permission ActPermission(const PlanContext& context,
                         const ActStates& acts,
                         const Host& host) {
  // Without an act it is an operator's own drain, or a move.
  if (host.act.empty() || host.drain_reason == DrainReason::kMove) {
    return Permission::kGo;
  }
  if (host.drain_reason == DrainReason::kRollout) {
    const model::Rollout* rollout = RolloutOf(context, acts, host);
    return rollout == nullptr ? Permission::kBack
                              : PermissionOf(rollout->state);
  }
  const model::Wave* wave =
      FindAct(acts.waves, context.fleet().waves, host.act);
  return wave == nullptr ? Permission::kBack : PermissionOf(wave->state);
}

std::string TargetVersion(const model::Rollout& rollout) {
  return rollout.state == ActState::kRollingBack ? rollout.previous_version
                                                 : rollout.version;
}

/// Returns true if the host goes back to its pool instead of on.
bool GiveBackIfUnwanted(PlanContext& context,
                        const ActStates& acts,
                        const Host& host) {
  if (!IsPlannedReason(host.drain_reason)) {
    return false;
  }
  if (ActPermission(context, acts, host) == Permission::kBack) {
    context.Act(host, HostEvent::kCancelDrain,
                host.act + " doesn't run any more");
    return true;
  }
  const bool has_no_pool = host.drain_reason == DrainReason::kMove &&
                           !context.fleet().pools.count(host.move_to);
  if (has_no_pool) {
    context.Act(host, HostEvent::kCancelDrain,
                "pool " + host.move_to + " doesn't exist");
    return true;
  }
  return false;
}

void AdvanceDraining(PlanContext& context,
                     const ActStates& acts,
                     const Host& host) {
  if (GiveBackIfUnwanted(context, acts, host)) {
    return;
  }
  if (context.IsEmpty(host)) {
    context.Act(host, HostEvent::kConfirmEmpty, "nothing is in flight");
    return;
  }
  if (context.IsPastDrainBound(host)) {
    const Millis bound = context.view().PoolOf(host).drain_timeout;
    context.Act(host, HostEvent::kCancelDrain,
                "not empty after " + FormatDuration(bound) +
                    ": the stop is postponed, nothing in flight is cut off");
  }
}

void StopHost(PlanContext& context, const ActStates& acts, const Host& host) {
  std::string version;
  if (host.drain_reason == DrainReason::kRollout) {
    version = TargetVersion(*RolloutOf(context, acts, host));
    if (host.version == version) {
      context.Act(host, HostEvent::kCancelDrain, "has the version already");
      return;
    }
  }
  context.Act(host, HostEvent::kStopForMaintenance, "drained and confirmed",
              version);
}

void AdvanceDrained(PlanContext& context,
                    const ActStates& acts,
                    const Host& host) {
  if (GiveBackIfUnwanted(context, acts, host)) {
    return;
  }
  if (context.IsPastDrainBound(host)) {
    context.Act(host, HostEvent::kCancelDrain, "held drained for too long");
    return;
  }
  // Everything is looked at again here: the host was confirmed empty on an
  // older view, and the budget was taken before whatever failed since.
  const bool may_go = context.IsEmpty(host) &&
                      ActPermission(context, acts, host) == Permission::kGo &&
                      context.budget().IsHostWhole(host.id);
  switch (host.drain_reason) {
    case DrainReason::kMaintenance:
    case DrainReason::kRollout:
      if (may_go) {
        StopHost(context, acts, host);
      }
      return;
    case DrainReason::kMove:
      if (may_go) {
        context.Act(host, HostEvent::kMovePool, "joins " + host.move_to);
      }
      return;
    case DrainReason::kRetire:
      if (context.IsEmpty(host)) {
        context.Act(host, HostEvent::kRetire, "drained to be retired");
      }
      return;
    default:
      return;  // An operator's: stays drained until the operator acts.
  }
}

void AdvanceReturning(PlanContext& context,
                      const ActStates&,
                      const Host& host) {
  const Millis warm_up = context.view().PoolOf(host).warm_up;
  if (context.now() - host.state_since >= warm_up) {
    context.Act(host, HostEvent::kWarm,
                "warm after " + FormatDuration(warm_up));
  }
}

void Stay(PlanContext&, const ActStates&, const Host&) {}

using Advance = void (*)(PlanContext&, const ActStates&, const Host&);

constexpr std::array<Advance, static_cast<size_t>(HostState::kCount)>
    kAdvanceByState = {
        &Stay,              // kAnnounced
        &Stay,              // kInPool
        &AdvanceDraining,   // kDraining
        &AdvanceDrained,    // kDrained
        &Stay,              // kInMaintenance
        &AdvanceReturning,  // kReturning
        &Stay,              // kFailed
        &Stay,              // kRetired
};

/// Newest first: the least has been spent on them.
bool IsNewer(const Host* a, const Host* b) {
  return a->state_since != b->state_since ? a->state_since > b->state_since
                                          : a->id < b->id;
}

void GiveBackForBudgets(PlanContext& context,
                        const std::vector<const Host*>& hosts) {
  std::vector<const Host*> planned;
  for (const Host* host : hosts) {
    const bool is_needed = IsLeaving(*host) &&
                           IsPlannedReason(host->drain_reason) &&
                           !context.budget().IsHostWhole(host->id);
    if (is_needed) {
      planned.push_back(host);
    }
  }
  if (planned.empty()) {
    return;
  }
  std::sort(planned.begin(), planned.end(), IsNewer);
  budget::Budget once_back = context.budget();
  for (const Host* host : planned) {
    if (!once_back.IsHostWhole(host->id)) {
      context.Act(*host, HostEvent::kCancelDrain, "its service is short");
      once_back.GiveBack(host->id);
    }
  }
}

}  // namespace

void AdvanceHosts(PlanContext& context,
                  const ActStates& acts,
                  std::string_view only_act) {
  std::vector<const Host*> hosts;
  if (only_act.empty()) {
    for (const auto& [id, host] : context.fleet().hosts) {
      if (IsLeaving(host) || host.state == HostState::kReturning) {
        hosts.push_back(&host);
      }
    }
  } else {
    hosts = context.view().ActHosts(only_act);
  }
  GiveBackForBudgets(context, hosts);
  for (const Host* host : hosts) {
    if (!context.IsTouched(*host)) {
      kAdvanceByState[static_cast<size_t>(host->state)](context, acts, *host);
    }
  }
}

}  // namespace laurelhall::planning
