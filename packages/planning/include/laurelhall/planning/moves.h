#pragma once

#include <vector>

#include "laurelhall/planning/plan.h"

namespace laurelhall::planning {

/// Plans the fewest host moves that bring every pool back to its target.
///
/// @param budget Counted on `fleet`; the hosts that are to move are taken
///   from it.
/// @returns Drains for a move; MovePool follows once the host is empty.
/// @remarks Each move fills one missing host, so the fewest moves are as many
///   as hosts are missing; which pool gives to which is a matching, so that
///   no pool is left out that another order would have served. Damping is
///   read from the hosts: `state_since` for a failed host that may come back,
///   `last_moved` for one that must stay. Thread-safe but for the budget.
std::vector<Action> PlanMoves(const model::Fleet& fleet,
                              budget::Budget& budget,
                              const StepInput& input,
                              const PlanningPolicy& policy = {});

}  // namespace laurelhall::planning
