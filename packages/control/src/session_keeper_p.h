#pragma once

#include <map>
#include <set>
#include <vector>

#include "laurelhall/base/time.h"
#include "laurelhall/routing/grants.h"
#include "laurelhall/state/machine.h"

namespace laurelhall::control {

/// How the leader opens sessions of entry hosts and declares them lost.
///
/// @remarks Not thread-safe. It proposes; only what is committed and applied
///   counts. Nothing is lent to a session that is not open, nor to one whose
///   loss was proposed and not yet applied.
class SessionKeeper {
 public:
  /// @param machine Outlives this.
  /// @param timeout A session that did not sync for this long is lost.
  SessionKeeper(const state::Machine& machine, Millis timeout, SteadyTime now);

  /// Sessions under whose slots of earlier leaders a run may be going on.
  ///
  /// @pre A read was confirmed in this leader's term.
  std::set<model::EntryIdentity> MayHoldSlots() const;

  /// Takes note of a sync. Returns whether slots may be lent; if not, opening
  /// the session is proposed, unless a newer incarnation took its place.
  bool Admit(const model::EntryIdentity& entry, SteadyTime now);

  /// Takes what Admit() proposes. To be committed at once.
  std::vector<state::Command> TakeOpened();

  /// Proposes the loss of silent sessions, and says of lost ones that they
  /// hold no slots once that is so.
  ///
  /// @pre The allocator knows all endpoints and MayHoldSlots().
  void TakeLost(const routing::SlotAllocator& allocator,
                SteadyTime now,
                std::vector<state::Command>& due);

 private:
  bool IsLosing(const state::SessionRecord& session) const;
  bool IsReplaced(const model::EntryIdentity& entry) const;
  bool IsSilent(const state::SessionRecord& session, SteadyTime now) const;
  void Hear(const model::EntryIdentity& entry, SteadyTime now);

  const state::Machine& m_machine;
  const Millis m_timeout;
  SteadyTime m_leads_since;
  SteadyTime m_last_sync;
  SteadyTime m_syncs_since;  // Without a longer gap since.
  std::map<model::EntryIdentity, SteadyTime> m_heard;
  std::map<model::EntryIdentity, SteadyTime> m_proposed;  // To open.
  // By log index of the change before the loss that was proposed.
  std::map<model::EntryIdentity, uint64_t> m_losing;
  std::vector<state::Command> m_opened;
};

}  // namespace laurelhall::control
