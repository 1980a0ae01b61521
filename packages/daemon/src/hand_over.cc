#include "hand_over_p.h"

#include <thread>

namespace laurelhall::daemon {

namespace {

// An election that a hand-over starts takes some tens of milliseconds.
constexpr Millis kHandOver{1'500};
constexpr Millis kHandOverLook{50};

}  // namespace

bool HandOverLeadership(control::ControlHost& host,
                        const std::function<bool()>& is_leading) {
  host.StepDown();
  const SteadyTime until = std::chrono::steady_clock::now() + kHandOver;
  while (is_leading() && std::chrono::steady_clock::now() < until) {
    std::this_thread::sleep_for(kHandOverLook);
  }
  return is_leading();
}

}  // namespace laurelhall::daemon
