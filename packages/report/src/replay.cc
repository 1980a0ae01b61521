#include "laurelhall/report/replay.h"

#include <algorithm>
#include <map>
#include <stdexcept>

#include "fleet_copy_p.h"
#include "json_pattern_p.h"
#include "laurelhall/model/fleet.h"
#include "laurelhall/placement/placer.h"
#include "laurelhall/placement/submission.h"
#include "laurelhall/planning/controller.h"

namespace laurelhall::report {
namespace {

namespace json = boost::json;
using model::Fleet;
using model::Job;

// An expectation that does not hold; its text says what stands instead.
class ExpectationError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

std::string TextOf(const json::object& line, const char* key) {
  return std::string(line.at(key).as_string());
}

// Applies the members that a line names to the value that it is keyed by. A
// line that names all of them replaces it.
template <typename T>
void Set(std::map<std::string, T>& values,
         const json::object& part,
         const char* key) {
  T& value = values[TextOf(part, key)];
  json::value whole = json::value_from(T{});
  if (part.size() < whole.as_object().size()) {
    whole = json::value_from(value);
  }
  Overlay(whole.as_object(), part);
  value = json::value_to<T>(whole);
}

template <typename T>
json::value Read(const std::map<std::string, T>& values,
                 const std::string& id) {
  const auto found = values.find(id);
  if (found == values.end()) {
    throw ExpectationError("there is no " + id);
  }
  return json::value_from(found->second);
}

template <typename T>
void CheckAmong(const char* what,
                const json::object& line,
                const std::vector<T>& values) {
  const json::value& wanted = line.at("is");
  const bool is_there =
      std::any_of(values.begin(), values.end(), [&wanted](const T& value) {
        return Matches(wanted, json::value_from(value));
      });
  if (!is_there) {
    throw ExpectationError(std::string("no ") + what + " " +
                           json::serialize(wanted) + " among " +
                           json::serialize(json::value_from(values)));
  }
}

template <typename T>
void CheckCount(const char* what,
                const json::object& line,
                const std::vector<T>& values) {
  const auto wanted = line.at("count").to_number<size_t>();
  if (wanted != values.size()) {
    throw ExpectationError("expected " + std::to_string(wanted) + " " + what +
                           ", there are " +
                           json::serialize(json::value_from(values)));
  }
}

class Replayer {
 public:
  void Apply(const json::object& line, ReplayResult& result);

 private:
  using Handler = void (Replayer::*)(const json::object&);

  void SetHost(const json::object& line);
  void SetPool(const json::object& line);
  void SetService(const json::object& line);
  void SetQuota(const json::object& line);
  void SetWave(const json::object& line);
  void SetRollout(const json::object& line);
  void SetJob(const json::object& line);
  void SetWeights(const json::object& line);
  void LoadMemory(const json::object& line);
  void Forget(const json::object& line);
  void Cancel(const json::object& line);
  void Report(const json::object& line);
  void Usage(const json::object& line);
  void Place(const json::object& line);
  void Plan(const json::object& line);
  planning::StepInput DerivedInput() const;

  void ExpectHost(const json::object& line);
  void ExpectJob(const json::object& line);
  void ExpectWave(const json::object& line);
  void ExpectRollout(const json::object& line);
  void ExpectAction(const json::object& line);
  void ExpectActions(const json::object& line);
  void ExpectTransition(const json::object& line);
  void ExpectTransitions(const json::object& line);
  void ExpectRefused(const json::object& line);

  static void Check(const json::object& line, const json::value& value);
  void MoveClock(const json::object& line);
  Job& JobOf(const std::string& id);

  static const std::map<std::string, Handler> kEvents;
  static const std::map<std::string, Handler> kExpectations;

