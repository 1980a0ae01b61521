#pragma once

#include <map>
#include <string>
#include <vector>

#include "laurelhall/base/time.h"

namespace laurelhall::scheduling {

/// What is known of the rushes of one pool's service.
struct RushHistory {
  std::string service;
  double peak_cores = 0;  ///< Highest demand that was seen; 0: none.
};

/// Decides how many cores each pool keeps for the start of its next rush.
///
/// @remarks Not thread-safe; reads no clock. Serves loads in which the services
///   rush one after the other: a pool that gave all of its hosts to the rush of
///   another one serves the first seconds of its own too late, as hosts need
///   that long to come back. A job can wait for as long as its deadline allows
///   beyond its work (its slack). So the pool keeps the share of its rush's
///   demand that lets jobs wait no longer than that until hosts arrive.
class PoolFloors {
 public:
  /// Records the slack of a job that arrived for a service.
  void RecordSlack(const std::string& service, Millis slack);

  /// The cores that each pool keeps, by service. A service that had no rush yet
  /// may get one as large as the largest of the others.
  ///
  /// @param all_cores Of all pools together; the floors never take more than a
  ///   part of them.
  /// @param move_time From the decision to move a host until it serves.
  std::map<std::string, double> Compute(
      const std::vector<RushHistory>& histories,
      double all_cores,
      Millis move_time) const;

 private:
  std::map<std::string, double> m_slack_of;  // In milliseconds, smoothed.
};

}  // namespace laurelhall::scheduling
