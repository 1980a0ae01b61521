#include "pause_meter_p.h"

#include <doctest/doctest.h>

namespace laurelhall::dispatch {
namespace {

class PauseMeterFixture {
 protected:
  PauseMeterFixture() { TickFor(Millis(1'000)); }

  void TickFor(Millis time) {
    for (Millis passed{0}; passed < time; passed += Millis(100)) {
      now += Millis(100);
      meter.OnTick(now);
    }
  }

  BootTime now{std::chrono::hours(1)};
  PauseMeter meter;
};

TEST_CASE_FIXTURE(PauseMeterFixture,
                  "PauseMeter, regular ticks, nothing has waited") {
  CHECK(meter.UnreadTime(now + Millis(90)) == Millis(0));
  now += PauseMeter::kMinPause - Millis(1);
  CHECK(meter.UnreadTime(now) == Millis(0));
}

TEST_CASE_FIXTURE(PauseMeterFixture,
                  "PauseMeter, read before the first tick after a pause, "
                  "counts the pause") {
  CHECK(meter.UnreadTime(now + Millis(4'000)) == Millis(4'000));
}

TEST_CASE_FIXTURE(PauseMeterFixture,
                  "PauseMeter, read soon after a pause, counts the pause") {
  now += Millis(4'000);
  meter.OnTick(now);
  CHECK(meter.UnreadTime(now + Millis(50)) == Millis(4'050));
  TickFor(PauseMeter::kBacklogTime + Millis(100));
  CHECK(meter.UnreadTime(now) == Millis(0));
}

TEST_CASE("PauseMeter, no tick yet, nothing has waited") {
  CHECK(PauseMeter().UnreadTime(BootTime(std::chrono::hours(1))) == Millis(0));
}

}  // namespace
}  // namespace laurelhall::dispatch
