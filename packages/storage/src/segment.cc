#include <algorithm>
#include <optional>
#include <utility>

#include "bytes_p.h"
#include "laurelhall/storage/log_store.h"
#include "segment_p.h"

namespace laurelhall::storage {
namespace {

constexpr uint64_t kMagic = 0x31304c41574c4c48;  // "HLLWAL01"
constexpr uint64_t kChecksumBytes = 8;
constexpr size_t kMinFillBytes = 8;
// Not zero, so that the last sector of a frame never looks unwritten.
constexpr char kFillByte = '\xa5';
constexpr size_t kScanChunkBytes = 64 << 10;

uint64_t PaddedBytes(uint64_t record_bytes) {
  const uint64_t least = record_bytes + kMinFillBytes;
  return (least + kFrameAlignment - 1) / kFrameAlignment * kFrameAlignment;
}

uint32_t HeaderCheck(uint32_t length, uint64_t frame_seed) {
  return static_cast<uint32_t>(MixSeed(frame_seed, length));
}

/// The length that a frame header names, if the header is good.
std::optional<uint32_t> DecodeLength(std::string_view header,
                                     uint64_t frame_seed) {
  ByteReader reader(header);
  const uint32_t length = reader.U32();
  const uint32_t check = reader.U32();
  if (length > kMaxFrameBytes || check != HeaderCheck(length, frame_seed)) {
    return std::nullopt;
  }
  return length;
}

std::optional<SegmentHeader> DecodeSegmentHeader(std::string_view bytes) {
  const std::string_view checked = bytes.substr(0, bytes.size() - 8);
  ByteReader checksum(bytes.substr(checked.size()));
  ByteReader reader(checked);
  const uint64_t magic = reader.U64();
  if (checksum.U64() != Checksum(checked, kMagic) || magic != kMagic) {
    return std::nullopt;
  }
  SegmentHeader header;
  header.identity = reader.U64();
  header.sequence = reader.U64();
  header.previous = reader.U64();
  header.position.index = reader.U64();
  header.position.term = reader.U64();
  header.hard_state.term = reader.U64();
  header.hard_state.vote.value = reader.U64();
  header.hard_state.commit = reader.U64();
  return header;
}

}  // namespace

uint64_t SegmentHeader::seed() const {
  return MixSeed(identity, sequence);
}

std::string EncodeSegmentHeader(const SegmentHeader& header) {
  ByteWriter writer;
  writer.PutU64(kMagic);
  writer.PutU64(header.identity);
  writer.PutU64(header.sequence);
  writer.PutU64(header.previous);
  writer.PutU64(header.position.index);
  writer.PutU64(header.position.term);
  writer.PutU64(header.hard_state.term);
  writer.PutU64(header.hard_state.vote.value);
  writer.PutU64(header.hard_state.commit);
  writer.PutU64(Checksum(writer.view(), kMagic));
  return writer.Take();
}

std::string EncodeFrame(std::string_view records,
                        uint64_t seed,
                        uint64_t offset) {
  const uint64_t frame_seed = MixSeed(seed, offset);
  const auto length = static_cast<uint32_t>(records.size());
  std::string body(records);
  body.resize(PaddedBytes(records.size()), kFillByte);
  ByteWriter writer;
  writer.PutU32(length);
  writer.PutU32(HeaderCheck(length, frame_seed));
  writer.PutU64(Checksum(body, frame_seed));
  writer.PutBytes(body);
  return writer.Take();
}

/// A frame as it stands in the file.
struct SegmentReader::Frame {
  bool is_header_good = false;
  bool is_good = false;
  uint64_t end = 0;  ///< Where it ends, or its header if that is bad.
  uint32_t length = 0;
  std::string body;
};

SegmentReader::SegmentReader(File& file,
                             std::string name,
                             const SegmentHeader& expected,
                             bool is_last)
    : m_file(file),
      m_name(std::move(name)),
      m_expected(expected),
      m_is_last(is_last),
      m_size(file.size()) {}

SegmentScan SegmentReader::ReadHeader() {
  SegmentScan scan;
  scan.file_size = m_size;
  const std::string bytes = m_file.Read(0, kSegmentHeaderBytes);
  if (bytes.size() == kSegmentHeaderBytes) {
    const std::optional<SegmentHeader> header = DecodeSegmentHeader(bytes);
    if (header && (header->identity != m_expected.identity ||
                   header->sequence != m_expected.sequence)) {
      Refuse(0, "belongs to another host or place in the log");
    }
    if (header) {
      scan.header = *header;
      scan.valid_end = kSegmentHeaderBytes;
      return scan;
    }
  }
  const bool is_short = m_size < kSegmentHeaderBytes;
  if (!m_is_last || !(is_short || IsZero(0, std::min(m_size, kSectorBytes)))) {
    Refuse(0, "segment header is damaged");
  }
  if (IsValidFrameAfter(kSegmentHeaderBytes)) {
    Refuse(0, "segment header is damaged and valid records follow");
  }
  scan.is_header_torn = true;
  return scan;
}

SegmentScan SegmentReader::ReadAll(const OnRecords& on_records) {
  SegmentScan scan = ReadHeader();
  if (scan.is_header_torn) {
    return scan;
  }
  while (scan.valid_end < m_size) {
    const uint64_t start = scan.valid_end;
    const Frame frame = ReadFrame(start);
    if (!frame.is_good) {
      CheckTorn(frame, start);
      break;
    }
    try {
      on_records(std::string_view(frame.body).substr(0, frame.length));
    } catch (const std::exception& error) {
      Refuse(start, error.what());
    }
    scan.last_frame_start = start;
    scan.valid_end = frame.end;
  }
  return scan;
}

SegmentReader::Frame SegmentReader::ReadFrame(uint64_t offset) {
  Frame frame;
  frame.end = offset + kFrameHeaderBytes;
  const std::string header = m_file.Read(offset, kFrameHeaderBytes);
  if (header.size() < kFrameHeaderBytes) {
    return frame;
  }
  const uint64_t frame_seed = MixSeed(m_expected.seed(), offset);
  const std::optional<uint32_t> length = DecodeLength(header, frame_seed);
  if (!length) {
    return frame;
  }
  frame.is_header_good = true;
  frame.length = *length;
  frame.end += PaddedBytes(*length);
  if (frame.end > m_size) {
    return frame;  // Nothing is read for a length that the file cannot hold.
  }
  frame.body = m_file.Read(offset + kFrameHeaderBytes, PaddedBytes(*length));
  ByteReader checksum(std::string_view(header).substr(kChecksumBytes));
  frame.is_good = checksum.U64() == Checksum(frame.body, frame_seed);
  return frame;
}

/// Throws unless a crash during the last sync explains the bad frame.
void SegmentReader::CheckTorn(const Frame& frame, uint64_t offset) {
  if (!m_is_last) {
    Refuse(offset, "record is damaged and later segments follow");
  }
  if (frame.is_header_good && frame.end < m_size) {
    Refuse(offset, "record is damaged and more follows it");
  }
  const bool is_cut = frame.end > m_size;
  if (!is_cut && !HasZeroPiece(offset, frame.end)) {
    Refuse(offset, "record is damaged, no crash leaves it so");
  }
  if (!frame.is_header_good && IsValidFrameAfter(offset + kFrameAlignment)) {
    Refuse(offset, "record is damaged and valid records follow");
  }
}

/// Whether a sector that overlaps the range was never written.
bool SegmentReader::HasZeroPiece(uint64_t begin, uint64_t end) {
  for (uint64_t piece = begin; piece < end;) {
    const uint64_t next = (piece / kSectorBytes + 1) * kSectorBytes;
    if (IsZero(piece, std::min(next, m_size))) {
      return true;
    }
    piece = next;
  }
  return false;
}

bool SegmentReader::IsZero(uint64_t begin, uint64_t end) {
  const std::string bytes = m_file.Read(begin, end - begin);
  return bytes.find_first_not_of('\0') == std::string::npos;
}

bool SegmentReader::IsValidFrameAfter(uint64_t offset) {
  std::string chunk;
  uint64_t chunk_start = 0;
  for (; offset + kFrameHeaderBytes <= m_size; offset += kFrameAlignment) {
    if (chunk.empty() || offset >= chunk_start + chunk.size()) {
      chunk_start = offset;
      chunk = m_file.Read(offset, kScanChunkBytes);
    }
    const std::string_view header =
        std::string_view(chunk).substr(offset - chunk_start, kFrameHeaderBytes);
    const uint64_t frame_seed = MixSeed(m_expected.seed(), offset);
    if (header.size() == kFrameHeaderBytes &&
        DecodeLength(header, frame_seed) && ReadFrame(offset).is_good) {
      return true;
    }
  }
  return false;
}

void SegmentReader::Refuse(uint64_t offset, const std::string& why) const {
  throw CorruptionError(m_name + " at offset " + std::to_string(offset) + ": " +
                        why);
}

}  // namespace laurelhall::storage
