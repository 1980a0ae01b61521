// Seen: a job whose tasks last was given up, and its sound tasks were stopped
// together while one of them was away, though none of them had crashed
// anything. How: tasks that stand all day beside crashing workers went down
// with five of them. Cause: crashes counted whatever the evidence, and the end
// of a job ended its tasks without asking how many may be away.

#include <doctest/doctest.h>

#include "world.h"

namespace laurelhall::dispatch {
namespace {

using scheduling::JobState;

// A service of eight workers with two standing jobs of four tasks, of which one
// may be missed.
class StandingServiceFixture {
 protected:
  StandingServiceFixture() {
    world.AddWorkers(8);
    world.Advance(Millis(500));
    scheduling::StepSpec step = Step(4);
    step.is_persistent = true;
    step.spread_limit = 1;
    step.may_miss = 1;
    world.Submit("watch", {step});
    world.Submit("audit", {step});
    world.Advance(Millis(3'000));
  }

  // A worker on which a task is at work goes down.
  void CrashUnder(const std::string& job, uint32_t task) {
    const auto& active = world.ledger().FindJob(job)->tasks[task].active;
    if (!active.empty()) {
      world.Crash(active[0].worker, Millis(3'000));
    }
  }

  // A wave asks the first task of "watch" to leave, and its orders are lost for
  // a time, in which the worker of the second goes down. Returns the worker
  // that is to be left.
  std::string LoseStopOfFirstTask(Millis lost_for) {
    const scheduling::Job& watch = *world.ledger().FindJob("watch");
    const std::string leaving = watch.tasks[0].active[0].worker;
    world.weather.lost = 1;
    world.OpenWave({world.ledger().FindWorker(leaving)->info.host});
    world.Advance(Millis(300));
    world.Crash(watch.tasks[1].active[0].worker, Millis(60'000));
    world.Advance(lost_for);
    world.weather.lost = 0;
    return leaving;
  }

  uint32_t AtWork(const std::string& job) const {
    return world.ledger().FindJob(job)->active_runs;
  }

  void CheckClean() const {
    for (const std::string& violation : world.violations()) {
      FAIL_CHECK(violation);
    }
  }

  World world{11};
};

// Guards against a standing job that is given up for the crashes beside it.
TEST_CASE_FIXTURE(StandingServiceFixture,
                  "Dispatcher, persistent task beside a crash every few "
                  "seconds, its job stays") {
  for (int crash = 0; crash < 12; ++crash) {
    world.Submit("short-" + std::to_string(crash), {Step(8)});
    world.Advance(Millis(300));
    CrashUnder("watch", 0);
    world.Advance(Millis(5'500));
  }
  world.Advance(Millis(10'000));
  CHECK(world.StateOf("watch") == JobState::kRunning);
  CHECK(AtWork("watch") == 4);
  CheckClean();
}

// Guards against time at work that is forgotten with the leader that saw it.
TEST_CASE_FIXTURE(StandingServiceFixture,
                  "Dispatcher, leaders change before each crash, standing job "
                  "stays") {
  for (int crash = 0; crash < 8; ++crash) {
    world.Advance(Millis(12'000));
    world.Submit("short-" + std::to_string(crash), {Step(8)});
    world.ChangeLeader(Millis(200));
    CrashUnder("watch", 1);
  }
  world.Advance(Millis(12'000));
  CHECK(world.StateOf("watch") == JobState::kRunning);
  CHECK(AtWork("watch") == 4);
  CheckClean();
}

// Guards against sound tasks that are taken from their users with the one that
// crashes its workers.
TEST_CASE_FIXTURE(StandingServiceFixture,
                  "Dispatcher, one persistent task crashes its workers, it "
                  "alone is given up") {
  scheduling::StepSpec step = Step(3);
  step.is_persistent = true;
  step.may_miss = 1;
  world.crashing["culprit.0.0.1"] = Millis(10);
  world.Submit("culprit", {step});
  world.Advance(Millis(60'000));
  CHECK(world.StartsOf("culprit.0.0.1") <= 5);
  CHECK(AtWork("culprit") == 2);
  CHECK(world.StateOf("culprit") == JobState::kRunning);
  CHECK(AtWork("watch") == 4);
  CHECK(AtWork("audit") == 4);
  CheckClean();
}

// Guards against a caller who waits for a job of which nothing can run.
TEST_CASE_FIXTURE(StandingServiceFixture,
                  "Dispatcher, each task of a standing job crashes its "
                  "workers, the job fails") {
  scheduling::StepSpec step = Step(2);
  step.is_persistent = true;
  step.may_miss = 1;
  world.crashing["culprit.0.0.0"] = Millis(10);
  world.crashing["culprit.0.0.1"] = Millis(10);
  world.Submit("culprit", {step});
  world.Advance(Millis(90'000));
  CHECK(world.StartsOf("culprit.0.0.0") <= 5);
  CHECK(world.StartsOf("culprit.0.0.1") <= 5);
  CHECK(world.StateOf("culprit") == JobState::kFailed);
  CHECK(AtWork("watch") == 4);
  CheckClean();
}

// Guards against a task that fails for good and takes the standing tasks of its
// job with it.
TEST_CASE_FIXTURE(StandingServiceFixture,
                  "Dispatcher, a task beside standing ones fails for good, "
                  "they stay") {
  scheduling::StepSpec standing = Step(3);
  standing.is_persistent = true;
  standing.may_miss = 1;
  world.failing = 1;
  world.Submit("mixed", {standing, Step(1)});
  world.Advance(Millis(30'000));
  CHECK(AtWork("mixed") == 3);
  CheckClean();
}

// Guards against a stop that is sent again seconds after it was decided, when
// another task of its step has gone down.
TEST_CASE_FIXTURE(StandingServiceFixture,
                  "Wave, stop is not answered and another task goes down, the "
                  "stop is held back") {
  LoseStopOfFirstTask(Millis(4'700));
  world.Advance(Millis(20'000));
  CHECK(AtWork("watch") == 4);
  CHECK(world.maintained().size() == 1);
  CheckClean();
}

// Guards against a stop that is held back for the others of its step, though
// the caller has cancelled them all.
TEST_CASE_FIXTURE(StandingServiceFixture,
                  "Wave, stop is held back and the job is cancelled, all its "
                  "tasks end") {
  const std::string leaving = LoseStopOfFirstTask(Millis(1'000));
  world.Cancel("watch");
  world.Advance(Millis(3'000));
  CHECK(world.worker(leaving).runs().count({"watch", 0, 0, 0}) == 0);
  CheckClean();
}

}  // namespace
}  // namespace laurelhall::dispatch
