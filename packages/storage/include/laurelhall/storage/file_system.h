#pragma once

#include <cstdint>
#include <filesystem>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace laurelhall::storage {

/// An open file. Not thread-safe. Errors are std::system_error.
class File {
 public:
  virtual ~File() = default;

  /// Writes all the bytes at an offset; durable only after Sync().
  virtual void Write(uint64_t offset, std::string_view bytes) = 0;

  /// Reads up to `size` bytes; fewer only at the end of the file.
  virtual std::string Read(uint64_t offset, size_t size) = 0;

  /// Cuts the file; durable only after Sync().
  virtual void Truncate(uint64_t size) = 0;

  /// Makes contents and size durable. After an error, what was written since
  /// the last success may be lost even if a later call succeeds.
  virtual void Sync() = 0;

  virtual uint64_t size() = 0;
};

/// Holds a lock file until destroyed.
class FileLock {
 public:
  virtual ~FileLock() = default;
};

/// The calls on files that the store makes, replaceable for tests.
///
/// @remarks Errors are std::system_error. Created, renamed and removed names
///   are durable only after SyncFolder(). Not thread-safe.
class FileSystem {
 public:
  using Path = std::filesystem::path;

  virtual ~FileSystem() = default;

  /// Makes a folder and its parents, durably; nothing if it is there.
  virtual void CreateFolder(const Path& folder) = 0;

  /// The names in a folder, sorted.
  virtual std::vector<std::string> List(const Path& folder) = 0;

  /// Creates an empty file, in place of one of the same name.
  virtual std::unique_ptr<File> Create(const Path& path) = 0;

  /// Opens an existing file for reading and writing.
  virtual std::unique_ptr<File> Open(const Path& path) = 0;

  virtual void Rename(const Path& from, const Path& to) = 0;
  virtual void Remove(const Path& path) = 0;
  virtual void SyncFolder(const Path& folder) = 0;

  /// Takes an exclusive lock; an error at once if another holder has it.
  virtual std::unique_ptr<FileLock> Lock(const Path& path) = 0;
};

/// The system's own files. Thread-safe; lives as long as the process.
FileSystem& PosixFileSystem();

}  // namespace laurelhall::storage
