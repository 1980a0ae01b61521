#include "gather_p.h"

#include <algorithm>
#include <array>
#include <istream>

#include "log_line_p.h"

namespace laurelhall::trace {

namespace {

// Lines of the timeline: about 20 MB, and more than anybody reads.
constexpr size_t kMostLines = 20'000;
// Workers whose hosts are known: the platform's fleets have some thousands.
constexpr size_t kMostWorkers = 100'000;
// Longer ones are none of ours: paths and ids are bounded far below.
constexpr size_t kLongestLine = 64 << 10;
// Before an id's first line: an election takes about a second.
constexpr Millis kBefore{2'000};
// After its last: lines of each second may follow.
constexpr Millis kAfter{1'000};

struct Explaining {
  const char* part;
  const char* event;
  bool (Gatherer::*does_explain)(const Line&) const;
  bool counts_before;  ///< The last before the span tells how things stood.
};

constexpr std::array kExplaining{
    Explaining{"dispatch", "leads", &Gatherer::IsAlways, true},
    Explaining{"dispatch", "leads-no-more", &Gatherer::IsAlways, false},
    Explaining{"dispatch", "load", &Gatherer::IsAlways, true},
    Explaining{"dispatch", "workers", &Gatherer::IsOfService, true},
    Explaining{"dispatch", "worker", &Gatherer::IsOfWorker, false},
    Explaining{"dispatch", "worker-lapsed", &Gatherer::IsOfWorker, false},
    Explaining{"dispatch", "worker-gone", &Gatherer::IsOfWorker, false},
    Explaining{"dispatch", "worker-reached", &Gatherer::IsOfWorker, false},
    Explaining{"dispatch", "worker-crashed", &Gatherer::IsOfWorker, false},
    Explaining{"dispatch", "worker-reborn", &Gatherer::IsOfWorker, false},
    Explaining{"dispatch", "end", &Gatherer::IsFailedEnd, false},
    Explaining{"dispatch", "configuration", &Gatherer::IsNewConfiguration,
               false},
    Explaining{"pools", "state", &Gatherer::IsOfService, true},
    Explaining{"pools", "move", &Gatherer::IsMoveOfService, false},
    Explaining{"pools", "moved", &Gatherer::IsMoveOfService, false},
    Explaining{"wave", "host-chosen", &Gatherer::IsOfHost, false},
    Explaining{"wave", "host-blocked", &Gatherer::IsOfHost, false},
    Explaining{"wave", "maintain", &Gatherer::IsOfHost, false},
    Explaining{"relay", "chosen", &Gatherer::IsAlways, false},
    Explaining{"relay", "lost", &Gatherer::IsAlways, false},
    Explaining{"log", "dropped", &Gatherer::IsAlways, false},
    Explaining{"control", "", &Gatherer::IsLeaderMessage, false},
};

const Explaining* FindExplaining(std::string_view part,
                                 std::string_view event) {
  const auto found = std::find_if(
      kExplaining.begin(), kExplaining.end(), [&](const Explaining& row) {
        return part == row.part && event == row.event;
      });
  return found == kExplaining.end() ? nullptr : &*found;
}

// Takes "wave:" off "wave:24".
std::optional<Subject> TakeSubject(std::string& id) {
  for (size_t each = 0; each < static_cast<size_t>(Subject::kCount); ++each) {
    const auto subject = static_cast<Subject>(each);
    const std::string prefix = std::string(SubjectName(subject)) + ":";
    if (id.starts_with(prefix)) {
      id.erase(0, prefix.size());
      return subject;
    }
  }
  return std::nullopt;
}

}  // namespace

Gatherer::Gatherer(const Question& question)
    : m_question(question), m_id(question.id) {
  m_asked = TakeSubject(m_id);
  m_job = JobOfTask(m_id);
}

void Gatherer::Gather(const std::vector<Source>& sources) {
  ReadAll(sources, &Gatherer::VisitOwn);
  CheckSubject();
  if (m_lines.empty()) {
    return;
  }
  SetSpan();
  ReadAll(sources, &Gatherer::VisitExplaining);
  for (auto& [kind, line] : m_before) {
    m_lines.push_back(std::move(line));
  }
  std::stable_sort(
      m_lines.begin(), m_lines.end(),
      [](const Line& a, const Line& b) { return a.time < b.time; });
}

Answer Gatherer::TakeAnswer() {
  Answer answer;
  answer.subject =
      m_found.empty() ? m_asked.value_or(Subject::kJob) : *m_found.begin();
  answer.id = m_id;
  answer.timeline = std::move(m_lines);
  answer.unread = m_unread;
  answer.left_out = m_left_out;
  return answer;
}

void Gatherer::ReadAll(const std::vector<Source>& sources, Visit visit) {
  std::string text;
  for (const Source& source : sources) {
    source.lines->clear();
    source.lines->seekg(0);
    while (std::getline(*source.lines, text)) {
      if (text.size() <= kLongestLine) {
        (this->*visit)(text, source.name);
      }
    }
  }
}

void Gatherer::VisitOwn(std::string_view text, const std::string& source) {
  const bool may_be_own =
      text.find(m_id) != std::string_view::npos ||
      (!m_job.empty() && text.find(m_job) != std::string_view::npos);
  const bool names_host = Glance(text, "\"event\":") == "worker";
  if (!may_be_own && !names_host) {
    return;
  }
  std::optional<Line> line = ParseLine(text, source);
  if (!line) {
    ++m_unread;
    return;
  }
  LearnHost(*line);
  std::optional<Subject> subject = SubjectIn(*line, m_id);
  if (!subject && !m_job.empty() && line->Text("task").empty() &&
      SubjectIn(*line, m_job) == Subject::kJob) {
    subject = Subject::kTask;
  }
  if (subject && IsSearched(*line, *subject)) {
    TakeOwn(std::move(*line), *subject);
  }
}

bool Gatherer::IsSearched(const Line& line, Subject subject) const {
  return IsInWindow(line.time) && (!m_asked || *m_asked == subject);
}

bool Gatherer::IsInWindow(WallTime time) const {
  return (!m_question.from || time >= *m_question.from) &&
         (!m_question.to || time <= *m_question.to);
}

void Gatherer::TakeOwn(Line line, Subject subject) {
  line.is_own = true;
  m_found.insert(subject);
  LearnNames(line, subject);
  // An answer is told at its end.
  const WallTime began = line.time - line.Duration("took_ms") - kBefore;
  m_begin = std::min(m_begin.value_or(began), began);
  m_end = std::max(m_end.value_or(line.time), line.time);
  m_is_taken_in |= line.event == "accept" || line.event == "starts";
  m_is_over |= line.event == "job-over";
  Keep(std::move(line));
}

// Only a job's service explains it: a worker or host has its own lines.
void Gatherer::LearnNames(const Line& line, Subject subject) {
  const auto learn = [&line](const char* key, std::set<std::string>& names) {
    if (std::string name = line.Text(key); !name.empty()) {
      names.insert(std::move(name));
    }
  };
  if (subject == Subject::kJob || subject == Subject::kTask) {
    learn("service", m_services);
  }
  learn("worker", m_workers);
  learn("first_worker", m_workers);
  learn("new_life", m_workers);
  learn("host", m_hosts);
}

void Gatherer::LearnHost(const Line& line) {
  const std::string host = line.Text("host");
  const bool has_room = m_host_of.size() < kMostWorkers;
  if (line.event == "worker" && !host.empty() && has_room) {
    m_host_of[line.Text("worker")] = host;
  }
}

void Gatherer::CheckSubject() const {
  if (m_found.size() < 2) {
    return;
  }
  std::string names;
  for (const Subject subject : m_found) {
    names +=
        (names.empty() ? "" : " or ") + (SubjectName(subject) + (":" + m_id));
  }
  throw AmbiguousError(m_id + " names several: ask for " + names);
}

// What is taken in and not over is followed to the logs' end.
void Gatherer::SetSpan() {
  const bool is_open = m_is_taken_in && !m_is_over;
  *m_end += kAfter;
  if (is_open) {
    m_end = WallTime::max();
  }
  for (const std::string& worker : m_workers) {
    if (const auto found = m_host_of.find(worker); found != m_host_of.end()) {
      m_hosts.insert(found->second);
    }
  }
}

void Gatherer::VisitExplaining(std::string_view text,
                               const std::string& source) {
  const Explaining* row =
      FindExplaining(Glance(text, "\"part\":"), Glance(text, "\"event\":"));
  const auto time = ParseTime(Glance(text, "\"time\":"));
  if (row == nullptr || !time || *time > *m_end || !IsInWindow(*time) ||
      (*time < *m_begin && !row->counts_before)) {
    return;
  }
  std::optional<Line> line = ParseLine(text, source);
  if (!line) {
    ++m_unread;
    return;
  }
  const auto subject = SubjectIn(*line, m_id);
  const bool is_own = subject && IsSearched(*line, *subject);
  if (is_own || !(this->*row->does_explain)(*line)) {
    return;
  }
  if (*time >= *m_begin) {
    Keep(std::move(*line));
    return;
  }
  Line& last = m_before[line->event + " " + line->Text("service")];
  if (last.part.empty() || last.time <= line->time) {
    last = std::move(*line);
  }
}

void Gatherer::Keep(Line line) {
  if (m_lines.size() >= kMostLines) {
    ++m_left_out;
    return;
  }
  m_lines.push_back(std::move(line));
}

bool Gatherer::IsAlways(const Line& /*line*/) const {
  return true;
}

bool Gatherer::IsOfService(const Line& line) const {
  return m_services.contains(line.Text("service"));
}

bool Gatherer::IsMoveOfService(const Line& line) const {
  return m_services.contains(line.Text("from")) ||
         m_services.contains(line.Text("to")) || IsOfHost(line);
}

bool Gatherer::IsOfWorker(const Line& line) const {
  return m_workers.contains(line.Text("worker"));
}

bool Gatherer::IsOfHost(const Line& line) const {
  return m_hosts.contains(line.Text("host"));
}

bool Gatherer::IsFailedEnd(const Line& line) const {
  return IsOfWorker(line) && line.Text("how") == "failed";
}

bool Gatherer::IsNewConfiguration(const Line& line) const {
  return line.Text("outcome") != "nothing-new";
}

bool Gatherer::IsLeaderMessage(const Line& line) const {
  return line.Text("text").find(" lead") != std::string::npos;
}

}  // namespace laurelhall::trace
