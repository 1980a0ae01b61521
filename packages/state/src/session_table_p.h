#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "laurelhall/state/command.h"
#include "laurelhall/state/machine.h"
#include "snapshot_p.h"

namespace laurelhall::state {

/// The table of sessions: which incarnations of entry hosts may act.
///
/// @remarks Find() and All() are thread-safe; all else is for the one applying
///   thread. Of one name only the newest incarnation can be open.
class SessionTable {
 public:
  explicit SessionTable(const MachineLimits& limits);

  /// What a command changed.
  struct Change {
    ActResult result;
    std::vector<model::EntryIdentity> lost;  ///< Open before, lost now.
  };

  /// Opens a session, also a lost one again, or declares one lost.
  ///
  /// @remarks Opening makes earlier incarnations of the name lost. Opening an
  ///   incarnation that a newer one replaced is refused.
  Change Apply(uint64_t index, const SessionCommand& command);

  /// Whether a claim of this entry host may be granted. One that is not known
  /// is opened, so that its loss ends what it claims; it holds no slots yet.
  bool Admit(uint64_t index,
             const ClaimCommand& command,
             std::vector<model::EntryIdentity>* lost);

  /// Drops lost sessions that nothing can depend on.
  void Expire(WallTime now);

  std::optional<SessionRecord> Find(const model::EntryIdentity& entry) const;
  std::vector<SessionRecord> All() const;

  void Save(SnapshotWriter& writer) const;
  void Load(const SessionRecord& record);

 private:
  bool HasNewer(const model::EntryIdentity& entry) const;
  // Refused when there is a newer incarnation or no room; null then.
  SessionRecord* Open(uint64_t index,
                      const model::EntryIdentity& entry,
                      WallTime at,
                      std::vector<model::EntryIdentity>* lost);
  static void Lose(SessionRecord& record,
                   uint64_t index,
                   WallTime at,
                   std::vector<model::EntryIdentity>* lost);

  const MachineLimits m_limits;

  mutable std::mutex m_mutex;  // Guards m_sessions.
  std::map<model::EntryIdentity, SessionRecord> m_sessions;
};

}  // namespace laurelhall::state
