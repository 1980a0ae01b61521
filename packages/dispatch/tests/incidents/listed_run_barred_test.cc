// Guards against running persistent tasks that are stopped without a reason. A
// start is carried out, but its answer is late or lost, and a hold call then
// lists the run. If the leader ignores the list, it repeats the start, and when
// the repeat is refused or not sent, it bars the run, which stops it.

#include <doctest/doctest.h>

#include "world.h"

namespace laurelhall::dispatch {
namespace {

class UnansweredStartFixture {
 protected:
  UnansweredStartFixture() {
    world.AddWorkers(1);
    world.Advance(Millis(1'000));
    // The end of this task makes the worker list its runs while the answer to
    // the start below is missing.
    scheduling::StepSpec brief = Tasks(1);
    brief.estimate = Millis(200);
    world.Submit("brief", {brief});
    world.Advance(Millis(50));
    world.call_faults.answer_lost = 1;
    scheduling::StepSpec step = Tasks(1);
    step.is_persistent = true;
    world.Submit("p", {step});
    world.Advance(Millis(60));
    world.call_faults.answer_lost = 0;
  }

  static scheduling::StepSpec Tasks(uint32_t count) {
    scheduling::StepSpec step;
    step.count = count;
    step.need = {1'000, 500, 0};
    step.estimate = Millis(500);
    return step;
  }

  uint32_t ActiveRunOfP() const {
    const auto& active = world.ledger().FindJob("p")->tasks[0].active;
    return active.size() == 1 ? active[0].run : 0;
  }

  World world{7};
};

TEST_CASE_FIXTURE(UnansweredStartFixture,
                  "Dispatcher, run is listed and repeated start is refused, "
                  "run is kept") {
  REQUIRE(world.starts() == 2);
  world.Advance(Millis(200));  // A hold call lists the run.
  world.call_faults.refused = 1;
  world.Advance(Millis(600));
  world.call_faults.refused = 0;
  world.Advance(Millis(2'000));
  CHECK(ActiveRunOfP() == 1);
}

TEST_CASE_FIXTURE(UnansweredStartFixture,
                  "Dispatcher, run is listed and repeated start is accepted, "
                  "run is kept") {
  world.Advance(Millis(3'000));
  CHECK(ActiveRunOfP() == 1);
}

}  // namespace
}  // namespace laurelhall::dispatch
