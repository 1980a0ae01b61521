// Guards against starts that exceed the capacity of a worker which shrinks
// while it runs. They come about in these ways:
// - An old announcement arrives after a newer one and restores the old
//   capacity, if announcements are applied in the order of their arrival.
// - A repeated start goes to a worker whose capacity has shrunk meanwhile, if
//   capacity is checked only when the start is planned.
// - A new leader, or one that was paused, starts tasks by the capacity that was
//   committed last, if the age of the committed capacity is unknown.

#include <doctest/doctest.h>

#include "world_checks.h"

namespace laurelhall::dispatch {
namespace {

scheduling::StepSpec Tasks(uint32_t count) {
  return Step(count, {}, Millis(800));
}

constexpr scheduling::Resources kSmallCapacity{1'000, 16'000, 0};

class ShrinkingCapacityFixture {
 protected:
  ShrinkingCapacityFixture() {
    world.AddWorkers(2);
    world.Advance(Millis(500));
  }

  // Shrinks a worker's capacity without any leader hearing of it, and advances
  // until the old capacity is no longer valid.
  void ShrinkUnreported(const std::string& worker) {
    world.Mute(worker, true);
    world.Resize(worker, kSmallCapacity);
    world.Advance(kOldCapacityValidFor);
  }

  // Checks that work completes within the new capacity after w0 is heard again.
  void CheckWorkResumes() {
    world.Submit("a", {Tasks(12)});
    world.Advance(Millis(1'000));
    world.Mute("w0", false);
    world.Advance(Millis(10'000));
    CHECK(world.StateOf("a") == scheduling::JobState::kSucceeded);
    CHECK(world.ledger().FindWorker("w0")->info.capacity == kSmallCapacity);
    CheckNoViolations(world);
  }

  // For this long the old capacity may still be used after it has shrunk.
  static constexpr Millis kOldCapacityValidFor{4'600};

  World world{7};
};

// Guards against an old announcement that overrides a newer one.
TEST_CASE_FIXTURE(ShrinkingCapacityFixture,
                  "Dispatcher, old announcement arrives late, newer capacity "
                  "is kept") {
  const scheduling::WorkerInfo before = world.ledger().FindWorker("w0")->info;
  world.Resize("w0", {3'000, 16'000, 0});
  world.Resize("w0", kSmallCapacity);
  world.Advance(Millis(5'000));
  world.Announce(before, 1);
  world.Advance(Millis(100));
  world.Submit("a", {Tasks(12)});
  world.Advance(Millis(10'000));
  CHECK(world.StateOf("a") == scheduling::JobState::kSucceeded);
  CHECK(world.ledger().FindWorker("w0")->info.capacity == kSmallCapacity);
  CheckNoViolations(world);
}

// Guards against a repeated start that no longer fits its worker.
TEST_CASE_FIXTURE(ShrinkingCapacityFixture,
                  "Dispatcher, capacity shrinks before a start is repeated, "
                  "task goes elsewhere") {
  for (int round = 0; round < 6; ++round) {
    world.call_faults.lost = 1;
    world.Submit("job-" + std::to_string(round), {Tasks(8)});
    world.Advance(Millis(300));
    world.Resize("w0", kSmallCapacity);
    world.Advance(Millis(4'600));
    world.call_faults.lost = 0;
    world.Advance(Millis(12'000));
    CHECK(world.StateOf("job-" + std::to_string(round)) ==
          scheduling::JobState::kSucceeded);
    world.Resize("w0", {4'000, 16'000, 0});
    world.Advance(Millis(1'000));
  }
  CheckNoViolations(world);
}

TEST_CASE_FIXTURE(ShrinkingCapacityFixture,
                  "Dispatcher, capacity shrinks to zero and grows, work "
                  "resumes") {
  world.Resize("w0", {});
  world.Resize("w1", {});
  world.Advance(Millis(500));
  world.Submit("a", {Tasks(4)});
  world.Advance(Millis(3'000));
  CHECK(world.ledger().FindJob("a")->active_runs == 0);
  world.Resize("w1", kSmallCapacity);
  world.Advance(Millis(8'000));
  CHECK(world.StateOf("a") == scheduling::JobState::kSucceeded);
  CheckNoViolations(world);
}

TEST_CASE_FIXTURE(ShrinkingCapacityFixture,
                  "Dispatcher, new leader does not hear of a capacity, nothing "
                  "starts by the old one") {
  ShrinkUnreported("w0");
  world.ChangeLeader(Millis(0));
  CheckWorkResumes();
}

TEST_CASE_FIXTURE(ShrinkingCapacityFixture,
                  "Dispatcher, new capacity is proposed and not committed, "
                  "nothing starts by the old one") {
  world.SlowCommits(Millis(6'000));
  world.Resize("w0", kSmallCapacity, Millis(10));
  world.Advance(Millis(100));
  world.Mute("w0", true);
  world.Advance(kOldCapacityValidFor);
  world.SlowCommits(Millis(5));
  world.ChangeLeader(Millis(1'100));
  CheckWorkResumes();
}

TEST_CASE_FIXTURE(ShrinkingCapacityFixture,
                  "Dispatcher, new capacity is announced to a frozen leader, "
                  "nothing starts by the old one") {
  world.Mute("w0", true);
  world.Resize("w0", kSmallCapacity);
  world.FreezeLeader(kOldCapacityValidFor, Millis(200));
  CheckWorkResumes();
}

TEST_CASE_FIXTURE(ShrinkingCapacityFixture,
                  "Dispatcher, leader is paused while a capacity shrinks, "
                  "nothing starts by the old one") {
  world.Mute("w0", true);
  world.Resize("w0", kSmallCapacity);
  world.PauseLeader(kOldCapacityValidFor);
  CheckWorkResumes();
}

TEST_CASE_FIXTURE(ShrinkingCapacityFixture,
                  "Dispatcher, leaders change three times while a capacity "
                  "shrinks, nothing starts by the old one") {
  world.Mute("w0", true);
  world.Resize("w0", kSmallCapacity);
  for (int change = 0; change < 3; ++change) {
    world.Advance(kOldCapacityValidFor / 3);
    world.ChangeLeader(Millis(300));
  }
  CheckWorkResumes();
}

// An announcement of the old capacity lies unread at a frozen host, which
// passes it on when it resumes.
TEST_CASE_FIXTURE(ShrinkingCapacityFixture,
                  "Dispatcher, old announcement is passed on late, nothing "
                  "starts by the old capacity") {
  world.Announce(world.ledger().FindWorker("w0")->info, 1);
  world.Mute("w0", true);
  world.Resize("w0", kSmallCapacity);
  world.FreezeLeader(kOldCapacityValidFor, Millis(0));
  world.Advance(Millis(500));
  CheckWorkResumes();
}

// A start that an earlier leader could not deliver is planned elsewhere when
// its worker does not report its capacity.
TEST_CASE_FIXTURE(ShrinkingCapacityFixture,
                  "Dispatcher, start of an earlier leader and unheard worker, "
                  "task goes elsewhere") {
  world.Mute("w0", true);
  world.call_faults.lost = 1;
  world.Submit("a", {Tasks(8)});
  world.Resize("w0", kSmallCapacity);
  world.Advance(kOldCapacityValidFor);
  world.ChangeLeader(Millis(0));
  world.call_faults.lost = 0;
  world.Advance(Millis(12'000));
  CHECK(world.StateOf("a") == scheduling::JobState::kSucceeded);
  CheckNoViolations(world);
}

// The announcement and the starts are in flight at the same time: the starts of
// a worker are checked together against the capacity that is known by then.
TEST_CASE_FIXTURE(ShrinkingCapacityFixture,
                  "Dispatcher, capacity shrinks while starts are planned, they "
                  "are held back together") {
  world.SlowCommits(Millis(300));
  world.Resize("w0", kSmallCapacity, Millis(10));
  world.Advance(Millis(50));
  world.Submit("a", {Tasks(8)});
  world.Advance(Millis(800));
  CHECK(scheduling::Fits(world.worker("w0").Used(), kSmallCapacity));
  world.SlowCommits(Millis(5));
  world.Advance(Millis(10'000));
  CHECK(world.StateOf("a") == scheduling::JobState::kSucceeded);
  CheckNoViolations(world);
}

// A follower answers an announcement that matches the committed capacity, even
// while another capacity is still to be committed. Once that is committed, it
// passes the next announcement on to the leader.
TEST_CASE_FIXTURE(ShrinkingCapacityFixture,
                  "Dispatcher, follower answers while another announcement is "
                  "being committed, the next one is passed on") {
  world.Resize("w0", kSmallCapacity);
  world.Advance(Millis(500));
  const scheduling::WorkerInfo small = world.ledger().FindWorker("w0")->info;
  scheduling::WorkerInfo large = small;
  large.capacity = {4'000, 16'000, 0};
  world.AskFollower(AnnounceWorker{small, 3, WallTime(Millis(1))});
  world.SlowCommits(Millis(300));
  world.Announce(large, 4);
  world.Mute("w0", true);
  const AnnounceWorker announcement{small, 5, WallTime(Millis(1))};
  CHECK(world.AskFollower(announcement).outcome == Outcome::kOk);
  world.Advance(Millis(500));
  CHECK(world.ledger().FindWorker("w0")->info.capacity == large.capacity);
  CHECK(world.AskFollower(announcement).outcome == Outcome::kUnavailable);
}

// Guards against a change of leader that delays work.
TEST_CASE_FIXTURE(ShrinkingCapacityFixture,
                  "Dispatcher, new leader and workers that others heard "
                  "lately, work starts at once") {
  world.AddWorkers(38);
  world.Advance(Millis(4'000));
  for (int change = 0; change < 4; ++change) {
    world.ChangeLeader(Millis(0));
    const uint64_t before = world.starts();
    world.Submit("job-" + std::to_string(change), {Tasks(160)});
    world.Advance(Millis(400));
    CHECK(world.starts() - before == 160);
    world.Advance(Millis(1'300));
  }
  CheckNoViolations(world);
}

// More workers than one message about heard workers can carry.
TEST_CASE_FIXTURE(ShrinkingCapacityFixture,
                  "Dispatcher, new leader and hundreds of workers that others "
                  "heard lately, all of them get work") {
  world.AddWorkers(998);
  world.Advance(Millis(4'000));
  scheduling::StepSpec large = Tasks(1'000);
  large.need = world.capacity;
  world.ChangeLeader(Millis(0));
  world.Submit("a", {large});
  world.Advance(Millis(700));
  CHECK(world.starts() == 1'000);
  CheckNoViolations(world);
}

TEST_CASE(
    "Dispatcher, age of committed capacity is ignored, starts exceed the "
    "capacity") {
  DispatchMutations mutations;
  mutations.is_capacity_age_ignored = true;
  World world(7, mutations);
  world.AddWorkers(2);
  world.Advance(Millis(500));
  world.Mute("w0", true);
  world.Resize("w0", kSmallCapacity);
  world.Advance(Millis(4'600));
  world.ChangeLeader(Millis(0));
  world.Submit("a", {Tasks(12)});
  world.Advance(Millis(1'000));
  CHECK_FALSE(world.violations().empty());
}

}  // namespace
}  // namespace laurelhall::dispatch
