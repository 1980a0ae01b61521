#include "laurelhall/dispatch/ports.h"

#include <array>

namespace laurelhall::dispatch {

const char* CallOutcomeName(CallOutcome outcome) {
  constexpr std::array<const char*, static_cast<size_t>(CallOutcome::kCount)>
      kNames{"done",      "fenced",     "old-run", "late",        "no-room",
             "no-ticket", "other-life", "refused", "not-reached", "unknown"};
  return kNames.at(static_cast<size_t>(outcome));
}

}  // namespace laurelhall::dispatch
