#include <openssl/sha.h>

#include <array>
#include <fstream>
#include <sstream>

#include "laurelhall/base/finding.h"
#include "laurelhall/base/log.h"
#include "operator_api_p.h"

namespace laurelhall::daemon {
namespace {

constexpr size_t kHashTextLength = 2 * SHA256_DIGEST_LENGTH;

std::string HashText(const std::string& token) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(token.data()), token.size(),
         digest.data());
  constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  for (const unsigned char byte : digest) {
    text += kDigits[byte >> 4];
    text += kDigits[byte & 15];
  }
  return text;
}

std::map<std::string, std::string> ReadTokens(const std::string& file) {
  std::ifstream stream(file);
  FindingList findings;
  if (!stream) {
    findings.Add(file, "cannot be read");
  }
  std::map<std::string, std::string> owner_by_hash;
  std::string line;
  for (int number = 1; std::getline(stream, line); ++number) {
    if (line.empty() || line.front() == '#') {
      continue;
    }
    std::istringstream words(line);
    std::string name;
    std::string hash;
    words >> name >> hash;
    if (hash.size() != kHashTextLength) {
      findings.Add(file + ":" + std::to_string(number),
                   "expected a name and a SHA-256 in hexadecimal");
    }
    owner_by_hash[hash] = name;
  }
  findings.ThrowIfAny();
  return owner_by_hash;
}

}  // namespace

OperatorTokens::OperatorTokens(std::string file) : m_file(std::move(file)) {
  if (is_required()) {
    m_owner_by_hash = ReadTokens(m_file);
    m_read_at = std::filesystem::last_write_time(m_file);
  }
}

std::optional<std::string> OperatorTokens::OwnerOf(const std::string& token) {
  const std::lock_guard lock(m_mutex);
  ReloadIfChanged();
  const auto found = m_owner_by_hash.find(HashText(token));
  if (found == m_owner_by_hash.end()) {
    return std::nullopt;
  }
  return found->second;
}

void OperatorTokens::ReloadIfChanged() {
  std::error_code error;
  const auto changed_at = std::filesystem::last_write_time(m_file, error);
  if (error || changed_at == m_read_at) {
    return;
  }
  m_read_at = changed_at;
  try {
    m_owner_by_hash = ReadTokens(m_file);
    PartLog("operators")->info("tokens were read again from {}.", m_file);
  } catch (const FindingsError& findings) {
    // The keys in force go on; a half-written file must lock nobody out.
    PartLog("operators")
        ->error("token file keeps its last good state: {}.", findings.what());
  }
}

}  // namespace laurelhall::daemon
