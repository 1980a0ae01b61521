#include <algorithm>

#include "planning_p.h"

namespace laurelhall::planning {
namespace {

using model::Host;
using model::HostState;

const std::vector<const Host*> kNoHosts;
const model::Pool kUnknownPool;

/// Returns the list of that name, or an empty one.
const std::vector<const Host*>& FindHosts(
    const budget::NameMap<std::vector<const Host*>>& lists,
    std::string_view name) {
  const auto found = lists.find(name);
  return found == lists.end() ? kNoHosts : found->second;
}

void AppendHost(budget::NameMap<std::vector<const Host*>>& lists,
                std::string_view name,
                const Host& host) {
  auto found = lists.find(name);
  if (found == lists.end()) {
    found = lists.emplace(name, std::vector<const Host*>()).first;
  }
  found->second.push_back(&host);
}

}  // namespace

FleetView::FleetView(const model::Fleet& fleet, const PlanningPolicy& policy)
    : m_fleet(fleet) {
  for (const auto& [id, host] : fleet.hosts) {
    const bool is_member = host.state != HostState::kAnnounced &&
                           host.state != HostState::kRetired;
    if (!is_member) {
      continue;
    }
    AppendHost(m_by_pool, host.pool, host);
    if (!host.act.empty()) {
      AppendHost(m_by_act, host.act, host);
    }
  }
  FindDownDomains(policy);
}

void FleetView::FindDownDomains(const PlanningPolicy& policy) {
  // Lists only domains with a failed host, since no other can be down and most
  // have none.
  budget::NameMap<HostList> racks;
  budget::NameMap<HostList> zones;
  std::string rack_key;
  const auto make_rack_key = [&](const Host& host) -> const std::string& {
    return rack_key.assign(host.availability_zone)
        .append("/")
        .append(host.rack);
  };
  for (const auto& [id, host] : m_fleet.hosts) {
    if (host.state == HostState::kFailed) {
      AppendHost(racks, make_rack_key(host), host);
      AppendHost(zones, host.availability_zone, host);
    }
  }
  if (racks.empty()) {
    return;
  }
  for (auto* domains : {&racks, &zones}) {
    for (auto& [name, hosts] : *domains) {
      hosts.clear();
    }
  }
  for (const auto& [pool, hosts] : m_by_pool) {
    for (const Host* host : hosts) {
      const auto rack = racks.find(make_rack_key(*host));
      if (rack != racks.end()) {
        rack->second.push_back(host);
      }
      const auto zone = zones.find(host->availability_zone);
      if (zone != zones.end()) {
        zone->second.push_back(host);
      }
    }
  }
  AddDownDomains(zones, "availability zone ", policy);
  AddDownDomains(racks, "rack ", policy);
}

void FleetView::AddDownDomains(const budget::NameMap<HostList>& domains,
                               const std::string& kind,
                               const PlanningPolicy& policy) {
  const size_t first_added = m_down.size();
  for (const auto& [name, hosts] : domains) {
    DownDomain domain;
    domain.name = kind + name;
    domain.hosts = static_cast<int>(hosts.size());
    for (const Host* host : hosts) {
      if (host->state == HostState::kFailed) {
        ++domain.failed;
        domain.pools.insert(host->pool);
        domain.last_failure = std::max(domain.last_failure, host->state_since);
      }
    }
    const bool is_down = domain.failed >= policy.min_failures_of_down_domain &&
                         2 * domain.failed > domain.hosts;
    if (is_down) {
      m_down.push_back(std::move(domain));
    }
  }
  std::sort(
      m_down.begin() + static_cast<std::ptrdiff_t>(first_added), m_down.end(),
      [](const DownDomain& a, const DownDomain& b) { return a.name < b.name; });
}

const std::vector<const Host*>& FleetView::PoolHosts(
    std::string_view pool) const {
  return FindHosts(m_by_pool, pool);
}

const std::vector<const Host*>& FleetView::ActHosts(
    std::string_view act) const {
  return FindHosts(m_by_act, act);
}

const Host* FleetView::FindHost(const std::string& id) const {
  const auto found = m_fleet.hosts.find(id);
  return found == m_fleet.hosts.end() ? nullptr : &found->second;
}

const model::Pool& FleetView::PoolOf(const Host& host) const {
  const auto found = m_fleet.pools.find(host.pool);
  return found == m_fleet.pools.end() ? kUnknownPool : found->second;
}

}  // namespace laurelhall::planning
