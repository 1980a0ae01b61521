#include <doctest/doctest.h>

#include <vector>

#include "laurelhall/base/finding.h"
#include "laurelhall/base/time.h"
#include "laurelhall/base/timer_service.h"

namespace laurelhall {
namespace {

TEST_CASE("ParseDuration, mixed units, adds them up") {
  CHECK(ParseDuration("1m30s") == Millis(90'000));
  CHECK(ParseDuration("28d") == Millis(28LL * 86'400'000));
  CHECK(FormatDuration(Millis(90'250)) == "1m30s250ms");
}

TEST_CASE("ParseDuration, fraction of a unit, counts to the millisecond") {
  CHECK(ParseDuration("1.5s") == Millis(1'500));
  CHECK(ParseDuration("2.0s") == Millis(2'000));
  CHECK(ParseDuration("0.25m") == Millis(15'000));
  CHECK_THROWS_AS(ParseDuration("1.5"), std::invalid_argument);
  CHECK_THROWS_AS(ParseDuration(".5s"), std::invalid_argument);
}

TEST_CASE("ParseDuration, text that is none, throws with the text") {
  for (const char* text : {"", "30", "s", "-3s", "3 s", "99999999999999999d"}) {
    CAPTURE(text);
    CHECK_THROWS_AS(ParseDuration(text), std::invalid_argument);
  }
}

TEST_CASE("FindingList, two findings, throws once with both places") {
  FindingList list;
  list.Add("a.b", "expected a number");
  list.Add("c", "unknown key");
  CHECK_THROWS_WITH_AS(list.ThrowIfAny(),
                       "a.b: expected a number\nc: unknown key", FindingsError);
}

struct TimerFixture {
  ManualTimerService m_timers;
};

TEST_CASE_FIXTURE(
    TimerFixture,
    "ManualTimerService, clock moves on, runs callbacks in order") {
  std::vector<int> calls;
  m_timers.SubscribeEvery(Millis(10), [&](SteadyTime) { calls.push_back(10); });
  m_timers.SubscribeOnce(Millis(25), [&](SteadyTime) { calls.push_back(25); });
  m_timers.Advance(Millis(30));
  CHECK(calls == std::vector<int>{10, 10, 25, 10});
}

TEST_CASE_FIXTURE(TimerFixture,
                  "ManualTimerService, cancelled, calls no more") {
  int calls = 0;
  const TimerHandle timer =
      m_timers.SubscribeEvery(Millis(5), [&](SteadyTime) { ++calls; });
  m_timers.Advance(Millis(5));
  m_timers.Cancel(timer);
  m_timers.Advance(Millis(50));
  CHECK(calls == 1);
}

}  // namespace
}  // namespace laurelhall
