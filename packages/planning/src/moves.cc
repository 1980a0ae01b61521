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
  return IsDrainingOrDrained(host) && host.drain_reason == DrainReason::kMove;
}

/// Whether the host will serve its pool once the transitions under way are
/// over. A failed host counts for `max_failed_time` after its failure, as it
/// may come back.
bool WillRemain(const PlanContext& context,
                const Host& host,
                Millis max_failed_time) {
  if (host.state == HostState::kFailed) {
    return context.now() - host.state_since < max_failed_time;
  }
  return !IsDrainingOrDrained(host) ||
         host.drain_reason == DrainReason::kMaintenance ||
         host.drain_reason == DrainReason::kRollout;
}

/// One pool's hosts, counted against its target.
struct PoolCount {
  const Pool* pool = nullptr;
  int remaining = 0;  ///< Hosts that will serve the pool; see WillRemain().
  int free = 0;       ///< Hosts that no act holds and this step doesn't change.
  int arriving = 0;   ///< Hosts of other pools that are moving here.
  bool is_out_of_budget = false;  ///< Whether a service of the pool is.

  int missing() const { return pool->target_hosts - remaining - arriving; }
  int spare() const { return std::min(remaining, free) - pool->target_hosts; }
};

std::vector<PoolCount> CountPools(PlanContext& context) {
  std::map<std::string_view, int> arriving;
  std::vector<PoolCount> counts;
  for (const auto& [name, pool] : context.fleet().pools) {
    PoolCount& count = counts.emplace_back();
    count.pool = &pool;
    count.is_out_of_budget = !context.budget().IsPoolWhole(name);
    const Millis max_failed_time =
        count.is_out_of_budget ? Millis(0) : context.policy().replacement_delay;
    for (const Host* host : context.view().PoolHosts(name)) {
      count.remaining += WillRemain(context, *host, max_failed_time);
      count.free += IsFreeToDrain(*host) && !context.HasPlannedAction(*host);
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

/// A pool that lacks hosts. Decides which hosts may join it, and in which order
/// of preference.
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
    const bool is_past_cooldown =
        m_context.now() - host.last_moved >= m_context.policy().move_cooldown;
    const bool is_in_region = m_regions.empty() || m_regions.count(host.region);
    return IsFreeToDrain(host) && !m_context.HasPlannedAction(host) &&
           is_past_cooldown && is_in_region &&
           CoversShape(host.capacity, m_count.pool->host_shape);
  }

  /// Sort key: idle hosts first, then hosts in the zones and racks where the
  /// pool has the fewest hosts. The id makes the order unique.
  auto PreferenceKey(const Host& host) const {
    return std::make_tuple(!m_context.IsEmpty(host), HostsInZone(host),
                           HostsInRack(host), std::string_view(host.id));
  }

  void AddMember(const Host& host) {
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

/// Assigns donors, pools that can spare hosts, to vacancies, one for each
/// missing host. Fills as many vacancies as possible, by augmenting paths.
class DonorMatching {
 public:
  /// @param fits fits[v][d] says whether donor d can fill vacancy v.
  /// @param spare Hosts that each donor can spare.
  DonorMatching(std::vector<std::vector<bool>> fits, std::vector<int> spare)
      : m_fits(std::move(fits)),
        m_spare(std::move(spare)),
        m_assigned(m_spare.size()) {}

  /// Returns the donor of each vacancy, or -1. Earlier vacancies are filled
  /// first: a later one never takes their donor without giving them another.
  std::vector<int> Match() {
    m_donor_by_vacancy.assign(m_fits.size(), -1);
    for (size_t vacancy = 0; vacancy < m_fits.size(); ++vacancy) {
      std::vector<bool> visited(m_spare.size());
      Augment(vacancy, visited);
    }
    return m_donor_by_vacancy;
  }

 private:
  /// Finds a donor for the vacancy that isn't in `visited`, reassigning other
  /// vacancies if needed.
  bool Augment(size_t vacancy, std::vector<bool>& visited) {
    for (size_t donor = 0; donor < m_spare.size(); ++donor) {
      if (!m_fits[vacancy][donor] || visited[donor]) {
        continue;
      }
      visited[donor] = true;
      if (HasSpareHost(donor) || ReassignOne(donor, visited)) {
        m_assigned[donor].push_back(vacancy);
        m_donor_by_vacancy[vacancy] = static_cast<int>(donor);
        return true;
      }
    }
    return false;
  }

  bool HasSpareHost(size_t donor) const {
    return static_cast<int>(m_assigned[donor].size()) < m_spare[donor];
  }

  /// Gives one of the donor's vacancies to another donor.
  bool ReassignOne(size_t donor, std::vector<bool>& visited) {
    const std::vector<size_t> assigned = m_assigned[donor];
    for (const size_t other : assigned) {
      if (Augment(other, visited)) {
        std::erase(m_assigned[donor], other);
        return true;
      }
    }
    return false;
  }

  std::vector<std::vector<bool>> m_fits;
  std::vector<int> m_spare;
  std::vector<std::vector<size_t>> m_assigned;
  std::vector<int> m_donor_by_vacancy;
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
    const std::vector<int> donor_by_vacancy = Match();
    for (size_t vacancy = 0; vacancy < m_vacancies.size(); ++vacancy) {
      if (donor_by_vacancy[vacancy] >= 0) {
        DrainOneHost(*m_donors[static_cast<size_t>(donor_by_vacancy[vacancy])],
                     m_receivers[m_vacancies[vacancy]]);
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
    std::stable_sort(
        short_pools.begin(), short_pools.end(),
        [](const PoolCount* a, const PoolCount* b) {
          return std::make_tuple(!a->is_out_of_budget, -a->missing()) <
                 std::make_tuple(!b->is_out_of_budget, -b->missing());
        });
    for (const PoolCount* count : short_pools) {
      m_receivers.emplace_back(m_context, *count);
    }
    for (size_t receiver = 0; receiver < m_receivers.size(); ++receiver) {
      const int missing = m_receivers[receiver].count().missing();
      m_vacancies.insert(m_vacancies.end(), static_cast<size_t>(missing),
                         receiver);
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
        fits.push_back(HasMovableHost(*donor, receiver));
      }
    }
    std::vector<std::vector<bool>> fits;
    for (const size_t receiver : m_vacancies) {
      fits.push_back(by_receiver[receiver]);
    }
    return DonorMatching(std::move(fits), std::move(spare)).Match();
  }

  bool HasMovableHost(const PoolCount& donor, const Receiver& receiver) const {
    const auto& hosts = m_context.view().PoolHosts(donor.pool->name);
    return std::any_of(hosts.begin(), hosts.end(), [&](const Host* host) {
      return receiver.Accepts(*host) &&
             m_context.budget().MayTakeAway(host->id).is_allowed();
    });
  }

  /// Drains the donor's most preferred host that the budgets allow to move.
  void DrainOneHost(const PoolCount& donor, Receiver& receiver) {
    std::vector<const Host*> hosts;
    for (const Host* host : m_context.view().PoolHosts(donor.pool->name)) {
      if (receiver.Accepts(*host)) {
        hosts.push_back(host);
      }
    }
    std::sort(hosts.begin(), hosts.end(), [&](const Host* a, const Host* b) {
      return receiver.PreferenceKey(*a) < receiver.PreferenceKey(*b);
    });
    const std::string& receiver_pool = receiver.count().pool->name;
    for (const Host* host : hosts) {
      const DrainRequest request{
          .reason = DrainReason::kMove,
          .act = "move-" + host->id + "-" + std::to_string(host->epoch),
          .move_to = receiver_pool};
      if (m_context.Drain(*host, request,
                          "pool " + receiver_pool + " lacks a host")) {
        receiver.AddMember(*host);
        return;
      }
    }
  }

  PlanContext& m_context;
  const std::vector<PoolCount> m_counts;
  std::vector<Receiver> m_receivers;
  std::vector<const PoolCount*> m_donors;
  /// For each missing host, the index of its pool in m_receivers.
  std::vector<size_t> m_vacancies;
};

}  // namespace

void CancelUnneededMoves(PlanContext& context) {
  std::map<std::string_view, int> surplus;
  bool is_counted = false;
  for (const auto& [id, host] : context.fleet().hosts) {
    // A move without an act was requested by an operator, and goes on whether
    // it is needed or not.
    if (!IsMovingAway(host) || host.act.empty()) {
      continue;
    }
    if (!is_counted) {
      for (const PoolCount& count : CountPools(context)) {
        surplus[count.pool->name] = -count.missing();
      }
      is_counted = true;
    }
    if (surplus[host.move_to]-- > 0) {
      context.PlanTransition(host, HostEvent::kCancelDrain,
                             "pool " + host.move_to + " has its hosts back");
    }
  }
}

void PlanMovesForStep(PlanContext& context) {
  MovePlanner(context).Plan();
}

std::vector<Action> PlanMoves(const model::Fleet& fleet,
                              budget::Budget& budget,
                              const StepInput& input,
                              const PlanningPolicy& policy) {
  const FleetView view(fleet, policy);
  PlanContext context(view, budget, input, policy);
  PlanMovesForStep(context);
  return context.TakeActions();
}

}  // namespace laurelhall::planning
