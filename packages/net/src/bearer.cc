#include "laurelhall/net/bearer.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <array>

namespace laurelhall::net {

namespace {

constexpr std::string_view kBearer = "Bearer ";

}  // namespace

std::string Sha256Hex(std::string_view text) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         digest.data());
  constexpr std::string_view kDigits = "0123456789abcdef";  // NOLINT
  std::string hex;
  for (const unsigned char byte : digest) {
    hex += kDigits[byte >> 4];
    hex += kDigits[byte & 15];
  }
  return hex;
}

std::string BearerHash(const HttpRequest& request) {
  const std::string_view given = request.headers.Get("Authorization");
  return given.starts_with(kBearer) ? Sha256Hex(given.substr(kBearer.size()))
                                    : std::string();
}

bool IsSameSecret(std::string_view a, std::string_view b) {
  return !a.empty() && a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace laurelhall::net
