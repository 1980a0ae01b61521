#pragma once

#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "laurelhall/model/config.h"
#include "laurelhall/state/machine.h"
#include "snapshot_p.h"

namespace laurelhall::state {

/// Service-level samples by service and minute, added up over entry hosts.
///
/// @remarks Since() is thread-safe; all else is for the one applying thread.
class BurnHistory {
 public:
  explicit BurnHistory(const MachineLimits& limits);

  /// Adds samples of services that the settings know; drops the others.
  ActResult Apply(const BurnCommand& command, const model::Config& config);
  void Expire(WallTime now);

  std::vector<BurnSample> Since(const std::string& service,
                                WallTime since) const;

  void Save(SnapshotWriter& writer) const;
  void Load(const BurnSample& sample);

 private:
  using Minutes = std::map<WallTime, BurnSample>;

  const MachineLimits m_limits;
  mutable std::mutex m_mutex;  // Guards all below.
  std::map<std::string, Minutes> m_services;
};

}  // namespace laurelhall::state
