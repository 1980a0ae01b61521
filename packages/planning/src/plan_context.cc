#include <algorithm>
#include <tuple>

#include "planning_p.h"

namespace laurelhall::planning {

using model::DrainReason;
using model::Host;
using model::HostEvent;
using model::HostState;

bool IsFreeToDrain(const Host& host) {
  return host.state == HostState::kInPool && host.act.empty();
}

bool IsDrainingOrDrained(const Host& host) {
  return host.state == HostState::kDraining ||
         host.state == HostState::kDrained;
}

bool IsPlannerDrainReason(DrainReason reason) {
  return reason == DrainReason::kMaintenance || reason == DrainReason::kMove ||
         reason == DrainReason::kRollout;
}

bool CoversShape(const model::Resources& capacity,
                 const model::Resources& shape) {
  return capacity.processors >= shape.processors &&
         capacity.memory_gb >= shape.memory_gb &&
         capacity.accelerators >= shape.accelerators;
}

bool DomainLess(const Host& a, const Host& b) {
  return std::tie(a.availability_zone, a.rack, a.id) <
         std::tie(b.availability_zone, b.rack, b.id);
}

void PlanContext::PlanTransition(const Host& host,
                                 HostEvent event,
                                 std::string why,
                                 const std::string& version) {
  if (!m_hosts_with_action.insert(host.id).second) {
    return;
  }
  if (event == HostEvent::kMovePool) {
    const std::vector<int>& services = m_budget.PoolServices(host.move_to);
    m_services_gaining_host.insert(services.begin(), services.end());
  }
  m_actions.push_back({.transition = {.host = host.id,
                                      .expected_epoch = host.epoch,
                                      .event = event,
                                      .drain_reason = host.drain_reason,
                                      .move_to = host.move_to,
                                      .act = host.act,
                                      .version = version},
                       .why = std::move(why)});
}

bool PlanContext::Drain(const Host& host,
                        const DrainRequest& request,
                        std::string why) {
  if (!IsFreeToDrain(host) || HasPlannedAction(host) ||
      IsServiceGainingHost(host.pool) ||
      !m_budget.Take(host.id, request.gate).is_allowed()) {
    return false;
  }
  m_hosts_with_action.insert(host.id);
  m_actions.push_back({.transition = {.host = host.id,
                                      .expected_epoch = host.epoch,
                                      .event = HostEvent::kDrain,
                                      .drain_reason = request.reason,
                                      .move_to = request.move_to,
                                      .act = request.act,
                                      .version = {}},
                       .why = std::move(why)});
  return true;
}

bool PlanContext::IsServiceGainingHost(const std::string& pool) const {
  const std::vector<int>& services = m_budget.PoolServices(pool);
  return std::any_of(services.begin(), services.end(), [this](int service) {
    return m_services_gaining_host.count(service) > 0;
  });
}

bool PlanContext::IsEmpty(const Host& host) const {
  const auto found = m_input.in_flight.find(host.id);
  return found != m_input.in_flight.end() && found->second == 0;
}

bool PlanContext::IsPastDrainTimeout(const Host& host) const {
  return IsDrainingOrDrained(host) && IsPlannerDrainReason(host.drain_reason) &&
         now() - host.state_since >= m_view.PoolOf(host).drain_timeout;
}

const Host* FindOverdueHost(const PlanContext& context, std::string_view act) {
  for (const Host* host : context.view().ActHosts(act)) {
    const bool is_overdue =
        host->state == HostState::kInMaintenance &&
        context.now() - host->state_since > context.policy().return_timeout;
    if (is_overdue) {
      return host;
    }
  }
  return nullptr;
}

}  // namespace laurelhall::planning
