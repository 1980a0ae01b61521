#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <list>

#include "laurelhall/trace/trace.h"
#include "session_p.h"
#include "table_p.h"

namespace laurelhall::cli {
namespace {

using trace::Answer;
using trace::Line;
using trace::Source;

constexpr const char* kStandardInput = "-";
// Rows alike of a table shown in full; the rest of them is counted.
constexpr size_t kMostAlike = 3;

/// Keeps what can be read once only, so that it can be read again. The file
/// has no name and goes with the process.
std::fstream Spool(std::istream& input) {
  const std::string pattern =
      (std::filesystem::temp_directory_path() / "laurelhall_XXXXXX").string();
  std::vector<char> name(pattern.begin(), pattern.end());
  name.push_back('\0');
  const int descriptor = ::mkstemp(name.data());
  if (descriptor < 0) {
    throw UsageError(pattern + ": cannot be written");
  }
  std::fstream file(name.data(), std::ios::in | std::ios::out);
  std::filesystem::remove(name.data());
  ::close(descriptor);
  for (std::string text; std::getline(input, text);) {
    file << text << '\n';
  }
  if (!file.flush()) {
    throw UsageError(pattern + ": cannot be written");
  }
  return file;
}

/// The logs that the command line names, open.
class OpenLogs {
 public:
  /// @throws UsageError when one cannot be read.
  OpenLogs(const std::vector<std::string>& names, std::istream* input) {
    for (const std::string& name : names) {
      m_files.push_back(Open(name, input));
      m_sources.push_back(
          {std::filesystem::path(name).stem().string(), &m_files.back()});
    }
  }

  const std::vector<Source>& sources() const { return m_sources; }

 private:
  static std::fstream Open(const std::string& name, std::istream* input) {
    if (name == kStandardInput && input != nullptr) {
      return Spool(*input);
    }
    std::fstream file(name, std::ios::in);
    if (!file || std::filesystem::is_directory(name)) {
      throw UsageError(name + ": cannot be read");
    }
    return file;
  }

  std::list<std::fstream> m_files;  // Sources point into it.
  std::vector<Source> m_sources;
};

bool IsAlike(const Line& a, const Line& b) {
  return a.process == b.process && a.part == b.part && a.event == b.event &&
         a.is_own == b.is_own;
}

boost::json::object RowOf(const Line& line, const std::string& mark) {
  return {{"", mark},
          {"time", FormatWallTime(line.time)},
          {"process", line.process},
          {"part", line.part},
          {"event", line.event},
          {"what", line.Rest()}};
}

boost::json::object RowOfMore(const Line& line, size_t count) {
  boost::json::object row = RowOf(line, "");
  row["what"] = "... and " + std::to_string(count) + " more";
  return row;
}

/// What a reader needs: runs of lines alike are cut short, but for the one
/// that decided. ">" marks that one, "*" those that carry the id.
boost::json::array Rows(const Answer& answer) {
  boost::json::array rows;
  size_t alike = 0;
  const std::vector<Line>& lines = answer.timeline;
  for (size_t each = 0; each < lines.size(); ++each) {
    const Line& line = lines[each];
    const bool decides = each == answer.cause.line;
    const bool goes_on = each > 0 && IsAlike(lines[each - 1], line);
    alike = goes_on ? alike + 1 : 0;
    if (alike < kMostAlike || decides) {
      rows.push_back(RowOf(line, decides ? ">" : line.is_own ? "*" : ""));
    }
    const bool ends =
        each + 1 == lines.size() || !IsAlike(line, lines[each + 1]);
    if (ends && alike >= kMostAlike) {
      rows.push_back(RowOfMore(line, alike + 1 - kMostAlike));
    }
  }
  return rows;
}

boost::json::object JsonOf(const Line& line) {
  boost::json::object object{{"time", FormatWallTime(line.time)},
                             {"process", line.process},
                             {"part", line.part},
                             {"event", line.event},
                             {"is_own", line.is_own}};
  object["fields"] = line.fields;
  return object;
}

boost::json::object JsonOf(const Answer& answer) {
  boost::json::array timeline;
  for (const Line& line : answer.timeline) {
    timeline.push_back(JsonOf(line));
  }
  return {{"id", answer.id},
          {"subject", trace::SubjectName(answer.subject)},
          {"cause", answer.cause.kind},
          {"rule", answer.cause.rule},
          {"reason", answer.cause.reason},
          {"deciding_line", answer.cause.line},
          {"unread", answer.unread},
          {"left_out", answer.left_out},
          {"timeline", timeline}};
}

void PrintCause(const Answer& answer, std::ostream& out) {
  const Line& line = answer.timeline[answer.cause.line];
  out << "\ndecided by  " << FormatWallTime(line.time) << " " << line.process
      << " " << line.part << " " << line.event << '\n'
      << "cause       " << answer.cause.kind << ", " << answer.cause.rule
      << '\n'
      << "reason      " << answer.cause.reason << '\n';
  if (answer.left_out > 0) {
    out << "left out    " << answer.left_out
        << " lines: narrow it by --from and --to\n";
  }
  if (answer.unread > 0) {
    out << "unread      " << answer.unread << " lines that are none of ours\n";
  }
}

}  // namespace

std::optional<WallTime> Session::TimeOption(const char* name) const {
  const auto found = m_line.verb_options.find(name);
  if (found == m_line.verb_options.end()) {
    return std::nullopt;
  }
  const auto time = trace::ParseTime(found->second);
  if (!time) {
    throw UsageError(std::string("--") + name +
                     ": expected a time such as 2026-08-17T20:28:04Z, not " +
                     found->second);
  }
  return time;
}

void Session::TraceId() const {
  if (m_arguments.front().empty()) {
    throw UsageError("trace: the id is empty");
  }
  const OpenLogs logs({m_arguments.begin() + 1, m_arguments.end()},
                      m_environment.in);
  const trace::Question question{m_arguments.front(), TimeOption("from"),
                                 TimeOption("to")};
  const Answer answer = trace::Trace(question, logs.sources());
  if (answer.timeline.empty()) {
    throw NotFoundError(question.id + ": no line tells of it");
  }
  if (m_line.output == OutputFormat::kJson) {
    m_environment.out << boost::json::serialize(JsonOf(answer)) << '\n';
    return;
  }
  m_environment.out << RenderTable(
      Rows(answer), {"", "time", "process", "part", "event", "what"},
      m_environment.is_terminal);
  PrintCause(answer, m_environment.out);
}

}  // namespace laurelhall::cli
