// Guards against giving up a job with persistent tasks because of crashes that
// they did not cause. Such tasks run all day, so they can be lost with five
// crashing workers. The fault was that each of these crashes counted against
// the task, whatever the evidence, and that giving up the job stopped its
// healthy tasks together, even while one of them was away, without regard to
// may_miss.

#include <doctest/doctest.h>

#include "world_checks.h"

namespace laurelhall::dispatch {
namespace {

using scheduling::JobState;

// Eight workers and two jobs of four persistent tasks each, of which one may be
// away.
class PersistentServiceFixture {
 protected:
  PersistentServiceFixture() {
    world.AddWorkers(8);
    world.Advance(Millis(500));
    scheduling::StepSpec step = Step(4);
    step.is_persistent = true;
    step.max_tasks_per_worker = 1;
    step.may_miss = 1;
    world.Submit("watch", {step});
    world.Submit("audit", {step});
    world.Advance(Millis(3'000));
  }

  // Crashes the worker on which the task runs, if any.
  void CrashWorkerOf(const std::string& job, uint32_t task) {
    const auto& active = world.ledger().FindJob(job)->tasks[task].active;
    if (!active.empty()) {
      world.Crash(active[0].worker, Millis(3'000));
    }
  }

  // Opens a wave on the host of the first task of "watch" and loses all orders
  // for `lost_for` more. Meanwhile the worker of the second task crashes.
  // Returns the worker of the first task.
  std::string LoseStopOfFirstTask(Millis lost_for) {
    const scheduling::Job& watch = *world.ledger().FindJob("watch");
    const std::string leaving = watch.tasks[0].active[0].worker;
    world.call_faults.lost = 1;
    world.OpenWave({world.ledger().FindWorker(leaving)->info.host});
    world.Advance(Millis(300));
    world.Crash(watch.tasks[1].active[0].worker, Millis(60'000));
    world.Advance(lost_for);
    world.call_faults.lost = 0;
    return leaving;
  }

  uint32_t ActiveRuns(const std::string& job) const {
    return world.ledger().FindJob(job)->active_runs;
  }

  World world{11};
};

// Guards against giving up a persistent job for crashes caused by other tasks.
TEST_CASE_FIXTURE(PersistentServiceFixture,
                  "Dispatcher, persistent task beside a crash every few "
                  "seconds, its job keeps running") {
  for (int crash = 0; crash < 12; ++crash) {
    world.Submit("short-" + std::to_string(crash), {Step(8)});
    world.Advance(Millis(300));
    CrashWorkerOf("watch", 0);
    world.Advance(Millis(5'500));
  }
  world.Advance(Millis(10'000));
  CHECK(world.StateOf("watch") == JobState::kRunning);
  CHECK(ActiveRuns("watch") == 4);
  CheckNoViolations(world);
}

// Guards against losing the observed time at work when the leader changes.
TEST_CASE_FIXTURE(PersistentServiceFixture,
                  "Dispatcher, leaders change before each crash, persistent "
                  "job keeps running") {
  for (int crash = 0; crash < 8; ++crash) {
    world.Advance(Millis(12'000));
    world.Submit("short-" + std::to_string(crash), {Step(8)});
    world.ChangeLeader(Millis(200));
    CrashWorkerOf("watch", 1);
  }
  world.Advance(Millis(12'000));
  CHECK(world.StateOf("watch") == JobState::kRunning);
  CHECK(ActiveRuns("watch") == 4);
  CheckNoViolations(world);
}

// Guards against giving up healthy tasks of a job together with the task that
// crashes its workers.
TEST_CASE_FIXTURE(PersistentServiceFixture,
                  "Dispatcher, one persistent task crashes its workers, only "
                  "this task is given up") {
  scheduling::StepSpec step = Step(3);
  step.is_persistent = true;
  step.may_miss = 1;
  world.crashing["culprit.0.0.1"] = Millis(10);
  world.Submit("culprit", {step});
  world.Advance(Millis(60'000));
  CHECK(world.StartsOf("culprit.0.0.1") <= 5);
  CHECK(ActiveRuns("culprit") == 2);
  CHECK(world.StateOf("culprit") == JobState::kRunning);
  CHECK(ActiveRuns("watch") == 4);
  CHECK(ActiveRuns("audit") == 4);
  CheckNoViolations(world);
}

// Guards against a job that stays open although none of its tasks can run.
TEST_CASE_FIXTURE(PersistentServiceFixture,
                  "Dispatcher, all tasks of a persistent job crash their "
                  "workers, job fails") {
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
  CHECK(ActiveRuns("watch") == 4);
  CheckNoViolations(world);
}

// Guards against stopping the persistent tasks of a job when another task of it
// fails for good.
TEST_CASE_FIXTURE(PersistentServiceFixture,
                  "Dispatcher, task beside persistent ones fails for good, "
                  "they keep running") {
  scheduling::StepSpec persistent_step = Step(3);
  persistent_step.is_persistent = true;
  persistent_step.may_miss = 1;
  world.failing = 1;
  world.Submit("mixed", {persistent_step, Step(1)});
  world.Advance(Millis(30'000));
  CHECK(ActiveRuns("mixed") == 3);
  CheckNoViolations(world);
}

// Guards against sending a lost stop again after another task of its step has
// gone down.
TEST_CASE_FIXTURE(PersistentServiceFixture,
                  "Wave, stop is not answered and another task goes down, "
                  "stop is held back") {
  LoseStopOfFirstTask(Millis(4'700));
  world.Advance(Millis(20'000));
  CHECK(ActiveRuns("watch") == 4);
  CHECK(world.maintained().size() == 1);
  CheckNoViolations(world);
}

// Guards against holding a stop back for the other tasks of its step after the
// caller has cancelled the job.
TEST_CASE_FIXTURE(PersistentServiceFixture,
                  "Wave, stop is held back and its job is cancelled, all tasks "
                  "end") {
  const std::string leaving = LoseStopOfFirstTask(Millis(1'000));
  world.Cancel("watch");
  world.Advance(Millis(3'000));
  CHECK(world.worker(leaving).runs().count({"watch", 0, 0, 0}) == 0);
  CheckNoViolations(world);
}

}  // namespace
}  // namespace laurelhall::dispatch
