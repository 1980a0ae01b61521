#pragma once

#include <string>
#include <vector>

#include "laurelhall/model/fleet.h"

namespace laurelhall::placement {

/// What draining one host now would cost its jobs.
struct HostDrainCost {
  std::string host;
  int urgent_jobs = 0;
  int jobs = 0;
  Millis work_lost{0};   ///< Processor time that no checkpoint keeps.
  Millis work_moved{0};  ///< Processor time that checkpoints keep.

  friend bool operator==(const HostDrainCost&, const HostDrainCost&) = default;
};
BOOST_DESCRIBE_STRUCT(HostDrainCost,
                      (),
                      (host, urgent_jobs, jobs, work_lost, work_moved))

/// Returns what draining a host now would cost. Thread-safe.
///
/// @param now The leader's wall time.
HostDrainCost DrainCost(const model::Fleet& fleet,
                        const std::string& host,
                        WallTime now);

/// Returns the cost of each host of a pool, the cheapest first.
///
/// @param pool Empty for all pools.
/// @remarks Fewest urgent jobs first, then least work lost, least work moved,
///   and host id. One pass over the jobs. Thread-safe.
std::vector<HostDrainCost> CheapestToDrain(const model::Fleet& fleet,
                                           const std::string& pool,
                                           WallTime now);

}  // namespace laurelhall::placement
