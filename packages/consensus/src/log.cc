#include <algorithm>
#include <utility>

#include "log_p.h"

namespace laurelhall::consensus {

Log::Log(const SnapshotMeta& base, std::vector<Entry> entries) {
  Reset(base);
  for (Entry& entry : entries) {
    Append(std::move(entry));
  }
}

std::optional<Term> Log::TermAt(Index index) const {
  if (index == m_base.index) {
    return m_base.term;
  }
  if (index < m_base.index || index > last()) {
    return std::nullopt;
  }
  return At(index).term;
}

std::vector<Entry> Log::Copy(Index from, Index to, uint64_t max_bytes) const {
  std::vector<Entry> entries;
  uint64_t bytes = 0;
  for (Index index = from; index <= to; ++index) {
    const Entry& entry = At(index);
    bytes += entry.payload.size();
    if (!entries.empty() && bytes > max_bytes) {
      break;
    }
    entries.push_back(entry);
  }
  return entries;
}

EntryPosition Log::FindAtMost(Index index, Term term) const {
  Index found = std::min(index, last());
  while (found > m_base.index && At(found).term > term) {
    --found;
  }
  return {found, TermAt(found).value_or(0)};
}

void Log::Append(Entry entry) {
  if (entry.kind == EntryKind::kMembership) {
    m_memberships.push_back({entry.index, DecodeMembership(entry.payload)});
  }
  m_entries.push_back(std::move(entry));
}

void Log::TruncateFrom(Index from) {
  while (last() >= from) {
    m_entries.pop_back();
  }
  while (m_memberships.size() > 1 && m_memberships.back().index >= from) {
    m_memberships.pop_back();
  }
}

void Log::CompactTo(Index index) {
  const Term term = TermAt(index).value();
  const auto end =
      m_entries.begin() + static_cast<std::ptrdiff_t>(index - m_base.index);
  m_entries.erase(m_entries.begin(), end);
  m_base = {index, term};
  while (m_memberships.size() > 1 && m_memberships[1].index <= index) {
    m_memberships.erase(m_memberships.begin());
  }
}

void Log::Reset(const SnapshotMeta& base) {
  m_base = {base.index, base.term};
  m_entries.clear();
  m_memberships.assign(1, {base.index, base.membership});
}

const Membership& Log::MembershipAt(Index index) const {
  size_t found = m_memberships.size() - 1;
  while (found > 0 && m_memberships[found].index > index) {
    --found;
  }
  return m_memberships[found].value;
}

}  // namespace laurelhall::consensus
