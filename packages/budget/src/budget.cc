#include "laurelhall/budget/budget.h"

#include <algorithm>
#include <cmath>

namespace laurelhall::budget {
namespace {

using model::HostState;

/// Gives each name a small index, in the order of first use.
class Interner {
 public:
  int Index(std::string_view name) {
    const auto found = m_indices.find(name);
    if (found != m_indices.end()) {
      return found->second;
    }
    const int index = static_cast<int>(m_indices.size());
    m_indices.emplace(name, index);
    return index;
  }

 private:
  NameMap<int> m_indices;
};

/// Of a pool that no service claims, so that its hosts don't go all at once.
constexpr double kUnclaimedAwayShare = 0.25;

bool CountsAsMember(const model::Host& host) {
  return host.state != HostState::kAnnounced &&
         host.state != HostState::kRetired;
}

bool IsAvailable(const model::Host& host) {
  return host.state == HostState::kInPool;
}

/// Keeps a share such as 0.3 of 10 from coming out just below 3.
constexpr double kRounding = 1e-9;

/// Concurrency of a pool that no budget speaks of.
constexpr int kUnboundedConcurrency = 1 << 20;

/// Hosts of `hosts` that may be away by the share alone.
int AllowedByShare(int hosts, double share) {
  return static_cast<int>(std::floor(hosts * share + kRounding));
}

}  // namespace

/// What is only needed while counting: all members by domain, away or not.
struct Budget::Membership {
  Interner racks;
  Interner zones;
  std::vector<DomainCounts> by_rack;  // By service.
  std::vector<DomainCounts> by_zone;  // By service.
  std::string rack_key;
};

std::string Verdict::Text() const {
  const char* name = boost::describe::enum_to_string(refusal, "unknown");
  return service.empty() ? name : service + ": " + name;
}

Budget Budget::Evaluate(const model::Fleet& fleet,
                        const BurnByService& burn,
                        const BudgetPolicy& policy) {
  Budget budget;
  budget.m_policy = policy;
  budget.AddServices(fleet, burn);
  Membership members;
  members.by_rack.resize(budget.m_services.size());
  members.by_zone.resize(budget.m_services.size());
  budget.AddHosts(fleet, members);
  budget.SetLimits(fleet, members);
  return budget;
}

void Budget::AddServices(const model::Fleet& fleet, const BurnByService& burn) {
  for (const auto& [name, pool] : fleet.pools) {
    m_pool_index.emplace(name, static_cast<int>(m_pool_services.size()));
    m_pool_services.emplace_back();
  }
  for (const auto& [name, service] : fleet.services) {
    const int index = static_cast<int>(m_services.size());
    ServiceBudget& counted = m_services.emplace_back();
    counted.service = name;
    counted.min_available = service.min_available;
    const auto burnt = burn.find(name);
    if (burnt != burn.end()) {
      counted.burn = burnt->second;
    }
    for (const std::string& pool : service.pools) {
      const auto found = m_pool_index.find(pool);
      if (found != m_pool_index.end()) {
        m_pool_services[static_cast<size_t>(found->second)].push_back(index);
      }
    }
  }
  AddUnclaimedPools(fleet);
  m_racks.resize(m_services.size());
  m_zones.resize(m_services.size());
}

void Budget::AddUnclaimedPools(const model::Fleet& fleet) {
  m_named_services = m_services.size();
  size_t index = 0;
  for (const auto& [name, pool] : fleet.pools) {
    std::vector<int>& services = m_pool_services[index++];
    if (services.empty()) {
      services.push_back(static_cast<int>(m_services.size()));
      m_services.emplace_back().service = "pool " + name;
    }
  }
}

void Budget::AddHosts(const model::Fleet& fleet, Membership& members) {
  m_hosts.reserve(fleet.hosts.size());
  for (const auto& [id, host] : fleet.hosts) {
    if (CountsAsMember(host)) {
      AddHost(host, members);
    }
  }
}

void Budget::AddHost(const model::Host& host, Membership& members) {
  const auto pool = m_pool_index.find(host.pool);
  if (pool == m_pool_index.end()) {
    return;
  }
  members.rack_key.assign(host.availability_zone).append("/").append(host.rack);
  const HostPlace place{.pool = pool->second,
                        .rack = members.racks.Index(members.rack_key),
                        .zone = members.zones.Index(host.availability_zone),
                        .is_available = IsAvailable(host)};
  m_hosts.emplace(host.id, place);
  for (const int index : m_pool_services[static_cast<size_t>(place.pool)]) {
    const auto at = static_cast<size_t>(index);
    ++m_services[at].hosts;
    members.by_rack[at].Add(place.rack);
    members.by_zone[at].Add(place.zone);
    if (place.is_available) {
      ++m_services[at].available;
      m_racks[at].Add(place.rack);
      m_zones[at].Add(place.zone);
    } else if (host.state == HostState::kFailed) {
      ++m_services[at].failed;
    } else {
      ++m_services[at].planned_away;
    }
  }
}

void Budget::SetLimits(const model::Fleet& fleet, const Membership& members) {
  for (size_t at = 0; at < m_services.size(); ++at) {
    ServiceBudget& counted = m_services[at];
    const int spare = counted.hosts - counted.min_available;
    counted.allowed_away = AllowedAway(fleet, at);
    const int beyond_rack = spare - members.by_rack[at].largest();
    const int beyond_zone = spare - members.by_zone[at].largest();
    counted.can_survive_rack = beyond_rack >= 1;
    counted.can_survive_zone = beyond_zone >= 1;
    counted.concurrency = counted.allowed_away;
    if (m_policy.rack_must_hold && counted.can_survive_rack) {
      counted.concurrency = std::min(counted.concurrency, beyond_rack);
    }
    if (m_policy.zone_must_hold && counted.can_survive_zone) {
      counted.concurrency = std::min(counted.concurrency, beyond_zone);
    }
    counted.largest_rack = m_racks[at].largest();
    counted.largest_zone = m_zones[at].largest();
  }
}

int Budget::AllowedAway(const model::Fleet& fleet, size_t at) const {
  const ServiceBudget& counted = m_services[at];
  if (at >= m_named_services) {
    const int share = AllowedByShare(counted.hosts, kUnclaimedAwayShare);
    return std::max(share, 1);
  }
  const model::Service& service = fleet.services.at(counted.service);
  const int share = AllowedByShare(counted.hosts, service.max_away_share);
  return std::min(counted.hosts - counted.min_available, share);
}

const Budget::HostPlace* Budget::FindHost(std::string_view host) const {
  const auto found = m_hosts.find(host);
  return found == m_hosts.end() ? nullptr : &found->second;
}

Budget::HostPlace* Budget::FindHost(std::string_view host) {
  const auto found = m_hosts.find(host);
  return found == m_hosts.end() ? nullptr : &found->second;
}

Refusal Budget::Check(int service,
                      const HostPlace& place,
                      BurnGate gate) const {
  const auto at = static_cast<size_t>(service);
  const ServiceBudget& counted = m_services[at];
  const int available = counted.available - 1;
  if (available < counted.min_available) {
    return Refusal::kMinAvailable;
  }
  if (counted.left() < 1) {
    return Refusal::kMaxAwayShare;
  }
  if (gate == BurnGate::kApply) {
    if (counted.burn.severity >= m_policy.stop_at) {
      return Refusal::kBurn;
    }
    if (counted.burn.left <= 0 && counted.planned_away >= 1) {
      return Refusal::kBurnSpent;
    }
  }
  const int rack_loss = m_racks[at].LargestWithout(place.rack);
  if (m_policy.rack_must_hold && counted.can_survive_rack &&
      available - rack_loss < counted.min_available) {
    return Refusal::kRackLoss;
  }
  const int zone_loss = m_zones[at].LargestWithout(place.zone);
  if (m_policy.zone_must_hold && counted.can_survive_zone &&
      available - zone_loss < counted.min_available) {
    return Refusal::kZoneLoss;
  }
  return Refusal::kNone;
}

Verdict Budget::MayTakeAway(std::string_view host, BurnGate gate) const {
  const HostPlace* place = FindHost(host);
  if (place == nullptr) {
    return {Refusal::kUnknownHost, {}};
  }
  if (!place->is_available) {
    return {};
  }
  for (const int service : m_pool_services[static_cast<size_t>(place->pool)]) {
    const Refusal refusal = Check(service, *place, gate);
    if (refusal != Refusal::kNone) {
      return {refusal, m_services[static_cast<size_t>(service)].service};
    }
  }
  return {};
}

Verdict Budget::MayTakeAwayAll(const std::vector<std::string>& hosts) const {
  // Each host that goes leaves less for the next: if one in turn may not go,
  // they may not go together, in whatever order.
  Budget trial = *this;
  for (const std::string& host : hosts) {
    Verdict verdict = trial.Take(host);
    if (!verdict.is_allowed()) {
      return verdict;
    }
  }
  return {};
}

void Budget::Shift(HostPlace& place, bool becomes_available) {
  place.is_available = becomes_available;
  const int change = becomes_available ? 1 : -1;
  for (const int service : m_pool_services[static_cast<size_t>(place.pool)]) {
    const auto at = static_cast<size_t>(service);
    ServiceBudget& counted = m_services[at];
    counted.available += change;
    counted.planned_away -= change;
    if (becomes_available) {
      m_racks[at].Add(place.rack);
      m_zones[at].Add(place.zone);
    } else {
      m_racks[at].Remove(place.rack);
      m_zones[at].Remove(place.zone);
    }
    counted.largest_rack = m_racks[at].largest();
    counted.largest_zone = m_zones[at].largest();
  }
}

Verdict Budget::Take(std::string_view host, BurnGate gate) {
  Verdict verdict = MayTakeAway(host, gate);
  HostPlace* place = FindHost(host);
  if (verdict.is_allowed() && place->is_available) {
    Shift(*place, false);
  }
  return verdict;
}

void Budget::GiveBack(std::string_view host) {
  HostPlace* place = FindHost(host);
  if (place != nullptr && !place->is_available) {
    Shift(*place, true);
  }
}

const std::vector<int>& Budget::PoolServices(std::string_view pool) const {
  static const std::vector<int> none;
  const auto found = m_pool_index.find(pool);
  return found == m_pool_index.end()
             ? none
             : m_pool_services[static_cast<size_t>(found->second)];
}

bool Budget::IsHostWhole(std::string_view host) const {
  const HostPlace* place = FindHost(host);
  if (place == nullptr) {
    return true;
  }
  const auto& services = m_pool_services[static_cast<size_t>(place->pool)];
  return std::all_of(services.begin(), services.end(), [&](int service) {
    return m_services[static_cast<size_t>(service)].is_whole();
  });
}

bool Budget::IsPoolWhole(std::string_view pool) const {
  const std::vector<int>& services = PoolServices(pool);
  return std::all_of(services.begin(), services.end(), [&](int service) {
    return m_services[static_cast<size_t>(service)].is_whole();
  });
}

BurnSeverity Budget::PoolBurn(std::string_view pool) const {
  BurnSeverity worst = BurnSeverity::kNone;
  for (const int service : PoolServices(pool)) {
    worst =
        std::max(worst, m_services[static_cast<size_t>(service)].burn.severity);
  }
  return worst;
}

int Budget::PoolConcurrency(std::string_view pool) const {
  int concurrency = kUnboundedConcurrency;
  for (const int service : PoolServices(pool)) {
    concurrency = std::min(
        concurrency, m_services[static_cast<size_t>(service)].concurrency);
  }
  return std::max(concurrency, 0);
}

const ServiceBudget* Budget::Find(std::string_view service) const {
  for (const ServiceBudget& counted : m_services) {
    if (counted.service == service) {
      return &counted;
    }
  }
  return nullptr;
}

Verdict MayDrain(const model::Fleet& fleet,
                 std::string_view host,
                 const BudgetPolicy& policy) {
  return Budget::Evaluate(fleet, {}, policy).MayTakeAway(host);
}

}  // namespace laurelhall::budget
