#include "fleet_driver.h"

#include <algorithm>
#include <utility>

namespace laurelhall::planning {

using model::DrainReason;
using model::Host;
using model::HostEvent;
using model::HostState;

namespace {

bool IsMember(const Host& host) {
  return host.state != HostState::kAnnounced &&
         host.state != HostState::kRetired;
}

bool RunsService(const model::Service& service, const Host& host) {
  return std::count(service.pools.begin(), service.pools.end(), host.pool) > 0;
}

}  // namespace

FleetDriver::FleetDriver(model::Fleet fleet,
                         Planner planner,
                         DriverOptions options)
    : m_fleet(std::move(fleet)),
      m_planner(std::move(planner)),
      m_options(options),
      m_random(options.seed) {
  for (auto& [id, host] : m_fleet.hosts) {
    host.state_since += m_now.time_since_epoch();
    host.last_maintained += m_now.time_since_epoch();
    m_input.in_flight[id] = 1;
  }
  for (auto& [id, wave] : m_fleet.waves) {
    wave.started = m_now;
  }
  for (auto& [id, rollout] : m_fleet.rollouts) {
    rollout.started = rollout.stage_started = m_now;
  }
}

Millis FleetDriver::RandomUpTo(Millis max_duration) {
  return Millis(static_cast<int64_t>(
      m_random() % (static_cast<uint64_t>(max_duration.count()) + 1)));
}

void FleetDriver::Step() {
  m_now += m_options.step;
  m_input.now = m_now;
  SimulatePlatform();
  Commit(m_planner(m_fleet, m_input), m_fleet, true);
  CountShortfalls();
}

void FleetDriver::Run(Millis time) {
  const WallTime end = m_now + time;
  while (m_now < end) {
    Step();
  }
}

void FleetDriver::StepAsStaleLeader(const model::Fleet& stale_fleet,
                                    WallTime stale_time) {
  StepInput input = m_input;
  input.now = stale_time;
  const StepResult result = m_planner(stale_fleet, input);
  Commit(result, stale_fleet, false);
  Commit(result, stale_fleet, false);
}

void FleetDriver::SimulatePlatform() {
  // Apply() changes hosts in place and adds none, so the loop may go on after
  // it.
  for (const auto& [id, host] : m_fleet.hosts) {
    UpdateInFlight(host);
    ReturnIfDone(host);
  }
}

void FleetDriver::UpdateInFlight(const Host& host) {
  if (host.state == HostState::kInPool) {
    m_busy_until.erase(host.id);
    m_input.in_flight[host.id] = 1;
    return;
  }
  if (host.state != HostState::kDraining) {
    return;
  }
  const auto found = m_busy_until.find(host.id);
  if (found == m_busy_until.end()) {
    m_busy_until[host.id] =
        host.state_since + RandomUpTo(m_options.max_drain_time);
    return;
  }
  const bool is_empty = m_now >= found->second && !m_never_empty.count(host.id);
  m_input.in_flight[host.id] = is_empty ? 0 : 1;
}

void FleetDriver::ReturnIfDone(const Host& host) {
  if (m_never_return.count(host.id)) {
    return;
  }
  const bool is_maintained =
      host.state == HostState::kInMaintenance &&
      m_now - host.state_since >= m_options.maintenance_time;
  const bool is_repaired =
      host.state == HostState::kFailed && m_now >= m_repaired_at[host.id];
  if (is_maintained || is_repaired) {
    m_counts.maintained += is_maintained;
    Apply({.host = host.id,
           .expected_epoch = host.epoch,
           .event = HostEvent::kReturn,
           .drain_reason = DrainReason::kNone,
           .move_to = {},
           .act = {},
           .version = is_maintained ? m_versions_to_install[host.id] : ""});
  }
}

bool FleetDriver::Apply(const Transition& transition) {
  const auto found = m_fleet.hosts.find(transition.host);
  if (found == m_fleet.hosts.end()) {
    return false;
  }
  const auto after = ApplyTransition(found->second, transition, m_now);
  if (!after) {
    return false;
  }
  m_counts.pool_changes_outside_moves +=
      after->pool != found->second.pool &&
      transition.event != HostEvent::kMovePool;
  found->second = *after;
  return true;
}

bool FleetDriver::ApplyEvent(const std::string& host, HostEvent event) {
  return Apply({.host = host,
                .expected_epoch = m_fleet.hosts.at(host).epoch,
                .event = event,
                .drain_reason = DrainReason::kOperator,
                .move_to = {},
                .act = {},
                .version = {}});
}

void FleetDriver::Fail(const std::string& host, Millis repair_time) {
  if (ApplyEvent(host, HostEvent::kFail)) {
    m_repaired_at[host] = m_now + repair_time;
  }
}

void FleetDriver::FailRack(const std::string& rack, Millis repair_time) {
  for (const auto& [id, host] : m_fleet.hosts) {
    if (host.rack == rack) {
      Fail(id, repair_time);
    }
  }
}

void FleetDriver::FailZone(const std::string& zone, Millis repair_time) {
  for (const auto& [id, host] : m_fleet.hosts) {
    if (host.availability_zone == zone) {
      Fail(id, repair_time);
    }
  }
}

void FleetDriver::FailRandomHost() {
  auto host = m_fleet.hosts.begin();
  std::advance(host,
               static_cast<std::ptrdiff_t>(m_random() % m_fleet.hosts.size()));
  Fail(host->first, RandomUpTo(m_options.max_repair_time));
}

void FleetDriver::RepairAll() {
  for (const auto& [id, host] : m_fleet.hosts) {
    m_repaired_at[id] = m_now;
  }
}

void FleetDriver::Commit(const StepResult& result,
                         const model::Fleet& planned_on,
                         bool is_current) {
  // A wave or roll-out is replaced only if its state is still the one that the
  // planner planned on.
  const auto replace = [](auto& acts, const auto& planned_on_acts,
                          const auto& act) {
    const auto expected = planned_on_acts.find(act.id);
    const auto found = acts.find(act.id);
    const bool was_known = expected != planned_on_acts.end();
    const bool is_known = found != acts.end();
    if (was_known != is_known ||
        (is_known && expected->second.state != found->second.state)) {
      return;
    }
    acts[act.id] = act;
  };
  const std::map<std::string, model::Wave> planned_on_waves = planned_on.waves;
  const std::map<std::string, model::Rollout> planned_on_rollouts =
      planned_on.rollouts;
  for (const model::Wave& wave : result.waves) {
    replace(m_fleet.waves, planned_on_waves, wave);
  }
  for (const model::Rollout& rollout : result.rollouts) {
    replace(m_fleet.rollouts, planned_on_rollouts, rollout);
  }
  for (const Action& action : result.actions) {
    CommitAction(action, is_current);
  }
}

void FleetDriver::CommitAction(const Action& action, bool is_current) {
  const Transition& transition = action.transition;
  Host& host = m_fleet.hosts.at(transition.host);
  const bool is_drain = transition.event == HostEvent::kDrain;
  const bool is_refused =
      is_drain && m_options.rechecks_drains &&
      transition.expected_epoch == host.epoch &&
      !budget::MayDrain(m_fleet, host.id, m_options.budget).is_allowed();
  if (is_refused) {
    ++(is_current ? m_counts.refused_current_drains
                  : m_counts.refused_stale_drains);
    return;
  }
  const std::string pool_before = host.pool;
  const bool is_within_day = m_now - host.last_moved < std::chrono::hours(24);
  const std::string moved_from = host.moved_from;
  if (!Apply(transition)) {
    return;
  }
  if (is_drain) {
    ++m_counts.planned_drains;
    m_counts.planned_budget_violations += !BudgetsHold(host);
  } else if (transition.event == HostEvent::kStopForMaintenance) {
    m_counts.cut_off += m_input.in_flight[host.id] > 0;
    m_versions_to_install[host.id] = transition.version;
  } else if (transition.event == HostEvent::kMovePool) {
    ++m_counts.moves;
    m_counts.moves_back_within_day += is_within_day && host.pool == moved_from;
  }
}

/// Checks the budgets of the drained host's services by a count of its own, not
/// by the budget package.
bool FleetDriver::BudgetsHold(const Host& drained) const {
  for (const auto& [name, service] : m_fleet.services) {
    if (!RunsService(service, drained)) {
      continue;
    }
    std::map<std::string, int> rack_hosts;
    std::map<std::string, int> rack_available;
    int hosts = 0;
    int available = 0;
    int most_in_rack = 0;
    int most_available = 0;
    for (const auto& [id, host] : m_fleet.hosts) {
      if (!IsMember(host) || !RunsService(service, host)) {
        continue;
      }
      const std::string rack = host.availability_zone + "/" + host.rack;
      const bool is_available = host.state == HostState::kInPool;
      ++hosts;
      available += is_available;
      most_in_rack = std::max(most_in_rack, ++rack_hosts[rack]);
      rack_available[rack] += is_available;
      most_available = std::max(most_available, rack_available[rack]);
    }
    const bool rack_may_go = hosts - 1 - most_in_rack >= service.min_available;
    const bool holds =
        available >= service.min_available &&
        hosts - available <= service.max_away_share * hosts + 1e-9 &&
        (!rack_may_go || available - most_available >= service.min_available);
    if (!holds) {
      return false;
    }
  }
  return true;
}

void FleetDriver::CountShortfalls() {
  std::map<std::string_view, int> available;
  for (const auto& [id, host] : m_fleet.hosts) {
    available[host.pool] += host.state == HostState::kInPool;
  }
  for (const auto& [name, pool] : m_fleet.pools) {
    m_counts.pool_short_steps += available[name] < pool.target_hosts;
  }
  for (const auto& [name, service] : m_fleet.services) {
    int sum = 0;
    for (const std::string& pool : service.pools) {
      sum += available[pool];
    }
    m_counts.service_short_steps += sum < service.min_available;
  }
}

}  // namespace laurelhall::planning
