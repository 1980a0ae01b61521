#pragma once

#include <deque>
#include <optional>
#include <vector>

#include "laurelhall/consensus/message.h"

namespace laurelhall::consensus {

/// The entries after the latest snapshot, and the memberships they bring.
///
/// @remarks Not thread-safe; owned by one node.
class Log {
 public:
  /// @param base Where the log starts; its membership is in force there.
  Log(const SnapshotMeta& base, std::vector<Entry> entries);

  Index first() const { return m_base.index + 1; }
  Index last() const { return m_base.index + m_entries.size(); }
  Term last_term() const { return *TermAt(last()); }
  const EntryPosition& base() const { return m_base; }

  /// The term at `index`; none when it is before the base or past the end.
  std::optional<Term> TermAt(Index index) const;

  bool Matches(Index index, Term term) const { return TermAt(index) == term; }

  /// @pre first() <= index <= last().
  const Entry& At(Index index) const { return m_entries[index - first()]; }

  /// Copies entries from `from` to `to`, at least one, up to `max_bytes`.
  std::vector<Entry> Copy(Index from, Index to, uint64_t max_bytes) const;

  /// The last position at or before `index` whose term is at most `term`.
  EntryPosition FindAtMost(Index index, Term term) const;

  /// Appends one entry. @pre entry.index == last() + 1.
  /// @throws std::invalid_argument when a membership can't be decoded.
  void Append(Entry entry);

  /// Drops entries from `from` on. @pre first() <= from.
  void TruncateFrom(Index from);

  /// Drops entries up to `index`. @pre it is in the log.
  void CompactTo(Index index);

  /// Drops all and starts after a snapshot.
  void Reset(const SnapshotMeta& base);

  /// The membership that the whole log brings, and where it was set.
  const Membership& membership() const { return m_memberships.back().value; }
  Index membership_index() const { return m_memberships.back().index; }

  /// The membership as of `index`. @pre base().index <= index.
  const Membership& MembershipAt(Index index) const;

 private:
  struct MembershipRecord {
    Index index = 0;
    Membership value;
  };

  EntryPosition m_base;
  std::deque<Entry> m_entries;
  std::vector<MembershipRecord> m_memberships;  // Never empty.
};

}  // namespace laurelhall::consensus
