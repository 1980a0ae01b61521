// What control costs a daemon: bytes and processor time of the control traffic
// against endpoints, entry hosts, configuration changes and claims. Control
// hosts and entry hosts' links run in one process, on loopback.
#include <dirent.h>
#include <linux/tcp.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <random>
#include <set>

#include "../packages/control/tests/cluster_fixture.h"
#include "laurelhall/base/log.h"

namespace laurelhall::control {
namespace {

using Clock = std::chrono::steady_clock;

constexpr Seconds kSettle{6};
constexpr Seconds kWindow{8};
constexpr Millis kSyncPeriod{500};
// Each endpoint announces itself this often, at any entry host.
constexpr Seconds kRenewPeriod{3};
// IPv4 and TCP with time stamps.
constexpr double kSegmentBytes = 52;
constexpr int kChanges = 40;
constexpr int kClaims = 2'000;

// --- Meters ------------------------------------------------------------------

std::set<int> NumbersIn(const char* folder) {
  std::set<int> numbers;
  DIR* listing = opendir(folder);
  while (const dirent* item = readdir(listing)) {
    if (item->d_name[0] != '.') {
      numbers.insert(std::atoi(item->d_name));
    }
  }
  closedir(listing);
  return numbers;
}

std::set<int> Threads() {
  return NumbersIn("/proc/self/task");
}

std::set<int> Sockets() {
  std::set<int> sockets;
  for (const int fd : NumbersIn("/proc/self/fd")) {
    tcp_info info{};
    socklen_t size = sizeof(info);
    if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) == 0) {
      sockets.insert(fd);
    }
  }
  return sockets;
}

std::set<int> Without(const std::set<int>& all, const std::set<int>& known) {
  std::set<int> rest;
  std::ranges::set_difference(all, known, std::inserter(rest, rest.end()));
  return rest;
}

/// Seconds of processor time that some threads have used.
double CpuSeconds(const std::set<int>& threads) {
  double nanos = 0;
  for (const int thread : threads) {
    std::ifstream file("/proc/self/task/" + std::to_string(thread) +
                       "/schedstat");
    double used = 0;
    file >> used;
    nanos += used;
  }
  return nanos / 1e9;
}

/// Traffic over all sockets given. Both ends of a connection are in this
/// process, so what is received is counted once for each byte.
struct Traffic {
  double to_hosts = 0;
  double from_hosts = 0;
  double segments = 0;

  double wire() const {
    return to_hosts + from_hosts + segments * kSegmentBytes;
  }
};

Traffic TrafficOf(const std::set<int>& sockets, const std::set<int>& ports) {
  Traffic traffic;
  for (const int fd : sockets) {
    tcp_info info{};
    socklen_t size = sizeof(info);
    if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
      continue;
    }
    sockaddr_in local{};
    socklen_t local_size = sizeof(local);
    getsockname(fd, reinterpret_cast<sockaddr*>(&local), &local_size);
    const bool is_server = ports.contains(ntohs(local.sin_port));
    const auto received = static_cast<double>(info.tcpi_bytes_received);
    (is_server ? traffic.to_hosts : traffic.from_hosts) += received;
    traffic.segments += info.tcpi_segs_in;
  }
  return traffic;
}

Traffic operator-(const Traffic& after, const Traffic& before) {
  return {after.to_hosts - before.to_hosts,
          after.from_hosts - before.from_hosts,
          after.segments - before.segments};
}

// --- Stand-ins -----------------------------------------------------------

/// An entry host without callers: holds grants, and wants slots at random for
/// a share of the endpoints at each sync.
class HoldingListener : public ViewListener {
 public:
  HoldingListener(uint64_t seed, double churn)
      : m_random(seed), m_churn(churn) {}

  void OnView(const View& view) override {
    m_version = view.settings_version;
    for (const model::Endpoint& endpoint : view.endpoints) {
      m_queued[endpoint.id] = 0;
    }
    if (view.grants) {
      m_holder.Update(*view.grants, view.asked_at);
    }
    ++m_views;
  }

  std::vector<routing::SlotDemand> SlotDemands() override {
    for (auto& [endpoint, queued] : m_queued) {
      const bool is_changed =
          std::uniform_real_distribution<double>(0, 1)(m_random) < m_churn;
      if (is_changed) {
        queued = std::uniform_int_distribution<int>(0, 8)(m_random);
      }
    }
    return m_holder.Report(m_queued);
  }

