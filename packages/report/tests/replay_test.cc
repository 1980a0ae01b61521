#include "laurelhall/report/replay.h"

#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "laurelhall/placement/placer.h"

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
