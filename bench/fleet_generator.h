#pragma once

#include <algorithm>
#include <string>
#include <vector>

#include "laurelhall/planning/buffer.h"

// Fleets of the sizes that are to be served, from a few numbers.
namespace laurelhall::bench {

struct Site {
  std::string name;
  int hosts = 0;  ///< That the load needs, without reserve.
  int pools = 0;
  int regions = 1;
  int zones = 0;  ///< In all regions together.
  int teams = 0;
  int hosts_per_rack = 4;
  double accelerated_pools = 0;  ///< Share of the pools, with four a host.
  model::Resources shape;
  model::MeasureWeights weights;
};

/// Makes a site's fleet: pools of one region and host shape are interleaved
/// over its racks, and racks over its zones.
class FleetGenerator {
 public:
  explicit FleetGenerator(const Site& site) : m_site(site) { AddPools(); }

  /// Adds the hosts that the load needs.
  void AddTargets() {
    int number = 0;
    for (int host = 0; host < m_site.hosts; ++host) {
      const int pool = host % m_site.pools;
      ++m_fleet.pools.at(PoolName(pool)).target_hosts;
      AddHost(pool, number++);
    }
    AddServices();
  }

  /// Adds reserve hosts to pools of a group in turn.
  void AddReserve(const std::vector<std::string>& pools, int count) {
    for (int i = 0; i < count; ++i) {
      const std::string& pool = pools[static_cast<size_t>(i) % pools.size()];
      AddHost(std::stoi(pool.substr(1)) - kFirstNumber,
              kReserveNumber + m_reserve++);
    }
  }

  /// Adds what PlanBuffers() says.
  void AddPlannedReserve(const planning::BufferPolicy& policy = {}) {
    const planning::BufferPlan plan = planning::PlanBuffers(m_fleet, policy);
    for (const planning::PoolBuffer& pool : plan.pools) {
      AddReserve({pool.pool}, pool.own);
    }
    for (const planning::BufferGroup& group : plan.groups) {
      AddReserve(group.reserve_pools, group.shared);
    }
  }

  void AddReserveToEachPool(int count) {
    for (const auto& [name, pool] : m_fleet.pools) {
      AddReserve({name}, count);
    }
  }

  int reserve() const { return m_reserve; }
  const model::Fleet& fleet() const { return m_fleet; }

 private:
  static constexpr int kFirstNumber = 1000;
  static constexpr int kReserveNumber = 100'000;

  static std::string PoolName(int pool) {
    return "p" + std::to_string(kFirstNumber + pool);
  }

  bool IsAccelerated(int pool) const {
    // Spread over the regions: a pool's region is its number's remainder.
    const int round = pool / m_site.regions;
    const int rounds = std::max(1, m_site.pools / m_site.regions);
    return round < m_site.accelerated_pools * rounds;
  }

  void AddPools() {
    m_fleet.weights = m_site.weights;
    for (int i = 0; i < m_site.pools; ++i) {
      model::Pool& pool = m_fleet.pools[PoolName(i)];
      pool.name = PoolName(i);
      pool.host_shape = m_site.shape;
      pool.host_shape.accelerators = IsAccelerated(i) ? 4 : 0;
    }
  }

  void AddServices() {
    for (int i = 0; i < m_site.pools; ++i) {
      AddService("svc" + std::to_string(kFirstNumber + i), i, {PoolName(i)});
    }
    // One service of each region spans two of its pools.
    for (int i = 0; i < m_site.regions && m_site.pools > 1; ++i) {
      const int other = (i + m_site.regions) % m_site.pools;
      AddService("span" + std::to_string(i), i, {PoolName(i), PoolName(other)});
    }
  }

  void AddService(const std::string& name,
                  int team,
                  std::vector<std::string> pools) {
    int target = 0;
    for (const std::string& pool : pools) {
      target += m_fleet.pools.at(pool).target_hosts;
    }
    model::Service& service = m_fleet.services[name];
    service.name = name;
    service.organisation = "team" + std::to_string(team % m_site.teams);
    service.pools = std::move(pools);
    // Four fifths carry the load with longer queues; below that it fails.
    service.min_available = target * 4 / 5;
    service.max_away_share = 0.25;
  }

  /// Places a host on the next slot of its region's and shape's racks.
  void AddHost(int pool, int number) {
    const int region = pool % m_site.regions;
    const std::string shape = IsAccelerated(pool) ? "x" : "c";
    const std::string row = std::to_string(region) + shape;
    const int slot = m_slots[row]++;
    const int rack = slot / m_site.hosts_per_rack;
    const int zones = m_site.zones / m_site.regions +
                      (region < m_site.zones % m_site.regions ? 1 : 0);
    model::Host host;
    host.id = "h" + std::to_string(kReserveNumber * 10 + number);
    host.pool = PoolName(pool);
    host.rack = "r" + row + std::to_string(rack);
    host.availability_zone =
        "az" + std::to_string(region) + "-" + std::to_string(rack % zones);
    host.region = "region" + std::to_string(region);
    host.capacity = m_fleet.pools.at(host.pool).host_shape;
    host.state = model::HostState::kInPool;
    host.version = "1";
    // Relative to the driver's clock; maintained at random in the last weeks.
    const int hours = 24 + (number * 131) % (24 * 20);
    host.last_maintained = WallTime(-std::chrono::hours(hours));
    host.state_since = host.last_maintained;
    m_fleet.hosts[host.id] = host;
  }

  const Site m_site;
  model::Fleet m_fleet;
  std::map<std::string, int> m_slots;
  int m_reserve = 0;
};

}  // namespace laurelhall::bench
