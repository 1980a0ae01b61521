#include "laurelhall/planning/rollout.h"

#include <cmath>

#include "act_progress_p.h"

namespace laurelhall::planning {
namespace {

using model::ActState;
using model::DrainReason;
using model::Host;
using model::Rollout;

/// Shares of the hosts up to which the second and the third stage go. The first
/// stage is one host. All three bake, that is they are watched for a while
/// before the next stage starts.
constexpr double kBakedStageShares[] = {0.05, 0.25};
constexpr int kBakedStageCount =
    1 + static_cast<int>(std::size(kBakedStageShares));

const std::string& TargetVersion(const Rollout& rollout) {
  return rollout.state == ActState::kRollingBack ? rollout.previous_version
                                                 : rollout.version;
}

std::vector<const Host*> ServiceHosts(const FleetView& view,
                                      const std::string& service) {
  std::vector<const Host*> hosts;
  const auto found = view.fleet().services.find(service);
  if (found == view.fleet().services.end()) {
    return hosts;
  }
  for (const std::string& pool : found->second.pools) {
    const auto& of_pool = view.PoolHosts(pool);
    hosts.insert(hosts.end(), of_pool.begin(), of_pool.end());
  }
  return hosts;
}

std::map<std::string, int> CountZones(const std::vector<const Host*>& hosts) {
  std::map<std::string, int> zones;
  for (const Host* host : hosts) {
    ++zones[host->availability_zone];
  }
  return zones;
}

/// Orders hosts zone by zone, the smallest zone first, so that a bad version
/// hits the smallest zone first.
std::vector<const Host*> SortInRolloutOrder(std::vector<const Host*> hosts) {
  const std::map<std::string, int> zones = CountZones(hosts);
  std::sort(hosts.begin(), hosts.end(), [&](const Host* a, const Host* b) {
    const int hosts_a = zones.at(a->availability_zone);
    const int hosts_b = zones.at(b->availability_zone);
    return hosts_a != hosts_b ? hosts_a < hosts_b : DomainLess(*a, *b);
  });
  return hosts;
}

std::vector<std::string> HostIds(const std::vector<const Host*>& hosts) {
  std::vector<std::string> ids;
  ids.reserve(hosts.size());
  for (const Host* host : hosts) {
    ids.push_back(host->id);
  }
  return ids;
}

/// Returns how many hosts may run the new version by the end of each stage.
std::vector<int> StageTargets(const std::vector<const Host*>& hosts) {
  const int count = static_cast<int>(hosts.size());
  std::vector<int> targets = {std::min(1, count)};
  for (const double share : kBakedStageShares) {
    const int target = static_cast<int>(std::ceil(count * share));
    targets.push_back(std::max(targets.back(), target));
  }
  std::vector<int> zone_sizes;
  for (const auto& [zone, size] : CountZones(hosts)) {
    zone_sizes.push_back(size);
  }
  std::sort(zone_sizes.begin(), zone_sizes.end());
  int done = 0;
  for (const int size : zone_sizes) {
    done += size;
    targets.push_back(std::max(targets.back(), done));
  }
  return targets;
}

/// Request outcomes summed over the hosts of each version.
struct VersionOutcomes {
  HostOutcomes new_version;
  HostOutcomes old_version;
};

void AddOutcomes(HostOutcomes& sum, const HostOutcomes& outcomes) {
  sum.good += outcomes.good;
  sum.bad += outcomes.bad;
}

int64_t RequestCount(const HostOutcomes& outcomes) {
  return outcomes.good + outcomes.bad;
}

double ErrorShare(const HostOutcomes& outcomes) {
  const int64_t all = RequestCount(outcomes);
  return all == 0
             ? 0
             : static_cast<double>(outcomes.bad) / static_cast<double>(all);
}

/// Derives one roll-out's progress from its hosts and updates its state and
/// stage for one step.
class RolloutUpdater {
 public:
  RolloutUpdater(PlanContext& context, Rollout& rollout)
      : m_context(context),
        m_rollout(rollout),
        m_hosts(
            SortInRolloutOrder(ServiceHosts(context.view(), rollout.service))) {
  }

  void Update() {
    ReadProgress();
    if (m_rollout.is_held) {
      m_rollout.state = ActState::kPaused;
      return;
    }
    if (HaltIfOverdue()) {
      return;
    }
    if (m_rollout.state == ActState::kRollingBack) {
      HaltIfRollbackIsComplete();
      return;
    }
    if (StartRollbackIfNeeded()) {
      ReadProgress();
      return;
    }
    UpdateForwardState();
  }

