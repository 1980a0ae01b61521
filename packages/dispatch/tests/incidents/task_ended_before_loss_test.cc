// Guards against giving up a sound job for a worker that went down after the
// job's task had ended there. Ends that a worker had not reported are lost with
// it: the task looked like one that had just begun to work, and was given up
// when a second worker went down right after its next start.

#include <doctest/doctest.h>

#include "world_checks.h"

namespace laurelhall::dispatch {
namespace {

using scheduling::JobState;

class EndedBeforeLossFixture {
 protected:
  EndedBeforeLossFixture() {
    world.AddWorkers(3);
    world.Advance(Millis(1'000));
    world.Submit("job", {Step(1, {}, kWork)});
    world.Advance(Millis(200));
  }

  /// The worker of the job's task by the ledger; empty: none has it.
  std::string WorkerOfRun(uint32_t least_run) const {
    for (const auto& active : world.ledger().FindJob("job")->tasks[0].active) {
      if (active.run >= least_run) {
        return active.worker;
      }
    }
    return "";
  }

  /// The worker goes down right after it has started the task anew.
  void CrashNextWorker() {
    std::string next;
    for (int step = 0; step < 1'000 && next.empty(); ++step) {
      world.Advance(Millis(20));
      next = WorkerOfRun(2);
    }
    REQUIRE(!next.empty());
    world.Advance(Millis(20));
    world.CrashAndRestart(next, Millis(2'000));
  }

  static constexpr Millis kWork{500};
  World world{7};
};

}  // namespace

TEST_CASE_FIXTURE(EndedBeforeLossFixture,
                  "Dispatcher, worker goes down unheard after its task ended, "
                  "the next one at once, job succeeds") {
  const std::string first = WorkerOfRun(1);
  REQUIRE(!first.empty());
  world.Cut(first, true);
  world.Advance(kWork + Millis(500));
  world.CrashAndRestart(first, Millis(1'000));
  world.Cut(first, false);
  CrashNextWorker();
  world.Advance(Millis(30'000));
  CHECK(world.StateOf("job") == JobState::kSucceeded);
  CheckNoViolations(world);
}

// A worker that went down while the task worked is evidence.
TEST_CASE_FIXTURE(EndedBeforeLossFixture,
                  "Dispatcher, worker goes down while its task works, the next "
                  "one at once, job is given up") {
  const std::string first = WorkerOfRun(1);
  REQUIRE(!first.empty());
  world.CrashAndRestart(first, Millis(1'000));
  CrashNextWorker();
  world.Advance(Millis(30'000));
  CHECK(world.StateOf("job") == JobState::kFailed);
  CheckNoViolations(world);
}

}  // namespace laurelhall::dispatch
