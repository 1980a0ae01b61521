#include <algorithm>
#include <cmath>

#include "laurelhall/planning/wave.h"
#include "planning_p.h"

namespace laurelhall::planning {
namespace {

using model::ActState;
using model::Host;
using model::HostState;
using model::Wave;

constexpr Millis kDay = std::chrono::hours(24);
constexpr std::string_view kPeriodicWavePrefix = "period-";

Millis FractionOf(Millis period, double share) {
  return Millis(static_cast<int64_t>(
      std::llround(static_cast<double>(period.count()) * share)));
}

/// Picks the hosts of one pool whose maintenance is to start now. Those that
/// were maintained longest ago take precedence; the result is in domain order.
class DueHostPicker {
 public:
  DueHostPicker(const PlanContext& context,
                const model::Pool& pool,
                const Wave* previous)
      : m_context(context), m_pool(pool), m_previous(previous) {}

  std::vector<const Host*> Pick() {
    CollectCandidates();
    std::sort(m_candidates.begin(), m_candidates.end(),
              [](const Host* a, const Host* b) {
                return a->last_maintained != b->last_maintained
                           ? a->last_maintained < b->last_maintained
                           : DomainLess(*a, *b);
              });
    const int start_quota =
        std::min(MinStartsNow(), MaxStartsToday() - m_maintained_in_last_day);
    std::vector<const Host*> picked;
    for (const Host* host : m_candidates) {
      const bool has_quota = static_cast<int>(picked.size()) < start_quota;
      if (has_quota || TimeUntilMandatory(*host) <= Millis(0)) {
        picked.push_back(host);
      }
    }
    std::sort(picked.begin(), picked.end(),
              [](const Host* a, const Host* b) { return DomainLess(*a, *b); });
    return picked;
  }

 private:
  Millis Age(const Host& host) const {
    return m_context.now() - host.last_maintained;
  }

  /// Time until the host's maintenance must start regardless of the quota.
  Millis TimeUntilMandatory(const Host& host) const {
    const double mandatory_share = m_context.policy().schedule_urgent_share;
    return FractionOf(m_pool.maintenance_period, 1 - mandatory_share) -
           Age(host);
  }

  /// Number of hosts that must start now so that the daily quota suffices for
  /// those that are due later. Relies on the candidates' order by due time.
  int MinStartsNow() const {
    int needed = 0;
    int due = 0;
    for (const Host* host : m_candidates) {
      ++due;
      const auto days_left = TimeUntilMandatory(*host) / kDay;
      const auto startable_later =
          DailyQuota() * std::max<int64_t>(0, days_left);
      needed = std::max(needed, due - static_cast<int>(startable_later));
    }
    return needed;
  }

  bool WasGivenUpInLastDay(const Host& host) const {
    return m_previous != nullptr &&
           m_context.now() - m_previous->started < kDay &&
           std::count(m_previous->given_up.begin(), m_previous->given_up.end(),
                      host.id) > 0;
  }

  void CollectCandidates() {
    const Millis min_age = FractionOf(
        m_pool.maintenance_period, m_context.policy().schedule_min_gap_share);
    for (const Host* host : m_context.view().PoolHosts(m_pool.name)) {
      ++m_hosts;
      m_maintained_in_last_day += Age(*host) < kDay;
      if (IsFreeToDrain(*host) && Age(*host) >= min_age &&
          !WasGivenUpInLastDay(*host)) {
        m_candidates.push_back(host);
      }
    }
  }

  /// Number of hosts that may start on one day. It exceeds the daily quota when
  /// that is too small for the due hosts, so that they don't pile up on the
  /// last day.
  int MaxStartsToday() const {
    int max_starts = DailyQuota();
    int due = 0;
    for (const Host* host : m_candidates) {
      ++due;
      const auto days_left =
          std::max<int64_t>(1, TimeUntilMandatory(*host) / kDay);
      const auto per_day = (due + days_left - 1) / days_left;
      max_starts = std::max(max_starts, static_cast<int>(per_day));
    }
    return max_starts;
  }

