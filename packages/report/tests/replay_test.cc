#include "laurelhall/report/replay.h"

#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>

#include "fleet_copy_p.h"
#include "laurelhall/placement/placer.h"
#include "laurelhall/planning/controller.h"
#include "laurelhall/report/trace_recorder.h"

namespace laurelhall::report {
namespace {

struct ReplayFixture {
  static ReplayResult ReplayText(const std::string& text) {
    std::istringstream trace(text);
    return Replay(trace, "t.jsonl");
  }

  static std::string FailureAt(const ReplayResult& result, size_t index) {
    const Finding& failure = result.failures.at(index);
    return failure.place + ": " + failure.text;
  }
};

TEST_CASE_FIXTURE(ReplayFixture, "Replay, recorded examples, all hold") {
  int traces = 0;
  for (const auto& file :
       std::filesystem::directory_iterator(LAURELHALL_TRACES)) {
    if (file.path().extension() != ".jsonl") {
      continue;
    }
    ++traces;
    std::ifstream trace(file.path());
    const ReplayResult result = Replay(trace, file.path().filename().string());
    CHECK(result.expectations > 0);
    for (const Finding& failure : result.failures) {
      FAIL_CHECK(failure.place << ": " << failure.text);
    }
  }
  CHECK(traces > 0);
}

TEST_CASE_FIXTURE(ReplayFixture,
                  "Replay, wrong lines, each named with file and number") {
  const ReplayResult result = ReplayText(
      R"({"at":5,"event":"job","job":{"id":"j","team":"t"}}
# A comment.
{"at":5,"expect":"job","id":"j","is":{"state":"kRunning"}}
{"at":4,"event":"place"}
{"at":6,"event":"dance"}
{"at":6,"event":"job","job":{"id":"j","colour":"red"}}
{"at":6,"event":
{"at":6,"expect":"job","id":"k","is":{}}
{"at":6,"event":"place"}
{"at":6,"expect":"actions","count":1}
)");
  CHECK(result.lines == 10);
  REQUIRE(result.failures.size() == 7);
  CHECK(
      FailureAt(result, 0) ==
      R"(t.jsonl:3: expected {"state":"kRunning"}, it is {"state":"kQueued"})");
  CHECK(FailureAt(result, 1) == "t.jsonl:4: the time goes back");
  CHECK(FailureAt(result, 2) == "t.jsonl:5: unknown event dance");
  CHECK(FailureAt(result, 3) == "t.jsonl:6: unknown member colour");
  CHECK(result.failures[4].place == "t.jsonl:7");
  CHECK(FailureAt(result, 5) == "t.jsonl:8: there is no k");
  CHECK(result.failures[6].place == "t.jsonl:10");
}

TEST_CASE_FIXTURE(ReplayFixture,
                  "TraceWriter, steps of a placer, replay as they were") {
  model::Fleet fleet;
  std::ostringstream out;
  TraceWriter writer(out);
  for (int i = 0; i < 3; ++i) {
    model::Host host;
    host.id = "h" + std::to_string(i);
    host.pool = "p";
    host.capacity = {8, 32, 0};
    host.state = model::HostState::kInPool;
    fleet.hosts[host.id] = host;
    writer.Event({}, "host", host);
  }
  placement::Placer placer;
  WallTime now{Millis(1'000)};
  for (int i = 0; i < 30; ++i) {
    model::Job job;
    job.id = "j" + std::to_string(i);
    job.pool = "p";
    job.team = "t" + std::to_string(i % 2);
    job.priority = static_cast<model::Priority>(i % 3);
    job.declared = {1.0 + i % 3, 2.5 * (i % 5), 0};
    job.declared_run_time = std::chrono::minutes(5);
    job.submitted = now;
    fleet.jobs[job.id] = job;
    writer.Event(now, "job", job);
    const auto actions = placer.Step(fleet, {}, now);
    writer.Placed(now, actions);
    for (const auto& action : actions) {
      model::Job& changed = fleet.jobs.at(action.job);
      changed = placement::AfterAction(changed, action, now);
    }
    now += Millis(500);
  }
  const ReplayResult result = ReplayText(out.str());
  CHECK(result.steps == 30);
  CHECK(result.expectations > 40);
  for (const Finding& failure : result.failures) {
    FAIL_CHECK(failure.place << ": " << failure.text);
  }
}

// A leader's steps over a fleet that others change between them.
struct RecorderFixture : ReplayFixture {
  RecorderFixture() {
    auto out = std::make_unique<std::ostringstream>();
    m_out = out.get();
    m_recorder = std::make_unique<TraceRecorder>(std::move(out), kMaxBytes);
    m_fleet.pools["p"].name = "p";
    for (uint32_t i = 0; i < kHosts; ++i) {
      model::Host& host = m_fleet.hosts["h" + std::to_string(i)];
      host.id = "h" + std::to_string(i);
      host.pool = "p";
      host.rack = "r" + std::to_string(i);
      host.availability_zone = "z" + std::to_string(i);
      host.capacity = {8, 32, 0};
      host.state = model::HostState::kInPool;
    }
  }

  void Run(uint32_t seed, int steps) {
    std::mt19937 random(seed);
    for (int i = 0; i < steps; ++i) {
      m_now += Millis(500);
      Change(random);
      const planning::StepInput input = InputNow();
      const auto plan = m_controller.Step(m_fleet, input);
      m_recorder->Planned(m_fleet, input, plan);
      ApplyPlan(m_fleet, plan, m_now);
      m_transitions += plan.actions.size();
      const auto actions = m_placer.Step(m_fleet, m_seen, m_now);
      m_recorder->Placed(m_fleet, m_seen, actions, m_now);
      m_decisions += plan.actions.size() + actions.size();
      ApplyPlacement(m_fleet, actions, m_now);
    }
  }

  void Change(std::mt19937& random) {
    const std::string id = "j" + std::to_string(random() % 20);
    if (const auto found = m_fleet.jobs.find(id); found == m_fleet.jobs.end()) {
      model::Job& job = m_fleet.jobs[id];
      job.id = id;
      job.pool = "p";
      job.team = "t" + std::to_string(random() % 2);
      job.priority = static_cast<model::Priority>(random() % 3);
      job.declared = {1.0 + random() % 6, 2.3, 0};
      job.declared_run_time = std::chrono::minutes(5);
      job.can_checkpoint = random() % 2 == 0;
      job.submitted = m_now;
    } else if (found->second.host.empty()) {
      m_fleet.jobs.erase(found);
    } else {
      Report(found->second, random() % 3 == 0);
    }
    if (random() % 8 == 0) {
      RestartWave("h" + std::to_string(random() % kHosts));
    }
    ChangeHost(random, m_fleet.hosts["h" + std::to_string(random() % kHosts)]);
  }

  void ChangeHost(std::mt19937& random, model::Host& host) {
    const auto event = random() % 64 == 0 ? model::HostEvent::kFail
                       : host.state == model::HostState::kReturning
                           ? model::HostEvent::kWarm
                           : model::HostEvent::kReturn;
    const planning::Transition change{host.id, host.epoch, event, {},
                                      "",      "",         "2.4"};
    host = planning::ApplyTransition(host, change, m_now).value_or(host);
  }

  // Drains a host that had all its tries but one; other hosts' are forgotten.
  void RestartWave(const std::string& host) {
    model::Wave& wave = m_fleet.waves["w"];
    wave = {};
    wave.id = "w";
    wave.pools = {"p"};
    wave.started = m_now;
    wave.pending = {"h1", host};
    wave.tries = {{host, planning::PlanningPolicy().max_drain_tries - 1}};
  }

  void Report(model::Job& job, bool is_failure) {
    const placement::JobReport report{
        job.id,
        job.lease,
        job.host,
        is_failure ? placement::JobReportKind::kFailed
                   : placement::JobReportKind::kSucceeded,
        Millis(1'500),
        {1.1, 2.1, 0},
        "broken"};
    m_placer.Learn(job, report, m_now);
    m_recorder->Learned(job, report, m_now);
    job = placement::AfterReport(job, report, m_now).value_or(job);
  }

  planning::StepInput InputNow() const {
    planning::StepInput input;
    input.now = m_now;
    for (const auto& [id, host] : m_fleet.hosts) {
      input.in_flight[id] = 0;
    }
    const bool is_busy = m_now.time_since_epoch() / Millis(10'000) % 2 == 0;
    input.in_flight["h1"] = is_busy ? 2 : 0;
    input.burn["s"].rates = {0.1, 2.5, 0, 0};
    return input;
  }

  static constexpr uint32_t kHosts = 12;
  static constexpr std::streamoff kMaxBytes = 4 << 20;
  std::ostringstream* m_out;
  std::unique_ptr<TraceRecorder> m_recorder;
  model::Fleet m_fleet;
  placement::Observations m_seen;
  placement::Placer m_placer;
  planning::FleetController m_controller;
  WallTime m_now{};
  size_t m_decisions = 0;
  size_t m_transitions = 0;
};

TEST_CASE_FIXTURE(RecorderFixture,
                  "TraceRecorder, fleet that others change, replays the same") {
  Run(7, 200);
  // The next leader goes on with what the last one saved.
  const placement::PlacementMemory memory = m_placer.Save();
  m_placer = placement::Placer();
  m_placer.Load(memory);
  m_recorder->Loaded(memory, m_now);
  Run(11, 200);
  const std::string trace = m_out->str();
  const ReplayResult result = ReplayText(trace);
  CHECK(m_decisions > 100);
  CHECK(m_transitions > 30);
  CHECK(static_cast<size_t>(result.expectations) > m_decisions);
  for (const Finding& failure : result.failures) {
    FAIL_CHECK(failure.place << ": " << failure.text);
  }
  Run(8, 1);
  m_now -= Millis(60'000);
  Run(9, 1);
  CHECK(m_recorder->is_ended());
}

TEST_CASE_FIXTURE(RecorderFixture,
                  "TraceRecorder, more than its limit, ends with a comment") {
  Run(7, 20'000);
  CHECK(m_recorder->is_ended());
  CHECK(m_out->str().ends_with("# Ended: the trace is full.\n"));
  CHECK(m_out->str().size() < kMaxBytes + 100'000);
  CHECK(ReplayText(m_out->str()).failures.empty());
}

TEST_CASE_FIXTURE(ReplayFixture,
                  "Replay, wave over a host with a run, waits for it") {
  const ReplayResult result = ReplayText(
      R"({"at":0,"event":"pool","pool":{"name":"p"}}
{"at":0,"event":"host","host":{"id":"h1","pool":"p","rack":"r1","capacity":{"processors":8,"memory_gb":32},"state":"kInPool"}}
{"at":0,"event":"host","host":{"id":"h2","pool":"p","rack":"r2","capacity":{"processors":8,"memory_gb":32},"state":"kInPool"}}
{"at":0,"event":"host","host":{"id":"h3","pool":"p","rack":"r3","capacity":{"processors":8,"memory_gb":32},"state":"kInPool"}}
{"at":0,"event":"host","host":{"id":"h4","pool":"p","rack":"r4","capacity":{"processors":8,"memory_gb":32},"state":"kInPool"}}
{"at":0,"event":"job","job":{"id":"j","pool":"p","team":"t","declared":{"processors":8,"memory_gb":8},"declared_run_time":3600000,"can_checkpoint":true}}
{"at":0,"event":"place"}
{"at":0,"expect":"job","id":"j","is":{"host":"h1"}}
{"at":1000,"event":"wave","wave":{"id":"w","pools":["p"],"started":1000,"pending":["h1"]}}
{"at":1000,"event":"plan"}
{"at":1000,"expect":"host","id":"h1","is":{"state":"kDraining"}}
{"at":1500,"event":"place"}
{"at":1500,"expect":"action","is":{"job":"j","kind":"kCheckpoint","reason":"host h1 drains"}}
{"at":2000,"event":"plan"}
{"at":2000,"expect":"host","id":"h1","is":{"state":"kDraining"}}
{"at":3000,"event":"report","report":{"job":"j","lease":1,"host":"h1","kind":"kCheckpointed","work_done":3000}}
{"at":3500,"event":"place"}
{"at":3500,"expect":"job","id":"j","is":{"state":"kRunning","host":"h2","work_done":3000}}
{"at":4000,"event":"plan"}
{"at":4000,"expect":"host","id":"h1","is":{"state":"kDrained"}}
)");
  for (const Finding& failure : result.failures) {
    FAIL_CHECK(failure.place << ": " << failure.text);
  }
}

}  // namespace
}  // namespace laurelhall::report
