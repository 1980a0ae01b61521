#include "laurelhall/base/finding.h"

#include <utility>

namespace laurelhall {
namespace {

std::string Join(const std::vector<Finding>& findings) {
  std::string text;
  for (const Finding& finding : findings) {
    if (!text.empty()) {
      text += '\n';
    }
    text += finding.place + ": " + finding.text;
  }
  return text;
}

}  // namespace

FindingsError::FindingsError(std::vector<Finding> findings)
    : std::runtime_error(Join(findings)), m_findings(std::move(findings)) {}

void FindingList::Add(std::string place, std::string text) {
  m_findings.push_back({std::move(place), std::move(text)});
}

void FindingList::ThrowIfAny() const {
  if (!m_findings.empty()) {
    throw FindingsError(m_findings);
  }
}

}  // namespace laurelhall
