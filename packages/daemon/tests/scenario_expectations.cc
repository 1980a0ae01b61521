#include <algorithm>
#include <fstream>
#include <iterator>
#include <limits>
#include <sstream>
#include <stdexcept>

#include "scenario.h"

namespace laurelhall::scenario {
namespace {

constexpr Millis kPatientDeadline = std::chrono::seconds(60);

int CountOf(const std::vector<AnswerLine>& answers, const std::string& kind) {
  return static_cast<int>(
      std::count_if(answers.begin(), answers.end(),
                    [&](const AnswerLine& line) { return line.kind == kind; }));
}

// The words are put together after the last look.
template <typename Predicate, typename Words>
void RequirePolled(Predicate predicate, Words words) {
  if (!Poll(predicate)) {
    throw std::runtime_error(words());
  }
}

std::string Differs(int64_t is, int64_t expected) {
  return "it is " + std::to_string(is) + ", not " + std::to_string(expected);
}

std::string TypeOf(const net::HttpResponse& response) {
  boost::json::error_code error;
  const boost::json::value body = boost::json::parse(response.body, error);
  return !error && body.is_object() && body.as_object().contains("type")
             ? std::string(body.at("type").as_string())
             : "status-" + std::to_string(response.status);
}

}  // namespace

const Scenario::Row Scenario::kExpectations[] = {
    {"leader", &Scenario::ExpectLeader},
    {"metric", &Scenario::ExpectMetric},
    {"runs-per-key", &Scenario::ExpectRunsPerKey},
    {"max-concurrent", &Scenario::ExpectMaxConcurrent},
    {"wrong", &Scenario::ExpectWrong},
    {"ok", &Scenario::ExpectOk},
    {"kinds", &Scenario::ExpectKinds},
    {"no-run-for", &Scenario::ExpectNoRunFor},
    {"settings-version", &Scenario::ExpectSettingsVersion},
    {"no-reversion", &Scenario::ExpectNoReversion},
    {"changes-kept", &Scenario::ExpectChangesKept},
    {"answer", &Scenario::ExpectAnswer},
    {"host", &Scenario::ExpectHost},
    {"idle", &Scenario::ExpectIdle},
    {"no-start", &Scenario::ExpectNoStart},
    {"no-late-start", &Scenario::ExpectNoLateStart},
    {"exit", &Scenario::ExpectExit},
    {"caught-up", &Scenario::ExpectCaughtUp},
    {"voter", &Scenario::ExpectVoter},
    {"new-identity", &Scenario::ExpectNewIdentity},
    {"store", &Scenario::ExpectStore},
    {"start-waits", &Scenario::ExpectStartWaits},
};

void Scenario::Expect(Arguments& arguments) {
  Dispatch(std::begin(kExpectations), std::end(kExpectations), arguments);
}

void Scenario::ExpectLeader(Arguments& arguments) {
  const bool is_another = arguments.Flag("not") && arguments.Flag("last");
  RequirePolled(
      [&] {
        const std::string leader = cluster().Leader();
        return !leader.empty() && (!is_another || leader != m_last_host);
      },
      [&] { return std::string("nobody leads"); });
}

void Scenario::ExpectMetric(Arguments& arguments) {
  const std::string name = arguments.Next("a metric");
  const std::string relation = arguments.Next("is, at-least or each-at-least");
  const int64_t expected = arguments.NextNumber("a value");
  double value = 0;
  RequirePolled(
      [&] {
        value = relation == "each-at-least" ? LeastOfMetric(name)
                                            : SumOfMetric(name);
        return relation == "is" ? value == static_cast<double>(expected)
                                : value >= static_cast<double>(expected);
      },
      [&] {
        return std::string(Differs(static_cast<int64_t>(value), expected));
      });
}

double Scenario::MetricAt(const std::string& host, const std::string& name) {
  double sum = 0;
  std::istringstream page(cluster().Metrics(host));
  for (std::string line; std::getline(page, line);) {
    const bool is_named = line.starts_with(name) && (line[name.size()] == '{' ||
                                                     line[name.size()] == ' ');
    sum += is_named ? std::stod(line.substr(line.rfind(' '))) : 0;
  }
  return sum;
}

double Scenario::SumOfMetric(const std::string& name) {
  double sum = 0;
  for (const std::string& host : cluster().names()) {
    sum += MetricAt(host, name);
  }
  return sum;
}

double Scenario::LeastOfMetric(const std::string& name) {
  double least = std::numeric_limits<double>::max();
  for (const std::string& host : cluster().names()) {
    least = std::min(least, MetricAt(host, name));
  }
  return least;
}

void Scenario::ExpectRunsPerKey(Arguments& arguments) {
  const int64_t expected = arguments.NextNumber("how many");
  const std::map<std::string, int> runs = RunsByKey(AllRuns());
  Require(!runs.empty(), "no key has run");
  for (const auto& [key, count] : runs) {
    Require(count <= expected,
            key + " ran " + std::to_string(count) + " times");
  }
  for (const AnswerLine& line : Answers("")) {
    Require(line.kind != "ok" || line.key == "-" || runs.contains(line.key),
            line.key + " was answered without a run");
  }
}

void Scenario::ExpectMaxConcurrent(Arguments& arguments) {
  const int64_t expected = arguments.NextNumber("how many");
  for (const auto& [id, file] : m_journals) {
    const int most = MostConcurrent(ReadJournal(file));
    Require(most <= expected, id + " had " + std::to_string(most));
  }
}

void Scenario::ExpectWrong(Arguments& arguments) {
  const int64_t expected = arguments.NextNumber("how many");
  const int wrong = CountOf(Answers(""), "wrong");
  Require(wrong == expected, Differs(wrong, expected));
}

void Scenario::ExpectOk(Arguments& arguments) {
  const std::string load = arguments.Option("of", "");
  Require(arguments.Next("at-least") == "at-least", "expected at-least");
  const int64_t least = arguments.NextNumber("how many");
  const int count = CountOf(Answers(load), "ok");
  Require(count >= least, Differs(count, least));
}

void Scenario::ExpectKinds(Arguments& arguments) {
  const std::string load = arguments.Option("of", "");
  const std::string allowed = "," + arguments.Next("kinds") + ",";
  const std::vector<AnswerLine> answers = Answers(load);
  Require(!answers.empty(), "no answers");
  for (const AnswerLine& line : answers) {
    Require(allowed.find("," + line.kind + ",") != std::string::npos,
            line.key + " got " + line.kind + ", as " +
                std::to_string(CountOf(answers, line.kind)) + " of " +
                std::to_string(answers.size()) + " answers");
  }
}

void Scenario::ExpectNoRunFor(Arguments& arguments) {
  Require(arguments.Next("not-run") == "not-run", "expected not-run");
  const auto false_ones = FalselyNotRun(Answers(""), AllRuns());
  Require(false_ones.empty(),
          std::to_string(false_ones.size()) +
              " ran although told not run, the first: " +
              (false_ones.empty() ? "" : *false_ones.begin()));
}

void Scenario::ExpectSettingsVersion(Arguments& arguments) {
  const std::string word = arguments.Next("a version");
  Require(arguments.Flag("everywhere"), "expected everywhere");
  const uint64_t expected =
      word == "acknowledged" ? m_operator->acknowledged() : std::stoull(word);
  std::string laggard;
  RequirePolled(
      [&] {
        laggard.clear();
        for (const std::string& host : cluster().names()) {
          const auto status = cluster().LocalStatus(host);
          const bool is_there =
              status.is_object() && status.at("entry").at("settings_version") ==
                                        boost::json::value(expected);
          laggard += is_there ? "" : host + " ";
        }
        return laggard.empty();
      },
      [&] {
        return std::string("not at " + std::to_string(expected) + ": " +
                           laggard);
      });
}

void Scenario::ExpectNoReversion(Arguments&) {
  Require(m_watch != nullptr && m_watch->looks() > 0, "nobody watched");
  Require(m_watch->reversions().empty(), m_watch->reversions());
}

void Scenario::ExpectChangesKept(Arguments&) {
  const std::string lost = m_operator->FindLost();
  Require(lost.empty(), "lost: " + lost);
}

// The caller would wait for long: an answer at all is one at once.
void Scenario::ExpectAnswer(Arguments& arguments) {
  net::HttpRequest request;
  request.method = "POST";
  request.target = "/v1/services/" +
                   arguments.Option("service", "estimates-a") +
                   "/requests/probe";
  request.headers.Set("Laurelhall-Organisation", "insurer-a");
  request.headers.Set("Laurelhall-Deadline",
                      std::to_string(kPatientDeadline.count()));
  const bool is_keyed = arguments.Flag("keyed");
  const bool has_retry = arguments.Flag("retry-after");
  const std::string host = arguments.Next("a daemon");
  const std::string type = arguments.Next("a type of answer");
  net::HttpResponse response;
  RequirePolled(
      [&] {
        if (is_keyed) {
          request.headers.Set("Idempotency-Key", NewRequestId());
        }
        response = net::Fetch(cluster().caller_address(host), request, kCap);
        return TypeOf(response) == type;
      },
      [&] { return std::string("the answer is " + TypeOf(response)); });
  Require(!has_retry || !response.headers.Get("Retry-After").empty(),
          "no Retry-After");
}

void Scenario::ExpectHost(Arguments& arguments) {
  const std::string host = arguments.Next("a host");
  Require(arguments.Next("state") == "state", "expected state");
  const std::string expected = arguments.Next("a state");
  std::string state;
  RequirePolled(
      [&] {
        const Reply reply = cluster().Operate("GET", "/v1/hosts/" + host);
        state = reply.status == 200
                    ? std::string(reply.body.at("state").as_string())
                    : "";
        return state == expected;
      },
      [&] { return std::string("its state is " + state); });
}

void Scenario::ExpectIdle(Arguments& arguments) {
  const std::string id = arguments.Next("an endpoint");
  const std::vector<JournalLine> lines = RunsAt(id);
  m_lines_when_idle[id] = lines.size();
  Require(!lines.empty(), "it never ran anything");
  Require(lines.back().running == 0,
          std::to_string(lines.back().running) + " runs under way");
}

void Scenario::ExpectNoStart(Arguments& arguments) {
  const std::string id = arguments.Next("an endpoint");
  const size_t lines = RunsAt(id).size();
  Require(lines == m_lines_when_idle.at(id), "it ran again since it was idle");
}

void Scenario::ExpectNoLateStart(Arguments& arguments) {
  const int late = StartsAfterLeaving(RunsAt(arguments.Next("an endpoint")));
  Require(late == 0, std::to_string(late) + " started too late");
}

void Scenario::ExpectExit(Arguments& arguments) {
  std::string name = arguments.Next("a daemon or endpoint");
  name = name == "last" ? m_last_host : name;
  const int64_t expected = arguments.NextNumber("an exit code");
  const auto endpoint = m_endpoints.find(name);
  const auto code = endpoint != m_endpoints.end()
                        ? endpoint->second->WaitExit(kCap)
                        : cluster().WaitExit(name);
  Require(code.has_value(), "it still runs");
  Require(*code == expected, Differs(*code, expected));
}

// Each control host but the leader holds all that was committed by now.
void Scenario::ExpectCaughtUp(Arguments& arguments) {
  const int64_t count = arguments.NextNumber("how many control hosts");
  boost::json::value seen;
  uint64_t least = 0;
  Require(
      Poll([&] {
        const Reply reply = cluster().Operate("GET", "/v1/status");
        if (reply.status != 200) {
          return false;
        }
        seen = reply.body;
        least = least != 0 ? least : seen.at("commit").to_number<uint64_t>();
        const auto& members = seen.at("members").as_array();
        return std::count_if(
                   members.begin(), members.end(),
                   [&](const boost::json::value& member) {
                     return member.at("leader").as_bool() ||
                            member.at("match").to_number<uint64_t>() >= least;
                   }) == count;
      }),
      "not all are: " + boost::json::serialize(seen));
}

void Scenario::ExpectVoter(Arguments& arguments) {
  const std::string host = NextHost(arguments);
  boost::json::value seen;
  RequirePolled(
      [&] {
        const std::string id = ControlId(host);
        const Reply reply = cluster().Operate("GET", "/v1/status");
        seen = reply.body;
        if (reply.status != 200 || id.empty()) {
          return false;
        }
        const auto& members = reply.body.at("members").as_array();
        return std::any_of(members.begin(), members.end(),
                           [&](const auto& member) {
                             return member.at("id") == boost::json::value(id) &&
                                    member.at("voter").as_bool();
                           });
      },
      [&] {
        return std::string("it doesn't vote: " + boost::json::serialize(seen));
      });
}

void Scenario::ExpectNewIdentity(Arguments& arguments) {
  const std::string host = arguments.Next("a daemon");
  std::string id;
  RequirePolled([&] { return !(id = ControlId(host)).empty(); },
                [&] { return std::string("it says no identity"); });
  Require(id != m_lost_ids.at(host), "it came back as " + id);
}

void Scenario::ExpectStore(Arguments& arguments) {
  const std::string host = NextHost(arguments);
  const std::string state = arguments.Next("failed or open");
  boost::json::value seen;
  RequirePolled(
      [&] {
        seen = cluster().LocalStatus(host);
        return seen.is_object() && seen.as_object().contains("control") &&
               seen.at("control").at("store_failed").as_bool() ==
                   (state == "failed");
      },
      [&] {
        return std::string("its status is " + boost::json::serialize(seen));
      });
}

// Read from its log, as its ports are not open yet.
void Scenario::ExpectStartWaits(Arguments& arguments) {
  const std::string host = NextHost(arguments);
  RequirePolled(
      [&] {
        std::ifstream file(m_folder / (host + ".log"));
        const std::string log(std::istreambuf_iterator<char>(file), {});
        return log.find("The store cannot be opened") != log.npos;
      },
      [&] { return std::string("its start doesn't wait"); });
}

std::string Scenario::ControlId(const std::string& host) {
  const boost::json::value status = cluster().LocalStatus(host);
  return status.is_object() && status.as_object().contains("control")
             ? std::string(status.at("control").at("id").as_string())
             : "";
}

}  // namespace laurelhall::scenario
