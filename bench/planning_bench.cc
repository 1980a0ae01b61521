#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <cstring>
#include <functional>

#include "fleet_driver.h"
#include "fleet_generator.h"
#include "laurelhall/planning/controller.h"
#include "laurelhall/planning/plan_cost.h"
#include "laurelhall/planning/rollout.h"
#include "laurelhall/planning/wave.h"
#include "planning_baselines.h"

// The three measures and the budgets broken, against the baselines, at each
// size; then planning time and memory and how they grow. Decisions come from
// seeds: only the times differ between two runs.
namespace laurelhall::bench {
namespace {

using planning::DriverCounts;
using planning::DriverOptions;
using planning::FleetController;
using planning::FleetDriver;
using planning::Planner;
using planning::PlanningPolicy;
using std::chrono::hours;
using std::chrono::minutes;

// Mean of a drain up to ten minutes, twenty in maintenance, one warming up.
constexpr Millis kTimePerHost = minutes(5 + 20 + 1);
constexpr int kDays = 28;

std::vector<Site> Sites() {
  return {
      {.name = "Montevideo",
       .hosts = 44,
       .pools = 5,
       .zones = 4,
       .teams = 5,
       .shape = {32, 128, 0},
       .weights = {.buffer = 3, .rollout_time = 1, .host_moves = 1}},
      {.name = "Marmara",
       .hosts = 44,
       .pools = 5,
       .zones = 3,
       .teams = 5,
       .shape = {16, 64, 0},
       .weights = {.buffer = 1, .rollout_time = 3, .host_moves = 1}},
      {.name = "1,900 workers",
       .hosts = 1820,
       .pools = 68,
       .regions = 7,
       .zones = 19,
       .teams = 41,
       .accelerated_pools = 0.4,
       .shape = {32, 128, 0},
       .weights = {}},
  };
}

Planner Controller(PlanningPolicy policy = {}) {
  return [controller = FleetController(policy)](const model::Fleet& fleet,
                                                const StepInput& input) {
    return controller.Step(fleet, input);
  };
}

std::string WholeFleet(const Host&) {
  return {};
}

std::string PoolOf(const Host& host) {
  return host.pool;
}

double Hours(Millis time) {
  return static_cast<double>(time.count()) / 3.6e6;
}

DriverOptions Options(const Site& site) {
  const bool is_large = site.hosts > 500;
  return {.seed = 7,
          .step = is_large ? minutes(2) : minutes(1),
          .rechecks_drains = false,
          .budget = {}};
}

// --- A wave and a roll-out in calm ------------------------------------------

Millis RunUntil(FleetDriver& driver, const std::function<bool()>& is_done) {
  const WallTime start = driver.now();
  const WallTime limit = start + hours(24 * 60);
  while (!is_done() && driver.now() < limit) {
    driver.Step();
  }
  return driver.now() - start;
}

bool IsMaintainedSince(const model::Fleet& fleet, WallTime start) {
  return std::all_of(fleet.hosts.begin(), fleet.hosts.end(),
                     [&](const auto& entry) {
                       return entry.second.last_maintained >= start &&
                              entry.second.act.empty();
                     });
}

struct Timing {
  Millis time{0};
  int violations = 0;
};

std::vector<std::string> PoolNames(const model::Fleet& fleet) {
  std::vector<std::string> names;
  for (const auto& [name, pool] : fleet.pools) {
    names.push_back(name);
  }
  return names;
}

Timing PlannedWave(const Site& site, model::Fleet fleet) {
  fleet.waves["wave"] =
      planning::PlanWave(fleet, "wave", PoolNames(fleet), WallTime());
  FleetDriver driver(fleet, Controller(), Options(site));
  const Millis time = RunUntil(driver, [&] {
    return driver.fleet().waves.at("wave").state == model::ActState::kDone;
  });
  return {time, driver.counts().planned_budget_violations};
}

Timing BaselineWave(const Site& site,
                    const model::Fleet& fleet,
                    FixedBatch::GroupOf group_of) {
  WallTime start{};
  const FixedBatch one(DrainReason::kMaintenance, group_of,
                       [&start](const Host& host, WallTime) {
                         return host.last_maintained < start;
                       });
  FleetDriver driver(
      fleet,
      [&](const model::Fleet& now, const StepInput& input) {
        StepResult result;
        AdvanceAll(result, now, input);
        one.Plan(result, now, input);
        return result;
      },
      Options(site));
  start = driver.now();
  const Millis time = RunUntil(
      driver, [&] { return IsMaintainedSince(driver.fleet(), start); });
  return {time, driver.counts().planned_budget_violations};
}

/// Lets the racks of the first hosts fail in turn, one an hour and a half.
class RackLosses {
 public:
  void Step(FleetDriver& driver) {
    if (m_next == WallTime()) {
      m_next = driver.now() + minutes(20);
    }
    if (driver.now() < m_next) {
      return;
    }
    m_next += minutes(90);
    auto host = driver.fleet().hosts.begin();
    std::advance(host, static_cast<std::ptrdiff_t>(
                           driver.random()() % driver.fleet().hosts.size()));
    driver.FailRack(host->second.rack, minutes(60));
  }

