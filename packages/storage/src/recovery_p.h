#pragma once

#include <filesystem>
#include <optional>
#include <string>
#include <vector>

#include "laurelhall/storage/file_system.h"
#include "laurelhall/storage/log_store.h"
#include "log_positions_p.h"
#include "segment_p.h"
#include "snapshot_file_p.h"

namespace laurelhall::storage {

/// One segment that is in use.
struct SegmentInfo {
  uint64_t sequence = 0;
  consensus::EntryPosition position;  ///< The log's last entry before it.
  uint64_t bytes = 0;
};

/// What recovery found and what is to be written before the store is used.
struct RecoveryResult {
  Recovered recovered;
  LogPositions positions;
  bool is_log_reset = false;  ///< The snapshot took the place of the log.
  std::vector<SegmentInfo> segments;  ///< Oldest first.
  uint64_t highest_sequence = 0;      ///< Of any segment file, used or not.
};

/// The name of a segment's file.
std::string SegmentFileName(uint64_t sequence);

/// Writes the identity that makes a folder a used one.
void WriteIdentity(FileSystem& files,
                   const std::filesystem::path& folder,
                   consensus::NodeId identity);

/// Reads a data folder whole, and only then mends what a crash left.
class Recovery {
 public:
  Recovery(FileSystem& files, std::filesystem::path folder);

  /// @param new_identity Taken if the folder is empty.
  /// @throws CorruptionError; std::system_error.
  RecoveryResult Run(consensus::NodeId new_identity);

  /// Recovers the folder of a known identity.
  ///
  /// @throws StoreFailedError as CheckIdentity(); CorruptionError;
  ///   std::system_error.
  RecoveryResult RunKnown(consensus::NodeId identity);

  /// @throws StoreFailedError when the folder holds none or another identity;
  ///   CorruptionError; std::system_error. Changes nothing.
  void CheckIdentity(consensus::NodeId identity) const;

 private:
  RecoveryResult Recover(consensus::NodeId identity);
  std::optional<consensus::NodeId> ReadIdentity() const;
  void CheckNeverUsed();
  void LoadSnapshot();
  void FindSegments();
  void ReplaySegments();
  uint64_t SequenceBefore(uint64_t sequence) const;
  void Replay(const SegmentInfo& segment);
  void ApplyHeader(const SegmentHeader& header, bool is_first);
  void ApplyRecords(std::string_view records);
  void ApplyRecord(RecordKind kind, std::string_view body);
  void ApplyTruncate(consensus::Index from);
  void CheckCoverage();
  void JoinSnapshotAndLog();
  void Mend();
  void MendLastSegment();
  void RemoveUnusedSegments();
  void WriteLastFrameAgain(File& file);
  SegmentHeader Expected(uint64_t sequence) const;

  FileSystem& m_files;
  std::filesystem::path m_folder;
  SnapshotFolder m_snapshots;
  RecoveryResult m_result;
  std::vector<uint64_t> m_sequences;  // Of all segment files, ascending.
  std::vector<SnapshotName> m_damaged_snapshots;
  bool m_is_last_header_torn = false;
  SegmentScan m_last_scan;
};

}  // namespace laurelhall::storage
