#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <string>

#include "results_p.h"
#include "snapshot_p.h"

#include "laurelhall/state/machine.h"

namespace laurelhall::state {

/// What the leader's duties learned, by name, for the next leader.
///
/// @remarks Find() is thread-safe; all else is for the one applying thread.
class NoteTable {
 public:
  explicit NoteTable(const MachineLimits& limits) : m_limits(limits) {}

  /// Replaces a note; an empty text removes it.
  ActResult Apply(const NoteCommand& command);
  std::optional<std::string> Find(const std::string& name) const;

  void Save(SnapshotWriter& writer) const;
  void Load(const NoteCommand& note);

 private:
  const MachineLimits m_limits;
  mutable std::mutex m_mutex;  // Guards the notes.
  std::map<std::string, std::string> m_notes;
};

}  // namespace laurelhall::state