  /// Number of hosts to start per day to spread all of them evenly over the
  /// policy's share of the period.
  int DailyQuota() const {
    const Millis spread_time = FractionOf(
        m_pool.maintenance_period, m_context.policy().schedule_spread_share);
    const double days = std::max(1.0, static_cast<double>(spread_time.count()) /
                                          static_cast<double>(kDay.count()));
    return static_cast<int>(std::ceil(m_hosts / days));
  }

  const PlanContext& m_context;
  const model::Pool& m_pool;
  const Wave* m_previous;
  std::vector<const Host*> m_candidates;
  int m_hosts = 0;
  int m_maintained_in_last_day = 0;
};

/// What the schedule needs to know of a pool's existing waves.
struct PoolWaves {
  bool has_unfinished_wave = false;       ///< A wave is running or paused, or a
                                          ///< periodic one has halted.
  const Wave* latest_periodic = nullptr;  ///< The periodic wave started last.
};

/// Whether the wave was created by this schedule.
bool IsPeriodic(const Wave& wave) {
  return wave.id.starts_with(kPeriodicWavePrefix) && wave.pools.size() == 1;
}

std::map<std::string_view, PoolWaves> CollectWavesByPool(
    const model::Fleet& fleet) {
  std::map<std::string_view, PoolWaves> pools;
  for (const auto& [id, wave] : fleet.waves) {
    const bool is_open =
        wave.state == ActState::kRunning || wave.state == ActState::kPaused;
    const bool has_halted = wave.state == ActState::kHalted && IsPeriodic(wave);
    for (const std::string& pool : wave.pools) {
      PoolWaves& waves = pools[pool];
      waves.has_unfinished_wave |= is_open || has_halted;
      const bool is_later =
          IsPeriodic(wave) && (waves.latest_periodic == nullptr ||
                               waves.latest_periodic->started < wave.started);
      waves.latest_periodic = is_later ? &wave : waves.latest_periodic;
    }
  }
  return pools;
}

/// Returns the id of the pool's periodic wave of a day. It depends on nothing
/// else, so that a second leader creates the same wave.
std::string PeriodicWaveId(const std::string& pool, WallTime now) {
  return std::string(kPeriodicWavePrefix) + pool + "-" +
         std::to_string(now.time_since_epoch() / kDay);
}

Wave MakePeriodicWave(const std::string& pool,
                      const std::vector<const Host*>& due,
                      WallTime now) {
  Wave wave;
  wave.id = PeriodicWaveId(pool, now);
  wave.pools = {pool};
  wave.started = now;
  wave.finish_by = now + kDay;
  for (const Host* host : due) {
    wave.pending.push_back(host->id);
  }
  return wave;
}

}  // namespace

std::vector<Wave> ScheduleWavesForStep(const PlanContext& context) {
  const std::map<std::string_view, PoolWaves> waves_by_pool =
      CollectWavesByPool(context.fleet());
  std::vector<Wave> waves;
  for (const auto& [name, pool] : context.fleet().pools) {
    const auto found = waves_by_pool.find(name);
    const PoolWaves pool_waves =
        found == waves_by_pool.end() ? PoolWaves() : found->second;
    const std::string id = PeriodicWaveId(name, context.now());
    if (pool_waves.has_unfinished_wave || context.fleet().waves.contains(id)) {
      continue;
    }
    const std::vector<const Host*> due =
        DueHostPicker(context, pool, pool_waves.latest_periodic).Pick();
    if (!due.empty()) {
      waves.push_back(MakePeriodicWave(name, due, context.now()));
    }
  }
  return waves;
}

std::vector<Wave> ScheduleWaves(const model::Fleet& fleet,
                                const StepInput& input,
                                const PlanningPolicy& policy) {
  const FleetView view(fleet, policy);
  budget::Budget budget =
      budget::Budget::Evaluate(fleet, input.burn, policy.budget);
  return ScheduleWavesForStep(PlanContext(view, budget, input, policy));
}

}  // namespace laurelhall::planning
