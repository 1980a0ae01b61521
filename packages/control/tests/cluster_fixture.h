#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <filesystem>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "laurelhall/control/control_client.h"
#include "laurelhall/control/control_host.h"

namespace laurelhall::control {

/// Longer than anything takes on a busy machine; no verdict but for a hang.
constexpr Seconds kCap{60};

/// Waits until a condition holds; false when it never did.
template <typename Condition>
bool Eventually(Condition condition, Millis cap = kCap) {
  const auto end = std::chrono::steady_clock::now() + cap;
  while (std::chrono::steady_clock::now() < end) {
    if (condition()) {
      return true;
    }
    std::this_thread::sleep_for(Millis(5));
  }
  return condition();
}

/// Ports that the kernel picked and that nobody else is given while this lives.
///
/// @remarks Each is bound and never listens, so that a host, which listens with
///   SO_REUSEADDR, may still take it, and take it again after a restart.
class HeldPorts {
 public:
  explicit HeldPorts(size_t count) {
    for (size_t i = 0; i < count; ++i) {
      const int fd = socket(AF_INET, SOCK_STREAM, 0);
      m_sockets.push_back(fd);
      m_ports.push_back(Bind(fd));
    }
  }
  ~HeldPorts() {
    for (const int fd : m_sockets) {
      close(fd);
    }
  }
  HeldPorts(const HeldPorts&) = delete;
  HeldPorts& operator=(const HeldPorts&) = delete;

  const std::vector<int>& ports() const { return m_ports; }

 private:
  static int Bind(int fd) {
    const int is_shared = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &is_shared, sizeof(is_shared));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    bind(fd, reinterpret_cast<sockaddr*>(&address), size);
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
  }

  std::vector<int> m_sockets;
  std::vector<int> m_ports;
};

/// Control hosts in one process, on real sockets and temporary folders.
class Cluster {
 public:
  explicit Cluster(size_t size) : m_ports(size) {
    static std::atomic<int> s_count{0};
    m_folder = std::filesystem::temp_directory_path() /
               ("laurelhall_control_" + std::to_string(getpid()) + "_" +
                std::to_string(s_count++));
    for (const int port : m_ports.ports()) {
      const std::string index = std::to_string(m_inits.size());
      ControlHostInit init;
      init.cluster = "test";
      init.cluster_key = "secret";
      init.name = "control-" + index;
      init.availability_zone = "zone-" + index;
      init.data_folder = m_folder / init.name;
      init.inner_address = "127.0.0.1:" + std::to_string(port);
      init.may_bootstrap = true;
      init.filter = std::make_shared<ConnectionFilter>();
      m_inits.push_back(init);
    }
    std::vector<consensus::Member> members;
    for (const ControlHostInit& init : m_inits) {
      members.push_back(
          {init.inner_address, init.availability_zone, init.name, true});
    }
    for (ControlHostInit& init : m_inits) {
      init.first_members = members;
    }
    m_hosts.resize(size);
  }

  ~Cluster() {
    m_hosts.clear();
    std::filesystem::remove_all(m_folder);
  }

  void StartAll() {
    for (size_t i = 0; i < m_hosts.size(); ++i) {
      Start(i);
    }
  }

  void Start(size_t i) {
    m_hosts[i] = std::make_unique<ControlHost>(
        m_inits[i],
        m_make_duties ? m_make_duties()
                      : std::vector<std::unique_ptr<LeaderDuty>>(),
        m_make_operators ? m_make_operators() : nullptr);
  }

  void Stop(size_t i) { m_hosts[i].reset(); }

  void LoseDisk(size_t i) {
    std::filesystem::remove_all(m_inits[i].data_folder);
  }

  void Cut(size_t i, CutMode mode) { m_inits[i].filter->Set("*", mode); }

  ControlHost& host(size_t i) { return *m_hosts[i]; }
  ControlHostInit& init(size_t i) { return m_inits[i]; }
  size_t size() const { return m_hosts.size(); }
  bool is_running(size_t i) const { return m_hosts[i] != nullptr; }

  /// The host that leads and is confirmed, other than `except`; else size().
  size_t Leader(size_t except = SIZE_MAX) const {
    for (size_t i = 0; i < m_hosts.size(); ++i) {
      const bool leads = i != except && m_hosts[i] &&
                         m_hosts[i]->status().consensus.is_leader_confirmed;
      if (leads) {
        return i;
      }
    }
    return m_hosts.size();
  }

