#pragma once

#include <string>
#include <vector>

#include "laurelhall/planning/plan.h"

// Roll-out of a version over the hosts of a service.
namespace laurelhall::planning {

struct RolloutStep {
  std::vector<Action> actions;
  model::Rollout rollout;
};

/// Makes a roll-out; its hosts are ordered by zone, the smallest zone first.
/// Thread-safe.
model::Rollout PlanRollout(const model::Fleet& fleet,
                           std::string id,
                           const std::string& service,
                           std::string version,
                           std::string previous_version,
                           WallTime now);

/// Hosts that may have the new version by the end of each stage: one, a
/// twentieth, a quarter, then one zone after the other. Thread-safe.
std::vector<int> RolloutStages(const model::Fleet& fleet,
                               const model::Rollout& rollout);

/// Works out what a roll-out does next; as StepWave().
///
/// @remarks It rolls back when hosts with the new version fail more than the
///   others, or when the service burns fast and the new version isn't known
///   to do as well as the old one.
RolloutStep StepRollout(const model::Fleet& fleet,
                        const model::Rollout& rollout,
                        budget::Budget& budget,
                        const StepInput& input,
                        const PlanningPolicy& policy = {});

}  // namespace laurelhall::planning
