#include "act_progress_p.h"

namespace laurelhall::planning {
namespace {

using budget::BurnSeverity;

/// Returns the services that these pools belong to.
std::set<int> ServicesOf(const PlanContext& context,
                         const std::vector<std::string>& pools) {
  std::set<int> services;
  for (const std::string& pool : pools) {
    const std::vector<int>& of_pool = context.budget().PoolServices(pool);
    services.insert(of_pool.begin(), of_pool.end());
  }
  return services;
}

/// Whether hosts of these services have failed in the domain.
bool AffectsServices(const PlanContext& context,
                     const DownDomain& domain,
                     const std::set<int>& services) {
  for (const std::string_view pool : domain.pools) {
    for (const int service : context.budget().PoolServices(pool)) {
      if (services.count(service)) {
        return true;
      }
    }
  }
  return false;
}

/// Whether a budget of the pool's services is short or burns too fast.
bool IsBlocked(const PlanContext& context, const std::string& pool) {
  return !context.budget().IsPoolWhole(pool) ||
         context.budget().PoolBurn(pool) >= context.policy().budget.stop_at;
}

std::string DownDomainReason(const PlanContext& context,
                             const std::vector<std::string>& pools,
                             bool is_any_blocked) {
  const std::set<int> services = ServicesOf(context, pools);
  for (const DownDomain& domain : context.view().down_domains()) {
    const bool is_recent = context.now() - domain.last_failure <
                           context.policy().domain_settle_time;
    const bool must_pause = (is_recent || is_any_blocked) &&
                            AffectsServices(context, domain, services);
    if (must_pause) {
      return domain.name + " is down: " + std::to_string(domain.failed) +
             " of " + std::to_string(domain.hosts) + " hosts failed";
    }
  }
  return {};
}

std::string BudgetReason(const PlanContext& context, const std::string& pool) {
  for (const int index : context.budget().PoolServices(pool)) {
    const budget::ServiceBudget& service =
        context.budget().services()[static_cast<size_t>(index)];
    if (!service.is_whole()) {
      return "budget of " + service.service +
             " is short: " + std::to_string(service.available) + " of " +
             std::to_string(service.hosts) + " available";
    }
    if (service.burn.severity >= context.policy().budget.stop_at) {
      return service.service + " burns its budget";
    }
  }
  return {};
}

}  // namespace

std::string PauseReason(const PlanContext& context,
                        const std::vector<std::string>& pools) {
  const auto is_blocked = [&](const std::string& pool) {
    return IsBlocked(context, pool);
  };
  const bool is_any_blocked =
      std::any_of(pools.begin(), pools.end(), is_blocked);
  if (is_any_blocked || !context.view().down_domains().empty()) {
    std::string reason = DownDomainReason(context, pools, is_any_blocked);
    if (!reason.empty()) {
      return reason;
    }
  }
  // A pool with a short budget blocks only its own hosts. The whole act pauses
  // when all of its pools are blocked.
  const bool are_all_blocked =
      std::all_of(pools.begin(), pools.end(), is_blocked);
  return are_all_blocked && !pools.empty()
             ? BudgetReason(context, pools.front())
             : std::string();
}

}  // namespace laurelhall::planning
