#include "laurelhall/dispatch/ports.h"

#include <array>

namespace laurelhall::dispatch {

namespace {

constexpr std::array<const char*, static_cast<size_t>(CallOutcome::kCount)>
    kCallOutcomeNames{"done",        "fenced",    "old-run",    "late",
                      "no-room",     "no-ticket", "other-life", "refused",
                      "not-reached", "unknown"};

constexpr std::array<const char*, static_cast<size_t>(HostActOutcome::kCount)>
    kHostActOutcomeNames{"done",    "busy",    "refused", "fenced",
                         "unknown", "limited", "not-sent"};

}  // namespace

const char* HostActOutcomeName(HostActOutcome outcome) {
  return kHostActOutcomeNames.at(static_cast<size_t>(outcome));
}

const char* CallOutcomeName(CallOutcome outcome) {
  return kCallOutcomeNames.at(static_cast<size_t>(outcome));
}

}  // namespace laurelhall::dispatch
