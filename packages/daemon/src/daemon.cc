#include "daemon_p.h"

#include <boost/json.hpp>
#include <fstream>
#include <future>
#include <random>
#include <sstream>

#include "hand_over_p.h"
#include "laurelhall/base/finding.h"
#include "laurelhall/base/log.h"
#include "laurelhall/control/control_host.h"
#include "laurelhall/entry/entry_host.h"
#include "laurelhall/net/http.h"
#include "laurelhall/operations/operations.h"
#include "metrics_p.h"
#include "operator_api_p.h"
#include "schedule_part_p.h"

namespace laurelhall::daemon {
namespace {

/// How long a stopping daemon goes on accepting: the balancer has seen the
/// health page red by then.
constexpr Millis kBalancerDelay = std::chrono::seconds(2);
/// Kept of the grace for the process's own end.
constexpr Millis kEndTime{600};
/// How long connections without a request are waited for at the end: callers
/// that ask again meanwhile are told to go elsewhere, not cut off.
constexpr Millis kIdleStay = std::chrono::seconds(1);
/// For answers under way once requests have used up the grace.
constexpr Millis kLastAnswers{300};

/// Reads the shared key of the inner protocol; empty without a file.
std::string ReadKey(const std::string& file) {
  if (file.empty()) {
    return "";
  }
  std::ifstream stream(file);
  std::string key;
  if (!std::getline(stream, key) || key.empty()) {
    throw FindingsError({{file, "expected a key on the first line"}});
  }
  return key;
}

uint64_t RandomIncarnation() {
  // Wall time first, so that a later life has the larger number.
  const auto millis =
      static_cast<uint64_t>(WallNow().time_since_epoch().count());
  return (millis << 16) | (std::random_device()() & 0xffff);
}

net::TlsInit TlsOf(const settings::TlsFiles& files) {
  return {files.certificate_file, files.key_file, files.client_ca_file,
          files.ca_file};
}

control::InnerTlsFiles InnerTlsOf(const settings::TlsFiles& files) {
  return {files.certificate_file, files.key_file, files.ca_file};
}

}  // namespace

class Daemon::Impl {
 public:
  Impl(const settings::DaemonSettings& settings, storage::FileSystem* files)
      : m_settings(settings),
        m_files(files),
        m_key(ReadKey(settings.cluster_key_file)),
        m_tokens(settings.operator_tokens_file),
        m_threads(settings.io_threads) {
    if (m_settings.is_control) {
      StartControl();
    }
    if (m_settings.is_entry || !m_settings.operator_address.empty()) {
      StartLink();
    }
    if (!m_settings.caller_address.empty()) {
      StartEntry();
    }
    if (!m_settings.jobs_address.empty()) {
      m_entry_schedule = std::make_unique<EntrySchedule>(m_settings, *m_link);
    }
    if (!m_settings.operator_address.empty()) {
      StartOperators();
    }
  }

  // The parts end in the reverse order of their use: servers, link, entry
  // host, control host, threads.
  ~Impl() {
    m_operator_server.reset();
    m_caller_server.reset();
    if (m_entry != nullptr) {
      m_entry->CloseLink();
    }
    m_entry_schedule.reset();
    m_link.reset();
    m_operator_api.reset();
    m_entry.reset();
    if (m_control_schedule != nullptr) {
      m_control_schedule->Stop();
    }
    m_control.reset();
    m_control_schedule.reset();
  }

  void Reload(const std::string& file) {
    try {
      const settings::DaemonSettings changed =
          settings::ReadDaemonSettings(file);
      std::vector<std::string> addresses;
      for (const settings::ControlPeer& peer : changed.control_peers) {
        addresses.push_back(peer.address);
      }
      if (m_link != nullptr) {
        m_link->LearnControlHosts(addresses);
      }
      PartLog("daemon")->info("{} knows {} control hosts by its settings.",
                              m_settings.name, addresses.size());
    } catch (const FindingsError& error) {
      PartLog("daemon")->error("The changed settings are not taken: {}",
                               error.what());
    }
  }

