#include "laurelhall/planning/buffer.h"
#include "laurelhall/planning/plan_cost.h"
#include "laurelhall/planning/rollout.h"
#include "laurelhall/planning/wave.h"
#include "operations_p.h"

namespace laurelhall::operations {
namespace {

using model::ActState;
using model::Fleet;
using model::Rollout;
using model::Wave;

/// What an operator may do to a wave or roll-out under way.
struct ActVerb {
  const char* name;
  ActState state;
  bool holds = false;  ///< Until an operator resumes it.
  bool is_for_rollouts = false;
};

constexpr ActVerb kActVerbs[] = {
    {"pause", ActState::kPaused, true},
    {"resume", ActState::kRunning},
    {"halt", ActState::kHalted},
    {"cancel", ActState::kCancelled},
    {"rollback", ActState::kRollingBack, false, true},
};

const ActVerb& FindVerb(const std::string& verb, bool is_rollout) {
  for (const ActVerb& row : kActVerbs) {
    if (verb == row.name && (is_rollout || !row.is_for_rollouts)) {
      return row;
    }
  }
  throw RequestError(404, "verb " + verb + ": not known");
}

/// Changes a wave or roll-out as its verb says, fenced by the state it is in.
template <typename Command, typename Act>
Outcome ChangeAct(const Request& request,
                  const Act& act,
                  Act Command::*member) {
  const ActVerb& verb =
      FindVerb(request.Segment(2), std::is_same_v<Act, Rollout>);
  Command command;
  command.request = request.Operator();
  command.expected_state = act.state;
  Act& changed = command.*member;
  changed = act;
  changed.state = verb.state;
  changed.is_held = verb.holds;
  changed.reason = "by operator " + command.request.operator_name;
  return Proposal(command);
}

void CheckPools(const Fleet& fleet, const std::vector<std::string>& pools) {
  for (const std::string& pool : pools) {
    FindOr404(fleet.pools, "pool", pool);
  }
}

Outcome ListWaves(const Request& request) {
  return Answer(ValuesOf(request.machine.fleet().waves));
}

Outcome ShowWave(const Request& request) {
  const Fleet fleet = request.machine.fleet();
  return Answer(boost::json::value_from(
      FindOr404(fleet.waves, "wave", request.Segment(1))));
}

Millis TimePerHost(const Request& request) {
  return Millis(
      BodyValueOr<int64_t>(request.body, "time_per_host_ms",
                           planning::BufferPolicy{}.maintenance_time.count()));
}

/// What a wave or roll-out would do, and its cost in the three measures.
Outcome DryRun(const Request& request,
               const Fleet& fleet,
               const planning::StepResult& step,
               boost::json::object plan) {
  const planning::PlanCost cost =
      planning::CostOfStep(fleet, step, TimePerHost(request));
  plan["dry_run"] = true;
  plan["least_time"] = cost.rollout_time == Millis::max()
                           ? "never: no host may go"
                           : FormatDuration(cost.rollout_time);
  plan["cost"] = boost::json::array{boost::json::value_from(cost)};
  return Answer(std::move(plan));
}

Outcome StartWave(const Request& request) {
  const Fleet fleet = request.machine.fleet();
  state::WaveCommand command;
  command.request = request.Operator();
  const auto id = BodyValue<std::string>(request.body, "id");
  const auto pools = BodyValue<std::vector<std::string>>(request.body, "pools");
  CheckPools(fleet, pools);
  command.wave = planning::PlanWave(fleet, id, pools, command.request.at);
  if (request.is_dry_run()) {
    planning::StepResult step;
    step.waves = {command.wave};
    return DryRun(request, fleet, step,
                  {{"hosts", command.wave.pending.size()},
                   {"order", boost::json::value_from(command.wave.pending)}});
  }
  return Proposal(command);
}

Outcome ChangeWave(const Request& request) {
  const Fleet fleet = request.machine.fleet();
  return ChangeAct(request, FindOr404(fleet.waves, "wave", request.Segment(1)),
                   &state::WaveCommand::wave);
}

Outcome ListRollouts(const Request& request) {
  return Answer(ValuesOf(request.machine.fleet().rollouts));
}

Outcome ShowRollout(const Request& request) {
  const Fleet fleet = request.machine.fleet();
  return Answer(boost::json::value_from(
      FindOr404(fleet.rollouts, "rollout", request.Segment(1))));
}

Outcome StartRollout(const Request& request) {
  const Fleet fleet = request.machine.fleet();
  state::RolloutCommand command;
  command.request = request.Operator();
  const auto service = BodyValue<std::string>(request.body, "service");
  FindOr404(fleet.services, "service", service);
  command.rollout = planning::PlanRollout(
      fleet, BodyValue<std::string>(request.body, "id"), service,
      BodyValue<std::string>(request.body, "version"),
      BodyValueOr<std::string>(request.body, "previous_version", ""),
      command.request.at);
  command.rollout.bake =
      Millis(BodyValueOr<int64_t>(request.body, "bake_ms", 0));
  if (request.is_dry_run()) {
    planning::StepResult step;
    step.rollouts = {command.rollout};
    return DryRun(request, fleet, step,
                  {{"hosts", command.rollout.pending.size()},
                   {"order", boost::json::value_from(command.rollout.pending)},
                   {"stages", boost::json::value_from(planning::RolloutStages(
                                  fleet, command.rollout))}});
  }
  return Proposal(command);
}

Outcome ChangeRollout(const Request& request) {
  const Fleet fleet = request.machine.fleet();
  return ChangeAct(request,
                   FindOr404(fleet.rollouts, "rollout", request.Segment(1)),
                   &state::RolloutCommand::rollout);
}

}  // namespace

std::vector<Route> ActRoutes() {
  return {{"GET", "waves", ListWaves},
          {"POST", "waves", StartWave},
          {"GET", "waves/*", ShowWave},
          {"POST", "waves/*/*", ChangeWave},
          {"GET", "rollouts", ListRollouts},
          {"POST", "rollouts", StartRollout},
          {"GET", "rollouts/*", ShowRollout},
          {"POST", "rollouts/*/*", ChangeRollout}};
}

}  // namespace laurelhall::operations
