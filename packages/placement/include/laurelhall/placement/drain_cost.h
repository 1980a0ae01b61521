#pragma once

#include <string>
#include <vector>

#include "laurelhall/model/fleet.h"

namespace laurelhall::placement {

/// The jobs and the work that draining one host now would affect.
struct HostDrainCost {
  std::string host;
  int urgent_jobs = 0;
  int jobs = 0;
  Millis work_lost{0};   ///< Processor time of runs that cannot checkpoint.
  Millis work_moved{0};  ///< Processor time of runs that can checkpoint.

  friend bool operator==(const HostDrainCost&, const HostDrainCost&) = default;
};
BOOST_DESCRIBE_STRUCT(HostDrainCost,
                      (),
                      (host, urgent_jobs, jobs, work_lost, work_moved))

/// Returns the cost of draining a host now. Thread-safe.
///
/// @param now The leader's wall time.
HostDrainCost ComputeDrainCost(const model::Fleet& fleet,
                               const std::string& host,
                               WallTime now);

/// Returns the drain cost of each host of a pool in ascending order.
///
/// @param pool Pool name; empty selects the hosts of all pools.
/// @remarks Ordered by number of urgent jobs, work lost, work moved and host
///   id. Iterates over the jobs once. Thread-safe.
std::vector<HostDrainCost> HostsByDrainCost(const model::Fleet& fleet,
                                            const std::string& pool,
                                            WallTime now);

}  // namespace laurelhall::placement
