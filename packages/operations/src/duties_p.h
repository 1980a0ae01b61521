#pragma once

#include <functional>
#include <memory>

#include "job_board_p.h"
#include "laurelhall/control/control_host.h"

namespace laurelhall::operations {

/// Drains, stops and returns hosts for waves, roll-outs and moves.
std::unique_ptr<control::LeaderDuty> MakeFleetDuty();

/// Places jobs on workers.
std::unique_ptr<control::LeaderDuty> MakeJobDuty(
    std::shared_ptr<JobBoard> board);

std::unique_ptr<control::OperatorService> MakeOperatorService(
    const std::shared_ptr<JobBoard>& board,
    std::function<WallTime()> clock);

}  // namespace laurelhall::operations
