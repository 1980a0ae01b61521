#include "laurelhall/dispatch/ports.h"

#include <array>

namespace laurelhall::dispatch {

namespace {

constexpr std::array<const char*, static_cast<size_t>(CallOutcome::kCount)>
    kOutcomeNames{"done",        "fenced",    "old-run",    "late",
                  "no-room",     "no-ticket", "other-life", "refused",
                  "not-reached", "unknown"};

}  // namespace

const char* CallOutcomeName(CallOutcome outcome) {
  return kOutcomeNames.at(static_cast<size_t>(outcome));
}

}  // namespace laurelhall::dispatch
