// A stand-in for the platform and its workers, over the operators' API: it
// brings stopped hosts back after a while and runs the jobs they are given.

#include <csignal>
#include <cstdint>
#include <deque>
#include <fstream>
#include <iostream>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <boost/json.hpp>
#include <cxxopts.hpp>

#include "laurelhall/base/log.h"
#include "laurelhall/base/time.h"
#include "laurelhall/model/json.h"
#include "laurelhall/net/http.h"
#include "tool_p.h"

namespace laurelhall::tools {
namespace {

namespace json = boost::json;
using Clock = std::chrono::steady_clock;

constexpr Millis kCallTimeout{2'000};
constexpr Millis kResendAfter{200};
constexpr int kMaxResends = 100;
constexpr Millis kUsagePeriod{2'000};
constexpr const char* kOperator = "platform";

struct PlatformInit {
  std::vector<std::string> servers;
  int hosts = 0;
  int racks = 0;
  std::vector<std::string> zones;
  std::string register_in;  ///< Pool; empty to register none.
  double processors = 0;
  double memory_gb = 0;
  Millis reboot{0};
  Millis repair{0};  ///< Failed hosts come back after it; 0: never.
  double speed = 1;  ///< Run time of jobs is the declared one over this.
  std::set<std::string> fail_workers;
  std::string journals;  ///< Folder of endpoints' journals, by host number.
  Millis interval{0};
};

/// Calls the operators' API; goes on to the next server when one is silent.
class Api {
 public:
  explicit Api(const PlatformInit& init) : m_servers(init.servers) {
    std::random_device device;
    m_run = std::to_string(device());
  }

  json::value Get(const std::string& target) {
    net::HttpRequest request;
    request.method = "GET";
    request.target = target;
    const auto answer = Call(request);
    return answer.status == 200 ? json::parse(answer.body) : json::value();
  }

  /// Sends an act under a fresh request id until it is answered.
  /// @returns The answer's status.
  int Post(const std::string& target, json::object body) {
    body["operator"] = kOperator;
    body["request_id"] = m_run + "-" + std::to_string(++m_requests);
    net::HttpRequest request;
    request.method = "POST";
    request.target = target;
    request.headers.Set("Content-Type", "application/json");
    request.body = json::serialize(body);
    const auto answer = Call(request);
    if (answer.status != 200) {
      PartLog("platform")->info("{} refused: {}", target, answer.body);
    }
    return answer.status;
  }

 private:
  net::HttpResponse Call(const net::HttpRequest& request) {
    for (int resends = 0; resends < kMaxResends; ++resends) {
      try {
        const std::string& server = m_servers[m_at % m_servers.size()];
        auto answer = net::Fetch(server, request, kCallTimeout);
        if (answer.status < 500) {
          return answer;
        }
      } catch (const std::exception&) {
        // The outcome isn't known: the same request is sent again.
      }
      ++m_at;
      timespec wait{0, kResendAfter.count() * 1'000'000};
      nanosleep(&wait, nullptr);
    }
    throw std::runtime_error("no server answers " + request.target);
  }

  const std::vector<std::string> m_servers;
  std::string m_run;
  size_t m_at = 0;
  uint64_t m_requests = 0;
};

/// Looks into an endpoint's journal for what runs while its host is stopped.
class JournalWatch {
 public:
  JournalWatch(std::string folder, const std::string& host)
      : m_file(std::move(folder) + "/runs-" + host.substr(host.rfind('-') + 1) +
               ".txt") {}

  /// Lines so far, and how many runs were under way at the last one.
  std::pair<size_t, int> Read() const {
    std::ifstream stream(m_file);
    size_t lines = 0;
    int running = 0;
    for (std::string line; std::getline(stream, line); ++lines) {
      if (stream.eof()) {
        break;  // A line that is being written; the next look has it.
      }
      running = std::stoi(line.substr(line.rfind(' ') + 1));
    }
    return {lines, running};
  }

 private:
  std::string m_file;
};

/// Stops and returns hosts as the platform does.
class HostKeeper {
 public:
  HostKeeper(const PlatformInit& init, Api& api) : m_init(init), m_api(api) {}

  void Register() {
    for (int i = 1; i <= m_init.hosts; ++i) {
      const std::string id = "host-" + std::to_string(i);
      const int rack = (i - 1) % m_init.racks;
      const std::string& zone =
          m_init.zones[static_cast<size_t>(rack) % m_init.zones.size()];
      m_api.Post("/v1/hosts", {{"id", id},
                               {"pool", m_init.register_in},
                               {"rack", "rack-" + std::to_string(rack + 1)},
                               {"availability_zone", zone},
                               {"processors", m_init.processors},
                               {"memory_gb", m_init.memory_gb}});
      m_api.Post("/v1/hosts/" + id + "/join", {});
    }
  }

  void Step() {
    const json::value hosts =
        m_api.Get("/v1/hosts?state=kInMaintenance,kFailed");
    if (!hosts.is_array()) {
      return;
    }
    std::set<std::string> seen;
    for (const json::value& host : hosts.get_array()) {
      seen.insert(std::string(host.at("id").as_string()));
      Keep(host);
    }
    std::erase_if(m_stopped,
                  [&](const auto& item) { return !seen.contains(item.first); });
  }

  int cut_off() const { return m_cut_off; }
  int reboots() const { return m_reboots; }

 private:
  struct Stop {
    uint64_t epoch = 0;
    Clock::time_point at;
    size_t journal_lines = 0;
  };

  void Keep(const json::value& host) {
    const std::string id(host.at("id").as_string());
    const auto epoch = host.at("epoch").to_number<uint64_t>();
    const bool is_failed = host.at("state") == "kFailed";
    Stop& stop = m_stopped[id];
    if (stop.epoch != epoch) {
      stop = {epoch, Clock::now(), 0};
      NoteStop(id, stop, is_failed);
    }
    const Millis away = is_failed ? m_init.repair : m_init.reboot;
    const bool stays = is_failed && away.count() == 0;
    if (!stays && Clock::now() - stop.at >= away) {
      Return(id, host, stop, is_failed);
    }
  }

  void NoteStop(const std::string& id, Stop& stop, bool is_failed) {
    if (m_init.journals.empty() || is_failed) {
      return;
    }
    const auto [lines, running] = JournalWatch(m_init.journals, id).Read();
    stop.journal_lines = lines;
    if (running > 0) {
      ++m_cut_off;
      PartLog("platform")->error("{} stopped with {} in flight.", id, running);
    }
  }

  void Return(const std::string& id,
              const json::value& host,
              const Stop& stop,
              bool is_failed) {
    if (!is_failed && !m_init.journals.empty() &&
        JournalWatch(m_init.journals, id).Read().first != stop.journal_lines) {
      ++m_cut_off;
      PartLog("platform")->error("{} got requests while it was stopped.", id);
    }
    const int status =
        m_api.Post("/v1/hosts/" + id + "/return",
                   {{"expected_epoch", stop.epoch},
                    {"version", host.at("install").as_string()}});
    m_reboots += status == 200 && !is_failed;
  }

  const PlatformInit& m_init;
  Api& m_api;
  std::map<std::string, Stop> m_stopped;
  int m_cut_off = 0;
  int m_reboots = 0;
};

/// Runs the jobs that workers hold.
class Workers {
 public:
  Workers(const PlatformInit& init, Api& api) : m_init(init), m_api(api) {}

  void Step() {
    const json::value tasks = m_api.Get("/v1/workers/tasks");
    if (!tasks.is_array()) {
      return;
    }
    std::set<std::string> held;
    for (const json::value& task : tasks.get_array()) {
      held.insert(std::string(task.at("id").as_string()));
      Advance(task.as_object());
    }
    std::erase_if(m_runs,
                  [&](const auto& item) { return !held.contains(item.first); });
  }

  int ended() const { return m_ended; }

 private:
  struct Run {
    uint64_t lease = 0;
    Clock::time_point started;
    Clock::time_point reported;
    Millis kept{0};  ///< Work of earlier runs.
  };

  static uint64_t LeaseOf(const json::object& task) {
    const auto lease = task.at("lease").to_number<uint64_t>();
    // A cancelled job waits for the end of the run under the lease before.
    return task.at("state") == "kCancelled" ? lease - 1 : lease;
  }

  Millis Work(const Run& run) const {
    const double millis =
        std::chrono::duration<double, std::milli>(Clock::now() - run.started)
            .count();
    return run.kept + Millis(static_cast<int64_t>(millis * m_init.speed));
  }

  void Advance(const json::object& task) {
    const std::string id(task.at("id").as_string());
    Run& run = m_runs[id];
    if (run.lease != LeaseOf(task)) {
      run = {LeaseOf(task),
             Clock::now(),
             {},
             Millis(task.at("work_done").to_number<int64_t>())};
    }
    const Millis whole(task.at("declared_run_time").to_number<int64_t>());
    const std::string host(task.at("host").as_string());
    if (task.at("state") == "kCheckpointing") {
      End(task, run, "kCheckpointed", "");
    } else if (task.at("is_stopping") == true ||
               task.at("state") == "kCancelled") {
      End(task, run, "kStopped", "");
    } else if (m_init.fail_workers.contains(host)) {
      End(task, run, "kFailed", "the worker fails all it starts");
    } else if (Work(run) >= whole) {
      End(task, run, "kSucceeded", "");
    } else if (Clock::now() - run.reported >= kUsagePeriod) {
      run.reported = Clock::now();
      const json::object usage{{"lease", run.lease},
                               {"used", task.at("declared")},
                               {"work", Work(run).count()}};
      m_api.Post("/v1/jobs/" + id + "/report", {{"usage", usage}});
    }
  }

  void End(const json::object& task,
           const Run& run,
           const char* kind,
           const char* text) {
    const std::string id(task.at("id").as_string());
    const json::object report{{"job", id},
                              {"lease", run.lease},
                              {"host", task.at("host")},
                              {"kind", kind},
                              {"work_done", Work(run).count()},
                              {"peak", task.at("declared")},
                              {"text", text}};
    m_ended +=
        m_api.Post("/v1/jobs/" + id + "/report", {{"report", report}}) == 200;
  }

  const PlatformInit& m_init;
  Api& m_api;
  std::map<std::string, Run> m_runs;  // By job.
  int m_ended = 0;
};

cxxopts::Options MakeOptions() {
  cxxopts::Options options("standin_platform",
                           "The platform and its workers, for tests");
  auto add = options.add_options();
  const auto text = [](const char* value) {
    return cxxopts::value<std::string>()->default_value(value);
  };
  add("server", "operators' ip:port, with commas", text("127.0.0.1:9101"));
  add("register", "pool to register hosts in; none if empty", text(""));
  add("hosts", "hosts to register, named host-1 and so on", text("12"));
  add("racks", "racks they stand in", text("6"));
  add("zones", "availability zones, with commas",
      text("mvd-1,mvd-2,mvd-3,mvd-4"));
  add("processors", "of each host", text("32"));
  add("memory-gb", "of each host", text("128"));
  add("reboot", "time of a reboot", text("2s"));
  add("repair", "time until a failed host comes back; 0s: never", text("0s"));
  add("speed", "how much faster than declared jobs run", text("1"));
  add("fail-worker", "workers that fail all they start, with commas", text(""));
  add("journals", "folder of endpoints' journals to check stops by", text(""));
  add("interval", "time between looks", text("250ms"));
  add("help", "show this");
  return options;
}

PlatformInit ReadInit(const cxxopts::ParseResult& given) {
  const auto text = [&](const char* name) {
    return given[name].as<std::string>();
  };
  PlatformInit init;
  init.servers = SplitCommas(text("server"));
  init.register_in = text("register");
  init.hosts = std::stoi(text("hosts"));
  init.racks = std::stoi(text("racks"));
  init.zones = SplitCommas(text("zones"));
  init.processors = std::stod(text("processors"));
  init.memory_gb = std::stod(text("memory-gb"));
  init.reboot = ParseDuration(text("reboot"));
  init.repair = ParseDuration(text("repair"));
  init.speed = std::stod(text("speed"));
  for (const std::string& worker : SplitCommas(text("fail-worker"))) {
    init.fail_workers.insert(worker);
  }
  init.journals = text("journals");
  init.interval = ParseDuration(text("interval"));
  if (init.servers.empty() || init.zones.empty() || init.racks < 1) {
    throw std::invalid_argument("expected a server, a zone and a rack");
  }
  return init;
}

// Waits for SIGTERM or SIGINT for so long; whether one came.
bool WaitForStop(const sigset_t& signals, Millis timeout) {
  timespec wait{};
  wait.tv_sec = timeout.count() / 1'000;
  wait.tv_nsec = timeout.count() % 1'000 * 1'000'000;
  return sigtimedwait(&signals, nullptr, &wait) > 0;
}

/// @returns The exit code: 1 when a host was stopped with something in flight.
int Serve(const PlatformInit& init, const sigset_t& signals) {
  Api api(init);
  HostKeeper hosts(init, api);
  Workers workers(init, api);
  if (!init.register_in.empty()) {
    hosts.Register();
  }
  std::cout << "ready" << std::endl;
  while (!WaitForStop(signals, init.interval)) {
    hosts.Step();
    workers.Step();
  }
  std::cout << json::serialize(json::object{{"reboots", hosts.reboots()},
                                            {"runs_ended", workers.ended()},
                                            {"cut_off", hosts.cut_off()}})
            << std::endl;
  return hosts.cut_off() == 0 ? 0 : 1;
}

}  // namespace
}  // namespace laurelhall::tools

int main(int argc, char** argv) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  try {
    cxxopts::Options options = laurelhall::tools::MakeOptions();
    const cxxopts::ParseResult given = options.parse(argc, argv);
    if (given.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    return laurelhall::tools::Serve(laurelhall::tools::ReadInit(given),
                                    signals);
  } catch (const std::exception& error) {
    std::cerr << "standin_platform: " << error.what() << std::endl;
    return 2;
  }
}
