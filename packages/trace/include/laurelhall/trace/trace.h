#pragma once

#include <boost/json.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <iosfwd>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "laurelhall/base/time.h"

namespace laurelhall::trace {

/// What an id names.
enum class Subject : uint8_t {
  kJob,
  kTask,
  kWorker,
  kHost,
  kWave,
  kVersion,  ///< Of the configuration.
  kCount,
};

/// The subject's name as an id may begin with it: "wave:24".
const char* SubjectName(Subject subject);

/// One structured line of a process.
struct Line {
  WallTime time;
  std::string process;  ///< From the collector's prefix, else the source.
  std::string part;
  std::string event;           ///< Empty for plain messages.
  boost::json::object fields;  ///< All others, in the line's order.
  bool is_own = false;         ///< Carries the id asked for.

  /// A text; empty when there is none.
  std::string Text(std::string_view key) const;
  /// A number; 0 when there is none.
  int64_t Number(std::string_view key) const;
  /// A duration that the line tells in milliseconds.
  Millis Duration(std::string_view key) const { return Millis(Number(key)); }
  /// "key=value" of all fields.
  std::string Rest() const;
};

/// The lines of one process or of several.
struct Source {
  std::string name;  ///< The process, where lines carry no prefix.
  std::istream* lines = nullptr;
};

struct Question {
  std::string id;  ///< May begin with the subject's name and a colon.
  std::optional<WallTime> from;
  std::optional<WallTime> to;
};

/// Why it came as it did.
struct Cause {
  std::string kind;    ///< "late", ...
  std::string rule;    ///< "no-room", ...
  size_t line = 0;     ///< Of the timeline; the one that decided.
  std::string reason;  ///< One sentence with its figures.
};

struct Answer {
  Subject subject = Subject::kJob;
  std::string id;              ///< Without the subject's name.
  std::vector<Line> timeline;  ///< In order of time; empty: id not found.
  Cause cause;                 ///< Only with a timeline.
  uint64_t unread = 0;         ///< Lines that are no log lines of ours.
  uint64_t left_out = 0;       ///< Lines above the bound of the timeline.
};

/// The id fits several subjects.
class AmbiguousError : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Finds what became of an id and why.
///
/// @param sources Each is read twice from its beginning, so that memory stays
///   bounded; all must be seekable.
/// @throws AmbiguousError.
/// @remarks Does no other I/O. Thread-safe for separate sources.
Answer Trace(const Question& question, const std::vector<Source>& sources);

/// Reads a time such as "2026-08-17T20:28:04.415Z"; the parts of a second may
/// be left out. @returns Nothing when the text is none. Thread-safe.
std::optional<WallTime> ParseTime(std::string_view text);

}  // namespace laurelhall::trace
