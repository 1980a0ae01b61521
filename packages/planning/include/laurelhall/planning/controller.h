#pragma once

#include <string>
#include <vector>

#include "laurelhall/planning/plan.h"

namespace laurelhall::planning {

/// Decides what the leader does with hosts, waves and roll-outs next.
///
/// @remarks Holds no state but its policy: the same fleet and input give the
///   same result, so that a step may run twice or on the next leader. Each
///   action is fenced by its host's epoch, and whoever commits a drain checks
///   it again (budget::MayDrain). Thread-safe.
class FleetController {
 public:
  explicit FleetController(const PlanningPolicy& policy = {});

  /// Plans one step: first what gives hosts back, then moves, roll-outs,
  /// waves and the standing schedule. O(hosts) with a few lookups each.
  StepResult Step(const model::Fleet& fleet, const StepInput& input) const;

  const PlanningPolicy& policy() const { return m_policy; }

 private:
  PlanningPolicy m_policy;
};

/// Says why a host is where it is and what it waits for, a line per fact.
///
/// @returns One line that says so if the host isn't known. Thread-safe.
std::vector<std::string> ExplainHost(const model::Fleet& fleet,
                                     const std::string& id,
                                     const StepInput& input,
                                     const PlanningPolicy& policy = {});

}  // namespace laurelhall::planning
