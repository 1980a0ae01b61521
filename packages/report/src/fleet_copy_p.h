#pragma once

#include <string_view>
#include <vector>

#include "laurelhall/model/fleet.h"
#include "laurelhall/placement/job_action.h"
#include "laurelhall/planning/plan.h"

// The fleet as a trace carries it: recording and replay change it alike.
namespace laurelhall::report {

// Calls `visit(kind, table)` for each table, with the kind's name in a trace.
template <typename Fleet, typename Visit>
void ForEachTable(Fleet& fleet, Visit visit) {
  visit(std::string_view("pool"), fleet.pools);
  visit(std::string_view("service"), fleet.services);
  visit(std::string_view("quota"), fleet.quotas);
  visit(std::string_view("host"), fleet.hosts);
  visit(std::string_view("wave"), fleet.waves);
  visit(std::string_view("rollout"), fleet.rollouts);
  visit(std::string_view("job"), fleet.jobs);
}

// Carries out what placement decided; an action of another lease is passed
// over.
void ApplyPlacement(model::Fleet& fleet,
                    const std::vector<placement::JobAction>& actions,
                    WallTime at);

// Carries out what planning decided; a transition that is not allowed is
// passed over.
void ApplyPlan(model::Fleet& fleet,
               const planning::StepResult& result,
               WallTime at);

}  // namespace laurelhall::report
