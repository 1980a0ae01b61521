#include "recovery_p.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

#include "bytes_p.h"
#include "laurelhall/base/log.h"

namespace laurelhall::storage {
namespace {

constexpr uint64_t kIdentityMagic = 0x313044494c4c48;  // "HLLID01"
constexpr size_t kIdentityBytes = 24;
constexpr const char* kIdentityFile = "identity";
constexpr const char* kSegmentFormat = "log-%016llx.wal";
constexpr uint64_t kFirstSequence = 1;
constexpr size_t kEntryHeadBytes = 17;  // Index, term and kind.

std::optional<uint64_t> ParseSegmentName(const std::string& file) {
  unsigned long long sequence = 0;
  // NOLINTNEXTLINE(cert-err34-c): the name is made again and compared.
  if (std::sscanf(file.c_str(), kSegmentFormat, &sequence) != 1 ||
      SegmentFileName(sequence) != file) {
    return std::nullopt;
  }
  return sequence;
}

std::string EncodeIdentity(consensus::NodeId identity) {
  ByteWriter writer;
  writer.PutU64(kIdentityMagic);
  writer.PutU64(identity.value);
  writer.PutU64(Checksum(writer.view(), kIdentityMagic));
  return writer.Take();
}

consensus::NodeId DecodeIdentity(const std::string& bytes) {
  if (bytes.size() == kIdentityBytes) {
    ByteReader reader(std::string_view(bytes).substr(sizeof(uint64_t)));
    const consensus::NodeId identity{reader.U64()};
    if (identity.is_valid() && EncodeIdentity(identity) == bytes) {
      return identity;
    }
  }
  throw CorruptionError(std::string(kIdentityFile) +
                        " at offset 0: identity is damaged");
}

}  // namespace

std::string SegmentFileName(uint64_t sequence) {
  std::array<char, 64> text{};
  std::snprintf(text.data(), text.size(), kSegmentFormat,
                static_cast<unsigned long long>(sequence));
  return text.data();
}

void WriteIdentity(FileSystem& files,
                   const std::filesystem::path& folder,
                   consensus::NodeId identity) {
  WriteFileAtomically(files, folder / kIdentityFile, EncodeIdentity(identity));
}

Recovery::Recovery(FileSystem& files, std::filesystem::path folder)
    : m_files(files),
      m_folder(std::move(folder)),
      m_snapshots(files, m_folder) {}

RecoveryResult Recovery::Run(consensus::NodeId new_identity) {
  FindSegments();
  const std::optional<consensus::NodeId> identity = ReadIdentity();
  if (!identity) {
    CheckNeverUsed();
    m_result.recovered.identity = new_identity;
    m_result.recovered.is_new = true;
    return std::move(m_result);
  }
  return Recover(*identity);
}

RecoveryResult Recovery::RunKnown(consensus::NodeId identity) {
  CheckIdentity(identity);
  FindSegments();
  return Recover(identity);
}

void Recovery::CheckIdentity(consensus::NodeId identity) const {
  if (ReadIdentity() != identity) {
    throw StoreFailedError(m_folder.string() +
                           ": the folder does not hold this identity now");
  }
}

RecoveryResult Recovery::Recover(consensus::NodeId identity) {
  m_result.recovered.identity = identity;
  LoadSnapshot();
  ReplaySegments();
  CheckCoverage();
  JoinSnapshotAndLog();
  Mend();
  return std::move(m_result);
}

void Recovery::FindSegments() {
  for (const std::string& file : m_files.List(m_folder)) {
    if (const std::optional<uint64_t> sequence = ParseSegmentName(file)) {
      m_sequences.push_back(*sequence);
    }
  }
  if (!m_sequences.empty()) {
    m_result.highest_sequence = m_sequences.back();
  }
}

std::optional<consensus::NodeId> Recovery::ReadIdentity() const {
  const std::vector<std::string> names = m_files.List(m_folder);
  if (!std::binary_search(names.begin(), names.end(), kIdentityFile)) {
    return std::nullopt;
  }
  const std::unique_ptr<File> file = m_files.Open(m_folder / kIdentityFile);
  return DecodeIdentity(file->Read(0, kIdentityBytes + 1));
}

/// The identity is written after the first segment's header: without it,
/// nothing but that header may be there.
void Recovery::CheckNeverUsed() {
  for (const uint64_t sequence : m_sequences) {
    const std::string name = SegmentFileName(sequence);
    const std::unique_ptr<File> file = m_files.Open(m_folder / name);
    if (file->size() > kSegmentHeaderBytes) {
      throw CorruptionError(name + " at offset 0: the identity is missing");
    }
  }
  const std::vector<SnapshotName> snapshots = m_snapshots.List();
  if (!snapshots.empty()) {
    throw CorruptionError(snapshots.front().file +
                          " at offset 0: the identity is missing");
  }
  for (const uint64_t sequence : m_sequences) {
    m_files.Remove(m_folder / SegmentFileName(sequence));
  }
  m_files.SyncFolder(m_folder);
}

void Recovery::LoadSnapshot() {
  std::vector<SnapshotName> names = m_snapshots.List();
  while (!names.empty()) {
    m_result.recovered.snapshot = m_snapshots.Read(names.back());
    if (m_result.recovered.snapshot) {
      return;
    }
    m_damaged_snapshots.push_back(names.back());
    names.pop_back();
  }
}

/// Walks back from the newest segment; older files that the chain does not
/// reach were dropped, but their removal was not yet durable.
void Recovery::ReplaySegments() {
  if (m_sequences.empty()) {
    throw CorruptionError(SegmentFileName(kFirstSequence) +
                          " at offset 0: no log segment is left");
  }
  uint64_t sequence = m_sequences.back();
  while (std::binary_search(m_sequences.begin(), m_sequences.end(), sequence)) {
    const std::string name = SegmentFileName(sequence);
    const std::unique_ptr<File> file = m_files.Open(m_folder / name);
    const bool is_last =
        sequence == m_sequences.back() && !m_is_last_header_torn;
    const SegmentScan scan =
        SegmentReader(*file, name, Expected(sequence), is_last).ReadHeader();
    if (scan.is_header_torn) {
      m_is_last_header_torn = true;
      m_result.recovered.torn_bytes += scan.file_size;
      sequence = SequenceBefore(sequence);
      continue;
    }
    m_result.segments.push_back(
        {sequence, scan.header.position, scan.file_size});
    sequence = scan.header.previous;
  }
  if (m_result.segments.empty()) {
    throw CorruptionError(SegmentFileName(sequence) +
                          " at offset 0: no log segment is whole");
  }
  std::reverse(m_result.segments.begin(), m_result.segments.end());
  for (const SegmentInfo& segment : m_result.segments) {
    Replay(segment);
  }
}

uint64_t Recovery::SequenceBefore(uint64_t sequence) const {
  const auto at =
      std::lower_bound(m_sequences.begin(), m_sequences.end(), sequence);
  return at == m_sequences.begin() ? 0 : *std::prev(at);
}

void Recovery::Replay(const SegmentInfo& segment) {
  const std::string name = SegmentFileName(segment.sequence);
  const std::unique_ptr<File> file = m_files.Open(m_folder / name);
  const bool is_first = segment.sequence == m_result.segments.front().sequence;
  const bool is_last = segment.sequence == m_result.segments.back().sequence;
  // A segment is started only once the one before is synced whole.
  SegmentReader reader(*file, name, Expected(segment.sequence),
                       is_last && !m_is_last_header_torn);
  ApplyHeader(reader.ReadHeader().header, is_first);
  m_last_scan = reader.ReadAll(
      [this](std::string_view records) { ApplyRecords(records); });
}

void Recovery::ApplyHeader(const SegmentHeader& header, bool is_first) {
  m_result.recovered.hard_state = header.hard_state;
  const consensus::EntryPosition last = m_result.positions.last();
  const bool is_next =
      header.position.index == last.index && header.position.term == last.term;
  if (is_first || !is_next) {
    // A snapshot of the leader took the place of the log.
    m_result.positions.Reset(header.position);
    m_result.recovered.entries.clear();
  }
}

void Recovery::ApplyRecords(std::string_view records) {
  ByteReader reader(records);
  while (!reader.is_at_end()) {
    const auto kind = static_cast<RecordKind>(reader.U8());
    const uint32_t length = reader.U32();
    ApplyRecord(kind, reader.Bytes(length));
  }
}

void Recovery::ApplyRecord(RecordKind kind, std::string_view body) {
  ByteReader reader(body);
  std::vector<consensus::Entry>& entries = m_result.recovered.entries;
  if (kind == RecordKind::kHardState) {
    consensus::HardState& state = m_result.recovered.hard_state;
    state.term = reader.U64();
    state.vote.value = reader.U64();
    state.commit = reader.U64();
  } else if (kind == RecordKind::kTruncate) {
    const consensus::Index from = reader.U64();
    ApplyTruncate(from);
    while (!entries.empty() && entries.back().index >= from) {
      entries.pop_back();
    }
  } else if (kind == RecordKind::kEntry) {
    consensus::Entry entry;
    entry.index = reader.U64();
    entry.term = reader.U64();
    entry.kind = static_cast<consensus::EntryKind>(reader.U8());
    m_result.positions.Append({entry.index, entry.term});
    const std::optional<consensus::Snapshot>& snapshot =
        m_result.recovered.snapshot;
    if (!snapshot || entry.index > snapshot->meta.index) {
      entry.payload = std::string(reader.Bytes(body.size() - kEntryHeadBytes));
      entries.push_back(std::move(entry));
    }
  } else {
    throw std::invalid_argument("record of an unknown kind");
  }
}

/// The first segment's start may since have been cut and written anew: the
/// snapshot covers it, or CheckCoverage() refuses.
void Recovery::ApplyTruncate(consensus::Index from) {
  const bool is_before_base = from <= m_result.positions.base().index;
  if (is_before_base && from > 0) {
    m_result.positions.Reset({from - 1, 0});
  } else {
    m_result.positions.Truncate(from);
  }
}

/// The log must reach from the snapshot in use to each damaged newer one.
void Recovery::CheckCoverage() {
  const LogPositions& positions = m_result.positions;
  const std::optional<consensus::Snapshot>& snapshot =
      m_result.recovered.snapshot;
  const consensus::Index covered = snapshot ? snapshot->meta.index : 0;
  for (const SnapshotName& damaged : m_damaged_snapshots) {
    const bool is_covered =
        positions.base().index <= covered &&
        positions.TermAt(damaged.position.index) == damaged.position.term;
    if (!is_covered) {
      throw CorruptionError(damaged.file +
                            " at offset 0: snapshot is damaged and the log "
                            "does not cover the gap");
    }
  }
  if (positions.base().index > covered) {
    throw CorruptionError(SegmentFileName(m_result.segments.front().sequence) +
                          " at offset 0: log starts after entry " +
                          std::to_string(positions.base().index) +
                          ", snapshot ends at " + std::to_string(covered));
  }
}

/// A crash may have come between a leader's snapshot and the log's reset.
void Recovery::JoinSnapshotAndLog() {
  if (!m_result.recovered.snapshot) {
    return;
  }
  const consensus::SnapshotMeta& meta = m_result.recovered.snapshot->meta;
  if (m_result.positions.TermAt(meta.index) != meta.term) {
    m_result.recovered.entries.clear();
    m_result.positions.Reset({meta.index, meta.term});
    m_result.is_log_reset = true;
  }
}

/// Cuts the torn tail and makes sure that all that was read is on the disk.
void Recovery::Mend() {
  const std::shared_ptr<spdlog::logger> log = PartLog("storage");
  for (const SnapshotName& damaged : m_damaged_snapshots) {
    m_snapshots.SetAside(damaged);
    log->warn("snapshot {} is damaged, the log covers for it.", damaged.file);
  }
  m_snapshots.RemoveUnfinished();  // First, as the disk may be full.
  MendLastSegment();
  RemoveUnusedSegments();
  m_files.SyncFolder(m_folder);
  if (m_result.recovered.torn_bytes > 0) {
    log->warn("cut {} torn bytes off the log.", m_result.recovered.torn_bytes);
  }
}

void Recovery::MendLastSegment() {
  SegmentInfo& last = m_result.segments.back();
  const std::unique_ptr<File> file =
      m_files.Open(m_folder / SegmentFileName(last.sequence));
  m_result.recovered.torn_bytes += last.bytes - m_last_scan.valid_end;
  last.bytes = m_last_scan.valid_end;
  file->Truncate(last.bytes);
  WriteLastFrameAgain(*file);
  file->Sync();
}

void Recovery::RemoveUnusedSegments() {
  for (const uint64_t sequence : m_sequences) {
    const bool is_used = std::any_of(
        m_result.segments.begin(), m_result.segments.end(),
        [&](const SegmentInfo& used) { return used.sequence == sequence; });
    if (!is_used) {
      m_files.Remove(m_folder / SegmentFileName(sequence));
    }
  }
}

/// After a failed sync the system may count pages as clean that never reached
/// the disk; they can only be in the last frame, which is written once more.
void Recovery::WriteLastFrameAgain(File& file) {
  const uint64_t end = m_last_scan.valid_end;
  file.Write(0, file.Read(0, std::min(end, kSegmentHeaderBytes)));
  const uint64_t start = m_last_scan.last_frame_start;
  if (start != 0) {
    file.Write(start, file.Read(start, end - start));
  }
}

SegmentHeader Recovery::Expected(uint64_t sequence) const {
  SegmentHeader header;
  header.identity = m_result.recovered.identity.value;
  header.sequence = sequence;
  return header;
}

}  // namespace laurelhall::storage
