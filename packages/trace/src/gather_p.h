#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "laurelhall/trace/trace.h"

namespace laurelhall::trace {

/// Gathers an id's lines and those that explain them, in two passes. The first
/// finds what the id's lines name; the second, which others tell of that.
/// Not thread-safe.
class Gatherer {
 public:
  explicit Gatherer(const Question& question);

  /// @throws AmbiguousError.
  void Gather(const std::vector<Source>& sources);

  /// The answer without a cause.
  Answer TakeAnswer();

  // Whether a line explains; rows of the table of explaining lines.
  bool IsAlways(const Line& line) const;
  bool IsOfService(const Line& line) const;
  bool IsMoveOfService(const Line& line) const;
  bool IsOfWorker(const Line& line) const;
  bool IsOfHost(const Line& line) const;
  bool IsFailedEnd(const Line& line) const;
  bool IsNewConfiguration(const Line& line) const;
  bool IsLeaderMessage(const Line& line) const;

 private:
  using Visit = void (Gatherer::*)(std::string_view, const std::string&);

  void ReadAll(const std::vector<Source>& sources, Visit visit);
  void VisitOwn(std::string_view text, const std::string& source);
  void VisitExplaining(std::string_view text, const std::string& source);
  void TakeOwn(Line line, Subject subject);
  void LearnNames(const Line& line, Subject subject);
  void LearnHost(const Line& line);
  void CheckSubject() const;
  void SetSpan();
  void Keep(Line line);
  bool IsInWindow(WallTime time) const;
  bool IsSearched(const Line& line, Subject subject) const;

  Question m_question;
  std::string m_id;
  std::string m_job;  // Of the task asked for.
  std::optional<Subject> m_asked;
  std::set<Subject> m_found;
  bool m_is_taken_in = false;
  bool m_is_over = false;
  std::optional<WallTime> m_begin;  // Of what explains.
  std::optional<WallTime> m_end;
  std::set<std::string> m_services;
  std::set<std::string> m_workers;
  std::set<std::string> m_hosts;
  std::map<std::string, std::string> m_host_of;  // By worker.
  std::map<std::string, Line> m_before;  // The last of a kind before the span.
  std::vector<Line> m_lines;
  uint64_t m_unread = 0;
  uint64_t m_left_out = 0;
};

}  // namespace laurelhall::trace
