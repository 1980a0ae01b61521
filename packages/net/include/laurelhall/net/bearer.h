#pragma once

#include <string>
#include <string_view>

#include "laurelhall/net/http.h"

namespace laurelhall::net {

/// SHA-256 in lower-case hexadecimal. Thread-safe.
std::string Sha256Hex(std::string_view text);

/// The hash of a request's bearer token; empty without one. Thread-safe.
std::string BearerHash(const HttpRequest& request);

/// Compares without telling by its time where they differ. Thread-safe.
///
/// @returns false when either is empty.
bool IsSameSecret(std::string_view a, std::string_view b);

}  // namespace laurelhall::net
