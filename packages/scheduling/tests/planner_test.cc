#include <doctest/doctest.h>

#include <algorithm>
#include <set>

#include "laurelhall/scheduling/demand.h"
#include "laurelhall/scheduling/planner.h"
#include "laurelhall/scheduling/pool_floors.h"
#include "laurelhall/scheduling/pools.h"
#include "laurelhall/scheduling/worker_clock.h"

namespace laurelhall::scheduling {
namespace {

using std::chrono::hours;

class PlannerFixture {
 protected:
  PlannerFixture() {
    Configuration configuration;
    configuration.version = 1;
    configuration.queues.push_back(
        {"quotes", "q.example", "/quotes/", "teklif", 0, 2, 1.6, Millis(600)});
    configuration.services.push_back({"teklif"});
    ledger.Apply(ConfigurationSet{configuration});
  }

  void AddWorker(const std::string& id, const std::string& rack = "r1") {
    WorkerInfo info;
    info.id = id;
    info.service = "teklif";
    info.rack = rack;
    info.labels = {"a", rack};
    info.capacity = {4'000, 8'000, 0};
    ledger.Apply(WorkerSeen{info});
    statuses[id] = {true, false};
  }

  void Accept(const std::string& id, const StepSpec& step) {
    JobSpec spec;
    spec.steps = {step};
    ledger.Apply(JobAccepted{id, "quotes", "teklif", WallTime(), spec});
    first_seen_at[id] = now;
  }

