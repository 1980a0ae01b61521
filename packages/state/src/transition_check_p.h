#pragma once

#include <string>

#include "laurelhall/model/config.h"
#include "laurelhall/state/command.h"

// What a host's transition is checked against besides the lifecycle. All are
// pure: a replica answers as the others do.
namespace laurelhall::state {

/// Why a host can't belong to a pool, or "".
std::string WhyNotJoin(const model::Host& host,
                       const std::string& pool_name,
                       const model::Config& config);

/// Why the settings, or who holds the host, forbid a transition, or "".
std::string WhyNotTransition(const model::Host& host,
                             const HostCommand& command,
                             const model::Config& config);

/// Whether the command takes a host from availability budgets.
bool TakesFromBudget(const HostCommand& command);

/// Whether the transition is only for a host that holds no job.
bool NeedsEmptyHost(model::HostEvent event);

/// Why the budgets forbid a drain as of this fleet, or "". O(hosts).
std::string WhyNotDrain(const model::Fleet& fleet, const std::string& host);

}  // namespace laurelhall::state
