#include "session_keeper_p.h"

#include <utility>

#include "laurelhall/base/log.h"

namespace laurelhall::control {

namespace {

// Without syncs of others, silence says nothing of one.
constexpr Millis kSyncsAreRecent = std::chrono::seconds(2);
// A proposal that may have been dropped is made again.
constexpr Millis kProposeAgain = std::chrono::seconds(1);
constexpr Millis kForgetEntry = std::chrono::hours(1);

}  // namespace

SessionKeeper::SessionKeeper(const state::Machine& machine,
                             Millis timeout,
                             SteadyTime now)
    : m_machine(machine),
      m_timeout(timeout),
      m_leads_since(now),
      m_last_sync(now),
      m_syncs_since(now) {}

std::set<model::EntryIdentity> SessionKeeper::MayHoldSlots() const {
  std::set<model::EntryIdentity> holders;
  for (const state::SessionRecord& session : m_machine.Sessions()) {
    if (session.may_hold_slots) {
      holders.insert(session.entry);
    }
  }
  return holders;
}

bool SessionKeeper::Admit(const model::EntryIdentity& entry, SteadyTime now) {
  Hear(entry, now);
  const auto session = m_machine.FindSession(entry);
  const bool is_open = session && session->may_hold_slots &&
                       session->state == state::SessionState::kOpen;
  if (is_open) {
    return !IsLosing(*session);
  }
  SteadyTime& proposed = m_proposed[entry];
  if (proposed != SteadyTime() && now - proposed < kProposeAgain) {
    return false;
  }
  proposed = now;
  if (IsReplaced(entry)) {
    PartLog("control")->warn("{}/{} syncs, but a newer incarnation is known.",
                             entry.name, entry.incarnation);
    return false;
  }
  state::SessionCommand open;
  open.entry = entry;
  m_opened.emplace_back(std::move(open));
  return false;
}

std::vector<state::Command> SessionKeeper::TakeOpened() {
  return std::exchange(m_opened, {});
}

void SessionKeeper::TakeLost(const routing::SlotAllocator& allocator,
                             SteadyTime now,
                             std::vector<state::Command>& due) {
  for (const state::SessionRecord& session : m_machine.Sessions()) {
    state::SessionCommand lost;
    lost.entry = session.entry;
    lost.state = state::SessionState::kLost;
    lost.expected_index = session.changed_at_index;
    if (session.state == state::SessionState::kOpen) {
      if (IsSilent(session, now)) {
        m_losing[session.entry] = session.changed_at_index;
        due.emplace_back(std::move(lost));
      }
      continue;
    }
    lost.may_hold_slots = allocator.MayHoldSlots(session.entry);
    if (session.may_hold_slots && !lost.may_hold_slots) {
      due.emplace_back(std::move(lost));
    }
  }
  const auto is_old = [now](const auto& item) {
    return now - item.second > kForgetEntry;
  };
  std::erase_if(m_heard, is_old);
  std::erase_if(m_proposed, is_old);
  std::erase_if(m_losing, [this](const auto& item) {
    const auto session = m_machine.FindSession(item.first);
    return !session || session->changed_at_index != item.second;
  });
}

bool SessionKeeper::IsLosing(const state::SessionRecord& session) const {
  const auto found = m_losing.find(session.entry);
  return found != m_losing.end() && found->second == session.changed_at_index;
}

bool SessionKeeper::IsReplaced(const model::EntryIdentity& entry) const {
  for (const state::SessionRecord& session : m_machine.Sessions()) {
    const bool is_newer = session.entry.name == entry.name &&
                          session.entry.incarnation > entry.incarnation;
    if (is_newer) {
      return true;
    }
  }
  return false;
}

bool SessionKeeper::IsSilent(const state::SessionRecord& session,
                             SteadyTime now) const {
  const auto heard = m_heard.find(session.entry);
  const SteadyTime last =
      heard == m_heard.end() ? m_leads_since : heard->second;
  const bool are_syncs_steady =
      now - m_last_sync <= kSyncsAreRecent && now - m_syncs_since >= m_timeout;
  // One whose loss was proposed is not admitted again before that is decided.
  const bool is_due = IsLosing(session) || now - last >= m_timeout;
  return are_syncs_steady && is_due;
}

void SessionKeeper::Hear(const model::EntryIdentity& entry, SteadyTime now) {
  if (now - m_last_sync > kSyncsAreRecent) {
    m_syncs_since = now;
  }
  m_last_sync = now;
  m_heard[entry] = now;
}

}  // namespace laurelhall::control
