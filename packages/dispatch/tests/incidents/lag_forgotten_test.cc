// Guards against timeouts that stay long after a leader's thread was delayed
// once. Three times the tick lag is added to each timeout. The lag had no bound
// and fell by a tenth per tick, rounded down to whole milliseconds, so that it
// never fell below 10 ms. An order got a timeout of 9.5 s.

#include <doctest/doctest.h>

#include "world.h"

namespace laurelhall::dispatch {
namespace {

// A leader that has measured how long answers take, and whose thread is then
// delayed once for less than an election takes.
class DelayedLeaderFixture {
 protected:
  DelayedLeaderFixture() {
    world.AddWorkers(6);
    for (int job = 0; job < 10; ++job) {
      Submit("calm-" + std::to_string(job));
      world.Advance(Millis(1'000));
    }
    m_before = world.last_timeout();
    world.SlowThreads(Millis(1'000));
    world.Advance(Millis(1'050));
    world.SlowThreads(Millis(0));
  }

  void Submit(const std::string& id) {
    scheduling::StepSpec step;
    step.count = 6;
    step.need = {1'000, 500, 0};
    step.estimate = Millis(500);
    world.Submit(id, {step});
  }

  World world{7};
  Millis m_before{0};
};

TEST_CASE_FIXTURE(DelayedLeaderFixture,
                  "Dispatcher, lag ended 2 s ago, timeouts are as before") {
  world.Advance(Millis(2'000));
  Submit("after");
  world.Advance(Millis(100));
  CHECK(world.last_timeout() == m_before);
}

TEST_CASE_FIXTURE(DelayedLeaderFixture,
                  "Dispatcher, lag ended 20 s ago, timeouts are as before") {
  world.Advance(Millis(20'000));
  Submit("after");
  world.Advance(Millis(100));
  CHECK(world.last_timeout() == m_before);
}

}  // namespace
}  // namespace laurelhall::dispatch
