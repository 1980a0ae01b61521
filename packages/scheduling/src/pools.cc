#include "laurelhall/scheduling/pools.h"

#include <algorithm>
#include <limits>
#include <map>
#include <utility>

namespace laurelhall::scheduling {

namespace {

// A service that is short of cores itself gives a host away only if it stays
// better covered than the receiver becomes by more than this; a smaller gain is
// not worth a move.
constexpr double kMinCoverageGain = 0.1;

// Makes one plan, and tracks the pools as they are after the moves chosen so
// far.
class MovePlanner {
 public:
  MovePlanner(const std::vector<PoolDemand>& pools,
              std::vector<PoolHost>& hosts,
              const PoolMoveLimits& weights,
              SteadyTime now,
              const DrainEstimate& time_until_idle)
      : m_hosts(hosts),
        m_weights(weights),
        m_now(now),
        m_time_until_idle(time_until_idle) {
    for (const PoolDemand& demand : pools) {
      Pool& pool = m_pools[demand.service];
      if (demand.is_spare) {
        m_spare_pool = &pool;
        m_spare_service = demand.service;
        continue;
      }
      const bool has_floors = demand.floor_cores > 0;
      pool.is_in_demand = true;
      pool.pressing = has_floors ? demand.pressing_cores : demand.needed_cores;
      pool.needed_now = demand.needed_cores;
      pool.needed_soon = std::max(
          {demand.needed_cores, demand.expected_cores, demand.floor_cores});
      pool.floor = demand.floor_cores;
      pool.min_hosts = std::max(demand.min_hosts, weights.min_hosts);
    }
    m_pool_of.reserve(hosts.size());
    for (PoolHost& host : hosts) {
      Pool& pool = m_pools[host.service];
      m_pool_of.push_back(&pool);
      pool.cores += host.cores;
      pool.host_count += host.cores > 0 ? 1 : 0;
      if (host.is_movable) {
        pool.donors.push_back(&host);
      }
    }
  }

  std::vector<PoolMove> Plan() {
    std::vector<PoolMove> moves;
    for (const auto needed :
         {&Pool::pressing, &Pool::needed_now, &Pool::needed_soon}) {
      m_needed = needed;
      while (moves.size() < m_weights.max_moves && MoveToLeastCovered(moves)) {
      }
    }
    Park(moves);
    return moves;
  }

 private:
  struct Pool {
    bool is_in_demand = false;  // Not the spare pool, and still configured.
    // Cores that the service needs, in the three senses.
    double pressing = 0;
    double needed_now = 0;
    double needed_soon = 0;
    double floor = 0;
    uint32_t min_hosts = 0;
    double cores = 0;
    uint32_t host_count = 0;  // Of hosts that add capacity.
    // The movable hosts that started in it. The soonest idle is the first, once
    // they are sorted.
    std::vector<PoolHost*> donors;
    bool are_donors_sorted = false;
  };

  // Cores of a service, plus `extra_cores`, for each core that it needs; zero
  // while it has fewer hosts than its minimum.
  double Coverage(const Pool& pool, double extra_cores = 0) const {
    const double needed = pool.*m_needed;
    if (pool.host_count < pool.min_hosts) {
      return 0;
    }
    return needed <= 0 ? std::numeric_limits<double>::max()
                       : (pool.cores + extra_cores) / needed;
  }

  // Moves one host to the service with the lowest coverage. Returns false if
  // all are covered or no host can be spared.
  bool MoveToLeastCovered(std::vector<PoolMove>& moves) {
    Pool* receiver = nullptr;
    const std::string* to = nullptr;
    for (auto& [service, pool] : m_pools) {
      const bool is_short =
          pool.is_in_demand && (pool.*m_needed > 0 || Coverage(pool) <= 0);
      if (is_short &&
          (receiver == nullptr || Coverage(pool) < Coverage(*receiver))) {
        receiver = &pool;
        to = &service;
      }
    }
    if (receiver == nullptr || Coverage(*receiver) >= 1) {
      return false;
    }
    PoolHost* donor = nullptr;
    for (auto& [service, pool] : m_pools) {
      if (&pool == receiver) {
        continue;
      }
      SortDonors(pool);
      PoolHost* host = FindDonor(pool, *receiver);
      if (host != nullptr && (donor == nullptr || Cost(*host) < Cost(*donor))) {
        donor = host;
      }
    }
    if (donor == nullptr) {
      return false;
    }
    Move(*donor, *receiver, *to, moves);
    return true;
  }

  // Estimates are made for the pools that may give a host away only, as they
  // visit each run there.
  void SortDonors(Pool& pool) const {
    if (std::exchange(pool.are_donors_sorted, true)) {
      return;
    }
    if (m_time_until_idle) {
      for (PoolHost* host : pool.donors) {
        host->time_until_idle = m_time_until_idle(*host);
      }
    }
    std::stable_sort(pool.donors.begin(), pool.donors.end(),
                     [](const PoolHost* a, const PoolHost* b) {
                       return a->time_until_idle < b->time_until_idle;
                     });
  }

