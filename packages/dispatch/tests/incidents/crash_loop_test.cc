// Seen: tasks that crash each worker that starts them were started again every
// three seconds for as long as the day lasted, and kept 31 of 38 workers of a
// service down with all that ran there. How: a run that ends with its worker
// ends as lapsed, which counts towards no limit. Cause: nothing counted the
// workers that went down under a task.

#include <doctest/doctest.h>

#include "world.h"

namespace laurelhall::dispatch {
namespace {

using scheduling::JobState;

scheduling::StepSpec Tasks(uint32_t count) {
  scheduling::StepSpec step;
  step.count = count;
  step.need = {1'000, 500, 0};
  step.estimate = Millis(800);
  return step;
}

// Six workers that are half full, and a job whose only task crashes each worker
// that starts it, 10 ms after its start.
class CrashLoopFixture {
 protected:
  CrashLoopFixture() {
    world.AddWorkers(6);
    world.Advance(Millis(500));
    world.crashing["culprit.0.0.0"] = Millis(10);
  }

  void SubmitBystanders(int jobs) {
    for (int job = 0; job < jobs; ++job) {
      m_bystanders.push_back("job-" + std::to_string(m_bystanders.size()));
      world.Submit(m_bystanders.back(), {Tasks(4)});
    }
  }

  void CheckBystandersSucceeded() const {
    for (const std::string& id : m_bystanders) {
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
  std::vector<std::string> m_bystanders;
};

// Guards against a crash loop: workers that go down under a task are counted,
// and its job is given up.
TEST_CASE_FIXTURE(CrashLoopFixture,
                  "Dispatcher, task crashes its workers, job is given up and "
                  "others go on") {
  for (int round = 0; round < 20; ++round) {
    SubmitBystanders(2);
    if (round == 2) {
      world.Submit("culprit", {Tasks(1)});
    }
    world.Advance(Millis(1'000));
  }
  world.Advance(Millis(10'000));
  CHECK(world.StateOf("culprit") == JobState::kFailed);
  CHECK(world.StartsOf("culprit.0.0.0") <= 5);
  CheckBystandersSucceeded();
  CheckClean();
}

}  // namespace
}  // namespace laurelhall::dispatch
