#pragma once

#include <stdexcept>
#include <string>
#include <vector>

namespace laurelhall {

/// One thing wrong with an input, with its place (file, path or field).
struct Finding {
  std::string place;
  std::string text;
};

/// Thrown once with everything that a check found.
class FindingsError : public std::runtime_error {
 public:
  /// @param findings At least one finding.
  explicit FindingsError(std::vector<Finding> findings);

  const std::vector<Finding>& findings() const { return m_findings; }

 private:
  std::vector<Finding> m_findings;
};

/// Gathers findings while a check goes on. Not thread-safe.
class FindingList {
 public:
  /// Adds a finding at a place.
  void Add(std::string place, std::string text);

  bool is_empty() const { return m_findings.empty(); }
  const std::vector<Finding>& all() const { return m_findings; }

  /// Throws FindingsError when there is a finding.
  void ThrowIfAny() const;

 private:
  std::vector<Finding> m_findings;
};

}  // namespace laurelhall
