#pragma once

#include <atomic>
#include <cerrno>
#include <string>
#include <system_error>

#include "laurelhall/storage/hooked_files.h"

namespace laurelhall::control {

/// The system's files on a disk that takes no writes for a while. Thread-safe.
class RefusingFiles : public storage::HookedFiles {
 public:
  RefusingFiles()
      : HookedFiles(
            [this](storage::File& file, const auto& path) {
              const std::string name = path.filename().string();
              Check(m_refuses_snapshots && name.starts_with("snapshot-"));
              file.Sync();
            },
            [this](const auto&) { Check(false); }) {}

  void Refuse() { m_is_refusing = true; }
  void RefuseSnapshots() { m_refuses_snapshots = true; }
  void Accept() {
    m_is_refusing = false;
    m_refuses_snapshots = false;
  }

 private:
  void Check(bool is_refused) const {
    if (is_refused || m_is_refusing) {
      throw std::system_error(ENOSPC, std::generic_category(), "write");
    }
  }

  std::atomic<bool> m_is_refusing{false};
  std::atomic<bool> m_refuses_snapshots{false};
};

}  // namespace laurelhall::control