 private:
  WallTime m_next{};
};

struct StormResult {
  Timing timing;
  int64_t short_steps = 0;
};

StormResult RunStorm(FleetDriver& driver,
                     const std::function<bool()>& is_done) {
  RackLosses losses;
  const Millis time = RunUntil(driver, [&] {
    losses.Step(driver);
    return is_done();
  });
  return {{time, driver.counts().planned_budget_violations},
          driver.counts().service_short_steps};
}

StormResult PlannedStorm(const Site& site, model::Fleet fleet) {
  fleet.waves["wave"] =
      planning::PlanWave(fleet, "wave", PoolNames(fleet), WallTime());
  FleetDriver driver(fleet, Controller(), Options(site));
  return RunStorm(driver, [&] {
    return driver.fleet().waves.at("wave").state == model::ActState::kDone;
  });
}

/// Batches as large as the budgets allow before anything fails.
StormResult BatchStorm(const Site& site, const model::Fleet& fleet) {
  WallTime start{};
  const budget::Budget budget = budget::Budget::Evaluate(fleet, {});
  const FixedBatch batches(
      DrainReason::kMaintenance, PoolOf,
      [&start](const Host& host, WallTime) {
        return host.last_maintained < start;
      },
      [&budget](const std::string& pool) {
        return budget.PoolConcurrency(pool);
      });
  FleetDriver driver(
      fleet,
      [&](const model::Fleet& now, const StepInput& input) {
        StepResult result;
        AdvanceAll(result, now, input);
        batches.Plan(result, now, input);
        return result;
      },
      Options(site));
  start = driver.now();
  return RunStorm(driver,
                  [&] { return IsMaintainedSince(driver.fleet(), start); });
}

Timing PlannedRollouts(const Site& site, model::Fleet fleet, Millis bake) {
  for (const auto& [name, service] : fleet.services) {
    if (name.rfind("svc", 0) == 0) {
      fleet.rollouts[name] =
          planning::PlanRollout(fleet, name, name, "2", "1", WallTime());
    }
  }
  PlanningPolicy policy;
  policy.stage_bake_time = bake;
  FleetDriver driver(fleet, Controller(policy), Options(site));
  const Millis time = RunUntil(driver, [&] {
    const auto& rollouts = driver.fleet().rollouts;
    return std::all_of(rollouts.begin(), rollouts.end(), [](const auto& r) {
      return r.second.state == model::ActState::kDone;
    });
  });
  return {time, driver.counts().planned_budget_violations};
}

Timing BaselineRollouts(const Site& site, const model::Fleet& fleet) {
  const auto is_due = [](const Host& host, WallTime) {
    return host.version != "2";
  };
  const FixedBatch one(DrainReason::kRollout, PoolOf, is_due);
  FleetDriver driver(
      fleet,
      [&](const model::Fleet& now, const StepInput& input) {
        StepResult result;
        AdvanceAll(result, now, input);
        one.Plan(result, now, input);
        return result;
      },
      Options(site));
  const Millis time = RunUntil(driver, [&] {
    const auto& hosts = driver.fleet().hosts;
    return std::all_of(hosts.begin(), hosts.end(), [](const auto& entry) {
      return entry.second.version == "2" && entry.second.act.empty();
    });
  });
  return {time, driver.counts().planned_budget_violations};
}

// --- Four weeks with failures ------------------------------------------------

/// Failures of hosts, racks and zones, the same for each planner of a site.
class FailureTrace {
 public:
  FailureTrace(const Site& site, uint64_t seed)
      : m_picked(static_cast<size_t>(site.hosts)),
        m_random(seed),
        m_failures_per_day(17.0 * site.hosts / 1900),
        m_restarts_per_day(460.0 * site.hosts / 1900) {}

