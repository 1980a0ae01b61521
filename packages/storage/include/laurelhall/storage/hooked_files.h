#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "laurelhall/storage/file_system.h"

namespace laurelhall::storage {

/// The machine's files with syncs of one's own: for tests that fail, slow or
/// spare them, or refuse changes. Thread-safe, if the hooks are.
class HookedFiles : public FileSystem {
 public:
  /// Syncs `file`, which stands at `path`; throws as File::Sync() does.
  using SyncHook = std::function<void(File& file, const Path& path)>;

  /// Called before each change but a sync, with the file that is to change;
  /// throws to refuse it.
  using ChangeHook = std::function<void(const Path& path)>;

  explicit HookedFiles(
      SyncHook sync,
      ChangeHook change = [](const Path&) {})
      : m_hooks(std::make_shared<const Hooks>(
            Hooks{std::move(sync), std::move(change)})) {}

  void CreateFolder(const Path& folder) override {
    m_files.CreateFolder(folder);
  }
  std::vector<std::string> List(const Path& folder) override {
    return m_files.List(folder);
  }
  std::unique_ptr<File> Create(const Path& path) override {
    m_hooks->change(path);
    return std::make_unique<HookedFile>(m_files.Create(path), path, m_hooks);
  }
  std::unique_ptr<File> Open(const Path& path) override {
    return std::make_unique<HookedFile>(m_files.Open(path), path, m_hooks);
  }
  void Rename(const Path& from, const Path& to) override {
    m_hooks->change(from);
    m_files.Rename(from, to);
  }
  void Remove(const Path& path) override {
    m_hooks->change(path);
    m_files.Remove(path);
  }
  void SyncFolder(const Path& folder) override { m_files.SyncFolder(folder); }
  std::unique_ptr<FileLock> Lock(const Path& path) override {
    return m_files.Lock(path);
  }

 private:
  struct Hooks {
    SyncHook sync;
    ChangeHook change;
  };

  class HookedFile : public File {
   public:
    HookedFile(std::unique_ptr<File> file,
               Path path,
               std::shared_ptr<const Hooks> hooks)
        : m_file(std::move(file)),
          m_path(std::move(path)),
          m_hooks(std::move(hooks)) {}

    void Write(uint64_t offset, std::string_view bytes) override {
      m_hooks->change(m_path);
      m_file->Write(offset, bytes);
    }
    std::string Read(uint64_t offset, size_t size) override {
      return m_file->Read(offset, size);
    }
    void Truncate(uint64_t size) override {
      m_hooks->change(m_path);
      m_file->Truncate(size);
    }
    void Sync() override { m_hooks->sync(*m_file, m_path); }
    uint64_t size() override { return m_file->size(); }

   private:
    std::unique_ptr<File> m_file;
    const Path m_path;
    const std::shared_ptr<const Hooks> m_hooks;
  };

  FileSystem& m_files = PosixFileSystem();
  const std::shared_ptr<const Hooks> m_hooks;
};

}  // namespace laurelhall::storage
