#include "laurelhall/trace/trace.h"

#include <doctest/doctest.h>

#include <fstream>
#include <list>
#include <map>
#include <sstream>

namespace laurelhall::trace {
namespace {

const WallTime kStart = *ParseTime("2026-03-01T12:00:00Z");

/// Logs of processes as a test writes them; times are ms from kStart.
struct TraceFixture {
  void Add(const std::string& process,
           int64_t at,
           const std::string& head,
           const std::string& fields = "") {
    const size_t space = head.find(' ');
    m_logs[process] += R"({"time":")" + FormatWallTime(kStart + Millis(at)) +
                       R"(","part":")" + head.substr(0, space) +
                       R"(","event":")" + head.substr(space + 1) + "\"" +
                       (fields.empty() ? "" : ",") + fields + "}\n";
  }

  /// Taken in at 0, for service s.
  void Accept() {
    Add("core-1", 0, "dispatch accept",
        R"("job":"j1","queue":"q","service":"s","term":2)");
  }

  void Starts(int64_t at, int step, int run, int64_t age) {
    Add("core-1", at, "dispatch starts",
        R"("job":"j1","step":)" + std::to_string(step) +
            R"(,"tasks":2,"run":)" + std::to_string(run) +
            R"(,"first_worker":"w1","age_ms":)" + std::to_string(age));
  }

  void Over(int64_t at, const std::string& state = "succeeded") {
    Add("core-1", at, "dispatch job-over",
        R"("job":"j1","state":")" + state + R"(","within_ms":)" +
            std::to_string(at));
  }

  void End(int64_t at,
           const std::string& task,
           const std::string& worker,
           const std::string& how) {
    Add("core-1", at, "dispatch end",
        R"("task":")" + task + R"(","run":1,"worker":")" + worker +
            R"(","how":")" + how + "\"");
  }

  void Post(int64_t at, int status, int took) {
    Add("edge-1", at, "entry answer",
        R"("method":"POST","path":"/a/j1","status":)" + std::to_string(status) +
            R"(,"took_ms":)" + std::to_string(took));
  }

  void Pool(int64_t at, int needed, int cores) {
    Add("core-1", at, "pools state",
        R"("service":"s","needed_cores":)" + std::to_string(needed) +
            R"(,"cores":)" + std::to_string(cores));
  }

  void Waits(int64_t at, const std::string& why) {
    Add("core-1", at, "dispatch waits",
        R"("job":"j1","service":"s","step":0,"tasks":3,"age_ms":)" +
            std::to_string(at) + R"(,"why":")" + why +
            R"(","workers":5,"with_room":0,"of":7)");
  }

  Answer Ask(const std::string& id = "j1", Question question = {}) {
    question.id = id;
    std::list<std::istringstream> streams;
    std::vector<Source> sources;
    for (const auto& [process, text] : m_logs) {
      sources.push_back({process, &streams.emplace_back(text)});
    }
    m_answer = Trace(question, sources);
    return m_answer;
  }

  /// "kind rule", and keeps the answer.
  std::string Verdict(const std::string& id = "j1") {
    Ask(id);
    return m_answer.cause.kind + " " + m_answer.cause.rule;
  }

  /// "process part event" of the line that decided.
  std::string Decided() const {
    const Line& line = m_answer.timeline.at(m_answer.cause.line);
    return line.process + " " + line.part + " " + line.event;
  }

  bool Says(const std::string& text) const {
    const bool does = m_answer.cause.reason.find(text) != std::string::npos;
    if (!does) {
      MESSAGE(m_answer.cause.reason);
    }
    return does;
  }

  std::map<std::string, std::string> m_logs;
  Answer m_answer;
};

TEST_CASE("ParseTime, times and others, are told apart") {
  CHECK(ParseTime("2026-03-01T12:00:00.250Z") == kStart + Millis(250));
  CHECK(ParseTime("2026-03-01T12:00:00.5Z") == kStart + Millis(500));
  CHECK(ParseTime("2026-03-01T12:00:00Z") == kStart);
  CHECK(!ParseTime("2026-13-01T12:00:00Z"));
  CHECK(!ParseTime("2026-03-01T12:00:00"));
  CHECK(!ParseTime("2026-03-01 12:00:00Z"));
  CHECK(!ParseTime("yesterday"));
}

TEST_CASE_FIXTURE(TraceFixture, "Trace, an id in no line, is not found") {
  Accept();
  CHECK(Ask("j2").timeline.empty());
}

