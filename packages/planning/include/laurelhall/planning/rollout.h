#pragma once

#include <string>
#include <vector>

#include "laurelhall/planning/plan.h"

// Roll-out of a version to the hosts of a service.
namespace laurelhall::planning {

struct RolloutStep {
  std::vector<Action> actions;
  model::Rollout rollout;
};

/// Creates a roll-out whose hosts are ordered by zone, the smallest zone
/// first. Thread-safe.
model::Rollout PlanRollout(const model::Fleet& fleet,
                           std::string id,
                           const std::string& service,
                           std::string version,
                           std::string previous_version,
                           WallTime now);

/// Returns how many hosts may run the new version by the end of each stage:
/// one, a twentieth, a quarter, then one zone after the other. Thread-safe.
std::vector<int> RolloutStages(const model::Fleet& fleet,
                               const model::Rollout& rollout);

/// Plans a roll-out's next step. Parameters, result and thread safety are
/// those of StepWave().
///
/// @remarks Rolls back if hosts with the new version fail a larger share of
///   their requests than the others, or if the service burns its error budget
///   fast and the new version isn't known to do as well as the old one.
RolloutStep StepRollout(const model::Fleet& fleet,
                        const model::Rollout& rollout,
                        budget::Budget& budget,
                        const StepInput& input,
                        const PlanningPolicy& policy = {});

}  // namespace laurelhall::planning