 private:
  void ReadProgress() {
    const std::string target = TargetVersion(m_rollout);
    const std::vector<std::string> members = HostIds(m_hosts);
    ProgressReader<Rollout> reader(m_context, m_rollout, [&](const Host& host) {
      return host.version == target;
    });
    reader.RestrictTo(members);
    reader.Read(members);
  }

  bool HaltIfOverdue() {
    const Host* overdue = FindOverdueHost(m_context, m_rollout.id);
    if (overdue == nullptr) {
      return false;
    }
    m_rollout.state = ActState::kHalted;
    m_rollout.reason = "host " + overdue->id + " hasn't returned within " +
                       FormatDuration(m_context.policy().return_timeout);
    return true;
  }

  void HaltIfRollbackIsComplete() {
    const bool is_complete = IsFinished(m_context, m_rollout);
    if (is_complete) {
      m_rollout.state = ActState::kHalted;
      m_rollout.reason = "rolled back to " + m_rollout.previous_version + ": " +
                         m_rollout.reason;
    }
  }

  bool StartRollbackIfNeeded() {
    const std::string reason = RollbackReason();
    if (reason.empty()) {
      return false;
    }
    m_rollout.state = ActState::kRollingBack;
    m_rollout.reason = reason;
    // Hosts that were given up or postponed are tried again with the previous
    // version.
    m_rollout.given_up.clear();
    m_rollout.postponed.clear();
    m_rollout.tries.clear();
    m_rollout.stage_started = m_context.now();
    return true;
  }

  VersionOutcomes OutcomesByVersion() const {
    VersionOutcomes sums;
    for (const Host* host : m_hosts) {
      const auto found = m_context.input().outcomes.find(host->id);
      if (found == m_context.input().outcomes.end()) {
        continue;
      }
      const bool is_new = host->version == m_rollout.version;
      AddOutcomes(is_new ? sums.new_version : sums.old_version, found->second);
    }
    return sums;
  }

  bool HasNewVersion() const {
    return std::any_of(m_hosts.begin(), m_hosts.end(), [&](const Host* host) {
      return host->version == m_rollout.version;
    });
  }

  /// Returns why the new version must be rolled back, or an empty text if it
  /// needn't.
  std::string RollbackReason() const {
    if (!HasNewVersion()) {
      return {};
    }
    const PlanningPolicy& policy = m_context.policy();
    const VersionOutcomes sums = OutcomesByVersion();
    const double new_error_share = ErrorShare(sums.new_version);
    const double old_error_share = ErrorShare(sums.old_version);
    const bool has_enough_requests =
        RequestCount(sums.new_version) >= policy.min_compared_requests;
    if (has_enough_requests &&
        new_error_share >
            old_error_share * policy.error_ratio + policy.error_margin) {
      return "hosts with " + m_rollout.version + " fail " +
             std::to_string(sums.new_version.bad) + " of " +
             std::to_string(RequestCount(sums.new_version)) + " requests";
    }
    const bool is_known_as_good =
        has_enough_requests &&
        RequestCount(sums.old_version) >= policy.min_compared_requests &&
        new_error_share <= old_error_share;
    const budget::ServiceBudget* service =
        m_context.budget().Find(m_rollout.service);
    const bool is_burning_fast =
        service != nullptr &&
        service->burn.severity == budget::BurnSeverity::kFast;
    return is_burning_fast && !is_known_as_good
               ? m_rollout.service + " burns its budget fast"
               : std::string();
  }

  /// Pauses, resumes or ends a roll-out that isn't rolling back, and starts its
  /// next stage when that is due.
  void UpdateForwardState() {
    const auto found = m_context.fleet().services.find(m_rollout.service);
    if (found == m_context.fleet().services.end()) {
      m_rollout.state = ActState::kHalted;
      m_rollout.reason = "service " + m_rollout.service + " doesn't exist";
      return;
    }
    m_rollout.reason = PauseReason(m_context, found->second.pools);
    m_rollout.state =
        m_rollout.reason.empty() ? ActState::kRunning : ActState::kPaused;
    if (m_rollout.state != ActState::kRunning) {
      return;
    }
    if (IsFinished(m_context, m_rollout)) {
      m_rollout.state = ActState::kDone;
      m_rollout.reason = SkippedHostsSummary(m_rollout);
      return;
    }
    AdvanceStageIfDone();
  }

  WallTime LastDoneAt() const {
    WallTime last = m_rollout.stage_started;
    for (const std::string& id : m_rollout.done) {
      const Host* host = m_context.view().FindHost(id);
      last = std::max(last, host->state_since);
    }
    return last;
  }

  Millis BakeTime() const {
    return m_rollout.bake > Millis(0) ? m_rollout.bake
                                      : m_context.policy().stage_bake_time;
  }

