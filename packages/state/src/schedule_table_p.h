#pragma once

#include <functional>
#include <mutex>
#include <string>

#include "laurelhall/scheduling/ledger.h"
#include "laurelhall/state/command.h"
#include "results_p.h"
#include "snapshot_p.h"

namespace laurelhall::state {

/// The scheduling's ledger as a table of the replicated state.
///
/// @remarks Read() is thread-safe; all else is for the one applying thread.
class ScheduleTable {
 public:
  /// Applies a batch whole; refused when it cannot be decoded.
  ActResult Apply(const ScheduleCommand& command);

  /// Reads the ledger; applying waits for the reader.
  void Read(const std::function<void(const scheduling::Ledger&)>& reader) const;

  void Save(SnapshotWriter& writer) const;
  void Load(const std::string& saved);

 private:
  mutable std::mutex m_mutex;  // Guards the ledger.
  scheduling::Ledger m_ledger;
};

}  // namespace laurelhall::state
