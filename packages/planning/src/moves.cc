#include "laurelhall/planning/moves.h"

#include <algorithm>
#include <set>
#include <tuple>

#include "planning_p.h"

namespace laurelhall::planning {
namespace {

using model::DrainReason;
using model::Host;
using model::HostEvent;
using model::HostState;
using model::Pool;

bool IsMovingAway(const Host& host) {
  return IsLeaving(host) && host.drain_reason == DrainReason::kMove;
}

/// Whether the pool can count on the host once what is under way is over.
bool IsLasting(const PlanContext& context, const Host& host, Millis patience) {
  if (host.state == HostState::kFailed) {
    return context.now() - host.state_since < patience;
  }
  return !IsLeaving(host) || host.drain_reason == DrainReason::kMaintenance ||
         host.drain_reason == DrainReason::kRollout;
}

/// One pool's hosts against its target.
struct PoolCount {
  const Pool* pool = nullptr;
  int lasting = 0;
  int free = 0;
  int arriving = 0;
  bool is_emergency = false;  ///< A service of it is out of budget.

  int missing() const { return pool->target_hosts - lasting - arriving; }
  int spare() const { return std::min(lasting, free) - pool->target_hosts; }
};

std::vector<PoolCount> CountPools(PlanContext& context) {
  std::map<std::string_view, int> arriving;
  std::vector<PoolCount> counts;
  for (const auto& [name, pool] : context.fleet().pools) {
    PoolCount& count = counts.emplace_back();
    count.pool = &pool;
    count.is_emergency = !context.budget().IsPoolWhole(name);
    const Millis patience =
        count.is_emergency ? Millis(0) : context.policy().move_patience;
    for (const Host* host : context.view().PoolHosts(name)) {
      count.lasting += IsLasting(context, *host, patience);
      count.free += IsFree(*host) && !context.IsTouched(*host);
      if (IsMovingAway(*host)) {
        ++arriving[host->move_to];
      }
    }
  }
  for (PoolCount& count : counts) {
    count.arriving = arriving[count.pool->name];
  }
  return counts;
}

/// Says which hosts may join a pool, and which of them had best.
class Receiver {
 public:
  Receiver(const PlanContext& context, const PoolCount& count)
      : m_context(context), m_count(count) {
    for (const Host* host : context.view().PoolHosts(count.pool->name)) {
      m_regions.insert(host->region);
      ++m_racks[{host->availability_zone, host->rack}];
      ++m_zones[host->availability_zone];
    }
  }

  const PoolCount& count() const { return m_count; }

  bool Accepts(const Host& host) const {
    const bool is_rested =
        m_context.now() - host.last_moved >= m_context.policy().move_cooldown;
    const bool is_near = m_regions.empty() || m_regions.count(host.region);
    return IsFree(host) && !m_context.IsTouched(host) && is_rested && is_near &&
           FitsShape(host.capacity, m_count.pool->host_shape);
  }

  /// Idle hosts first, then those in domains where the pool has fewest.
  auto Rank(const Host& host) const {
    return std::make_tuple(!m_context.IsEmpty(host), HostsInZone(host),
                           HostsInRack(host), std::string_view(host.id));
  }

  void Joined(const Host& host) {
    ++m_racks[{host.availability_zone, host.rack}];
    ++m_zones[host.availability_zone];
  }

 private:
  int HostsInRack(const Host& host) const {
    const auto found = m_racks.find({host.availability_zone, host.rack});
    return found == m_racks.end() ? 0 : found->second;
  }

  int HostsInZone(const Host& host) const {
    const auto found = m_zones.find(host.availability_zone);
    return found == m_zones.end() ? 0 : found->second;
  }

  const PlanContext& m_context;
  const PoolCount& m_count;
  std::set<std::string_view> m_regions;
  std::map<std::pair<std::string_view, std::string_view>, int> m_racks;
  std::map<std::string_view, int> m_zones;
};

/// Matches missing hosts to pools that can spare one, as many as possible, by
/// augmenting paths.
class DonorMatching {
 public:
  /// @param fits Whether donor d can serve unit u: fits[u][d].
  DonorMatching(std::vector<std::vector<bool>> fits, std::vector<int> spare)
      : m_fits(std::move(fits)),
        m_spare(std::move(spare)),
        m_served(m_spare.size()) {}

  /// Returns for each unit its donor, or -1. Units first in order are served
  /// whenever they can be.
  std::vector<int> Match() {
    m_donor_of.assign(m_fits.size(), -1);
    for (size_t unit = 0; unit < m_fits.size(); ++unit) {
      std::vector<bool> seen(m_spare.size());
      Augment(unit, seen);
    }
    return m_donor_of;
  }

 private:
  bool Augment(size_t unit, std::vector<bool>& seen) {
    for (size_t donor = 0; donor < m_spare.size(); ++donor) {
      if (!m_fits[unit][donor] || seen[donor]) {
        continue;
      }
      seen[donor] = true;
      if (HasRoom(donor) || MakeRoom(donor, seen)) {
        m_served[donor].push_back(unit);
        m_donor_of[unit] = static_cast<int>(donor);
        return true;
      }
    }
    return false;
  }

  bool HasRoom(size_t donor) const {
    return static_cast<int>(m_served[donor].size()) < m_spare[donor];
  }

  bool MakeRoom(size_t donor, std::vector<bool>& seen) {
    const std::vector<size_t> served = m_served[donor];
    for (const size_t other : served) {
      if (Augment(other, seen)) {
        std::erase(m_served[donor], other);
        return true;
      }
    }
    return false;
  }

