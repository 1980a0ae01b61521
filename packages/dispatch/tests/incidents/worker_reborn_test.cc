// Seen: a task whose run had ended as done, and whose end had been noted, was
// started again. How: a worker that had crashed came back under its id, counted
// its ends from 1, and was told to forget those up to the number of its life
// before. Cause: what is known of a worker's life was kept by the worker's id.

#include <doctest/doctest.h>

#include "world.h"

namespace laurelhall::dispatch {
namespace {

using scheduling::JobState;

scheduling::StepSpec Tasks(uint32_t count) {
  scheduling::StepSpec step;
  step.count = count;
  step.need = {1'000, 500, 0};
  step.estimate = Millis(500);
  return step;
}

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
    world.Submit(m_jobs.back(), {Tasks(tasks)});
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

}  // namespace
}  // namespace laurelhall::dispatch
