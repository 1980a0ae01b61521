#include "operations_p.h"

namespace laurelhall::operations {
namespace {

using control::ControlActions;

/// Finds a member by name; throws RequestError 404 naming it.
consensus::NodeId FindMember(const Request& request) {
  const auto name = BodyValue<std::string>(request.body, "name");
  for (const auto& [id, member] : request.status.consensus.membership.members) {
    if (member.name == name) {
      return id;
    }
  }
  throw RequestError(404, "control host " + name + ": not a member");
}

Outcome ActionOutcome(
    std::function<void(ControlActions&, ControlActions::Done)> action) {
  Outcome outcome;
  outcome.action = std::move(action);
  return outcome;
}

Outcome Repair(const Request& request) {
  const auto name = BodyValue<std::string>(request.body, "name");
  return ActionOutcome(
      [name](ControlActions& actions, ControlActions::Done done) {
        actions.Repair(name, std::move(done));
      });
}

Outcome Transfer(const Request& request) {
  const consensus::NodeId node = FindMember(request);
  return ActionOutcome(
      [node](ControlActions& actions, ControlActions::Done done) {
        actions.Transfer(node, std::move(done));
      });
}

Outcome Remove(const Request& request) {
  const consensus::NodeId node = FindMember(request);
  return ActionOutcome(
      [node](ControlActions& actions, ControlActions::Done done) {
        actions.Remove(node, std::move(done));
      });
}

}  // namespace

std::vector<Route> ControlRoutes() {
  return {{"POST", "control/repair", Repair},
          {"POST", "control/transfer", Transfer},
          {"POST", "control/remove", Remove}};
}

}  // namespace laurelhall::operations
