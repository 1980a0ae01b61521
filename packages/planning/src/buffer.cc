#include "laurelhall/planning/buffer.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

#include "planning_p.h"

namespace laurelhall::planning {
namespace {

using model::Host;
using model::Pool;

constexpr double kMillisPerDay = 24.0 * 3600 * 1000;

/// The numbers that set the reserve of one pool, or of several that share one.
struct Sizing {
  int hosts = 0;
  int largest_rack = 0;
  int largest_zone = 0;
  int wave = 0;      ///< Hosts in maintenance at once.
  int failures = 0;  ///< Failed hosts at once.

  int RequiredReserve(bool covers_wave,
                      bool covers_failures,
                      bool covers_rack,
                      bool covers_zone) const {
    int lost = covers_failures ? failures : 0;
    lost = std::max(lost, covers_rack ? largest_rack : 0);
    lost = std::max(lost, covers_zone ? largest_zone : 0);
    return lost + (covers_wave ? wave : 0);
  }
};

/// The guarantees that a reserve must give.
struct RequiredGuarantees {
  bool wave = true;
  bool failures = true;
  bool rack = true;
  bool zone = false;

  int RequiredReserve(const Sizing& sizing) const {
    return sizing.RequiredReserve(wave, failures, rack, zone);
  }

  RequiredGuarantees Without(Guarantee guarantee) const {
    static constexpr bool RequiredGuarantees::*flags[] = {
        &RequiredGuarantees::wave, &RequiredGuarantees::failures,
        &RequiredGuarantees::rack, &RequiredGuarantees::zone};
    RequiredGuarantees others = *this;
    others.*flags[static_cast<size_t>(guarantee)] = false;
    return others;
  }
};

int LargestCount(const std::map<std::string, int>& counts) {
  int largest = 0;
  for (const auto& [name, count] : counts) {
    largest = std::max(largest, count);
  }
  return largest;
}

Sizing ComputeSizing(const std::vector<const Host*>& hosts,
                     Millis period,
                     const BufferPolicy& policy) {
  std::map<std::string, int> racks;
  std::map<std::string, int> zones;
  for (const Host* host : hosts) {
    ++racks[host->availability_zone + "/" + host->rack];
    ++zones[host->availability_zone];
  }
  Sizing sizing;
  sizing.hosts = static_cast<int>(hosts.size());
  sizing.largest_rack = LargestCount(racks);
  sizing.largest_zone = LargestCount(zones);
  const double in_maintenance_share =
      static_cast<double>(policy.maintenance_time.count()) /
      (PlanningPolicy().schedule_spread_share *
       std::max(1.0, static_cast<double>(period.count())));
  sizing.wave =
      static_cast<int>(std::ceil(sizing.hosts * in_maintenance_share));
  const double mean_failed_at_once =
      policy.failures_per_host_day * sizing.hosts *
      static_cast<double>(policy.repair_time.count()) / kMillisPerDay;
  sizing.failures =
      PoissonQuantile(mean_failed_at_once, policy.shortfall_probability);
  return sizing;
}

std::string ShapeName(const model::Resources& shape) {
  return std::to_string(std::lround(shape.processors)) + "p" +
         std::to_string(std::lround(shape.memory_gb)) + "g" +
         std::to_string(shape.accelerators) + "a";
}

/// Returns the region with most of the hosts, or "" if there are none.
std::string MainRegion(const std::vector<const Host*>& hosts) {
  std::map<std::string, int> regions;
  for (const Host* host : hosts) {
    ++regions[host->region];
  }
  std::string main_region;
  int count = 0;
  for (const auto& [region, in_region] : regions) {
    if (in_region > count) {
      main_region = region;
      count = in_region;
    }
  }
  return main_region;
}

class BufferPlanner {
 public:
  BufferPlanner(const model::Fleet& fleet, const BufferPolicy& policy)
      : m_fleet(fleet),
        m_policy(policy),
        m_view(fleet, PlanningPolicy()),
        m_required{.wave = policy.wave_guarantee,
                   .failures = true,
                   .rack = policy.rack_guarantee,
                   .zone = policy.zone_guarantee} {}

  BufferPlan Plan() {
    SizePools();
    SetOwnReserves();
    SizeGroups();
    ComputeTotals();
    return std::move(m_plan);
  }

 private:
  struct Group {
    std::vector<std::string> pools;
    std::vector<std::string> reserve_pools;
    std::vector<const Host*> hosts;
    Millis period = Millis::max();
    Sizing sizing;
  };

  /// Sizes each pool by itself, and puts it into its group.
  void SizePools() {
    for (const auto& [name, pool] : m_fleet.pools) {
      m_shapes[MainRegion(m_view.PoolHosts(name))].push_back(pool.host_shape);
    }
    for (const auto& [name, pool] : m_fleet.pools) {
      const auto& hosts = m_view.PoolHosts(name);
      const model::Resources& shape = ReserveShape(pool, MainRegion(hosts));
      const std::string group = pool.may_lend
                                    ? MainRegion(hosts) + "/" + ShapeName(shape)
                                    : "pool " + name;
      AddToGroup(m_groups[group], pool, shape);
      const Sizing sizing =
          ComputeSizing(hosts, pool.maintenance_period, m_policy);
      m_pool_sizings.push_back(sizing);
      m_plan.pools.push_back({.pool = name,
                              .group = group,
                              .target_hosts = pool.target_hosts,
                              .members = sizing.hosts,
                              .largest_rack = sizing.largest_rack,
                              .largest_zone = sizing.largest_zone});
    }
  }

