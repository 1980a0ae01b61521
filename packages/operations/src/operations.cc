#include "laurelhall/operations/operations.h"

#include <utility>

#include "duties_p.h"

namespace laurelhall::operations {

Operations MakeOperations(
    std::function<WallTime()> clock,
    const std::shared_ptr<report::TraceRecorder>& recorder) {
  const auto board = std::make_shared<JobBoard>();
  const auto in_flight = std::make_shared<InFlightBoard>();
  Operations made;
  made.service = MakeOperatorService(board, in_flight, std::move(clock));
  made.duties.push_back(MakeFleetDuty(in_flight, recorder));
  made.duties.push_back(MakeJobDuty(board, recorder));
  return made;
}

}  // namespace laurelhall::operations
