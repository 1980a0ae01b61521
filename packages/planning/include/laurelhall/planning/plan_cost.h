#pragma once

#include <string>

#include "laurelhall/planning/buffer.h"
#include "laurelhall/planning/plan.h"

namespace laurelhall::planning {

/// The cost of a plan in three measures, and their weighted sum.
struct PlanCost {
  int buffer_hosts = 0;     ///< Hosts held in reserve.
  Millis rollout_time{0};   ///< Time until the wave or roll-out is done.
  int host_moves = 0;       ///< Hosts that change their pool.
  double buffer_share = 0;  ///< buffer_hosts ÷ hosts of the fleet.
  double move_share = 0;    ///< host_moves ÷ hosts of the fleet.
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

/// Computes a plan's cost. The weighted cost is the sum of the percentage of
/// the fleet in reserve, the hours until done and the percentage of the fleet
/// moved, each times the weight in `fleet.weights`. Thread-safe.
PlanCost CostOf(const model::Fleet& fleet,
                int buffer_hosts,
                Millis rollout_time,
                int host_moves);

/// Computes the cost of a planning step, for dry runs. Thread-safe.
///
/// The buffer is the hosts that the pools have above their targets. The time is
/// the lower bound for a wave over the pools of the step's waves and roll-outs,
/// at the concurrency that the budgets allow. The moves are those among the
/// step's actions.
PlanCost CostOfStep(const model::Fleet& fleet,
                    const StepResult& step,
                    Millis time_per_host,
                    const PlanningPolicy& policy = {});

}  // namespace laurelhall::planning
