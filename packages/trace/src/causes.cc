#include "causes_p.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>

#include "gather_p.h"

namespace laurelhall::trace {

namespace {

using Verdict = Story::Verdict;

// A job without a start for longer waited: the leader tells of waits from
// then on, about twice what a start takes.
constexpr Millis kLateStart{1'000};
// A leader's ticks that come later for seconds: a tenth of what a start may
// take, and beyond what one busy tick costs.
constexpr Millis kBehind{50};

// A leader that is new serves once it has caught up: about as long as its
// election takes.
constexpr Millis kElection{1'000};
// How far apart lines on a pool's state are, at most, while it is in need.
constexpr Millis kStatePeriod{1'000};

constexpr int64_t kBadRequest = 400;
constexpr int64_t kNoAccess = 401;
constexpr int64_t kNotFound = 404;
constexpr int64_t kUnavailable = 503;
constexpr int64_t kNoAnswer = 504;

struct Row {
  const char* kind;
  const char* name;
  Story::Rule rule;
};

// In this order: what ended a job goes before what slowed it, and of that what
// kept it from its first start before what a later run had.
constexpr std::array kJobRules{
    Row{"refused", "bad-request", &Story::BadRequest},
    Row{"refused", "unknown-key", &Story::UnknownKey},
    Row{"refused", "unknown-queue", &Story::UnknownQueue},
    Row{"refused", "no-leader", &Story::NoLeader},
    Row{"refused", "not-answered", &Story::NotAnswered},
    Row{"failed", "workers-went-down", &Story::GivenUp},
    Row{"failed", "by-its-workers", &Story::FailedByWorkers},
    Row{"failed", "by-itself", &Story::FailedByItself},
    Row{"failed", "ends-not-told", &Story::FailedUntold},
    Row{"ended", "cancelled", &Story::Cancelled},
    Row{"short-of-a-task", "workers-went-down", &Story::TaskGivenUp},
    Row{"lost-sight", "dropped-lines", &Story::DroppedLines},
    Row{"waiting", "told-by-the-leader", &Story::Waiting},
    Row{"waiting", "at-work", &Story::AtWork},
    Row{"late", "failover", &Story::Failover},
    Row{"late", "leader-behind", &Story::LeaderBehind},
    Row{"late", "hosts-moved-late", &Story::HostsMovedLate},
    Row{"late", "no-room", &Story::NoRoom},
    Row{"late", "worker-lapsed", &Story::WorkerLapsed},
    Row{"late", "run-failed", &Story::RunFailed},
    Row{"late", "order-not-answered", &Story::OrderNotAnswered},
    Row{"late", "held-back", &Story::HeldBack},
    Row{"late", "not-told", &Story::LateUntold},
    Row{"late", "answer-not-given", &Story::AnsweredLate},
    Row{"done", "in-time", &Story::Done},
    Row{"seen", "last-line", &Story::LastLine},
};

constexpr std::array kOtherRules{
    Row{"seen", "worker", &Story::WorkerState},
    Row{"seen", "host", &Story::HostState},
    Row{"seen", "wave", &Story::WaveState},
    Row{"seen", "version", &Story::VersionState},
    Row{"seen", "last-line", &Story::LastLine},
};

bool Is(const Line& line, std::string_view part, std::string_view event) {
  return line.part == part && line.event == event;
}

bool IsFailedEnd(const Line& line) {
  return Is(line, "dispatch", "end") && line.Text("how") == "failed";
}

bool IsShort(const Line& line) {
  return Is(line, "pools", "state") &&
         line.Number("needed_cores") > line.Number("cores");
}

std::string Clock(WallTime time) {
  // Of "2026-08-17T20:28:04.415Z" the time of day.
  return FormatWallTime(time).substr(11, 12);
}

std::string Ms(Millis duration) {
  return std::to_string(duration.count()) + " ms";
}

std::string NumberText(const Line& line, std::string_view key) {
  return std::to_string(line.Number(key));
}

std::string Plural(size_t count, const std::string& noun) {
  return std::to_string(count) + " " + noun + (count == 1 ? "" : "s");
}

struct Wording {
  std::string_view key;
  std::string_view text;
};

// What the leader's line on a wait means.
constexpr std::array kWaitWords{
    Wording{"no-worker", "no worker of its service may be given work"},
    Wording{"no-room", "its service's workers are full"},
    Wording{"not-allowed",
            "workers with room are kept from it (label, rack, spread, last "
            "try)"},
    Wording{"deferred", "its last start was turned down"},
    Wording{"being-committed", "its starts are being committed"},
    Wording{"gang-incomplete",
            "some of its group still run or are being committed"},
    Wording{"no-empty-worker",
            "workers went down under it, and none is without other tasks"},
    Wording{"over-cap", "its organisation has at work all that it may have"},
    Wording{"none", "a worker would take it, it has only to be planned"},
};

constexpr std::array kSuspicionWords{
    Wording{"bystander", "others that may be to blame"},
    Wording{"suspect", "others as new as it"},
    Wording{"sole", "nothing else on it"},
    Wording{"prompt", "nothing else new on it, as soon as it had started"},
};

constexpr std::array kWorkerWords{
    Wording{"worker", "was announced"},
    Wording{"worker-reached", "was reached"},
    Wording{"worker-lapsed", "was silent"},
    Wording{"worker-gone", "is gone"},
    Wording{"worker-crashed", "went down"},
    Wording{"worker-reborn", "began a new life"},
    Wording{"worker-refused", "was refused"},
    Wording{"worker-ignored", "announced itself though it counts as ended"},
};

constexpr std::array kHostWords{
    Wording{"move", "was chosen to move"},
    Wording{"moved", "was told to move"},
    Wording{"host-chosen", "was chosen for maintenance"},
    Wording{"host-blocked", "could not be emptied for maintenance"},
    Wording{"maintain", "was told to be maintained"},
};

// The key itself where there are no words for it.
template <size_t size>
std::string WordsFor(const std::array<Wording, size>& words,
                     const std::string& key) {
  for (const Wording& each : words) {
    if (each.key == key) {
      return std::string(each.text);
    }
  }
  return key;
}

std::string WaitFigures(const Line& waits) {
  return WordsFor(kWaitWords, waits.Text("why")) + " (" +
         NumberText(waits, "tasks") + " tasks of step " +
         NumberText(waits, "step") + " to start, " +
         NumberText(waits, "with_room") + " of " +
         NumberText(waits, "workers") + " workers with room, " +
         NumberText(waits, "of") + " jobs waiting)";
}

std::string CoresText(const Line& state) {
  return "service " + state.Text("service") + " needed " +
         NumberText(state, "needed_cores") + " cores and had " +
         NumberText(state, "cores");
}

}  // namespace

Story::Story(const Answer& answer)
    : m_answer(answer), m_lines(answer.timeline) {
  m_accept = Own("accept");
  m_over = LastOwn("job-over");
  m_first_starts = First([](const Line& line) {
    return line.is_own && Is(line, "dispatch", "starts") &&
           line.Number("step") == 0;
  });
  m_again = Last([](const Line& line) {
    return line.is_own && Is(line, "dispatch", "starts") &&
           line.Number("run") > 1;
  });
  const Line* first = First([](const Line& line) { return line.is_own; });
  m_taken_in = m_accept != nullptr ? m_accept->time : first->time;
  m_at_work =
      m_first_starts != nullptr ? m_first_starts->time : m_lines.back().time;
}

Cause Story::FindCause() const {
  const bool is_job =
      m_answer.subject == Subject::kJob || m_answer.subject == Subject::kTask;
  const Row* begin = is_job ? kJobRules.data() : kOtherRules.data();
  const size_t count = is_job ? kJobRules.size() : kOtherRules.size();
  for (const Row* row = begin; row != begin + count; ++row) {
    if (const auto verdict = (this->*row->rule)()) {
      return {row->kind, row->name,
              static_cast<size_t>(verdict->line - m_lines.data()),
              verdict->reason};
    }
  }
  return {};
}

template <typename Predicate>
const Line* Story::First(Predicate predicate) const {
  const auto found = std::find_if(m_lines.begin(), m_lines.end(), predicate);
  return found == m_lines.end() ? nullptr : &*found;
}

template <typename Predicate>
const Line* Story::Last(Predicate predicate) const {
  const auto found = std::find_if(m_lines.rbegin(), m_lines.rend(), predicate);
  return found == m_lines.rend() ? nullptr : &*found;
}

template <typename Predicate>
size_t Story::Count(Predicate predicate) const {
  return static_cast<size_t>(
      std::count_if(m_lines.begin(), m_lines.end(), predicate));
}

const Line* Story::Own(std::string_view event) const {
  return First(
      [event](const Line& line) { return line.is_own && line.event == event; });
}

const Line* Story::LastOwn(std::string_view event) const {
  return Last(
      [event](const Line& line) { return line.is_own && line.event == event; });
}

// The last answer to its sending, if that is what became of it: what a leader
// took in is not refused, whatever its caller heard.
const Line* Story::Refusal(int64_t status) const {
  const Line* sent = Last([](const Line& line) {
    return line.is_own && Is(line, "entry", "answer") &&
           line.Text("method") == "POST";
  });
  const bool is_taken_in =
      m_accept != nullptr || m_over != nullptr || Own("starts") != nullptr;
  return sent != nullptr && !is_taken_in && sent->Number("status") == status
             ? sent
             : nullptr;
}

const Line* Story::RoomShortage() const {
  return Last([this](const Line& line) {
    return IsShort(line) && line.time >= m_taken_in - kStatePeriod &&
           line.time <= m_at_work;
  });
}

bool Story::HasFailed() const {
  return m_over != nullptr && m_over->Text("state") == "failed";
}

bool Story::StartedLate() const {
  return m_over != nullptr && Wait() >= kLateStart;
}

bool Story::WasStartedAgain() const {
  return m_over != nullptr && m_again != nullptr;
}

// The longer of what the leader measured and what the lines are apart: a new
// leader counts anew.
Millis Story::Wait() const {
  if (m_first_starts == nullptr) {
    return Millis(0);
  }
  return std::max(m_first_starts->Duration("age_ms"),
                  m_first_starts->time - m_taken_in);
}

bool Story::IsWhileWaiting(const Line& line) const {
  return line.time >= m_taken_in && line.time <= m_at_work;
}

std::string Story::DelayText() const {
  return Wait() >= kLateStart || m_again == nullptr
             ? "its first start came " + Ms(Wait()) + " after it was taken in"
             : "tasks of it were started again at " + Clock(m_again->time);
}

std::optional<Verdict> Story::BadRequest() const {
  if (const Line* refuse = Own("refuse")) {
    return Verdict{refuse, "The request was bad: " + refuse->Text("why") + "."};
  }
  const Line* answer = Refusal(kBadRequest);
  if (answer == nullptr) {
    return std::nullopt;
  }
  return Verdict{answer, "The request was bad (status 400)."};
}

std::optional<Verdict> Story::UnknownKey() const {
  const Line* answer = Refusal(kNoAccess);
  if (answer == nullptr) {
    return std::nullopt;
  }
  const Line* told = LastOwn("no-access");
  if (told == nullptr) {
    return Verdict{answer, "No configuration holds its key (status 401)."};
  }
  return Verdict{told, "Version " + std::to_string(told->Number("version")) +
                           " holds no key " + told->Text("key") +
                           " for queue " + told->Text("queue") +
                           " (status 401)."};
}

std::optional<Verdict> Story::UnknownQueue() const {
  const Line* answer = Refusal(kNotFound);
  if (answer == nullptr) {
    return std::nullopt;
  }
  return Verdict{answer, "No queue of the configuration in force takes " +
                             answer->Text("path") + " (status 404)."};
}

std::optional<Verdict> Story::NoLeader() const {
  const Line* answer = Refusal(kUnavailable);
  if (answer == nullptr) {
    return std::nullopt;
  }
  std::string reason = "No leader took it in for " +
                       Ms(answer->Duration("took_ms")) + " (status 503)";
  const WallTime asked = m_taken_in - answer->Duration("took_ms");
  const Line* leads = Last([asked](const Line& line) {
    return Is(line, "dispatch", "leads") && line.time >= asked - kElection;
  });
  const Line* left = Last([answer](const Line& line) {
    return Is(line, "dispatch", "leads-no-more") && line.time <= answer->time;
  });
  if (left != nullptr) {
    reason += "; " + left->process + " led no more since " + Clock(left->time);
  }
  if (leads != nullptr) {
    reason += "; " + leads->process + " leads since " + Clock(leads->time);
  }
  return Verdict{answer, reason + "."};
}

std::optional<Verdict> Story::NotAnswered() const {
  const Line* answer = Refusal(kNoAnswer);
  if (answer == nullptr) {
    return std::nullopt;
  }
  const WallTime asked = answer->time - answer->Duration("took_ms");
  std::string reason = "A leader had it and did not answer within " +
                       Ms(answer->Duration("took_ms")) + " (status 504)";
  const Line* leads = First([asked, answer](const Line& line) {
    return Is(line, "dispatch", "leads") && line.time >= asked &&
           line.time <= answer->time + kLateStart;
  });
  if (leads != nullptr) {
    reason += "; " + leads->process + " leads in term " +
              NumberText(*leads, "term") + " since " + Clock(leads->time);
  }
  return Verdict{answer, reason + ". No line tells that it was taken in."};
}

// Lines of tasks don't count, as what becomes of a job is told by the others,
// and only what was dropped after the last of them does.
std::optional<Verdict> Story::DroppedLines() const {
  const Line* own = Last([](const Line& line) { return line.is_own; });
  const Line* dropped = First([own](const Line& line) {
    return Is(line, "log", "dropped") && line.time >= own->time &&
           (line.Number("decisions") > 0 || line.Number("requests") > 0);
  });
  if (dropped == nullptr || m_over != nullptr) {
    return std::nullopt;
  }
  const char* kind =
      dropped->Number("decisions") > 0 ? "decisions" : "requests";
  return Verdict{dropped, dropped->process + " dropped " +
                              NumberText(*dropped, kind) + " lines of " + kind +
                              " at " + Clock(dropped->time) +
                              "; what became of it may be among them."};
}

std::optional<Verdict> Story::Waiting() const {
  const Line* waits = LastOwn("waits");
  const bool has_gone_on =
      waits != nullptr && Last([waits](const Line& line) {
                            return line.is_own && line.time > waits->time &&
                                   line.event == "starts";
                          }) != nullptr;
  if (m_over != nullptr || waits == nullptr || has_gone_on) {
    return std::nullopt;
  }
  return Verdict{waits, "It still waits, " + Ms(waits->Duration("age_ms")) +
                            " old: " + WaitFigures(*waits) + "."};
}

std::optional<Verdict> Story::AtWork() const {
  const Line* starts = LastOwn("starts");
  if (m_over != nullptr || (m_accept == nullptr && starts == nullptr)) {
    return std::nullopt;
  }
  if (starts == nullptr) {
    return Verdict{m_accept, "It was taken in at " + Clock(m_accept->time) +
                                 "; no line tells of a start."};
  }
  return Verdict{starts, "It is at work: step " + NumberText(*starts, "step") +
                             " was started at " + Clock(starts->time) +
                             " and no line tells of its end."};
}

std::optional<Verdict> Story::Cancelled() const {
  const Line* cancel = Own("cancel");
  if (cancel == nullptr) {
    return std::nullopt;
  }
  return Verdict{cancel,
                 "Its caller cancelled it at " + Clock(cancel->time) + "."};
}

// A task crashed the workers that started it.
std::optional<Verdict> Story::GivenUp() const {
  return HasFailed() ? LastGiveUp() : std::nullopt;
}

// One of a job's tasks that last did; the others go on.
std::optional<Verdict> Story::TaskGivenUp() const {
  return m_over == nullptr ? LastGiveUp() : std::nullopt;
}

std::optional<Verdict> Story::LastGiveUp() const {
  const Line* given_up = Last([](const Line& line) {
    return line.is_own && Is(line, "dispatch", "give-up");
  });
  if (given_up == nullptr) {
    return std::nullopt;
  }
  return Verdict{
      given_up,
      "Its task " + given_up->Text("task") + " was given up: " +
          Plural(static_cast<size_t>(given_up->Number("crashes")), "worker") +
          " went down under it (" + given_up->Text("workers_down") +
          "), the last one with " +
          WordsFor(kSuspicionWords, given_up->Text("suspicion")) + "."};
}

// A worker that also fails others' tasks is the cause, not the job.
std::optional<Verdict> Story::FailedByWorkers() const {
  if (!HasFailed()) {
    return std::nullopt;
  }
  std::map<std::string, size_t> others;
  for (const Line& line : m_lines) {
    if (!line.is_own && IsFailedEnd(line)) {
      ++others[line.Text("worker")];
    }
  }
  const Line* end = Last([&others](const Line& line) {
    return line.is_own && IsFailedEnd(line) &&
           others.contains(line.Text("worker"));
  });
  if (end == nullptr) {
    return std::nullopt;
  }
  const std::string worker = end->Text("worker");
  return Verdict{end, "Its task " + end->Text("task") + " failed on worker " +
                          worker + ", which also failed " +
                          Plural(others[worker], "task") + " of other jobs."};
}

std::optional<Verdict> Story::FailedByItself() const {
  std::set<std::string> workers;
  size_t ends = 0;
  for (const Line& line : m_lines) {
    if (line.is_own && IsFailedEnd(line)) {
      ++ends;
      workers.insert(line.Text("worker"));
    }
  }
  if (!HasFailed() || ends == 0) {
    return std::nullopt;
  }
  const Line* last =
      Last([](const Line& line) { return line.is_own && IsFailedEnd(line); });
  return Verdict{last, Plural(ends, "end") + " of its tasks failed, the last " +
                           last->Text("task") + ", on " +
                           Plural(workers.size(), "worker") +
                           " that failed no other job's tasks."};
}

std::optional<Verdict> Story::FailedUntold() const {
  if (!HasFailed()) {
    return std::nullopt;
  }
  int64_t dropped = 0;
  for (const Line& line : m_lines) {
    const bool counts = Is(line, "log", "dropped") && line.time >= m_taken_in &&
                        line.time <= m_over->time;
    dropped += counts ? line.Number("tasks") : 0;
  }
  return Verdict{
      m_over, "It failed after " + Ms(m_over->Duration("within_ms")) +
                  " and no line tells which task; " + std::to_string(dropped) +
                  " lines of tasks were dropped meanwhile."};
}

std::optional<Verdict> Story::Failover() const {
  const Line* leads = Last([this](const Line& line) {
    return Is(line, "dispatch", "leads") && IsWhileWaiting(line);
  });
  if (!StartedLate() || leads == nullptr) {
    return std::nullopt;
  }
  return Verdict{
      leads, "Leadership changed while it waited: " + leads->process +
                 " leads in term " + NumberText(*leads, "term") + " since " +
                 Clock(leads->time) + "; it was taken in at " +
                 Clock(m_taken_in) + ", and " + DelayText() + "."};
}

std::optional<Verdict> Story::WorkerLapsed() const {
  const Line* lapsed = Last([this](const Line& line) {
    return Is(line, "dispatch", "worker-lapsed") && m_again != nullptr &&
           line.time >= m_taken_in && line.time <= m_again->time;
  });
  if (!WasStartedAgain() || lapsed == nullptr) {
    return std::nullopt;
  }
  return Verdict{
      lapsed, "Its worker " + lapsed->Text("worker") + " was silent for " +
                  Ms(lapsed->Duration("silent_ms")) + " with " +
                  NumberText(*lapsed, "runs") + " runs; " + DelayText() + "."};
}

// A run that failed or was lost, and whose task was started again.
std::optional<Verdict> Story::RunFailed() const {
  const auto is_bad_end = [this](const Line& line) {
    return line.is_own && Is(line, "dispatch", "end") && m_again != nullptr &&
           line.time <= m_again->time && line.Text("how") != "done" &&
           line.Text("how") != "stopped";
  };
  const Line* end = Last(is_bad_end);
  if (!WasStartedAgain() || end == nullptr) {
    return std::nullopt;
  }
  return Verdict{end, Plural(Count(is_bad_end), "run") +
                          " ended badly, the last of " + end->Text("task") +
                          " on worker " + end->Text("worker") + " (" +
                          end->Text("how") + "); " + DelayText() + "."};
}

std::optional<Verdict> Story::OrderNotAnswered() const {
  const Line* start = Own("start");
  if (!WasStartedAgain() || start == nullptr) {
    return std::nullopt;
  }
  const size_t count = Count([](const Line& line) {
    return line.is_own && Is(line, "dispatch", "start");
  });
  return Verdict{start, Plural(count, "start") + " not taken, the first of " +
                            start->Text("task") + " by worker " +
                            start->Text("worker") + " (" +
                            start->Text("outcome") + ") at " +
                            Clock(start->time) + "; " + DelayText() + "."};
}

std::optional<Verdict> Story::LeaderBehind() const {
  const Line* load = Last([this](const Line& line) {
    return Is(line, "dispatch", "load") && IsWhileWaiting(line) &&
           line.Duration("tick_lag_ms") > kBehind;
  });
  if (!StartedLate() || load == nullptr) {
    return std::nullopt;
  }
  return Verdict{load, "The leader " + load->process + " was behind by " +
                           Ms(load->Duration("tick_lag_ms")) +
                           " a tick, with " + NumberText(*load, "open_jobs") +
                           " open jobs and " + NumberText(*load, "runs") +
                           " runs; " + DelayText() + "."};
}

std::optional<Verdict> Story::HostsMovedLate() const {
  const Line* state = RoomShortage();
  if (!StartedLate() || state == nullptr) {
    return std::nullopt;
  }
  const std::string service = state->Text("service");
  const auto has_moved = [this, &service](const Line& line) {
    return Is(line, "pools", "moved") && line.Text("to") == service &&
           line.Text("outcome") == "done" && IsWhileWaiting(line);
  };
  const Line* last = Last(has_moved);
  if (last == nullptr) {
    return std::nullopt;
  }
  return Verdict{state, "Hosts came late: " + CoresText(*state) + " at " +
                            Clock(state->time) + "; " +
                            Plural(Count(has_moved), "host") +
                            " joined while it waited, the last at " +
                            Clock(last->time) + ", and " + DelayText() + "."};
}

std::optional<Verdict> Story::NoRoom() const {
  const Line* state = RoomShortage();
  const Line* waits = Last([](const Line& line) {
    return line.is_own && line.event == "waits" &&
           (line.Text("why") == "no-room" || line.Text("why") == "no-worker");
  });
  if (m_over == nullptr ||
      (waits == nullptr && (state == nullptr || !StartedLate()))) {
    return std::nullopt;
  }
  if (waits == nullptr) {
    return Verdict{state, "There was no room: " + CoresText(*state) + " at " +
                              Clock(state->time) + "; " + DelayText() + "."};
  }
  std::string reason = "There was no room: " + WaitFigures(*waits);
  if (state != nullptr) {
    reason += "; " + CoresText(*state);
  }
  return Verdict{waits, reason + ", " + Ms(waits->Duration("age_ms")) +
                            " after it was taken in."};
}

std::optional<Verdict> Story::HeldBack() const {
  const Line* waits = LastOwn("waits");
  if (m_over == nullptr || waits == nullptr) {
    return std::nullopt;
  }
  return Verdict{waits, "It was held back: " + WaitFigures(*waits) + ", " +
                            Ms(waits->Duration("age_ms")) +
                            " after it was taken in."};
}

std::optional<Verdict> Story::LateUntold() const {
  if (!StartedLate() && !WasStartedAgain()) {
    return std::nullopt;
  }
  const Line* line = StartedLate() ? m_first_starts : m_again;
  return Verdict{line, "No line tells what held it up: " + DelayText() + "."};
}

// Taken in and done, but its caller had to ask again.
std::optional<Verdict> Story::AnsweredLate() const {
  const auto is_refusal = [](const Line& line) {
    return line.is_own && Is(line, "entry", "answer") &&
           line.Text("method") == "POST" &&
           line.Number("status") >= kUnavailable;
  };
  const Line* refusal = First(is_refusal);
  if (m_over == nullptr || refusal == nullptr) {
    return std::nullopt;
  }
  std::string reason = "Its caller heard status " +
                       NumberText(*refusal, "status") + " after " +
                       Ms(refusal->Duration("took_ms")) + " (" +
                       Plural(Count(is_refusal), "such answer") + ")";
  const WallTime asked = refusal->time - refusal->Duration("took_ms");
  const Line* leads = First([asked, refusal](const Line& line) {
    return Is(line, "dispatch", "leads") && line.time >= asked &&
           line.time <= refusal->time;
  });
  if (leads != nullptr) {
    reason += " while " + leads->process + " took leadership at " +
              Clock(leads->time);
  }
  return Verdict{refusal, reason + "; it was taken in at " + Clock(m_taken_in) +
                              " all the same."};
}

std::optional<Verdict> Story::Done() const {
  if (m_over == nullptr) {
    return std::nullopt;
  }
  std::string reason = "It " + m_over->Text("state") + " within " +
                       Ms(m_over->Duration("within_ms"));
  if (m_first_starts != nullptr) {
    reason += "; its first start came after " + Ms(Wait());
  }
  return Verdict{m_over, reason + ", and nothing held it up."};
}

std::optional<Verdict> Story::WorkerState() const {
  const Line* line = Last([](const Line& each) {
    return each.is_own && each.part == "dispatch" &&
           each.event.starts_with("worker");
  });
  if (m_answer.subject != Subject::kWorker || line == nullptr) {
    return std::nullopt;
  }
  return Verdict{line, "Worker " + m_answer.id + " " +
                           WordsFor(kWorkerWords, line->event) + " at " +
                           Clock(line->time) + ": " + line->Rest() + "."};
}

std::optional<Verdict> Story::HostState() const {
  const Line* line = Last([](const Line& each) {
    return each.is_own && (each.part == "pools" || each.part == "wave");
  });
  if (m_answer.subject != Subject::kHost || line == nullptr) {
    return std::nullopt;
  }
  return Verdict{line, "Host " + m_answer.id + " " +
                           WordsFor(kHostWords, line->event) + " at " +
                           Clock(line->time) + ": " + line->Rest() + "."};
}

std::optional<Verdict> Story::WaveState() const {
  const Line* last = Last([](const Line& line) { return line.is_own; });
  if (m_answer.subject != Subject::kWave) {
    return std::nullopt;
  }
  const auto of = [this](std::string_view event) {
    return Count([event](const Line& line) {
      return line.is_own && line.event == event;
    });
  };
  const size_t done = Count([](const Line& line) {
    return line.is_own && line.event == "maintain" &&
           line.Text("outcome") == "done";
  });
  const Line* open = Own("open");
  std::string reason = "Wave " + m_answer.id + ": ";
  if (open != nullptr) {
    reason += NumberText(*open, "hosts") + " hosts since " + Clock(open->time) +
              ", " + NumberText(*open, "most_at_once") + " at once; ";
  }
  reason += std::to_string(of("host-chosen")) + " chosen, " +
            std::to_string(done) + " of " + std::to_string(of("maintain")) +
            " orders done, the last line at " + Clock(last->time) + ".";
  return Verdict{last, reason};
}

std::optional<Verdict> Story::VersionState() const {
  const Line* proposed = First([](const Line& line) {
    return line.is_own && line.Text("outcome") == "proposed";
  });
  const Line* last = LastOwn("configuration");
  if (m_answer.subject != Subject::kVersion || last == nullptr) {
    return std::nullopt;
  }
  if (proposed == nullptr) {
    return Verdict{last, "Version " + m_answer.id +
                             " was not new: " + NumberText(*last, "held") +
                             " was held at " + Clock(last->time) + "."};
  }
  return Verdict{proposed, "Version " + m_answer.id + " was proposed by " +
                               proposed->process + " at " +
                               Clock(proposed->time) + ", after " +
                               NumberText(*proposed, "held") + "."};
}

std::optional<Verdict> Story::LastLine() const {
  const Line* last = Last([](const Line& line) { return line.is_own; });
  return Verdict{last, "The last line with it is " + last->part + " " +
                           last->event + " of " + Clock(last->time) + ": " +
                           last->Rest() + "."};
}

Answer Trace(const Question& question, const std::vector<Source>& sources) {
  Gatherer gatherer(question);
  gatherer.Gather(sources);
  Answer answer = gatherer.TakeAnswer();
  if (!answer.timeline.empty()) {
    answer.cause = Story(answer).FindCause();
  }
  return answer;
}

}  // namespace laurelhall::trace
