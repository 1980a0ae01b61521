#include "cluster.h"

#include <csignal>
#include <fstream>
#include <stdexcept>
#include <thread>

#include "standin/standin_disk.h"

namespace laurelhall::scenario {
namespace {

namespace json = boost::json;

constexpr Millis kOperateTimeout = std::chrono::seconds(12);
constexpr Millis kLocalTimeout = std::chrono::seconds(2);
constexpr int kNotServedFrom = 500;

json::value ParseOrNull(const std::string& text) {
  json::error_code error;
  json::value value = json::parse(text, error);
  return error ? json::value() : value;
}

}  // namespace

Cluster::Cluster(const ClusterInit& init) : m_init(init) {
  for (int n = 1; n <= init.entry_hosts; ++n) {
    auto daemon = std::make_unique<Daemon>();
    daemon->zone = "mvd-" + std::to_string((n - 1) % init.zones + 1);
    daemon->is_control = n <= init.control_hosts;
    m_daemons.emplace("entry-" + std::to_string(n), std::move(daemon));
  }
  for (const auto& [name, daemon] : m_daemons) {
    daemon->settings = m_init.folder / (name + ".json");
    WriteSettings(name, *daemon);
    Start(name);
  }
}

std::vector<std::string> Cluster::names() const {
  std::vector<std::string> names;
  for (const auto& [name, daemon] : m_daemons) {
    names.push_back(name);
  }
  return names;
}

const std::string& Cluster::caller_address(const std::string& name) const {
  return Find(name).caller.address();
}

std::vector<std::string> Cluster::caller_addresses() const {
  std::vector<std::string> addresses;
  for (const auto& [name, daemon] : m_daemons) {
    addresses.push_back(daemon->caller.address());
  }
  return addresses;
}

void Cluster::Start(const std::string& name) {
  Daemon& daemon = Find(name);
  ProcessInit init;
  init.arguments = {LAURELHALL_STANDIN_DISK_DAEMON, "--settings",
                    daemon.settings.string()};
  init.output = m_init.folder / (name + ".log");
  init.errors = init.output;
  daemon.process = std::make_unique<Process>(init);
  daemon.is_silent = false;
  daemon.is_cut = false;
}

void Cluster::Kill(const std::string& name) {
  Daemon& daemon = Find(name);
  daemon.is_silent = true;
  daemon.process->Kill();
}

void Cluster::Signal(const std::string& name, int signal_number) {
  Daemon& daemon = Find(name);
  daemon.is_silent = signal_number == SIGSTOP;
  daemon.process->Signal(signal_number);
}

std::optional<int> Cluster::WaitExit(const std::string& name) {
  Daemon& daemon = Find(name);
  const auto code = daemon.process->WaitExit(kCap);
  daemon.is_silent = code.has_value();
  return code;
}

void Cluster::LoseDisk(const std::string& name) {
  Kill(name);
  std::filesystem::remove_all(DataFolder(name));
}

void Cluster::StallDisks(int hosts, Millis time) {
  std::vector<Process*> stalled;
  for (const auto& [name, daemon] : m_daemons) {
    if (daemon->is_control && static_cast<int>(stalled.size()) < hosts) {
      stalled.push_back(daemon->process.get());
    }
  }
  for (Process* process : stalled) {
    process->Signal(StandinDisk::kStall);
  }
  std::this_thread::sleep_for(time);
  for (Process* process : stalled) {
    process->Signal(StandinDisk::kResume);
  }
}

void Cluster::RefuseWrites(const std::string& name, bool is_refusing) {
  const std::filesystem::path flag = RefusalFlagOf(DataFolder(name));
  if (is_refusing) {
    std::ofstream(flag) << "refuses";
  } else {
    std::filesystem::remove(flag);
  }
}

void Cluster::DetachDisk(const std::string& name) {
  RefuseWrites(name, true);
  std::filesystem::rename(DataFolder(name), DetachedFolder(name));
  std::filesystem::create_directory(DataFolder(name));
}

void Cluster::AttachDisk(const std::string& name) {
  std::filesystem::remove(DataFolder(name));  // Throws unless it is empty.
  std::filesystem::rename(DetachedFolder(name), DataFolder(name));
  RefuseWrites(name, false);
}

void Cluster::Cut(const std::string& name, const std::string& mode) {
  const Reply reply = OperateAt(name, "POST", "/v1/local/cuts",
                                {{"peer", "*"}, {"mode", mode}});
  if (reply.status != 200) {
    throw std::runtime_error(name + " takes no cut");
  }
  Find(name).is_cut = mode != "none";
}

bool Cluster::IsRunning(const std::string& name) {
  return Find(name).process->is_running();
}

Reply Cluster::OperateAt(const std::string& name,
                         const std::string& method,
                         const std::string& target,
                         const json::object& body) const {
  const Daemon& daemon = Find(name);
  if (daemon.is_silent) {
    return {};
  }
  net::HttpRequest request;
  request.method = method;
  request.target = target;
  if (method != "GET") {
    request.headers.Set("Content-Type", "application/json");
    request.body = json::serialize(body);
  }
  try {
    const net::HttpResponse response =
        net::Fetch(daemon.operators.address(), request, kOperateTimeout);
    return {response.status, ParseOrNull(response.body)};
  } catch (const std::runtime_error&) {
    return {};
  }
}

Reply Cluster::Operate(const std::string& method,
                       const std::string& target,
                       const json::object& body) const {
  Reply reply;
  for (const auto& [name, daemon] : m_daemons) {
    if (daemon->is_cut) {
      continue;
    }
    reply = OperateAt(name, method, target, body);
    if (reply.status != 0 && reply.status < kNotServedFrom) {
      return reply;
    }
  }
  return reply;
}

json::value Cluster::LocalStatus(const std::string& name) const {
  return ParseOrNull(GetLocal(name, "/v1/local/status"));
}

std::string Cluster::Metrics(const std::string& name) const {
  return GetLocal(name, "/metrics");
}

std::filesystem::path Cluster::DataFolder(const std::string& name) const {
  return m_init.folder / "data" / name;
}

std::filesystem::path Cluster::DetachedFolder(const std::string& name) const {
  return m_init.folder / "data" / (name + ".detached");
}

std::string Cluster::GetLocal(const std::string& name,
                              const std::string& target) const {
  const Daemon& daemon = Find(name);
  if (daemon.is_silent) {
    return "";
  }
  net::HttpRequest request;
  request.target = target;
  try {
    return net::Fetch(daemon.operators.address(), request, kLocalTimeout).body;
  } catch (const std::runtime_error&) {
    return "";
  }
}

std::string Cluster::Leader() const {
  const Reply reply = Operate("GET", "/v1/status");
  return reply.status == 200 ? std::string(reply.body.at("leader").as_string())
                             : "";
}

void Cluster::WriteSettings(const std::string& name,
                            const Daemon& daemon) const {
  json::array roles{"entry"};
  if (daemon.is_control) {
    roles.emplace_back("control");
  }
  const json::object settings{{"cluster", "scenario"},
                              {"name", name},
                              {"region", "montevideo"},
                              {"availability_zone", daemon.zone},
                              {"roles", roles},
                              {"addresses",
                               {{"inner", daemon.inner.address()},
                                {"caller", daemon.caller.address()},
                                {"operator", daemon.operators.address()}}},
                              {"control",
                               {{"data_folder", DataFolder(name).string()},
                                {"may_bootstrap", true},
                                {"peers", Peers()}}},
                              {"io_threads", 2}};
  std::ofstream(daemon.settings) << json::serialize(settings) << '\n';
}

json::array Cluster::Peers() const {
  json::array peers;
  for (const auto& [name, daemon] : m_daemons) {
    if (daemon->is_control) {
      peers.push_back({{"name", name},
                       {"address", daemon->inner.address()},
                       {"availability_zone", daemon->zone}});
    }
  }
  return peers;
}

Cluster::Daemon& Cluster::Find(const std::string& name) {
  return const_cast<Daemon&>(std::as_const(*this).Find(name));
}

const Cluster::Daemon& Cluster::Find(const std::string& name) const {
  const auto found = m_daemons.find(name);
  if (found == m_daemons.end()) {
    throw std::runtime_error("no daemon " + name);
  }
  return *found->second;
}

}  // namespace laurelhall::scenario
