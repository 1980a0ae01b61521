#pragma once

#include <optional>
#include <vector>

#include "laurelhall/consensus/message.h"

namespace laurelhall::storage {

/// Which entries the log holds, by index and term alone; memory is in the
/// number of terms, not of entries. Not thread-safe.
class LogPositions {
 public:
  /// Starts the log after a position; what was before is forgotten.
  void Reset(consensus::EntryPosition base);

  /// @throws std::invalid_argument when the entry does not follow the last.
  void Append(consensus::EntryPosition entry);

  /// Forgets the entries from an index on.
  /// @throws std::invalid_argument when the index is not after the base.
  void Truncate(consensus::Index from);

  /// The term at an index; none outside of [base, last].
  std::optional<consensus::Term> TermAt(consensus::Index index) const;

  consensus::EntryPosition base() const { return m_runs.front(); }
  consensus::EntryPosition last() const;

 private:
  // The first entry of each term, after the base itself.
  std::vector<consensus::EntryPosition> m_runs{consensus::EntryPosition{}};
  consensus::Index m_last = 0;
};

}  // namespace laurelhall::storage
