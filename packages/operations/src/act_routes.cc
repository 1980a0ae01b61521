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
};

constexpr ActVerb kActVerbs[] = {
    {"pause", ActState::kPaused},         {"resume", ActState::kRunning},
    {"halt", ActState::kHalted},          {"cancel", ActState::kCancelled},
    {"rollback", ActState::kRollingBack},
};

ActState StateAfter(const std::string& verb) {
  for (const ActVerb& row : kActVerbs) {
    if (verb == row.name) {
      return row.state;
    }
  }
  throw RequestError(404, "verb " + verb + ": not known");
}

boost::json::object CostJson(const planning::PlanCost& cost) {
  return boost::json::value_from(cost).as_object();
}

void CheckPools(const Fleet& fleet, const std::vector<std::string>& pools) {
  for (const std::string& pool : pools) {
    FindOr404(fleet.pools, "pool", pool);
  }
}

Outcome ListWaves(const Request& request) {
  return {200, ValuesOf(request.machine.fleet().waves), {}};
}

Outcome ShowWave(const Request& request) {
  const Fleet fleet = request.machine.fleet();
  return {200,
          boost::json::value_from(
              FindOr404(fleet.waves, "wave", request.Segment(1))),
          {}};
}

Outcome DryRunWave(const Request& request,
                   const Fleet& fleet,
                   const Wave& wave) {
  const Millis time_per_host(
      BodyValueOr<int64_t>(request.body, "time_per_host_ms",
                           planning::BufferPolicy{}.maintenance_time.count()));
  const Millis bound =
      planning::WaveLowerBound(fleet, wave.pools, time_per_host);
  return {200,
          boost::json::object{
              {"dry_run", true},
              {"hosts", wave.pending.size()},
              {"order", boost::json::value_from(wave.pending)},
              {"lower_bound", FormatDuration(bound)},
              {"cost", CostJson(planning::CostOf(fleet, 0, bound, 0))}},
          {}};
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
    return DryRunWave(request, fleet, command.wave);
  }
  return {200, {}, {command}};
}

Outcome ChangeWave(const Request& request) {
  const Fleet fleet = request.machine.fleet();
  state::WaveCommand command;
  command.request = request.Operator();
  command.wave = FindOr404(fleet.waves, "wave", request.Segment(1));
  command.expected_state = command.wave.state;
  command.wave.state = StateAfter(request.Segment(2));
  command.wave.reason = "by operator " + command.request.operator_name;
  return {200, {}, {command}};
}

Outcome ListRollouts(const Request& request) {
  return {200, ValuesOf(request.machine.fleet().rollouts), {}};
}

Outcome ShowRollout(const Request& request) {
  const Fleet fleet = request.machine.fleet();
  return {200,
          boost::json::value_from(
              FindOr404(fleet.rollouts, "rollout", request.Segment(1))),
          {}};
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
  if (request.is_dry_run()) {
    return {200,
            boost::json::object{
                {"dry_run", true},
                {"hosts", command.rollout.pending.size()},
                {"stages", boost::json::value_from(planning::RolloutStages(
                               fleet, command.rollout))}},
            {}};
  }
  return {200, {}, {command}};
}

Outcome ChangeRollout(const Request& request) {
  const Fleet fleet = request.machine.fleet();
  state::RolloutCommand command;
  command.request = request.Operator();
  command.rollout = FindOr404(fleet.rollouts, "rollout", request.Segment(1));
  command.expected_state = command.rollout.state;
  command.rollout.state = StateAfter(request.Segment(2));
  command.rollout.reason = "by operator " + command.request.operator_name;
  return {200, {}, {command}};
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
