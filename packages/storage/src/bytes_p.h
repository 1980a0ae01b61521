#pragma once

#include <array>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

#include "xxhash.h"

namespace laurelhall::storage {

/// Appends little-endian numbers and bytes to a string.
class ByteWriter {
 public:
  void PutU8(uint8_t value) { m_bytes.push_back(static_cast<char>(value)); }
  void PutU32(uint32_t value) { Put(value, sizeof(value)); }
  void PutU64(uint64_t value) { Put(value, sizeof(value)); }
  void PutBytes(std::string_view bytes) { m_bytes.append(bytes); }

  size_t size() const { return m_bytes.size(); }
  std::string_view view() const { return m_bytes; }
  std::string Take() { return std::move(m_bytes); }
  void Clear() { m_bytes.clear(); }

 private:
  void Put(uint64_t value, size_t size) {
    for (size_t i = 0; i < size; ++i) {
      m_bytes.push_back(static_cast<char>(value >> (8 * i)));
    }
  }

  std::string m_bytes;
};

/// Reads what ByteWriter wrote; throws std::out_of_range past the end.
class ByteReader {
 public:
  explicit ByteReader(std::string_view bytes) : m_bytes(bytes) {}

  uint8_t U8() { return static_cast<uint8_t>(Get(sizeof(uint8_t))); }
  uint32_t U32() { return static_cast<uint32_t>(Get(sizeof(uint32_t))); }
  uint64_t U64() { return Get(sizeof(uint64_t)); }

  std::string_view Bytes(size_t size) {
    if (size > m_bytes.size()) {
      throw std::out_of_range("bytes end early");
    }
    const std::string_view bytes = m_bytes.substr(0, size);
    m_bytes.remove_prefix(size);
    return bytes;
  }

  bool is_at_end() const { return m_bytes.empty(); }

 private:
  uint64_t Get(size_t size) {
    const std::string_view bytes = Bytes(size);
    uint64_t value = 0;
    for (size_t i = 0; i < size; ++i) {
      value |= uint64_t{static_cast<uint8_t>(bytes[i])} << (8 * i);
    }
    return value;
  }

  std::string_view m_bytes;
};

inline uint64_t Checksum(std::string_view bytes, uint64_t seed) {
  return XXH64(bytes.data(), bytes.size(), seed);
}

/// A seed made of two numbers.
inline uint64_t MixSeed(uint64_t first, uint64_t second) {
  const std::array<uint64_t, 2> both = {first, second};
  return XXH64(both.data(), sizeof(both), 0);
}

}  // namespace laurelhall::storage
