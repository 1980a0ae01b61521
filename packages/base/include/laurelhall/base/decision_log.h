#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "laurelhall/base/time.h"

namespace laurelhall {

/// Lines by what they are worth when there are too many. Each class has a share
/// of its own, so that none is lost for another.
enum class LineClass : uint8_t {
  kDecision,  ///< Explains others: pools, waves, leadership, refusals.
  kTask,      ///< One of many alike: what became of a task.
  kRequest,   ///< A caller's job or a worker's word, taken in.
  kCount,
};

/// One line under way; fields keep their order.
///
/// @remarks A line for which its class has no room is dropped, and counted,
///   when it is begun: its fields then cost nothing.
class DecisionLine {
 public:
  DecisionLine(std::string_view part,
               std::string_view event,
               LineClass line_class = LineClass::kDecision);

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

  bool is_kept() const { return m_is_kept; }

  /// The whole line, with its end; empty when it is not kept.
  std::string Finish() const;

 private:
  bool m_is_kept;
  std::string m_text;
};

/// Structured lines on standard output: one for each decision that touches a
/// request or changes what the process believes.
///
/// @remarks Thread-safe. Never blocks: lines gather in a bounded buffer and
///   leave it only while the reader takes them; above the bounds of its class
///   a line is dropped and counted, and the counts are written with the next
///   line that fits.
class DecisionLog {
 public:
  /// The process's one log.
  static DecisionLog& Get();

  void Write(const DecisionLine& line);

  /// Whether a line of a class may be begun now; counts it either way.
  bool Admit(LineClass line_class);

  /// Writes what has gathered, as far as the reader takes it.
  void Flush();

  /// Lines of a class that were dropped since the process started.
  uint64_t dropped(LineClass line_class) const;

 private:
  DecisionLog();
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace laurelhall
