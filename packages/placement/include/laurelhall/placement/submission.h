#pragma once

#include <optional>
#include <string>

#include "laurelhall/model/fleet.h"

namespace laurelhall::placement {

/// Returns why a job can never run as declared, or nullopt if it can.
///
/// @param fleet The committed fleet.
/// @param job The submitted job, with `submitted` set.
/// @returns A message for the caller that includes the values compared.
/// @remarks Thread-safe. All hosts of the pool that are not retired count, also
///   unavailable ones, because they can return.
std::optional<std::string> CheckSubmission(const model::Fleet& fleet,
                                           const model::Job& job);

}  // namespace laurelhall::placement
