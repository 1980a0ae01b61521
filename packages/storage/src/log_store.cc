#include "laurelhall/storage/log_store.h"

#include <exception>
#include <random>
#include <system_error>
#include <utility>

#include "bytes_p.h"
#include "laurelhall/storage/file_system.h"
#include "log_positions_p.h"
#include "recovery_p.h"
#include "segment_p.h"
#include "snapshot_file_p.h"

namespace laurelhall::storage {
namespace {

constexpr const char* kLockFile = "lock";
constexpr size_t kMaxEntryBytes = 256U << 20;
/// More than this is written before the caller asks for it.
constexpr size_t kMaxBufferedBytes = 64U << 20;

consensus::NodeId MakeIdentity(uint64_t seed) {
  std::random_device device;
  std::mt19937_64 random(
      seed != 0 ? seed : MixSeed(MixSeed(device(), device()), device()));
  uint64_t value = 0;
  while (value == 0) {
    value = random();
  }
  return {value};
}

}  // namespace

consensus::EntryPosition Recovered::last() const {
  if (!entries.empty()) {
    return {entries.back().index, entries.back().term};
  }
  return snapshot ? consensus::EntryPosition{snapshot->meta.index,
                                             snapshot->meta.term}
                  : consensus::EntryPosition{};
}

class LogStore::Impl {
 public:
  explicit Impl(const LogStoreInit& init)
      : m_files(init.file_system != nullptr ? *init.file_system
                                            : PosixFileSystem()),
        m_folder(init.folder),
        m_segment_bytes(init.segment_bytes),
        m_snapshots(m_files, m_folder) {
    m_files.CreateFolder(m_folder);
    m_lock = m_files.Lock(m_folder / kLockFile);
    Adopt(Recovery(m_files, m_folder).Run(MakeIdentity(init.identity_seed)));
  }

  Recovered Reopen() {
    m_failure = "storage failed: it is not open again";
    m_file.reset();
    m_buffer.Clear();
    // The volume may be away, and come back as another folder under this path:
    // not even the lock file is made in one that is not this host's.
    Recovery recovery(m_files, m_folder);
    recovery.CheckIdentity(m_identity);
    m_lock.reset();
    m_lock = m_files.Lock(m_folder / kLockFile);
    Adopt(recovery.RunKnown(m_identity));
    m_failure.clear();
    return TakeRecovered();
  }

  Recovered TakeRecovered() { return std::move(m_recovered); }

  void SaveHardState(const consensus::HardState& hard_state) {
    CheckUsable();
    ByteWriter body;
    body.PutU64(hard_state.term);
    body.PutU64(hard_state.vote.value);
    body.PutU64(hard_state.commit);
    Buffer(RecordKind::kHardState, body.view(), {});
    m_hard_state = hard_state;
  }

  void Truncate(consensus::Index from) {
    CheckUsable();
    if (from > m_positions.last().index) {
      return;
    }
    m_positions.Truncate(from);
    ByteWriter body;
    body.PutU64(from);
    Buffer(RecordKind::kTruncate, body.view(), {});
  }

  void Append(const std::vector<consensus::Entry>& entries) {
    CheckUsable();
    for (const consensus::Entry& entry : entries) {
      AppendOne(entry);
      if (m_buffer.size() > kMaxBufferedBytes) {
        Sync();
      }
    }
  }

  void Sync() {
    Guard([this] { WriteBuffer(); });
  }

  void SaveSnapshot(const consensus::Snapshot& snapshot) {
    Guard([&] {
      WriteBuffer();
      if (snapshot.meta.index > m_snapshot_index) {
        WriteSnapshot(snapshot);
      }
    });
  }

  uint64_t disk_bytes() const {
    uint64_t bytes = m_snapshot_bytes;
    for (const SegmentInfo& segment : m_segments) {
      bytes += segment.bytes;
    }
    return bytes;
  }

 private:
  void Adopt(RecoveryResult result) {
    m_recovered = std::move(result.recovered);
    m_identity = m_recovered.identity;
    m_positions = std::move(result.positions);
    m_segments = std::move(result.segments);
    m_next_sequence = result.highest_sequence + 1;
    m_hard_state = m_recovered.hard_state;
    m_snapshot_bytes = m_snapshots.disk_bytes();
    m_snapshot_index =
        m_recovered.snapshot ? m_recovered.snapshot->meta.index : 0;
    MarkSynced();
    const bool is_last_empty = !m_segments.empty() && !result.is_log_reset &&
                               m_segments.back().bytes == kSegmentHeaderBytes;
    if (is_last_empty) {
      ContinueSegment();
    } else {
      StartSegment({});
    }
    if (m_recovered.is_new) {
      WriteIdentity(m_files, m_folder, m_recovered.identity);
    }
  }

  void AppendOne(const consensus::Entry& entry) {
    if (entry.payload.size() > kMaxEntryBytes) {
      throw std::invalid_argument("entry is too large for the log");
    }
    m_positions.Append({entry.index, entry.term});
    ByteWriter head;
    head.PutU64(entry.index);
    head.PutU64(entry.term);
    head.PutU8(static_cast<uint8_t>(entry.kind));
    Buffer(RecordKind::kEntry, head.view(), entry.payload);
  }

  void Buffer(RecordKind kind, std::string_view head, std::string_view rest) {
    m_buffer.PutU8(static_cast<uint8_t>(kind));
    m_buffer.PutU32(static_cast<uint32_t>(head.size() + rest.size()));
    m_buffer.PutBytes(head);
    m_buffer.PutBytes(rest);
  }

