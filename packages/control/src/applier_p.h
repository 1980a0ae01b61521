#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "laurelhall/consensus/message.h"
#include "laurelhall/state/machine.h"
#include "loop_thread_p.h"
#include "task_thread_p.h"

namespace laurelhall::control {

/// What came of one committed entry.
struct AppliedEntry {
  consensus::EntryPosition position;
  std::vector<state::Result> results;
};

/// Applies committed entries in order on the apply thread.
///
/// @remarks On the loop's thread only. What waits is bounded by the host: it
///   takes no more from peers or callers while backlog_bytes() is high.
class Applier {
 public:
  struct Events {
    std::function<void(const std::vector<AppliedEntry>&)> applied;
    /// The state as of an index, every `snapshot_every` entries.
    std::function<void(consensus::Index, std::string)> saved;
    std::function<void(const std::string& why)> failed;
  };

  /// @param thread Applies; with `machine` it outlives this.
  /// @param applied What `machine` stands at.
  Applier(LoopContext loop,
          TaskThread& thread,
          state::Machine& machine,
          consensus::Index applied,
          uint64_t snapshot_every,
          Events events);

  /// Queues committed entries; those that are applied already are passed over.
  void Add(std::vector<consensus::Entry> entries);

  /// Queues a received snapshot; what follows waits until Installed().
  void AddSnapshot(consensus::Snapshot snapshot);

  /// The oldest queued snapshot is durable and may be loaded.
  void Installed();

  /// Forgets snapshots that were not installed, with all that follows: the log
  /// goes on from what the disk holds.
  void DropUninstalled();

  consensus::Index applied() const { return m_applied; }
  uint64_t backlog_bytes() const { return m_backlog_bytes; }

 private:
  struct Item {
    std::vector<consensus::Entry> entries;
    std::unique_ptr<consensus::Snapshot> snapshot;
    bool is_installed = false;
    bool is_save_due = false;
  };
  struct Outcome {
    consensus::Index applied = 0;
    std::vector<AppliedEntry> entries;
    std::unique_ptr<std::string> saved;
    std::string error;
  };

  static Outcome Apply(state::Machine& machine,
                       const Item& item,
                       consensus::Index applied);
  Item TakeNext();
  void Start();
  void Done(Outcome outcome);

  LoopContext m_loop;
  TaskThread& m_thread;
  state::Machine& m_machine;
  consensus::Index m_applied;
  uint64_t m_snapshot_every;
  Events m_events;
  std::deque<Item> m_items;
  consensus::Index m_last_snapshot;
  uint64_t m_backlog_bytes = 0;
  bool m_is_busy = false;
  bool m_is_failed = false;
};

}  // namespace laurelhall::control