  /// Returns the host shape of the reserve that the pool shares: its own, or
  /// with share_across_shapes a larger one of its region that also fits the
  /// pool.
  const model::Resources& ReserveShape(const Pool& pool,
                                       const std::string& region) const {
    const model::Resources* largest = &pool.host_shape;
    if (m_policy.share_across_shapes && pool.may_lend) {
      for (const model::Resources& shape : m_shapes.at(region)) {
        if (CoversShape(shape, *largest)) {
          largest = &shape;
        }
      }
    }
    return *largest;
  }

  void AddToGroup(Group& group,
                  const Pool& pool,
                  const model::Resources& reserve_shape) {
    const auto& hosts = m_view.PoolHosts(pool.name);
    group.pools.push_back(pool.name);
    if (CoversShape(pool.host_shape, reserve_shape)) {
      group.reserve_pools.push_back(pool.name);
    }
    group.hosts.insert(group.hosts.end(), hosts.begin(), hosts.end());
    group.period = std::min(group.period, pool.maintenance_period);
  }

  /// Gives each service's largest pool the reserve that the service needs to
  /// keep min_available through a loss. A host moved in from another pool would
  /// arrive too late for that, so the service's own pools must hold it.
  void SetOwnReserves() {
    for (const auto& [name, service] : m_fleet.services) {
      std::vector<const Host*> hosts;
      PoolBuffer* largest = nullptr;
      int target = 0;
      for (PoolBuffer& pool : m_plan.pools) {
        const bool belongs_to_service =
            std::count(service.pools.begin(), service.pools.end(), pool.pool) >
            0;
        if (!belongs_to_service) {
          continue;
        }
        const auto& pool_hosts = m_view.PoolHosts(pool.pool);
        hosts.insert(hosts.end(), pool_hosts.begin(), pool_hosts.end());
        target += pool.target_hosts;
        if (largest == nullptr || pool.target_hosts > largest->target_hosts) {
          largest = &pool;
        }
      }
      if (largest != nullptr) {
        const Sizing sizing =
            ComputeSizing(hosts, LongestPeriod(service), m_policy);
        const int remaining = target - m_required.RequiredReserve(sizing);
        largest->own =
            std::max(largest->own, service.min_available - remaining);
      }
    }
  }

  Millis LongestPeriod(const model::Service& service) const {
    Millis period{0};
    for (const std::string& pool : service.pools) {
      const auto found = m_fleet.pools.find(pool);
      if (found != m_fleet.pools.end()) {
        period = std::max(period, found->second.maintenance_period);
      }
    }
    return period;
  }

  void SizeGroups() {
    for (auto& [name, group] : m_groups) {
      group.sizing = ComputeSizing(group.hosts, group.period, m_policy);
      m_plan.groups.push_back(
          {.name = name,
           .pools = group.pools,
           .reserve_pools = group.reserve_pools,
           .hosts = group.sizing.hosts,
           .largest_rack = group.sizing.largest_rack,
           .largest_zone = group.sizing.largest_zone,
           .wave = group.sizing.wave,
           .failures = group.sizing.failures,
           .shared = SharedReserveOf(name, group, m_required)});
    }
  }

  int OwnReserveOf(const std::string& group) const {
    int own = 0;
    for (const PoolBuffer& pool : m_plan.pools) {
      own += pool.group == group ? pool.own : 0;
    }
    return own;
  }

  int SharedReserveOf(const std::string& name,
                      const Group& group,
                      RequiredGuarantees required) const {
    return std::max(
        0, required.RequiredReserve(group.sizing) - OwnReserveOf(name));
  }

  int TotalWithSharing(RequiredGuarantees required) const {
    int total = 0;
    for (const auto& [name, group] : m_groups) {
      total += SharedReserveOf(name, group, required) + OwnReserveOf(name);
    }
    return total;
  }

  int TotalWithoutSharing(RequiredGuarantees required) const {
    int total = 0;
    for (const Sizing& sizing : m_pool_sizings) {
      total += required.RequiredReserve(sizing);
    }
    return total;
  }

  void ComputeTotals() {
    m_plan.total = TotalWithSharing(m_required);
    m_plan.per_pool_total = TotalWithoutSharing(m_required);
    m_plan.n_plus_one_total = static_cast<int>(m_fleet.pools.size());
    for (const auto& [name, group] : m_groups) {
      m_plan.lower_bound += group.sizing.largest_rack;
    }
    for (size_t i = 0; i < static_cast<size_t>(Guarantee::kCount); ++i) {
      const auto guarantee = static_cast<Guarantee>(i);
      const RequiredGuarantees others = m_required.Without(guarantee);
      m_plan.guarantees.push_back(
          {.guarantee = guarantee,
           .shared = m_plan.total - TotalWithSharing(others),
           .per_pool = m_plan.per_pool_total - TotalWithoutSharing(others)});
    }
  }

  const model::Fleet& m_fleet;
  const BufferPolicy& m_policy;
  const FleetView m_view;
  const RequiredGuarantees m_required;
  std::map<std::string, std::vector<model::Resources>> m_shapes;  // By region.
  std::map<std::string, Group> m_groups;
  std::vector<Sizing> m_pool_sizings;
  BufferPlan m_plan;
};

}  // namespace

int PoissonQuantile(double mean, double tail_probability) {
  double probability = std::exp(-mean);
  double cumulative = probability;
  int count = 0;
  // For a large mean the first terms underflow. The limit ends the loop for
  // arguments that aren't a probability.
  const int max_count = static_cast<int>(mean + 20 * std::sqrt(mean + 1)) + 20;
  while (1 - cumulative > tail_probability && count < max_count) {
    ++count;
    probability *= mean / count;
    cumulative += probability;
  }
  return count;
}

BufferPlan PlanBuffers(const model::Fleet& fleet, const BufferPolicy& policy) {
  return BufferPlanner(fleet, policy).Plan();
}

}  // namespace laurelhall::planning
