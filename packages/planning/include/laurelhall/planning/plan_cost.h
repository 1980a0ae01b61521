#pragma once

#include <string>

#include "laurelhall/planning/buffer.h"
#include "laurelhall/planning/plan.h"

namespace laurelhall::planning {

/// A plan in the three measures.
struct PlanCost {
  int buffer_hosts = 0;     ///< Hosts held in reserve.
  Millis rollout_time{0};   ///< Until the wave or roll-out is done.
  int host_moves = 0;       ///< Hosts that change their pool.
  double buffer_share = 0;  ///< Of the fleet.
  double move_share = 0;    ///< Of the fleet.
  double weighted = 0;      ///< See CostOf().
};
BOOST_DESCRIBE_STRUCT(PlanCost,
                      (),
                      (buffer_hosts,
                       rollout_time,
                       host_moves,
                       buffer_share,
                       move_share,
                       weighted))

/// Weighs the three measures: percent of the fleet in reserve, hours until
/// done and percent of the fleet moved, each times the deployment's weight.
/// Thread-safe.
PlanCost CostOf(const model::Fleet& fleet,
                int buffer_hosts,
                Millis rollout_time,
                int host_moves);

/// Prices what a step would do and what is under way, for dry runs: the hosts
/// over target, the time that the given pools' wave takes at the allowed
/// concurrency, and the moves among the actions. Thread-safe.
PlanCost CostOfStep(const model::Fleet& fleet,
                    const StepResult& step,
                    Millis time_per_host,
                    const PlanningPolicy& policy = {});

}  // namespace laurelhall::planning
