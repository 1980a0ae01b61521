// Seen: a task whose run had ended as done, and whose end had been noted, was
// started again. How: a worker that had crashed came back under its id, counted
// its ends from 1, and was told to forget those up to the number of its life
// before. Cause: what is known of a worker's life was kept by the worker's id.

#include <doctest/doctest.h>

#include "world.h"

namespace laurelhall::dispatch {
namespace {

using scheduling::JobState;

// Three workers that have told of some ends each.
class RebornWorkerFixture {
 protected:
  RebornWorkerFixture() {
    world.AddWorkers(3);
    world.Advance(Millis(500));
    for (int round = 0; round < 6; ++round) {
      Submit(12);
      world.Advance(Millis(800));
    }
  }

  void Submit(uint32_t tasks) {
    m_jobs.push_back("job-" + std::to_string(m_jobs.size()));
    world.Submit(m_jobs.back(), {Step(tasks)});
  }

  void CheckAllDone() const {
    for (const std::string& id : m_jobs) {
      CHECK_MESSAGE(world.StateOf(id) == JobState::kSucceeded, id);
    }
  }

  void CheckClean() const {
    for (const std::string& violation : world.violations()) {
      FAIL_CHECK(violation);
    }
  }

  World world{7};

 private:
  std::vector<std::string> m_jobs;
};

// Guards against ends of a new life that are forgotten unread.
TEST_CASE_FIXTURE(
    RebornWorkerFixture,
    "Dispatcher, worker is back under its id, its ends are read") {
  world.CrashAndBeginAgain("w0", Millis(2'000));
  world.Advance(Millis(2'500));
  for (int round = 0; round < 5; ++round) {
    Submit(12);
    world.Advance(Millis(800));
  }
  world.Advance(Millis(10'000));
  CheckAllDone();
  CheckClean();
}

// Guards against runs of the life before that hold its room for good.
TEST_CASE_FIXTURE(RebornWorkerFixture,
                  "Dispatcher, worker crashes at work and is back, its tasks "
                  "go on") {
  Submit(12);
  world.Advance(Millis(100));
  REQUIRE(!world.ledger().FindWorker("w0")->active.empty());
  world.CrashAndBeginAgain("w0", Millis(1'000), Millis(5'000));
  world.Advance(Millis(4'000));
  CheckAllDone();
  CHECK(world.ledger().FindWorker("w0")->used == scheduling::Resources());
  CheckClean();
}

// Guards against a lease that is counted on the clock of the life before.
TEST_CASE_FIXTURE(RebornWorkerFixture,
                  "Dispatcher, worker is back and then cut off, its lease runs "
                  "out") {
  world.CrashAndBeginAgain("w0", Millis(1'000));
  world.Advance(Millis(2'000));
  Submit(12);
  world.Advance(Millis(100));
  REQUIRE(!world.ledger().FindWorker("w0")->active.empty());
  world.Cut("w0", true);
  world.Advance(Millis(12'000));
  CheckAllDone();
  CheckClean();
}

// Guards against a worker that counts as gone, or as draining, for good.
TEST_CASE_FIXTURE(RebornWorkerFixture,
                  "Dispatcher, worker is back long after, is given work") {
  world.CrashAndBeginAgain("w0", Millis(25'000));
  world.Advance(Millis(24'000));
  REQUIRE(world.ledger().FindWorker("w0") == nullptr);
  world.Advance(Millis(3'000));
  Submit(12);
  world.Advance(Millis(100));
  CHECK(world.ledger().FindWorker("w0")->active.size() == 4);
}

TEST_CASE_FIXTURE(RebornWorkerFixture,
                  "Dispatcher, worker drained before it is back, is given "
                  "work") {
  scheduling::WorkerInfo draining = world.ledger().FindWorker("w0")->info;
  draining.is_draining = true;
  world.Announce(draining, 9);
  world.Advance(Millis(500));
  REQUIRE(world.ledger().FindWorker("w0")->info.is_draining);
  world.CrashAndBeginAgain("w0", Millis(1'000));
  world.Advance(Millis(2'000));
  Submit(12);
  world.Advance(Millis(100));
  CHECK(world.ledger().FindWorker("w0")->active.size() == 4);
}

// Guards against words of the life before that come late.
TEST_CASE_FIXTURE(RebornWorkerFixture,
                  "Dispatcher, words of the life before come late, are passed "
                  "over") {
  const scheduling::WorkerInfo before = world.ledger().FindWorker("w0")->info;
  world.CrashAndBeginAgain("w0", Millis(1'000));
  world.Advance(Millis(2'000));
  const WallTime born = world.ledger().FindWorker("w0")->born;
  scheduling::WorkerInfo draining = before;
  draining.is_draining = true;
  world.Announce(draining, 99);
  world.Ask(WorkerLeaves{"w0"});
  REQUIRE(world.ledger().FindWorker("w0") != nullptr);
  CHECK(world.ledger().FindWorker("w0")->born == born);
  CHECK_FALSE(world.ledger().FindWorker("w0")->info.is_draining);
}

// Guards against a maintenance that is never seen to be over.
TEST_CASE_FIXTURE(RebornWorkerFixture,
                  "Wave, host is back with its worker's id, is done") {
  world.has_same_ids = true;
  world.OpenWave({"host-w0", "host-w1", "host-w2"});
  world.Advance(Millis(14'000));
  CHECK(world.maintained().size() == 3);
  CHECK(world.ledger().waves().at(1).is_done());
  Submit(12);
  world.Advance(Millis(100));
  CHECK(world.ledger().FindWorker("w0")->active.size() == 4);
}

}  // namespace
}  // namespace laurelhall::dispatch
