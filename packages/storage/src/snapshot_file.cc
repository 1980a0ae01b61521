#include "snapshot_file_p.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <string_view>
#include <utility>

#include "bytes_p.h"
#include "laurelhall/consensus/message.h"

namespace laurelhall::storage {
namespace {

constexpr uint64_t kMagic = 0x3130504e534c4c48;  // "HLLSNP01"
constexpr size_t kKeptSnapshots = 2;
constexpr const char* kTemporarySuffix = ".tmp";
constexpr const char* kDamagedSuffix = ".damaged";
constexpr const char* kNameFormat = "snapshot-%016llx-%016llx.snap";

std::string FileName(consensus::EntryPosition position) {
  std::array<char, 64> text{};
  std::snprintf(text.data(), text.size(), kNameFormat,
                static_cast<unsigned long long>(position.index),
                static_cast<unsigned long long>(position.term));
  return text.data();
}

std::optional<SnapshotName> ParseName(const std::string& file) {
  unsigned long long index = 0;
  unsigned long long term = 0;
  // NOLINTNEXTLINE(cert-err34-c): the name is made again and compared.
  if (std::sscanf(file.c_str(), kNameFormat, &index, &term) != 2) {
    return std::nullopt;
  }
  const SnapshotName name{file, {index, term}};
  if (FileName(name.position) != file) {
    return std::nullopt;
  }
  return name;
}

std::string Encode(const consensus::Snapshot& snapshot) {
  const std::string membership =
      consensus::EncodeMembership(snapshot.meta.membership);
  ByteWriter writer;
  writer.PutU64(kMagic);
  writer.PutU64(snapshot.meta.index);
  writer.PutU64(snapshot.meta.term);
  writer.PutU64(membership.size());
  writer.PutU64(snapshot.data.size());
  writer.PutBytes(membership);
  writer.PutBytes(snapshot.data);
  writer.PutU64(Checksum(writer.view(), kMagic));
  return writer.Take();
}

consensus::Snapshot Decode(std::string_view bytes) {
  if (bytes.size() < sizeof(uint64_t)) {
    throw std::out_of_range("too short");
  }
  const std::string_view checked =
      bytes.substr(0, bytes.size() - sizeof(uint64_t));
  ByteReader checksum(bytes.substr(checked.size()));
  if (checksum.U64() != Checksum(checked, kMagic)) {
    throw std::invalid_argument("checksum differs");
  }
  ByteReader reader(checked);
  if (reader.U64() != kMagic) {
    throw std::invalid_argument("not a snapshot");
  }
  consensus::Snapshot snapshot;
  snapshot.meta.index = reader.U64();
  snapshot.meta.term = reader.U64();
  const uint64_t membership_bytes = reader.U64();
  const uint64_t data_bytes = reader.U64();
  snapshot.meta.membership =
      consensus::DecodeMembership(std::string(reader.Bytes(membership_bytes)));
  snapshot.data = std::string(reader.Bytes(data_bytes));
  return snapshot;
}

}  // namespace

void WriteFileAtomically(FileSystem& files,
                         const std::filesystem::path& path,
                         std::string_view bytes) {
  const std::filesystem::path temporary = path.string() + kTemporarySuffix;
  const std::unique_ptr<File> file = files.Create(temporary);
  file->Write(0, bytes);
  file->Sync();
  files.Rename(temporary, path);
  files.SyncFolder(path.parent_path());
}

SnapshotFolder::SnapshotFolder(FileSystem& files, std::filesystem::path folder)
    : m_files(files), m_folder(std::move(folder)) {}

std::vector<SnapshotName> SnapshotFolder::List() const {
  std::vector<SnapshotName> names;
  for (const std::string& file : m_files.List(m_folder)) {
    if (const std::optional<SnapshotName> name = ParseName(file)) {
      names.push_back(*name);
    }
  }
  return names;
}

std::optional<consensus::Snapshot> SnapshotFolder::Read(
    const SnapshotName& name) const {
  const std::unique_ptr<File> file = m_files.Open(m_folder / name.file);
  try {
    consensus::Snapshot snapshot = Decode(file->Read(0, file->size()));
    if (snapshot.meta.index == name.position.index &&
        snapshot.meta.term == name.position.term) {
      return snapshot;
    }
  } catch (const std::logic_error&) {
    // Damaged: the caller decides what that means.
  }
  return std::nullopt;
}

void SnapshotFolder::Write(const consensus::Snapshot& snapshot) {
  const std::string file = FileName({snapshot.meta.index, snapshot.meta.term});
  WriteFileAtomically(m_files, m_folder / file, Encode(snapshot));
}

void SnapshotFolder::SetAside(const SnapshotName& name) {
  m_files.Rename(m_folder / name.file, m_folder / (name.file + kDamagedSuffix));
}

uint64_t SnapshotFolder::disk_bytes() const {
  uint64_t bytes = 0;
  for (const SnapshotName& name : List()) {
    bytes += m_files.Open(m_folder / name.file)->size();
  }
  return bytes;
}

void SnapshotFolder::RemoveEndingWith(
    std::initializer_list<std::string_view> suffixes) {
  for (const std::string& file : m_files.List(m_folder)) {
    const bool is_meant =
        std::any_of(suffixes.begin(), suffixes.end(),
                    [&](std::string_view end) { return file.ends_with(end); });
    if (is_meant) {
      m_files.Remove(m_folder / file);
    }
  }
}

void SnapshotFolder::RemoveUnfinished() {
  RemoveEndingWith({kTemporarySuffix});
}

void SnapshotFolder::RemoveOld() {
  const std::vector<SnapshotName> names = List();
  for (size_t i = 0; i + kKeptSnapshots < names.size(); ++i) {
    m_files.Remove(m_folder / names[i].file);
  }
  RemoveEndingWith({kTemporarySuffix, kDamagedSuffix});
}

}  // namespace laurelhall::storage
