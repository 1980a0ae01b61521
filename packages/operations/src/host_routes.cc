#include <algorithm>
#include <array>

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
  boost::json::array hosts;
  for (const auto& [id, host] : fleet.hosts) {
    if (pool.empty() || host.pool == pool) {
      hosts.push_back(boost::json::value_from(host));
    }
  }
  return Answer(hosts);
}

Outcome ShowHost(const Request& request) {
  const Fleet fleet = request.machine.fleet();
  return Answer(boost::json::value_from(
      FindOr404(fleet.hosts, "host", request.Segment(1))));
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

Outcome HostAct(const Request& request) {
  const Fleet fleet = request.machine.fleet();
  const Host& host = FindOr404(fleet.hosts, "host", request.Segment(1));
  const state::HostCommand command = MakeHostCommand(request, host);
  if (!request.is_dry_run()) {
    return Proposal(command);
  }
  return Answer(
      boost::json::object{{"dry_run", true},
                          {"host", host.id},
                          {"state", boost::json::value_from(host.state)},
                          {"event", boost::json::value_from(command.event)},
                          {"epoch", host.epoch}});
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
