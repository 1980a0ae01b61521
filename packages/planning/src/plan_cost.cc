#include "laurelhall/planning/plan_cost.h"

#include <algorithm>

#include "laurelhall/planning/wave.h"
#include "planning_p.h"

namespace laurelhall::planning {
namespace {

constexpr double kMillisPerHour = 3600.0 * 1000;

/// Returns the number of hosts that the pools have above their targets.
int HostsInReserve(const FleetView& view) {
  int reserve = 0;
  for (const auto& [name, pool] : view.fleet().pools) {
    const int members = static_cast<int>(view.PoolHosts(name).size());
    reserve += std::max(0, members - pool.target_hosts);
  }
  return reserve;
}

/// Returns the pools of the step's waves and of the services that its roll-outs
/// update.
std::vector<std::string> PoolsOfChangedActs(const model::Fleet& fleet,
                                            const StepResult& step) {
  std::set<std::string> pools;
  for (const model::Wave& wave : step.waves) {
    pools.insert(wave.pools.begin(), wave.pools.end());
  }
  for (const model::Rollout& rollout : step.rollouts) {
    const auto found = fleet.services.find(rollout.service);
    if (found != fleet.services.end()) {
      pools.insert(found->second.pools.begin(), found->second.pools.end());
    }
  }
  return {pools.begin(), pools.end()};
}

}  // namespace

PlanCost CostOf(const model::Fleet& fleet,
                int buffer_hosts,
                Millis rollout_time,
                int host_moves) {
  const double hosts = std::max(1.0, static_cast<double>(fleet.hosts.size()));
  PlanCost cost;
  cost.buffer_hosts = buffer_hosts;
  cost.rollout_time = rollout_time;
  cost.host_moves = host_moves;
  cost.buffer_share = buffer_hosts / hosts;
  cost.move_share = host_moves / hosts;
  const double hours =
      static_cast<double>(rollout_time.count()) / kMillisPerHour;
  cost.weighted = fleet.weights.buffer * 100 * cost.buffer_share +
                  fleet.weights.rollout_time * hours +
                  fleet.weights.host_moves * 100 * cost.move_share;
  return cost;
}

PlanCost CostOfStep(const model::Fleet& fleet,
                    const StepResult& step,
                    Millis time_per_host,
                    const PlanningPolicy& policy) {
  const FleetView view(fleet, policy);
  const Millis time = WaveLowerBound(fleet, PoolsOfChangedActs(fleet, step),
                                     time_per_host, policy);
  const auto is_move = [](const Action& action) {
    return action.transition.event == model::HostEvent::kDrain &&
           action.transition.drain_reason == model::DrainReason::kMove;
  };
  const auto moves =
      std::count_if(step.actions.begin(), step.actions.end(), is_move);
  return CostOf(fleet, HostsInReserve(view), time, static_cast<int>(moves));
}

}  // namespace laurelhall::planning
