#include "laurelhall/planning/controller.h"

#include "planning_p.h"

namespace laurelhall::planning {
namespace {

/// Returns the updated waves or roll-outs that differ from the committed ones.
template <typename WaveOrRollout>
std::vector<WaveOrRollout> SelectChanged(
    const std::vector<WaveOrRollout>& updated,
    const std::map<std::string, WaveOrRollout>& committed) {
  std::vector<WaveOrRollout> changed;
  for (const WaveOrRollout& act : updated) {
    if (committed.at(act.id) != act) {
      changed.push_back(act);
    }
  }
  return changed;
}

/// Returns the waves or roll-outs that haven't ended.
template <typename WaveOrRollout>
std::vector<WaveOrRollout> SelectOpen(
    const std::map<std::string, WaveOrRollout>& committed) {
  std::vector<WaveOrRollout> open;
  for (const auto& [id, act] : committed) {
    const bool is_open = act.state == model::ActState::kRunning ||
                         act.state == model::ActState::kPaused ||
                         act.state == model::ActState::kRollingBack;
    if (is_open) {
      open.push_back(act);
    }
  }
  return open;
}

}  // namespace

FleetController::FleetController(const PlanningPolicy& policy)
    : m_policy(policy) {}

StepResult FleetController::Step(const model::Fleet& fleet,
                                 const StepInput& input) const {
  const FleetView view(fleet, m_policy);
  budget::Budget budget =
      budget::Budget::Evaluate(fleet, input.burn, m_policy.budget);
  PlanContext context(view, budget, input, m_policy);
  std::vector<model::Rollout> rollouts = SelectOpen(fleet.rollouts);
  std::vector<model::Wave> waves = SelectOpen(fleet.waves);
  UpdatedActs acts;
  for (model::Rollout& rollout : rollouts) {
    UpdateRolloutState(context, rollout);
    acts.rollouts[rollout.id] = &rollout;
  }
  for (model::Wave& wave : waves) {
    UpdateWaveState(context, wave);
    acts.waves[wave.id] = &wave;
  }
  CancelUnneededMoves(context);
  AdvanceHosts(context, acts);
  PlanMovesForStep(context);
  for (const model::Rollout& rollout : rollouts) {
    StartRolloutDrains(context, rollout);
  }
  for (const model::Wave& wave : waves) {
    StartWaveDrains(context, wave);
  }
  StepResult result;
  result.waves = SelectChanged(waves, fleet.waves);
  result.rollouts = SelectChanged(rollouts, fleet.rollouts);
  for (model::Wave& wave : ScheduleWavesForStep(context)) {
    result.waves.push_back(std::move(wave));
  }
  result.actions = context.TakeActions();
  return result;
}

}  // namespace laurelhall::planning
