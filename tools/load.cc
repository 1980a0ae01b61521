// Sends requests at a steady rate to entry hosts and checks every answer.
// Latency counts from when a request should have been sent, so that a stall
// shows in all the requests that it held up.

#include <algorithm>
#include <atomic>
#include <boost/json.hpp>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <map>
#include <mutex>
#include <random>
#include <sstream>
#include <thread>

#include "laurelhall/net/http.h"
#include "laurelhall/net/io_threads.h"
#include "tool_p.h"

namespace laurelhall {
namespace {

namespace json = boost::json;

constexpr Millis kConnectTimeout{2'000};
constexpr Millis kSettle{5'000};
constexpr int64_t kMaxAnswerBytes = 64 << 20;
constexpr int kMaxRequests = 200'000;  // Load stays bounded in count.

struct LoadInit {
  std::vector<std::string> targets;
  std::string service;
  std::vector<std::string> organisations;
  std::string priority = "standard";
  double rate = 100;
  int count = 100;
  double keyed_share = 0;
  double resend_share = 0;  ///< Of keyed ones, sent again to another target.
  std::string key_prefix = "load";
  Millis deadline{5'000};
  size_t body_bytes = 100;
  uint64_t seed = 1;
  bool is_direct = false;  ///< Straight to an endpoint, for comparison.
  bool is_verbose = false;
  bool is_strict = false;
  Millis resend_delay{0};
  std::string answers_file;  ///< Empty: none is written.
};

/// One request to send: what, where and when.
struct Shot {
  std::string target;
  std::string organisation;
  std::string key;
  std::string body;
  SteadyTime due{};
};

/// Counts of what came back. Thread-safe.
class Tally {
 public:
  void Add(const std::string& kind,
           const std::string& organisation,
           Millis latency) {
    const std::lock_guard lock(m_mutex);
    ++m_kinds[kind];
    ++m_done;
    if (kind == "ok") {
      ++m_ok_by_organisation[organisation];
      m_latencies.push_back(latency.count());
    }
  }

  int done() const {
    const std::lock_guard lock(m_mutex);
    return m_done;
  }

  json::object Report() {
    const std::lock_guard lock(m_mutex);
    std::sort(m_latencies.begin(), m_latencies.end());
    json::object report;
    report["kinds"] = json::value_from(m_kinds);
    report["ok_by_organisation"] = json::value_from(m_ok_by_organisation);
    for (const double share : {0.5, 0.9, 0.99, 1.0}) {
      std::ostringstream name;
      name << "p" << share * 100 << "_ms";
      report[name.str()] = Quantile(share);
    }
    return report;
  }

 private:
  int64_t Quantile(double share) const {
    if (m_latencies.empty()) {
      return 0;
    }
    const auto last = static_cast<double>(m_latencies.size() - 1);
    return m_latencies[static_cast<size_t>(share * last)];
  }

  mutable std::mutex m_mutex;  // Guards all below.
  std::map<std::string, int> m_kinds;
  std::map<std::string, int> m_ok_by_organisation;
  std::vector<int64_t> m_latencies;
  int m_done = 0;
};

/// One line an answer: key, digest of the body, kind, target. Thread-safe.
class AnswerFile {
 public:
  explicit AnswerFile(const std::string& file) {
    if (!file.empty()) {
      m_file.open(file, std::ios::app);
    }
  }

  void Write(const Shot& shot, const std::string& kind) {
    const std::lock_guard lock(m_mutex);
    if (m_file.is_open()) {
      m_file << (shot.key.empty() ? "-" : shot.key) << ' '
             << tools::DigestOf(shot.body) << ' ' << kind << ' ' << shot.target
             << std::endl;
    }
  }

 private:
  std::mutex m_mutex;  // Guards m_file.
  std::ofstream m_file;
};

/// Open connections by target, used again when they may be. Thread-safe.
class Connections {
 public:
  explicit Connections(net::IoThreads& threads) : m_threads(threads) {}

  std::shared_ptr<net::HttpConnection> Take(const std::string& target) {
    const std::lock_guard lock(m_mutex);
    auto& idle = m_idle[target];
    while (!idle.empty()) {
      auto connection = idle.back();
      idle.pop_back();
      if (connection->is_reusable()) {
        return connection;
      }
    }
    return nullptr;
  }

  std::shared_ptr<net::HttpConnection> Make(const std::string& target) {
    return net::HttpConnection::Make(m_threads, target);
  }

  void Give(const std::string& target,
            std::shared_ptr<net::HttpConnection> connection) {
    if (connection->is_reusable()) {
      const std::lock_guard lock(m_mutex);
      m_idle[target].push_back(std::move(connection));
    }
  }

 private:
  net::IoThreads& m_threads;
  std::mutex m_mutex;  // Guards m_idle.
  std::map<std::string, std::vector<std::shared_ptr<net::HttpConnection>>>
      m_idle;
};

/// What an answer amounts to: "ok", "wrong", a problem's type or a failure.
std::string KindOf(const Shot& shot, const net::HttpResult& result) {
  if (result.failure != net::HttpFailure::kNone) {
    return result.may_have_sent ? "no-answer" : "no-connection";
  }
  const net::HttpResponse& response = result.response;
  if (response.status == 200) {
    const bool is_own =
        response.body.find(tools::DigestOf(shot.body)) != std::string::npos;
    return is_own ? "ok" : "wrong";
  }
  json::error_code error;
  const json::value problem = json::parse(response.body, error);
  if (!error && problem.is_object() && problem.as_object().contains("type")) {
    return std::string(problem.at("type").as_string());
  }
  return "status-" + std::to_string(response.status);
}

class Load {
 public:
  Load(const LoadInit& init, net::IoThreads& threads)
      : m_init(init),
        m_threads(threads),
        m_connections(threads),
        m_answers(init.answers_file) {}

  json::object Run() {
    const std::vector<Shot> shots = Plan(m_threads.timers().Now());
    for (const Shot& shot : shots) {
      std::this_thread::sleep_until(shot.due);
      Send(shot);
    }
    const SteadyTime last =
        m_threads.timers().Now() + m_init.deadline + kSettle;
    while (m_tally.done() < static_cast<int>(shots.size()) &&
           m_threads.timers().Now() < last) {
      std::this_thread::sleep_for(Millis(5));
    }
    json::object report = m_tally.Report();
    report["sent"] = shots.size();
    return report;
  }

 private:
  std::vector<Shot> Plan(SteadyTime start) const {
    std::mt19937_64 random(m_init.seed);
    std::uniform_real_distribution<double> share(0, 1);
    std::vector<Shot> shots;
    for (int i = 0; i < m_init.count; ++i) {
      Shot shot;
      shot.target = m_init.targets[random() % m_init.targets.size()];
      shot.organisation = m_init.organisations[i % m_init.organisations.size()];
      shot.body =
          "request " + std::to_string(i) + " of " + m_init.key_prefix + " ";
      shot.body.resize(std::max(m_init.body_bytes, shot.body.size()), 'x');
      shot.due = start + std::chrono::microseconds(
                             static_cast<int64_t>(i * 1e6 / m_init.rate));
      if (share(random) < m_init.keyed_share) {
        shot.key = m_init.key_prefix + "-" + std::to_string(i);
      }
      shots.push_back(shot);
      if (!shot.key.empty() && share(random) < m_init.resend_share) {
        shot.target = OtherTarget(shot.target, random);
        shot.due += m_init.resend_delay;
        shots.push_back(shot);
      }
    }
    std::stable_sort(
        shots.begin(), shots.end(),
        [](const Shot& a, const Shot& b) { return a.due < b.due; });
    return shots;
  }

  // A resend goes through another entry host, if there is one.
  const std::string& OtherTarget(const std::string& target,
                                 std::mt19937_64& random) const {
    const size_t count = m_init.targets.size();
    const auto own = static_cast<size_t>(
        std::find(m_init.targets.begin(), m_init.targets.end(), target) -
        m_init.targets.begin());
    const size_t step = count > 1 ? 1 + random() % (count - 1) : 0;
    return m_init.targets[(own + step) % count];
  }

  void Send(const Shot& shot) {
    // A keyed request takes a fresh connection: a byte written to one that
    // the other side just closed would leave its outcome unknown to us.
    auto connection =
        shot.key.empty() ? m_connections.Take(shot.target) : nullptr;
    if (connection != nullptr) {
      SendOn(connection, shot);
      return;
    }
    connection = m_connections.Make(shot.target);
    connection->Connect(kConnectTimeout,
                        [this, connection, shot](bool is_open) {
                          if (is_open) {
                            SendOn(connection, shot);
                          } else {
                            net::HttpResult failed;
                            failed.failure = net::HttpFailure::kConnect;
                            Done(shot, failed);
                          }
                        });
  }

  void SendOn(const std::shared_ptr<net::HttpConnection>& connection,
              const Shot& shot) {
    connection->Send(
        RequestOf(shot), m_init.deadline + kSettle, kMaxAnswerBytes,
        [] { return true; },
        [this, connection, shot](const net::HttpResult& result) {
          m_connections.Give(shot.target, connection);
          Done(shot, result);
        });
  }

  net::HttpRequest RequestOf(const Shot& shot) const {
    net::HttpRequest request;
    request.method = "POST";
    request.target = m_init.is_direct
                         ? "/run"
                         : "/v1/services/" + m_init.service + "/requests/run";
    request.headers.Set("Laurelhall-Organisation", shot.organisation);
    request.headers.Set("Laurelhall-Priority", m_init.priority);
    request.headers.Set("Laurelhall-Deadline",
                        std::to_string(m_init.deadline.count()));
    if (m_init.is_direct) {
      request.headers.Set("X-Request-Id", "direct");
    }
    if (!shot.key.empty()) {
      request.headers.Set("Idempotency-Key", shot.key);
    }
    request.body = shot.body;
    return request;
  }

  void Done(const Shot& shot, const net::HttpResult& result) {
    const auto latency =
        std::chrono::duration_cast<Millis>(m_threads.timers().Now() - shot.due);
    const std::string kind = KindOf(shot, result);
    if (m_init.is_verbose) {
      std::ostringstream line;
      line << shot.target << ' ' << (shot.key.empty() ? "-" : shot.key) << ' '
           << kind << ' ' << latency.count() << "ms " << result.response.body;
      std::cerr << line.str() << (line.str().ends_with('\n') ? "" : "\n");
    }
    m_answers.Write(shot, kind);
    m_tally.Add(kind, shot.organisation, latency);
  }

  const LoadInit& m_init;
  net::IoThreads& m_threads;
  Connections m_connections;
  AnswerFile m_answers;
  Tally m_tally;
};

LoadInit ReadOptions(int argc, char** argv) {
  LoadInit init;
  cxxopts::Options options(
      "load", "Sends requests at a steady rate and checks every answer.");
  options.add_options()("targets", "ip:port of entry hosts, with commas",
                        cxxopts::value<std::string>())(
      "service", "service",
      cxxopts::value<std::string>()->default_value("shared"))(
      "organisations", "names, with commas", cxxopts::value<std::string>())(
      "priority", "urgent, standard or batch",
      cxxopts::value<std::string>()->default_value("standard"))(
      "rate", "requests a second",
      cxxopts::value<double>()->default_value("100"))(
      "count", "requests, resends not counted",
      cxxopts::value<int>()->default_value("100"))(
      "keyed", "share with an idempotency key",
      cxxopts::value<double>()->default_value("0"))(
      "resend", "share of keyed ones sent twice",
      cxxopts::value<double>()->default_value("0"))(
      "key-prefix", "start of each key",
      cxxopts::value<std::string>()->default_value("load"))(
      "deadline", "deadline in ms",
      cxxopts::value<int>()->default_value("5000"))(
      "body-bytes", "least size of a body",
      cxxopts::value<int>()->default_value("100"))(
      "seed", "seed", cxxopts::value<uint64_t>()->default_value("1"))(
      "direct", "straight to endpoints")(
      "resend-delay", "ms between a request and its resend",
      cxxopts::value<int>()->default_value("0"))(
      "answers", "file to append a line per answer to",
      cxxopts::value<std::string>()->default_value(""))(
      "strict", "fail unless all answers are whole")("verbose",
                                                     "a line per answer");
  const auto parsed = options.parse(argc, argv);
  init.targets = tools::SplitCommas(parsed["targets"].as<std::string>());
  init.organisations =
      tools::SplitCommas(parsed["organisations"].as<std::string>());
  init.service = parsed["service"].as<std::string>();
  init.priority = parsed["priority"].as<std::string>();
  init.rate = parsed["rate"].as<double>();
  init.count = std::min(parsed["count"].as<int>(), kMaxRequests);
  init.keyed_share = parsed["keyed"].as<double>();
  init.resend_share = parsed["resend"].as<double>();
  init.key_prefix = parsed["key-prefix"].as<std::string>();
  init.deadline = Millis(parsed["deadline"].as<int>());
  init.body_bytes = parsed["body-bytes"].as<int>();
  init.seed = parsed["seed"].as<uint64_t>();
  init.resend_delay = Millis(parsed["resend-delay"].as<int>());
  init.answers_file = parsed["answers"].as<std::string>();
  init.is_direct = parsed.count("direct") != 0;
  init.is_strict = parsed.count("strict") != 0;
  init.is_verbose = parsed.count("verbose") != 0;
  if (init.targets.empty() || init.organisations.empty() || init.rate <= 0) {
    throw std::invalid_argument("expected targets, organisations and a rate");
  }
  return init;
}

int Main(int argc, char** argv) {
  try {
    const LoadInit init = ReadOptions(argc, argv);
    net::IoThreads threads(2);
    Load load(init, threads);
    const json::object report = load.Run();
    std::cout << json::serialize(report) << std::endl;
    const json::object& kinds = report.at("kinds").as_object();
    const bool is_all_ok = kinds.size() == 1 && kinds.contains("ok");
    return kinds.contains("wrong") || (init.is_strict && !is_all_ok) ? 1 : 0;
  } catch (const std::exception& error) {
    std::cerr << "load: " << error.what() << '\n';
    return 2;
  }
}

}  // namespace
}  // namespace laurelhall

int main(int argc, char** argv) {
  return laurelhall::Main(argc, argv);
}
