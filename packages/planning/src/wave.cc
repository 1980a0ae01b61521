#include "laurelhall/planning/wave.h"

#include "act_progress_p.h"

namespace laurelhall::planning {

using model::ActState;
using model::DrainReason;
using model::Host;
using model::Wave;

model::Wave PlanWave(const model::Fleet& fleet,
                     std::string id,
                     std::vector<std::string> pools,
                     WallTime now) {
  Wave wave;
  wave.id = std::move(id);
  wave.pools = std::move(pools);
  wave.started = now;
  const std::set<std::string_view> wanted(wave.pools.begin(), wave.pools.end());
  std::vector<const Host*> hosts;
  for (const auto& [name, host] : fleet.hosts) {
    const bool is_member = host.state != model::HostState::kAnnounced &&
                           host.state != model::HostState::kRetired;
    if (is_member && wanted.count(host.pool)) {
      hosts.push_back(&host);
    }
  }
  std::sort(hosts.begin(), hosts.end(),
            [](const Host* a, const Host* b) { return DomainLess(*a, *b); });
  for (const Host* host : hosts) {
    wave.pending.push_back(host->id);
  }
  return wave;
}

namespace {

std::vector<std::string> HostIdsOf(const PlanContext& context,
                                   const std::vector<std::string>& pools) {
  std::vector<std::string> ids;
  for (const std::string& pool : pools) {
    for (const Host* host : context.view().PoolHosts(pool)) {
      ids.push_back(host->id);
    }
  }
  return ids;
}

}  // namespace

void UpdateWaveState(PlanContext& context, Wave& wave) {
  const bool is_open =
      wave.state == ActState::kRunning || wave.state == ActState::kPaused;
  if (!is_open) {
    return;
  }
  ProgressReader<Wave> reader(context, wave, [&wave](const Host& host) {
    return host.last_maintained >= wave.started;
  });
  reader.RestrictTo(HostIdsOf(context, wave.pools));
  reader.Read({});
  if (wave.is_held) {
    wave.state = ActState::kPaused;
    return;
  }
  const Host* overdue = FindOverdueHost(context, wave.id);
  if (overdue != nullptr) {
    wave.state = ActState::kHalted;
    wave.reason = "host " + overdue->id + " hasn't returned within " +
                  FormatDuration(context.policy().return_timeout);
    return;
  }
  wave.reason = PauseReason(context, wave.pools);
  wave.state = wave.reason.empty() ? ActState::kRunning : ActState::kPaused;
  // A paused wave doesn't end: most of the remaining hosts may just have
  // failed.
  if (wave.state == ActState::kRunning && IsFinished(context, wave)) {
    wave.state = ActState::kDone;
    wave.reason = SkippedHostsSummary(wave);
  }
}

namespace {

/// Whether a wave could maintain its hosts one after the other by its
/// `finish_by`.
bool HasTimeToSpare(const PlanContext& context, const Wave& wave) {
  if (wave.finish_by == WallTime()) {
    return false;
  }
  // The longest that a host may take: its drain timeout plus the return
  // timeout.
  Millis needed{0};
  for (const auto* list : {&wave.pending, &wave.active, &wave.postponed}) {
    for (const std::string& id : *list) {
      const Host* host = context.view().FindHost(id);
      needed += context.view().PoolOf(*host).drain_timeout +
                context.policy().return_timeout;
    }
  }
  return context.now() + needed < wave.finish_by;
}

/// Returns how many hosts of a pool a wave with time to spare may drain now.
/// These are the pool's free hosts above its target, or one if there are none
/// and no host of the pool belongs to an act, so that the pool goes at most one
/// host below its target.
int SlowPaceQuota(const PlanContext& context, const std::string& pool) {
  const auto found = context.fleet().pools.find(pool);
  if (found == context.fleet().pools.end()) {
    return 0;
  }
  int spare = -found->second.target_hosts;
  bool is_any_claimed = false;
  for (const Host* host : context.view().PoolHosts(pool)) {
    spare += IsFreeToDrain(*host) && !context.HasPlannedAction(*host);
    is_any_claimed |= !host->act.empty();
  }
  return std::max(spare, is_any_claimed ? 0 : 1);
}

}  // namespace

void StartWaveDrains(PlanContext& context, const Wave& wave) {
  if (wave.state != ActState::kRunning) {
    return;
  }
  const bool has_time_to_spare = HasTimeToSpare(context, wave);
  std::map<std::string_view, int> quotas;
  const DrainRequest request{
      .reason = DrainReason::kMaintenance, .act = wave.id, .move_to = {}};
  for (const Host* host : DrainCandidates(context, wave)) {
    if (!has_time_to_spare) {
      context.Drain(*host, request, "maintenance is due");
      continue;
    }
    const auto [quota, is_new] = quotas.try_emplace(host->pool, 0);
    if (is_new) {
      quota->second = SlowPaceQuota(context, host->pool);
    }
    const bool is_started = quota->second > 0 &&
                            context.Drain(*host, request, "maintenance is due");
    quota->second -= is_started;
  }
}

WaveStep StepWave(const model::Fleet& fleet,
                  const Wave& wave,
                  budget::Budget& budget,
                  const StepInput& input,
                  const PlanningPolicy& policy) {
  const FleetView view(fleet, policy);
  PlanContext context(view, budget, input, policy);
  WaveStep step{.actions = {}, .wave = wave};
  UpdateWaveState(context, step.wave);
  UpdatedActs acts;
  acts.waves[step.wave.id] = &step.wave;
  AdvanceHosts(context, acts, step.wave.id);
  StartWaveDrains(context, step.wave);
  step.actions = context.TakeActions();
  return step;
}

Millis WaveLowerBound(const model::Fleet& fleet,
                      const std::vector<std::string>& pools,
                      Millis time_per_host,
                      const PlanningPolicy& policy) {
  const budget::Budget budget =
      budget::Budget::Evaluate(fleet, {}, policy.budget);
  const FleetView view(fleet, policy);
  std::map<int, int> hosts_by_service;
  for (const std::string& pool : pools) {
    for (const int service : budget.PoolServices(pool)) {
      hosts_by_service[service] +=
          static_cast<int>(view.PoolHosts(pool).size());
    }
  }
  Millis bound{0};
  for (const auto& [service, hosts] : hosts_by_service) {
    const int concurrency =
        budget.services()[static_cast<size_t>(service)].concurrency;
    if (concurrency <= 0) {
      return Millis::max();
    }
    const int rounds = (hosts + concurrency - 1) / concurrency;
    bound = std::max(bound, time_per_host * rounds);
  }
  return bound;
}

}  // namespace laurelhall::planning
