#include <doctest/doctest.h>

#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <string>
#include <vector>

#include "session_p.h"

namespace laurelhall::cli {
namespace {

/// The program against a server that answers what the test says.
struct CliFixture {
  CliFixture() {
    m_environment.fetch = [this](const std::string& address,
                                 const net::HttpRequest& request, Millis) {
      m_address = address;
      m_requests.push_back(request);
      if (m_answers.empty()) {
        throw std::runtime_error("no route");
      }
      const net::HttpResponse answer = m_answers.front();
      if (m_answers.size() > 1) {
        m_answers.erase(m_answers.begin());
      }
      return answer;
    };
    m_environment.sleep = [this](Millis time) { m_slept += time; };
  }

  void Answer(int status, const std::string& body) {
    net::HttpResponse response;
    response.status = status;
    response.body = body;
    m_answers.push_back(response);
  }

  ExitCode Run(std::vector<std::string> arguments) {
    m_requests.clear();
    m_out.str("");
    m_err.str("");
    return RunCommandLine(arguments, m_environment);
  }

  boost::json::value Body() const {
    return boost::json::parse(m_requests.back().body);
  }

  std::vector<net::HttpResponse> m_answers;
  std::vector<net::HttpRequest> m_requests;
  std::string m_address;
  std::ostringstream m_out;
  std::ostringstream m_err;
  Millis m_slept{0};
  Environment m_environment{nullptr, nullptr, m_out, m_err, false, {}};
};

TEST_CASE_FIXTURE(CliFixture, "Cli, settings set, sends typed changes") {
  Answer(200, R"({"is_accepted":true,"version":42})");
  CHECK(Run({"settings", "set", "a.b=[1,2]", "c=\"2m\"", "--expect", "41",
             "--operator", "ayse", "--request-id", "r1", "--server",
             "10.0.0.1:7"}) == ExitCode::kDone);
  CHECK(m_address == "10.0.0.1:7");
  CHECK(m_requests.back().method == "POST");
  CHECK(m_requests.back().target == "/v1/settings");
  CHECK(Body() == boost::json::parse(
                      R"({"expected_version":41,"operator":"ayse",
            "request_id":"r1","changes":{"a.b":[1,2],"c":"2m"}})"));
  CHECK(m_out.str() == "is_accepted  true\nversion      42\n");
}

TEST_CASE_FIXTURE(CliFixture, "Cli, settings load, takes what get printed") {
  Answer(200, R"({"version":7,"tree":{"pools":{"annex":{"target_hosts":3}}}})");
  REQUIRE(Run({"settings", "get", "--output", "json"}) == ExitCode::kDone);
  const std::string file =
      (std::filesystem::temp_directory_path() / "cli_test_tree.json").string();
  std::ofstream(file) << m_out.str();
  CHECK(Run({"settings", "load", file}) == ExitCode::kDone);
  std::filesystem::remove(file);
  CHECK(Body().at("changes") ==
        boost::json::parse(R"({"pools.annex":{"target_hosts":3}})"));
}

TEST_CASE_FIXTURE(CliFixture, "Cli, two values not JSON, names both") {
  CHECK(Run({"settings", "set", "a=x", "b=y"}) == ExitCode::kUsage);
  CHECK(m_requests.empty());
  CHECK(m_err.str().find("a=x: expected PATH=JSON") != std::string::npos);
  CHECK(m_err.str().find("b=y: expected PATH=JSON") != std::string::npos);
}

TEST_CASE_FIXTURE(CliFixture, "Cli, each verb's example, is a right call") {
  const std::filesystem::path job =
      std::filesystem::temp_directory_path() / "night.json";
  std::ofstream(job) << R"({"id":"night"})";
  Answer(200, R"({"state":"kDone","settings_version":99,"daemons":[]})");
  for (const Verb& verb : Verbs()) {
    CAPTURE(std::string(verb.name));
    std::vector<std::string> arguments;
    std::istringstream words(verb.example);
    for (std::string word; words >> word && word != ">";) {
      std::erase(word, '\'');
      arguments.push_back(word == "night.json" ? job.string() : word);
    }
    if (arguments.back() == "burn.html") {
      arguments.back() = job.string();
    }
    CHECK(FindVerb(arguments) == &verb);
    CHECK(Run(arguments) == ExitCode::kDone);
    CHECK(m_err.str() == "");
    CHECK(Run({arguments.at(0), arguments.size() > 1 ? arguments[1] : "",
               "--help"}) == ExitCode::kDone);
    CHECK(m_out.str().find(verb.example) != std::string::npos);
    CHECK(m_out.str().find("Exit codes: ") != std::string::npos);
  }
  std::filesystem::remove(job);
}

TEST_CASE_FIXTURE(CliFixture, "Cli, answers of each kind, end with its code") {
  struct Row {
    int status;
    ExitCode code;
  };
  for (const Row row :
       {Row{200, ExitCode::kDone}, Row{400, ExitCode::kUsage},
        Row{401, ExitCode::kRefused}, Row{409, ExitCode::kRefused},
        Row{503, ExitCode::kNoAnswer}, Row{504, ExitCode::kNoAnswer}}) {
    CAPTURE(row.status);
    m_answers.clear();
    Answer(row.status, R"({"detail":"epoch is 9"})");
    CHECK(Run({"host", "drain", "w-1", "--request-id", "r7"}) == row.code);
    CHECK((m_err.str().find("epoch is 9") != std::string::npos) ==
          (row.code != ExitCode::kDone));
    CHECK((m_err.str().find("--request-id r7") != std::string::npos) ==
          (row.code == ExitCode::kNoAnswer));
  }
  m_answers.clear();
  CHECK(Run({"status"}) == ExitCode::kNoAnswer);
}

TEST_CASE_FIXTURE(CliFixture, "Cli, replay of traces, ends with its code") {
  const std::string file =
      (std::filesystem::temp_directory_path() / "cli_test.jsonl").string();
  const auto run = [&](const std::string& text) {
    std::ofstream(file) << text;
    return Run({"replay", file});
  };
  CHECK(run("{\"at\":0,\"event\":\"place\"}\n"
            "{\"at\":0,\"expect\":\"actions\",\"count\":0}\n") ==
        ExitCode::kDone);
  CHECK(run("{\"at\":0,\"event\":\"place\"}\n"
            "{\"at\":0,\"expect\":\"actions\",\"count\":2}\n") ==
        ExitCode::kRefused);
  CHECK(m_out.str().starts_with(file + ":2: expected 2 actions"));
  CHECK(run("no trace\n") == ExitCode::kUsage);
  std::filesystem::remove(file);
  CHECK(Run({"replay", file}) == ExitCode::kUsage);
  CHECK(m_requests.empty());
}

TEST_CASE_FIXTURE(CliFixture, "Cli, wrong usage, sends nothing") {
  Answer(200, "{}");
  const std::vector<std::vector<std::string>> lines = {
      {"nonsense"},
      {"host", "drain"},
      {"host", "drain", "a", "b"},
      {"host", "move", "w-1"},
      {"host", "drain", "w-1", "--to", "annex"},
      {"host", "drain", "w-1", "--expect", "soon"},
      {"host", "list", "--dry-run"},
      {"status", "--output", "xml"},
      {"status", "--timeout", "soon"},
      {"status", "--unknown"},
      {"job", "submit", "/nowhere.json"},
      {"status", "--token-file", "/nowhere"}};
  for (const std::vector<std::string>& line : lines) {
    CAPTURE(line.back());
    CHECK(Run(line) == ExitCode::kUsage);
    CHECK(m_requests.empty());
    CHECK(m_err.str() != "");
  }
}

TEST_CASE_FIXTURE(CliFixture, "Cli, list of hosts, prints chosen columns") {
  Answer(200, R"([{"id":"w-1","pool":"annex","state":"kInPool","epoch":3,
                   "capacity":{"processors":32}},
                  {"id":"w-22","pool":"annex","state":"kDraining","epoch":12,
                   "rack":"r1"}])");
  CHECK(Run({"host", "list", "--pool", "an nex&x"}) == ExitCode::kDone);
  CHECK(m_requests.back().target == "/v1/hosts?pool=an%20nex%26x");
  CHECK(m_out.str() ==
        "id    pool   availability_zone  rack  state     drain_reason  act  "
        "version  epoch\n"
        "w-1   annex  -                  -     in-pool   -             -    "
        "-        3\n"
        "w-22  annex  -                  r1    draining  -             -    "
        "-        12\n");
  CHECK(m_out.str().find('\033') == std::string::npos);
  m_environment.is_terminal = true;
  CHECK(Run({"host", "list"}) == ExitCode::kDone);
  CHECK(m_out.str().find('\033') != std::string::npos);
  CHECK(Run({"host", "list", "--output", "json"}) == ExitCode::kDone);
  CHECK(m_out.str().find('\033') == std::string::npos);
  CHECK(boost::json::parse(m_out.str()).as_array().size() == 2);
}