  std::vector<state::BurnSample> TakeBurnSamples() override { return {}; }

  uint64_t version() const { return m_version; }
  uint64_t views() const { return m_views; }
  bool HoldsAny(size_t endpoints) const {
    for (size_t i = 0; i < endpoints; ++i) {
      if (m_holder.FreeSlots("runner-" + std::to_string(i), Clock::now()) > 0) {
        return true;
      }
    }
    return false;
  }

 private:
  std::mt19937_64 m_random;
  const double m_churn;
  std::map<std::string, int> m_queued;  // On the link's thread only.
  routing::GrantHolder m_holder;
  std::atomic<uint64_t> m_version{0};
  std::atomic<uint64_t> m_views{0};
};

state::Command MakeEndpoint(size_t number) {
  state::EndpointCommand command;
  command.endpoint.id = "runner-" + std::to_string(number);
  command.endpoint.service = "estimates-" + std::to_string(number % 5);
  command.endpoint.address = "10.11.12.13:8080";
  command.endpoint.host = "worker-" + std::to_string(number);
  command.endpoint.availability_zone = "mvd-1";
  command.endpoint.vendor = "flat-vendor";
  command.endpoint.incarnation = 1;
  return command;
}

struct Scene {
  size_t hosts = 3;
  size_t endpoints = 0;
  size_t entries = 0;
  double churn = 0;
};

/// A cluster with entry hosts, whose threads and sockets are told apart by
/// when they appeared.
class Stage {
 public:
  explicit Stage(const Scene& scene) : m_scene(scene), m_cluster(scene.hosts) {
    for (size_t i = 0; i < scene.hosts; ++i) {
      const std::set<int> before = Threads();
      m_cluster.Start(i);
      m_host_threads.push_back(Without(Threads(), before));
      const std::string& address = m_cluster.init(i).inner_address;
      m_ports.insert(std::atoi(address.substr(address.find(':') + 1).c_str()));
    }
    m_leader = m_cluster.AwaitLeader();
    Announce();
    std::this_thread::sleep_for(Seconds(1));
    m_host_sockets = Sockets();
    const std::set<int> before = Threads();
    for (size_t i = 0; i < scene.entries; ++i) {
      AddEntry(i);
    }
    m_link_threads = Without(Threads(), before);
    m_renewer = std::thread([this] { Renew(); });
    std::this_thread::sleep_for(kSettle);
  }

  ~Stage() {
    m_is_over = true;
    m_renewer.join();
    m_links.clear();
  }

  std::set<int> link_sockets() const {
    return Without(Sockets(), m_host_sockets);
  }
  Traffic LinkTraffic() const { return TrafficOf(link_sockets(), m_ports); }
  Traffic PeerTraffic() const { return TrafficOf(m_host_sockets, m_ports); }
  double LinkCpu() const { return CpuSeconds(m_link_threads); }
  double LeaderCpu() const { return CpuSeconds(m_host_threads[m_leader]); }
  double FollowerCpu() const {
    double sum = 0;
    for (size_t i = 0; i < m_host_threads.size(); ++i) {
      sum += i == m_leader ? 0 : CpuSeconds(m_host_threads[i]);
    }
    return sum / std::max<double>(1, static_cast<double>(m_scene.hosts) - 1);
  }
  uint64_t Views() const {
    uint64_t views = 0;
    for (const auto& listener : m_listeners) {
      views += listener->views();
    }
    return views;
  }
  bool AllHave(uint64_t version) const {
    return std::ranges::all_of(m_listeners, [version](const auto& listener) {
      return listener->version() >= version;
    });
  }
  size_t EntriesHolding() const {
    return static_cast<size_t>(std::ranges::count_if(
        m_listeners,
        [this](const auto& one) { return one->HoldsAny(m_scene.endpoints); }));
  }
  ControlLink& link() { return *m_links.front(); }
  bool is_leader_same() const { return m_cluster.Leader() == m_leader; }
  const Scene& scene() const { return m_scene; }

 private:
  void Announce() {
    const auto link = m_cluster.MakeLink("announcer");
    for (size_t i = 0; i < m_scene.endpoints; ++i) {
      ActNow(*link, MakeEndpoint(i));
    }
  }

