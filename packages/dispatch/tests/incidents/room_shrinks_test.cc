// Seen: by reading, when the room of a worker may shrink while it runs. How: an
// older word of a worker that arrives after a newer one set its room back to
// what it had been. Cause: words were taken as they came.

#include <doctest/doctest.h>

#include "world.h"

namespace laurelhall::dispatch {
namespace {

scheduling::StepSpec Tasks(uint32_t count) {
  scheduling::StepSpec step;
  step.count = count;
  step.need = {1'000, 500, 0};
  step.estimate = Millis(800);
  return step;
}

constexpr scheduling::Resources kSmall{1'000, 16'000, 0};

class ShrinkingRoomFixture {
 protected:
  ShrinkingRoomFixture() {
    world.AddWorkers(2);
    world.Advance(Millis(500));
  }

  void CheckClean() const {
    for (const std::string& violation : world.violations()) {
      FAIL_CHECK(violation);
    }
  }

  World world{7};
};

// Guards against an older word that undoes a newer one.
TEST_CASE_FIXTURE(ShrinkingRoomFixture,
                  "Dispatcher, older word arrives late, room stays as told") {
  const scheduling::WorkerInfo before = world.ledger().FindWorker("w0")->info;
  world.Resize("w0", {3'000, 16'000, 0});
  world.Resize("w0", kSmall);
  world.Advance(Millis(5'000));
  world.Announce(before, 1);
  world.Advance(Millis(100));
  world.Submit("a", {Tasks(12)});
  world.Advance(Millis(10'000));
  CHECK(world.StateOf("a") == scheduling::JobState::kSucceeded);
  CHECK(world.ledger().FindWorker("w0")->info.capacity == kSmall);
  CheckClean();
}

TEST_CASE_FIXTURE(ShrinkingRoomFixture,
                  "Dispatcher, room shrinks to nothing and grows, work goes "
                  "on") {
  world.Resize("w0", {});
  world.Resize("w1", {});
  world.Advance(Millis(500));
  world.Submit("a", {Tasks(4)});
  world.Advance(Millis(3'000));
  CHECK(world.ledger().FindJob("a")->active_runs == 0);
  world.Resize("w1", kSmall);
  world.Advance(Millis(8'000));
  CHECK(world.StateOf("a") == scheduling::JobState::kSucceeded);
  CheckClean();
}

}  // namespace
}  // namespace laurelhall::dispatch
