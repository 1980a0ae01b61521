#pragma once

#include <string_view>

#include "laurelhall/base/finding.h"
#include "laurelhall/model/config.h"
#include "laurelhall/model/endpoint.h"

namespace laurelhall::entry {

/// Reads an endpoint's announcement in its vendor's own form.
///
/// @param vendors The vendor profiles in force.
/// @returns The endpoint in our words; `state_since` is left open.
/// @throws FindingsError with everything that does not fit, by its place.
/// @remarks Thread-safe.
model::Endpoint ReadAnnouncement(
    std::string_view body,
    const std::map<std::string, model::Vendor>& vendors);

}  // namespace laurelhall::entry