TEST_CASE_FIXTURE(CliFixture, "Cli, settings wait, names who lags") {
  Answer(200, R"({"settings_version":8,"daemons":[
      {"name":"entry-1","settings_version":8},
      {"name":"entry-2","settings_version":7}]})");
  CHECK(Run({"settings", "wait", "8", "--for", "2s"}) == ExitCode::kRefused);
  CHECK(m_err.str() ==
        "laurelhall: refused: version 8 is not in force at: entry-2\n");
  CHECK(m_slept == Millis(2500));
  CHECK(Run({"settings", "wait", "7"}) == ExitCode::kDone);
}

TEST_CASE_FIXTURE(CliFixture, "Cli, wave watch, follows it to its end") {
  Answer(200, R"({"id":"may","state":"kRunning"})");
  Answer(200, R"({"id":"may","state":"kRunning"})");
  Answer(200, R"({"id":"may","state":"kHalted","reason":"budget"})");
  CHECK(Run({"wave", "watch", "may"}) == ExitCode::kRefused);
  CHECK(m_requests.size() == 3);
  CHECK(m_err.str() == "laurelhall: refused: ended: budget\n");
}

TEST_CASE_FIXTURE(CliFixture, "Cli, host drain forced, says so in the body") {
  Answer(200, R"({"is_accepted":true})");
  CHECK(Run({"host", "drain", "w-1", "--force"}) == ExitCode::kDone);
  CHECK(Body().at("force") == true);
  CHECK(Run({"host", "fail", "w-1", "--force"}) == ExitCode::kUsage);
}

