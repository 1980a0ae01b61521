#pragma once

#include <vector>

#include "laurelhall/planning/plan.h"

namespace laurelhall::planning {

/// Plans the fewest host moves that bring every pool back to its target.
///
/// @param budget Evaluated on `fleet`. The hosts that are to move are taken
///   from it.
/// @returns Drain actions for the moves. The MovePool event follows once the
///   host is empty.
/// @remarks Each move replaces one missing host, so the fewest moves are as
///   many as there are missing hosts. Receiving and lending pools are matched
///   by augmenting paths, so that a pool isn't left short where another
///   assignment would have served it. Two waiting times prevent needless moves,
///   both read from the hosts: a host failed since `state_since` isn't replaced
///   until replacement_delay has passed, and a host moved at `last_moved` stays
///   for move_cooldown. Thread-safe if no other thread uses the budget.
std::vector<Action> PlanMoves(const model::Fleet& fleet,
                              budget::Budget& budget,
                              const StepInput& input,
                              const PlanningPolicy& policy = {});

}  // namespace laurelhall::planning
