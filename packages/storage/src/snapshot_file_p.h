#pragma once

#include <cstdint>
#include <filesystem>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "laurelhall/consensus/message.h"
#include "laurelhall/storage/file_system.h"

namespace laurelhall::storage {

/// A snapshot file as its name tells it.
struct SnapshotName {
  std::string file;
  consensus::EntryPosition position;
};

/// The snapshots in a folder, one checksummed file each.
class SnapshotFolder {
 public:
  SnapshotFolder(FileSystem& files, std::filesystem::path folder);

  /// What is there, oldest first.
  std::vector<SnapshotName> List() const;

  /// Reads one; none when it is damaged.
  std::optional<consensus::Snapshot> Read(const SnapshotName& name) const;

  /// Writes one durably under its own name.
  void Write(const consensus::Snapshot& snapshot);

  /// Takes a damaged one out of the list but keeps its bytes.
  void SetAside(const SnapshotName& name);

  /// Removes all but the latest two and what earlier writes left behind.
  void RemoveOld();

  /// Removes what writes that were cut off left behind.
  void RemoveUnfinished();

  uint64_t disk_bytes() const;

 private:
  void RemoveEndingWith(std::initializer_list<std::string_view> suffixes);

  FileSystem& m_files;
  std::filesystem::path m_folder;
};

/// Writes a small file so that it is there whole or not at all.
void WriteFileAtomically(FileSystem& files,
                         const std::filesystem::path& path,
                         std::string_view bytes);

}  // namespace laurelhall::storage
