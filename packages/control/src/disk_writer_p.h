#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "laurelhall/base/duration_counts.h"
#include "laurelhall/consensus/node.h"
#include "laurelhall/storage/log_store.h"
#include "loop_thread_p.h"
#include "task_thread_p.h"

namespace laurelhall::control {

/// What becomes durable together: one sync, however many Readys.
struct DiskBatch {
  struct Part {
    std::optional<consensus::HardState> hard_state;
    std::optional<consensus::Index> truncate_from;
    std::vector<consensus::Entry> entries;
    std::optional<consensus::Snapshot> snapshot;
    bool is_compaction = false;  ///< Own snapshot, not one of the leader.
  };

  std::vector<Part> parts;
  std::vector<consensus::Message> messages;  ///< To be sent once synced.
  consensus::EntryPosition last;  ///< Of the log once this is synced.
  bool has_vote = false;          ///< Term or vote change.
  bool has_install = false;
  SteadyTime begun_at{};  ///< Of the write, on the disk's thread.
  SteadyTime ended_at{};
};

/// Takes what a node wants saved to the disk thread and back.
///
/// @remarks Group commit: what comes while a sync is under way waits and is
///   synced together. On the loop's thread only.
class DiskWriter {
 public:
  struct Events {
    /// A batch is durable. `is_all` when nothing that the node was told to
    /// count as saved still waits, so that Persisted() may be called.
    std::function<void(DiskBatch batch, bool is_all)> synced;
    std::function<void(const std::string& why)> failed;
  };

  /// @param thread Runs the disk's work; with `store` it outlives this.
  DiskWriter(LoopContext loop,
             TaskThread& thread,
             storage::LogStore& store,
             consensus::EntryPosition last,
             const consensus::HardState& hard_state,
             Events events);

  /// Takes the part of a Ready that is to be saved, and its messages.
  void Add(consensus::Ready& ready);

  /// Saves a snapshot of this host's own state.
  void SaveSnapshot(consensus::Snapshot snapshot);

  /// Goes on after a failure, once the store is open again.
  ///
  /// @param last Of the log that was recovered.
  /// @pre What was given before is given up.
  void Resume(consensus::EntryPosition last,
              const consensus::HardState& hard_state);

  /// Whether a sync is under way.
  bool is_busy() const { return m_is_busy; }

  /// Whether nothing waits or is under way.
  bool is_idle() const { return !m_is_busy && m_pending.parts.empty(); }

  uint64_t disk_bytes() const { return m_disk_bytes; }
  uint64_t syncs() const { return m_syncs; }
  const DurationCounts& sync_times() const { return m_sync_times; }

  /// How long the sync that is under way has taken; zero without one.
  Millis SyncAge() const;

 private:
  void Start();
  void CountSync(const DiskBatch& batch);
  void Done(DiskBatch batch, uint64_t disk_bytes, const std::string& error);

  LoopContext m_loop;
  TaskThread& m_thread;
  storage::LogStore& m_store;
  Events m_events;
  DiskBatch m_pending;
  consensus::EntryPosition m_last;
  consensus::HardState m_offered;  // The latest that was to be saved.
  bool m_is_busy = false;
  bool m_is_failed = false;
  uint64_t m_disk_bytes = 0;
  uint64_t m_syncs = 0;
  SteadyTime m_begun{};  // Of the sync under way.
  DurationCounts m_sync_times;
};

}  // namespace laurelhall::control
