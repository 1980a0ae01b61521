#pragma once

#include <cerrno>
#include <filesystem>
#include <system_error>

#include "laurelhall/storage/hooked_files.h"

namespace laurelhall::scenario {

/// The file beside a data folder whose presence makes the disk of that folder
/// refuse all changes, in running processes and in those that start meanwhile.
inline std::filesystem::path RefusalFlagOf(
    const std::filesystem::path& data_folder) {
  return data_folder.string() + ".refuses";
}

/// @throws std::system_error while the disk that holds `file` refuses changes.
inline void CheckAccepted(const std::filesystem::path& file) {
  if (std::filesystem::exists(RefusalFlagOf(file.parent_path()))) {
    throw std::system_error(ENOSPC, std::generic_category(), file.string());
  }
}

/// The machine's files on a disk that refuses changes while a test's flag is
/// set. Thread-safe.
class RefusingDisk : public storage::HookedFiles {
 public:
  RefusingDisk()
      : HookedFiles(
            [](storage::File& file, const Path& path) {
              CheckAccepted(path);
              file.Sync();
            },
            CheckAccepted) {}
};

}  // namespace laurelhall::scenario
