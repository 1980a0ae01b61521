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
  double needed_cores = 0;    ///< For what is here and what keeps coming.
  double expected_cores = 0;  ///< When a move would be done; 0: not known.
  uint32_t least_hosts = 0;   ///< That its persistent tasks need, apart.
};

/// A host as the choice of moves sees it.
struct PoolHost {
  std::string host;
  std::string service;  ///< Where it is, or is on its way to.
  double cores = 0;
  double busy_cores = 0;    ///< Of short work that runs there.
  Millis empties_in{0};     ///< Until what runs there has ended.
  Millis idle_for{0};       ///< Since it last had short work.
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
  /// A host that nobody needed for so long is parked: the longest pattern that
  /// the meter can see has gone by without it. Sooner costs more than it saves:
  /// a parked host comes back after its move, when a rush is well under way.
  Millis park_after{60'000};
  /// What all services together needed at most in the last seconds. Services
  /// rush one after the other, so that their sum is far steadier than each.
  double held_cores = 0;
  /// Left to each service, whatever it needs: a rush is met by them until
  /// others come.
  uint32_t least_hosts = 3;
  /// Of one round: what moves together is away together.
  size_t most_moves = 12;
  bool may_park = true;
};

/// Chooses hosts to move to where they are needed, and needless ones to a
/// spare pool.
///
/// @remarks Pure and thread-safe. One host at a time goes to the service that
///   is served worst, from a spare pool first, else from the service that is
///   served best, as long as that stays better off than the other becomes. What
///   is only expected takes no host from what is needed now.
std::vector<PoolMove> PlanMoves(const std::vector<PoolNeed>& pools,
                                std::vector<PoolHost> hosts,
                                const PoolWeights& weights,
                                SteadyTime now);

}  // namespace laurelhall::scheduling
