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
constexpr std::string_view kIdPrefix = "period-";

Millis Share(Millis period, double share) {
  return Millis(static_cast<int64_t>(
      std::llround(static_cast<double>(period.count()) * share)));
}

/// Picks the hosts of one pool that are due, the longest waiting first.
class DueHosts {
 public:
  DueHosts(const PlanContext& context,
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
    const int now_due = std::min(NeededNow(), Pace() - m_done_lately);
    std::vector<const Host*> picked;
    for (const Host* host : m_candidates) {
      const bool has_quota = static_cast<int>(picked.size()) < now_due;
      if (has_quota || TimeLeft(*host) <= Millis(0)) {
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

  /// Until the host has to go whatever the quota says.
  Millis TimeLeft(const Host& host) const {
    const double lead = m_context.policy().schedule_lead;
    return Share(m_pool.maintenance_period, 1 - lead) - Age(host);
  }

  /// Hosts that must start now for the quota to be enough for those that are
  /// due later; the candidates are in the order in which they are due.
  int NeededNow() const {
    int needed = 0;
    int due = 0;
    for (const Host* host : m_candidates) {
      ++due;
      const auto days_left = TimeLeft(*host) / kDay;
      const auto startable_later =
          DailyQuota() * std::max<int64_t>(0, days_left);
      needed = std::max(needed, due - static_cast<int>(startable_later));
    }
    return needed;
  }

  bool WasJustGivenUp(const Host& host) const {
    return m_previous != nullptr &&
           m_context.now() - m_previous->started < kDay &&
           std::count(m_previous->given_up.begin(), m_previous->given_up.end(),
                      host.id) > 0;
  }

  void CollectCandidates() {
    const Millis rest =
        Share(m_pool.maintenance_period, m_context.policy().schedule_rest);
    for (const Host* host : m_context.view().PoolHosts(m_pool.name)) {
      ++m_hosts;
      m_done_lately += Age(*host) < kDay;
      if (IsFree(*host) && Age(*host) >= rest && !WasJustGivenUp(*host)) {
        m_candidates.push_back(host);
      }
    }
  }

  /// Hosts to start on a day: more than the quota if it has become too small
  /// for those that are due, so that they aren't left for the last day.
  int Pace() const {
    int pace = DailyQuota();
    int due = 0;
    for (const Host* host : m_candidates) {
      ++due;
      const auto days_left = std::max<int64_t>(1, TimeLeft(*host) / kDay);
      const auto per_day = (due + days_left - 1) / days_left;
      pace = std::max(pace, static_cast<int>(per_day));
    }
    return pace;
  }

  /// Hosts that start on one day if all are spread over the period.
  int DailyQuota() const {
    const Millis spread =
        Share(m_pool.maintenance_period, m_context.policy().schedule_spread);
    const double days = std::max(1.0, static_cast<double>(spread.count()) /
                                          static_cast<double>(kDay.count()));
    return static_cast<int>(std::ceil(m_hosts / days));
  }

  const PlanContext& m_context;
  const model::Pool& m_pool;
  const Wave* m_previous;
  std::vector<const Host*> m_candidates;
  int m_hosts = 0;
  int m_done_lately = 0;
};

/// What is known of one pool's waves.
struct PoolWaves {
  bool is_busy = false;          ///< A wave runs, or has halted.
  const Wave* latest = nullptr;  ///< Of the standing ones.
};

bool IsStanding(const Wave& wave) {
  return wave.id.starts_with(kIdPrefix) && wave.pools.size() == 1;
}

std::map<std::string_view, PoolWaves> ReadWaves(const model::Fleet& fleet) {
  std::map<std::string_view, PoolWaves> pools;
  for (const auto& [id, wave] : fleet.waves) {
    const bool is_open =
        wave.state == ActState::kRunning || wave.state == ActState::kPaused;
    const bool has_halted = wave.state == ActState::kHalted && IsStanding(wave);
    for (const std::string& pool : wave.pools) {
      PoolWaves& waves = pools[pool];
      waves.is_busy |= is_open || has_halted;
      const bool is_later =
          IsStanding(wave) &&
          (waves.latest == nullptr || waves.latest->started < wave.started);
      waves.latest = is_later ? &wave : waves.latest;
    }
  }
  return pools;
}

/// One standing wave of a pool a day: a second leader makes the same one.
std::string StandingId(const std::string& pool, WallTime now) {
  return std::string(kIdPrefix) + pool + "-" +
         std::to_string(now.time_since_epoch() / kDay);
}

Wave MakeWave(const std::string& pool,
              const std::vector<const Host*>& due,
              WallTime now) {
  Wave wave;
  wave.id = StandingId(pool, now);
  wave.pools = {pool};
  wave.started = now;
  wave.finish_by = now + kDay;
  for (const Host* host : due) {
    wave.pending.push_back(host->id);
  }
  return wave;
}

}  // namespace

std::vector<Wave> ScheduleWavesIn(const PlanContext& context) {
  const std::map<std::string_view, PoolWaves> known =
      ReadWaves(context.fleet());
  std::vector<Wave> waves;
  for (const auto& [name, pool] : context.fleet().pools) {
    const auto found = known.find(name);
    const PoolWaves of_pool =
        found == known.end() ? PoolWaves() : found->second;
    const std::string id = StandingId(name, context.now());
    if (of_pool.is_busy || context.fleet().waves.contains(id)) {
      continue;
    }
    const std::vector<const Host*> due =
        DueHosts(context, pool, of_pool.latest).Pick();
    if (!due.empty()) {
      waves.push_back(MakeWave(name, due, context.now()));
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
  return ScheduleWavesIn(PlanContext(view, budget, input, policy));
}

}  // namespace laurelhall::planning