  void Step(FleetDriver& driver, Millis step) {
    const double days = Hours(step) / 24;
    if (Draw() < m_failures_per_day * days) {
      FailHost(driver, hours(1 + m_random() % 7));
    }
    if (Draw() < m_restarts_per_day * days) {
      FailHost(driver, minutes(2 + m_random() % 6));
    }
    // More often than is expected, so that four weeks see some of them.
    if (Draw() < days / 14) {
      driver.FailRack(Pick(driver).rack, hours(4));
    }
    if (Draw() < days / 240) {
      driver.FailZone(Pick(driver).availability_zone, hours(2));
    }
  }

 private:
  double Draw() {
    return static_cast<double>(m_random() >> 11) / 9007199254740992.0;
  }

  Host Pick(FleetDriver& driver) {
    // Of the hosts that all fleets of the site have, so that a larger reserve
    // doesn't change the trace.
    auto host = driver.fleet().hosts.begin();
    std::advance(host, static_cast<std::ptrdiff_t>(m_random() % m_picked));
    return host->second;
  }

  void FailHost(FleetDriver& driver, Millis repair_time) {
    driver.Fail(Pick(driver).id, repair_time);
  }

  const size_t m_picked;
  std::mt19937_64 m_random;
  double m_failures_per_day;
  double m_restarts_per_day;
};

struct LongRun {
  DriverCounts counts;
  double service_short_hours = 0;
  double pool_short_hours = 0;
  int least_moves = 0;  ///< Had no pool lent, what it would have lacked.
};

/// Counts for each pool the most hosts that it lacks at once for longer than
/// the patience. So many must have moved in by then, whoever plans the moves.
class ShortfallCounter {
 public:
  void Step(const model::Fleet& fleet, WallTime now) {
    std::map<std::string_view, int> settled;
    for (const auto& [id, host] : fleet.hosts) {
      const bool is_missing = host.state == HostState::kFailed &&
                              now - host.state_since >= m_patience;
      settled[host.pool] += !is_missing;
    }
    for (const auto& [name, pool] : fleet.pools) {
      int& most = m_most_missing[name];
      most = std::max(most, pool.target_hosts - settled[name]);
    }
  }

  int least_moves() const {
    int moves = 0;
    for (const auto& [pool, missing] : m_most_missing) {
      moves += missing;
    }
    return moves;
  }

