#include <doctest/doctest.h>

#include <algorithm>

#include "fleet_driver.h"
#include "laurelhall/planning/buffer.h"
#include "laurelhall/planning/moves.h"
#include "laurelhall/planning/plan_cost.h"
#include "laurelhall/planning/rollout.h"
#include "laurelhall/planning/wave.h"

namespace laurelhall::planning {
namespace {

using model::ActState;
using model::DrainReason;
using model::HostEvent;
using model::HostState;
using std::chrono::hours;
using std::chrono::minutes;

/// A fleet of 36 hosts in pools a, b and c, which are interleaved over racks of
/// four hosts and four zones. Each pool has a service of its own; the service
/// "shared" spans a and b.
struct PlanningFixture {
  PlanningFixture() {
    AddPool("a", 10);
    AddPool("b", 10);
    AddPool("c", 12);
    AddService("insurer-a", {"a"}, 7);
    AddService("insurer-b", {"b"}, 7);
    AddService("shared", {"a", "b"}, 16);
    AddService("insurer-c", {"c"}, 9);
    for (int i = 0; i < 36; ++i) {
      AddHost(i, std::string(1, "abc"[i % 3]));
    }
  }

  void AddPool(const std::string& name, int target) {
    model::Pool& pool = m_fleet.pools[name];
    pool.name = name;
    pool.target_hosts = target;
    pool.host_shape = {32, 128, 0};
  }

  void AddService(const std::string& name,
                  std::vector<std::string> pools,
                  int min_available) {
    model::Service& service = m_fleet.services[name];
    service.name = name;
    service.pools = std::move(pools);
    service.min_available = min_available;
    service.max_away_share = 0.3;
  }

  void AddHost(int number, const std::string& pool) {
    model::Host host;
    host.id = "h" + std::to_string(100 + number);
    host.pool = pool;
    host.rack = "r" + std::to_string(number / 4);
    host.availability_zone = "az" + std::to_string(number / 4 % 4);
    host.region = "south";
    host.capacity = {32, 128, 0};
    host.state = HostState::kInPool;
    host.version = "1";
    host.last_maintained = WallTime(-hours(24));  // The driver adds its time.
    host.state_since = host.last_maintained;
    m_fleet.hosts[host.id] = host;
  }

  FleetDriver MakeDriver(uint64_t seed = 1) const {
    return FleetDriver(m_fleet,
                       [controller = FleetController()](
                           const model::Fleet& fleet, const StepInput& input) {
                         return controller.Step(fleet, input);
                       },
                       {.seed = seed, .budget = {}});
  }

  void StartWave() {
    m_fleet.waves["wave"] = PlanWave(m_fleet, "wave", {"a", "b", "c"}, {});
  }

  void StartRollout() {
    m_fleet.rollouts["roll"] =
        PlanRollout(m_fleet, "roll", "shared", "2", "1", {});
  }

  /// Sets a host's state as entered `minutes_ago`, with nothing in flight.
  void SetHostState(const std::string& id,
                    HostState state,
                    DrainReason reason,
                    int minutes_ago) {
    model::Host& host = m_fleet.hosts.at(id);
    host.state = state;
    host.drain_reason = reason;
    host.act = reason == DrainReason::kMaintenance ? "wave" : "";
    host.state_since = m_input.now - minutes(minutes_ago);
    m_input.in_flight[id] = 0;
  }

  StepResult Step() const { return FleetController().Step(m_fleet, m_input); }

