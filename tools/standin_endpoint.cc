// A stand-in for a vendor's endpoint: announces itself, answers with a digest
// of the request's body, and keeps a journal of its runs for tests to count.

#include <csignal>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <mutex>
#include <optional>
#include <random>
#include <string>

#include <boost/json.hpp>
#include <cxxopts.hpp>

#include "cutting_proxy_p.h"
#include "laurelhall/base/log.h"
#include "laurelhall/net/http.h"
#include "laurelhall/net/io_threads.h"
#include "tool_p.h"

namespace laurelhall {
namespace {

namespace json = boost::json;

constexpr Millis kRenewPeriod{1'000};
constexpr Millis kAnnounceTimeout{2'000};
constexpr Millis kAnnounceRetry{200};
constexpr const char* kAnyPort = "127.0.0.1:0";

struct StandinInit {
  std::string listen;
  std::vector<std::string> announce_to;
  std::string id;
  std::string service;
  std::string host;
  std::string zone;
  std::string vendor;
  std::string vendor_name;
  std::string ready_word;
  std::string leaving_word;
  Millis delay{0};
  bool is_failing = false;
  std::string journal;
  size_t answer_bytes = 0;
  int slots = 8;
  int threads = 2;
  double cut_share = 0;   ///< Of its connections, cut in an answer.
  double swap_share = 0;  ///< Of its answers, those of another request.
  Millis linger{0};       ///< Goes on listening so long once it may go.
  uint64_t seed = 1;
};

/// One line per start and end of a run: event, request id, idempotency key,
/// digest of the body, runs under way, wall time in ms. One line more when the
/// leaving is accepted, with the ms within which it holds. Thread-safe.
class Journal {
 public:
  explicit Journal(const std::string& file) {
    if (!file.empty()) {
      m_file.open(file, std::ios::app);
    }
  }

  void Start(const net::HttpRequest& request) {
    const std::lock_guard lock(m_mutex);
    ++m_running;
    Write("start", request);
  }

  void End(const net::HttpRequest& request) {
    const std::lock_guard lock(m_mutex);
    --m_running;
    Write("end", request);
  }

  void Leaving(Millis holds_from) {
    const std::lock_guard lock(m_mutex);
    if (m_file.is_open()) {
      m_file << "leaving - - - " << m_running << ' ' << NowMs() << ' '
             << holds_from.count() << std::endl;
    }
  }

  int running() const {
    const std::lock_guard lock(m_mutex);
    return m_running;
  }

 private:
  static int64_t NowMs() { return WallNow().time_since_epoch().count(); }

  void Write(const char* event, const net::HttpRequest& request) {
    const auto or_dash = [](std::string_view text) {
      return text.empty() ? std::string_view("-") : text;
    };
    if (m_file.is_open()) {
      m_file << event << ' ' << or_dash(request.headers.Get("X-Request-Id"))
             << ' ' << or_dash(request.headers.Get("Idempotency-Key")) << ' '
             << tools::DigestOf(request.body) << ' ' << m_running << ' '
             << NowMs() << std::endl;
    }
  }

  mutable std::mutex m_mutex;  // Guards the two below.
  std::ofstream m_file;
  int m_running = 0;
};

/// What an answer says of its request.
struct AnswerMark {
  std::string request_id;
  std::string digest;
};

/// Now and then gives one request's answer to another. Thread-safe.
class AnswerSwapper {
 public:
  AnswerSwapper(double share, uint64_t seed) : m_share(share), m_random(seed) {}

  /// Returns the mark to answer with: the own one, or that of the request
  /// before it.
  AnswerMark Swap(const AnswerMark& own) {
    const std::lock_guard lock(m_mutex);
    std::uniform_real_distribution<double> share(0, 1);
    const bool is_swapped = m_last && share(m_random) < m_share;
    AnswerMark answer = is_swapped ? *m_last : own;
    m_last = own;
    return answer;
  }

 private:
  const double m_share;
  std::mutex m_mutex;  // Guards the two below.
  std::mt19937_64 m_random;
  std::optional<AnswerMark> m_last;
};

/// Runs requests: waits for the delay, then answers.
class StandinHandler : public net::HttpHandler {
 public:
  StandinHandler(const StandinInit& init, net::IoThreads& threads)
      : m_init(init),
        m_threads(threads),
        m_journal(init.journal),
        m_swapper(init.swap_share, init.seed) {}

  int64_t MaxBodyBytes(const net::HttpRequest&) override { return 64 << 20; }

  void OnRequest(std::shared_ptr<net::HttpExchange> exchange) override {
    m_journal.Start(exchange->request());
    if (m_init.delay.count() == 0) {
      Answer(*exchange);
      return;
    }
    // The run goes on when its caller has gone, as a vendor's may.
    m_threads.timers().SubscribeOnce(
        m_init.delay, [this, exchange](SteadyTime) { Answer(*exchange); });
  }

  int running() const { return m_journal.running(); }
  Journal& journal() { return m_journal; }

 private:
  void Answer(net::HttpExchange& exchange) {
    const net::HttpRequest& request = exchange.request();
    net::HttpResponse response;
    response.status = m_init.is_failing ? 500 : 200;
    response.headers.Set("Content-Type", "text/plain");
    const AnswerMark mark =
        m_swapper.Swap({std::string(request.headers.Get("X-Request-Id")),
                        tools::DigestOf(request.body)});
    response.headers.Set("X-Request-Id", mark.request_id);
    response.body = m_init.id + " " + mark.digest + "\n";
    while (response.body.size() < m_init.answer_bytes) {
      response.body += mark.digest;
    }
    m_journal.End(request);
    exchange.Respond(std::move(response));
  }

  const StandinInit& m_init;
  net::IoThreads& m_threads;
  Journal m_journal;
  AnswerSwapper m_swapper;
};

/// Tells one entry host at random, as the balancer would choose.
class Announcer {
 public:
  Announcer(const StandinInit& init, std::string address)
      : m_init(init),
        m_address(std::move(address)),
        m_boot(WallNow().time_since_epoch().count()),
        m_random(std::random_device{}()) {}

  /// Within what time all entry hosts hold to the last accepted state.
  Millis holds_from() const { return m_holds_from; }

  /// @returns Whether it was accepted.
  bool Announce(bool is_leaving) {
    if (m_init.announce_to.empty()) {
      return true;
    }
    std::uniform_int_distribution<size_t> any(0, m_init.announce_to.size() - 1);
    net::HttpRequest request;
    request.method = "POST";
    request.target = "/v1/endpoints/announce";
    request.headers.Set("Content-Type", "application/json");
    request.body = json::serialize(
        m_init.vendor == "nested" ? Nested(is_leaving) : Flat(is_leaving));
    try {
      const net::HttpResponse response = net::Fetch(
          m_init.announce_to[any(m_random)], request, kAnnounceTimeout);
      if (response.status != 200) {
        PartLog("standin")->warn("announcement refused: {}", response.body);
        return false;
      }
      m_holds_from = Millis(
          json::parse(response.body).at("holds_from_ms").to_number<int64_t>());
      return true;
    } catch (const std::exception& error) {
      PartLog("standin")->warn("announcement failed: {}.", error.what());
      return false;
    }
  }

 private:
  const std::string& StateWord(bool is_leaving) const {
    return is_leaving ? m_init.leaving_word : m_init.ready_word;
  }

  json::object Flat(bool is_leaving) const {
    return {{"vendor", m_init.vendor_name},
            {"id", m_init.id},
            {"service", m_init.service},
            {"addr", m_address},
            {"host", m_init.host},
            {"zone", m_init.zone},
            {"boot", m_boot},
            {"slots", m_init.slots},
            {"status", StateWord(is_leaving)}};
  }

  json::object Nested(bool is_leaving) const {
    const size_t colon = m_address.rfind(':');
    const json::object listen{{"ip", m_address.substr(0, colon)},
                              {"port", std::stoi(m_address.substr(colon + 1))}};
    return {{"vendor", m_init.vendor_name},
            {"runner", json::object{{"uid", m_init.id},
                                    {"app", m_init.service},
                                    {"generation", m_boot},
                                    {"listen", listen}}},
            {"placement",
             json::object{{"machine", m_init.host}, {"zone", m_init.zone}}},
            {"capacity", json::object{{"parallel", m_init.slots}}},
            {"health", json::object{{"phase", StateWord(is_leaving)}}}};
  }

  const StandinInit& m_init;
  const std::string m_address;
  const int64_t m_boot;
  Millis m_holds_from{0};
  std::mt19937_64 m_random;
};

cxxopts::Options MakeOptions() {
  cxxopts::Options options("standin_endpoint",
                           "A vendor's endpoint, for tests");
  auto add = options.add_options();
  const auto text = [](const char* value) {
    return cxxopts::value<std::string>()->default_value(value);
  };
  add("listen", "ip:port to serve on", text("127.0.0.1:0"));
  add("announce", "ip:port of entry hosts, with commas", text(""));
  add("id", "endpoint id", text("standin-1"));
  add("service", "service it runs", text("shared"));
  add("host", "host it runs on", text("host-1"));
  add("zone", "availability zone", text("zone-a"));
  add("vendor", "form of its announcements: flat or nested", text("flat"));
  add("vendor-name", "its vendor in the settings; <form>-vendor if empty",
      text(""));
  add("ready-word", "its vendor's word for ready; the form's own if empty",
      text(""));
  add("leaving-word", "its vendor's word for leaving; the form's own if empty",
      text(""));
  add("delay", "run time in ms", text("0"));
  add("fail", "answer 500 to all");
  add("journal", "file to append runs to", text(""));
  add("answer-bytes", "least size of an answer", text("0"));
  add("slots", "runs it takes at once", text("8"));
  add("threads", "IO threads", text("2"));
  add("cut-answers", "share of connections cut in an answer", text("0"));
  add("swap-ids", "share of answers that are another request's", text("0"));
  add("linger", "ms it goes on listening after it may go", text("0"));
  add("seed", "seed of the two shares", text("1"));
  add("help", "show this");
  return options;
}

StandinInit ReadInit(const cxxopts::ParseResult& given) {
  const auto text = [&](const char* name) {
    return given[name].as<std::string>();
  };
  StandinInit init;
  init.listen = text("listen");
  init.announce_to = tools::SplitCommas(text("announce"));
  init.id = text("id");
  init.service = text("service");
  init.host = text("host");
  init.zone = text("zone");
  init.vendor = text("vendor");
  const bool is_nested = init.vendor == "nested";
  const auto text_or = [&](const char* name, const std::string& otherwise) {
    return text(name).empty() ? otherwise : text(name);
  };
  init.vendor_name = text_or("vendor-name", init.vendor + "-vendor");
  init.ready_word = text_or("ready-word", is_nested ? "serving" : "UP");
  init.leaving_word = text_or("leaving-word", is_nested ? "stopping" : "DRAIN");
  init.delay = Millis(std::stoll(text("delay")));
  init.is_failing = given.count("fail") > 0;
  init.journal = text("journal");
  init.answer_bytes = std::stoul(text("answer-bytes"));
  init.slots = std::stoi(text("slots"));
  init.threads = std::stoi(text("threads"));
  init.cut_share = std::stod(text("cut-answers"));
  init.swap_share = std::stod(text("swap-ids"));
  init.linger = Millis(std::stoll(text("linger")));
  init.seed = std::stoull(text("seed"));
  return init;
}

// Waits for SIGTERM or SIGINT for so long; whether one came.
bool WaitForStop(const sigset_t& signals, Millis timeout) {
  timespec wait{};
  wait.tv_sec = timeout.count() / 1'000;
  wait.tv_nsec = timeout.count() % 1'000 * 1'000'000;
  return sigtimedwait(&signals, nullptr, &wait) > 0;
}

void Serve(const StandinInit& init, const sigset_t& signals) {
  net::IoThreads threads(init.threads);
  StandinHandler handler(init, threads);
  net::HttpServerInit server_init;
  const bool is_cutting = init.cut_share > 0;
  server_init.address = is_cutting ? kAnyPort : init.listen;
  net::HttpServer server(threads, server_init, handler);
  std::unique_ptr<tools::CuttingProxy> proxy;
  if (is_cutting) {
    proxy = std::make_unique<tools::CuttingProxy>(init.listen, server.address(),
                                                  init.cut_share, init.seed);
  }
  const std::string address = is_cutting ? proxy->address() : server.address();
  std::cout << "listening " << address << std::endl;
  Announcer announcer(init, address);
  bool is_accepted = announcer.Announce(false);
  while (!WaitForStop(signals, is_accepted ? kRenewPeriod : kAnnounceRetry)) {
    is_accepted = announcer.Announce(false);
  }
  while (!announcer.Announce(true) && !WaitForStop(signals, kAnnounceRetry)) {
  }
  handler.journal().Leaving(announcer.holds_from());
  // Runs that were sent before the leaving held everywhere still finish.
  const SteadyTime least =
      threads.timers().Now() + announcer.holds_from() + init.linger;
  while (handler.running() > 0 || threads.timers().Now() < least) {
    if (WaitForStop(signals, kAnnounceRetry)) {
      break;
    }
  }
}

}  // namespace
}  // namespace laurelhall

int main(int argc, char** argv) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  // Blocked before threads start, so that only WaitForStop() sees them.
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  try {
    cxxopts::Options options = laurelhall::MakeOptions();
    const cxxopts::ParseResult given = options.parse(argc, argv);
    if (given.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    laurelhall::Serve(laurelhall::ReadInit(given), signals);
    return 0;
  } catch (const std::exception& error) {
    std::cerr << "standin_endpoint: " << error.what() << std::endl;
    return 2;
  }
}