  void AddEntry(size_t number) {
    ControlClientInit init;
    init.cluster = "test";
    init.cluster_key = "secret";
    init.identity = {"entry-" + std::to_string(number), 1};
    for (size_t i = 0; i < m_scene.hosts; ++i) {
      init.control_addresses.push_back(m_cluster.init(i).inner_address);
    }
    init.sync_period = kSyncPeriod;
    m_listeners.push_back(
        std::make_unique<HoldingListener>(number, m_scene.churn));
    m_links.push_back(MakeControlClient(init));
    m_links.back()->Start(*m_listeners.back());
  }

  // Endpoints renew evenly over the period, each time at another entry host.
  void Renew() {
    std::mt19937_64 random(1);
    size_t done = 0;
    const auto start = Clock::now();
    while (!m_is_over && !m_links.empty() && m_scene.endpoints > 0) {
      const std::chrono::duration<double> passed = Clock::now() - start;
      const std::chrono::duration<double> period = kRenewPeriod;
      const auto due = static_cast<size_t>(
          passed / period * static_cast<double>(m_scene.endpoints));
      for (; done < due; ++done) {
        m_links[random() % m_links.size()]->Renewed(
            "runner-" + std::to_string(done % m_scene.endpoints), 1);
      }
      std::this_thread::sleep_for(Millis(20));
    }
  }

  const Scene m_scene;
  Cluster m_cluster;
  size_t m_leader = 0;
  std::set<int> m_ports;
  std::vector<std::set<int>> m_host_threads;
  std::set<int> m_host_sockets;
  std::set<int> m_link_threads;
  std::vector<std::unique_ptr<HoldingListener>> m_listeners;
  std::vector<std::unique_ptr<ControlLink>> m_links;
  std::atomic<bool> m_is_over{false};
  std::thread m_renewer;
};

// --- Measurements --------------------------------------------------------

/// What was used between its making and Take().
struct Usage {
  Traffic link;
  Traffic peer;
  double link_cpu = 0;
  double leader_cpu = 0;
  double follower_cpu = 0;
  double views = 0;
  double seconds = 0;
};

Usage Measure(const Stage& stage, const std::function<void()>& work) {
  const auto start = Clock::now();
  const Usage before{stage.LinkTraffic(), stage.PeerTraffic(),
                     stage.LinkCpu(),     stage.LeaderCpu(),
                     stage.FollowerCpu(), static_cast<double>(stage.Views())};
  work();
  return {stage.LinkTraffic() - before.link,
          stage.PeerTraffic() - before.peer,
          stage.LinkCpu() - before.link_cpu,
          stage.LeaderCpu() - before.leader_cpu,
          stage.FollowerCpu() - before.follower_cpu,
          static_cast<double>(stage.Views()) - before.views,
          std::chrono::duration<double>(Clock::now() - start).count()};
}

/// Figures of a quiet while, for each entry host and for the hosts.
struct Quiet {
  double link_wire = 0;  ///< Bytes a second of one entry host.
  double link_cpu = 0;   ///< Share of a core.
  double leader_cpu = 0;
  double peer_wire = 0;  ///< Bytes a second over all links between hosts.
};

Quiet MeasureQuiet(const Stage& stage) {
  const Usage used =
      Measure(stage, [] { std::this_thread::sleep_for(kWindow); });
  const Scene& scene = stage.scene();
  const double entries =
      std::max<double>(1, static_cast<double>(scene.entries));
  const double per_entry = used.seconds * entries;
  const Quiet quiet{used.link.wire() / per_entry, used.link_cpu / per_entry,
                    used.leader_cpu / used.seconds,
                    used.peer.wire() / used.seconds};
  std::printf(
      "%zu hosts %3zu entries %4zu endpoints churn %.2f: entry host %8.0f B/s "
      "(up %7.0f, down %7.0f, %4.1f segments/s, %.2f syncs/s), %5.2f %% of a "
      "core; leader %8.0f B/s of entry hosts, %5.2f %%; follower %5.2f %%; "
      "all links between hosts %7.0f B/s; %zu hold slots%s\n",
      scene.hosts, scene.entries, scene.endpoints, scene.churn, quiet.link_wire,
      used.link.to_hosts / per_entry, used.link.from_hosts / per_entry,
      used.link.segments / per_entry, used.views / per_entry,
      100 * quiet.link_cpu, used.link.wire() / used.seconds,
      100 * quiet.leader_cpu, 100 * used.follower_cpu / used.seconds,
      quiet.peer_wire, stage.EntriesHolding(),
      stage.is_leader_same() ? "" : "; LEADER CHANGED");
  std::fflush(stdout);
  return quiet;
}