  model::Fleet m_fleet;
  StepInput m_input{.now = WallTime(hours(10)),
                    .in_flight = {},
                    .burn = {},
                    .outcomes = {}};
};

int CountState(const model::Fleet& fleet, HostState state) {
  int count = 0;
  for (const auto& [id, host] : fleet.hosts) {
    count += host.state == state;
  }
  return count;
}

void RunUntilDone(FleetDriver& driver, Millis time_limit) {
  const WallTime end = driver.now() + time_limit;
  const auto has_open_wave = [&] {
    for (const auto& [id, wave] : driver.fleet().waves) {
      if (wave.state == ActState::kRunning || wave.state == ActState::kPaused) {
        return true;
      }
    }
    return false;
  };
  while (has_open_wave() && driver.now() < end) {
    driver.Step();
  }
}

void CheckNoViolations(const DriverCounts& counts) {
  CHECK(counts.planned_budget_violations == 0);
  CHECK(counts.refused_current_drains == 0);
  CHECK(counts.cut_off == 0);
  CHECK(counts.pool_changes_outside_moves == 0);
  CHECK(counts.moves_back_within_day == 0);
}

/// Makes at most one random disturbance: failures, a drain or its cancellation
/// by an operator, or a step of a stale leader.
void InjectDisturbance(FleetDriver& driver,
                       const model::Fleet& stale_fleet,
                       WallTime stale_time) {
  std::mt19937_64& random = driver.random();
  auto random_host = driver.fleet().hosts.begin();
  std::advance(random_host, static_cast<std::ptrdiff_t>(
                                random() % driver.fleet().hosts.size()));
  const model::Host host = random_host->second;
  switch (random() % 160) {
    case 0:
      driver.FailRack(host.rack, hours(random() % 6));
      break;
    case 1:
      driver.FailZone(host.availability_zone, hours(random() % 3));
      break;
    case 2:
    case 3:
      driver.FailRandomHost();
      break;
    case 4:
    case 5:
    case 6:
      if (budget::MayDrain(driver.fleet(), host.id).is_allowed()) {
        driver.ApplyEvent(host.id, HostEvent::kDrain);
      }
      break;
    case 7:
    case 8:
    case 9:
    case 10:
      driver.ApplyEvent(host.id, HostEvent::kCancelDrain);
      break;
    default:
      if (random() % 4 == 0) {
        driver.StepAsStaleLeader(stale_fleet, stale_time);
      }
  }
}

void EndDisturbances(FleetDriver& driver) {
  driver.RepairAll();
  for (const auto& [id, host] : driver.fleet().hosts) {
    if (host.drain_reason == DrainReason::kOperator) {
      driver.ApplyEvent(id, HostEvent::kCancelDrain);
    }
  }
}

TEST_CASE_FIXTURE(PlanningFixture,
                  "FleetController, seeded races and failures, keeps every "
                  "budget and ends each wave once they stop") {
  StartWave();
  StartRollout();
  for (uint64_t seed = 1; seed <= 60; ++seed) {
    CAPTURE(seed);
    FleetDriver driver = MakeDriver(seed);
    model::Fleet stale_fleet = driver.fleet();
    WallTime stale_time = driver.now();
    for (int step = 0; step < 600; ++step) {
      driver.Step();
      InjectDisturbance(driver, stale_fleet, stale_time);
      if (step % 7 == 0) {
        stale_fleet = driver.fleet();
        stale_time = driver.now();
      }
    }
    EndDisturbances(driver);
    RunUntilDone(driver, hours(48));
    CheckNoViolations(driver.counts());
    CHECK(driver.counts().planned_drains > 20);
    const model::Wave& wave = driver.fleet().waves.at("wave");
    CHECK(wave.state == ActState::kDone);
    CHECK(wave.done.size() + wave.given_up.size() >= 30);
    CHECK(driver.fleet().hosts.size() == 36);
    for (const auto& [id, host] : driver.fleet().hosts) {
      CHECK(driver.fleet().pools.count(host.pool) == 1);
    }
  }
}

TEST_CASE_FIXTURE(PlanningFixture,
                  "FleetController, same fleet twice, plans the same actions") {
  StartWave();
  FleetDriver driver = MakeDriver();
  driver.Run(minutes(40));
  const FleetController controller;
  const StepResult first = controller.Step(driver.fleet(), driver.input());
  const StepResult second = controller.Step(driver.fleet(), driver.input());
  REQUIRE(first.actions.size() == second.actions.size());
  CHECK(first.waves == second.waves);
  for (size_t i = 0; i < first.actions.size(); ++i) {
    CHECK(first.actions[i].transition.host ==
          second.actions[i].transition.host);
    // The host's epoch fences the action: a second commit is refused.
    const bool is_applied = driver.Apply(first.actions[i].transition);
    CHECK(is_applied);
    CHECK_FALSE(driver.Apply(second.actions[i].transition));
  }
}

TEST_CASE_FIXTURE(PlanningFixture,
                  "Wave, rack fails midway, pauses and resumes to its end") {
  StartWave();
  FleetDriver driver = MakeDriver();
  driver.Run(minutes(30));
  REQUIRE(driver.fleet().waves.at("wave").state == ActState::kRunning);
  driver.FailRack("r4", hours(3));
  driver.Step();
  const model::Wave paused = driver.fleet().waves.at("wave");
  CHECK(paused.state == ActState::kPaused);
  CHECK(paused.reason.find("r4 is down") != std::string::npos);
  const int drains = driver.counts().planned_drains;
  driver.Run(minutes(3));
  for (const auto& [id, host] : driver.fleet().hosts) {
    const bool is_new_drain = host.state == HostState::kDraining &&
                              host.drain_reason == DrainReason::kMaintenance &&
                              driver.now() - host.state_since < minutes(4);
    CHECK_FALSE(is_new_drain);
  }
  CHECK(driver.counts().planned_drains >= drains);  // Moves may continue.
  RunUntilDone(driver, hours(24));
  CHECK(driver.fleet().waves.at("wave").state == ActState::kDone);
  CheckNoViolations(driver.counts());
}

TEST_CASE_FIXTURE(
    PlanningFixture,
    "Wave, all remaining hosts fail, isn't done until they return") {
  StartWave();
  FleetDriver driver = MakeDriver();
  for (const char* zone : {"az0", "az1", "az2", "az3"}) {
    driver.FailZone(zone, hours(3));
  }
  // Longer than the hour after which a single failed host no longer holds up
  // its wave.
  driver.Run(hours(2));
  CHECK(driver.fleet().waves.at("wave").state == ActState::kPaused);
  RunUntilDone(driver, hours(24));
  CHECK(driver.fleet().waves.at("wave").done.size() == 36);
}

TEST_CASE_FIXTURE(PlanningFixture,
                  "Wave, last host fails, is done only an hour later") {
  model::Wave& wave = m_fleet.waves["wave"];
  wave.id = "wave";
  wave.pools = {"c"};
  wave.pending = {"h102"};
  SetHostState("h102", HostState::kFailed, DrainReason::kNone, 59);
  const auto is_done = [this] {
    const std::vector<model::Wave> waves = Step().waves;
    return !waves.empty() && waves.front().state == ActState::kDone;
  };
  CHECK_FALSE(is_done());
  SetHostState("h102", HostState::kFailed, DrainReason::kNone, 60);
  CHECK(is_done());
}

TEST_CASE_FIXTURE(PlanningFixture,
                  "Wave, budget short by failures, cancels the newest drain") {
  StartWave();
  SetHostState("h102", HostState::kDrained, DrainReason::kMaintenance, 5);
  SetHostState("h105", HostState::kDrained, DrainReason::kMaintenance, 2);
  for (const char* id : {"h108", "h111"}) {
    SetHostState(id, HostState::kFailed, DrainReason::kNone, 60);
  }
  // Three of the twelve hosts may be away and four are. The drain of the host
  // that was drained last is cancelled; the other drained host isn't stopped
  // before that is committed.
  m_fleet.services["insurer-c"].min_available = 7;
  std::vector<Action> actions = Step().actions;
  std::erase_if(actions, [this](const Action& action) {
    return m_fleet.hosts.at(action.transition.host).pool != "c";
  });
  REQUIRE(actions.size() == 1);
  CHECK(actions.front().transition.host == "h105");
  CHECK(actions.front().transition.event == HostEvent::kCancelDrain);
}

TEST_CASE_FIXTURE(PlanningFixture,
                  "Wave, drained host, stops only if empty and allowed") {
  StartWave();
  SetHostState("h102", HostState::kDrained, DrainReason::kMaintenance, 5);
  const auto event_of_host = [this] {
    for (const Action& action : Step().actions) {
      if (action.transition.host == "h102") {
        return action.transition.event;
      }
    }
    return HostEvent::kCount;
  };
  CHECK(event_of_host() == HostEvent::kStopForMaintenance);
  m_input.in_flight["h102"] = 1;  // Sent by a stale view.
  CHECK(event_of_host() == HostEvent::kCount);
  m_input.in_flight["h102"] = 0;
  m_fleet.waves["wave"].is_held = true;
  CHECK(event_of_host() == HostEvent::kCount);
  CHECK(Step().waves.front().state == ActState::kPaused);
  m_fleet.waves["wave"].state = ActState::kCancelled;
  CHECK(event_of_host() == HostEvent::kCancelDrain);
}

TEST_CASE_FIXTURE(PlanningFixture,
                  "Host, back from maintenance, is capacity once warm") {
  StartWave();
  m_fleet.pools["c"].warm_up = minutes(5);
  SetHostState("h102", HostState::kReturning, DrainReason::kMaintenance, 4);
  const auto is_warm_up = [](const Action& action) {
    return action.transition.event == HostEvent::kWarm;
  };
  std::vector<Action> actions = Step().actions;
  CHECK(std::none_of(actions.begin(), actions.end(), is_warm_up));
  SetHostState("h102", HostState::kReturning, DrainReason::kMaintenance, 5);
  actions = Step().actions;
  CHECK(std::any_of(actions.begin(), actions.end(), is_warm_up));
}

TEST_CASE_FIXTURE(PlanningFixture,
                  "Wave, cancellation of a drain is lost, counts one try") {
  StartWave();
  SetHostState("h102", HostState::kDraining, DrainReason::kMaintenance, 31);
  m_input.in_flight["h102"] = 1;
  budget::Budget budget = budget::Budget::Evaluate(m_fleet, {});
  const model::Wave first_step =
      StepWave(m_fleet, m_fleet.waves["wave"], budget, m_input).wave;
  const model::Wave second_step =
      StepWave(m_fleet, first_step, budget, m_input).wave;
  CHECK(first_step.tries.at("h102") == 1);
  CHECK(second_step.tries.at("h102") == 1);
}

TEST_CASE_FIXTURE(PlanningFixture,
                  "Wave, time to spare, keeps the pool at its target") {
  m_fleet.services["insurer-c"].min_available = 7;
  m_fleet.pools["c"].target_hosts = 11;
  model::Wave& wave = m_fleet.waves["wave"];
  wave = PlanWave(m_fleet, "wave", {"c"}, m_input.now);
  CHECK(Step().actions.size() == 3);  // As many as the budget allows.
  wave.finish_by = m_input.now + hours(24);
  CHECK(Step().actions.size() == 1);
  wave.finish_by = m_input.now + hours(4);
  CHECK(Step().actions.size() == 3);
}

TEST_CASE_FIXTURE(PlanningFixture,
                  "Wave, only a postponed host is left, waits before a retry") {
  model::Wave& wave = m_fleet.waves["wave"];
  wave.id = "wave";
  wave.pools = {"c"};
  wave.postponed = {"h102"};
  wave.tries["h102"] = 1;
  SetHostState("h102", HostState::kInPool, DrainReason::kNone, 29);
  m_fleet.hosts["h102"].last_maintained = WallTime(-hours(1));
  CHECK(Step().actions.empty());
  SetHostState("h102", HostState::kInPool, DrainReason::kNone, 30);
  CHECK(Step().actions.size() == 1);
}

TEST_CASE_FIXTURE(
    PlanningFixture,
    "Wave, host never empties, is postponed, given up and reported") {
  StartWave();
  FleetDriver driver = MakeDriver();
  driver.m_never_empty = {"h100"};
  driver.Run(minutes(32));
  const model::Wave& wave = driver.fleet().waves.at("wave");
  CHECK(wave.tries.at("h100") == 1);
  CHECK(wave.postponed == std::vector<std::string>{"h100"});
  CHECK(driver.fleet().hosts.at("h100").state == HostState::kInPool);
  driver.Run(minutes(10));  // Waits before the retry.
  CHECK(driver.fleet().hosts.at("h100").state == HostState::kInPool);
  RunUntilDone(driver, hours(24));
  CHECK(wave.state == ActState::kDone);
  CHECK(wave.given_up == std::vector<std::string>{"h100"});
  CHECK(wave.tries.at("h100") == 3);
  CHECK(wave.done.size() == 35);
  CHECK(wave.reason.find("given up") != std::string::npos);
  CheckNoViolations(driver.counts());
}

TEST_CASE_FIXTURE(PlanningFixture,
                  "Wave, host doesn't return, halts with the host's name") {
  StartWave();
  FleetDriver driver = MakeDriver();
  driver.m_never_return = {"h100"};
  driver.Run(hours(3));
  const model::Wave& wave = driver.fleet().waves.at("wave");
  CHECK(wave.state == ActState::kHalted);
  CHECK(wave.reason.find("h100 hasn't returned") != std::string::npos);
  driver.Run(hours(1));
  CHECK(CountState(driver.fleet(), HostState::kDraining) == 0);
  CHECK(CountState(driver.fleet(), HostState::kInMaintenance) == 1);
}

TEST_CASE_FIXTURE(PlanningFixture,
                  "Wave, host's load unknown, isn't treated as empty") {
  StartWave();
  FleetDriver driver = MakeDriver();
  driver.Step();
  StepInput input = driver.input();
  input.in_flight.clear();
  input.now += minutes(5);
  for (const Action& action :
       FleetController().Step(driver.fleet(), input).actions) {
    CHECK(action.transition.event != HostEvent::kConfirmEmpty);
    CHECK(action.transition.event != HostEvent::kStopForMaintenance);
  }
}

TEST_CASE_FIXTURE(PlanningFixture,
                  "Schedule, four weeks, maintains every host once") {
  for (auto& [id, host] : m_fleet.hosts) {
    host.last_maintained -= hours(24 * 14);
  }
  FleetDriver driver = MakeDriver();
  const WallTime start = driver.now();
  int busiest_day = 0;
  for (int day = 0; day < 28; ++day) {
    const int before = driver.counts().maintained;
    driver.Run(hours(24));
    busiest_day = std::max(busiest_day, driver.counts().maintained - before);
  }
  for (const auto& [id, host] : driver.fleet().hosts) {
    CHECK(host.last_maintained > start);
  }
  // The twelve hosts of each pool are done in the nine days that are left. As
  // they are done close together, some are due again near the end of the four
  // weeks.
  CHECK(busiest_day <= 6);
  CHECK(driver.counts().maintained <= 60);
  CheckNoViolations(driver.counts());
}

TEST_CASE_FIXTURE(
    PlanningFixture,
    "Schedule, wave of the day exists or is halted, adds no other") {
  m_input.now = WallTime(hours(24 * 100));  // All hosts are overdue.
  std::vector<model::Wave> waves = ScheduleWaves(m_fleet, m_input);
  REQUIRE(waves.size() == 3);
  for (const model::Wave& wave : waves) {
    CHECK(wave.id.ends_with("-100"));
    m_fleet.waves[wave.id] = wave;
  }
  CHECK(ScheduleWaves(m_fleet, m_input).empty());
  m_fleet.waves["period-a-100"].state = ActState::kDone;
  m_fleet.waves["period-b-100"].state = ActState::kHalted;
  CHECK(ScheduleWaves(m_fleet, m_input).empty());
  m_input.now += hours(24);
  waves = ScheduleWaves(m_fleet, m_input);
  REQUIRE(waves.size() == 1);
  CHECK(waves.front().id == "period-a-101");
}

TEST_CASE_FIXTURE(PlanningFixture,
                  "Rollout, healthy, expands from a canary to all hosts") {
  StartRollout();
  FleetDriver driver = MakeDriver();
  const model::Rollout& rollout = driver.fleet().rollouts.at("roll");
  CHECK(RolloutStages(m_fleet, rollout).front() == 1);
  driver.Run(minutes(10));
  CHECK(rollout.active.size() + rollout.done.size() == 1);
  driver.Run(hours(24));
  CHECK(rollout.state == ActState::kDone);
  for (const auto& [id, host] : driver.fleet().hosts) {
    CHECK(host.version == (host.pool == "c" ? "1" : "2"));
  }
  CheckNoViolations(driver.counts());
}

TEST_CASE_FIXTURE(
    PlanningFixture,
    "Rollout, new version fails or burns budget, is rolled back") {
  StartRollout();
  for (const bool by_burn : {false, true}) {
    CAPTURE(by_burn);
    FleetDriver driver = MakeDriver();
    const model::Rollout& rollout = driver.fleet().rollouts.at("roll");
    while (rollout.done.size() < 3) {
      driver.Step();
    }
    if (by_burn) {
      driver.input().burn["shared"].severity = budget::BurnSeverity::kFast;
    }
    for (const auto& [id, host] : driver.fleet().hosts) {
      const bool is_bad = host.version == "2" && !by_burn;
      driver.input().outcomes[id] =
          is_bad ? HostOutcomes{80, 20} : HostOutcomes{by_burn ? 9 : 100, 0};
    }
    driver.Step();
    CHECK(rollout.state == ActState::kRollingBack);
    driver.input().outcomes.clear();
    driver.Run(hours(6));
    CHECK(rollout.state == ActState::kHalted);
    CHECK(rollout.reason.find("rolled back to 1") != std::string::npos);
    for (const auto& [id, host] : driver.fleet().hosts) {
      CHECK(host.version == "1");
    }
    CheckNoViolations(driver.counts());
  }
}

TEST_CASE_FIXTURE(PlanningFixture,
                  "Rollout, budget burns but not by the new version, pauses") {
  StartRollout();
  FleetDriver driver = MakeDriver();
  const model::Rollout& rollout = driver.fleet().rollouts.at("roll");
  while (rollout.done.size() < 3) {
    driver.Step();
  }
  driver.input().burn["shared"].severity = budget::BurnSeverity::kFast;
  for (const auto& [id, host] : driver.fleet().hosts) {
    driver.input().outcomes[id] = {100, host.version == "2" ? 0 : 30};
  }
  driver.Step();
  CHECK(rollout.state == ActState::kPaused);
}

TEST_CASE_FIXTURE(
    PlanningFixture,
    "Moves, host restarts, stays failed or returns, moves one host "
    "only when it stays failed") {
  m_fleet.pools["c"].target_hosts = 12;
  FleetDriver driver = MakeDriver();
  driver.Fail("h102", minutes(5));
  driver.Run(minutes(60));
  CHECK(driver.counts().planned_drains == 0);
  driver.Fail("h102", hours(10));
  driver.Run(hours(9));
  CHECK(driver.counts().moves == 1);
  driver.Run(hours(9));  // The failed host is back: c has one too many.
  CHECK(driver.counts().moves == 1);
  // Now the lending pool lacks hosts too; the lent host must not move back.
  for (const char* id : {"h100", "h101", "h102"}) {
    driver.Fail(id, hours(30));
  }
  driver.Run(hours(20));
  CheckNoViolations(driver.counts());
}

TEST_CASE_FIXTURE(PlanningFixture,
                  "Moves, failed host returns while another drains for it, "
                  "cancels the move") {
  m_fleet.pools["c"].target_hosts = 12;
  FleetDriver driver = MakeDriver();
  for (const auto& [id, host] : m_fleet.hosts) {
    driver.m_never_empty.insert(id);
  }
  driver.Fail("h102", minutes(15));
  driver.Run(minutes(12));
  CHECK(CountState(driver.fleet(), HostState::kDraining) == 1);
  driver.Run(minutes(8));
  CHECK(CountState(driver.fleet(), HostState::kInPool) == 36);
}

TEST_CASE_FIXTURE(
    PlanningFixture,
    "Moves, host joins a pool, allows no drain there in that step") {
  // Three of c's twelve hosts may be away and two are. Once a thirteenth joins,
  // which is away until it is warm, three of thirteen are away and no fourth
  // may go.
  m_fleet.services["insurer-c"].min_available = 7;
  m_fleet.pools["c"].target_hosts = 13;
  m_fleet.waves["wave"] = PlanWave(m_fleet, "wave", {"c"}, m_input.now);
  SetHostState("h102", HostState::kReturning, DrainReason::kMaintenance, 0);
  SetHostState("h105", HostState::kReturning, DrainReason::kMaintenance, 0);
  const auto drains_of_wave = [this] {
    int drains = 0;
    for (const Action& action : Step().actions) {
      drains += action.transition.event == HostEvent::kDrain &&
                action.transition.act == "wave";
    }
    return drains;
  };
  CHECK(drains_of_wave() == 1);
  SetHostState("h100", HostState::kDrained, DrainReason::kMove, 1);
  m_fleet.hosts["h100"].move_to = "c";
  CHECK(drains_of_wave() == 0);
}

TEST_CASE_FIXTURE(
    PlanningFixture,
    "Moves, donors fit different pools, serves as many as possible") {
  // Hosts of a fit both b and c; only they have the accelerators that c needs.
  m_fleet.pools["a"].target_hosts = 11;
  m_fleet.pools["b"].target_hosts = 13;
  m_fleet.pools["c"].target_hosts = 13;
  m_fleet.pools["c"].host_shape.accelerators = 1;
  AddPool("d", 3);
  for (int i = 36; i < 40; ++i) {
    AddHost(i, "d");
  }
  for (auto& [id, host] : m_fleet.hosts) {
    host.capacity.accelerators = host.pool == "a" ? 1 : 0;
  }
  budget::Budget budget = budget::Budget::Evaluate(m_fleet, {});
  StepInput input;
  input.now = WallTime(hours(1000));
  input.in_flight["h106"] = 0;  // The only idle host of a.
  const std::vector<Action> moves = PlanMoves(m_fleet, budget, input);
  REQUIRE(moves.size() == 2);
  std::map<std::string, std::string> receiver_by_donor;
  for (const Action& move : moves) {
    receiver_by_donor[m_fleet.hosts.at(move.transition.host).pool] =
        move.transition.move_to;
  }
  CHECK(receiver_by_donor ==
        std::map<std::string, std::string>{{"a", "c"}, {"d", "b"}});
  const auto is_idle = [](const Action& move) {
    return move.transition.host == "h106";
  };
  CHECK(std::any_of(moves.begin(), moves.end(), is_idle));
}

TEST_CASE_FIXTURE(PlanningFixture,
                  "PlanBuffers, interleaved pools, share one rack's reserve") {
  const BufferPlan plan = PlanBuffers(m_fleet);
  CHECK(plan.lower_bound == 4);
  CHECK(plan.total == 5);  // Largest rack of four, one in maintenance.
  CHECK(plan.per_pool_total == 9);
  CHECK(plan.groups.size() == 1);
  m_fleet.pools["c"].may_lend = false;
  CHECK(PlanBuffers(m_fleet).groups.size() == 2);
  CHECK(PlanBuffers(m_fleet).total > plan.total);
  CHECK(PoissonQuantile(0.5, 0.001) == 4);
  CHECK(PoissonQuantile(0, 0.001) == 0);
}

TEST_CASE_FIXTURE(PlanningFixture,
                  "PlanBuffers, larger hosts may serve smaller pools, plans "
                  "one reserve of the larger shape") {
  m_fleet.pools["a"].host_shape.accelerators = 4;
  CHECK(PlanBuffers(m_fleet).groups.size() == 2);
  const BufferPlan plan = PlanBuffers(m_fleet, {.share_across_shapes = true});
  REQUIRE(plan.groups.size() == 1);
  CHECK(plan.groups.front().reserve_pools == std::vector<std::string>{"a"});
  CHECK(plan.total == 5);
}

TEST_CASE_FIXTURE(PlanningFixture,
                  "Acts, host moved out of their pools, continue without it") {
  StartWave();
  m_fleet.waves["wave"].pools = {"a"};
  StartRollout();
  m_fleet.hosts.at("h100").pool = "c";
  const StepResult step = Step();
  const auto times_listed = [](const std::vector<std::string>& list) {
    return std::count(list.begin(), list.end(), "h100");
  };
  REQUIRE(step.waves.size() == 1);
  CHECK(times_listed(step.waves[0].pending) == 0);
  REQUIRE(step.rollouts.size() == 1);
  CHECK(times_listed(step.rollouts[0].pending) == 0);
  // A host that is already drained for the act stays in it.
  SetHostState("h103", HostState::kDrained, DrainReason::kMaintenance, 1);
  m_fleet.hosts.at("h103").pool = "c";
  CHECK(Step().waves.at(0).active == std::vector<std::string>{"h103"});
}

TEST_CASE_FIXTURE(
    PlanningFixture,
    "Moves, requested by an operator, aren't cancelled as unneeded") {
  for (const char* id : {"h100", "h103"}) {
    SetHostState(id, HostState::kDraining, DrainReason::kMove, 1);
    m_fleet.hosts.at(id).move_to = "c";
    m_input.in_flight[id] = 1;
  }
  m_fleet.pools.at("c").target_hosts = 0;
  m_fleet.hosts.at("h103").act = "move-h103-1";  // Planned, not an operator's.
  std::map<std::string, HostEvent> events;
  for (const Action& action : Step().actions) {
    events[action.transition.host] = action.transition.event;
  }
  CHECK_FALSE(events.contains("h100"));
  CHECK(events.at("h103") == HostEvent::kCancelDrain);
}

TEST_CASE_FIXTURE(PlanningFixture,
                  "WaveLowerBound, slowest service, sets the bound") {
  // Three of c's twelve hosts may be away at once by the service's share, but
  // only one if a rack, which holds two, may be lost as well.
  const Millis hour = hours(1);
  CHECK(WaveLowerBound(m_fleet, {"c"}, hour) == hour * 12);
  m_fleet.services["insurer-c"].min_available = 12;
  CHECK(WaveLowerBound(m_fleet, {"c"}, hour) == Millis::max());
  const PlanCost cost = CostOf(m_fleet, 9, hours(2), 18);
  CHECK(cost.weighted == doctest::Approx(25 + 2 + 50));
}

TEST_CASE_FIXTURE(PlanningFixture,
                  "ExplainHost, refused by a budget, names the service") {
  for (const char* id : {"h100", "h103", "h101", "h104", "h107"}) {
    m_fleet.hosts[id].state = HostState::kFailed;
  }
  StepInput input;
  input.now = WallTime(hours(1000));
  std::string text;
  for (const std::string& line : ExplainHost(m_fleet, "h106", input)) {
    text += line + "\n";
  }
  CHECK(text.find("may not be taken away: shared") != std::string::npos);
  CHECK(ExplainHost(m_fleet, "none", input).front() == "host none isn't known");
}

}  // namespace
}  // namespace laurelhall::planning
