#include "session_table_p.h"

#include "results_p.h"

namespace laurelhall::state {

SessionTable::SessionTable(const MachineLimits& limits) : m_limits(limits) {}

SessionTable::Change SessionTable::Apply(uint64_t index,
                                         const SessionCommand& command) {
  const std::lock_guard lock(m_mutex);
  Change change;
  if (command.state == SessionState::kOpen) {
    SessionRecord* record =
        Open(index, command.entry, command.at, &change.lost);
    if (record == nullptr) {
      change.result =
          Refused(HasNewer(command.entry) ? "a newer incarnation is known"
                                          : "the table of sessions is full");
      return change;
    }
    record->may_hold_slots = true;
  } else if (command.state == SessionState::kLost) {
    const auto found = m_sessions.find(command.entry);
    if (found == m_sessions.end()) {
      change.result = Refused("no such session");
      return change;
    }
    if (found->second.changed_at_index != command.expected_index) {
      change.result = Refused("the session has changed since");
      return change;
    }
    Lose(found->second, index, command.at, &change.lost);
    found->second.may_hold_slots &= command.may_hold_slots;
  } else {
    change.result = Refused("unknown state of a session");
    return change;
  }
  change.result = Accepted();
  return change;
}

bool SessionTable::Admit(uint64_t index,
                         const ClaimCommand& command,
                         std::vector<model::EntryIdentity>* lost) {
  const std::lock_guard lock(m_mutex);
  const auto found = m_sessions.find(command.owner);
  if (found != m_sessions.end()) {
    return found->second.state == SessionState::kOpen;
  }
  return Open(index, command.owner, command.at, lost) != nullptr;
}

bool SessionTable::HasNewer(const model::EntryIdentity& entry) const {
  const auto next = m_sessions.upper_bound(entry);
  return next != m_sessions.end() && next->first.name == entry.name;
}

SessionRecord* SessionTable::Open(uint64_t index,
                                  const model::EntryIdentity& entry,
                                  WallTime at,
                                  std::vector<model::EntryIdentity>* lost) {
  const bool is_known = m_sessions.contains(entry);
  const bool is_full = !is_known && m_sessions.size() >= m_limits.max_sessions;
  if (HasNewer(entry) || is_full) {
    return nullptr;
  }
  const auto end = m_sessions.lower_bound(entry);
  auto earlier = m_sessions.lower_bound({entry.name, 0});
  for (; earlier != end; ++earlier) {
    Lose(earlier->second, index, at, lost);
  }
  SessionRecord& record = m_sessions[entry];
  if (!is_known || record.state != SessionState::kOpen) {
    record.entry = entry;
    record.state = SessionState::kOpen;
    record.changed_at = at;
    record.changed_at_index = index;
  }
  return &record;
}

void SessionTable::Lose(SessionRecord& record,
                        uint64_t index,
                        WallTime at,
                        std::vector<model::EntryIdentity>* lost) {
  if (record.state == SessionState::kLost) {
    return;
  }
  record.state = SessionState::kLost;
  record.changed_at = at;
  record.changed_at_index = index;
  lost->push_back(record.entry);
}

void SessionTable::Expire(WallTime now) {
  const std::lock_guard lock(m_mutex);
  std::erase_if(m_sessions, [&](const auto& item) {
    const SessionRecord& record = item.second;
    return record.state == SessionState::kLost && !record.may_hold_slots &&
           record.changed_at + m_limits.lost_session_retention <= now;
  });
}

std::optional<SessionRecord> SessionTable::Find(
    const model::EntryIdentity& entry) const {
  const std::lock_guard lock(m_mutex);
  const auto found = m_sessions.find(entry);
  return found == m_sessions.end() ? std::nullopt
                                   : std::optional(found->second);
}

std::vector<SessionRecord> SessionTable::All() const {
  const std::lock_guard lock(m_mutex);
  std::vector<SessionRecord> records;
  records.reserve(m_sessions.size());
  for (const auto& [entry, record] : m_sessions) {
    records.push_back(record);
  }
  return records;
}

void SessionTable::Save(SnapshotWriter& writer) const {
  for (const SessionRecord& record : All()) {
    writer.Add("session", record);
  }
}

void SessionTable::Load(const SessionRecord& record) {
  const std::lock_guard lock(m_mutex);
  m_sessions[record.entry] = record;
}

}  // namespace laurelhall::state
