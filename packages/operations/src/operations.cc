#include "laurelhall/operations/operations.h"

#include "duties_p.h"

namespace laurelhall::operations {

Operations MakeOperations() {
  const auto board = std::make_shared<JobBoard>();
  Operations made;
  made.service = MakeOperatorService(board);
  made.duties.push_back(MakeFleetDuty());
  made.duties.push_back(MakeJobDuty(board));
  return made;
}

}  // namespace laurelhall::operations
