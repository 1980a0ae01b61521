#pragma once

#include <string>
#include <vector>

#include "laurelhall/model/fleet.h"

// How many hosts are held in reserve, for what, and what that costs.
namespace laurelhall::planning {

/// What the reserve is sized for.
struct BufferPolicy {
  /// Hosts that fail on a day, per host; a deployment's own record.
  double failures_per_host_day = 17.0 / 1900;
  Millis repair_time{std::chrono::hours(4)};
  /// Chance that more hosts have failed at once than the reserve is for.
  double shortfall_chance = 0.001;
  Millis maintenance_time{std::chrono::hours(1)};
  /// Whether the wave's hosts are covered beside a rack's loss or failures.
  bool wave_guarantee = true;
  bool rack_guarantee = true;
  bool zone_guarantee = false;
  /// Whether pools of smaller hosts share the reserve of the pools with larger
  /// ones. Fewer hosts, but the smaller pools have none of their own and are
  /// below target while a host of theirs is in maintenance.
  bool across_shapes = false;
};

/// A pool's own reserve, for what can't wait for a host to move in.
struct PoolBuffer {
  std::string pool;
  std::string group;     ///< The pools that it shares a reserve with.
  int target_hosts = 0;  ///< Without reserve.
  int members = 0;
  int largest_rack = 0;
  int largest_zone = 0;
  int own = 0;  ///< Hosts that the pool itself must have over its target.
};

/// Pools of one region whose hosts fit, which lend each other hosts.
struct BufferGroup {
  std::string name;
  std::vector<std::string> pools;
  std::vector<std::string> reserve_pools;  ///< Whose hosts fit all the others.
  int hosts = 0;
  int largest_rack = 0;
  int largest_zone = 0;
  int wave = 0;      ///< Hosts away for maintenance at the needed pace.
  int failures = 0;  ///< Hosts failed at once but for the shortfall chance.
  int shared = 0;    ///< Hosts to hold in reserve for the whole group.
};

enum class Guarantee { kWave, kFailures, kRack, kZone, kCount };
BOOST_DESCRIBE_ENUM(Guarantee, kWave, kFailures, kRack, kZone)

/// What one guarantee adds to the reserve, all others being kept.
struct GuaranteeCost {
  Guarantee guarantee = Guarantee::kCount;
  int shared = 0;    ///< Hosts, with the reserve shared.
  int per_pool = 0;  ///< Hosts, if each pool kept its own.
};

struct BufferPlan {
  std::vector<PoolBuffer> pools;
  std::vector<BufferGroup> groups;
  std::vector<GuaranteeCost> guarantees;
  int total = 0;  ///< Cost in hosts: own and shared.
  /// The same guarantees with no pool lending to another.
  int per_pool_total = 0;
  /// One spare host in each pool, which guarantees no rack.
  int n_plus_one_total = 0;
  /// Least that survives the largest rack of each group.
  int lower_bound = 0;
};

/// Sizes the reserve of each pool and of the pools that share one.
///
/// @remarks Thread-safe. Pools share where they are in the same region, may
///   lend and have hosts of the same shape, or as across_shapes says. A rack's
///   loss and single failures are taken as two cases, the larger of which
///   counts: the wave that is under way pauses for either.
BufferPlan PlanBuffers(const model::Fleet& fleet,
                       const BufferPolicy& policy = {});

/// The least n with P(Poisson(mean) > n) <= `chance`. Thread-safe.
int PoissonBound(double mean, double chance);

}  // namespace laurelhall::planning
