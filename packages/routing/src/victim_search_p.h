#pragma once

#include <cstdint>
#include <vector>

#include "fair_share_p.h"
#include "handle_table_p.h"
#include "laurelhall/routing/admission.h"
#include "priority_queue_p.h"

namespace laurelhall::routing {

inline constexpr int kRequestPlaceBits = 20;
using RequestTable = HandleTable<Waiting, RequestTag, 0, kRequestPlaceBits>;

/// Finds waiting requests that give way to a new one in a full queue: less
/// urgent ones first, then those of organisations over their share; of each
/// organisation the newest. Nothing is removed by the search itself.
///
/// @remarks Not thread-safe.
class VictimSearch {
 public:
  /// @param requests,bytes What is missing, in count and size; none if <= 0.
  VictimSearch(FairShare& shares,
               const AdmissionRequest& newcomer,
               int requests,
               int64_t bytes);

  void TakeLessUrgent(const PriorityQueue& queue, const RequestTable& table);

  /// Takes from organisations that have more waiting for their weight than
  /// the new request's would have.
  void TakeOverShare(const PriorityQueue& queue, const RequestTable& table);

  bool is_enough() const { return m_requests <= 0 && m_bytes <= 0; }
  const std::vector<RequestHandle>& victims() const { return m_victims; }

 private:
  /// What an organisation still has after the victims taken so far.
  struct Source {
    std::string organisation;
    std::map<uint64_t, RequestHandle>::const_reverse_iterator newest;
    double load = 0;  ///< Requests or bytes, over weight.
    int left = 0;
  };

  void Take(const PriorityQueue& queue,
            const RequestTable& table,
            double least_load);
  std::vector<Source> SourcesOf(const PriorityQueue& queue);
  double Load(const AdmissionRequest& request);
  bool may_go_on() const;

  FairShare& m_shares;
  const AdmissionRequest& m_newcomer;
  const bool m_is_by_bytes;
  int m_requests;
  int64_t m_bytes;
  std::vector<RequestHandle> m_victims;
};

}  // namespace laurelhall::routing
