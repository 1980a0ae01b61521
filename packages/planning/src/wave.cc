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

void JudgeWave(PlanContext& context, Wave& wave) {
  const bool is_open =
      wave.state == ActState::kRunning || wave.state == ActState::kPaused;
  if (!is_open) {
    return;
  }
  ProgressReader<Wave>(context, wave, [&wave](const Host& host) {
    return host.last_maintained >= wave.started;
  }).Read({});
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
  if (IsFinished(context, wave)) {
    wave.state = ActState::kDone;
    wave.reason = LeftOut(wave);
    return;
  }
  wave.reason = PauseReason(context, wave.pools);
  wave.state = wave.reason.empty() ? ActState::kRunning : ActState::kPaused;
}

void StartWaveDrains(PlanContext& context, const Wave& wave) {
  if (wave.state != ActState::kRunning) {
    return;
  }
  const DrainRequest request{
      .reason = DrainReason::kMaintenance, .act = wave.id, .move_to = {}};
  for (const Host* host : DrainCandidates(context, wave)) {
    context.Drain(*host, request, "maintenance is due");
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
  JudgeWave(context, step.wave);
  ActStates acts;
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
