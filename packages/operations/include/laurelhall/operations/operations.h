#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "laurelhall/control/control_host.h"
#include "laurelhall/report/trace_recorder.h"

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
/// @param recorder Gets what the leader's duties saw and decided; null: none.
Operations MakeOperations(
    std::function<WallTime()> clock = WallNow,
    const std::shared_ptr<report::TraceRecorder>& recorder = nullptr);

}  // namespace laurelhall::operations
