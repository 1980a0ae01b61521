// Guards against taking the leader's own delay for that of its workers. A
// call's timeout runs on the leader's thread. On control hosts with 0.20 cores
// that thread came round only every 0.1 to 0.25 s, so that answers which had
// long come were read after the timeout of 120 ms, learnt from earlier answers.
// With a `tick_lag_ms` of 150, the `dispatch workers` lines showed 61 of 323
// workers as "suspect" and 27 as "silent", about a fifth, though each had
// answered, and running tasks were stopped and started elsewhere.

#include <doctest/doctest.h>

#include "world_checks.h"

namespace laurelhall::dispatch {
namespace {

// A leader that has measured how long answers take while its thread is idle,
// and whose thread then comes round only four times a second.
class BusyLeaderFixture {
 protected:
  BusyLeaderFixture() {
    world.AddWorkers(6);
    for (int job = 0; job < 10; ++job) {
      world.Submit("calm-" + std::to_string(job), {Tasks(6)});
      world.Advance(Millis(1'000));
    }
    world.SlowThreads(Millis(250));
    world.Advance(Millis(1'000));
  }

  static scheduling::StepSpec Tasks(uint32_t count) {
    scheduling::StepSpec step;
    step.count = count;
    step.need = {1'000, 500, 0};
    step.estimate = Millis(500);
    return step;
  }

  World world{7};
};

TEST_CASE_FIXTURE(BusyLeaderFixture,
                  "Dispatcher, thread is slow, answers to orders are counted") {
  world.Submit("a", {Tasks(20)});
  world.Advance(Millis(4'000));
  CHECK(world.unknown_calls() == 0);
  CHECK(world.StateOf("a") == scheduling::JobState::kSucceeded);
}

TEST_CASE_FIXTURE(BusyLeaderFixture,
                  "Dispatcher, thread is slow, persistent tasks keep running") {
  scheduling::StepSpec step = Tasks(12);
  step.is_persistent = true;
  world.Submit("p", {step});
  world.Advance(Millis(10'000));
  CHECK(world.ledger().FindJob("p")->active_runs == 12);
  CHECK(world.starts() == 60 + 12);
  CheckNoViolations(world);
}

}  // namespace
}  // namespace laurelhall::dispatch