  bool Drain() {
    const SteadyTime begun = std::chrono::steady_clock::now();
    const SteadyTime end = begun + m_settings.drain_grace - kEndTime;
    if (m_control_schedule != nullptr) {
      m_control_schedule->HandOver();
    } else if (m_control != nullptr) {
      // The slots returned below are reported to the leader that remains.
      HandOverLeadership(*m_control, [this] {
        return m_control->status().consensus.role == consensus::Role::kLeader;
      });
    }
    if (m_entry_schedule != nullptr) {
      m_entry_schedule->LeaveBalancer(end);
    }
    if (m_entry != nullptr) {
      DrainEntry();
    }
    const SteadyTime last = std::chrono::steady_clock::now() + kLastAnswers;
    const bool is_answered =
        net::FinishServers(Servers(), kIdleStay, std::max(end, last));
    return is_answered && (m_entry == nullptr || m_entry->Stats().open == 0);
  }

 private:
  // Returns once nothing runs, or the grace is over; refuses from then on.
  void DrainEntry() {
    m_caller_server->CloseAfterAnswers();
    // Shared, because a promise must outlive its set_value().
    const auto drained = std::make_shared<std::promise<void>>();
    m_entry->Drain([drained] { drained->set_value(); });
    drained->get_future().wait();
  }

  std::vector<net::HttpServer*> Servers() const {
    std::vector<net::HttpServer*> servers;
    if (m_entry_schedule != nullptr) {
      m_entry_schedule->AddServers(servers);
    }
    if (m_control_schedule != nullptr) {
      m_control_schedule->AddServers(servers);
    }
    for (net::HttpServer* server :
         {m_caller_server.get(), m_operator_server.get()}) {
      if (server != nullptr) {
        servers.push_back(server);
      }
    }
    return servers;
  }

  void StartControl() {
    control::ControlHostInit init;
    init.cluster = m_settings.cluster;
    init.cluster_key = m_key;
    init.name = m_settings.name;
    init.availability_zone = m_settings.availability_zone;
    init.data_folder = m_settings.data_folder;
    init.file_system = m_files;
    init.inner_address = m_settings.inner_address;
    init.reached_at = m_settings.inner_reached_at;
    init.may_bootstrap = m_settings.may_bootstrap;
    init.filter = m_filter;
    init.tls = InnerTlsOf(m_settings.inner_tls);
    for (const settings::ControlPeer& peer : m_settings.control_peers) {
      init.first_members.push_back(
          {peer.address, peer.availability_zone, peer.name, true});
    }
    init.admits_newcomers = m_settings.admits_newcomers;
    init.guards_zones = m_settings.guards_zones;
    if (!m_settings.scheduling_address.empty()) {
      m_control_schedule = std::make_unique<ControlSchedule>(m_settings);
      init.schedule = &m_control_schedule->service();
    }
    operations::Operations operations = operations::MakeOperations(
        WallNow, report::OpenTraceFile(m_settings.trace_file));
    m_control = std::make_unique<control::ControlHost>(
        init, std::move(operations.duties), std::move(operations.service));
    if (m_control_schedule != nullptr) {
      m_control_schedule->Start(*m_control);
    }
  }

  void StartLink() {
    control::ControlClientInit init;
    init.cluster = m_settings.cluster;
    init.cluster_key = m_key;
    init.identity = m_identity;
    init.filter = m_filter;
    init.tls = InnerTlsOf(m_settings.inner_tls);
    for (const settings::ControlPeer& peer : m_settings.control_peers) {
      init.control_addresses.push_back(peer.address);
    }
    init.learns_members = !m_settings.seeds.empty();
    m_link = control::MakeControlClient(init);
  }

