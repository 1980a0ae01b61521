// Guards against a done task that runs again on the next incarnation of its
// worker: a repeated start was carried out late, and the next incarnation took
// it, since all calls received by then carried the previous one's fence.

#include <doctest/doctest.h>

#include "world_checks.h"

namespace laurelhall::dispatch {
namespace {

/// The first start of a task is on its way for 2 to 12 s. The task was started
/// by a second one, and is done, when its worker restarts under its id.
class LateStartFixture {
 protected:
  void RestartAfter(Millis wait) {
    CAPTURE(wait.count());
    World world(7);
    world.AddWorkers(1);
    world.Advance(Millis(1'000));
    world.call_faults.late = 1;
    world.Submit("a", {Step(1, {}, Millis(200))});
    world.Advance(Millis(200));
    REQUIRE(world.starts() == 0);
    world.call_faults.late = 0;
    world.Advance(Millis(1'300));
    REQUIRE(world.StateOf("a") == scheduling::JobState::kSucceeded);
    REQUIRE(world.starts() == 1);
    world.Advance(wait);
    world.CrashAndRestart("w0", Millis(150), Millis(9'000));
    world.Advance(Millis(14'000));
    CHECK(world.starts() == 1);
    CheckNoViolations(world);
  }
};

// The next incarnation holds its first call for 2 s, and has received nothing
// else by then.
TEST_CASE_FIXTURE(LateStartFixture,
                  "Dispatcher, worker restarts under its id while a start is "
                  "late, does not carry it out") {
  for (Millis wait{0}; wait < Millis(11'000); wait += Millis(250)) {
    RestartAfter(wait);
  }
}

// Guards against a start that is never sent again: it reached its worker after
// an order with a later fence of the same leader, and was refused.
TEST_CASE(
    "Dispatcher, hold calls are reset while starts are under way, the tasks "
    "are done") {
  World world(7);
  world.AddWorkers(1);
  world.Advance(Millis(1'500));
  world.SlowStarts(Millis(280));
  for (int round = 0; round < 10; ++round) {
    world.Submit("job-" + std::to_string(round), {Step(2, {}, Millis(100))});
    world.Advance(Millis(20 + round));
    world.ResetHolds();
    world.Advance(Millis(2'000));
  }
  world.Advance(Millis(20'000));
  for (int round = 0; round < 10; ++round) {
    CAPTURE(round);
    CHECK(world.StateOf("job-" + std::to_string(round)) ==
          scheduling::JobState::kSucceeded);
  }
  CHECK(world.starts() == 20);
  CheckNoViolations(world);
}

}  // namespace
}  // namespace laurelhall::dispatch
