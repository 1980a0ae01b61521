#include <algorithm>
#include <array>

#include "laurelhall/budget/budget.h"
#include "laurelhall/planning/lifecycle.h"
#include "laurelhall/planning/plan_cost.h"
#include "operations_p.h"

namespace laurelhall::operations {
namespace {

using model::DrainReason;
using model::Fleet;
using model::Host;
using model::HostEvent;

/// A verb of the operators' and the transition that it asks for.
struct HostVerb {
  const char* name;
  HostEvent event;
  DrainReason reason;
};

constexpr std::array<HostVerb, 10> kHostVerbs{{
    {"join", HostEvent::kJoin, DrainReason::kNone},
    {"drain", HostEvent::kDrain, DrainReason::kOperator},
    {"undrain", HostEvent::kCancelDrain, DrainReason::kNone},
    {"confirm-empty", HostEvent::kConfirmEmpty, DrainReason::kNone},
    {"stop", HostEvent::kStopForMaintenance, DrainReason::kNone},
    {"move", HostEvent::kDrain, DrainReason::kMove},
    {"return", HostEvent::kReturn, DrainReason::kNone},
    {"warm", HostEvent::kWarm, DrainReason::kNone},
    {"fail", HostEvent::kFail, DrainReason::kNone},
    {"retire", HostEvent::kRetire, DrainReason::kNone},
}};

const HostVerb& FindVerb(const std::string& name) {
  const auto* found = std::ranges::find_if(
      kHostVerbs, [&](const HostVerb& verb) { return name == verb.name; });
  if (found == kHostVerbs.end()) {
    throw RequestError(404, "host verb " + name + ": not known");
  }
  return *found;
}

Outcome ListHosts(const Request& request) {
  const Fleet fleet = request.machine.fleet();
  const std::string pool = request.Query("pool");
  const std::set<std::string> states = SplitCommas(request.Query("state"));
  boost::json::array hosts;
  for (const auto& [id, host] : fleet.hosts) {
    const char* state = boost::describe::enum_to_string(host.state, "");
    const bool is_asked = (pool.empty() || host.pool == pool) &&
                          (states.empty() || states.contains(state));
    if (is_asked) {
      hosts.push_back(boost::json::value_from(host));
    }
  }
  return Answer(hosts);
}

Outcome ShowHost(const Request& request) {
  const std::string& id = request.Segment(1);
  return Answer(boost::json::value_from(
      ValueOr404(request.machine.FindHost(id), "host", id)));
}

Outcome AddHost(const Request& request) {
  state::HostAddCommand command;
  command.request = request.Operator();
  Host& host = command.host;
  host.id = BodyValue<std::string>(request.body, "id");
  host.pool = BodyValue<std::string>(request.body, "pool");
  host.rack = BodyValue<std::string>(request.body, "rack");
  host.availability_zone =
      BodyValue<std::string>(request.body, "availability_zone");
  host.region = BodyValueOr<std::string>(request.body, "region", "");
  host.capacity.processors = BodyValueOr<double>(request.body, "processors", 0);
  host.capacity.memory_gb = BodyValueOr<double>(request.body, "memory_gb", 0);
  host.capacity.accelerators =
      BodyValueOr<int>(request.body, "accelerators", 0);
  host.state_since = command.request.at;
  host.last_seen = command.request.at;
  host.last_maintained = command.request.at;
  return Proposal(command);
}

state::HostCommand MakeHostCommand(const Request& request, const Host& host) {
  const HostVerb& verb = FindVerb(request.Segment(2));
  state::HostCommand command;
  command.request = request.Operator();
  command.host = host.id;
  command.expected_epoch =
      BodyValueOr<uint64_t>(request.body, "expected_epoch", host.epoch);
  command.event = verb.event;
  command.drain_reason = verb.reason;
  command.move_to = BodyValueOr<std::string>(request.body, "to", "");
  command.act = BodyValueOr<std::string>(request.body, "act", "");
  command.version = BodyValueOr<std::string>(request.body, "version", "");
  command.force = BodyValueOr<bool>(request.body, "force", false);
  if (verb.reason == DrainReason::kMove && command.move_to.empty()) {
    throw RequestError(400, "to: expected the pool to move to");
  }
  return command;
}

/// Whether a drain would be accepted now, and what it would cost.
void AddDrainPlan(const Request& request,
                  const state::HostCommand& command,
                  boost::json::object& plan) {
  const Fleet fleet = request.machine.fleet();
  const budget::Verdict verdict = budget::MayDrain(fleet, command.host);
  plan["budget"] = verdict.is_allowed() ? "allows it" : verdict.Text();
  planning::StepResult step;
  step.actions.push_back(
      {{command.host, command.expected_epoch, command.event,
        command.drain_reason, command.move_to, command.act, ""},
       ""});
  planning::PlanCost cost = planning::CostOfStep(fleet, step, Millis(0));
  plan["cost"] = boost::json::array{boost::json::value_from(cost)};
}

Outcome HostAct(const Request& request) {
  const Host host = ValueOr404(request.machine.FindHost(request.Segment(1)),
                               "host", request.Segment(1));
  const state::HostCommand command = MakeHostCommand(request, host);
  if (!request.is_dry_run()) {
    return Proposal(command);
  }
  const auto next = planning::NextState(host.state, command.event,
                                        command.event == HostEvent::kDrain
                                            ? command.drain_reason
                                            : host.drain_reason);
  boost::json::object plan{{"dry_run", true},
                           {"host", host.id},
                           {"state", boost::json::value_from(host.state)},
                           {"epoch", host.epoch}};
  plan["next"] = next ? boost::json::value_from(*next)
                      : boost::json::value("not allowed in this state");
  if (command.event == HostEvent::kDrain) {
    AddDrainPlan(request, command, plan);
  }
  return Answer(std::move(plan));
}

int CountIn(const Fleet& fleet,
            const std::string& pool,
            model::HostState state) {
  return static_cast<int>(
      std::ranges::count_if(fleet.hosts, [&](const auto& item) {
        return item.second.pool == pool && item.second.state == state;
      }));
}

Outcome ListPools(const Request& request) {
  const Fleet fleet = request.machine.fleet();
  boost::json::array pools;
  for (const auto& [name, pool] : fleet.pools) {
    boost::json::object row{{"name", name},
                            {"target_hosts", pool.target_hosts}};
    int total = 0;
    for (int state = 0; state < static_cast<int>(model::HostState::kCount);
         ++state) {
      const auto value = static_cast<model::HostState>(state);
      const int count = CountIn(fleet, name, value);
      total += count;
      row[boost::describe::enum_to_string(value, "")] = count;
    }
    row["hosts"] = total;
    pools.push_back(row);
  }
  return Answer(pools);
}

Outcome ListServices(const Request& request) {
  return Answer(ValuesOf(request.machine.fleet().services));
}

}  // namespace

std::vector<Route> HostRoutes() {
  return {{"GET", "hosts", ListHosts},  {"POST", "hosts", AddHost},
          {"GET", "hosts/*", ShowHost}, {"POST", "hosts/*/*", HostAct},
          {"GET", "pools", ListPools},  {"GET", "services", ListServices}};
}

}  // namespace laurelhall::operations
