#pragma once

#include <cstdint>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

// What the small programs of this folder share.
namespace laurelhall::tools {

/// FNV-1a in hexadecimal: enough to tell one request's body from another's.
inline std::string DigestOf(std::string_view body) {
  uint64_t hash = 0xcbf29ce484222325;
  for (const char c : body) {
    hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3;
  }
  std::ostringstream text;
  text << std::hex << hash;
  return text.str();
}

inline std::vector<std::string> SplitCommas(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  std::string part;
  while (std::getline(stream, part, ',')) {
    parts.push_back(part);
  }
  return parts;
}

}  // namespace laurelhall::tools
