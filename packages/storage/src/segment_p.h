#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "laurelhall/consensus/message.h"
#include "laurelhall/storage/file_system.h"

// A segment is a file of the log: one header, then frames. A frame holds the
// records of one sync and is checked as a whole, so that a crash during a
// sync damages the last frame only.
namespace laurelhall::storage {

enum class RecordKind : uint8_t { kHardState, kEntry, kTruncate, kCount };

/// A disk writes units of this size whole or not at all.
inline constexpr uint64_t kSectorBytes = 512;
/// Frames start at multiples of this, so that no frame header is split.
inline constexpr uint64_t kFrameAlignment = 16;
inline constexpr uint64_t kFrameHeaderBytes = 16;
inline constexpr uint64_t kSegmentHeaderBytes = 80;
inline constexpr uint32_t kMaxFrameBytes = 512U << 20;

struct SegmentHeader {
  uint64_t identity = 0;
  uint64_t sequence = 0;
  uint64_t previous = 0;  ///< Sequence of the segment before; 0 is none.
  consensus::EntryPosition position;  ///< The log's last entry before this.
  consensus::HardState hard_state;    ///< In force where the segment starts.

  /// The seed of its frames' checksums; no other segment shares it.
  uint64_t seed() const;
};

std::string EncodeSegmentHeader(const SegmentHeader& header);

/// Packs records into a frame that is valid at this offset only.
std::string EncodeFrame(std::string_view records,
                        uint64_t seed,
                        uint64_t offset);

/// What reading a segment found.
struct SegmentScan {
  SegmentHeader header;
  bool is_header_torn = false;    ///< The whole file is a torn tail.
  uint64_t valid_end = 0;         ///< Where the last good frame ends.
  uint64_t last_frame_start = 0;  ///< 0 when there is no frame.
  uint64_t file_size = 0;
};

/// Reads one segment frame by frame.
class SegmentReader {
 public:
  using OnRecords = std::function<void(std::string_view records)>;

  /// @param is_last A tail torn by a crash is allowed here only.
  /// @param expected Identity and sequence that the header must name.
  SegmentReader(File& file,
                std::string name,
                const SegmentHeader& expected,
                bool is_last);

  /// Checks the header alone. @throws CorruptionError.
  SegmentScan ReadHeader();

  /// Hands on the records of each good frame. @throws CorruptionError with
  /// file and offset.
  SegmentScan ReadAll(const OnRecords& on_records);

 private:
  struct Frame;

  Frame ReadFrame(uint64_t offset);
  void CheckTorn(const Frame& frame, uint64_t offset);
  bool HasZeroPiece(uint64_t begin, uint64_t end);
  bool IsZero(uint64_t begin, uint64_t end);
  bool IsValidFrameAfter(uint64_t offset);
  [[noreturn]] void Refuse(uint64_t offset, const std::string& why) const;

  File& m_file;
  std::string m_name;
  SegmentHeader m_expected;
  bool m_is_last;
  uint64_t m_size;
};

}  // namespace laurelhall::storage
