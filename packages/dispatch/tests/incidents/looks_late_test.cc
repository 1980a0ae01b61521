// Seen: on a day on which workers leave a half of all calls unanswered and
// carry them out seconds later, and leaders stand still, next to nothing was
// served; jobs had nothing at work beside workers with room.
// How: a look at a worker that was not answered took its wait of a second and
// 600 ms more to be given up, and the next one as long again. Until one was
// answered the worker was given no work and nothing was sent again there. A new
// leader's first looks were given up after 600 ms and asked again after 200.
// Each order without an answer kept new work off its worker for 800 ms, though
// it had answered others meanwhile.
// Cause: one call without an answer was taken for a worker that is gone.
// Proof: `dispatch workers` lines with up to 136 of 316 workers "silent" and 81
// of 271 "suspect" 2 to 4 s after a change of leaders; `worker-reached` lines
// 0.8 s apart.

#include <doctest/doctest.h>

#include <string>

#include "world.h"

namespace laurelhall::dispatch {
namespace {

constexpr int kJobs = 20;
constexpr int kWorkers = 40;

// 40 workers of four cores, and 20 jobs of eight tasks of 500 ms: all of their
// room. A half of all calls gets no answer.
class Day {
 public:
  explicit Day(uint64_t seed) : world(seed) {
    world.AddWorkers(kWorkers);
    world.Advance(Millis(3'000));
    world.weather.late = 0.5;
    world.weather.late_looks = 0.5;
  }

  void SubmitJobs() {
    scheduling::StepSpec step;
    step.count = 8;
    step.need = {1'000, 500, 0};
    step.estimate = Millis(500);
    for (int job = 0; job < kJobs; ++job) {
      world.Submit("job-" + std::to_string(job), {step});
    }
  }

  int Succeeded() const {
    int succeeded = 0;
    for (int job = 0; job < kJobs; ++job) {
      const auto state = world.StateOf("job-" + std::to_string(job));
      succeeded += state == scheduling::JobState::kSucceeded ? 1 : 0;
    }
    return succeeded;
  }

  uint64_t Started() const { return world.starts(); }

  void CheckClean() const {
    for (const std::string& violation : world.violations()) {
      FAIL_CHECK(violation);
    }
  }

  World world;
};

// Of 200 jobs in ten plays 97 were done by then, when a look took 1.6 s to be
// given up and one was enough to leave its worker without work; now 170 are.
TEST_CASE("Looks, half of all calls are unanswered, jobs are done") {
  int succeeded = 0;
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    Day day(seed);
    day.SubmitJobs();
    day.world.Advance(Millis(5'000));
    succeeded += day.Succeeded();
    day.CheckClean();
  }
  CHECK(succeeded >= 155);
}

// Of 1,600 tasks in ten plays 476 had been started by then, when first looks
// were given up after 600 ms; now 710 are. Half of the starts get no answer.
TEST_CASE("Takeover, half of all calls are unanswered, tasks start soon") {
  uint64_t started = 0;
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    Day day(seed);
    day.SubmitJobs();
    day.world.ChangeLeader(Millis(0));
    day.world.Advance(Millis(600));
    started += day.Started();
    day.CheckClean();
  }
  CHECK(started >= 650);
}

// The one look that is lost has waited 2 s and is given up after 0.6 s at most;
// a worker of which two in a row are lost is left alone.
TEST_CASE("Looks, one is not answered, its worker gets work") {
  World world(7);
  world.AddWorkers(1);
  world.Advance(Millis(3'000));
  world.weather.late_looks = 1;
  world.Advance(Millis(2'100));
  world.weather.late_looks = 0;
  world.Advance(Millis(2'560));
  scheduling::StepSpec step;
  step.count = 4;
  step.need = {1'000, 500, 0};
  step.estimate = Millis(500);
  world.Submit("a", {step});
  world.Advance(Millis(100));
  CHECK(world.worker("w0").runs().size() == 4);
}

// As long as it took when one lost look was enough: 2 s, 0.6 s, and a lease of
// 6 s on a clock that may be 2 % slow, and its margin.
TEST_CASE("Looks, worker is cut, its task starts elsewhere as soon as before") {
  World world(7);
  world.AddWorkers(2);
  world.Advance(Millis(3'000));
  scheduling::StepSpec step;
  step.count = 1;
  step.need = {1'000, 500, 0};
  step.estimate = Millis(500);
  step.is_persistent = true;
  world.Submit("a", {step});
  world.Advance(Millis(500));
  const std::string cut = world.worker("w0").runs().empty() ? "w1" : "w0";
  const std::string other = cut == "w0" ? "w1" : "w0";
  world.Cut(cut, true);
  world.Advance(Millis(9'000));
  CHECK(world.worker(other).runs().size() == 1);
  CHECK(world.violations().empty());
}

}  // namespace
}  // namespace laurelhall::dispatch
