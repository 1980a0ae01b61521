#pragma once

#include <optional>
#include <string>

#include "laurelhall/model/fleet.h"

namespace laurelhall::placement {

/// Says why a job can never run as it was declared, or nothing when it can.
///
/// @param fleet The committed fleet.
/// @param job As submitted; `submitted` is set.
/// @returns The reason for the caller, with the figures it rests on.
/// @remarks Thread-safe. Hosts that are away count: they come back.
std::optional<std::string> CheckSubmission(const model::Fleet& fleet,
                                           const model::Job& job);

}  // namespace laurelhall::placement
