#include "laurelhall/scheduling/answer_time.h"

#include <doctest/doctest.h>

namespace laurelhall::scheduling {
namespace {

// Guards against a fixed timeout of 450 ms: if workers leave one order in
// twenty unanswered, a step of eight tasks then waits for half a second in a
// third of all cases.
TEST_CASE("AnswerTime, answers within milliseconds, short timeout") {
  AnswerTime time;
  CHECK(time.Timeout() == Millis(337));
  for (int answer = 0; answer < 60; ++answer) {
    time.Observe(Millis(2 + answer % 3));
  }
  CHECK(time.Timeout() == Millis(120));
}

TEST_CASE("AnswerTime, answers become slow, longer timeout within its bound") {
  AnswerTime time;
  for (int answer = 0; answer < 60; ++answer) {
    time.Observe(Millis(answer % 2 == 0 ? 40 : 120));
  }
  CHECK(time.Timeout() > Millis(200));
  for (int answer = 0; answer < 60; ++answer) {
    time.Observe(Millis(answer % 2 == 0 ? 100 : 900));
  }
  CHECK(time.Timeout() == Millis(450));
}

}  // namespace
}  // namespace laurelhall::scheduling
