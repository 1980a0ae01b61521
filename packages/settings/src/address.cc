#include "address_p.h"

#include <arpa/inet.h>

#include <charconv>
#include <string>

namespace laurelhall::settings {
namespace {

constexpr uint32_t kLoopbackNet = 127;

std::optional<uint16_t> ParsePort(std::string_view text) {
  uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto [next, error] = std::from_chars(text.data(), end, port);
  if (text.empty() || error != std::errc() || next != end) {
    return std::nullopt;
  }
  return port;
}

std::optional<bool> IsLoopbackV4(const std::string& text) {
  in_addr address{};
  if (inet_pton(AF_INET, text.c_str(), &address) != 1) {
    return std::nullopt;
  }
  return ntohl(address.s_addr) >> 24 == kLoopbackNet;
}

std::optional<bool> IsLoopbackV6(const std::string& text) {
  in6_addr address{};
  if (inet_pton(AF_INET6, text.c_str(), &address) != 1) {
    return std::nullopt;
  }
  return IN6_IS_ADDR_LOOPBACK(&address) != 0;
}

}  // namespace

std::optional<Address> ParseAddress(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  const std::optional<uint16_t> port = ParsePort(text.substr(colon + 1));
  std::string host(text.substr(0, colon));
  std::optional<bool> is_loopback;
  if (host.starts_with('[') && host.ends_with(']')) {
    is_loopback = IsLoopbackV6(host.substr(1, host.size() - 2));
  } else {
    is_loopback = IsLoopbackV4(host);
  }
  if (!port || !is_loopback) {
    return std::nullopt;
  }
  return Address{*port, *is_loopback};
}

}  // namespace laurelhall::settings