TEST_CASE_FIXTURE(TraceFixture, "Trace, logs of several, are in order") {
  Post(5, 200, 9);
  Accept();
  Starts(20, 0, 1, 20);
  Over(900);
  CHECK(Verdict() == "done in-time");
  REQUIRE(m_answer.timeline.size() == 4);
  CHECK(m_answer.timeline[0].event == "accept");
  CHECK(m_answer.timeline[1].process == "edge-1");
  CHECK(Says("succeeded within 900 ms; its first start came after 20 ms"));
}

TEST_CASE_FIXTURE(TraceFixture, "Trace, prefixes, name the process") {
  Accept();
  const std::string line = m_logs["core-1"];
  for (const auto& [prefix, process] : std::map<std::string, std::string>{
           {"", "file"},
           {"  11.4218 core-x ", "core-x"},
           {"core-x  | ", "core-x"},
           {"core-x 2026-03-01T12:00:00.1Z ", "core-x"},
           {"2026-03-01T12:00:00.1Z core-x: ", "core-x"},
           {"Mar 01 12:00:00 core-x laurelhalld[71]: ", "core-x"}}) {
    std::istringstream stream(prefix + line);
    const Answer answer = Trace({"j1", {}, {}}, {{"file", &stream}});
    REQUIRE(answer.timeline.size() == 1);
    CHECK(answer.timeline[0].process == process);
  }
}

TEST_CASE_FIXTURE(TraceFixture, "Trace, lines of none of ours, are counted") {
  Accept();
  m_logs["core-1"] += "j1 {no json\nj1 {\"time\":1}\nplain text\n";
  CHECK(Ask().timeline.size() == 1);
  CHECK(m_answer.unread == 2);
}

TEST_CASE_FIXTURE(TraceFixture, "Trace, other services' lines, are left out") {
  Accept();
  Pool(10, 5, 9);
  Add("core-1", 11, "pools state",
      R"("service":"other","needed_cores":9,"cores":1)");
  Add("core-1", 12, "pools move", R"("host":"h","from":"a","to":"other")");
  Add("core-1", 13, "pools move", R"("host":"h","from":"s","to":"other")");
  Over(900);
  CHECK(Ask().timeline.size() == 4);
}

