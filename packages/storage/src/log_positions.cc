#include "log_positions_p.h"

#include <algorithm>
#include <stdexcept>
#include <string>

namespace laurelhall::storage {

void LogPositions::Reset(consensus::EntryPosition base) {
  m_runs.assign(1, base);
  m_last = base.index;
}

void LogPositions::Append(consensus::EntryPosition entry) {
  if (entry.index != m_last + 1 || entry.term < m_runs.back().term) {
    throw std::invalid_argument("entry " + std::to_string(entry.index) +
                                " does not follow entry " +
                                std::to_string(m_last));
  }
  if (entry.term > m_runs.back().term) {
    m_runs.push_back(entry);
  }
  m_last = entry.index;
}

void LogPositions::Truncate(consensus::Index from) {
  if (from <= base().index) {
    throw std::invalid_argument("cut at " + std::to_string(from) +
                                " is before the log's start");
  }
  m_last = std::min(m_last, from - 1);
  while (m_runs.size() > 1 && m_runs.back().index >= from) {
    m_runs.pop_back();
  }
}

std::optional<consensus::Term> LogPositions::TermAt(
    consensus::Index index) const {
  if (index < base().index || index > m_last) {
    return std::nullopt;
  }
  const auto after = std::upper_bound(
      m_runs.begin(), m_runs.end(), index,
      [](consensus::Index wanted, const consensus::EntryPosition& run) {
        return wanted < run.index;
      });
  return std::prev(after)->term;
}

consensus::EntryPosition LogPositions::last() const {
  return {m_last, m_runs.back().term};
}

}  // namespace laurelhall::storage
