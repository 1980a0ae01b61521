// Seen: by reading, when the room of a worker may shrink while it runs. How: an
// older word of a worker that arrives after a newer one set its room back to
// what it had been, and a start that was sent again went to a worker whose room
// had shrunk meanwhile. Cause: words were taken as they came, and room was
// looked at only when a start was planned.

#include <doctest/doctest.h>

#include "world.h"

namespace laurelhall::dispatch {
namespace {

scheduling::StepSpec Tasks(uint32_t count) {
  return Step(count, {}, Millis(800));
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

// Guards against a start that is repeated when its place is gone.
TEST_CASE_FIXTURE(ShrinkingRoomFixture,
                  "Dispatcher, room shrinks before a start is repeated, it "
                  "goes elsewhere") {
  for (int round = 0; round < 6; ++round) {
    world.weather.lost = 1;
    world.Submit("job-" + std::to_string(round), {Tasks(8)});
    world.Advance(Millis(300));
    world.Resize("w0", kSmall);
    world.Advance(Millis(4'600));
    world.weather.lost = 0;
    world.Advance(Millis(12'000));
    CHECK(world.StateOf("job-" + std::to_string(round)) ==
          scheduling::JobState::kSucceeded);
    world.Resize("w0", {4'000, 16'000, 0});
    world.Advance(Millis(1'000));
  }
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
