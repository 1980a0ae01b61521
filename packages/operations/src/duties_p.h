#pragma once

#include <functional>
#include <memory>

#include "in_flight_board_p.h"
#include "job_board_p.h"
#include "laurelhall/control/control_host.h"

namespace laurelhall::operations {

/// Drains, stops and returns hosts for waves, roll-outs and moves.
std::unique_ptr<control::LeaderDuty> MakeFleetDuty(
    std::shared_ptr<InFlightBoard> in_flight);

/// Places jobs on workers.
std::unique_ptr<control::LeaderDuty> MakeJobDuty(
    std::shared_ptr<JobBoard> board);

std::unique_ptr<control::OperatorService> MakeOperatorService(
    const std::shared_ptr<JobBoard>& jobs,
    const std::shared_ptr<InFlightBoard>& in_flight,
    std::function<WallTime()> clock);

}  // namespace laurelhall::operations