  std::vector<std::vector<bool>> m_fits;
  std::vector<int> m_spare;
  std::vector<std::vector<size_t>> m_served;
  std::vector<int> m_donor_of;
};

/// Plans the moves of one step.
class MovePlanner {
 public:
  explicit MovePlanner(PlanContext& context)
      : m_context(context), m_counts(CountPools(context)) {}

  void Plan() {
    FindReceivers();
    if (m_receivers.empty()) {
      return;
    }
    FindDonors();
    const std::vector<int> donor_of = Match();
    for (size_t unit = 0; unit < m_units.size(); ++unit) {
      if (donor_of[unit] >= 0) {
        Move(*m_donors[static_cast<size_t>(donor_of[unit])],
             m_receivers[m_units[unit]]);
      }
    }
  }

 private:
  void FindReceivers() {
    std::vector<const PoolCount*> short_pools;
    for (const PoolCount& count : m_counts) {
      if (count.missing() > 0) {
        short_pools.push_back(&count);
      }
    }
    std::stable_sort(short_pools.begin(), short_pools.end(),
                     [](const PoolCount* a, const PoolCount* b) {
                       return std::make_tuple(!a->is_emergency, -a->missing()) <
                              std::make_tuple(!b->is_emergency, -b->missing());
                     });
    for (const PoolCount* count : short_pools) {
      m_receivers.emplace_back(m_context, *count);
    }
    for (size_t receiver = 0; receiver < m_receivers.size(); ++receiver) {
      const int missing = m_receivers[receiver].count().missing();
      m_units.insert(m_units.end(), static_cast<size_t>(missing), receiver);
    }
  }

  void FindDonors() {
    for (const PoolCount& count : m_counts) {
      if (count.pool->may_lend && count.spare() > 0) {
        m_donors.push_back(&count);
      }
    }
    std::stable_sort(m_donors.begin(), m_donors.end(),
                     [](const PoolCount* a, const PoolCount* b) {
                       return a->spare() > b->spare();
                     });
  }

  std::vector<int> Match() const {
    std::vector<int> spare;
    for (const PoolCount* donor : m_donors) {
      spare.push_back(donor->spare());
    }
    std::vector<std::vector<bool>> by_receiver;
    for (const Receiver& receiver : m_receivers) {
      std::vector<bool>& fits = by_receiver.emplace_back();
      for (const PoolCount* donor : m_donors) {
        fits.push_back(CanGive(*donor, receiver));
      }
    }
    std::vector<std::vector<bool>> fits;
    for (const size_t receiver : m_units) {
      fits.push_back(by_receiver[receiver]);
    }
    return DonorMatching(std::move(fits), std::move(spare)).Match();
  }

  bool CanGive(const PoolCount& donor, const Receiver& receiver) const {
    const auto& hosts = m_context.view().PoolHosts(donor.pool->name);
    return std::any_of(hosts.begin(), hosts.end(), [&](const Host* host) {
      return receiver.Accepts(*host) &&
             m_context.budget().MayTakeAway(host->id).is_allowed();
    });
  }

  void Move(const PoolCount& donor, Receiver& receiver) {
    std::vector<const Host*> hosts;
    for (const Host* host : m_context.view().PoolHosts(donor.pool->name)) {
      if (receiver.Accepts(*host)) {
        hosts.push_back(host);
      }
    }
    std::sort(hosts.begin(), hosts.end(), [&](const Host* a, const Host* b) {
      return receiver.Rank(*a) < receiver.Rank(*b);
    });
    const std::string& to = receiver.count().pool->name;
    for (const Host* host : hosts) {
      const DrainRequest request{
          .reason = DrainReason::kMove,
          .act = "move-" + host->id + "-" + std::to_string(host->epoch),
          .move_to = to};
      if (m_context.Drain(*host, request, "pool " + to + " lacks a host")) {
        receiver.Joined(*host);
        return;
      }
    }
  }

  PlanContext& m_context;
  const std::vector<PoolCount> m_counts;
  std::vector<Receiver> m_receivers;
  std::vector<const PoolCount*> m_donors;
  std::vector<size_t> m_units;  // Receiver of each missing host.
};

}  // namespace

void CancelUnneededMoves(PlanContext& context) {
  std::map<std::string_view, int> too_many;
  bool is_counted = false;
  for (const auto& [id, host] : context.fleet().hosts) {
    // A move without an act is an operator's own, needed or not.
    if (!IsMovingAway(host) || host.act.empty()) {
      continue;
    }
    if (!is_counted) {
      for (const PoolCount& count : CountPools(context)) {
        too_many[count.pool->name] = -count.missing();
      }
      is_counted = true;
    }
    if (too_many[host.move_to]-- > 0) {
      context.Act(host, HostEvent::kCancelDrain,
                  "pool " + host.move_to + " has its hosts back");
    }
  }
}

void PlanMovesIn(PlanContext& context) {
  MovePlanner(context).Plan();
}

std::vector<Action> PlanMoves(const model::Fleet& fleet,
                              budget::Budget& budget,
                              const StepInput& input,
                              const PlanningPolicy& policy) {
  const FleetView view(fleet, policy);
  PlanContext context(view, budget, input, policy);
  PlanMovesIn(context);
  return context.TakeActions();
}

}  // namespace laurelhall::planning
