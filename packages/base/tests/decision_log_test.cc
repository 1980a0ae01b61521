#include "laurelhall/base/decision_log.h"

#include <doctest/doctest.h>

#include <chrono>
#include <thread>

namespace laurelhall {
namespace {

// Many tasks at once: a rush starts about a thousand a second.
constexpr int kRush = 2'000;

class DecisionLogFixture {
 protected:
  // A share counts for a second: begins with a whole one.
  DecisionLogFixture() {
    const auto now = std::chrono::steady_clock::now();
    const auto next =
        std::chrono::ceil<Seconds>(now.time_since_epoch()) + Millis(5);
    std::this_thread::sleep_until(SteadyTime(next));
  }
};

// Failed first: the lines of a rush's tasks took the room of those on pools.
TEST_CASE_FIXTURE(DecisionLogFixture,
                  "DecisionLog, rush of task lines, decisions are kept") {
  int kept = 0;
  for (int i = 0; i < kRush; ++i) {
    kept += DecisionLine("test", "task", LineClass::kTask).is_kept() ? 1 : 0;
  }
  CHECK(kept < kRush);
  CHECK(DecisionLog::Get().dropped(LineClass::kTask) >=
        static_cast<uint64_t>(kRush - kept));
  CHECK(DecisionLine("test", "decision").is_kept());
  CHECK(DecisionLog::Get().dropped(LineClass::kDecision) == 0);
}

TEST_CASE_FIXTURE(DecisionLogFixture,
                  "DecisionLog, class has no room, its line is empty") {
  for (int i = 0; i < kRush; ++i) {
    DecisionLine("test", "task", LineClass::kTask);
  }
  const std::string line =
      DecisionLine("test", "task", LineClass::kTask).With("id", "a").Finish();
  CHECK(line.empty());
}

}  // namespace
}  // namespace laurelhall