 private:
  const Millis m_patience = PlanningPolicy().replacement_delay;
  std::map<std::string, int> m_most_missing;
};

LongRun RunWeeks(const Site& site,
                 const model::Fleet& fleet,
                 const Planner& planner) {
  DriverOptions options = Options(site);
  options.step = minutes(2);
  FleetDriver driver(fleet, planner, options);
  FailureTrace trace(site, 11);
  ShortfallCounter shortfalls;
  const WallTime end = driver.now() + hours(24 * kDays);
  while (driver.now() < end) {
    driver.Step();
    trace.Step(driver, options.step);
    shortfalls.Step(driver.fleet(), driver.now());
  }
  const double step_hours = Hours(options.step);
  return {
      .counts = driver.counts(),
      .service_short_hours =
          static_cast<double>(driver.counts().service_short_steps) * step_hours,
      .pool_short_hours =
          static_cast<double>(driver.counts().pool_short_steps) * step_hours,
      .least_moves = shortfalls.least_moves()};
}

Planner WeeksBaseline(bool first_fit) {
  return [first_fit](const model::Fleet& fleet, const StepInput& input) {
    static const FixedBatch one(
        DrainReason::kMaintenance, PoolOf, [](const Host& host, WallTime now) {
          return now - host.last_maintained > hours(24 * 21);
        });
    StepResult result;
    AdvanceAll(result, fleet, input);
    if (first_fit) {
      PlanFirstFitMoves(result, fleet);
    }
    one.Plan(result, fleet, input);
    return result;
  };
}

// --- Report ------------------------------------------------------------------

struct Strategy {
  std::string name;
  int reserve = 0;
  Millis wave{0};
  LongRun weeks;
};

void PrintTiming(const char* what, const Timing& timing, Millis bound) {
  std::printf("  %-34s %8.1f h   bound %7.1f h   budgets broken %d\n", what,
              Hours(timing.time), Hours(bound), timing.violations);
}

void PrintStorm(const char* what, const StormResult& storm, Millis bound) {
  PrintTiming(what, storm.timing, bound);
  std::printf("  %-34s service below min_available for %lld steps\n", "",
              static_cast<long long>(storm.short_steps));
}

void PrintStrategy(const model::Fleet& fleet, const Strategy& strategy) {
  const planning::PlanCost cost = planning::CostOf(
      fleet, strategy.reserve, strategy.wave, strategy.weeks.counts.moves);
  std::printf("  %-30s %4d  %7.1f h %6d (%3d back) %9d %10.1f %10.1f   %8.1f\n",
              strategy.name.c_str(), strategy.reserve, Hours(strategy.wave),
              strategy.weeks.counts.moves,
              strategy.weeks.counts.moves_back_within_day,
              strategy.weeks.counts.planned_budget_violations,
              strategy.weeks.service_short_hours,
              strategy.weeks.pool_short_hours, cost.weighted);
}

void PrintBuffers(const model::Fleet& targets) {
  const planning::BufferPlan plan = planning::PlanBuffers(targets);
  std::printf("buffers: shared %d, per pool %d, N+1 %d, bound %d;", plan.total,
              plan.per_pool_total, plan.n_plus_one_total, plan.lower_bound);
  for (const planning::GuaranteeCost& cost : plan.guarantees) {
    std::printf(" %s %d/%d",
                boost::describe::enum_to_string(cost.guarantee, "?"),
                cost.shared, cost.per_pool);
  }
  std::printf(" (shared/per pool)\n");
}

void MeasureSite(const Site& site) {
  FleetGenerator targets(site);
  targets.AddTargets();
  FleetGenerator shared = targets;
  shared.AddPlannedReserve();
  FleetGenerator across = targets;
  across.AddPlannedReserve({.share_across_shapes = true});
  FleetGenerator n_plus_one = targets;
  n_plus_one.AddReserveToEachPool(1);
  FleetGenerator per_pool = targets;
  const planning::BufferPlan plan = planning::PlanBuffers(targets.fleet());
  per_pool.AddReserveToEachPool(plan.per_pool_total / site.pools);

  std::printf("\n%s: %d hosts for the load, %d pools, %d zones\n",
              site.name.c_str(), site.hosts, site.pools, site.zones);
  PrintBuffers(targets.fleet());
  const model::Fleet& fleet = shared.fleet();
  const Millis bound =
      planning::WaveLowerBound(fleet, PoolNames(fleet), kTimePerHost);
  const Timing wave = PlannedWave(site, fleet);
  const Timing one = BaselineWave(site, fleet, WholeFleet);
  const Timing one_per_pool = BaselineWave(site, fleet, PoolOf);
  PrintTiming("wave, planned", wave, bound);
  PrintTiming("wave, one host at a time", one, bound);
  PrintTiming("wave, one host of each pool", one_per_pool, bound);
  PrintStorm("wave, planned, racks lost", PlannedStorm(site, fleet), bound);
  PrintStorm("wave, fixed batches, racks lost", BatchStorm(site, fleet), bound);
  PrintTiming("roll-outs of all services, planned",
              PlannedRollouts(site, fleet, PlanningPolicy().stage_bake_time),
              bound);
  PrintTiming("roll-outs, planned, not watched",
              PlannedRollouts(site, fleet, Millis(0)), bound);
  PrintTiming("roll-outs, one host of each pool", BaselineRollouts(site, fleet),
              bound);

  model::Fleet without_moves = fleet;
  for (auto& [name, pool] : without_moves.pools) {
    pool.may_lend = false;
  }
  const LongRun still = RunWeeks(site, without_moves, Controller());
  std::printf(
      "four weeks with failures (least moves: %d)\n"
      "  %-30s %4s  %9s %17s %9s %10s %10s   %8s\n",
      still.least_moves, "", "held", "wave", "moves", "broken", "svc short",
      "pool short", "weighted");
  const Strategy strategies[] = {
      {"planned, shared reserve", shared.reserve(), wave.time,
       RunWeeks(site, shared.fleet(), Controller())},
      {"planned, shared across shapes", across.reserve(),
       PlannedWave(site, across.fleet()).time,
       RunWeeks(site, across.fleet(), Controller())},
      {"planned, N+1 in each pool", n_plus_one.reserve(),
       PlannedWave(site, n_plus_one.fleet()).time,
       RunWeeks(site, n_plus_one.fleet(), Controller())},
      {"N+1, one of each pool", n_plus_one.reserve(),
       BaselineWave(site, n_plus_one.fleet(), PoolOf).time,
       RunWeeks(site, n_plus_one.fleet(), WeeksBaseline(false))},
      {"N+1, one at a time, first fit", n_plus_one.reserve(),
       BaselineWave(site, n_plus_one.fleet(), WholeFleet).time,
       RunWeeks(site, n_plus_one.fleet(), WeeksBaseline(true))},
      {"per-pool rack, one of each", per_pool.reserve(),
       BaselineWave(site, per_pool.fleet(), PoolOf).time,
       RunWeeks(site, per_pool.fleet(), WeeksBaseline(false))},
  };
  for (const Strategy& strategy : strategies) {
    PrintStrategy(fleet, strategy);
  }
}

// --- Time and memory ---------------------------------------------------------

double HeapMegabytes() {
  return static_cast<double>(mallinfo2().uordblks) / (1 << 20);
}

constexpr int kTimedSteps = 60;

struct StepTimes {
  double median = 0;
  double longest = 0;
};

/// Times the planner alone over some steps of the driver.
StepTimes TimeSteps(FleetDriver& driver) {
  const FleetController controller;
  std::vector<double> times;
  for (int i = 0; i < kTimedSteps; ++i) {
    driver.Step();
    const auto start = std::chrono::steady_clock::now();
    controller.Step(driver.fleet(), driver.input());
    const std::chrono::duration<double, std::milli> took =
        std::chrono::steady_clock::now() - start;
    times.push_back(took.count());
  }
  std::sort(times.begin(), times.end());
  return {times[times.size() / 2], times.back()};
}

void MeasureSize(int hosts, int pools) {
  Site site = Sites().back();
  site.hosts = hosts;
  site.pools = pools;
  site.regions = std::max(1, pools / 10);
  site.zones = site.regions * 3;
  const double before = HeapMegabytes();
  FleetGenerator generator(site);
  generator.AddTargets();
  generator.AddPlannedReserve();
  const double of_fleet = HeapMegabytes() - before;
  FleetDriver driver(generator.fleet(), Controller(), Options(site));
  driver.Run(hours(6));
  const StepTimes calm = TimeSteps(driver);
  // A wave over all pools, and a zone goes in the middle of it.
  driver.fleet().waves["wave"] = planning::PlanWave(
      driver.fleet(), "wave", PoolNames(driver.fleet()), driver.now());
  driver.Run(minutes(30));
  driver.FailZone(driver.fleet().hosts.begin()->second.availability_zone,
                  hours(1));
  const StepTimes storm = TimeSteps(driver);
  const double unplanned = HeapMegabytes();
  const budget::Budget budget = budget::Budget::Evaluate(driver.fleet(), {});
  const double of_budget = HeapMegabytes() - unplanned;
  std::printf(
      "%6d hosts %4d pools: step in calm %5.2f ms (longest %5.2f), wave and "
      "zone lost %5.2f ms (longest %5.2f); fleet %5.2f MB, budget %5.2f MB\n",
      hosts, pools, calm.median, calm.longest, storm.median, storm.longest,
      of_fleet, of_budget);
}

}  // namespace
}  // namespace laurelhall::bench

int main(int argc, char** argv) {
  using namespace laurelhall::bench;  // NOLINT(google-build-using-namespace)
  const bool only_small = argc > 1 && std::strcmp(argv[1], "--small") == 0;
  const bool only_times = argc > 1 && std::strcmp(argv[1], "--times") == 0;
  for (const Site& site : Sites()) {
    const bool is_wanted = !only_small || site.hosts < 500;
    if (is_wanted && !only_times) {
      MeasureSite(site);
    }
  }
  std::printf("\nplanning time and memory\n");
  MeasureSize(50, 5);
  MeasureSize(475, 17);
  MeasureSize(950, 34);
  MeasureSize(1900, 68);
  MeasureSize(3800, 136);
  return 0;
}
