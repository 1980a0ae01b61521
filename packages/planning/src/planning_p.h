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

/// A rack or availability zone that has gone.
struct DownDomain {
  std::string name;
  int hosts = 0;
  int failed = 0;
  WallTime last_failure{};
  std::set<std::string_view> pools;  ///< Whose hosts failed there.
};

/// Hosts of one fleet by pool and by act, and the domains that are down.
/// Refers to the fleet, which must outlive it.
class FleetView {
 public:
  FleetView(const model::Fleet& fleet, const PlanningPolicy& policy);

  const model::Fleet& fleet() const { return m_fleet; }
  /// Announced and retired hosts aren't among them.
  const std::vector<const model::Host*>& PoolHosts(std::string_view pool) const;
  const std::vector<const model::Host*>& ActHosts(std::string_view act) const;
  const model::Host* FindHost(const std::string& id) const;
  /// The host's pool, or one with default bounds if it is unknown.
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

/// What a host is drained for.
struct DrainRequest {
  model::DrainReason reason = model::DrainReason::kNone;
  std::string act;
  std::string move_to;
  budget::BurnGate gate = budget::BurnGate::kApply;
};

/// What the parts of one step share.
///
/// A host that a step gives back isn't given back to the step's budget: a
/// drain of the same step must not rest on a transition that may be refused.
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

  /// Plans a transition; at most one per host and step.
  void Act(const model::Host& host,
           model::HostEvent event,
           std::string why,
           const std::string& version = {});

  /// Takes the host from the budgets and plans its drain. Returns false, with
  /// nothing planned, if a budget refuses or the host isn't free.
  bool Drain(const model::Host& host,
             const DrainRequest& request,
             std::string why);

  bool IsTouched(const model::Host& host) const {
    return m_touched.count(host.id) > 0;
  }
  /// Whether the host is known to have nothing in flight.
  bool IsEmpty(const model::Host& host) const;
  /// Whether a planned drain has lasted its bound without coming to an end.
  bool IsPastDrainBound(const model::Host& host) const;

  /// Whether a host joins a service of this pool in this step.
  bool IsJoined(const std::string& pool) const;

  std::vector<Action> TakeActions() { return std::move(m_actions); }

 private:
  const FleetView& m_view;
  budget::Budget& m_budget;
  const StepInput& m_input;
  const PlanningPolicy& m_policy;
  std::vector<Action> m_actions;
  std::unordered_set<std::string_view> m_touched;
  /// Services that a host joins in this step. It is away until it is warm, so
  /// that they may have less to give than the budget was counted with.
  std::set<int> m_joined_services;
};

/// Whether the host serves its pool and nothing holds it.
bool IsFree(const model::Host& host);

/// Whether the host drains or is drained.
bool IsLeaving(const model::Host& host);

/// Whether planning itself, not an operator, drains hosts for this reason.
bool IsPlannedReason(model::DrainReason reason);

/// Whether a host of this capacity can serve a pool of that shape.
bool FitsShape(const model::Resources& capacity, const model::Resources& shape);

/// Orders hosts by zone, rack, id.
bool DomainLess(const model::Host& a, const model::Host& b);

/// Acts that have changed in this step, which decide what their hosts may do.
struct ActStates {
  std::unordered_map<std::string_view, const model::Wave*> waves;
  std::unordered_map<std::string_view, const model::Rollout*> rollouts;
};

/// Takes every host that is on its way one transition further, and gives back
/// those that a short budget needs or whose act no longer wants them.
///
/// @param only_act If not empty, only this act's hosts.
void AdvanceHosts(PlanContext& context,
                  const ActStates& acts,
                  std::string_view only_act = {});

/// Reads a wave's progress from its hosts, and pauses, halts, resumes or ends
/// it. StartWaveDrains() follows once hosts have been given back.
void JudgeWave(PlanContext& context, model::Wave& wave);
void StartWaveDrains(PlanContext& context, const model::Wave& wave);

void JudgeRollout(PlanContext& context, model::Rollout& rollout);
void StartRolloutDrains(PlanContext& context, const model::Rollout& rollout);

/// Cancels moves into pools that no longer need them.
void CancelUnneededMoves(PlanContext& context);
void PlanMovesIn(PlanContext& context);
std::vector<model::Wave> ScheduleWavesIn(const PlanContext& context);

/// The first host of the act that has been in maintenance for too long.
const model::Host* FindOverdueHost(const PlanContext& context,
                                   std::string_view act);

}  // namespace laurelhall::planning