  Pool& PoolOf(const PoolHost& host) const {
    return *m_pool_of[static_cast<size_t>(&host - m_hosts.data())];
  }

  // The first host of a service that the service can spare. Once one cannot be
  // spared, only smaller ones are checked after it, to keep the search cheap: a
  // rush chooses some ten of a thousand hosts seven times a second.
  PoolHost* FindDonor(const Pool& from, const Pool& to) const {
    double needed_cores = std::numeric_limits<double>::max();
    for (PoolHost* host : from.donors) {
      if (!MayMove(*host) || host->cores >= needed_cores) {
        continue;
      }
      if (CanSpare(*host, to)) {
        return host;
      }
      needed_cores = host->cores;
    }
    return nullptr;
  }

  bool IsSpare(const PoolHost& host) const {
    return &PoolOf(host) == m_spare_pool;
  }

  bool MayMove(const PoolHost& host) const {
    return host.is_movable &&
           host.time_until_idle <= m_weights.max_time_until_idle &&
           (IsSpare(host) || m_now - host.since >= m_weights.min_stay);
  }

  // Whether the service of a host that may move can do without it.
  bool CanSpare(const PoolHost& host, const Pool& to) const {
    if (IsSpare(host)) {
      return true;
    }
    const Pool& from = PoolOf(host);
    if (!from.is_in_demand || from.host_count <= from.min_hosts) {
      return false;
    }
    const double left = Coverage(from, -host.cores);
    const bool is_forecast = m_needed == &Pool::needed_soon;
    const bool keeps_floor = from.cores - host.cores >= from.floor;
    if (m_needed != &Pool::pressing && !keeps_floor) {
      return false;
    }
    return left >= 1 ||
           (!is_forecast && left > Coverage(to, host.cores) + kMinCoverageGain);
  }

  // Parked hosts cost least. Others cost less the sooner they are idle and the
  // better their service is covered.
  double Cost(const PoolHost& host) const {
    if (IsSpare(host)) {
      return -1;
    }
    const double coverage = std::min(Coverage(PoolOf(host)), 100.0);
    const double seconds_until_idle =
        std::chrono::duration<double>(host.time_until_idle).count();
    return seconds_until_idle + 1 / (0.1 + coverage);
  }

  void Move(PoolHost& host,
            Pool& to,
            const std::string& service,
            std::vector<PoolMove>& moves) {
    Pool& from = PoolOf(host);
    from.cores -= host.cores;
    to.cores += host.cores;
    --from.host_count;
    ++to.host_count;
    m_pool_of[static_cast<size_t>(&host - m_hosts.data())] = &to;
    host.service = service;
    host.is_movable = false;
    moves.push_back({host.host, service});
  }

  // Parks idle hosts, the longest idle first, as long as the rest covers the
  // present and expected need of each service, and the cores that all services
  // together needed lately.
  void Park(std::vector<PoolMove>& moves) {
    if (m_spare_pool == nullptr || !m_weights.may_park) {
      return;
    }
    double active_cores = 0;
    std::vector<PoolHost*> idle_hosts;
    for (PoolHost& host : m_hosts) {
      active_cores += IsSpare(host) ? 0 : host.cores;
      if (host.is_movable && !IsSpare(host) && host.busy_cores <= 0 &&
          host.idle_for >= m_weights.park_after) {
        idle_hosts.push_back(&host);
      }
    }
    std::stable_sort(idle_hosts.begin(), idle_hosts.end(),
                     [](const PoolHost* a, const PoolHost* b) {
                       return a->idle_for > b->idle_for;
                     });
    for (PoolHost* host : idle_hosts) {
      const Pool& pool = PoolOf(*host);
      const bool is_unneeded =
          pool.is_in_demand && pool.host_count > pool.min_hosts &&
          Coverage(pool, -host->cores) >= 1 &&
          active_cores - host->cores >= m_weights.min_active_cores;
      if (is_unneeded && moves.size() < m_weights.max_moves) {
        active_cores -= host->cores;
        Move(*host, *m_spare_pool, m_spare_service, moves);
      }
    }
  }

  std::vector<PoolHost>& m_hosts;
  const PoolMoveLimits& m_weights;
  const SteadyTime m_now;
  const DrainEstimate& m_time_until_idle;
  std::map<std::string, Pool> m_pools;  // By service.
  std::vector<Pool*> m_pool_of;         // By index of the host.
  Pool* m_spare_pool = nullptr;         // Null: none is configured.
  std::string m_spare_service;
  double Pool::*m_needed = &Pool::needed_now;  // The sense in use.
};

}  // namespace

std::vector<PoolMove> PlanMoves(const std::vector<PoolDemand>& pools,
                                std::vector<PoolHost> hosts,
                                const PoolMoveLimits& weights,
                                SteadyTime now,
                                const DrainEstimate& time_until_idle) {
  return MovePlanner(pools, hosts, weights, now, time_until_idle).Plan();
}

}  // namespace laurelhall::scheduling
