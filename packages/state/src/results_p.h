#pragma once

#include <string>
#include <utility>

#include "laurelhall/state/command.h"

namespace laurelhall::state {

inline ActResult Accepted(uint64_t version = 0) {
  return {true, false, version, {}};
}

inline ActResult Refused(std::string error, uint64_t version = 0) {
  return {false, false, version, std::move(error)};
}

/// An enumerator's name, for messages.
template <typename Enum>
std::string NameOf(Enum value) {
  return boost::describe::enum_to_string(value, "kCount");
}

}  // namespace laurelhall::state
