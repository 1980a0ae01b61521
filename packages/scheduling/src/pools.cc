#include "laurelhall/scheduling/pools.h"

#include <algorithm>
#include <limits>
#include <map>

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
              SteadyTime now)
      : m_hosts(hosts), m_weights(weights), m_now(now) {
    for (const PoolDemand& pool : pools) {
      if (pool.is_spare) {
        m_spare_pool = pool.service;
        continue;
      }
      const bool has_floors = pool.floor_cores > 0;
      m_pressing[pool.service] =
          has_floors ? pool.pressing_cores : pool.needed_cores;
      m_needed_now[pool.service] = pool.needed_cores;
      m_needed_soon[pool.service] =
          std::max({pool.needed_cores, pool.expected_cores, pool.floor_cores});
      m_floors[pool.service] = pool.floor_cores;
      m_min_hosts[pool.service] = std::max(pool.min_hosts, weights.min_hosts);
    }
    for (PoolHost& host : hosts) {
      m_cores[host.service] += host.cores;
      m_host_count[host.service] += host.cores > 0 ? 1 : 0;
      if (host.is_movable) {
        m_donors[host.service].push_back(&host);
      }
    }
    for (auto& [service, donors] : m_donors) {
      std::stable_sort(donors.begin(), donors.end(),
                       [](const PoolHost* a, const PoolHost* b) {
                         return a->time_until_idle < b->time_until_idle;
                       });
    }
  }

  std::vector<PoolMove> Plan() {
    std::vector<PoolMove> moves;
    m_needed = &m_pressing;
    while (moves.size() < m_weights.max_moves && MoveToLeastCovered(moves)) {
    }
    m_needed = &m_needed_now;
    while (moves.size() < m_weights.max_moves && MoveToLeastCovered(moves)) {
    }
    m_needed = &m_needed_soon;
    while (moves.size() < m_weights.max_moves && MoveToLeastCovered(moves)) {
    }
    Park(moves);
    return moves;
  }

 private:
  using Cores = std::map<std::string, double>;

  // Cores of a service, plus `extra_cores`, for each core that it needs; zero
  // while it has fewer hosts than its minimum.
  double Coverage(const std::string& service, double extra_cores = 0) const {
    const double needed = m_needed->at(service);
    const auto count = m_host_count.find(service);
    if (count == m_host_count.end() ||
        count->second < m_min_hosts.at(service)) {
      return 0;
    }
    const auto found = m_cores.find(service);
    const double cores =
        (found == m_cores.end() ? 0 : found->second) + extra_cores;
    return needed <= 0 ? std::numeric_limits<double>::max() : cores / needed;
  }

  // Moves one host to the service with the lowest coverage. Returns false if
  // all are covered or no host can be spared.
  bool MoveToLeastCovered(std::vector<PoolMove>& moves) {
    std::string receiver;
    for (const auto& [service, needed] : *m_needed) {
      const bool is_short = needed > 0 || Coverage(service) <= 0;
      if (is_short &&
          (receiver.empty() || Coverage(service) < Coverage(receiver))) {
        receiver = service;
      }
    }
    if (receiver.empty() || Coverage(receiver) >= 1) {
      return false;
    }
    PoolHost* donor = nullptr;
    for (auto& [service, donors] : m_donors) {
      PoolHost* host = FindDonor(donors, receiver);
      if (host != nullptr && (donor == nullptr || Cost(*host) < Cost(*donor))) {
        donor = host;
      }
    }
    if (donor == nullptr) {
      return false;
    }
    Move(*donor, receiver, moves);
    return true;
  }

  // The first host of a service that the service can spare. Once one cannot be
  // spared, only smaller ones are checked after it, to keep the search cheap: a
  // rush chooses some ten of a thousand hosts seven times a second.
  PoolHost* FindDonor(const std::vector<PoolHost*>& donors,
                      const std::string& to) const {
    double needed_cores = std::numeric_limits<double>::max();
    for (PoolHost* host : donors) {
      if (!MayMove(*host, to) || host->cores >= needed_cores) {
        continue;
      }
      if (CanSpare(*host, to)) {
        return host;
      }
      needed_cores = host->cores;
    }
    return nullptr;
  }

  bool MayMove(const PoolHost& host, const std::string& to) const {
    return host.is_movable && host.service != to &&
           host.time_until_idle <= m_weights.max_time_until_idle &&
           (host.service == m_spare_pool ||
            m_now - host.since >= m_weights.min_stay);
  }

  // Whether the service of a host that may move can do without it.
  bool CanSpare(const PoolHost& host, const std::string& to) const {
    if (host.service == m_spare_pool) {
      return true;
    }
    if (!m_needed->contains(host.service) ||
        m_host_count.at(host.service) <= m_min_hosts.at(host.service)) {
      return false;
    }
    const double left = Coverage(host.service, -host.cores);
    const bool is_forecast = m_needed == &m_needed_soon;
    const bool keeps_floor =
        m_cores.at(host.service) - host.cores >= m_floors.at(host.service);
    if (m_needed != &m_pressing && !keeps_floor) {
      return false;
    }
    return left >= 1 ||
           (!is_forecast && left > Coverage(to, host.cores) + kMinCoverageGain);
  }

  // Parked hosts cost least. Others cost less the sooner they are idle and the
  // better their service is covered.
  double Cost(const PoolHost& host) const {
    if (host.service == m_spare_pool) {
      return -1;
    }
    const double coverage = std::min(Coverage(host.service), 100.0);
    const double seconds_until_idle =
        std::chrono::duration<double>(host.time_until_idle).count();
    return seconds_until_idle + 1 / (0.1 + coverage);
  }

  void Move(PoolHost& host,
            const std::string& to,
            std::vector<PoolMove>& moves) {
    m_cores[host.service] -= host.cores;
    m_cores[to] += host.cores;
    --m_host_count[host.service];
    ++m_host_count[to];
    host.service = to;
    host.is_movable = false;
    moves.push_back({host.host, to});
  }

  // Parks idle hosts, the longest idle first, as long as the rest covers the
  // present and expected need of each service, and the cores that all services
  // together needed lately.
  void Park(std::vector<PoolMove>& moves) {
    if (m_spare_pool.empty() || !m_weights.may_park) {
      return;
    }
    double active_cores = 0;
    std::vector<PoolHost*> idle_hosts;
    for (PoolHost& host : m_hosts) {
      active_cores += host.service == m_spare_pool ? 0 : host.cores;
      if (host.is_movable && host.service != m_spare_pool &&
          host.busy_cores <= 0 && host.idle_for >= m_weights.park_after) {
        idle_hosts.push_back(&host);
      }
    }
    std::stable_sort(idle_hosts.begin(), idle_hosts.end(),
                     [](const PoolHost* a, const PoolHost* b) {
                       return a->idle_for > b->idle_for;
                     });
    for (PoolHost* host : idle_hosts) {
      const bool is_unneeded =
          m_needed->contains(host->service) &&
          m_host_count.at(host->service) > m_min_hosts.at(host->service) &&
          Coverage(host->service, -host->cores) >= 1 &&
          active_cores - host->cores >= m_weights.min_active_cores;
      if (is_unneeded && moves.size() < m_weights.max_moves) {
        active_cores -= host->cores;
        Move(*host, m_spare_pool, moves);
      }
    }
  }

  std::vector<PoolHost>& m_hosts;
  const PoolMoveLimits& m_weights;
  const SteadyTime m_now;
  std::string m_spare_pool;
  Cores m_pressing;
  Cores m_needed_now;
  Cores m_needed_soon;
  const Cores* m_needed = nullptr;  // The one of the three in use.
  Cores m_floors;
  std::map<std::string, uint32_t> m_min_hosts;
  Cores m_cores;
  std::map<std::string, uint32_t> m_host_count;  // By service.
  // Movable hosts by the service whose pool they started in, the soonest idle
  // first.
  std::map<std::string, std::vector<PoolHost*>> m_donors;
};

}  // namespace

std::vector<PoolMove> PlanMoves(const std::vector<PoolDemand>& pools,
                                std::vector<PoolHost> hosts,
                                const PoolMoveLimits& weights,
                                SteadyTime now) {
  return MovePlanner(pools, hosts, weights, now).Plan();
}

}  // namespace laurelhall::scheduling
