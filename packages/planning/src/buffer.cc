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

constexpr double kDayMillis = 24.0 * 3600 * 1000;

/// A pool, or several that share, as their reserve is sized.
struct Sizing {
  int hosts = 0;
  int largest_rack = 0;
  int largest_zone = 0;
  int wave = 0;
  int failures = 0;

  int Need(bool has_wave,
           bool has_failures,
           bool has_rack,
           bool has_zone) const {
    int lost = has_failures ? failures : 0;
    lost = std::max(lost, has_rack ? largest_rack : 0);
    lost = std::max(lost, has_zone ? largest_zone : 0);
    return lost + (has_wave ? wave : 0);
  }
};

/// Which guarantees a sizing is asked for.
struct Asked {
  bool wave = true;
  bool failures = true;
  bool rack = true;
  bool zone = false;

  int Of(const Sizing& sizing) const {
    return sizing.Need(wave, failures, rack, zone);
  }

  Asked Without(Guarantee guarantee) const {
    static constexpr bool Asked::*flags[] = {&Asked::wave, &Asked::failures,
                                             &Asked::rack, &Asked::zone};
    Asked rest = *this;
    rest.*flags[static_cast<size_t>(guarantee)] = false;
    return rest;
  }
};

int Largest(const std::map<std::string, int>& counts) {
  int largest = 0;
  for (const auto& [name, count] : counts) {
    largest = std::max(largest, count);
  }
  return largest;
}

Sizing SizeOf(const std::vector<const Host*>& hosts,
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
  sizing.largest_rack = Largest(racks);
  sizing.largest_zone = Largest(zones);
  const double maintained_share =
      static_cast<double>(policy.maintenance_time.count()) /
      (PlanningPolicy().schedule_spread *
       std::max(1.0, static_cast<double>(period.count())));
  sizing.wave = static_cast<int>(std::ceil(sizing.hosts * maintained_share));
  const double failed_at_once =
      policy.failures_per_host_day * sizing.hosts *
      static_cast<double>(policy.repair_time.count()) / kDayMillis;
  sizing.failures = PoissonBound(failed_at_once, policy.shortfall_chance);
  return sizing;
}

std::string ShapeName(const model::Resources& shape) {
  return std::to_string(std::lround(shape.processors)) + "p" +
         std::to_string(std::lround(shape.memory_gb)) + "g" +
         std::to_string(shape.accelerators) + "a";
}

/// Where most of the pool's hosts are.
std::string RegionOf(const std::vector<const Host*>& hosts) {
  std::map<std::string, int> regions;
  for (const Host* host : hosts) {
    ++regions[host->region];
  }
  std::string most;
  int count = 0;
  for (const auto& [region, in_region] : regions) {
    if (in_region > count) {
      most = region;
      count = in_region;
    }
  }
  return most;
}

class BufferPlanner {
 public:
  BufferPlanner(const model::Fleet& fleet, const BufferPolicy& policy)
      : m_fleet(fleet),
        m_policy(policy),
        m_view(fleet, PlanningPolicy()),
        m_asked{.wave = policy.wave_guarantee,
                .failures = true,
                .rack = policy.rack_guarantee,
                .zone = policy.zone_guarantee} {}

