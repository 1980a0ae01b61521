#pragma once

#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "laurelhall/planning/plan.h"

namespace laurelhall::planning {

/// A rack or availability zone of which more than half the hosts, and at least
/// PlanningPolicy::domain_down_hosts, have failed.
struct DownDomain {
  std::string name;
  int hosts = 0;
  int failed = 0;
  WallTime last_failure{};
  std::set<std::string_view> pools;  ///< Pools of the failed hosts.
};

/// Index of a fleet's hosts by pool and by act (the wave, roll-out or move
/// that they are drained for), and of the failure domains that are down. Refers
/// to the fleet, which must outlive it.
class FleetView {
 public:
  FleetView(const model::Fleet& fleet, const PlanningPolicy& policy);

  const model::Fleet& fleet() const { return m_fleet; }
  /// Returns the pool's hosts without the announced and the retired ones.
  const std::vector<const model::Host*>& PoolHosts(std::string_view pool) const;
  const std::vector<const model::Host*>& ActHosts(std::string_view act) const;
  const model::Host* FindHost(const std::string& id) const;
  /// Returns the host's pool, or a default-constructed one if it is unknown.
  const model::Pool& PoolOf(const model::Host& host) const;
  const std::vector<DownDomain>& down_domains() const { return m_down; }

 private:
  using HostList = std::vector<const model::Host*>;

  void FindDownDomains(const PlanningPolicy& policy);
  void AddDownDomains(const budget::NameMap<HostList>& domains,
                      const std::string& kind,
                      const PlanningPolicy& policy);

  const model::Fleet& m_fleet;
  budget::NameMap<HostList> m_by_pool;
  budget::NameMap<HostList> m_by_act;
  std::vector<DownDomain> m_down;
};

/// Why and for which act a host is to be drained.
struct DrainRequest {
  model::DrainReason reason = model::DrainReason::kNone;
  std::string act;
  std::string move_to;
  budget::BurnGate gate = budget::BurnGate::kApply;
};

/// The inputs, budget and planned actions of one planning step.
///
/// Cancelling a host's drain doesn't return the host to this budget: a drain
/// planned in the same step must not depend on a transition that may be
/// refused.
class PlanContext {
 public:
  PlanContext(const FleetView& view,
              budget::Budget& budget,
              const StepInput& input,
              const PlanningPolicy& policy)
      : m_view(view), m_budget(budget), m_input(input), m_policy(policy) {}

  const FleetView& view() const { return m_view; }
  const model::Fleet& fleet() const { return m_view.fleet(); }
  const budget::Budget& budget() const { return m_budget; }
  const StepInput& input() const { return m_input; }
  const PlanningPolicy& policy() const { return m_policy; }
  WallTime now() const { return m_input.now; }

  /// Plans a transition. Does nothing if the host already has one in this
  /// step.
  void PlanTransition(const model::Host& host,
                      model::HostEvent event,
                      std::string why,
                      const std::string& version = {});

  /// Takes the host from the budgets and plans its drain. Returns false and
  /// plans nothing if a budget refuses, if the host isn't free or has a planned
  /// action, or if a host is being moved to one of its pool's services.
  bool Drain(const model::Host& host,
             const DrainRequest& request,
             std::string why);

  /// Whether an action is planned for the host in this step.
  bool HasPlannedAction(const model::Host& host) const {
    return m_hosts_with_action.count(host.id) > 0;
  }
  /// Whether the host is known to have no requests or jobs in flight.
  bool IsEmpty(const model::Host& host) const;
  /// Whether a drain that planning started has lasted for its pool's drain
  /// timeout and the host is still draining or drained.
  bool IsPastDrainTimeout(const model::Host& host) const;

  /// Whether this step moves a host into a pool that shares a service with
  /// this one.
  bool IsServiceGainingHost(const std::string& pool) const;

  std::vector<Action> TakeActions() { return std::move(m_actions); }

 private:
  const FleetView& m_view;
  budget::Budget& m_budget;
  const StepInput& m_input;
  const PlanningPolicy& m_policy;
  std::vector<Action> m_actions;
  std::unordered_set<std::string_view> m_hosts_with_action;
  /// Services that a host joins in this step. The host isn't available until
  /// it is warm, so the services may spare fewer hosts than the budget counted.
  std::set<int> m_services_gaining_host;
};

/// Whether the host serves its pool and belongs to no act.
bool IsFreeToDrain(const model::Host& host);

/// Whether the host is draining or drained.
bool IsDrainingOrDrained(const model::Host& host);

/// Whether this is a reason for which planning, not an operator, starts drains.
bool IsPlannerDrainReason(model::DrainReason reason);

/// Whether the capacity is at least that of the shape in each resource.
bool CoversShape(const model::Resources& capacity,
                 const model::Resources& shape);

/// Orders hosts by zone, rack, id.
bool DomainLess(const model::Host& a, const model::Host& b);

/// The waves and roll-outs as updated by this step, by id. They take precedence
/// over the committed ones.
struct UpdatedActs {
  std::unordered_map<std::string_view, const model::Wave*> waves;
  std::unordered_map<std::string_view, const model::Rollout*> rollouts;
};

/// Plans the next transition of every host that is draining, drained or
/// returning. Cancels planned drains whose act no longer runs, and as many as
/// are needed to refill the budgets that are short.
///
/// @param only_act If not empty, covers only the hosts of this act.
void AdvanceHosts(PlanContext& context,
                  const UpdatedActs& acts,
                  std::string_view only_act = {});

/// Derives a wave's progress from its hosts, and pauses, halts, resumes or ends
/// it. Call StartWaveDrains() only after AdvanceHosts(), which cancels drains.
void UpdateWaveState(PlanContext& context, model::Wave& wave);
void StartWaveDrains(PlanContext& context, const model::Wave& wave);

/// As UpdateWaveState(); may also start a rollback or the next stage.
void UpdateRolloutState(PlanContext& context, model::Rollout& rollout);
void StartRolloutDrains(PlanContext& context, const model::Rollout& rollout);

/// Cancels moves to pools that no longer need another host.
void CancelUnneededMoves(PlanContext& context);
void PlanMovesForStep(PlanContext& context);
std::vector<model::Wave> ScheduleWavesForStep(const PlanContext& context);

/// Returns the first host of the act that has been in maintenance for longer
/// than the return timeout, or null if there is none.
const model::Host* FindOverdueHost(const PlanContext& context,
                                   std::string_view act);

}  // namespace laurelhall::planning
