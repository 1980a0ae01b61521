#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "laurelhall/base/time.h"

namespace laurelhall::scheduling {

/// A pool of hosts and what its service needs.
struct PoolNeed {
  std::string service;
  bool is_spare = false;
  double needed_cores = 0;  ///< Now and until a move would be done.
  /// The most it needed in the last seconds: no host is parked that was needed
  /// a moment ago.
  double held_cores = 0;
  uint32_t least_hosts = 0;  ///< That its persistent tasks need, apart.
};

/// A host as the choice of moves sees it.
struct PoolHost {
  std::string host;
  std::string service;  ///< Where it is, or is on its way to.
  double cores = 0;
  double busy_cores = 0;    ///< Of short work that runs there.
  Millis empties_in{0};     ///< Until what runs there has ended.
  bool is_movable = false;  ///< Up, not pinned, and under no other act.
  SteadyTime since{};       ///< In this pool.
};

struct PoolMove {
  std::string host;
  std::string to;
};

/// What moves are worth, whatever the deployment.
struct PoolWeights {
  /// A host stays at least so long: a move takes this long twice over, there
  /// and back, in which it serves nobody.
  Millis least_stay{3'000};
  /// A host that would be busy for longer is left to its work.
  Millis longest_emptying{1'500};
  /// A host that nobody needs is parked after so long.
  Millis park_after{2'000};
  /// Cores kept for each core needed. Arrivals within a rush vary, and a host
  /// that stands idle elsewhere costs the same.
  double headroom = 1.8;
  /// Left to each service, whatever it needs: a rush is met by them until
  /// others come.
  uint32_t least_hosts = 3;
  bool may_park = true;  ///< Whether what will be needed is known well enough.
};

/// Chooses hosts to move to where they are needed, and needless ones to a
/// spare pool.
///
/// @remarks Pure and thread-safe. One host at a time goes to the service that
///   is served worst, from a spare pool first, else from the service that is
///   served best, as long as that stays better off than the other becomes.
std::vector<PoolMove> PlanMoves(const std::vector<PoolNeed>& pools,
                                std::vector<PoolHost> hosts,
                                const PoolWeights& weights,
                                SteadyTime now);

}  // namespace laurelhall::scheduling
