// Seen: up to 231 tasks of 57 workers stopped as standing still on a day on
// which 14 workers were cut off, all of them while commits were slow.
// How: no look goes out while the ends of the last one are being committed.
// Answers to orders come meanwhile and count as word of the worker, but tell
// nothing of its tasks.
// Cause: how long a task stands still is counted up to the last word of any
// kind, not up to the last list.

#include <doctest/doctest.h>

#include "world.h"

namespace laurelhall::dispatch {
namespace {

// One task that takes longer than its estimate, one whose end keeps the next
// look waiting, and one that is cancelled then.
class UnlookedWorkerFixture {
 protected:
  UnlookedWorkerFixture() {
    world.AddWorkers(1);
    world.Advance(Millis(1'000));
    world.stretch = 7;
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

TEST_CASE_FIXTURE(UnlookedWorkerFixture,
                  "Dispatcher, no look for a while, running tasks stay") {
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

TEST_CASE_FIXTURE(UnlookedWorkerFixture,
                  "Dispatcher, looks go on, running tasks stay") {
  world.Advance(Millis(3'200));
  world.Cancel("lasting");
  world.Advance(Millis(10'000));
  CHECK(world.starts() == 3);
  CHECK(world.StateOf("long") == scheduling::JobState::kSucceeded);
}

}  // namespace
}  // namespace laurelhall::dispatch
