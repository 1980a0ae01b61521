#include <fstream>
#include <sstream>

#include "laurelhall/base/finding.h"
#include "laurelhall/base/log.h"
#include "operator_api_p.h"

namespace laurelhall::daemon {
namespace {

constexpr std::string_view kNoToken = "-";
constexpr size_t kHashTextLength = 64;  // SHA-256 in hexadecimal.

std::optional<OperatorRole> ReadRole(const std::string& word) {
  if (word.empty() || word == "operator") {
    return OperatorRole::kOperator;
  }
  return word == "viewer" ? std::optional(OperatorRole::kViewer) : std::nullopt;
}

OperatorTable ReadTokens(const std::string& file) {
  std::ifstream stream(file);
  FindingList findings;
  if (!stream) {
    findings.Add(file, "cannot be read");
  }
  OperatorTable table;
  std::string line;
  for (int number = 1; std::getline(stream, line); ++number) {
    if (line.empty() || line.front() == '#') {
      continue;
    }
    std::istringstream words(line);
    std::string name;
    std::string hash;
    std::string word;
    std::string rest;
    words >> name >> hash >> word >> rest;
    const std::optional<OperatorRole> role = ReadRole(word);
    const bool is_hash =
        hash == kNoToken ||
        (hash.size() == kHashTextLength &&
         hash.find_first_not_of("0123456789abcdef") == std::string::npos);
    if (!is_hash || !role || !rest.empty()) {
      findings.Add(file + ":" + std::to_string(number),
                   "expected a name, a SHA-256 in lower-case hexadecimal or "
                   "-, and at most \"viewer\" or \"operator\"");
      continue;
    }
    table.by_name[name] = {name, *role};
    if (hash != kNoToken) {
      table.by_hash[hash] = {name, *role};
    }
  }
  findings.ThrowIfAny();
  return table;
}

}  // namespace

OperatorTokens::OperatorTokens(std::string file) : m_file(std::move(file)) {
  if (is_required()) {
    std::error_code ignored;  // Reading tells of a file that is missing.
    m_read_at = std::filesystem::last_write_time(m_file, ignored);
    m_table = ReadTokens(m_file);
  }
}

std::optional<Operator> OperatorTokens::OwnerOf(const std::string& hash) {
  return Find(&OperatorTable::by_hash, hash);
}

std::optional<Operator> OperatorTokens::Named(const std::string& name) {
  return Find(&OperatorTable::by_name, name);
}

std::optional<Operator> OperatorTokens::Find(
    std::map<std::string, Operator> OperatorTable::*index,
    const std::string& key) {
  const std::lock_guard lock(m_mutex);
  ReloadIfChanged();
  const auto found = (m_table.*index).find(key);
  return found == (m_table.*index).end() ? std::nullopt
                                         : std::optional(found->second);
}

void OperatorTokens::ReloadIfChanged() {
  std::error_code error;
  const auto changed_at = std::filesystem::last_write_time(m_file, error);
  if (error || changed_at == m_read_at) {
    return;
  }
  m_read_at = changed_at;
  try {
    m_table = ReadTokens(m_file);
    PartLog("operators")->info("tokens were read again from {}.", m_file);
  } catch (const FindingsError& findings) {
    // The keys in force go on; a half-written file must lock nobody out.
    PartLog("operators")
        ->error("token file keeps its last good state: {}.", findings.what());
  }
}

}  // namespace laurelhall::daemon
