#pragma once

#include <cstdint>
#include <filesystem>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace laurelhall::scenario {

/// One line of a stand-in endpoint's journal.
struct JournalLine {
  std::string event;  ///< "start", "end", or "leaving" once that is accepted.
  std::string request_id;
  std::string key;     ///< "-" for none.
  std::string digest;  ///< Of the request's body.
  int running = 0;     ///< Runs under way after it.
  int64_t at_ms = 0;   ///< Wall clock.
  /// With "leaving": from when on, after `at_ms`, no new run may start.
  int64_t holds_from_ms = 0;
};

/// One answer as the load generator saw it.
struct AnswerLine {
  std::string key;     ///< "-" for none.
  std::string digest;  ///< Of the request's body.
  std::string kind;    ///< "ok", "wrong", a problem's type or a failure.
  std::string target;
};

/// Reads a journal; a last line without its end is left out.
std::vector<JournalLine> ReadJournal(const std::filesystem::path& file);
std::vector<AnswerLine> ReadAnswers(const std::filesystem::path& file);

/// How many runs were started, by key; unkeyed ones are left out.
std::map<std::string, int> RunsByKey(const std::vector<JournalLine>& lines);

int MostConcurrent(const std::vector<JournalLine>& lines);

/// Starts later than the accepted leaving allows.
int StartsAfterLeaving(const std::vector<JournalLine>& lines);

/// Digests of requests none of whose copies was taken on, by what the callers
/// were told, and that were started all the same.
std::set<std::string> FalselyNotRun(const std::vector<AnswerLine>& answers,
                                    const std::vector<JournalLine>& lines);

}  // namespace laurelhall::scenario
