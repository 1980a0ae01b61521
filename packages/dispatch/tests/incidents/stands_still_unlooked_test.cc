// Guards against stopping running tasks as stalled while commits are slow. No
// hold call is made while the ends of the last one are being committed. Answers
// to orders still come and count as contact with the worker, but do not list
// its tasks. The time without progress was measured up to the last contact
// instead of the last list, so up to 231 tasks of 57 workers were stopped while
// only 14 workers were cut off.

#include <doctest/doctest.h>

#include "world.h"

namespace laurelhall::dispatch {
namespace {

// One task that takes longer than its estimate, one whose end delays the next
// hold call while commits are slow, and one that is cancelled meanwhile.
class DelayedHoldFixture {
 protected:
  DelayedHoldFixture() {
    world.AddWorkers(1);
    world.Advance(Millis(1'000));
    world.run_time_factor = 7;
    world.Submit("long", {Task(Millis(1'000))});
    world.Submit("brief", {Task(Millis(100))});
    scheduling::StepSpec lasting = Task(Millis(100));
    lasting.is_persistent = true;
    world.Submit("lasting", {lasting});
    world.Advance(Millis(500));
  }

  static scheduling::StepSpec Task(Millis estimate) {
    scheduling::StepSpec step;
    step.count = 1;
    step.need = {1'000, 500, 0};
    step.estimate = estimate;
    return step;
  }

  World world{7};
};

TEST_CASE_FIXTURE(DelayedHoldFixture,
                  "Dispatcher, no hold call for a while, running tasks are "
                  "not stopped") {
  REQUIRE(world.starts() == 3);
  world.SlowCommits(Millis(4'000));
  world.Advance(Millis(3'200));
  world.Cancel("lasting");
  world.Advance(Millis(300));
  world.SlowCommits(Millis(5));
  world.Advance(Millis(10'000));
  CHECK(world.starts() == 3);
  CHECK(world.StateOf("long") == scheduling::JobState::kSucceeded);
}

TEST_CASE_FIXTURE(DelayedHoldFixture,
                  "Dispatcher, hold calls go on, running tasks are not "
                  "stopped") {
  world.Advance(Millis(3'200));
  world.Cancel("lasting");
  world.Advance(Millis(10'000));
  CHECK(world.starts() == 3);
  CHECK(world.StateOf("long") == scheduling::JobState::kSucceeded);
}

}  // namespace
}  // namespace laurelhall::dispatch
