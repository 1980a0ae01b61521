#pragma once

#include <string>
#include <vector>

#include "laurelhall/model/fleet.h"

// Sizes the host reserve that covers maintenance and the loss of hosts, and
// counts the hosts that each guarantee costs.
namespace laurelhall::planning {

/// The losses that the reserve must cover.
struct BufferPolicy {
  /// Failures per host and day, from the deployment's records.
  double failures_per_host_day = 17.0 / 1900;
  Millis repair_time{std::chrono::hours(4)};
  /// Accepted probability that more hosts are failed at once than the reserve
  /// covers.
  double shortfall_probability = 0.001;
  /// Time that one host is away for its maintenance.
  Millis maintenance_time{std::chrono::hours(1)};
  /// Whether the hosts in maintenance are covered in addition to the loss of a
  /// domain or to single failures.
  bool wave_guarantee = true;
  /// Whether the loss of the largest rack is covered.
  bool rack_guarantee = true;
  /// Whether the loss of the largest availability zone is covered.
  bool zone_guarantee = false;
  /// Whether pools of smaller hosts share the reserve of pools with larger
  /// hosts. This takes fewer hosts, but the smaller pools have no reserve of
  /// their own and are below target while one of their hosts is in maintenance.
  bool share_across_shapes = false;
};

/// A pool's own reserve, which covers losses without waiting for a host to be
/// moved from another pool.
struct PoolBuffer {
  std::string pool;
  std::string group;     ///< Name of the BufferGroup that the pool is in.
  int target_hosts = 0;  ///< Hosts that the pool needs, without reserve.
  int members = 0;       ///< Hosts that are in the pool now.
  int largest_rack = 0;  ///< The pool's hosts in its largest rack.
  int largest_zone = 0;  ///< The pool's hosts in its largest zone.
  int own = 0;           ///< Hosts that the pool must have above its target.
};

/// Pools of one region that lend each other hosts, since the shapes fit. A pool
/// that may not lend forms a group of its own.
struct BufferGroup {
  std::string name;
  std::vector<std::string> pools;
  /// Pools whose hosts fit every pool of the group.
  std::vector<std::string> reserve_pools;
  int hosts = 0;         ///< Hosts that are in the group's pools now.
  int largest_rack = 0;  ///< The group's hosts in its largest rack.
  int largest_zone = 0;  ///< The group's hosts in its largest zone.
  /// Hosts in maintenance at once at the pace that the schedule needs.
  int wave = 0;
  /// Failed hosts at once, exceeded with at most shortfall_probability.
  int failures = 0;
  /// Hosts to hold in reserve for the whole group, besides the pools' own.
  int shared = 0;
};

enum class Guarantee { kWave, kFailures, kRack, kZone, kCount };
BOOST_DESCRIBE_ENUM(Guarantee, kWave, kFailures, kRack, kZone)

/// The hosts that the reserve would shrink by without one guarantee, with all
/// other guarantees kept.
struct GuaranteeCost {
  Guarantee guarantee = Guarantee::kCount;
  int shared = 0;    ///< Hosts, if the pools of a group share a reserve.
  int per_pool = 0;  ///< Hosts, if each pool has a reserve of its own.
};

struct BufferPlan {
  std::vector<PoolBuffer> pools;
  std::vector<BufferGroup> groups;
  std::vector<GuaranteeCost> guarantees;
  int total = 0;  ///< Reserve hosts of all pools, own and shared.
  /// Reserve hosts for the same guarantees if no pool lent to another.
  int per_pool_total = 0;
  /// Reserve hosts with one spare in each pool, which doesn't cover a rack.
  int n_plus_one_total = 0;
  /// The fewest reserve hosts that cover the largest rack of each group.
  int lower_bound = 0;
};

/// Sizes the reserve of each pool and of each group of pools that share one.
///
/// @remarks Thread-safe. Pools share a reserve if they are in the same region,
///   may lend and have hosts of the same shape; with share_across_shapes the
///   larger shape's reserve serves the smaller shapes too. The loss of a rack
///   or zone and single failures aren't added up: the larger of them counts,
///   since a wave under way pauses for either.
BufferPlan PlanBuffers(const model::Fleet& fleet,
                       const BufferPolicy& policy = {});

/// Returns the least n with P(Poisson(mean) > n) <= `tail_probability`.
/// Thread-safe.
int PoissonQuantile(double mean, double tail_probability);

}  // namespace laurelhall::planning
