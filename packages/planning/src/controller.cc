#include "laurelhall/planning/controller.h"

#include "planning_p.h"

namespace laurelhall::planning {
namespace {

/// Keeps those of the judged acts that differ from the committed ones.
template <typename Act>
std::vector<Act> Changed(const std::vector<Act>& judged,
                         const std::map<std::string, Act>& committed) {
  std::vector<Act> changed;
  for (const Act& act : judged) {
    if (committed.at(act.id) != act) {
      changed.push_back(act);
    }
  }
  return changed;
}

template <typename Act>
std::vector<Act> OpenActs(const std::map<std::string, Act>& committed) {
  std::vector<Act> open;
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
  std::vector<model::Rollout> rollouts = OpenActs(fleet.rollouts);
  std::vector<model::Wave> waves = OpenActs(fleet.waves);
  ActStates acts;
  for (model::Rollout& rollout : rollouts) {
    JudgeRollout(context, rollout);
    acts.rollouts[rollout.id] = &rollout;
  }
  for (model::Wave& wave : waves) {
    JudgeWave(context, wave);
    acts.waves[wave.id] = &wave;
  }
  CancelUnneededMoves(context);
  AdvanceHosts(context, acts);
  PlanMovesIn(context);
  for (const model::Rollout& rollout : rollouts) {
    StartRolloutDrains(context, rollout);
  }
  for (const model::Wave& wave : waves) {
    StartWaveDrains(context, wave);
  }
  StepResult result;
  result.waves = Changed(waves, fleet.waves);
  result.rollouts = Changed(rollouts, fleet.rollouts);
  for (model::Wave& wave : ScheduleWavesIn(context)) {
    result.waves.push_back(std::move(wave));
  }
  result.actions = context.TakeActions();
  return result;
}

}  // namespace laurelhall::planning
