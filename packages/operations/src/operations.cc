#include "laurelhall/operations/operations.h"

#include <utility>

#include "duties_p.h"

namespace laurelhall::operations {

Operations MakeOperations(
    std::function<WallTime()> clock,
    const std::shared_ptr<report::TraceRecorder>& recorder) {
  const auto board = std::make_shared<JobBoard>();
  Operations made;
  made.service = MakeOperatorService(board, std::move(clock));
  made.duties.push_back(MakeFleetDuty(recorder));
  made.duties.push_back(MakeJobDuty(board, recorder));
  return made;
}

}  // namespace laurelhall::operations