  WallTime m_now{};
  Fleet m_fleet;
  placement::Observations m_seen;
  placement::Placer m_placer;
  planning::FleetController m_controller;
  std::vector<placement::JobAction> m_actions;      // Of the last placement.
  std::vector<planning::Transition> m_transitions;  // Of the last plan.
};

const std::map<std::string, Replayer::Handler> Replayer::kEvents = {
    {"host", &Replayer::SetHost},       {"pool", &Replayer::SetPool},
    {"service", &Replayer::SetService}, {"quota", &Replayer::SetQuota},
    {"wave", &Replayer::SetWave},       {"rollout", &Replayer::SetRollout},
    {"job", &Replayer::SetJob},         {"weights", &Replayer::SetWeights},
    {"memory", &Replayer::LoadMemory},  {"forget", &Replayer::Forget},
    {"cancel", &Replayer::Cancel},      {"report", &Replayer::Report},
    {"usage", &Replayer::Usage},        {"place", &Replayer::Place},
    {"plan", &Replayer::Plan},
};

const std::map<std::string, Replayer::Handler> Replayer::kExpectations = {
    {"host", &Replayer::ExpectHost},
    {"job", &Replayer::ExpectJob},
    {"wave", &Replayer::ExpectWave},
    {"rollout", &Replayer::ExpectRollout},
    {"action", &Replayer::ExpectAction},
    {"actions", &Replayer::ExpectActions},
    {"transition", &Replayer::ExpectTransition},
    {"transitions", &Replayer::ExpectTransitions},
    {"refused", &Replayer::ExpectRefused},
};

void Replayer::Apply(const json::object& line, ReplayResult& result) {
  MoveClock(line);
  const bool is_event = line.contains("event");
  const std::string what = TextOf(line, is_event ? "event" : "expect");
  const auto& handlers = is_event ? kEvents : kExpectations;
  const auto handler = handlers.find(what);
  if (handler == handlers.end()) {
    throw std::invalid_argument(
        (is_event ? "unknown event " : "unknown expectation ") + what);
  }
  result.steps += is_event && (what == "place" || what == "plan");
  result.expectations += !is_event;
  (this->*handler->second)(line);
}

void Replayer::MoveClock(const json::object& line) {
  const WallTime at{Millis(line.at("at").to_number<int64_t>())};
  if (at < m_now) {
    throw std::invalid_argument("the time goes back");
  }
  m_now = at;
}

void Replayer::SetHost(const json::object& line) {
  Set(m_fleet.hosts, line.at("host").as_object(), "id");
}

void Replayer::SetPool(const json::object& line) {
  Set(m_fleet.pools, line.at("pool").as_object(), "name");
}

void Replayer::SetService(const json::object& line) {
  Set(m_fleet.services, line.at("service").as_object(), "name");
}

void Replayer::SetQuota(const json::object& line) {
  Set(m_fleet.quotas, line.at("quota").as_object(), "team");
}

void Replayer::SetWave(const json::object& line) {
  Set(m_fleet.waves, line.at("wave").as_object(), "id");
}

void Replayer::SetRollout(const json::object& line) {
  Set(m_fleet.rollouts, line.at("rollout").as_object(), "id");
}

void Replayer::SetWeights(const json::object& line) {
  m_fleet.weights = json::value_to<model::MeasureWeights>(line.at("weights"));
}

void Replayer::LoadMemory(const json::object& line) {
  m_placer.Load(json::value_to<placement::PlacementMemory>(line.at("memory")));
}

void Replayer::Forget(const json::object& line) {
  const std::string kind = TextOf(line, "kind");
  const std::string id = TextOf(line, "id");
  size_t erased = 0;
  ForEachTable(m_fleet, [&](std::string_view name, auto& table) {
    erased += name == kind ? table.erase(id) : 0;
  });
  if (erased == 0) {
    throw std::invalid_argument("there is no " + kind + " " + id);
  }
}

void Replayer::SetJob(const json::object& line) {
  const json::object& part = line.at("job").as_object();
  const bool is_new = m_fleet.jobs.count(TextOf(part, "id")) == 0;
  Set(m_fleet.jobs, part, "id");
  Job& job = JobOf(TextOf(part, "id"));
  if (is_new && !part.contains("submitted")) {
    job.submitted = m_now;
  }
}

Job& Replayer::JobOf(const std::string& id) {
  const auto found = m_fleet.jobs.find(id);
  if (found == m_fleet.jobs.end()) {
    throw std::invalid_argument("there is no job " + id);
  }
  return found->second;
}

void Replayer::Cancel(const json::object& line) {
  Job& job = JobOf(TextOf(line, "job"));
  job = placement::AfterCancel(job, m_now, "cancelled");
}

void Replayer::Report(const json::object& line) {
  json::value whole = json::value_from(placement::JobReport{});
  Overlay(whole.as_object(), line.at("report").as_object());
  const auto report = json::value_to<placement::JobReport>(whole);
  Job& job = JobOf(report.job);
  const auto next = placement::AfterReport(job, report, m_now);
  if (next.has_value()) {
    m_placer.Learn(job, report, m_now);
    job = *next;
  }
}

void Replayer::Usage(const json::object& line) {
  json::value whole = json::value_from(placement::JobUsage{});
  Overlay(whole.as_object(), line.at("usage").as_object());
  m_seen.usage[TextOf(line, "job")] =
      json::value_to<placement::JobUsage>(whole);
}

// What a recorded line names as seen stands in place of the usage so far.
void Replayer::Place(const json::object& line) {
  if (const json::value* seen = line.if_contains("seen")) {
    m_seen = json::value_to<placement::Observations>(*seen);
  }
  m_actions = m_placer.Step(m_fleet, m_seen, m_now);
  ApplyPlacement(m_fleet, m_actions, m_now);
}

// Runs that are on a host are what is in flight there.
planning::StepInput Replayer::DerivedInput() const {
  planning::StepInput input;
  input.now = m_now;
  for (const auto& [id, host] : m_fleet.hosts) {
    input.in_flight[id] = 0;
  }
  for (const auto& [id, job] : m_fleet.jobs) {
    if (!job.host.empty()) {
      ++input.in_flight[job.host];
    }
  }
  return input;
}

void Replayer::Plan(const json::object& line) {
  const json::value* recorded = line.if_contains("input");
  const planning::StepInput input =
      recorded == nullptr ? DerivedInput()
                          : json::value_to<planning::StepInput>(*recorded);
  const planning::StepResult result = m_controller.Step(m_fleet, input);
  ApplyPlan(m_fleet, result, m_now);
  m_transitions.clear();
  for (const planning::Action& action : result.actions) {
    m_transitions.push_back(action.transition);
  }
}

void Replayer::Check(const json::object& line, const json::value& value) {
  const json::object& wanted = line.at("is").as_object();
  if (Matches(wanted, value)) {
    return;
  }
  json::object stands;
  for (const auto& member : wanted) {
    const json::value* found = value.as_object().if_contains(member.key());
    stands[member.key()] = found == nullptr ? json::value("absent") : *found;
  }
  throw ExpectationError("expected " + json::serialize(wanted) + ", it is " +
                         json::serialize(stands));
}

void Replayer::ExpectHost(const json::object& line) {
  Check(line, Read(m_fleet.hosts, TextOf(line, "id")));
}

void Replayer::ExpectJob(const json::object& line) {
  Check(line, Read(m_fleet.jobs, TextOf(line, "id")));
}

void Replayer::ExpectWave(const json::object& line) {
  Check(line, Read(m_fleet.waves, TextOf(line, "id")));
}

void Replayer::ExpectRollout(const json::object& line) {
  Check(line, Read(m_fleet.rollouts, TextOf(line, "id")));
}

void Replayer::ExpectAction(const json::object& line) {
  CheckAmong("action", line, m_actions);
}

void Replayer::ExpectActions(const json::object& line) {
  CheckCount("actions", line, m_actions);
}

void Replayer::ExpectTransition(const json::object& line) {
  CheckAmong("transition", line, m_transitions);
}

void Replayer::ExpectTransitions(const json::object& line) {
  CheckCount("transitions", line, m_transitions);
}

// A job that is refused at submission, with a part of the reason.
void Replayer::ExpectRefused(const json::object& line) {
  const Job& job = JobOf(TextOf(line, "id"));
  const auto reason = placement::CheckSubmission(m_fleet, job);
  const std::string wanted = TextOf(line, "reason");
  if (!reason.has_value()) {
    throw ExpectationError("it is not refused");
  }
  if (reason->find(wanted) == std::string::npos) {
    throw ExpectationError("it is refused since " + *reason);
  }
}

}  // namespace

ReplayResult Replay(std::istream& trace, const std::string& name) {
  ReplayResult result;
  Replayer replayer;
  std::string text;
  while (std::getline(trace, text)) {
    ++result.lines;
    if (text.empty() || text.front() == '#') {
      continue;
    }
    try {
      replayer.Apply(json::parse(text).as_object(), result);
    } catch (const std::exception& error) {
      result.failures.push_back(
          {name + ":" + std::to_string(result.lines), error.what()});
    }
  }
  return result;
}

}  // namespace laurelhall::report