  void WriteBuffer() {
    if (m_buffer.size() == 0) {
      return;
    }
    SegmentInfo& segment = m_segments.back();
    if (segment.bytes >= m_segment_bytes) {
      StartSegment(m_buffer.view());
    } else {
      const std::string frame =
          EncodeFrame(m_buffer.view(), m_seed, segment.bytes);
      m_file->Write(segment.bytes, frame);
      m_file->Sync();
      segment.bytes += frame.size();
    }
    m_buffer.Clear();
    MarkSynced();
  }

  /// Starts a segment, with a first frame unless there are no records.
  void StartSegment(std::string_view records) {
    SegmentHeader header;
    header.identity = m_identity.value;
    header.sequence = m_next_sequence++;
    header.previous = m_segments.empty() ? 0 : m_segments.back().sequence;
    header.position = m_synced_position;
    header.hard_state = m_synced_hard_state;
    std::string bytes = EncodeSegmentHeader(header);
    m_seed = header.seed();
    if (!records.empty()) {
      bytes += EncodeFrame(records, m_seed, bytes.size());
    }
    m_file = m_files.Create(m_folder / SegmentFileName(header.sequence));
    m_file->Write(0, bytes);
    m_file->Sync();
    m_files.SyncFolder(m_folder);
    m_segments.push_back({header.sequence, header.position, bytes.size()});
  }

  void ContinueSegment() {
    SegmentHeader header;
    header.identity = m_identity.value;
    header.sequence = m_segments.back().sequence;
    m_seed = header.seed();
    m_file = m_files.Open(m_folder / SegmentFileName(header.sequence));
  }

  void WriteSnapshot(const consensus::Snapshot& snapshot) {
    const consensus::EntryPosition position = {snapshot.meta.index,
                                               snapshot.meta.term};
    m_snapshots.Write(snapshot);
    m_snapshot_index = position.index;
    if (m_positions.TermAt(position.index) != position.term) {
      m_positions.Reset(position);
      MarkSynced();
      StartSegment({});
    }
    m_snapshots.RemoveOld();
    DropSegments();
    m_snapshot_bytes = m_snapshots.disk_bytes();
  }

  /// Drops what even the older of two snapshots does not need.
  void DropSegments() {
    const std::vector<SnapshotName> names = m_snapshots.List();
    if (names.size() < 2) {
      return;
    }
    const consensus::Index covered = names.front().position.index;
    while (m_segments.size() > 1 && m_segments[1].position.index <= covered) {
      m_files.Remove(m_folder / SegmentFileName(m_segments[0].sequence));
      m_segments.erase(m_segments.begin());
    }
  }

  void MarkSynced() {
    m_synced_position = m_positions.last();
    m_synced_hard_state = m_hard_state;
  }

  void CheckUsable() const {
    if (!m_failure.empty()) {
      throw StoreFailedError(m_failure);
    }
  }

  /// Runs a step that writes; the first error is the last thing that runs.
  template <typename Step>
  void Guard(const Step& step) {
    CheckUsable();
    try {
      step();
    } catch (const std::exception& error) {
      m_failure = std::string("storage failed: ") + error.what();
      throw StoreFailedError(m_failure);
    }
  }

  FileSystem& m_files;
  const std::filesystem::path m_folder;
  const uint64_t m_segment_bytes;
  SnapshotFolder m_snapshots;
  std::unique_ptr<FileLock> m_lock;
  Recovered m_recovered;
  consensus::NodeId m_identity;
  std::string m_failure;  // Empty while all is well.

  LogPositions m_positions;  // With what is buffered.
  consensus::HardState m_hard_state;
  consensus::EntryPosition m_synced_position;
  consensus::HardState m_synced_hard_state;
  ByteWriter m_buffer;

  std::vector<SegmentInfo> m_segments;  // Oldest first; the last is written.
  uint64_t m_next_sequence = 1;
  std::unique_ptr<File> m_file;
  uint64_t m_seed = 0;  // Of the frames in m_file.
  consensus::Index m_snapshot_index = 0;
  uint64_t m_snapshot_bytes = 0;
};

LogStore::LogStore(const LogStoreInit& init) {
  try {
    m_impl = std::make_unique<Impl>(init);
  } catch (const std::system_error& error) {
    if (error.code() == std::errc::resource_unavailable_try_again) {
      throw StoreInUseError(std::string("storage is in use: ") + error.what());
    }
    throw StoreFailedError(std::string("storage cannot be used: ") +
                           error.what());
  }
}

LogStore::~LogStore() = default;

Recovered LogStore::Reopen() {
  try {
    return m_impl->Reopen();
  } catch (const std::system_error& error) {
    throw StoreFailedError(std::string("storage cannot be opened again: ") +
                           error.what());
  }
}

Recovered LogStore::TakeRecovered() {
  return m_impl->TakeRecovered();
}

void LogStore::SaveHardState(const consensus::HardState& hard_state) {
  m_impl->SaveHardState(hard_state);
}

void LogStore::Truncate(consensus::Index from) {
  m_impl->Truncate(from);
}

void LogStore::Append(const std::vector<consensus::Entry>& entries) {
  m_impl->Append(entries);
}

void LogStore::Sync() {
  m_impl->Sync();
}

void LogStore::SaveSnapshot(const consensus::Snapshot& snapshot) {
  m_impl->SaveSnapshot(snapshot);
}

uint64_t LogStore::disk_bytes() const {
  return m_impl->disk_bytes();
}

}  // namespace laurelhall::storage
