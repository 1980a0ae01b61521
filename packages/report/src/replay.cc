#include "laurelhall/report/replay.h"

#include <algorithm>
#include <map>
#include <stdexcept>

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

// Applies the members that a line names to the value that it is keyed by.
template <typename T>
void Set(std::map<std::string, T>& values,
         const json::object& part,
         const char* key) {
  T& value = values[TextOf(part, key)];
  json::value whole = json::value_from(value);
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
  void SetJob(const json::object& line);
  void Cancel(const json::object& line);
  void Report(const json::object& line);
  void Usage(const json::object& line);
  void Place(const json::object& line);
  void Plan(const json::object& line);

  void ExpectHost(const json::object& line);
  void ExpectJob(const json::object& line);
  void ExpectWave(const json::object& line);
  void ExpectAction(const json::object& line);
  void ExpectActions(const json::object& line);
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
  std::vector<placement::JobAction> m_actions;  // Of the last placement.
};

const std::map<std::string, Replayer::Handler> Replayer::kEvents = {
    {"host", &Replayer::SetHost},       {"pool", &Replayer::SetPool},
    {"service", &Replayer::SetService}, {"quota", &Replayer::SetQuota},
    {"wave", &Replayer::SetWave},       {"job", &Replayer::SetJob},
    {"cancel", &Replayer::Cancel},      {"report", &Replayer::Report},
    {"usage", &Replayer::Usage},        {"place", &Replayer::Place},
    {"plan", &Replayer::Plan},
};

const std::map<std::string, Replayer::Handler> Replayer::kExpectations = {
    {"host", &Replayer::ExpectHost},
    {"job", &Replayer::ExpectJob},
    {"wave", &Replayer::ExpectWave},
    {"action", &Replayer::ExpectAction},
    {"actions", &Replayer::ExpectActions},
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

void Replayer::Place(const json::object&) {
  m_actions = m_placer.Step(m_fleet, m_seen, m_now);
  for (const placement::JobAction& action : m_actions) {
    Job& job = m_fleet.jobs.at(action.job);
    if (job.lease == action.expected_lease) {
      job = placement::AfterAction(job, action, m_now);
    }
  }
}

// Runs that are on a host are what is in flight there.
void Replayer::Plan(const json::object&) {
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
  const planning::StepResult result = m_controller.Step(m_fleet, input);
  for (const planning::Action& action : result.actions) {
    model::Host& host = m_fleet.hosts.at(action.transition.host);
    host = planning::ApplyTransition(host, action.transition, m_now)
               .value_or(host);
  }
  for (const model::Wave& wave : result.waves) {
    m_fleet.waves[wave.id] = wave;
  }
  for (const model::Rollout& rollout : result.rollouts) {
    m_fleet.rollouts[rollout.id] = rollout;
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

void Replayer::ExpectAction(const json::object& line) {
  const json::value& wanted = line.at("is");
  const bool is_there = std::any_of(
      m_actions.begin(), m_actions.end(), [&wanted](const auto& action) {
        return Matches(wanted, json::value_from(action));
      });
  if (!is_there) {
    throw ExpectationError("no action " + json::serialize(wanted) + " among " +
                           json::serialize(json::value_from(m_actions)));
  }
}

void Replayer::ExpectActions(const json::object& line) {
  const auto wanted = line.at("count").to_number<size_t>();
  if (wanted != m_actions.size()) {
    throw ExpectationError("expected " + std::to_string(wanted) +
                           " actions, there are " +
                           json::serialize(json::value_from(m_actions)));
  }
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
