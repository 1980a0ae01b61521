// Guards against a finished task that is started again after its worker has
// restarted under the same id. The new incarnation numbers its ended runs from
// 1 again; if state is kept by worker id alone, the leader acknowledges them by
// the numbers of the previous incarnation, and the worker forgets them unread.

#include <doctest/doctest.h>

#include "world_checks.h"

namespace laurelhall::dispatch {
namespace {

using scheduling::JobState;

// Three workers that have each reported some ended runs.
class RestartedWorkerFixture {
 protected:
  RestartedWorkerFixture() {
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

  World world{7};

 private:
  std::vector<std::string> m_jobs;
};

// Guards against ended runs of a new incarnation that are forgotten unread.
TEST_CASE_FIXTURE(
    RestartedWorkerFixture,
    "Dispatcher, worker restarts under its id, its ended runs are read") {
  world.CrashAndRestart("w0", Millis(2'000));
  world.Advance(Millis(2'500));
  for (int round = 0; round < 5; ++round) {
    Submit(12);
    world.Advance(Millis(800));
  }
  world.Advance(Millis(10'000));
  CheckAllDone();
  CheckNoViolations(world);
}

// Guards against runs of the previous incarnation that occupy capacity forever.
TEST_CASE_FIXTURE(RestartedWorkerFixture,
                  "Dispatcher, worker crashes with running tasks and restarts, "
                  "tasks complete") {
  Submit(12);
  world.Advance(Millis(100));
  REQUIRE(!world.ledger().FindWorker("w0")->active.empty());
  world.CrashAndRestart("w0", Millis(1'000), Millis(5'000));
  world.Advance(Millis(4'000));
  CheckAllDone();
  CHECK(world.ledger().FindWorker("w0")->used == scheduling::Resources());
  CheckNoViolations(world);
}

// Guards against a lease that is measured by the previous incarnation's clock.
TEST_CASE_FIXTURE(RestartedWorkerFixture,
                  "Dispatcher, worker restarts and is then cut off, its lease "
                  "expires") {
  world.CrashAndRestart("w0", Millis(1'000));
  world.Advance(Millis(2'000));
  Submit(12);
  world.Advance(Millis(100));
  REQUIRE(!world.ledger().FindWorker("w0")->active.empty());
  world.Cut("w0", true);
  world.Advance(Millis(12'000));
  CheckAllDone();
  CheckNoViolations(world);
}

// Guards against a worker that counts as gone, or as draining, forever.
TEST_CASE_FIXTURE(RestartedWorkerFixture,
                  "Dispatcher, worker restarts after 25 s, is given work") {
  world.CrashAndRestart("w0", Millis(25'000));
  world.Advance(Millis(24'000));
  REQUIRE(world.ledger().FindWorker("w0") == nullptr);
  world.Advance(Millis(3'000));
  Submit(12);
  world.Advance(Millis(100));
  CHECK(world.ledger().FindWorker("w0")->active.size() == 4);
}

TEST_CASE_FIXTURE(RestartedWorkerFixture,
                  "Dispatcher, worker was draining before it restarts, is "
                  "given work") {
  scheduling::WorkerInfo draining = world.ledger().FindWorker("w0")->info;
  draining.is_draining = true;
  world.Announce(draining, 9);
  world.Advance(Millis(500));
  REQUIRE(world.ledger().FindWorker("w0")->info.is_draining);
  world.CrashAndRestart("w0", Millis(1'000));
  world.Advance(Millis(2'000));
  Submit(12);
  world.Advance(Millis(100));
  CHECK(world.ledger().FindWorker("w0")->active.size() == 4);
}

// Guards against late announcements of the previous incarnation.
TEST_CASE_FIXTURE(RestartedWorkerFixture,
                  "Dispatcher, announcements of the previous incarnation come "
                  "late, are ignored") {
  const scheduling::WorkerInfo before = world.ledger().FindWorker("w0")->info;
  world.CrashAndRestart("w0", Millis(1'000));
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

// Guards against a maintenance whose completion is never detected.
TEST_CASE_FIXTURE(RestartedWorkerFixture,
                  "Wave, host returns with its worker's id, is done") {
  world.keeps_worker_ids = true;
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