TEST_CASE_FIXTURE(TraceFixture, "Trace, before its first line, tells states") {
  Add("core-1", -60'000, "dispatch leads", R"("term":2)");
  Add("core-1", -50'000, "pools moved", R"("host":"h","to":"s")");
  Pool(-40'000, 5, 9);
  Pool(-30'000, 6, 9);
  Accept();
  Over(900);
  REQUIRE(Ask().timeline.size() == 4);
  CHECK(m_answer.timeline[0].event == "leads");
  CHECK(m_answer.timeline[1].Number("needed_cores") == 6);
}

TEST_CASE_FIXTURE(TraceFixture, "Trace, hosts of its workers, are followed") {
  Add("core-1", -9'000, "dispatch worker",
      R"("worker":"w1","service":"s","host":"h1")");
  Accept();
  Starts(10, 0, 1, 10);
  Add("core-1", 20, "wave maintain", R"("wave":3,"host":"h1")");
  Add("core-1", 21, "wave maintain", R"("wave":3,"host":"h2")");
  Add("core-1", 22, "dispatch worker-gone", R"("worker":"w1","why":"x")");
  Add("core-1", 23, "dispatch worker-gone", R"("worker":"w2","why":"x")");
  Over(900);
  CHECK(Ask().timeline.size() == 5);
}

TEST_CASE_FIXTURE(TraceFixture, "Trace, from and to, bound the timeline") {
  Accept();
  Starts(20, 0, 1, 20);
  Over(900);
  Question question;
  question.to = kStart + Millis(500);
  CHECK(Ask("j1", question).timeline.size() == 2);
  CHECK(m_answer.cause.rule == "at-work");
  question.from = kStart + Millis(10);
  CHECK(Ask("j1", question).timeline.size() == 1);
}

TEST_CASE_FIXTURE(TraceFixture, "Trace, a number of two, asks which") {
  Add("core-1", 0, "wave open", R"("wave":7,"hosts":3,"most_at_once":2)");
  Add("core-1", 1, "dispatch configuration",
      R"("version":7,"held":6,"outcome":"proposed")");
  CHECK_THROWS_AS(Ask("7"), AmbiguousError);
  CHECK(Verdict("wave:7") == "seen wave");
  CHECK(Says("Wave 7: 3 hosts"));
  CHECK(Verdict("version:7") == "seen version");
  CHECK(Says("proposed by core-1"));
}

TEST_CASE_FIXTURE(TraceFixture, "Trace, more lines than fit, are counted") {
  Accept();
  for (int each = 0; each < 20'100; ++each) {
    Add("core-1", each % 800, "dispatch load", R"("tick_lag_ms":1)");
  }
  Over(900);
  CHECK(Ask().timeline.size() == 20'000);
  CHECK(m_answer.left_out == 102);
}

TEST_CASE_FIXTURE(TraceFixture, "Story, a bad request, says why") {
  Add("edge-1", 1, "entry refuse", R"("job":"j1","why":"steps: none")");
  Post(1, 400, 1);
  CHECK(Verdict() == "refused bad-request");
  CHECK(Decided() == "edge-1 entry refuse");
  CHECK(Says("steps: none"));
}

TEST_CASE_FIXTURE(TraceFixture, "Story, unknown key, names the version") {
  Add("core-1", 1, "dispatch no-access",
      R"("job":"j1","queue":"quotes","version":7,"key":"0a1b2c3d4e5f")");
  Post(2, 401, 1);
  CHECK(Verdict() == "refused unknown-key");
  CHECK(Decided() == "core-1 dispatch no-access");
  CHECK(Says("Version 7 holds no key 0a1b2c3d4e5f for queue quotes"));
}

TEST_CASE_FIXTURE(TraceFixture, "Story, no such queue, names the path") {
  Post(1, 404, 1);
  CHECK(Verdict() == "refused unknown-queue");
  CHECK(Says("/a/j1"));
}

TEST_CASE_FIXTURE(TraceFixture, "Story, no leader, names who led") {
  Add("core-1", 100, "dispatch leads-no-more", R"("term":2)");
  Post(1'000, 503, 962);
  Add("core-2", 1'200, "dispatch leads", R"("term":3)");
  CHECK(Verdict() == "refused no-leader");
  CHECK(Decided() == "edge-1 entry answer");
  CHECK(
      Says("962 ms (status 503); core-1 led no more since 12:00:00.100; "
           "core-2 leads since 12:00:01.200"));
}

TEST_CASE_FIXTURE(TraceFixture, "Story, a leader without answer, is told") {
  Post(1'500, 504, 1'500);
  CHECK(Verdict() == "refused not-answered");
  CHECK(Says("1500 ms (status 504)"));
}

TEST_CASE_FIXTURE(TraceFixture, "Story, refused but taken in, is not refused") {
  Post(1'500, 504, 1'500);
  Accept();
  Starts(20, 0, 1, 20);
  Over(900);
  CHECK(Verdict() == "late answer-not-given");
  CHECK(Says("status 504 after 1500 ms"));
}

TEST_CASE_FIXTURE(TraceFixture, "Story, lines dropped later, lose it") {
  Accept();
  Add("core-1", 400, "log dropped", R"("decisions":12,"tasks":0)");
  CHECK(Verdict() == "lost-sight dropped-lines");
  CHECK(Says("core-1 dropped 12 lines of decisions at 12:00:00.400"));
}

TEST_CASE_FIXTURE(TraceFixture,
                  "Story, lines of requests dropped later, lose it") {
  Accept();
  Add("core-1", 400, "log dropped", R"("decisions":0,"tasks":7,"requests":3)");
  CHECK(Verdict() == "lost-sight dropped-lines");
  CHECK(Says("core-1 dropped 3 lines of requests at 12:00:00.400"));
}

TEST_CASE_FIXTURE(TraceFixture,
                  "Story, only tasks' lines dropped, is in sight") {
  Accept();
  Add("core-1", 400, "log dropped", R"("decisions":0,"tasks":12)");
  CHECK(Verdict() == "waiting at-work");
}

TEST_CASE_FIXTURE(TraceFixture, "Story, a wait and no more, still waits") {
  Accept();
  Waits(3'000, "no-worker");
  CHECK(Verdict() == "waiting told-by-the-leader");
  CHECK(Says("3000 ms old: no worker of its service may be given work"));
  Starts(3'100, 0, 1, 3'100);
  CHECK(Verdict() == "waiting at-work");
}

TEST_CASE_FIXTURE(TraceFixture, "Story, cancelled, says by whom") {
  Accept();
  Add("core-1", 300, "dispatch cancel", R"("job":"j1")");
  CHECK(Verdict() == "ended cancelled");
}

TEST_CASE_FIXTURE(TraceFixture,
                  "Story, workers went down under a task, names them") {
  Accept();
  Starts(20, 0, 1, 20);
  Add("core-1", 900, "dispatch give-up",
      R"("job":"j1","task":"j1.0.0.0","suspicion":"prompt","crashes":2,)"
      R"("workers_down":"w1 w4")");
  Over(901, "failed");
  CHECK(Verdict() == "failed workers-went-down");
  CHECK(Says("2 workers went down under it (w1 w4)"));
}

TEST_CASE_FIXTURE(TraceFixture,
                  "Story, one task of a standing job was given up, names its "
                  "workers") {
  Accept();
  Starts(20, 0, 1, 20);
  Add("core-1", 900, "dispatch give-up",
      R"("job":"j1","task":"j1.0.0.0","gives_up":"task",)"
      R"("suspicion":"suspect","crashes":5,"workers_down":"w1 w2 w3 w4 w5")");
  CHECK(Verdict() == "short-of-a-task workers-went-down");
  CHECK(Says("5 workers went down under it (w1 w2 w3 w4 w5)"));
}

TEST_CASE_FIXTURE(TraceFixture,
                  "Story, a worker that fails all, is the cause") {
  Accept();
  Starts(20, 0, 1, 20);
  End(500, "j1.0.0.0", "w1", "failed");
  End(501, "j2.0.0.0", "w1", "failed");
  Over(900, "failed");
  CHECK(Verdict() == "failed by-its-workers");
  CHECK(Says("failed on worker w1, which also failed 1 task of other jobs"));
}

TEST_CASE_FIXTURE(TraceFixture, "Story, a job that fails alone, is the cause") {
  Accept();
  Starts(20, 0, 1, 20);
  End(500, "j1.0.0.0", "w1", "failed");
  End(600, "j1.0.0.0", "w2", "failed");
  End(601, "j2.0.0.0", "w3", "failed");
  Over(900, "failed");
  CHECK(Verdict() == "failed by-itself");
  CHECK(Says("2 ends of its tasks failed, the last j1.0.0.0, on 2 workers"));
}

TEST_CASE_FIXTURE(TraceFixture, "Story, failed without ends, counts the lost") {
  Accept();
  Add("core-1", 400, "log dropped", R"("decisions":0,"tasks":12)");
  Over(900, "failed");
  CHECK(Verdict() == "failed ends-not-told");
  CHECK(Says("12 lines of tasks were dropped"));
}

TEST_CASE_FIXTURE(TraceFixture,
                  "Story, a new leader meanwhile, is a failover") {
  Accept();
  Add("core-2", 700, "dispatch leads", R"("term":3)");
  Starts(1'500, 0, 1, 1'400);
  Over(3'000);
  CHECK(Verdict() == "late failover");
  CHECK(Says("core-2 leads in term 3 since 12:00:00.700"));
  CHECK(Says("its first start came 1500 ms after it was taken in"));
}

TEST_CASE_FIXTURE(TraceFixture, "Story, slow ticks, are a leader behind") {
  Accept();
  Add("core-1", 700, "dispatch load",
      R"("tick_lag_ms":51,"open_jobs":400,"runs":2000)");
  Starts(1'500, 0, 1, 1'500);
  Over(3'000);
  CHECK(Verdict() == "late leader-behind");
  CHECK(Says("behind by 51 ms a tick, with 400 open jobs"));
}

TEST_CASE_FIXTURE(TraceFixture, "Story, usual ticks, are no leader behind") {
  Accept();
  Add("core-1", 700, "dispatch load", R"("tick_lag_ms":50)");
  Starts(1'500, 0, 1, 1'500);
  Over(3'000);
  CHECK(Verdict() == "late not-told");
}

TEST_CASE_FIXTURE(TraceFixture, "Story, hosts that join meanwhile, came late") {
  Accept();
  Pool(200, 500, 100);
  Add("core-1", 1'200, "pools moved",
      R"("host":"h1","to":"s","outcome":"done")");
  Add("core-1", 1'250, "pools moved",
      R"("host":"h2","to":"s","outcome":"busy")");
  Starts(1'500, 0, 1, 1'500);
  Over(3'000);
  CHECK(Verdict() == "late hosts-moved-late");
  CHECK(Says("needed 500 cores and had 100"));
  CHECK(Says("1 host joined while it waited, the last at 12:00:01.200"));
}

TEST_CASE_FIXTURE(TraceFixture, "Story, too few cores, are no room") {
  Accept();
  Pool(200, 500, 100);
  Starts(1'500, 0, 1, 1'500);
  Over(3'000);
  CHECK(Verdict() == "late no-room");
  CHECK(Decided() == "core-1 pools state");
  Waits(1'200, "no-room");
  CHECK(Verdict() == "late no-room");
  CHECK(Decided() == "core-1 dispatch waits");
  CHECK(Says("0 of 5 workers with room, 7 jobs waiting"));
}

TEST_CASE_FIXTURE(TraceFixture, "Story, too few cores but in time, is done") {
  Accept();
  Pool(200, 500, 100);
  Starts(900, 0, 1, 900);
  Over(3'000);
  CHECK(Verdict() == "done in-time");
}

TEST_CASE_FIXTURE(TraceFixture, "Story, another reason to wait, is told") {
  Accept();
  Waits(1'200, "gang-incomplete");
  Starts(1'500, 0, 1, 1'500);
  Over(3'000);
  CHECK(Verdict() == "late held-back");
  CHECK(Says("some of its group still run"));
}

TEST_CASE_FIXTURE(TraceFixture, "Story, a worker that lapsed, is named") {
  Accept();
  Starts(20, 0, 1, 20);
  Add("core-1", 6'000, "dispatch worker-lapsed",
      R"("worker":"w1","silent_ms":6319,"runs":5)");
  Starts(6'100, 0, 2, 6'100);
  Over(9'000);
  CHECK(Verdict() == "late worker-lapsed");
  CHECK(Says("w1 was silent for 6319 ms with 5 runs"));
  CHECK(Says("started again at 12:00:06.100"));
}

TEST_CASE_FIXTURE(TraceFixture, "Story, a run that failed, is named") {
  Accept();
  Starts(20, 0, 1, 20);
  End(500, "j1.0.0.1", "w1", "failed");
  Starts(600, 0, 2, 600);
  Over(900);
  CHECK(Verdict() == "late run-failed");
  CHECK(Says("the last of j1.0.0.1 on worker w1 (failed)"));
}

TEST_CASE_FIXTURE(TraceFixture, "Story, an order without answer, is named") {
  Accept();
  Starts(20, 0, 1, 20);
  Add("core-1", 140, "dispatch start",
      R"("task":"j1.0.0.1","run":1,"worker":"w9","outcome":"unknown")");
  Starts(600, 0, 2, 600);
  Over(900);
  CHECK(Verdict() == "late order-not-answered");
  CHECK(Says("worker w9 (unknown) at 12:00:00.140"));
}

TEST_CASE_FIXTURE(TraceFixture, "Story, a task, tells of its job") {
  Accept();
  Starts(20, 0, 1, 20);
  End(500, "j1.0.0.1", "w1", "stopped");
  End(501, "j1.0.0.2", "w1", "stopped");
  Over(900);
  CHECK(Verdict("j1.0.0.1") == "done in-time");
  CHECK(m_answer.subject == Subject::kTask);
  CHECK(m_answer.timeline.size() == 4);
}

TEST_CASE_FIXTURE(TraceFixture, "Story, a worker or host, tells its last") {
  Add("core-1", 10, "dispatch worker", R"("worker":"w1","host":"h1")");
  Add("core-1", 20, "dispatch worker-gone",
      R"("worker":"w1","why":"its host is moved")");
  Add("core-1", 30, "pools moved", R"("host":"h1","to":"s")");
  CHECK(Verdict("w1") == "seen worker");
  CHECK(Says("Worker w1 is gone at 12:00:00.020"));
  CHECK(Verdict("h1") == "seen host");
  CHECK(Says("Host h1 was told to move"));
}

TEST_CASE_FIXTURE(TraceFixture, "Story, only other lines, tells the last") {
  Add("edge-1", 10, "entry answer",
      R"("method":"GET","path":"/a/j1","status":410)");
  CHECK(Verdict() == "seen last-line");
  CHECK(Says("status=410"));
}

TEST_CASE_FIXTURE(TraceFixture, "Trace, a path with a query, has its id") {
  Add("edge-1", 10, "entry answer",
      R"("method":"GET","path":"/a/j1?wait=1","status":410)");
  Add("edge-1", 11, "entry answer",
      R"("method":"GET","path":"/a/b?of=/j1","status":410)");
  REQUIRE(Ask().timeline.size() == 1);
  CHECK(m_answer.timeline[0].Text("path") == "/a/j1?wait=1");
}

TEST_CASE_FIXTURE(TraceFixture, "Story, a host told of once, tells that") {
  Add("core-1", 10, "dispatch worker", R"("worker":"w1","host":"h1")");
  CHECK(Verdict("h1") == "seen last-line");
}

TEST_CASE_FIXTURE(TraceFixture, "Story, a run stopped here, has not failed") {
  Accept();
  Starts(20, 0, 1, 20);
  End(500, "j1.0.0.1", "w1", "stopped");
  Starts(600, 0, 2, 600);
  Over(900);
  CHECK(Verdict() == "late not-told");
}

TEST_CASE_FIXTURE(TraceFixture, "Trace, failed ends elsewhere, are left out") {
  Accept();
  Starts(20, 0, 1, 20);
  End(501, "j2.0.0.0", "w1", "failed");
  End(502, "j2.0.0.1", "w2", "failed");
  End(503, "j2.0.0.2", "w1", "done");
  Over(900);
  CHECK(Ask().timeline.size() == 4);
}

TEST_CASE_FIXTURE(TraceFixture,
                  "Trace, a job not over, is followed to the end") {
  Accept();
  Add("core-1", 60'000, "dispatch load", R"("tick_lag_ms":1)");
  CHECK(Ask().timeline.size() == 2);
  Over(900);
  CHECK(Ask().timeline.size() == 2);
  CHECK(m_answer.timeline.back().event == "job-over");
}

TEST_CASE_FIXTURE(TraceFixture,
                  "Trace, configurations, only new ones explain") {
  Accept();
  Add("core-1", 10, "dispatch configuration",
      R"("version":5,"held":5,"outcome":"nothing-new")");
  Add("core-1", 11, "dispatch configuration",
      R"("version":6,"held":5,"outcome":"proposed")");
  Over(900);
  REQUIRE(Ask().timeline.size() == 3);
  CHECK(m_answer.timeline[1].Number("version") == 6);
}

TEST_CASE_FIXTURE(TraceFixture, "Trace, messages, those on leaders explain") {
  Accept();
  for (const char* text : {"core-2 leads in term 3.", "Repair: addition."}) {
    m_logs["core-2"] += R"({"time":")" + FormatWallTime(kStart + Millis(5)) +
                        R"(","level":"info","part":"control","text":")" + text +
                        "\"}\n";
  }
  Over(900);
  REQUIRE(Ask().timeline.size() == 3);
  CHECK(m_answer.timeline[1].Text("text") == "core-2 leads in term 3.");
}

/// The kept logs of examples/logs.
struct KeptLogsFixture {
  Answer Ask(const std::string& id, const std::vector<std::string>& files) {
    std::list<std::ifstream> streams;
    std::vector<Source> sources;
    for (const std::string& file : files) {
      streams.emplace_back(std::string(LAURELHALL_LOGS) + "/" + file + ".log");
      REQUIRE(streams.back().good());
      sources.push_back({file.substr(file.find('/') + 1), &streams.back()});
    }
    return Trace({id, {}, {}}, sources);
  }
};

TEST_CASE_FIXTURE(KeptLogsFixture, "Kept logs, each kind, has its cause") {
  CHECK(Ask("64f5b8e3df273d06",
            {"late/core-sala-cerro-1", "late/core-sala-prado-1",
             "late/edge-sala-cordon-3"})
            .cause.rule == "hosts-moved-late");
  CHECK(Ask("ae15bd25144b6367",
            {"failed/core-sala-cerro-1", "failed/core-sala-prado-1",
             "failed/edge-sala-cordon-4"})
            .cause.rule == "by-its-workers");
  CHECK(Ask("48217ad82c41f676",
            {"refused/core-sala-pocitos-2", "refused/core-sala-prado-2",
             "refused/edge-sala-cordon-2", "refused/edge-sala-cordon-5"})
            .cause.rule == "no-leader");
  CHECK(Ask("a96259304e81016b",
            {"waited/core-sala-cerro-1", "waited/edge-sala-cerro-1"})
            .cause.rule == "no-room");
}

}  // namespace
}  // namespace laurelhall::trace