  void StartEntry() {
    entry::EntryInit init;
    init.identity = m_identity;
    init.availability_zone = m_settings.availability_zone;
    init.balancer_delay = kBalancerDelay;
    init.drain_grace = m_settings.drain_grace;
    init.seed = m_identity.incarnation;
    init.allows_unproven = !settings::IsOffLoopback(m_settings.caller_address);
    m_entry = std::make_unique<entry::EntryHost>(init, m_threads, *m_link);
    net::HttpServerInit server;
    server.address = m_settings.caller_address;
    server.tls = TlsOf(m_settings.caller_tls);
    m_caller_server =
        std::make_unique<net::HttpServer>(m_threads, server, *m_entry);
    m_link->Start(*m_entry);
  }

  void StartOperators() {
    OperatorApiInit init;
    init.link = m_link.get();
    init.timers = &m_threads.timers();
    init.tokens = &m_tokens;
    init.filter = m_filter;
    init.allows_drills = m_settings.allows_drills ||
                         !settings::IsOffLoopback(m_settings.operator_address);
    init.is_healthy = [this] {
      return m_entry == nullptr || m_entry->IsHealthy();
    };
    init.metrics = [this] {
      return MetricsPage({m_entry.get(), m_control.get()});
    };
    init.local_status = [this] { return LocalStatus(); };
    m_operator_api = std::make_unique<OperatorApi>(std::move(init));
    net::HttpServerInit server;
    server.address = m_settings.operator_address;
    server.tls = TlsOf(m_settings.operator_tls);
    m_operator_server =
        std::make_unique<net::HttpServer>(m_threads, server, *m_operator_api);
  }

  std::string LocalStatus() const {
    boost::json::object status{{"name", m_settings.name},
                               {"incarnation", m_identity.incarnation}};
    if (m_entry != nullptr) {
      const entry::EntryStats stats = m_entry->Stats();
      status["entry"] = {{"healthy", m_entry->IsHealthy()},
                         {"settings_version", stats.settings_version},
                         {"view_fresh", stats.is_view_fresh},
                         {"open", stats.open},
                         {"requests", stats.requests}};
    }
    if (m_control != nullptr) {
      const control::ControlStatus control = m_control->status();
      status["control"] = {
          {"id", std::to_string(control.consensus.self.value)},
          {"leads", control.consensus.role == consensus::Role::kLeader},
          {"leader", control.leader_name},
          {"term", control.consensus.term},
          {"applied", control.applied},
          {"waits_for", control.waits_for},
          {"store_failed", control.is_store_failed},
          {"store_unfit", control.is_store_unfit}};
    }
    return boost::json::serialize(status);
  }

  const settings::DaemonSettings m_settings;
  storage::FileSystem* const m_files;
  const std::string m_key;
  const model::EntryIdentity m_identity{m_settings.name, RandomIncarnation()};
  const std::shared_ptr<control::ConnectionFilter> m_filter =
      std::make_shared<control::ConnectionFilter>();
  OperatorTokens m_tokens;
  net::IoThreads m_threads;
  std::unique_ptr<ControlSchedule> m_control_schedule;
  std::unique_ptr<EntrySchedule> m_entry_schedule;
  std::unique_ptr<control::ControlHost> m_control;
  std::unique_ptr<control::ControlLink> m_link;
  std::unique_ptr<entry::EntryHost> m_entry;
  std::unique_ptr<net::HttpServer> m_caller_server;
  std::unique_ptr<OperatorApi> m_operator_api;
  std::unique_ptr<net::HttpServer> m_operator_server;
};

Daemon::Daemon(const settings::DaemonSettings& settings,
               storage::FileSystem* files)
    : m_impl(std::make_unique<Impl>(settings, files)) {}

Daemon::~Daemon() = default;

void Daemon::Reload(const std::string& file) {
  m_impl->Reload(file);
}

bool Daemon::Drain() {
  return m_impl->Drain();
}

}  // namespace laurelhall::daemon
