#include "laurelhall/scheduling/data_locality.h"

namespace laurelhall::scheduling {

Millis LongestRackWait(const StepSpec& step, double remote_data_factor) {
  return std::chrono::duration_cast<Millis>(step.estimate *
                                            (remote_data_factor - 1));
}

}  // namespace laurelhall::scheduling
