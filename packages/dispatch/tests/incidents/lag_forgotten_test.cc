// Seen: on plays of one leader that was held up once, a time-out of 9.5 s for
// an order. How: the lag of the ticks is added to time-outs three times,
// without a bound, and wears off by a tenth a tick in whole milliseconds: below
// 10 ms nothing is taken off any more. Cause: what is worn is a share of what
// is left, rounded down.

#include <doctest/doctest.h>

#include "world.h"

namespace laurelhall::dispatch {
namespace {

// A leader that learnt how long answers take, and was then held up once for
// less than an election takes.
class HeldUpOnceFixture {
 protected:
  HeldUpOnceFixture() {
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

TEST_CASE_FIXTURE(HeldUpOnceFixture,
                  "Dispatcher, lag is over for 2 s, time-outs are as before") {
  world.Advance(Millis(2'000));
  Submit("after");
  world.Advance(Millis(100));
  CHECK(world.last_timeout() == m_before);
}

TEST_CASE_FIXTURE(HeldUpOnceFixture,
                  "Dispatcher, lag is over for 20 s, time-outs are as before") {
  world.Advance(Millis(20'000));
  Submit("after");
  world.Advance(Millis(100));
  CHECK(world.last_timeout() == m_before);
}

}  // namespace
}  // namespace laurelhall::dispatch