  BufferPlan Plan() {
    SizePools();
    SetOwnReserves();
    SizeGroups();
    SumUp();
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

  void SizePools() {
    for (const auto& [name, pool] : m_fleet.pools) {
      m_shapes[RegionOf(m_view.PoolHosts(name))].push_back(pool.host_shape);
    }
    for (const auto& [name, pool] : m_fleet.pools) {
      const auto& hosts = m_view.PoolHosts(name);
      const model::Resources& shape = ReserveShape(pool, RegionOf(hosts));
      const std::string group = pool.may_lend
                                    ? RegionOf(hosts) + "/" + ShapeName(shape)
                                    : "pool " + name;
      AddToGroup(m_groups[group], pool, shape);
      const Sizing sizing = SizeOf(hosts, pool.maintenance_period, m_policy);
      m_pool_sizings.push_back(sizing);
      m_plan.pools.push_back({.pool = name,
                              .group = group,
                              .target_hosts = pool.target_hosts,
                              .members = sizing.hosts,
                              .largest_rack = sizing.largest_rack,
                              .largest_zone = sizing.largest_zone});
    }
  }

  /// The shape of the reserve that the pool shares.
  const model::Resources& ReserveShape(const Pool& pool,
                                       const std::string& region) const {
    const model::Resources* largest = &pool.host_shape;
    if (m_policy.across_shapes && pool.may_lend) {
      for (const model::Resources& shape : m_shapes.at(region)) {
        if (FitsShape(shape, *largest)) {
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
    if (FitsShape(pool.host_shape, reserve_shape)) {
      group.reserve_pools.push_back(pool.name);
    }
    group.hosts.insert(group.hosts.end(), hosts.begin(), hosts.end());
    group.period = std::min(group.period, pool.maintenance_period);
  }

  /// A host that moves in comes too late for the moment of the loss: what a
  /// service must keep through that, its own pools hold.
  void SetOwnReserves() {
    for (const auto& [name, service] : m_fleet.services) {
      std::vector<const Host*> hosts;
      PoolBuffer* largest = nullptr;
      int target = 0;
      for (PoolBuffer& pool : m_plan.pools) {
        const bool is_of_service =
            std::count(service.pools.begin(), service.pools.end(), pool.pool) >
            0;
        if (!is_of_service) {
          continue;
        }
        const auto& of_pool = m_view.PoolHosts(pool.pool);
        hosts.insert(hosts.end(), of_pool.begin(), of_pool.end());
        target += pool.target_hosts;
        if (largest == nullptr || pool.target_hosts > largest->target_hosts) {
          largest = &pool;
        }
      }
      if (largest != nullptr) {
        const Sizing sizing = SizeOf(hosts, LargestPeriod(service), m_policy);
        const int lasting = target - m_asked.Of(sizing);
        largest->own = std::max(largest->own, service.min_available - lasting);
      }
    }
  }

  Millis LargestPeriod(const model::Service& service) const {
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
      group.sizing = SizeOf(group.hosts, group.period, m_policy);
      m_plan.groups.push_back({.name = name,
                               .pools = group.pools,
                               .reserve_pools = group.reserve_pools,
                               .hosts = group.sizing.hosts,
                               .largest_rack = group.sizing.largest_rack,
                               .largest_zone = group.sizing.largest_zone,
                               .wave = group.sizing.wave,
                               .failures = group.sizing.failures,
                               .shared = SharedOf(name, group, m_asked)});
    }
  }

  int OwnOf(const std::string& group) const {
    int own = 0;
    for (const PoolBuffer& pool : m_plan.pools) {
      own += pool.group == group ? pool.own : 0;
    }
    return own;
  }

  int SharedOf(const std::string& name, const Group& group, Asked asked) const {
    return std::max(0, asked.Of(group.sizing) - OwnOf(name));
  }

  int SharedTotal(Asked asked) const {
    int total = 0;
    for (const auto& [name, group] : m_groups) {
      total += SharedOf(name, group, asked) + OwnOf(name);
    }
    return total;
  }

  int PerPoolTotal(Asked asked) const {
    int total = 0;
    for (const Sizing& sizing : m_pool_sizings) {
      total += asked.Of(sizing);
    }
    return total;
  }

  void SumUp() {
    m_plan.total = SharedTotal(m_asked);
    m_plan.per_pool_total = PerPoolTotal(m_asked);
    m_plan.n_plus_one_total = static_cast<int>(m_fleet.pools.size());
    for (const auto& [name, group] : m_groups) {
      m_plan.lower_bound += group.sizing.largest_rack;
    }
    for (size_t i = 0; i < static_cast<size_t>(Guarantee::kCount); ++i) {
      const auto guarantee = static_cast<Guarantee>(i);
      const Asked rest = m_asked.Without(guarantee);
      m_plan.guarantees.push_back(
          {.guarantee = guarantee,
           .shared = m_plan.total - SharedTotal(rest),
           .per_pool = m_plan.per_pool_total - PerPoolTotal(rest)});
    }
  }

  const model::Fleet& m_fleet;
  const BufferPolicy& m_policy;
  const FleetView m_view;
  const Asked m_asked;
  std::map<std::string, std::vector<model::Resources>> m_shapes;  // By region.
  std::map<std::string, Group> m_groups;
  std::vector<Sizing> m_pool_sizings;
  BufferPlan m_plan;
};

}  // namespace

int PoissonBound(double mean, double chance) {
  double probability = std::exp(-mean);
  double at_most = probability;
  int count = 0;
  // For a large mean the first terms vanish; the bound on the loop is for
  // values that aren't a chance.
  const int most = static_cast<int>(mean + 20 * std::sqrt(mean + 1)) + 20;
  while (1 - at_most > chance && count < most) {
    ++count;
    probability *= mean / count;
    at_most += probability;
  }
  return count;
}

BufferPlan PlanBuffers(const model::Fleet& fleet, const BufferPolicy& policy) {
  return BufferPlanner(fleet, policy).Plan();
}

}  // namespace laurelhall::planning
