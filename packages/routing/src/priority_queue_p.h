#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>

#include "laurelhall/routing/admission.h"

namespace laurelhall::routing {

/// A request that waits.
struct Waiting {
  AdmissionRequest request;
  uint64_t arrival = 0;  ///< Counts up.
  bool is_taken = false;
};

/// Requests of one organisation in one priority.
struct OrganisationQueue {
  using Key = std::tuple<SteadyTime, uint64_t, RequestHandle>;
  std::set<Key> by_deadline;
  std::map<uint64_t, RequestHandle> by_arrival;
  int64_t bytes = 0;

  int size() const { return static_cast<int>(by_deadline.size()); }

  /// Requests that an earlier deadline puts before this one, about.
  double Before(SteadyTime deadline) const;
};

/// Requests of one priority, by organisation. All steps take O(log n).
///
/// @remarks Not thread-safe.
class PriorityQueue {
 public:
  void Insert(RequestHandle handle, const Waiting& waiting);
  void Erase(RequestHandle handle, const Waiting& waiting);

  bool is_empty() const { return m_by_deadline.empty(); }
  int size() const { return static_cast<int>(m_by_deadline.size()); }
  const std::map<std::string, OrganisationQueue>& organisations() const {
    return m_organisations;
  }

  /// The organisation's queue; an empty one if it has none.
  const OrganisationQueue& Of(const std::string& organisation) const;

  /// The request whose deadline comes first. @pre Not empty.
  RequestHandle Earliest() const { return std::get<2>(*m_by_deadline.begin()); }
  SteadyTime EarliestDeadline() const {
    return std::get<0>(*m_by_deadline.begin());
  }

  int passed_over = 0;  ///< Dispatches in a row that went to others.

 private:
  std::map<std::string, OrganisationQueue> m_organisations;
  std::set<OrganisationQueue::Key> m_by_deadline;
};

}  // namespace laurelhall::routing
