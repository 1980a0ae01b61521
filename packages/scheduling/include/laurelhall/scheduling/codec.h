#pragma once

#include <charconv>
#include <chrono>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "laurelhall/base/time.h"

// A compact text encoding of records: an integer is followed by a space, a
// string is preceded by its length and a colon. A struct is supported by a
// function Visit(archive, value) in its namespace, which serves both
// directions. Boost.JSON takes about ten times the processor time for the start
// of a task, and every control host bears it.
namespace laurelhall::scheduling {

/// Thrown for a text that is not an output of the encoder.
class CodecError : public std::invalid_argument {
  using std::invalid_argument::invalid_argument;
};

/// Encodes a sequence of values. Not thread-safe.
class Encoder {
 public:
  template <typename... Values>
  void operator()(Values&... values) {
    (Write(values), ...);
  }

  /// Writes fields at the end of a text that earlier versions did not write;
  /// see Decoder::Later().
  template <typename... Values>
  void TrailingFields(Values&... values) {
    (Write(values), ...);
  }

  /// Writes a list at the end of a text, which is left out if it is empty, so
  /// that earlier versions can read a text without it.
  template <typename T>
  void TrailingList(std::vector<T>& values) {
    if (!values.empty()) {
      Write(values);
    }
  }

  /// Moves the encoded text out.
  std::string Take() { return std::move(m_text); }

 private:
  template <typename T>
  void Write(T& value) {
    if constexpr (std::is_enum_v<T> || std::is_integral_v<T>) {
      WriteNumber(static_cast<int64_t>(value));
    } else if constexpr (std::is_floating_point_v<T>) {
      // Fixed point with three decimals, the precision in which stretches and
      // shares are configured.
      WriteNumber(
          static_cast<int64_t>(value * 1000 + (value < 0 ? -0.5 : 0.5)));
    } else {
      Visit(*this, value);
    }
  }

  template <typename Rep, typename Period>
  void Write(std::chrono::duration<Rep, Period>& value) {
    WriteNumber(static_cast<int64_t>(value.count()));
  }

  void Write(WallTime& value) { WriteNumber(value.time_since_epoch().count()); }

  void Write(std::string& value) {
    m_text += std::to_string(value.size());
    m_text += ':';
    m_text += value;
  }

  template <typename T>
  void Write(std::vector<T>& values) {
    WriteNumber(static_cast<int64_t>(values.size()));
    for (T& value : values) {
      Write(value);
    }
  }

  template <typename T>
  void Write(std::optional<T>& value) {
    WriteNumber(value.has_value() ? 1 : 0);
    if (value) {
      Write(*value);
    }
  }

  template <typename... Kinds>
  void Write(std::variant<Kinds...>& value) {
    WriteNumber(static_cast<int64_t>(value.index()));
    std::visit([this](auto& known) { Write(known); }, value);
  }

  void WriteNumber(int64_t number) {
    char digits[24];
    const auto end = std::to_chars(digits, digits + sizeof(digits), number).ptr;
    m_text.append(digits, end);
    m_text += ' ';
  }

  std::string m_text;
};

/// Decodes the output of an Encoder, in the same order. Not thread-safe.
///
/// @throws CodecError on a text that is truncated or malformed.
class Decoder {
 public:
  explicit Decoder(std::string_view text) : m_text(text) {}

  template <typename... Values>
  void operator()(Values&... values) {
    (Read(values), ...);
  }

  /// Reads fields at the end of a text. Leaves the values unchanged if the text
  /// ends before them.
  template <typename... Values>
  void TrailingFields(Values&... values) {
    if (!is_at_end()) {
      (Read(values), ...);
    }
  }

  /// Reads what Encoder::TrailingList() wrote.
  template <typename T>
  void TrailingList(std::vector<T>& values) {
    if (!is_at_end()) {
      Read(values);
    }
  }

  bool is_at_end() const { return m_text.empty(); }

 private:
  template <typename T>
  void Read(T& value) {
    if constexpr (std::is_enum_v<T> || std::is_integral_v<T>) {
      value = static_cast<T>(ReadNumber(' '));
    } else if constexpr (std::is_floating_point_v<T>) {
      value = static_cast<T>(ReadNumber(' ')) / 1000;
    } else {
      Visit(*this, value);
    }
  }

  template <typename Rep, typename Period>
  void Read(std::chrono::duration<Rep, Period>& value) {
    value = std::chrono::duration<Rep, Period>(ReadNumber(' '));
  }

  void Read(WallTime& value) { value = WallTime(Millis(ReadNumber(' '))); }

  void Read(std::string& value) {
    const auto size = static_cast<uint64_t>(ReadNumber(':'));
    if (size > m_text.size()) {
      throw CodecError("truncated string");
    }
    value.assign(m_text.substr(0, size));
    m_text.remove_prefix(size);
  }

  template <typename T>
  void Read(std::vector<T>& values) {
    const auto size = static_cast<uint64_t>(ReadNumber(' '));
    if (size > m_text.size()) {
      throw CodecError("truncated list");
    }
    values.resize(size);
    for (T& value : values) {
      Read(value);
    }
  }

  template <typename T>
  void Read(std::optional<T>& value) {
    value.reset();
    if (ReadNumber(' ') != 0) {
      Read(value.emplace());
    }
  }

  template <typename... Kinds>
  void Read(std::variant<Kinds...>& value) {
    const auto kind = static_cast<uint64_t>(ReadNumber(' '));
    if (!ReadKind(kind, value, std::index_sequence_for<Kinds...>())) {
      throw CodecError("unknown record kind " + std::to_string(kind));
    }
  }

  template <typename Variant, size_t... kKinds>
  bool ReadKind(uint64_t kind, Variant& value, std::index_sequence<kKinds...>) {
    return (
        (kind == kKinds && (Read(value.template emplace<kKinds>()), true)) ||
        ...);
  }

  int64_t ReadNumber(char terminator) {
    int64_t number = 0;
    const char* const end = m_text.data() + m_text.size();
    const auto [next, error] = std::from_chars(m_text.data(), end, number);
    if (error != std::errc() || next == end || *next != terminator) {
      throw CodecError("expected a number");
    }
    m_text.remove_prefix(static_cast<size_t>(next - m_text.data()) + 1);
    return number;
  }

  std::string_view m_text;
};

/// Encodes one value. Thread-safe.
template <typename T>
std::string Encode(T value) {
  Encoder encoder;
  encoder(value);
  return encoder.Take();
}

/// Decodes a whole text as one value. Thread-safe.
///
/// @throws CodecError on a malformed text or on trailing data.
template <typename T>
T Decode(std::string_view text) {
  T value{};
  Decoder decoder(text);
  decoder(value);
  if (!decoder.is_at_end()) {
    throw CodecError("trailing data after a value");
  }
  return value;
}

}  // namespace laurelhall::scheduling