  void AdvanceStageIfDone() {
    const std::vector<int> targets = StageTargets(m_hosts);
    const int last_stage = static_cast<int>(targets.size()) - 1;
    const int done = static_cast<int>(m_rollout.done.size());
    if (m_rollout.stage >= last_stage ||
        done < targets[static_cast<size_t>(m_rollout.stage)]) {
      return;
    }
    const bool is_baked = m_rollout.stage >= kBakedStageCount ||
                          m_context.now() - LastDoneAt() >= BakeTime();
    if (!is_baked) {
      return;
    }
    // Skips stages that add no host to the one before: there is nothing new to
    // watch.
    const int target = targets[static_cast<size_t>(m_rollout.stage)];
    do {
      ++m_rollout.stage;
    } while (m_rollout.stage < last_stage &&
             targets[static_cast<size_t>(m_rollout.stage)] == target);
    m_rollout.stage_started = m_context.now();
  }

  PlanContext& m_context;
  Rollout& m_rollout;
  std::vector<const Host*> m_hosts;
};

/// Returns how many more hosts may be drained in the current stage.
int StageQuota(const PlanContext& context, const Rollout& rollout) {
  const std::vector<int> targets =
      StageTargets(ServiceHosts(context.view(), rollout.service));
  const int last_stage = static_cast<int>(targets.size()) - 1;
  // After the baked stages all zones are open. Their order is kept, but hosts
  // of the next zone may start while the last ones of a zone are still away.
  const bool is_open = rollout.stage >= kBakedStageCount;
  const int stage = is_open ? last_stage : std::min(rollout.stage, last_stage);
  const size_t started = rollout.done.size() + rollout.active.size();
  return targets[static_cast<size_t>(stage)] - static_cast<int>(started);
}

}  // namespace

Rollout PlanRollout(const model::Fleet& fleet,
                    std::string id,
                    const std::string& service,
                    std::string version,
                    std::string previous_version,
                    WallTime now) {
  Rollout rollout;
  rollout.id = std::move(id);
  rollout.service = service;
  rollout.version = std::move(version);
  rollout.previous_version = std::move(previous_version);
  rollout.started = now;
  rollout.stage_started = now;
  const FleetView view(fleet, {});
  for (const Host* host : SortInRolloutOrder(ServiceHosts(view, service))) {
    const bool has_version = host->version == rollout.version;
    (has_version ? rollout.done : rollout.pending).push_back(host->id);
  }
  return rollout;
}

std::vector<int> RolloutStages(const model::Fleet& fleet,
                               const Rollout& rollout) {
  return StageTargets(ServiceHosts(FleetView(fleet, {}), rollout.service));
}

void UpdateRolloutState(PlanContext& context, Rollout& rollout) {
  const bool is_open = rollout.state == ActState::kRunning ||
                       rollout.state == ActState::kPaused ||
                       rollout.state == ActState::kRollingBack;
  if (is_open) {
    RolloutUpdater(context, rollout).Update();
  }
}

void StartRolloutDrains(PlanContext& context, const Rollout& rollout) {
  const bool is_rolling_back = rollout.state == ActState::kRollingBack;
  if (rollout.state != ActState::kRunning && !is_rolling_back) {
    return;
  }
  DrainRequest request{
      .reason = DrainReason::kRollout, .act = rollout.id, .move_to = {}};
  std::vector<const Host*> candidates = DrainCandidates(context, rollout);
  int quota = static_cast<int>(candidates.size());
  if (is_rolling_back) {
    // Removing the bad version is what ends the burn, so the burn must not
    // block it.
    request.gate = budget::BurnGate::kIgnore;
  } else {
    quota = StageQuota(context, rollout);
  }
  for (const Host* host : candidates) {
    if (quota <= 0) {
      return;
    }
    if (context.Drain(*host, request, "to run " + TargetVersion(rollout))) {
      --quota;
    }
  }
}

RolloutStep StepRollout(const model::Fleet& fleet,
                        const Rollout& rollout,
                        budget::Budget& budget,
                        const StepInput& input,
                        const PlanningPolicy& policy) {
  const FleetView view(fleet, policy);
  PlanContext context(view, budget, input, policy);
  RolloutStep step{.actions = {}, .rollout = rollout};
  UpdateRolloutState(context, step.rollout);
  UpdatedActs acts;
  acts.rollouts[step.rollout.id] = &step.rollout;
  AdvanceHosts(context, acts, step.rollout.id);
  StartRolloutDrains(context, step.rollout);
  step.actions = context.TakeActions();
  return step;
}

}  // namespace laurelhall::planning
