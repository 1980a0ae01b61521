#pragma once

#include <memory>
#include <vector>

#include "laurelhall/control/control_host.h"

namespace laurelhall::operations {

/// The operators' HTTP API, answered by the confirmed leader.
///
/// @returns A service that is thread-safe and keeps no state of its own.
std::unique_ptr<control::OperatorService> MakeOperatorService();

/// What the leader does about waves, roll-outs, moves and jobs.
std::vector<std::unique_ptr<control::LeaderDuty>> MakeLeaderDuties();

}  // namespace laurelhall::operations
