#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <system_error>
#include <utility>

#include "laurelhall/storage/file_system.h"

namespace laurelhall::storage {
namespace {

constexpr int kFileMode = 0640;

[[noreturn]] void Fail(const std::string& what) {
  throw std::system_error(errno, std::generic_category(), what);
}

/// Owns a file descriptor.
class Descriptor {
 public:
  Descriptor(const std::filesystem::path& path, int flags)
      : m_path(path.string()),
        m_value(::open(path.c_str(), flags | O_CLOEXEC, kFileMode)) {
    if (m_value < 0) {
      Fail("open " + m_path);
    }
  }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  ~Descriptor() { ::close(m_value); }

  int get() const { return m_value; }
  const std::string& path() const { return m_path; }

 private:
  std::string m_path;
  int m_value;
};

class PosixFile : public File {
 public:
  PosixFile(const std::filesystem::path& path, int flags)
      : m_descriptor(path, flags) {}

  void Write(uint64_t offset, std::string_view bytes) override {
    while (!bytes.empty()) {
      const ssize_t written =
          ::pwrite(m_descriptor.get(), bytes.data(), bytes.size(),
                   static_cast<off_t>(offset));
      if (written < 0 && errno == EINTR) {
        continue;
      }
      if (written < 0) {
        Fail("write " + m_descriptor.path());
      }
      bytes.remove_prefix(static_cast<size_t>(written));
      offset += static_cast<uint64_t>(written);
    }
  }

  std::string Read(uint64_t offset, size_t size) override {
    std::string bytes(size, '\0');
    size_t filled = 0;
    while (filled < size) {
      const ssize_t count =
          ::pread(m_descriptor.get(), bytes.data() + filled, size - filled,
                  static_cast<off_t>(offset + filled));
      if (count < 0 && errno == EINTR) {
        continue;
      }
      if (count < 0) {
        Fail("read " + m_descriptor.path());
      }
      if (count == 0) {
        break;
      }
      filled += static_cast<size_t>(count);
    }
    bytes.resize(filled);
    return bytes;
  }

  void Truncate(uint64_t size) override {
    if (::ftruncate(m_descriptor.get(), static_cast<off_t>(size)) != 0) {
      Fail("truncate " + m_descriptor.path());
    }
  }

  void Sync() override {
    if (::fdatasync(m_descriptor.get()) != 0) {
      Fail("sync " + m_descriptor.path());
    }
  }

  uint64_t size() override {
    struct stat status {};
    if (::fstat(m_descriptor.get(), &status) != 0) {
      Fail("stat " + m_descriptor.path());
    }
    return static_cast<uint64_t>(status.st_size);
  }

 private:
  Descriptor m_descriptor;
};

class PosixLock : public FileLock {
 public:
  explicit PosixLock(const std::filesystem::path& path)
      : m_descriptor(path, O_RDWR | O_CREAT) {
    if (::flock(m_descriptor.get(), LOCK_EX | LOCK_NB) != 0) {
      Fail("lock " + m_descriptor.path());
    }
  }

 private:
  Descriptor m_descriptor;
};

class PosixFiles : public FileSystem {
 public:
  void CreateFolder(const Path& folder) override {
    const Path whole = std::filesystem::absolute(folder).lexically_normal();
    if (std::filesystem::is_directory(whole)) {
      return;
    }
    CreateFolder(whole.parent_path());
    std::filesystem::create_directory(whole);
    SyncFolder(whole.parent_path());
  }

  std::vector<std::string> List(const Path& folder) override {
    std::vector<std::string> names;
    for (const auto& entry : std::filesystem::directory_iterator(folder)) {
      names.push_back(entry.path().filename().string());
    }
    std::sort(names.begin(), names.end());
    return names;
  }

  std::unique_ptr<File> Create(const Path& path) override {
    return std::make_unique<PosixFile>(path, O_RDWR | O_CREAT | O_TRUNC);
  }

  std::unique_ptr<File> Open(const Path& path) override {
    return std::make_unique<PosixFile>(path, O_RDWR);
  }

  void Rename(const Path& from, const Path& to) override {
    std::filesystem::rename(from, to);
  }

  void Remove(const Path& path) override { std::filesystem::remove(path); }

  void SyncFolder(const Path& folder) override {
    const Descriptor descriptor(folder, O_RDONLY | O_DIRECTORY);
    if (::fsync(descriptor.get()) != 0) {
      Fail("sync folder " + descriptor.path());
    }
  }

  std::unique_ptr<FileLock> Lock(const Path& path) override {
    return std::make_unique<PosixLock>(path);
  }
};

}  // namespace

FileSystem& PosixFileSystem() {
  static PosixFiles files;
  return files;
}

}  // namespace laurelhall::storage
