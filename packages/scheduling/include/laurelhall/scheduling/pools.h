#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "laurelhall/base/time.h"

namespace laurelhall::scheduling {

/// A pool of hosts and the demand of the service that it belongs to.
struct PoolDemand {
  std::string service;
  bool is_spare = false;      ///< For parked hosts, which serve nobody.
  double pressing_cores = 0;  ///< For the work at hand, without headroom.
  double needed_cores = 0;    ///< For the work at hand and what arrives.
  double expected_cores = 0;  ///< Once a move would be done; 0: unknown.
  uint32_t min_hosts = 0;     ///< To spread its persistent tasks over.
  double floor_cores = 0;     ///< Kept for the start of its next rush.
};

/// A host as an input of PlanMoves().
struct PoolHost {
  std::string host;
  std::string service;  ///< Whose pool it is in or is moving to.
  double cores = 0;
  double busy_cores = 0;      ///< By running tasks, persistent ones aside.
  Millis time_until_idle{0};  ///< Until its running tasks have ended.
  Millis idle_for{0};         ///< Since it last ran such tasks.
  bool is_movable = false;    ///< Up, not pinned, and under no other operation.
  SteadyTime since{};         ///< When it came into this pool.
};

/// A host and the service whose pool it is to move to.
struct PoolMove {
  std::string host;
  std::string to;
};

/// Limits on moves, which hold for every deployment.
struct PoolMoveLimits {
  /// A host stays in a pool for at least this long. A move there and back takes
  /// this long twice over, and the host serves nobody meanwhile.
  Millis min_stay{3'000};
  /// A host whose running tasks take longer than this to end is not moved.
  Millis max_time_until_idle{1'500};
  /// A host that has been idle for this long is parked: the longest period that
  /// DemandMeter recognises has passed without a need for it. Parking sooner
  /// costs more than it saves, as a parked host returns only after its move,
  /// when a rush is well under way.
  Millis park_after{60'000};
  /// Cores that parking leaves in use: the most that all services together
  /// needed in the last seconds. Services rush one after the other, so that
  /// their sum is far steadier than the need of each.
  double min_active_cores = 0;
  /// Hosts that each service keeps whatever it needs, to serve the start of a
  /// rush until other hosts arrive.
  uint32_t min_hosts = 3;
  /// Most moves in one plan, because hosts that move together are out of
  /// service together.
  size_t max_moves = 12;
  bool may_park = true;
};

/// Estimates PoolHost::time_until_idle.
using DrainEstimate = std::function<Millis(const PoolHost& host)>;

/// Chooses hosts to move to the services that need them, and hosts to park in
/// the spare pool because no service needs them.
///
/// @param time_until_idle If set, called instead of a use of the hosts' own
///   times, only for hosts that another service may take.
/// @remarks Pure and thread-safe. Gives one host at a time to the service with
///   the lowest coverage (cores held per core needed), from the spare pool if
///   possible, else from a service with high coverage, as long as the donor
///   stays better covered than the receiver becomes. Expected demand takes no
///   host that is needed now, and a pool is taken below its floor only by work
///   that waits elsewhere.
std::vector<PoolMove> PlanMoves(const std::vector<PoolDemand>& pools,
                                std::vector<PoolHost> hosts,
                                const PoolMoveLimits& weights,
                                SteadyTime now,
                                const DrainEstimate& time_until_idle = {});

}  // namespace laurelhall::scheduling
