#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <system_error>
#include <utility>
#include <vector>

#include "laurelhall/storage/file_system.h"

namespace laurelhall::control {

/// The system's files, whose syncs fail from a moment on. Thread-safe.
class FailingFiles : public storage::FileSystem {
 public:
  void FailSyncs() { m_is_failing = true; }

  void CreateFolder(const Path& folder) override {
    m_files.CreateFolder(folder);
  }
  std::vector<std::string> List(const Path& folder) override {
    return m_files.List(folder);
  }
  std::unique_ptr<storage::File> Create(const Path& path) override {
    return std::make_unique<FailingFile>(m_files.Create(path), m_is_failing);
  }
  std::unique_ptr<storage::File> Open(const Path& path) override {
    return std::make_unique<FailingFile>(m_files.Open(path), m_is_failing);
  }
  void Rename(const Path& from, const Path& to) override {
    m_files.Rename(from, to);
  }
  void Remove(const Path& path) override { m_files.Remove(path); }
  void SyncFolder(const Path& folder) override { m_files.SyncFolder(folder); }
  std::unique_ptr<storage::FileLock> Lock(const Path& path) override {
    return m_files.Lock(path);
  }

 private:
  class FailingFile : public storage::File {
   public:
    FailingFile(std::unique_ptr<storage::File> file,
                const std::atomic<bool>& is_failing)
        : m_file(std::move(file)), m_is_failing(is_failing) {}

    void Write(uint64_t offset, std::string_view bytes) override {
      m_file->Write(offset, bytes);
    }
    std::string Read(uint64_t offset, size_t size) override {
      return m_file->Read(offset, size);
    }
    void Truncate(uint64_t size) override { m_file->Truncate(size); }
    void Sync() override {
      if (m_is_failing) {
        throw std::system_error(EIO, std::generic_category(), "sync");
      }
      m_file->Sync();
    }
    uint64_t size() override { return m_file->size(); }

   private:
    std::unique_ptr<storage::File> m_file;
    const std::atomic<bool>& m_is_failing;
  };

  storage::FileSystem& m_files = storage::PosixFileSystem();
  std::atomic<bool> m_is_failing{false};
};

}  // namespace laurelhall::control
