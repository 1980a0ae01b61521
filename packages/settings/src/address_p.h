#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace laurelhall::settings {

inline constexpr const char* kExpectedAddress =
    "expected an IP number and port such as \"127.0.0.1:7101\"";

struct Address {
  uint16_t port = 0;
  bool is_loopback = false;
};

/// Reads "ip:port" or "[ipv6]:port"; none for anything else, names included.
std::optional<Address> ParseAddress(std::string_view text);

}  // namespace laurelhall::settings
