#include "cluster.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <boost/json.hpp>
#include <random>
#include <stdexcept>
#include <utility>

namespace review {

namespace json = boost::json;

namespace {

constexpr int kControls = 5;
constexpr int kEntries = 7;
constexpr int kPortsEach = 4;
// Addresses of each net that have to be free.
constexpr int kHosts = 9;
constexpr int kClientWaitMs = 3000;
constexpr char kHost[] = "pule25.example";

std::string At(int net, int number, int port) {
  return "127.0." + std::to_string(net) + "." + std::to_string(number) + ":" +
         std::to_string(port);
}

bool AreFree(int port) {
  for (int offset = 0; offset < kPortsEach; ++offset) {
    for (int number = 1; number <= kHosts; ++number) {
      if (!IsFree(At(41, number, port + offset)) ||
          !IsFree(At(42, number, port + offset)) ||
          !IsFree(At(43, number, port + offset)) ||
          !IsFree(At(44, number, port + offset))) {
        return false;
      }
    }
  }
  return true;
}

int FreePort() {
  std::mt19937 random(std::random_device{}());
  std::uniform_int_distribution<int> ports(20'000, 30'000);
  for (int tries = 0; tries < 50; ++tries) {
    const int port = ports(random);
    if (AreFree(port)) {
      return port;
    }
  }
  throw std::runtime_error("no free ports");
}

}  // namespace

Record::Record(const std::string& file) : m_begun_ms(NowMs()), m_file(file) {}

void Record::Line(const std::string& text) {
  const std::lock_guard lock(m_mutex);
  char time[32];
  std::snprintf(time, sizeof time, "%8.3f ",
                static_cast<double>(NowMs() - m_begun_ms) / 1000);
  m_file << time << text << std::endl;
}

// The settings are those of the templates in the folder deploy, filled in.
Cluster::Cluster(const std::string& daemon,
                 const std::string& folder,
                 Record& record)
    : m_record(record), m_daemon(daemon), m_folder(folder), m_port(FreePort()) {
  m_platform = std::make_unique<Server>(
      At(43, 1, m_port),
      [this](const Message& request) { return Platform(request); });
  json::array seeds;
  for (int number = 1; number <= 3; ++number) {
    seeds.emplace_back(At(41, number, m_port + 1));
  }
  const json::object shared{
      {"cluster", "laurelhall"},
      {"region", "tr-marmara"},
      {"io_threads", 1},
      {"drain_grace", "6s"},
      {"trusted_network", json::object{{"inner", true}, {"scheduling", true}}},
      {"log", json::object{{"level", "info"}, {"format", "json"}}}};
  for (int number = 1; number <= kControls; ++number) {
    json::object settings = shared;
    settings["name"] = At(41, number, m_port);
    settings["availability_zone"] = "zone-" + std::to_string(number % 3);
    settings["roles"] = json::array{"control"};
    settings["addresses"] =
        json::object{{"inner", At(41, number, m_port)},
                     {"scheduling", At(41, number, m_port + 1)},
                     {"hosts", At(43, 1, m_port)},
                     {"metrics", At(41, number, m_port + 2)}};
    settings["control"] = json::object{
        {"data_folder", m_folder + "/data-" + std::to_string(number)},
        {"may_bootstrap", true},
        {"seeds", seeds},
        {"admits_newcomers", true},
        {"guards_zones", false}};
    settings["scheduling"] =
        json::object{{"longest_lease", "6000ms"},
                     {"maintenance", "2s"},
                     {"remote_data_factor", 3},
                     {"job_memory", "150s"},
                     {"without", json::array{"admission"}}};
    Spawn("control-" + std::to_string(number), json::serialize(settings));
    m_control.push_back(At(41, number, m_port + 1));
  }
  for (int number = 1; number <= kEntries; ++number) {
    json::object settings = shared;
    settings["name"] = "entry-" + std::to_string(number);
    settings["availability_zone"] = "zone-" + std::to_string(number % 3);
    settings["roles"] = json::array{"entry"};
    settings["addresses"] =
        json::object{{"inner", At(42, number, m_port)},
                     {"jobs", At(42, number, m_port + 1)},
                     {"metrics", At(42, number, m_port + 2)},
                     {"readiness", At(42, number, m_port + 3)}};
    settings["control"] = json::object{{"seeds", seeds}};
    Spawn("entry-" + std::to_string(number), json::serialize(settings));
    m_entry.push_back(At(42, number, m_port + 1));
    m_ready.push_back(At(42, number, m_port + 3));
  }
}

Cluster::~Cluster() {
  for (const pid_t process : m_processes) {
    kill(process, SIGKILL);
  }
  for (const pid_t process : m_processes) {
    waitpid(process, nullptr, 0);
  }
}

void Cluster::Spawn(const std::string& name, const std::string& settings) {
  const std::string file = m_folder + "/" + name + ".json";
  std::ofstream(file) << settings;
  const std::string log = m_folder + "/" + name + ".log";
  const pid_t parent = getpid();
  const pid_t process = fork();
  if (process < 0) {
    throw std::runtime_error("cannot start a process");
  }
  if (process == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    if (getppid() == parent) {
      execl(m_daemon.c_str(), m_daemon.c_str(), "--settings", file.c_str(),
            nullptr);
    }
    _exit(127);
  }
  m_processes.push_back(process);
}

void Cluster::Signal(size_t entry, int number) {
  m_record.Line("platform: signal " + std::to_string(number) + " to entry-" +
                std::to_string(entry + 1));
  kill(m_processes.at(kControls + entry), number);
}

std::string Cluster::RunnerAddress(int number) const {
  return At(44, number, m_port);
}

void Cluster::AddMachine(const RunnerInit& runner) {
  const std::lock_guard lock(m_mutex);
  std::erase_if(m_machines, [&](const RunnerInit& known) {
    return known.machine == runner.machine;
  });
  m_machines.push_back(runner);
}

Message Cluster::Platform(const Message& request) {
  Message answer;
  answer.status = 200;
  if (request.target.rfind("/api/machines", 0) != 0) {
    m_record.Line("platform: refuses " + request.target + " " + request.body);
    answer.status = 409;
    answer.body = R"({"reason":"busy"})";
    return answer;
  }
  json::array machines;
  const std::lock_guard lock(m_mutex);
  for (const RunnerInit& runner : m_machines) {
    json::array labels;
    for (const std::string& label : runner.labels) {
      labels.emplace_back(label);
    }
    machines.push_back(json::object{
        {"machine", runner.machine},
        {"pool", runner.service},
        {"state", "up"},
        {"zone", "zone-1"},
        {"labels", labels},
        {"capacity",
         json::object{
             {"cpu", runner.cpu}, {"mem_mb", runner.mem_mb}, {"gpu", 0}}},
        {"id", runner.id}});
  }
  answer.body = json::serialize(
      json::object{{"machines", std::move(machines)}, {"next_token", nullptr}});
  return answer;
}

bool Cluster::Put(const Configuration& configuration, int timeout_ms) {
  json::array routes;
  for (const Route& route : configuration.routes) {
    routes.push_back(json::object{{"name", route.name},
                                  {"host", kHost},
                                  {"path_prefix", route.prefix},
                                  {"type", "unsafe"},
                                  {"timeout_ms", 3000},
                                  {"target_latency_ms", 600},
                                  {"priority", 0},
                                  {"service", route.service},
                                  {"max_attempts", route.max_attempts},
                                  {"stretch", 1.6}});
  }
  json::array services;
  for (const std::string& service : configuration.services) {
    services.push_back(json::object{{"name", service},
                                    {"health_path", "/health"},
                                    {"max_conns", 64},
                                    {"protocol", "h1"},
                                    {"tls", false},
                                    {"rejects_overload", false},
                                    {"spare", false}});
  }
  Message put;
  put.method = "PUT";
  put.target = "/api/config";
  put.body = json::serialize(
      json::object{{"version", configuration.version},
                   {"routes", routes},
                   {"services", services},
                   {"limits", json::object{{"max_header_bytes", 16384},
                                           {"max_body_bytes", 262144},
                                           {"header_timeout_ms", 3000},
                                           {"idle_timeout_ms", 15000}}}});
  m_record.Line("operator: " + put.body);
  const long long end = NowMs() + timeout_ms;
  size_t next = 0;
  std::string target = m_control[0];
  while (NowMs() < end) {
    const auto answer = Call(target, put, 1000);
    m_record.Line("operator: PUT version " +
                  std::to_string(configuration.version) + " -> " +
                  (answer ? std::to_string(answer->status) : "no answer"));
    if (answer && answer->status == 200) {
      return true;
    }
    if (answer && answer->status == 307) {
      const std::string url = answer->headers.at("location").substr(7);
      target = url.substr(0, url.find('/'));
    } else {
      target = m_control[++next % m_control.size()];
      SleepMs(300);
    }
  }
  return false;
}

bool Cluster::AwaitReady(int timeout_ms) {
  const long long end = NowMs() + timeout_ms;
  const auto is_ready = [](const std::string& address) {
    Message get;
    get.method = "GET";
    get.target = "/api/ready";
    const auto answer = Call(address, get, 1000);
    return answer && answer->status == 200;
  };
  while (NowMs() < end) {
    if (std::all_of(m_ready.begin(), m_ready.end(), is_ready)) {
      return true;
    }
    SleepMs(200);
  }
  return false;
}

int Cluster::Ask(size_t entry,
                 const std::string& method,
                 const std::string& target,
                 const std::string& body,
                 std::string* answer_body) {
  Message call;
  call.method = method;
  call.target = target;
  call.headers["host"] = kHost;
  call.headers["deadline-ms"] = std::to_string(kClientWaitMs);
  call.body = body;
  const auto answer = Call(m_entry.at(entry), call, kClientWaitMs);
  m_record.Line("client: " + method + " " + target + " at entry-" +
                std::to_string(entry + 1) + (body.empty() ? "" : " " + body) +
                " -> " +
                (answer ? std::to_string(answer->status) + " " + answer->body
                        : "no answer"));
  if (answer && answer_body != nullptr) {
    *answer_body = answer->body;
  }
  return answer ? answer->status : 0;
}

int Cluster::AskUntilAnswered(const std::string& method,
                              const std::string& target,
                              const std::string& body,
                              std::string* answer) {
  int status = 0;
  for (size_t tries = 0; tries < 8; ++tries) {
    status = Ask(tries % m_entry.size(), method, target, body, answer);
    if (status != 0 && status != 429 && status / 100 != 5) {
      return status;
    }
    SleepMs(500);
  }
  return status;
}

std::string Cluster::StateOf(const std::string& target) {
  std::string body;
  if (AskUntilAnswered("GET", target, {}, &body) != 200) {
    return {};
  }
  return json::parse(body).at("state").as_string().c_str();
}

}  // namespace review
