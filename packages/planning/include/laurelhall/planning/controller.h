#pragma once

#include <string>
#include <vector>

#include "laurelhall/planning/plan.h"

namespace laurelhall::planning {

/// Plans the leader's next transitions of hosts, waves and roll-outs.
///
/// @remarks Its policy is its only state: the same fleet and input give the
///   same result, so a step may run twice or be repeated by the next leader.
///   Each action is fenced by its host's epoch, and the code that commits a
///   drain must check it against the budgets again (budget::MayDrain).
///   Thread-safe.
class FleetController {
 public:
  explicit FleetController(const PlanningPolicy& policy = {});

  /// Plans one step. Cancels drains and moves that are no longer needed and
  /// advances hosts that are under way, then plans new moves, drains for
  /// roll-outs and for waves, and at last the periodic waves that are due.
  /// O(hosts) with a few lookups each.
  StepResult Step(const model::Fleet& fleet, const StepInput& input) const;

  const PlanningPolicy& policy() const { return m_policy; }

 private:
  PlanningPolicy m_policy;
};

/// Explains why a host is in its state and what it waits for.
///
/// @returns One line per fact; for an unknown host, one line that says that it
///   is unknown.
/// @remarks Thread-safe.
std::vector<std::string> ExplainHost(const model::Fleet& fleet,
                                     const std::string& id,
                                     const StepInput& input,
                                     const PlanningPolicy& policy = {});

}  // namespace laurelhall::planning
