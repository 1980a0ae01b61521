#pragma once

#include <boost/json.hpp>
#include <string>

namespace laurelhall::settings {

/// Writes JSON with sorted keys and the shortest form of each number, so that
/// equal values have equal texts.
///
/// @remarks Thread-safe.
std::string CanonicalText(const boost::json::value& value);

}  // namespace laurelhall::settings
