#include "priority_queue_p.h"

#include <algorithm>
#include <chrono>

namespace laurelhall::routing {

double OrganisationQueue::Before(SteadyTime deadline) const {
  if (by_deadline.empty()) {
    return 0;
  }
  const SteadyTime first = std::get<0>(*by_deadline.begin());
  const SteadyTime last = std::get<0>(*by_deadline.rbegin());
  if (deadline >= last) {
    return size();
  }
  if (deadline <= first) {
    return 0;
  }
  // Assumes evenly spaced deadlines, since counting would take linear time.
  using Double = std::chrono::duration<double>;
  return size() * (Double(deadline - first) / Double(last - first));
}

void PriorityQueue::Insert(RequestHandle handle, const Waiting& waiting) {
  const AdmissionRequest& request = waiting.request;
  OrganisationQueue& queue = m_organisations[request.organisation];
  const OrganisationQueue::Key key{request.deadline, waiting.arrival, handle};
  queue.by_deadline.insert(key);
  queue.by_arrival.emplace(waiting.arrival, handle);
  queue.bytes += request.bytes;
  m_by_deadline.insert(key);
}

void PriorityQueue::Erase(RequestHandle handle, const Waiting& waiting) {
  const AdmissionRequest& request = waiting.request;
  const auto it = m_organisations.find(request.organisation);
  const OrganisationQueue::Key key{request.deadline, waiting.arrival, handle};
  OrganisationQueue& queue = it->second;
  queue.by_deadline.erase(key);
  queue.by_arrival.erase(waiting.arrival);
  queue.bytes -= request.bytes;
  if (queue.by_deadline.empty()) {
    m_organisations.erase(it);
  }
  m_by_deadline.erase(key);
  if (is_empty()) {
    passed_over = 0;
  }
}

const OrganisationQueue& PriorityQueue::Of(
    const std::string& organisation) const {
  static const OrganisationQueue none;
  const auto it = m_organisations.find(organisation);
  return it == m_organisations.end() ? none : it->second;
}

}  // namespace laurelhall::routing
