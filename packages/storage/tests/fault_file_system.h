#pragma once

#include <cstdint>
#include <filesystem>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "laurelhall/storage/file_system.h"

namespace laurelhall::storage {

/// Steps left out on purpose, so that tests show they are needed.
struct FaultMutations {
  bool is_file_sync_skipped = false;
  bool is_folder_sync_skipped = false;
};

/// Files in memory that lose what a crash may lose: sectors and sizes not
/// synced, names not synced with their folder, pages of a failed sync.
class FaultFileSystem : public FileSystem {
 public:
  explicit FaultFileSystem(uint64_t seed) : m_random(seed) {}

  void CreateFolder(const Path&) override {}
  std::vector<std::string> List(const Path& folder) override;
  std::unique_ptr<File> Create(const Path& path) override;
  std::unique_ptr<File> Open(const Path& path) override;
  void Rename(const Path& from, const Path& to) override;
  void Remove(const Path& path) override;
  void SyncFolder(const Path& folder) override;
  std::unique_ptr<FileLock> Lock(const Path& path) override;

  /// The power fails: keeps a random part of what was not synced.
  void Crash();

  /// The calls from the n-th that changes something fail, until Crash().
  void CrashAfter(int changes) { m_changes_left = changes; }

  /// The n-th file sync from now fails once and loses pages.
  void FailSync(int nth) { m_syncs_left = nth; }

  /// Writes past so many more bytes find the disk full.
  void LimitSpace(uint64_t bytes) { m_space_left = bytes; }

  /// Ends the faults that were asked for and have not come.
  void ClearFaults();

  /// The same files, all synced, without faults.
  FaultFileSystem Copy() const;

  int sync_count() const { return m_sync_count; }
  std::string& Contents(const Path& path);
  FaultMutations& mutations() { return m_mutations; }

 private:
  friend class FaultFile;

  struct Node {
    std::string cached;
    std::string durable;  // Whole sectors, also past the durable size.
    uint64_t durable_size = 0;
    std::set<uint64_t> dirty;  // Sectors.
    bool is_size_dirty = false;
  };
  using NodePtr = std::shared_ptr<Node>;

  /// Counts a change; true when it is cut off by the crash.
  bool CountChange();
  void Change();
  bool Toss() { return (m_random() & 1) != 0; }
  uint64_t Between(uint64_t first, uint64_t second);
  void Write(Node& node, uint64_t offset, std::string_view bytes);
  void SyncNode(Node& node);
  void Persist(Node& node, bool is_whole);

  std::mt19937_64 m_random;
  std::map<std::string, NodePtr> m_names;
  std::map<std::string, NodePtr> m_durable_names;
  int m_changes_left = -1;
  int m_syncs_left = -1;
  int m_sync_count = 0;
  uint64_t m_space_left = UINT64_MAX;
  FaultMutations m_mutations;
};

}  // namespace laurelhall::storage
