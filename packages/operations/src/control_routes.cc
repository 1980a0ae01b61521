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

// The act is in the audit log before it is done.
Outcome ActionOutcome(
    const Request& request,
    const std::string& act,
    std::function<void(ControlActions&, ControlActions::Done)> action) {
  const auto name = BodyValue<std::string>(request.body, "name");
  Outcome outcome;
  outcome.commands = {
      state::ControlCommand{request.Operator(), act + " " + name}};
  outcome.action = std::move(action);
  return outcome;
}

Outcome Repair(const Request& request) {
  const auto name = BodyValue<std::string>(request.body, "name");
  return ActionOutcome(
      request, "repair",
      [name](ControlActions& actions, ControlActions::Done done) {
        actions.Repair(name, std::move(done));
      });
}

Outcome Transfer(const Request& request) {
  const consensus::NodeId node = FindMember(request);
  return ActionOutcome(
      request, "transfer",
      [node](ControlActions& actions, ControlActions::Done done) {
        actions.Transfer(node, std::move(done));
      });
}

Outcome Remove(const Request& request) {
  const consensus::NodeId node = FindMember(request);
  return ActionOutcome(
      request, "remove",
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
