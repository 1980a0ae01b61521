#include "laurelhall/scheduling/data_locality.h"

namespace laurelhall::scheduling {

Millis LongestRackWait(const StepSpec& step, double remote_data_factor) {
  return std::chrono::duration_cast<Millis>(step.estimate *
                                            (remote_data_factor - 1));
}

void RackQueues::AddWorker(const std::string& rack, int64_t millicores) {
  m_queues[rack].millicores += millicores;
}

void RackQueues::AddTask(const std::string& rack, const StepSpec& step) {
  m_queues[rack].work += static_cast<double>(step.need.millicores) *
                         static_cast<double>(step.estimate.count());
}

bool RackQueues::IsServedWithin(const std::string& rack, Millis time) const {
  const auto found = m_queues.find(rack);
  return found == m_queues.end() ||
         found->second.work <= static_cast<double>(found->second.millicores) *
                                   static_cast<double>(time.count());
}

}  // namespace laurelhall::scheduling
