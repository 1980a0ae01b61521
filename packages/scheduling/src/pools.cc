#include "laurelhall/scheduling/pools.h"

#include <algorithm>
#include <limits>
#include <map>

namespace laurelhall::scheduling {

namespace {

// A gain in how well the worst-off service is served below which a host is
// not worth its move.
constexpr double kLeastGain = 0.1;

class MoveChoice {
 public:
  MoveChoice(const std::vector<PoolNeed>& pools,
             std::vector<PoolHost>& hosts,
             const PoolWeights& weights,
             SteadyTime now)
      : m_hosts(hosts), m_weights(weights), m_now(now) {
    for (const PoolNeed& pool : pools) {
      if (pool.is_spare) {
        m_spare = pool.service;
        continue;
      }
      m_now_needed[pool.service] = pool.needed_cores;
      m_soon_needed[pool.service] =
          std::max(pool.needed_cores, pool.expected_cores);
      m_least[pool.service] = std::max(pool.least_hosts, weights.least_hosts);
    }
    for (PoolHost& host : hosts) {
      m_cores[host.service] += host.cores;
      m_count[host.service] += host.cores > 0 ? 1 : 0;
      if (host.is_movable) {
        m_givers[host.service].push_back(&host);
      }
    }
    for (auto& [service, givers] : m_givers) {
      std::stable_sort(givers.begin(), givers.end(),
                       [](const PoolHost* a, const PoolHost* b) {
                         return a->empties_in < b->empties_in;
                       });
    }
  }

  std::vector<PoolMove> Choose() {
    std::vector<PoolMove> moves;
    m_needed = &m_now_needed;
    while (moves.size() < m_weights.most_moves && Feed(moves)) {
    }
    m_needed = &m_soon_needed;
    while (moves.size() < m_weights.most_moves && Feed(moves)) {
    }
    Park(moves);
    return moves;
  }

 private:
  using Cores = std::map<std::string, double>;

  // How well a service is served: cores for each core needed; not at all while
  // it has fewer hosts than it must.
  double Served(const std::string& service, double more = 0) const {
    const double needed = m_needed->at(service);
    const auto count = m_count.find(service);
    if (count == m_count.end() || count->second < m_least.at(service)) {
      return 0;
    }
    const auto found = m_cores.find(service);
    const double cores = (found == m_cores.end() ? 0 : found->second) + more;
    return needed <= 0 ? std::numeric_limits<double>::max() : cores / needed;
  }

  // Moves one host to the worst served service.
  bool Feed(std::vector<PoolMove>& moves) {
    std::string worst;
    for (const auto& [service, needed] : *m_needed) {
      const bool is_short = needed > 0 || Served(service) <= 0;
      if (is_short && (worst.empty() || Served(service) < Served(worst))) {
        worst = service;
      }
    }
    if (worst.empty() || Served(worst) >= 1) {
      return false;
    }
    PoolHost* best = nullptr;
    for (auto& [service, givers] : m_givers) {
      PoolHost* host = FirstGiver(givers, worst);
      if (host != nullptr && (best == nullptr || Cost(*host) < Cost(*best))) {
        best = host;
      }
    }
    if (best == nullptr) {
      return false;
    }
    Move(*best, worst, moves);
    return true;
  }

  // The first of a service that it may give. Those after one that it needs
  // itself are asked only if they are smaller: a rush chooses some ten of a
  // thousand hosts seven times a second.
  PoolHost* FirstGiver(const std::vector<PoolHost*>& givers,
                       const std::string& to) const {
    double needed_cores = std::numeric_limits<double>::max();
    for (PoolHost* host : givers) {
      if (!MayMove(*host, to) || host->cores >= needed_cores) {
        continue;
      }
      if (MayGive(*host, to)) {
        return host;
      }
      needed_cores = host->cores;
    }
    return nullptr;
  }

  bool MayMove(const PoolHost& host, const std::string& to) const {
    return host.is_movable && host.service != to &&
           host.empties_in <= m_weights.longest_emptying &&
           (host.service == m_spare ||
            m_now - host.since >= m_weights.least_stay);
  }

  // Whether its service can do without one that may move.
  bool MayGive(const PoolHost& host, const std::string& to) const {
    if (host.service == m_spare) {
      return true;
    }
    if (!m_needed->contains(host.service) ||
        m_count.at(host.service) <= m_least.at(host.service)) {
      return false;
    }
    const double left = Served(host.service, -host.cores);
    const bool is_ahead = m_needed == &m_soon_needed;
    return left >= 1 ||
           (!is_ahead && left > Served(to, host.cores) + kLeastGain);
  }

  // Parked hosts first, then those of the best served service; of one service
  // those that are empty soonest.
  double Cost(const PoolHost& host) const {
    if (host.service == m_spare) {
      return -1;
    }
    const double served = std::min(Served(host.service), 100.0);
    const double idle_seconds =
        std::chrono::duration<double>(host.empties_in).count();
    return idle_seconds + 1 / (0.1 + served);
  }

  void Move(PoolHost& host,
            const std::string& to,
            std::vector<PoolMove>& moves) {
    m_cores[host.service] -= host.cores;
    m_cores[to] += host.cores;
    --m_count[host.service];
    ++m_count[to];
    host.service = to;
    host.is_movable = false;
    moves.push_back({host.host, to});
  }

  // The longest idle first, as long as what is left serves each service, now
  // and as foreseen, and all of them as they needed lately.
  void Park(std::vector<PoolMove>& moves) {
    if (m_spare.empty() || !m_weights.may_park) {
      return;
    }
    double on = 0;
    std::vector<PoolHost*> idle;
    for (PoolHost& host : m_hosts) {
      on += host.service == m_spare ? 0 : host.cores;
      if (host.is_movable && host.service != m_spare && host.busy_cores <= 0 &&
          host.idle_for >= m_weights.park_after) {
        idle.push_back(&host);
      }
    }
    std::stable_sort(idle.begin(), idle.end(),
                     [](const PoolHost* a, const PoolHost* b) {
                       return a->idle_for > b->idle_for;
                     });
    for (PoolHost* host : idle) {
      const bool is_needless =
          m_needed->contains(host->service) &&
          m_count.at(host->service) > m_least.at(host->service) &&
          Served(host->service, -host->cores) >= 1 &&
          on - host->cores >= m_weights.held_cores;
      if (is_needless && moves.size() < m_weights.most_moves) {
        on -= host->cores;
        Move(*host, m_spare, moves);
      }
    }
  }

  std::vector<PoolHost>& m_hosts;
  const PoolWeights& m_weights;
  const SteadyTime m_now;
  std::string m_spare;
  Cores m_now_needed;
  Cores m_soon_needed;
  const Cores* m_needed = nullptr;  // Which of the two is looked at.
  std::map<std::string, uint32_t> m_least;
  Cores m_cores;
  std::map<std::string, uint32_t> m_count;  // Hosts.
  // Movable hosts by the service that they were of, those first that are empty
  // soonest.
  std::map<std::string, std::vector<PoolHost*>> m_givers;
};

}  // namespace

std::vector<PoolMove> PlanMoves(const std::vector<PoolNeed>& pools,
                                std::vector<PoolHost> hosts,
                                const PoolWeights& weights,
                                SteadyTime now) {
  return MoveChoice(pools, hosts, weights, now).Choose();
}

}  // namespace laurelhall::scheduling
