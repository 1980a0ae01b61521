#include "laurelhall/scheduling/mechanism.h"

#include <array>

namespace laurelhall::scheduling {

namespace {

constexpr std::array<std::string_view, static_cast<size_t>(Mechanism::kCount)>
    kNames{"turns",          "period",         "parking",   "headroom",
           "least-stay",     "emptying-limit", "gathering", "doubt",
           "hopeless-order", "last-call",      "data-wait", "learned-times",
           "pacing",         "relays",         "shares",    "admission",
           "floors"};

}  // namespace

std::string_view MechanismName(Mechanism mechanism) {
  return kNames.at(static_cast<size_t>(mechanism));
}

std::optional<Mechanism> FindMechanism(std::string_view name) {
  for (size_t index = 0; index < kNames.size(); ++index) {
    if (kNames.at(index) == name) {
      return static_cast<Mechanism>(index);
    }
  }
  return std::nullopt;
}

}  // namespace laurelhall::scheduling
