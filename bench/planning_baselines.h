#pragma once

#include <algorithm>
#include <map>
#include <string>

#include "fleet_driver.h"

// What planning is measured against. Each knows the lifecycle and nothing of
// budgets, failure domains or damping.
namespace laurelhall::bench {

using model::DrainReason;
using model::Host;
using model::HostEvent;
using model::HostState;
using planning::StepInput;
using planning::StepResult;

inline void AddAction(StepResult& result, const Host& host, HostEvent event) {
  result.actions.push_back({.transition = {.host = host.id,
                                           .expected_epoch = host.epoch,
                                           .event = event,
                                           .drain_reason = host.drain_reason,
                                           .move_to = host.move_to,
                                           .act = host.act,
                                           .version = "2"},
                            .why = {}});
}

inline void AddDrain(StepResult& result,
                     const Host& host,
                     DrainReason reason,
                     const std::string& move_to) {
  result.actions.push_back({.transition = {.host = host.id,
                                           .expected_epoch = host.epoch,
                                           .event = HostEvent::kDrain,
                                           .drain_reason = reason,
                                           .move_to = move_to,
                                           .act = "baseline",
                                           .version = {}},
                            .why = {}});
}

/// Takes every host on its way one transition further.
inline void AdvanceAll(StepResult& result,
                       const model::Fleet& fleet,
                       const StepInput& input) {
  for (const auto& [id, host] : fleet.hosts) {
    const auto in_flight = input.in_flight.find(id);
    const bool is_empty =
        in_flight != input.in_flight.end() && in_flight->second == 0;
    if (host.state == HostState::kDraining && is_empty) {
      AddAction(result, host, HostEvent::kConfirmEmpty);
    } else if (host.state == HostState::kDrained) {
      AddAction(result, host,
                host.drain_reason == DrainReason::kMove
                    ? HostEvent::kMovePool
                    : HostEvent::kStopForMaintenance);
    } else if (host.state == HostState::kReturning &&
               input.now - host.state_since >= std::chrono::minutes(1)) {
      AddAction(result, host, HostEvent::kWarm);
    }
  }
}

/// A fixed number of hosts at a time, one unless said, of the fleet or of each
/// group that `group_of` names. Nothing is looked at again on the way.
class FixedBatch {
 public:
  using GroupOf = std::string (*)(const Host&);
  using IsDue = std::function<bool(const Host&, WallTime)>;

  using SizeOf = std::function<int(const std::string&)>;

  FixedBatch(
      DrainReason reason,
      GroupOf group_of,
      IsDue is_due,
      SizeOf size_of = [](const std::string&) { return 1; })
      : m_reason(reason),
        m_group_of(group_of),
        m_is_due(std::move(is_due)),
        m_size_of(std::move(size_of)) {}

  void Plan(StepResult& result,
            const model::Fleet& fleet,
            const StepInput& input) const {
    std::map<std::string, int> busy;
    for (const auto& [id, host] : fleet.hosts) {
      busy[m_group_of(host)] += host.act == "baseline";
    }
    for (const auto& [id, host] : fleet.hosts) {
      const std::string group = m_group_of(host);
      const bool may_go = busy[group] < m_size_of(group) && IsFree(host) &&
                          m_is_due(host, input.now);
      if (may_go) {
        AddDrain(result, host, m_reason, {});
        ++busy[group];
      }
    }
  }

 private:
  static bool IsFree(const Host& host) {
    return host.state == HostState::kInPool && host.act.empty();
  }

  DrainReason m_reason;
  GroupOf m_group_of;
  IsDue m_is_due;
  SizeOf m_size_of;
};

/// First fit: a pool below its target takes the first host of the first pool
/// above its own, at once and whatever moved before.
inline void PlanFirstFitMoves(StepResult& result, const model::Fleet& fleet) {
  std::map<std::string, int> surplus;
  for (const auto& [name, pool] : fleet.pools) {
    surplus[name] = -pool.target_hosts;
  }
  for (const auto& [id, host] : fleet.hosts) {
    const bool is_moving = host.drain_reason == DrainReason::kMove;
    const bool counts =
        host.state == HostState::kInPool || host.state == HostState::kReturning;
    surplus[host.pool] += counts && !is_moving;
    if (is_moving) {
      ++surplus[host.move_to];
    }
  }
  for (const auto& [id, host] : fleet.hosts) {
    if (host.state != HostState::kInPool || surplus[host.pool] <= 0) {
      continue;
    }
    for (const auto& [name, pool] : fleet.pools) {
      const bool fits = pool.host_shape == host.capacity && surplus[name] < 0;
      if (fits) {
        AddDrain(result, host, DrainReason::kMove, name);
        --surplus[host.pool];
        ++surplus[name];
        break;
      }
    }
  }
}

}  // namespace laurelhall::bench
