#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "laurelhall/base/time.h"

namespace laurelhall {

/// One line under way; fields keep their order.
class DecisionLine {
 public:
  DecisionLine(std::string_view part, std::string_view event);

  /// Adds a field. Keys need no escaping; texts are escaped.
  DecisionLine& With(std::string_view key, std::string_view text);
  DecisionLine& With(std::string_view key, const char* text) {
    return With(key, std::string_view(text));
  }
  DecisionLine& With(std::string_view key, const std::string& text) {
    return With(key, std::string_view(text));
  }
  DecisionLine& With(std::string_view key, int64_t number);
  DecisionLine& With(std::string_view key, uint64_t number) {
    return With(key, static_cast<int64_t>(number));
  }
  DecisionLine& With(std::string_view key, int number) {
    return With(key, static_cast<int64_t>(number));
  }
  DecisionLine& With(std::string_view key, uint32_t number) {
    return With(key, static_cast<int64_t>(number));
  }
  DecisionLine& With(std::string_view key, Millis duration) {
    return With(key, static_cast<int64_t>(duration.count()));
  }

  /// The whole line, with its end.
  std::string Finish() const;

 private:
  std::string m_text;
};

/// Structured lines on standard output: one for each decision that touches a
/// request or changes what the process believes.
///
/// @remarks Thread-safe. Never blocks: lines gather in a bounded buffer and
///   leave it only while the reader takes them; above the bounds they are
///   dropped, counted, and the count is written with the next line that fits.
class DecisionLog {
 public:
  /// The process's one log.
  static DecisionLog& Get();

  void Write(const DecisionLine& line);

  /// Writes what has gathered, as far as the reader takes it.
  void Flush();

  uint64_t dropped() const;

 private:
  DecisionLog();
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace laurelhall
