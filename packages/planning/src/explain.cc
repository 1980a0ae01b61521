#include "laurelhall/planning/controller.h"
#include "laurelhall/planning/wave.h"
#include "planning_p.h"

namespace laurelhall::planning {
namespace {

using model::Host;
using model::HostState;

template <typename Enum>
std::string EnumName(Enum value) {
  return boost::describe::enum_to_string(value, "unknown");
}

/// Collects the lines that explain one host's state: its location, its act (a
/// wave, roll-out or move), what it waits for, the budgets of its services and
/// its maintenance.
class HostExplainer {
 public:
  HostExplainer(PlanContext& context, const Host& host)
      : m_context(context), m_host(host) {}

  std::vector<std::string> Explain() {
    AddLocation();
    AddAct();
    AddWaitReason();
    AddBudgets();
    AddMaintenance();
    return std::move(m_lines);
  }

 private:
  void Add(std::string line) { m_lines.push_back(std::move(line)); }

  void AddLocation() {
    Add("host " + m_host.id + " is " + EnumName(m_host.state) + " in pool " +
        m_host.pool + " since " + FormatWallTime(m_host.state_since) +
        " (epoch " + std::to_string(m_host.epoch) + ")");
    Add("rack " + m_host.rack + ", availability zone " +
        m_host.availability_zone + ", region " + m_host.region);
    if (!m_host.moved_from.empty()) {
      Add("moved here from pool " + m_host.moved_from + " at " +
          FormatWallTime(m_host.last_moved));
    }
  }

  void AddAct() {
    if (m_host.drain_reason != model::DrainReason::kNone) {
      Add("leaves for " + EnumName(m_host.drain_reason) +
          (m_host.move_to.empty() ? "" : " to pool " + m_host.move_to) +
          (m_host.act.empty() ? "" : " on behalf of " + m_host.act));
    }
    const auto wave = m_context.fleet().waves.find(m_host.act);
    if (wave != m_context.fleet().waves.end()) {
      Add("wave " + m_host.act + " is " + EnumName(wave->second.state) +
          ReasonSuffix(wave->second.reason));
    }
    const auto rollout = m_context.fleet().rollouts.find(m_host.act);
    if (rollout != m_context.fleet().rollouts.end()) {
      Add("roll-out " + m_host.act + " is " + EnumName(rollout->second.state) +
          ", stage " + std::to_string(rollout->second.stage) +
          ReasonSuffix(rollout->second.reason));
    }
  }

  static std::string ReasonSuffix(const std::string& reason) {
    return reason.empty() ? "" : ": " + reason;
  }

  void AddWaitReason() {
    if (m_host.state == HostState::kDraining) {
      AddDrainWaitReason();
    } else if (m_host.state == HostState::kInMaintenance) {
      Add("waits for the host to return; its act halts after " +
          FormatDuration(m_context.policy().return_timeout));
    } else if (m_host.state == HostState::kReturning) {
      const Millis warm_up = m_context.view().PoolOf(m_host).warm_up;
      Add("warms up for " + FormatDuration(warm_up) + " and isn't capacity");
    }
  }

  void AddDrainWaitReason() {
    const auto found = m_context.input().in_flight.find(m_host.id);
    const bool is_known = found != m_context.input().in_flight.end();
    Add(is_known ? "waits for " + std::to_string(found->second) + " in flight"
                 : "waits: it isn't known what is in flight there");
    const Millis drain_timeout = m_context.view().PoolOf(m_host).drain_timeout;
    Add(IsPlannerDrainReason(m_host.drain_reason)
            ? "not empty after " + FormatDuration(drain_timeout) +
                  ", it goes back to its pool and is tried again later"
            : "drains without a bound, since an operator asked for it");
  }

  void AddBudgets() {
    for (const int index : m_context.budget().PoolServices(m_host.pool)) {
      const budget::ServiceBudget& service =
          m_context.budget().services()[static_cast<size_t>(index)];
      Add("service " + service.service + ": " +
          std::to_string(service.available) + " of " +
          std::to_string(service.hosts) + " available, " +
          std::to_string(service.min_available) + " needed, " +
          std::to_string(service.left()) + " may still go" +
          (service.survives_rack() ? ""
                                   : "; the largest rack couldn't be lost"));
    }
    if (IsFreeToDrain(m_host)) {
      const budget::Verdict verdict = m_context.budget().MayTakeAway(m_host.id);
      Add(verdict.is_allowed() ? "may be taken away now"
                               : "may not be taken away: " + verdict.Text());
    }
  }

  void AddMaintenance() {
    const Millis period = m_context.view().PoolOf(m_host).maintenance_period;
    Add("maintenance is due by " +
        FormatWallTime(m_host.last_maintained + period));
    for (const auto& [id, wave] : m_context.fleet().waves) {
      for (const std::string& given_up : wave.given_up) {
        if (given_up == m_host.id) {
          Add("wave " + id + " gave it up: it never became empty");
        }
      }
    }
  }

  PlanContext& m_context;
  const Host& m_host;
  std::vector<std::string> m_lines;
};

}  // namespace

std::vector<std::string> ExplainHost(const model::Fleet& fleet,
                                     const std::string& id,
                                     const StepInput& input,
                                     const PlanningPolicy& policy) {
  const auto found = fleet.hosts.find(id);
  if (found == fleet.hosts.end()) {
    return {"host " + id + " isn't known"};
  }
  const FleetView view(fleet, policy);
  budget::Budget budget =
      budget::Budget::Evaluate(fleet, input.burn, policy.budget);
  PlanContext context(view, budget, input, policy);
  return HostExplainer(context, found->second).Explain();
}

}  // namespace laurelhall::planning