void MeasureChanges(Stage& stage, const Quiet& quiet) {
  std::vector<double> delays;
  uint64_t version = 0;
  const Usage used = Measure(stage, [&] {
    for (int i = 0; i < kChanges; ++i) {
      const auto start = Clock::now();
      ActNow(stage.link(), MakeSettings(version++, "c" + std::to_string(i), i));
      Eventually([&] { return stage.AllHave(version); });
      delays.push_back(
          std::chrono::duration<double>(Clock::now() - start).count());
    }
  });
  std::sort(delays.begin(), delays.end());
  const auto entries = static_cast<double>(stage.scene().entries);
  const double extra_wire =
      used.link.wire() / entries - quiet.link_wire * used.seconds;
  std::printf(
      "  %d changes one by one: %.0f B and %.2f ms of processor time an entry "
      "host each, leader %.2f ms; in force everywhere after p50 %.2f s, "
      "longest %.2f s\n",
      kChanges, extra_wire / kChanges,
      1e3 * (used.link_cpu / entries - quiet.link_cpu * used.seconds) /
          kChanges,
      1e3 * (used.leader_cpu - quiet.leader_cpu * used.seconds) / kChanges,
      delays[delays.size() / 2], delays.back());
}

state::CompleteCommand MakeComplete(const state::ClaimCommand& claim) {
  state::CompleteCommand complete;
  complete.key = claim.key;
  complete.request_id = claim.request_id;
  complete.answer = {200, "application/json", {std::string(1024, 'a')}};
  return complete;
}

void MeasureClaims(Stage& stage, const Quiet& quiet) {
  const Usage used = Measure(stage, [&] {
    for (int i = 0; i < kClaims; ++i) {
      const state::ClaimCommand claim = MakeClaim(std::to_string(i));
      ClaimNow(stage.link(), claim);
      ActNow(stage.link(), MakeComplete(claim));
    }
  });
  const auto entries = static_cast<double>(stage.scene().entries);
  std::printf(
      "  %d claims with answers of 1 KiB, one by one, %.0f/s: entry host %.0f "
      "B and %.3f ms each, leader %.3f ms, follower %.3f ms, all links between "
      "hosts %.0f B\n",
      kClaims, kClaims / used.seconds,
      (used.link.wire() - quiet.link_wire * used.seconds * entries) / kClaims,
      1e3 * (used.link_cpu - quiet.link_cpu * used.seconds * entries) / kClaims,
      1e3 * (used.leader_cpu - quiet.leader_cpu * used.seconds) / kClaims,
      1e3 * used.follower_cpu / kClaims,
      (used.peer.wire() - quiet.peer_wire * used.seconds) / kClaims);
}

// Slopes, then a region and the whole of the coming size.
std::vector<Scene> Slopes() {
  return {{3, 0, 0, 0},    {5, 0, 0, 0},    {3, 0, 7, 0},    {3, 50, 7, 0},
          {3, 200, 7, 0},  {3, 800, 7, 0},  {3, 200, 2, 0},  {3, 200, 16, 0},
          {3, 200, 7, .1}, {3, 800, 7, .1}, {3, 800, 16, 0}, {5, 800, 16, .1}};
}

std::vector<Scene> ComingSize() {
  return {{3, 271, 2, 0}, {3, 271, 2, .1}, {3, 271, 3, .1}, {5, 1900, 16, 0}};
}

void Run(const std::vector<Scene>& scenes) {
  for (const Scene& scene : scenes) {
    Stage stage(scene);
    const Quiet quiet = MeasureQuiet(stage);
    if (scene.entries == 7 && scene.endpoints == 50) {
      MeasureChanges(stage, quiet);
      MeasureClaims(stage, quiet);
    }
  }
}

}  // namespace
}  // namespace laurelhall::control

int main(int argc, char** argv) {
  using namespace laurelhall::control;  // NOLINT(google-build-using-namespace)
  laurelhall::InitLogs({"error", "text"});
  const bool is_only_coming = argc > 1 && std::string(argv[1]) == "--coming";
  if (!is_only_coming) {
    Run(Slopes());
  }
  Run(ComingSize());
  return 0;
}
