#pragma once

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "laurelhall/base/handle.h"
#include "laurelhall/base/time.h"

namespace laurelhall::dispatch {

struct WorkerLink;

/// A worker's place in WorkerChecks.
using WorkerSlot = Handle<WorkerLink>;

/// When each worker is to be checked next for calls, lapses and removals that
/// are due.
///
/// @remarks Not thread-safe. A search reads one dense table of times, so that
///   workers for which nothing is due cost next to nothing.
class WorkerChecks {
 public:
  /// An element of the map of links, whose address must not change.
  using Entry = std::pair<const std::string, WorkerLink>;

  /// Adds a worker, which is due at once.
  WorkerSlot Add(Entry& entry);

  /// @pre The slot is in use.
  void Remove(WorkerSlot slot);

  /// Makes a worker due at the next search: what its next check depends on may
  /// have changed.
  ///
  /// @pre The slot is in use.
  void CheckSoon(WorkerSlot slot) { m_due[slot.index] = SteadyTime::min(); }

  /// Sets when a worker is due.
  ///
  /// @pre The slot is in use.
  void CheckAt(WorkerSlot slot, SteadyTime due) { m_due[slot.index] = due; }

  /// The workers that are due. They stay due until CheckAt(); the entries are
  /// valid until their workers are removed.
  std::vector<Entry*> Due(SteadyTime now) const;

 private:
  std::vector<SteadyTime> m_due;  // SteadyTime::max() in an unused slot.
  std::vector<Entry*> m_entries;
  std::vector<WorkerSlot> m_unused;
};

}  // namespace laurelhall::dispatch
