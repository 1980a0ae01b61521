#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "laurelhall/control/control_host.h"

namespace laurelhall::operations {

/// What a control host needs of this package: the operators' API, and what the
/// leader does about waves, roll-outs, moves and jobs.
struct Operations {
  std::unique_ptr<control::OperatorService> service;
  std::vector<std::unique_ptr<control::LeaderDuty>> duties;
};

/// Makes both for one control host; they share what workers reported.
///
/// @param clock The wall clock of operators' requests; called on the thread
///   that handles them.
Operations MakeOperations(std::function<WallTime()> clock = WallNow);

}  // namespace laurelhall::operations
