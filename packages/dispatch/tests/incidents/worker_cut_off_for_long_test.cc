// Guards against a worker that is never used again after it was cut off for
// longer than it is remembered: it counted as gone for good, while each of its
// announcements was answered with success.

#include <doctest/doctest.h>

#include <random>

#include "three_workers_fixture.h"

namespace laurelhall::dispatch {
namespace {

using scheduling::JobState;
using scheduling::WorkerEndCause;

class LongCutFixture : public ThreeWorkersFixture {
 protected:
  // Long enough for the worker to be forgotten.
  void CutForLong(const std::string& worker) {
    world.Cut(worker, true);
    world.Advance(Millis(18'000));
    REQUIRE(world.ledger().FindWorker(worker) == nullptr);
    CHECK(world.ledger().EndCauseOf(worker) == WorkerEndCause::kSilent);
    world.Cut(worker, false);
  }
};

TEST_CASE_FIXTURE(LongCutFixture,
                  "Dispatcher, worker cut off for 18 s, is used again") {
  CutForLong("w0");
  world.Advance(Millis(4'000));
  CHECK(IsUsed("w0"));
  CheckNoViolations(world);
}

TEST_CASE_FIXTURE(LongCutFixture,
                  "Dispatcher, worker cut off twice, is used again") {
  CutForLong("w0");
  world.Advance(Millis(4'000));
  CutForLong("w0");
  world.Advance(Millis(4'000));
  CHECK(IsUsed("w0"));
  CheckNoViolations(world);
}

TEST_CASE_FIXTURE(LongCutFixture,
                  "Dispatcher, all workers cut off for 18 s, are used again") {
  for (const char* worker : {"w0", "w1", "w2"}) {
    world.Cut(worker, true);
  }
  world.Advance(Millis(18'000));
  for (const char* worker : {"w0", "w1", "w2"}) {
    world.Cut(worker, false);
  }
  world.Advance(Millis(4'000));
  for (const char* worker : {"w0", "w1", "w2"}) {
    CHECK(IsUsed(worker));
  }
}

TEST_CASE_FIXTURE(LongCutFixture,
                  "Dispatcher, control hosts restart during a long cut, the "
                  "worker is used again") {
  world.Cut("w0", true);
  world.Advance(Millis(18'000));
  world.RestartControlHosts();
  world.Advance(Millis(1'000));
  world.Cut("w0", false);
  world.Advance(Millis(4'000));
  CHECK(IsUsed("w0"));
  CheckNoViolations(world);
}

// The first change comes before the worker is forgotten, the second one after.
// A new leader gives each worker its time anew.
TEST_CASE_FIXTURE(LongCutFixture,
                  "Dispatcher, leader changes twice during a long cut, the "
                  "worker is used again") {
  world.Submit("a", {Step(12, {}, Millis(3'000))});
  world.Advance(Millis(500));
  world.Cut("w0", true);
  world.Advance(Millis(8'000));
  world.ElectOtherLeader(Millis(500));
  world.Advance(Millis(18'000));
  REQUIRE(world.ledger().FindWorker("w0") == nullptr);
  world.ElectOtherLeader(Millis(500));
  world.Advance(Millis(2'000));
  world.Cut("w0", false);
  world.Advance(Millis(4'000));
  CHECK(world.StateOf("a") == JobState::kSucceeded);
  CHECK(IsUsed("w0"));
  CheckNoViolations(world);
}

// A run that lapsed and was started elsewhere is not run a second time by the
// worker's return, and its lists from before the cut end nothing.
TEST_CASE_FIXTURE(LongCutFixture,
                  "Dispatcher, runs lapse in a long cut, run once at a time") {
  world.Submit("a", {Step(12, {}, Millis(3'000))});
  world.Advance(Millis(500));
  REQUIRE(!world.ledger().FindWorker("w0")->active.empty());
  CutForLong("w0");
  world.Advance(Millis(6'000));
  CHECK(world.StateOf("a") == JobState::kSucceeded);
  CHECK(IsUsed("w0"));
  CheckNoViolations(world);
}

// Guards against late orders of the time before the cut.
TEST_CASE_FIXTURE(LongCutFixture,
                  "Dispatcher, starts are delivered after a long cut, are "
                  "refused") {
  world.call_faults.late = 0.5;
  world.Submit("a", {Step(40, {}, Millis(400))});
  world.Advance(Millis(500));
  CutForLong("w0");
  world.call_faults.late = 0;
  world.Advance(Millis(12'000));
  CHECK(world.StateOf("a") == JobState::kSucceeded);
  CheckNoViolations(world);
}

TEST_CASE_FIXTURE(LongCutFixture,
                  "Dispatcher, announcement of a crashed worker comes late, is "
                  "given no work and is gone again") {
  const scheduling::WorkerInfo info = world.ledger().FindWorker("w0")->info;
  world.Crash("w0", Millis(0));
  world.Advance(Millis(18'000));
  REQUIRE(world.ledger().FindWorker("w0") == nullptr);
  world.Announce(info, 1);
  world.Advance(Millis(200));
  CHECK_FALSE(IsUsed("w0"));
  world.Advance(Millis(18'000));
  CHECK(world.ledger().FindWorker("w0") == nullptr);
  CheckNoViolations(world);
}

TEST_CASE_FIXTURE(LongCutFixture,
                  "Dispatcher, announcement comes after the host's next worker "
                  "registered, is ignored") {
  const scheduling::WorkerInfo info = world.ledger().FindWorker("w0")->info;
  world.Crash("w0", Millis(18'000));
  world.Advance(Millis(19'000));
  REQUIRE(world.ledger().FindWorker("w3") != nullptr);
  const uint64_t told_before = world.ended_announcements();
  world.Announce(info, 9);
  world.Advance(Millis(200));
  CHECK(world.ledger().FindWorker("w0") == nullptr);
  CHECK(world.ledger().EndCauseOf("w0") == WorkerEndCause::kReplaced);
  CHECK(world.ended_announcements() == told_before + 1);
}

TEST_CASE(
    "Dispatcher, one worker finishes a task in a long cut, the task runs "
    "once") {
  World world(7);
  world.AddWorkers(1);
  world.Advance(Millis(1'000));
  world.Submit("a", {Step(1, {}, Millis(1'500))});
  world.Advance(Millis(500));
  REQUIRE(world.starts() == 1);
  world.Cut("w0", true);
  world.Advance(Millis(18'000));
  REQUIRE(world.ledger().FindWorker("w0") == nullptr);
  world.Cut("w0", false);
  world.Advance(Millis(6'000));
  CHECK(world.StateOf("a") == JobState::kSucceeded);
  CHECK(world.starts() == 1);
}

// The task has no other place until long after the cut: its end is read before
// it could be started again.
TEST_CASE(
    "Dispatcher, task ends behind a long cut and waits for a place, is "
    "not started again") {
  World world(7);
  world.AddWorkers(2);
  world.Advance(Millis(1'000));
  world.Submit("a", {Step(8, {}, Millis(1'500))});
  world.Advance(Millis(500));
  REQUIRE(world.ledger().FindWorker("w0")->active.size() == 4);
  world.Cut("w0", true);
  world.Advance(Millis(1'500));
  world.Submit("long", {Step(4, {}, Millis(25'000))});
  world.Advance(Millis(16'500));
  REQUIRE(world.ledger().FindWorker("w0") == nullptr);
  world.Cut("w0", false);
  world.Advance(Millis(20'000));
  CHECK(world.StateOf("a") == JobState::kSucceeded);
  CHECK(world.starts() == 12);
  CheckNoViolations(world);
}

// Long cuts with changes of leaders, late orders and crashes.
TEST_CASE("Schedule, workers are cut off for long, all tasks are done once") {
  for (const uint64_t seed : SeedsToRun(25)) {
    CAPTURE(seed);
    World world(seed);
    world.AddWorkers(6);
    world.call_faults = {0.02, 0.02, 0.02, 0.01};
    std::mt19937_64& random = world.random();
    const auto any = [&random](uint64_t below) {
      return std::to_string(random() % below);
    };
    for (int round = 0; round < 12; ++round) {
      world.Submit("job-" + std::to_string(round), {Step(8), Step(4, {0})});
      const std::string cut = "w" + any(6);
      const std::string other = "w" + any(6);
      world.Cut(cut, true);
      world.Advance(Millis(100 + random() % 1'500));
      if (round % 3 == 0) {
        world.ElectOtherLeader(Millis(500));
      }
      if (round % 4 == 1) {
        world.CrashAndRestart(other, Millis(500 + random() % 20'000));
      }
      world.Advance(Millis(14'000 + random() % 6'000));
      world.Cut(cut, false);
      world.Advance(Millis(random() % 4'000));
    }
    world.call_faults = {};
    world.Advance(Millis(30'000));
    for (int round = 0; round < 12; ++round) {
      CHECK(world.StateOf("job-" + std::to_string(round)) ==
            JobState::kSucceeded);
    }
    for (int worker = 0; worker < 6; ++worker) {
      CHECK(world.ledger().FindWorker("w" + std::to_string(worker)) != nullptr);
    }
    CheckNoViolations(world);
  }
}

}  // namespace
}  // namespace laurelhall::dispatch