  size_t AwaitLeader(size_t except = SIZE_MAX) const {
    // Read once: who leads may have changed by a second look.
    size_t leader = size();
    Eventually([&] {
      leader = Leader(except);
      return leader < size();
    });
    return leader;
  }

  std::unique_ptr<ControlLink> MakeLink(const std::string& name) const {
    std::vector<std::string> addresses;
    for (const ControlHostInit& host : m_inits) {
      addresses.push_back(host.inner_address);
    }
    return MakeLinkTo(name, addresses);
  }

  std::unique_ptr<ControlLink> MakeLinkTo(const std::string& name,
                                          size_t host) const {
    return MakeLinkTo(name, std::vector{m_inits[host].inner_address});
  }

  std::function<std::unique_ptr<OperatorService>()> m_make_operators;
  std::function<std::vector<std::unique_ptr<LeaderDuty>>()> m_make_duties;

 private:
  static std::unique_ptr<ControlLink> MakeLinkTo(
      const std::string& name,
      const std::vector<std::string>& addresses) {
    ControlClientInit init;
    init.cluster = "test";
    init.cluster_key = "secret";
    init.identity = {name, 1};
    init.control_addresses = addresses;
    init.sync_period = Millis(50);
    init.call_timeout = Millis(1000);
    return MakeControlClient(init);
  }

  HeldPorts m_ports;
  std::filesystem::path m_folder;
  std::vector<ControlHostInit> m_inits;
  std::vector<std::unique_ptr<ControlHost>> m_hosts;
};

inline state::ClaimCommand MakeClaim(const std::string& key) {
  state::ClaimCommand claim;
  claim.key = {"insurer", "estimates", key};
  claim.digest = "digest";
  claim.owner = {"entry", 1};
  claim.request_id = "request-" + key;
  return claim;
}

inline state::SettingsCommand MakeSettings(uint64_t expected,
                                           const std::string& request_id,
                                           int hosts) {
  state::SettingsCommand command;
  command.request.operator_name = "operator";
  command.request.request_id = request_id;
  command.expected_version = expected;
  command.changes["pools.annex.target_hosts"] = std::to_string(hosts);
  return command;
}

/// Commits a claim and waits for its outcome.
inline std::optional<state::ClaimResult> ClaimNow(
    ControlLink& link,
    const state::ClaimCommand& claim,
    Millis patience = kCap) {
  std::promise<std::optional<state::ClaimResult>> outcome;
  link.Claim(claim, std::chrono::steady_clock::now() + patience,
             [&](auto result) { outcome.set_value(std::move(result)); });
  return outcome.get_future().get();
}

/// Commits another command and waits for its outcome.
inline std::optional<state::ActResult> ActNow(ControlLink& link,
                                              const state::Command& command) {
  std::promise<std::optional<state::ActResult>> outcome;
  link.Act(command, std::chrono::steady_clock::now() + kCap,
           [&](auto result) { outcome.set_value(std::move(result)); });
  return outcome.get_future().get();
}

/// Remembers what syncs brought. Thread-safe.
class RecordingListener : public ViewListener {
 public:
  void OnView(const View& view) override {
    const std::lock_guard lock(m_mutex);
    m_is_reverted |= view.settings_version < m_version;
    m_version = view.settings_version;
    m_asked_at = view.asked_at;
    m_config = view.config ? view.config : m_config;
    for (const model::Endpoint& endpoint : view.endpoints) {
      m_endpoints[endpoint.id] = endpoint;
    }
    ++m_views;
  }
  std::vector<routing::SlotDemand> SlotDemands() override { return {}; }
  std::vector<state::BurnSample> TakeBurnSamples() override { return {}; }

  uint64_t version() const { return Locked(m_version); }
  uint64_t views() const { return Locked(m_views); }
  bool is_reverted() const { return Locked(m_is_reverted); }
  SteadyTime asked_at() const { return Locked(m_asked_at); }
  std::shared_ptr<const model::Config> config() const {
    return Locked(m_config);
  }
  std::map<std::string, model::Endpoint> endpoints() const {
    return Locked(m_endpoints);
  }

 private:
  template <typename T>
  T Locked(const T& value) const {
    const std::lock_guard lock(m_mutex);
    return value;
  }

  mutable std::mutex m_mutex;  // Guards all below.
  uint64_t m_version = 0;
  uint64_t m_views = 0;
  bool m_is_reverted = false;
  SteadyTime m_asked_at{};
  std::shared_ptr<const model::Config> m_config;
  std::map<std::string, model::Endpoint> m_endpoints;
};

}  // namespace laurelhall::control