  static StepSpec Step(uint32_t count) {
    StepSpec step;
    step.count = count;
    step.need = {1'000, 500, 0};
    step.estimate = Millis(800);
    return step;
  }

  std::vector<RunStarted> Plan() {
    const auto status_of = [this](const Worker& worker) {
      ++status_queries;
      const auto found = statuses.find(worker.info.id);
      return found == statuses.end() ? WorkerStatus() : found->second;
    };
    return planner.Plan({ledger, now, WallTime(), status_of, first_seen_at,
                         step_delay, is_leader_busy});
  }

  void Commit(const std::vector<RunStarted>& starts) {
    for (const RunStarted& start : starts) {
      ledger.Apply(start);
      planner.ReleaseReservation(start);
    }
  }

  Ledger ledger;
  Planner planner;
  std::map<std::string, WorkerStatus> statuses;
  std::unordered_map<std::string, SteadyTime> first_seen_at;
  SteadyTime now{hours(1)};
  Millis step_delay{0};
  bool is_leader_busy = false;
  int status_queries = 0;  // Calls for a worker's status.
};

TEST_CASE_FIXTURE(PlannerFixture,
                  "Planner, more tasks than room, fills the room") {
  AddWorker("w1");
  AddWorker("w2");
  Accept("j", Step(10));
  CHECK(Plan().size() == 8);
}

TEST_CASE_FIXTURE(PlannerFixture,
                  "Planner, starts not committed yet, plans no task twice") {
  AddWorker("w1");
  Accept("j", Step(3));
  CHECK(Plan().size() == 3);
  CHECK(Plan().empty());
}

TEST_CASE_FIXTURE(PlannerFixture,
                  "Planner, rack of the data is full, waits by the factor") {
  AddWorker("w1", "r1");
  AddWorker("w2", "r2");
  StepSpec near = Step(4);
  near.data_rack = "r1";
  Accept("first", near);
  Commit(Plan());
  near.count = 1;
  Accept("second", near);
  planner = Planner({}, 1.5);
  now += Millis(399);
  CHECK(Plan().empty());
  now += Millis(1);
  CHECK(Plan().size() == 1);
}

TEST_CASE_FIXTURE(PlannerFixture,
                  "Planner, workers without room, status is not queried") {
  AddWorker("w1");
  AddWorker("w2");
  Accept("first", Step(8));
  Commit(Plan());
  Accept("second", Step(2));
  status_queries = 0;
  CHECK(Plan().empty());
  CHECK(status_queries == 0);
}

TEST_CASE_FIXTURE(
    PlannerFixture,
    "Planner, workers added, gone or draining, plans for the rest") {
  AddWorker("w1");
  Accept("j", Step(12));
  Commit(Plan());
  AddWorker("w2");
  const std::vector<RunStarted> second = Plan();
  CHECK(second.size() == 4);
  ledger.Apply(WorkerGone{"w2"});
  for (const RunStarted& start : second) {
    planner.ReleaseReservation(start);
  }
  CHECK(Plan().empty());
  AddWorker("w3");
  WorkerInfo draining = ledger.FindWorker("w3")->info;
  draining.is_draining = true;
  ledger.Apply(WorkerSeen{draining});
  CHECK(Plan().empty());
}

// A pool with four places that are all taken, and a job that waits for them
// until its last moment.
class LateJobFixture : protected PlannerFixture {
 protected:
  LateJobFixture() {
    AddWorker("w1");
    Accept("busy", Step(4));
    busy = Plan();
    Commit(busy);
    Accept("late", Step(4));
    now += Millis(1'200);
    Plan();
    now += Millis(1'800);
  }

  // The late job has 0.7 s left to begin, and the other one 1 s.
  std::string FirstJobAfter(Millis wait) {
    now += wait;
    Accept("on-time", Step(4));
    for (const RunStarted& run : busy) {
      ledger.Apply(RunEnded{run.task, run.run, run.worker, RunEnd::kDone, {}});
    }
    const std::vector<RunStarted> starts = Plan();
    return starts.size() == 4 ? starts.front().task.job : "";
  }

  std::vector<RunStarted> busy;
};

TEST_CASE_FIXTURE(LateJobFixture,
                  "Planner, late job has its last moment, goes first") {
  CHECK(FirstJobAfter(Millis(1'300)) == "late");
}

// Guards against work for nobody in a rush: late jobs took the places of jobs
// that could be on time, which became late in their turn.
TEST_CASE_FIXTURE(LateJobFixture,
                  "Planner, jobs become late in a full pool, late job waits") {
  Accept("missed", Step(4));
  now += Millis(1'200);
  Plan();
  CHECK(FirstJobAfter(Millis(100)) == "on-time");
}

// Guards against a leader at its limit that works for nobody: most of what it
// started in a rush was late, and made what could be on time late as well.
class LateBacklogFixture : protected PlannerFixture {
 protected:
  LateBacklogFixture() {
    for (int worker = 0; worker < 12; ++worker) {
      AddWorker("w" + std::to_string(worker));
    }
    for (int job = 0; job < 4; ++job) {
      Accept("late-" + std::to_string(job), Step(8));
    }
    now += Millis(1'500);  // Of the 1,880 ms in which each should be done.
    Accept("on-time", Step(8));
  }

  size_t CountStarts(const std::string& job_prefix) {
    const std::vector<RunStarted> starts = Plan();
    return static_cast<size_t>(std::count_if(
        starts.begin(), starts.end(), [&](const RunStarted& start) {
          return start.task.job.starts_with(job_prefix);
        }));
  }
};

TEST_CASE_FIXTURE(LateBacklogFixture,
                  "Planner, leader has time left, late work starts in full") {
  CHECK(CountStarts("late") == 4 * 8);
}

TEST_CASE_FIXTURE(LateBacklogFixture,
                  "Planner, leader is busy, late work gets a small share") {
  is_leader_busy = true;
  // One for eight of the starts on time and four more: a whole step has them.
  CHECK(CountStarts("late") == 8);
}

TEST_CASE_FIXTURE(LateBacklogFixture,
                  "Planner, leader is busy, work on time starts in full") {
  is_leader_busy = true;
  CHECK(CountStarts("on-time") == 8);
}

TEST_CASE_FIXTURE(
    PlannerFixture,
    "Planner, leader's own delay makes a job late, counts as late") {
  AddWorker("w1");
  Accept("j", Step(4));
  now += Millis(900);  // With 980 ms left for a run of 800.
  step_delay = Millis(200);
  CHECK(Plan().size() == 4);
  CHECK(planner.cost().starts_late == 4);
}

// Guards against counting only committed starts: a third task of a step was put
// on a worker while the starts of the first two were being committed.
TEST_CASE_FIXTURE(
    PlannerFixture,
    "Planner, spread limit and uncommitted starts, keeps the limit") {
  AddWorker("w1");
  StepSpec step = Step(2);
  step.max_tasks_per_worker = 2;
  step.count = 4;
  Accept("j", step);
  CHECK(Plan().size() == 2);
  CHECK(Plan().empty());
}

TEST_CASE_FIXTURE(PlannerFixture,
                  "Planner, last attempt, avoids the worker it failed on") {
  AddWorker("w1");
  AddWorker("w2");
  Accept("j", Step(1));
  const auto first = Plan();
  REQUIRE(first.size() == 1);
  Commit(first);
  ledger.Apply(
      RunEnded{first[0].task, 1, first[0].worker, RunEnd::kFailed, {}});
  // The other worker is not usable, so the task needs a third one.
  const std::string other = first[0].worker == "w1" ? "w2" : "w1";
  statuses[other].is_usable = false;
  AddWorker("w3");
  statuses["w3"].is_usable = true;
  const auto second = Plan();
  REQUIRE(second.size() == 1);
  CHECK(second[0].worker == "w3");
  CHECK(second[0].run == 2);
}

class LastAttemptFixture : public PlannerFixture {
 protected:
  // Starts all tasks of a job, of which the first one then fails, on "w1".
  void FailOnce(const std::string& job, const StepSpec& step) {
    Accept(job, step);
    const auto starts = Plan();
    REQUIRE(starts.size() == step.count);
    Commit(starts);
    for (const RunStarted& start : starts) {
      REQUIRE(start.worker == "w1");
      const RunEnd end =
          start.task.index == 0 ? RunEnd::kFailed : RunEnd::kGangBroken;
      ledger.Apply(RunEnded{start.task, start.run, start.worker, end, {}});
    }
  }

  // The workers on which the next plan starts tasks, after a wait.
  std::set<std::string> WorkersAfter(Millis wait) {
    now += wait;
    std::set<std::string> workers;
    for (const RunStarted& start : Plan()) {
      workers.insert(start.worker);
    }
    return workers;
  }

  static StepSpec OnRack(const std::string& rack, uint32_t count = 1) {
    StepSpec step = Step(count);
    step.required_label = rack;
    return step;
  }

  static constexpr Millis kBound{2'000};
  const std::set<std::string> none;
  const std::set<std::string> w1{"w1"};
};

// Guards against a rule of preference that excludes: a task whose only eligible
// worker is the one that it failed on was never started again.
TEST_CASE_FIXTURE(LastAttemptFixture,
                  "Planner, last attempt and no other eligible worker, starts "
                  "after a bounded wait") {
  AddWorker("w1", "r1");
  AddWorker("w2", "r2");
  FailOnce("j", OnRack("r1"));
  CHECK(WorkersAfter(Millis(0)) == none);
  CHECK(WorkersAfter(kBound - Millis(1)) == none);
  CHECK(planner.risky_starts().empty());
  CHECK(WorkersAfter(Millis(1)) == w1);
  REQUIRE(planner.risky_starts().size() == 1);
  CHECK(planner.risky_starts()[0].start.worker == "w1");
  CHECK(planner.risky_starts()[0].waited == kBound);
}

// Guards against a wait without end for workers that persistent tasks fill.
TEST_CASE_FIXTURE(LastAttemptFixture,
                  "Planner, last attempt and the others full, starts after a "
                  "bounded wait") {
  AddWorker("w1");
  FailOnce("j", Step(1));
  AddWorker("w2");
  statuses["w1"].is_usable = false;
  StepSpec persistent = Step(4);
  persistent.is_persistent = true;
  Accept("service", persistent);
  now += Millis(1);
  Commit(Plan());
  REQUIRE(ledger.FindWorker("w2")->active.size() == 4);
  statuses["w1"].is_usable = true;
  CHECK(WorkersAfter(Millis(0)) == none);
  CHECK(WorkersAfter(kBound) == w1);
}

TEST_CASE_FIXTURE(LastAttemptFixture,
                  "Planner, last attempt and another worker in time, goes "
                  "there") {
  AddWorker("w1");
  FailOnce("j", Step(1));
  AddWorker("w2");
  statuses["w2"].is_unreliable = true;
  CHECK(WorkersAfter(Millis(0)) == none);
  AddWorker("w3");
  CHECK(WorkersAfter(kBound / 2) == std::set<std::string>{"w3"});
  CHECK(planner.risky_starts().empty());
}

// Guards against a wait that begins anew with each start that is refused.
TEST_CASE_FIXTURE(LastAttemptFixture,
                  "Planner, last attempt refused after its wait, waits no "
                  "second time") {
  AddWorker("w1", "r1");
  AddWorker("w2", "r2");
  FailOnce("j", OnRack("r1"));
  CHECK(WorkersAfter(Millis(0)) == none);
  now += kBound;
  const auto starts = Plan();
  REQUIRE(starts.size() == 1);
  Commit(starts);
  ledger.Apply(RunEnded{
      starts[0].task, starts[0].run, starts[0].worker, RunEnd::kLapsed, {}});
  CHECK(WorkersAfter(Millis(1)) == w1);
}

// Guards against a limit of attempts for tasks that have none.
TEST_CASE_FIXTURE(LastAttemptFixture,
                  "Planner, persistent task that failed, starts at once") {
  AddWorker("w1", "r1");
  AddWorker("w2", "r2");
  StepSpec step = OnRack("r1");
  step.is_persistent = true;
  FailOnce("j", step);
  CHECK(WorkersAfter(Millis(0)) == w1);
}

// Guards against a gang that sends another member to the worker on which one
// failed, and against members that wait one after the other.
TEST_CASE_FIXTURE(LastAttemptFixture,
                  "Planner, last attempt of a gang, all members avoid the "
                  "worker and wait together") {
  AddWorker("w1", "r1");
  AddWorker("w2", "r2");
  StepSpec gang = OnRack("r1", 3);
  gang.is_gang = true;
  FailOnce("j", gang);
  CHECK(WorkersAfter(Millis(0)) == none);
  CHECK(WorkersAfter(kBound - Millis(1)) == none);
  now += Millis(1);
  const auto starts = Plan();
  CHECK(starts.size() == 3);
  CHECK(planner.risky_starts().size() == 3);
}

TEST_CASE_FIXTURE(LastAttemptFixture,
                  "Planner, last attempt of a gang and a sound worker, no "
                  "member goes where one failed") {
  AddWorker("w1");
  StepSpec service = Step(1);
  service.is_persistent = true;  // Tasks are packed beside it.
  Accept("service", service);
  Commit(Plan());
  StepSpec gang = Step(3);
  gang.is_gang = true;
  FailOnce("j", gang);
  AddWorker("w2");
  CHECK(WorkersAfter(Millis(0)) == std::set<std::string>{"w2"});
}

TEST_CASE_FIXTURE(LastAttemptFixture,
                  "Planner, last attempt for a dropped queue, waits as well") {
  AddWorker("w1", "r1");
  AddWorker("w2", "r2");
  FailOnce("j", OnRack("r1"));
  Configuration without = ledger.configuration();
  ++without.version;
  without.queues.clear();
  ledger.Apply(ConfigurationSet{without});
  CHECK(WorkersAfter(Millis(0)) == none);
  CHECK(WorkersAfter(kBound) == w1);
}

TEST_CASE_FIXTURE(PlannerFixture,
                  "Planner, gang without room for all, starts none") {
  AddWorker("w1");
  StepSpec gang = Step(5);
  gang.is_gang = true;
  Accept("j", gang);
  CHECK(Plan().empty());
  AddWorker("w2");
  const auto starts = Plan();
  REQUIRE(starts.size() == 5);
  for (const RunStarted& start : starts) {
    CHECK(start.run == 1);
  }
}

TEST_CASE_FIXTURE(
    PlannerFixture,
    "Planner, data on another rack, waits a while for that rack") {
  AddWorker("w1", "r1");
  StepSpec step = Step(1);
  step.data_rack = "r2";
  Accept("j", step);
  CHECK(Plan().empty());
  now += Millis(2'000);
  CHECK(Plan().size() == 1);
}

TEST_CASE_FIXTURE(
    PlannerFixture,
    "Planner, hopeless work and work on time, the latter goes first") {
  AddWorker("w1");
  Accept("old", Step(4));
  first_seen_at["old"] = now - Millis(10'000);
  Accept("new", Step(4));
  const auto starts = Plan();
  REQUIRE(starts.size() == 4);
  CHECK(starts[0].task.job == "new");
}

TEST_CASE_FIXTURE(PlannerFixture,
                  "Planner, persistent tasks, are packed onto few workers") {
  for (const char* id : {"w1", "w2", "w3", "w4"}) {
    AddWorker(id);
  }
  for (const char* id : {"a", "b"}) {
    StepSpec step = Step(2);
    step.is_persistent = true;
    step.max_tasks_per_worker = 1;
    Accept(id, step);
    Commit(Plan());
  }
  int with = 0;
  for (const auto& [id, worker] : ledger.workers()) {
    with += worker.persistent_runs > 0 ? 1 : 0;
  }
  CHECK(with == 2);
}

// Guards against spreading short tasks: if each goes to the emptiest worker, no
// host is free to move when another service needs it.
TEST_CASE_FIXTURE(PlannerFixture,
                  "Planner, short tasks one after another, share a worker") {
  for (const char* id : {"w1", "w2", "w3"}) {
    AddWorker(id);
  }
  for (const char* id : {"a", "b", "c"}) {
    Accept(id, Step(1));
    Commit(Plan());
  }
  for (const auto& [id, worker] : ledger.workers()) {
    CHECK((worker.active.empty() || worker.active.size() == 3));
  }
}

TEST_CASE_FIXTURE(PlannerFixture,
                  "Planner, short task, goes beside a persistent one") {
  AddWorker("w1");
  statuses["w1"].is_usable = false;
  AddWorker("w2");
  StepSpec persistent = Step(1);
  persistent.is_persistent = true;
  Accept("long", persistent);
  Commit(Plan());
  statuses["w1"].is_usable = true;
  Accept("short", Step(2));
  Commit(Plan());
  CHECK(ledger.FindWorker("w1")->active.empty());
  CHECK(ledger.FindWorker("w2")->active.size() == 3);
}

TEST_CASE_FIXTURE(
    PlannerFixture,
    "Planner, job deferred, is not started before the given time") {
  AddWorker("w1");
  Accept("j", Step(1));
  planner.Defer("j", now + Millis(100));
  CHECK(Plan().empty());
  now += Millis(100);
  CHECK(Plan().size() == 1);
}

// Guards against counting only running persistent tasks, not those that the
// same plan has put on a worker.
TEST_CASE_FIXTURE(PlannerFixture,
                  "Planner, persistent tasks of one plan, are packed as well") {
  for (const char* id : {"w1", "w2", "w3", "w4"}) {
    AddWorker(id);
  }
  for (const char* id : {"a", "b"}) {
    StepSpec step = Step(2);
    step.is_persistent = true;
    step.max_tasks_per_worker = 1;
    Accept(id, step);
  }
  std::set<std::string> used;
  for (const RunStarted& start : Plan()) {
    used.insert(start.worker);
  }
  CHECK(used.size() == 2);
}

TEST_CASE("WorkerClock, slow clock, lease counts as held until surely lapsed") {
  const SteadyTime start{hours(1)};
  WorkerClock clock(Millis(6'000), start);
  CHECK_FALSE(clock.HasSurelyLapsed(start + Millis(6'500)));
  clock.Observe(WorkerTime(100'000), start);
  clock.Extend(start);
  // On a clock that is 2 % slow, 6 s take 6.122 s.
  CHECK_FALSE(clock.HasSurelyLapsed(start + Millis(6'122)));
  CHECK(clock.HasSurelyLapsed(start + Millis(6'300)));
}

TEST_CASE("WorkerClock, replies come late, their age is known") {
  const SteadyTime start{hours(1)};
  WorkerClock clock(Millis(6'000), start);
  CHECK(clock.AgeOf(WorkerTime(100), start) == Millis(0));
  clock.Observe(WorkerTime(1'000), start);
  // A reply that was sent right after the first one, but comes a second later.
  const SteadyTime later = start + Millis(1'000);
  CHECK(clock.AgeOf(WorkerTime(1'000), later) == Millis(980));
  clock.Observe(WorkerTime(1'000), later);
  CHECK(clock.AgeOf(WorkerTime(1'000), later) == Millis(980));
  CHECK(clock.AgeOf(WorkerTime(2'000), later) == Millis(0));
}

TEST_CASE("WorkerClock, never reached, waits for the earlier leader's leases") {
  const SteadyTime start{hours(1)};
  const WorkerClock clock(Millis(6'000), start);
  CHECK_FALSE(clock.HasSurelyLapsed(start + Millis(7'200)));
  CHECK(clock.HasSurelyLapsed(start + Millis(7'500)));
}

class DemandFixture {
 protected:
  // Adds `turns` turns of two seconds, in which `a` and `b` alternate.
  void AddTurns(int turns) {
    for (int turn = 0; turn < turns; ++turn) {
      for (int step = 0; step < 20; ++step) {
        now += Millis(100);
        meter.RecordArrival(turn % 2 == 0 ? "a" : "b", 1'000, now);
      }
    }
    meter.Learn(now);
  }

  // Turns have their own tests in turns_test.cc.
  static MechanismSet WithoutTurns() {
    MechanismSet mechanisms;
    mechanisms.SwitchOff(Mechanism::kTurns);
    return mechanisms;
  }

  DemandMeter meter{WithoutTurns()};
  SteadyTime now{hours(1)};
};

TEST_CASE_FIXTURE(DemandFixture,
                  "DemandMeter, turns repeat, expects the next") {
  AddTurns(6);
  CHECK(meter.period() == Millis(4'000));
  CHECK(meter.Expected("a", now, Millis(1'000)) > 5);
  CHECK(meter.Expected("b", now, Millis(1'000)) < 5);
}

TEST_CASE_FIXTURE(DemandFixture,
                  "DemandMeter, first turns, recognises no period") {
  AddTurns(2);
  CHECK(meter.period() == Millis(0));
  CHECK(meter.Expected("a", now, Millis(1'000)) == 0);
}

TEST_CASE_FIXTURE(DemandFixture, "DemandMeter, recent work, rate in cores") {
  AddTurns(1);
  CHECK(meter.RecentDemand("a", now) == doctest::Approx(10).epsilon(0.2));
  CHECK(meter.RecentDemand("b", now) == 0);
}

TEST_CASE_FIXTURE(DemandFixture, "DemandMeter, rush is over, peak is kept") {
  AddTurns(2);
  CHECK(meter.PeakDemand("a") == doctest::Approx(10).epsilon(0.2));
  CHECK(meter.PeakDemand("none") == 0);
}

class PoolsFixture {
 protected:
  void AddHosts(const std::string& service, int count, bool is_movable = true) {
    for (int i = 0; i < count; ++i) {
      PoolHost host;
      host.host = service + std::to_string(i);
      host.service = service;
      host.cores = 16;
      host.is_movable = is_movable;
      hosts.push_back(host);
    }
  }

  std::vector<PoolMove> Plan() { return PlanMoves(pools, hosts, weights, now); }

  std::vector<PoolDemand> pools{{"a", false, 0},
                                {"b", false, 0},
                                {"off", true, 0}};
  std::vector<PoolHost> hosts;
  PoolMoveLimits weights;
  SteadyTime now{hours(1)};
};

TEST_CASE_FIXTURE(PoolsFixture,
                  "Moves, one service in a rush, takes parked hosts first") {
  AddHosts("a", 4);
  AddHosts("b", 6);
  AddHosts("off", 2);
  weights.may_park = false;
  pools[0].needed_cores = 90;
  const auto moves = Plan();
  REQUIRE(moves.size() >= 2);
  CHECK(moves[0].host.starts_with("off"));
  CHECK(moves[1].host.starts_with("off"));
  for (const PoolMove& move : moves) {
    CHECK(move.to == "a");
  }
}

TEST_CASE_FIXTURE(PoolsFixture,
                  "Moves, donor at its minimum, keeps its hosts") {
  AddHosts("a", 3);
  AddHosts("b", 5);
  pools[0].needed_cores = 500;
  CHECK(Plan().size() == 2);
}

TEST_CASE_FIXTURE(PoolsFixture,
                  "Moves, hosts idle for longer than any period, parked") {
  AddHosts("a", 8);
  AddHosts("b", 8);
  for (PoolHost& host : hosts) {
    host.idle_for = weights.park_after - Millis(1);
  }
  CHECK(Plan().empty());
  for (PoolHost& host : hosts) {
    host.idle_for = weights.park_after;
  }
  CHECK(Plan().size() == 10);
  weights.may_park = false;
  CHECK(Plan().empty());
}

// Two services that rush in turns, between two rushes: neither needs its hosts
// now, but one of them did a moment ago.
TEST_CASE_FIXTURE(
    PoolsFixture,
    "Moves, hosts idle but cores needed lately, keeps those cores") {
  AddHosts("a", 8);
  AddHosts("b", 8);
  for (PoolHost& host : hosts) {
    host.idle_for = weights.park_after;
  }
  weights.min_active_cores = 12 * 16;
  CHECK(Plan().size() == 4);
}

// The rush of `b` is expected and that of `a` is under way: `b` gets idle hosts
// of `c` and none that `a` needs.
TEST_CASE_FIXTURE(
    PoolsFixture,
    "Moves, rush expected, takes only hosts that nobody needs now") {
  AddHosts("a", 10);
  AddHosts("b", 3);
  AddHosts("c", 6);
  pools.push_back({"c", false, 0});
  pools[0].needed_cores = 10 * 16;
  pools[1].expected_cores = 200;
  const auto moves = Plan();
  CHECK(moves.size() == 3);
  for (const PoolMove& move : moves) {
    CHECK(move.host.starts_with("c"));
    CHECK(move.to == "b");
  }
}

// Services that rush one after the other: what the rush of `a` would like to
// have in reserve is what `b` needs at the start of its own.
TEST_CASE_FIXTURE(PoolsFixture,
                  "Moves, rush wants headroom, other pool keeps its floor") {
  AddHosts("a", 6);
  AddHosts("b", 10);
  pools[0].pressing_cores = 6 * 16;
  pools[0].needed_cores = 12 * 16;
  pools[0].floor_cores = 16;
  pools[1].floor_cores = 8 * 16;
  CHECK(Plan().size() == 2);
  pools[1].floor_cores = 0;
  CHECK(Plan().size() == 6);
}

TEST_CASE_FIXTURE(PoolsFixture,
                  "Moves, work waits elsewhere, taken below the floor") {
  AddHosts("a", 6);
  AddHosts("b", 10);
  pools[0].pressing_cores = 12 * 16;
  pools[0].needed_cores = 12 * 16;
  pools[0].floor_cores = 16;
  pools[1].floor_cores = 8 * 16;
  CHECK(Plan().size() == 6);
}

TEST_CASE_FIXTURE(PoolsFixture,
                  "Moves, pool below its floor, gets hosts that nobody needs") {
  AddHosts("a", 10);
  AddHosts("b", 4);
  pools[0].pressing_cores = 4 * 16;
  pools[0].needed_cores = 7 * 16;
  pools[0].floor_cores = 16;
  pools[1].floor_cores = 8 * 16;
  weights.may_park = false;
  const auto moves = Plan();
  CHECK(moves.size() == 3);
  for (const PoolMove& move : moves) {
    CHECK(move.to == "b");
  }
}

TEST_CASE("PoolFloors, jobs can wait for part of a move, keeps the rest") {
  PoolFloors floors;
  floors.RecordSlack("a", Millis(1'000));
  floors.RecordSlack("b", Millis(4'000));
  const auto kept =
      floors.Compute({{"a", 100}, {"b", 100}}, 1'000, Millis(2'500));
  CHECK(kept.at("a") == doctest::Approx(60));
  CHECK(kept.at("b") == doctest::Approx(0));
}

TEST_CASE("PoolFloors, service without a rush, may get one as the others") {
  PoolFloors floors;
  floors.RecordSlack("a", Millis(1'000));
  floors.RecordSlack("b", Millis(1'000));
  const auto kept =
      floors.Compute({{"a", 100}, {"b", 5}}, 1'000, Millis(2'000));
  CHECK(kept.at("a") == doctest::Approx(50));
  CHECK(kept.at("b") == doctest::Approx(50));
}

TEST_CASE("PoolFloors, peaks beyond the fleet, half of it stays free") {
  PoolFloors floors;
  floors.RecordSlack("a", Millis(0));
  floors.RecordSlack("b", Millis(0));
  const auto kept =
      floors.Compute({{"a", 900}, {"b", 300}}, 1'000, Millis(2'000));
  CHECK(kept.at("a") == doctest::Approx(375));
  CHECK(kept.at("b") == doctest::Approx(125));
}

TEST_CASE_FIXTURE(PoolsFixture, "Moves, hosts pinned or moved lately, stay") {
  AddHosts("a", 3);
  AddHosts("b", 6, false);
  pools[0].needed_cores = 500;
  CHECK(Plan().empty());
  for (PoolHost& host : hosts) {
    host.is_movable = true;
    host.since = now - Millis(100);
  }
  CHECK(Plan().empty());
}

// Guards against leaving a service with fewer hosts than its persistent tasks
// must be spread over.
TEST_CASE_FIXTURE(
    PoolsFixture,
    "Moves, persistent tasks need more hosts, gets and keeps them") {
  AddHosts("a", 3);
  AddHosts("b", 9);
  weights.may_park = false;
  pools[0].min_hosts = 5;
  CHECK(Plan().size() == 2);
  pools[0].min_hosts = 0;
  pools[0].needed_cores = 500;
  pools[1].min_hosts = 8;
  CHECK(Plan().size() == 1);
}

TEST_CASE_FIXTURE(PoolsFixture,
                  "Moves, two services equally short, hosts stay") {
  AddHosts("a", 6);
  AddHosts("b", 6);
  pools[0].needed_cores = 200;
  pools[1].needed_cores = 190;
  CHECK(Plan().empty());
}

// A rush of several times the capacity of a service. Guards against plans that
// compare every waiting step with every worker: each start then costs more the
// more steps wait, and the backlog sustains itself.
class PlannerRushFixture : public PlannerFixture {
 protected:
  PlannerRushFixture() {
    for (int worker = 0; worker < kWorkers; ++worker) {
      AddWorker("w" + std::to_string(worker));
    }
    for (int job = 0; job < kJobs; ++job) {
      StepSpec step = Step(8);
      step.need.millicores += job % 7 * 10;
      Accept("job-" + std::to_string(job), step);
    }
    Commit(Plan());
  }

  static constexpr int kWorkers = 200;
  static constexpr int kJobs = 2'000;
};

TEST_CASE_FIXTURE(
    PlannerRushFixture,
    "Planner, rush on a full service, waiting steps are not compared "
    "with each worker") {
  CHECK(Plan().empty());
  // All workers are compared only once for each size that is smaller than those
  // before it.
  CHECK(planner.cost().places <= 10 * kWorkers);
}

TEST_CASE_FIXTURE(
    PlannerRushFixture,
    "Planner, rush and some room, cost is bounded by the starts") {
  const Worker& worker = *ledger.FindWorker("w0");
  const std::set<TaskId> running = worker.active;
  for (const TaskId& task : running) {
    ledger.Apply(RunEnded{task, 1, "w0", RunEnd::kDone, ""});
  }
  const size_t starts = Plan().size();
  CHECK(starts >= 3);
  CHECK(planner.cost().places <= (starts + 10) * kWorkers);
}

// A step that found no room for another reason than its size must not keep
// other steps from starting.
TEST_CASE_FIXTURE(
    PlannerFixture,
    "Planner, step without a matching label before others, these start") {
  AddWorker("w0");
  StepSpec labelled = Step(1);
  labelled.required_label = "b";
  Accept("a", labelled);
  Accept("b", Step(2));
  CHECK(Plan().size() == 2);
}

TEST_CASE_FIXTURE(PlannerFixture,
                  "Planner, large step without room before small ones, these "
                  "start") {
  AddWorker("w0");
  StepSpec large = Step(1);
  large.need.millicores = 5'000;
  Accept("a", large);
  Accept("b", Step(2));
  CHECK(Plan().size() == 2);
}

// Two organisations, of which "capped" may use two processors at a time.
class OrganisationPlanFixture : public PlannerFixture {
 protected:
  OrganisationPlanFixture() { SetCap(2'000); }

  void SetCap(int64_t millicores) {
    Configuration configuration = ledger.configuration();
    ++configuration.version;
    configuration.identities.emplace();
    configuration.identities->organisations = {
        {"capped", {"1"}, 5, {millicores, 0, 0}}, {"free", {"2"}, 5, {}}};
    ledger.Apply(ConfigurationWithIdentitiesSet{configuration});
  }

  void AcceptFor(const std::string& organisation,
                 const std::string& id,
                 const StepSpec& step,
                 bool is_excess = false) {
    JobSpec spec;
    spec.steps = {step};
    ledger.Apply(OrganisationJobAccepted{
        {id, "quotes", "teklif", WallTime(), spec}, organisation, is_excess});
    first_seen_at[id] = now;
  }

  static size_t CountOf(const std::vector<RunStarted>& starts,
                        const std::string& job) {
    return static_cast<size_t>(std::count_if(
        starts.begin(), starts.end(),
        [&job](const RunStarted& start) { return start.task.job == job; }));
  }
};

TEST_CASE_FIXTURE(OrganisationPlanFixture,
                  "Planner, step larger than the cap, runs a part at a time") {
  AddWorker("w1");
  AddWorker("w2");
  AcceptFor("capped", "j", Step(5));
  std::vector<RunStarted> starts = Plan();
  CHECK(starts.size() == 2);
  CHECK(Plan().empty());  // Uncommitted starts count as well.
  Commit(starts);
  CHECK(Plan().empty());
  ledger.Apply(RunEnded{starts.front().task, 1, starts.front().worker,
                        RunEnd::kDone, ""});
  CHECK(Plan().size() == 1);
}

TEST_CASE_FIXTURE(OrganisationPlanFixture,
                  "Planner, one organisation at its cap, blocks no other") {
  AddWorker("w1");
  AcceptFor("capped", "first", Step(8));
  now += Millis(10);
  AcceptFor("free", "second", Step(8));
  const std::vector<RunStarted> starts = Plan();
  CHECK(CountOf(starts, "first") == 2);
  CHECK(CountOf(starts, "second") == 2);
}

TEST_CASE_FIXTURE(OrganisationPlanFixture,
                  "Planner, gang larger than the cap, never starts") {
  AddWorker("w1");
  StepSpec gang = Step(3);
  gang.is_gang = true;
  AcceptFor("capped", "j", gang);
  CHECK(Plan().empty());
  SetCap(3'000);
  CHECK(Plan().size() == 3);
}

TEST_CASE_FIXTURE(OrganisationPlanFixture,
                  "Planner, cap raised, more starts at once") {
  AddWorker("w1");
  AcceptFor("capped", "j", Step(4));
  Commit(Plan());
  SetCap(4'000);
  CHECK(Plan().size() == 2);
}

// One organisation's excess work beyond its rate arrives first, but the
// promised work of another goes before it.
TEST_CASE_FIXTURE(OrganisationPlanFixture,
                  "Planner, excess job before a promised one, goes after it") {
  AddWorker("w1");
  AcceptFor("free", "rush", Step(4), true);
  now += Millis(50);
  AcceptFor("capped", "promised", Step(2));
  const std::vector<RunStarted> starts = Plan();
  CHECK(CountOf(starts, "promised") == 2);
  CHECK(CountOf(starts, "rush") == 2);
}

// Large workers, and a gang that is lost with some of them.
class SuspectGangFixture : public PlannerFixture {
 protected:
  void AddLargeWorkers(int count) {
    for (int worker = 1; worker <= count; ++worker) {
      AddLargeWorker("w" + std::to_string(worker));
    }
  }

  void AddLargeWorker(const std::string& id) {
    WorkerInfo info;
    info.id = id;
    info.service = "teklif";
    info.capacity = {32'000, 64'000, 0};
    ledger.Apply(WorkerSeen{info});
    statuses[id] = {true, false};
  }

  static StepSpec Tasks(uint32_t count, int64_t millicores) {
    StepSpec step = Step(count);
    step.need = {millicores, 500, 0};
    return step;
  }

  static StepSpec Gang(uint32_t count, int64_t millicores) {
    StepSpec gang = Tasks(count, millicores);
    gang.is_gang = true;
    return gang;
  }

  /// Crashes a worker and adds a new one for it; the members of a gang that run
  /// elsewhere end with it.
  void Crash(const std::string& worker) {
    WorkerCrashed crash{worker, {}};
    for (const TaskId& task : ledger.FindWorker(worker)->active) {
      crash.suspects.push_back({task, Suspicion::kSuspect});
    }
    ledger.Apply(crash);
    ledger.Apply(IncarnationEnded{worker, WallTime()});
    EndRuns("gang", RunEnd::kStopped);
    AddLargeWorker(worker + "'");
  }

  void EndRuns(const std::string& job, RunEnd end) {
    const Job& of = *ledger.FindJob(job);
    for (size_t index = 0; index < of.tasks.size(); ++index) {
      const std::vector<ActiveRun> runs = of.tasks[index].active;
      for (const ActiveRun& run : runs) {
        ledger.Apply(RunEnded{of.IdOf(index), run.run, run.worker, end, {}});
      }
    }
  }

  std::set<std::string> WorkersOf(const std::string& job) const {
    std::set<std::string> workers;
    for (const Task& task : ledger.FindJob(job)->tasks) {
      for (const ActiveRun& run : task.active) {
        workers.insert(run.worker);
      }
    }
    return workers;
  }

  /// Starts a task of another job on each worker.
  void FillWithBystanders(int64_t millicores) {
    Accept("bystanders",
           Tasks(static_cast<uint32_t>(ledger.workers().size()), millicores));
    uint32_t index = 0;
    for (const auto& [id, worker] : ledger.workers()) {
      ledger.Apply(RunStarted{{"bystanders", 0, 0, index++}, 1, id});
    }
  }
};

TEST_CASE_FIXTURE(SuspectGangFixture,
                  "Planner, gang lost with its worker, starts again at once on "
                  "one empty worker") {
  AddLargeWorkers(9);
  Accept("gang", Gang(16, 2'000));
  Commit(Plan());
  REQUIRE(WorkersOf("gang").size() == 1);
  Crash(*WorkersOf("gang").begin());
  const std::vector<RunStarted> starts = Plan();
  CHECK(starts.size() == 16);
  Commit(starts);
  CHECK(WorkersOf("gang").size() == 1);
}

TEST_CASE_FIXTURE(SuspectGangFixture,
                  "Planner, gang lost on one of three workers, starts again at "
                  "once") {
  AddLargeWorkers(3);
  Accept("gang", Gang(4, 9'000));
  Commit(Plan());
  REQUIRE(WorkersOf("gang").size() == 2);
  Crash(ledger.FindJob("gang")->tasks[0].active[0].worker);
  CHECK(Plan().size() == 4);
}

TEST_CASE_FIXTURE(
    SuspectGangFixture,
    "Planner, suspect gang, starts beside no task of another job") {
  AddLargeWorkers(3);
  Accept("gang", Gang(4, 9'000));
  Commit(Plan());
  Crash(*WorkersOf("gang").begin());
  // The smaller one fits on every worker beside the gang.
  Accept("other", Tasks(1, 1'000));
  first_seen_at["other"] = now - Millis(100);
  Commit(Plan());
  REQUIRE(WorkersOf("gang").size() == 2);
  for (const std::string& worker : WorkersOf("other")) {
    CHECK_FALSE(WorkersOf("gang").contains(worker));
  }
}

// One member was lost, the other ran on a worker that did not crash.
TEST_CASE_FIXTURE(SuspectGangFixture,
                  "Planner, one member is a suspect, nothing is put beside the "
                  "others either") {
  AddLargeWorkers(2);
  Accept("gang", Gang(2, 20'000));
  Commit(Plan());
  Crash("w1");
  const std::vector<RunStarted> starts = Plan();
  REQUIRE(starts.size() == 2);
  Accept("other", Tasks(4, 1'000));
  CHECK(Plan().empty());  // While the starts are being committed.
  Commit(starts);
  for (const auto& [id, worker] : ledger.workers()) {
    CHECK(worker.suspects.size() == 1);
  }
}

TEST_CASE_FIXTURE(SuspectGangFixture,
                  "Planner, no worker is empty, suspect gang waits two seconds "
                  "and starts beside others") {
  AddLargeWorkers(6);
  Accept("gang", Gang(16, 2'000));
  Commit(Plan());
  Crash(*WorkersOf("gang").begin());
  FillWithBystanders(16'000);
  CHECK(Plan().empty());
  now += Millis(1'900);
  CHECK(Plan().empty());
  now += Millis(200);
  CHECK(Plan().size() == 16);
}

TEST_CASE_FIXTURE(SuspectGangFixture,
                  "Planner, a suspect is being tried, gang does not start "
                  "beside others") {
  AddLargeWorkers(6);
  Accept("gang", Gang(16, 2'000));
  Commit(Plan());
  const std::string crashed = *WorkersOf("gang").begin();
  Crash(crashed);
  FillWithBystanders(16'000);
  Accept("suspect", Step(1));
  const std::string first = crashed == "w1" ? "w2" : "w1";
  const std::string second = crashed == "w3" ? "w4" : "w3";
  const TaskId suspect{"suspect", 0, 0, 0};
  ledger.Apply(RunStarted{suspect, 1, first});
  ledger.Apply(WorkerCrashed{first, {{suspect, Suspicion::kSuspect}}});
  ledger.Apply(RunEnded{suspect, 1, first, RunEnd::kLapsed, {}});
  ledger.Apply(RunStarted{suspect, 2, second});
  statuses[second].is_quarantined = true;
  CHECK(Plan().empty());
  now += Millis(2'100);
  CHECK(Plan().empty());
  statuses[second].is_quarantined = false;
  CHECK(Plan().size() == 16);
}

TEST_CASE_FIXTURE(SuspectGangFixture,
                  "Planner, gang with three crashes, gets as many emptied "
                  "workers as it needs") {
  AddLargeWorkers(3);
  Accept("gang", Gang(4, 10'000));
  for (int crash = 0; crash < 3; ++crash) {
    Commit(Plan());
    REQUIRE_FALSE(WorkersOf("gang").empty());
    Crash(ledger.FindJob("gang")->tasks[0].active[0].worker);
  }
  FillWithBystanders(16'000);
  CHECK(Plan().empty());
  now += Millis(10'000);
  CHECK(Plan().empty());
  Accept("more", Tasks(9, 8'000));
  // Two workers are held for the gang, the third takes two more tasks.
  Commit(Plan());
  CHECK(WorkersOf("more").size() == 1);
  EndRuns("bystanders", RunEnd::kDone);
  const std::vector<RunStarted> starts = Plan();
  CHECK(std::count_if(starts.begin(), starts.end(), [](const auto& start) {
          return start.task.job == "gang";
        }) == 4);
}

// Guards against short jobs late in a rush: each task was compared with all
// workers of a full pool, on the leader's processor.
TEST_CASE_FIXTURE(PlannerFixture,
                  "Planner, most workers are full, tasks are compared with "
                  "those that have room") {
  constexpr uint32_t kWorkers = 60;
  constexpr uint32_t kWorkersWithRoom = 4;
  for (uint32_t i = 0; i < kWorkers; ++i) {
    AddWorker("w" + std::to_string(i));
  }
  Accept("running", Step(4 * (kWorkers - kWorkersWithRoom)));
  Commit(Plan());
  for (int i = 0; i < 40; ++i) {
    Accept("short-" + std::to_string(i), Step(1));
  }
  CHECK(Plan().size() == 4 * kWorkersWithRoom);
  CHECK(planner.cost().places <= 4 * kWorkersWithRoom * kWorkersWithRoom);
}

class ForecastFixture : public PlannerFixture {
 protected:
  // Two steps of two tasks, one after the other; 0.8 s each.
  ForecastFixture() {
    spec.steps = {Step(2), Step(2)};
    spec.steps[1].depends_on = {0};
  }

  JobSpec spec;
};

// Guards against work that can't start yet but makes idle cores seem to be
// the pool's fault.
TEST_CASE_FIXTURE(ForecastFixture,
                  "Planner, second step waits for the first, is not ready "
                  "work") {
  AddWorker("w1");
  ledger.Apply(JobAccepted{"a", "quotes", "teklif", WallTime(), spec});
  const Job& job = *ledger.FindJob("a");
  PendingWork work = planner.Waiting(ledger, job, now, now);
  CHECK(work.core_milliseconds == 3'200);
  CHECK(work.ready_core_milliseconds == 1'600);
  Commit(Plan());
  work = planner.Waiting(ledger, job, now, now);
  CHECK(work.core_milliseconds == 1'600);
  CHECK(work.ready_core_milliseconds == 0);
  CHECK(work.running_core_milliseconds == 1'600);
}

TEST_CASE_FIXTURE(ForecastFixture,
                  "Planner, forecast of a job, by learned run times") {
  const QueueSpec& queue = *ledger.FindQueueByName("quotes");
  JobForecast forecast = planner.Forecast(spec, queue);
  CHECK(forecast.work == 3'200);
  CHECK(forecast.critical_path == Millis(1'600));
  CHECK(forecast.objective == Millis(3'160));
  CHECK(forecast.useful == Millis(9'480));
  spec.steps[1].depends_on.clear();
  spec.steps[1].is_persistent = true;
  forecast = planner.Forecast(spec, queue);
  CHECK(forecast.work == 1'600);
  CHECK(forecast.critical_path == Millis(800));
  for (int run = 0; run < 200; ++run) {
    planner.Learn("quotes", Millis(800), Millis(1'600));
  }
  CHECK(planner.Forecast(spec, queue).critical_path >= Millis(1'590));
}

}  // namespace
}  // namespace laurelhall::scheduling
