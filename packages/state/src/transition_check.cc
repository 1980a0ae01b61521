#include "transition_check_p.h"

#include "laurelhall/budget/budget.h"
#include "results_p.h"

namespace laurelhall::state {

using model::Host;
using model::HostEvent;

namespace {

bool Fits(const model::Resources& capacity, const model::Resources& shape) {
  return capacity.processors >= shape.processors &&
         capacity.memory_gb >= shape.memory_gb &&
         capacity.accelerators >= shape.accelerators;
}

bool IsMoveDrain(const HostCommand& command) {
  return command.event == HostEvent::kDrain &&
         command.drain_reason == model::DrainReason::kMove;
}

}  // namespace

std::string WhyNotJoin(const Host& host,
                       const std::string& pool_name,
                       const model::Config& config) {
  const auto pool = config.pools.find(pool_name);
  if (pool == config.pools.end()) {
    return "unknown pool \"" + pool_name + "\"";
  }
  if (!Fits(host.capacity, pool->second.host_shape)) {
    return "host " + host.id + " offers less than pool " + pool_name +
           " asks for";
  }
  return "";
}

std::string WhyNotTransition(const Host& host,
                             const HostCommand& command,
                             const model::Config& config) {
  if (command.expected_epoch != host.epoch) {
    return "host " + host.id + " is at epoch " + std::to_string(host.epoch) +
           " in state " + NameOf(host.state) + ", expected epoch " +
           std::to_string(command.expected_epoch);
  }
  const bool is_held_by_other =
      !host.act.empty() && !command.act.empty() && host.act != command.act;
  if (is_held_by_other && command.event != HostEvent::kFail) {
    return "host " + host.id + " is held by " + host.act;
  }
  if (IsMoveDrain(command)) {
    return WhyNotJoin(host, command.move_to, config);
  }
  if (command.event == HostEvent::kMovePool) {
    if (!command.move_to.empty() && command.move_to != host.move_to) {
      return "host " + host.id + " drained to move to \"" + host.move_to + "\"";
    }
    return WhyNotJoin(host, host.move_to, config);
  }
  return "";
}

bool TakesFromBudget(const HostCommand& command) {
  return command.event == HostEvent::kDrain && !command.force;
}

bool NeedsEmptyHost(HostEvent event) {
  return event == HostEvent::kConfirmEmpty ||
         event == HostEvent::kStopForMaintenance ||
         event == HostEvent::kMovePool;
}

std::string WhyNotDrain(const model::Fleet& fleet, const std::string& host) {
  const budget::Verdict verdict = budget::MayDrain(fleet, host);
  return verdict.is_allowed()
             ? ""
             : "host " + host + " may not drain now: " + verdict.Text();
}

}  // namespace laurelhall::state
