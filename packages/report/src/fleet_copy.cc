#include "fleet_copy_p.h"

namespace laurelhall::report {

void ApplyPlacement(model::Fleet& fleet,
                    const std::vector<placement::JobAction>& actions,
                    WallTime at) {
  for (const placement::JobAction& action : actions) {
    model::Job& job = fleet.jobs.at(action.job);
    if (job.lease == action.expected_lease) {
      job = placement::AfterAction(job, action, at);
    }
  }
}

void ApplyPlan(model::Fleet& fleet,
               const planning::StepResult& result,
               WallTime at) {
  for (const planning::Action& action : result.actions) {
    model::Host& host = fleet.hosts.at(action.transition.host);
    host =
        planning::ApplyTransition(host, action.transition, at).value_or(host);
  }
  for (const model::Wave& wave : result.waves) {
    fleet.waves[wave.id] = wave;
  }
  for (const model::Rollout& rollout : result.rollouts) {
    fleet.rollouts[rollout.id] = rollout;
  }
}

}  // namespace laurelhall::report