TEST_CASE_FIXTURE(CliFixture, "Cli, explanation of many lines, shows each") {
  Answer(200, R"(["a","b","c","d","e","f"])");
  CHECK(Run({"explain", "host", "w-1"}) == ExitCode::kDone);
  CHECK(m_out.str() == "a\nb\nc\nd\ne\nf\n");
}

// Failed first: a question right after a leader's death ended with its first
// 503, though a new leader answered a moment later.
TEST_CASE_FIXTURE(CliFixture,
                  "Cli, no leader for a moment, question is asked again") {
  Answer(503, R"({"error":"no leader is known; try again"})");
  Answer(503, R"({"error":"no leader is known; try again"})");
  Answer(200, R"({"hosts":[]})");
  CHECK(Run({"host", "list"}) == ExitCode::kDone);
  CHECK(m_requests.size() == 3);
  CHECK(m_slept == Millis(500));
}

TEST_CASE_FIXTURE(CliFixture, "Cli, no leader for long, question is given up") {
  Answer(503, R"({"error":"no leader is known; try again"})");
  CHECK(Run({"host", "list"}) == ExitCode::kNoAnswer);
  CHECK(m_slept == Millis(3'000));
}

TEST_CASE_FIXTURE(CliFixture, "Cli, no leader, change is not sent again") {
  Answer(503, R"({"error":"no leader is known; try again"})");
  CHECK(Run({"host", "drain", "w-1", "--request-id", "r7"}) ==
        ExitCode::kNoAnswer);
  CHECK(m_requests.size() == 1);
}

/// A log of one job in a file, as the verb reads it.
struct TraceVerbFixture : CliFixture {
  TraceVerbFixture() {
    std::ofstream(m_file)
        << R"({"time":"2026-03-01T12:00:00.000Z","part":"dispatch",)"
        << R"("event":"accept","job":"j1","service":"s"})" << '\n'
        << R"({"time":"2026-03-01T12:00:01.000Z","part":"dispatch",)"
        << R"("event":"job-over","job":"j1","state":"succeeded",)"
        << R"("within_ms":1000})" << '\n';
  }
  ~TraceVerbFixture() { std::filesystem::remove(m_file); }

  std::string m_file = (std::filesystem::temp_directory_path() /
                        ("core-" + std::to_string(::getpid()) + ".log"))
                           .string();
};

TEST_CASE_FIXTURE(TraceVerbFixture, "Cli, trace, shows timeline and cause") {
  CHECK(Run({"trace", "j1", m_file}) == ExitCode::kDone);
  CHECK(m_requests.empty());
  CHECK(m_out.str().find("job=j1 service=s") != std::string::npos);
  CHECK(m_out.str().find("cause       done, in-time") != std::string::npos);
  CHECK(m_out.str().find("succeeded within 1000 ms") != std::string::npos);
}

TEST_CASE_FIXTURE(TraceVerbFixture, "Cli, trace as JSON, has all lines") {
  CHECK(Run({"trace", "j1", m_file, "--output", "json"}) == ExitCode::kDone);
  const auto answer = boost::json::parse(m_out.str());
  CHECK(answer.at("subject") == "job");
  CHECK(answer.at("rule") == "in-time");
  CHECK(answer.at("deciding_line") == 1);
  CHECK(answer.at("timeline").as_array().size() == 2);
}

TEST_CASE_FIXTURE(TraceVerbFixture, "Cli, trace of no such id, ends with 1") {
  CHECK(Run({"trace", "j2", m_file}) == ExitCode::kRefused);
  CHECK(m_err.str().find("j2: no line tells of it") != std::string::npos);
}

TEST_CASE_FIXTURE(TraceVerbFixture, "Cli, trace misused, ends with 2") {
  CHECK(Run({"trace", "j1"}) == ExitCode::kUsage);
  CHECK(Run({"trace", "", m_file}) == ExitCode::kUsage);
  CHECK(Run({"trace", "j1", "/no/such/file"}) == ExitCode::kUsage);
  CHECK(Run({"trace", "j1", m_file, "--from", "noon"}) == ExitCode::kUsage);
}

TEST_CASE_FIXTURE(TraceVerbFixture, "Cli, trace from and to, bound it") {
  CHECK(Run({"trace", "j1", m_file, "--to", "2026-03-01T12:00:00.5Z"}) ==
        ExitCode::kDone);
  CHECK(m_out.str().find("waiting, at-work") != std::string::npos);
  CHECK(Run({"trace", "j1", m_file, "--from", "2026-03-01T12:00:02Z"}) ==
        ExitCode::kRefused);
}

TEST_CASE_FIXTURE(TraceVerbFixture, "Cli, trace of standard input, reads it") {
  std::ifstream input(m_file);
  m_environment.in = &input;
  CHECK(Run({"trace", "j1", "-"}) == ExitCode::kDone);
  CHECK(m_out.str().find("done, in-time") != std::string::npos);
}

TEST_CASE_FIXTURE(TraceVerbFixture, "Cli, trace of lines alike, folds them") {
  std::ofstream file(m_file, std::ios::app);
  for (int each = 0; each < 9; ++each) {
    file << R"({"time":"2026-03-01T12:00:00.50)" << each
         << R"(Z","part":"dispatch","event":"load","runs":)" << each << "}\n";
  }
  file.close();
  CHECK(Run({"trace", "j1", m_file}) == ExitCode::kDone);
  CHECK(m_out.str().find("... and 6 more") != std::string::npos);
  CHECK(m_out.str().find("runs=2") != std::string::npos);
  CHECK(m_out.str().find("runs=3") == std::string::npos);
}

}  // namespace
}  // namespace laurelhall::cli
