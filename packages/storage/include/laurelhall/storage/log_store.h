#pragma once

#include <filesystem>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "laurelhall/consensus/message.h"

namespace laurelhall::storage {

/// The data folder holds something that must not be read past.
class CorruptionError : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// A write or sync failed; the store takes nothing more (pages may be lost)
/// until it is opened again.
class StoreFailedError : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Another process holds the folder.
class StoreInUseError : public StoreFailedError {
  using StoreFailedError::StoreFailedError;
};

/// Where the store writes, replaceable so that tests bring faults about.
class FileSystem;

/// What was found in a data folder.
struct Recovered {
  consensus::NodeId identity;
  bool is_new = false;  ///< The folder was empty: this is a new identity.
  consensus::HardState hard_state;
  std::optional<consensus::Snapshot> snapshot;
  std::vector<consensus::Entry> entries;  ///< After the snapshot.
  uint64_t torn_bytes = 0;                ///< Cut off the tail after a crash.

  /// Where the log ends: at its last entry, else at the snapshot, else at zero.
  consensus::EntryPosition last() const;
};

struct LogStoreInit {
  std::filesystem::path folder;
  uint64_t segment_bytes = 16 << 20;
  uint64_t identity_seed = 0;         ///< 0: from the system's random device.
  FileSystem* file_system = nullptr;  ///< Null: the real one.
};

/// The durable half of a control host: log segments, hard state, snapshots.
///
/// @remarks Not thread-safe: one thread writes. After a StoreFailedError each
///   further call throws it again, until Reopen() succeeds. A lock file keeps a
///   second process out.
class LogStore {
 public:
  /// Opens or creates the folder and recovers what is in it.
  ///
  /// @throws CorruptionError naming file and offset; StoreFailedError when
  ///   the folder cannot be used; StoreInUseError when another process holds
  ///   it.
  explicit LogStore(const LogStoreInit& init);
  ~LogStore();

  /// Closes all files and recovers what the folder holds, as a new process
  /// would; what was buffered or failed to sync counts only if it is found.
  ///
  /// @returns What was recovered; TakeRecovered() has nothing more.
  /// @throws StoreFailedError while the disk refuses, or the folder is away,
  ///   empty, another host's or held by another process: nothing in it is
  ///   changed then. CorruptionError. The store stays failed.
  Recovered Reopen();

  /// What was recovered; valid until TakeRecovered() moves it out.
  Recovered TakeRecovered();

  /// Buffers records; nothing counts before Sync() has returned.
  void SaveHardState(const consensus::HardState& hard_state);
  void Truncate(consensus::Index from);
  void Append(const std::vector<consensus::Entry>& entries);

  /// Writes and syncs all buffered records: one sync, however many.
  void Sync();

  /// Saves a snapshot durably (new file, sync, rename, sync of the folder),
  /// then drops segments that it makes needless.
  void SaveSnapshot(const consensus::Snapshot& snapshot);

  uint64_t disk_bytes() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace laurelhall::storage
