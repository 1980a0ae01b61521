#pragma once

#include <functional>
#include <memory>

#include "in_flight_board_p.h"
#include "job_board_p.h"
#include "laurelhall/control/control_host.h"
#include "laurelhall/report/trace_recorder.h"

namespace laurelhall::operations {

// A duty with a recorder has its steps recorded; both run on one thread.

/// Drains, stops and returns hosts for waves, roll-outs and moves.
std::unique_ptr<control::LeaderDuty> MakeFleetDuty(
    std::shared_ptr<InFlightBoard> in_flight,
    std::shared_ptr<report::TraceRecorder> recorder = nullptr);

/// Places jobs on workers.
std::unique_ptr<control::LeaderDuty> MakeJobDuty(
    std::shared_ptr<JobBoard> board,
    std::shared_ptr<report::TraceRecorder> recorder = nullptr);

std::unique_ptr<control::OperatorService> MakeOperatorService(
    const std::shared_ptr<JobBoard>& jobs,
    const std::shared_ptr<InFlightBoard>& in_flight,
    std::function<WallTime()> clock);

}  // namespace laurelhall::operations
