#include "schedule_part_p.h"

#include <future>
#include <thread>

#include "hand_over_p.h"
#include "laurelhall/base/decision_log.h"
#include "laurelhall/base/log.h"
#include "metrics_p.h"

namespace laurelhall::daemon {

namespace {

// The balancer asks once a second and goes elsewhere after two misses.
constexpr Millis kBalancerSees{2'500};

std::string IpOf(const std::string& address) {
  return address.substr(0, address.rfind(':'));
}

std::string PortOf(const std::string& address) {
  return address.substr(address.rfind(':'));
}

// Counts an answer and the time it took, then hands it on.
dispatch::ReplyDone Measured(ScheduleMetrics& metrics,
                             const dispatch::Request& request,
                             dispatch::ReplyDone done) {
  const auto begun = std::chrono::steady_clock::now();
  return [&metrics, kind = request.index(), begun,
          done = std::move(done)](dispatch::Reply reply) {
    metrics.Answered(
        kind, reply.outcome,
        std::chrono::floor<Millis>(std::chrono::steady_clock::now() - begun));
    done(std::move(reply));
  };
}

std::unique_ptr<net::HttpServer> ServeMetrics(
    net::IoThreads& threads,
    const settings::DaemonSettings& settings,
    ScheduleMetrics& metrics) {
  if (settings.metrics_address.empty()) {
    return nullptr;
  }
  net::HttpServerInit server;
  server.address = settings.metrics_address;
  return std::make_unique<net::HttpServer>(threads, server, metrics);
}

}  // namespace

// --- Control host -----------------------------------------------------------

ControlSchedule::ControlSchedule(const settings::DaemonSettings& settings)
    : m_settings(settings), m_hosts(m_threads, settings.hosts_address) {
  dispatch::DispatcherInit init;
  init.name = settings.name;
  init.bounds = settings.dispatch_bounds;
  init.mechanisms = settings.mechanisms;
  init.timers = &m_threads.timers();
  init.workers = &m_workers;
  init.hosts = &m_hosts;
  init.post = [this](std::function<void()> task) {
    m_threads.Post(std::move(task));
  };
  init.ask_leader = [this](
                        const std::string& request, SteadyTime deadline,
                        std::function<void(std::optional<std::string>)> done) {
    if (m_is_stopped) {
      done(std::nullopt);
      return;
    }
    // Set by now: asked only once a worker's call has come.
    m_host->AskLeader(request, deadline, std::move(done));
  };
  m_dispatcher = std::make_unique<dispatch::Dispatcher>(init);
}

ControlSchedule::~ControlSchedule() {
  Stop();
}

// The API's port is the same on all control hosts.
std::string ControlSchedule::LeaderAddress() const {
  const std::string inner = m_host->leader_address();
  return inner.empty() ? ""
                       : IpOf(inner) + PortOf(m_settings.scheduling_address);
}

void ControlSchedule::Start(control::ControlHost& host) {
  m_host = &host;
  platform::ControlApiInit init;
  init.ask = [this](dispatch::Request request, dispatch::ReplyDone done) {
    auto measured = Measured(m_metrics, request, std::move(done));
    m_dispatcher->Ask(std::move(request), std::move(measured));
  };
  init.is_leading = [this] { return m_dispatcher->is_leading(); };
  init.leader = [this] { return LeaderAddress(); };
  init.own_address = m_settings.scheduling_address;
  m_api = std::make_unique<platform::ControlApi>(std::move(init));
  net::HttpServerInit server;
  server.address = m_settings.scheduling_address;
  m_server = std::make_unique<net::HttpServer>(m_threads, server, *m_api);
  StartRelay();
  m_metrics.SetSource([this] { return m_dispatcher->counters(); });
  m_metrics.SetSchedulerStatus(
      [this] { return m_dispatcher->scheduler_status(); });
  m_metrics.SetControlPage([&host] { return MetricsPage({nullptr, &host}); });
  m_metrics_server = ServeMetrics(m_threads, m_settings, m_metrics);
}

void ControlSchedule::StartRelay() {
  dispatch::OrderRelayInit init;
  init.name = m_settings.name;
  init.availability_zone = m_settings.availability_zone;
  init.timers = &m_threads.timers();
  init.post = [this](std::function<void()> task) {
    m_threads.Post(std::move(task));
  };
  init.ask = [this](const std::string& request, SteadyTime deadline,
                    dispatch::OrderRelayInit::Answered done) {
    m_host->AskLeader(request, deadline, std::move(done));
  };
  init.workers = &m_relayed;
  m_relay = std::make_unique<dispatch::OrderRelay>(init);
}

// The relay ends on its own thread, where its calls come back. Nobody asks the
// host from there on.
void ControlSchedule::Stop() {
  m_metrics_server.reset();
  m_server.reset();
  m_dispatcher->OnLeadershipLost();
  std::promise<void> ended;
  m_threads.Post([this, &ended] {
    m_relay.reset();
    m_is_stopped = true;
    ended.set_value();
  });
  ended.get_future().wait();
}

void ControlSchedule::HandOver() {
  m_threads.Post([this] {
    if (m_relay != nullptr) {
      m_relay->Leave();
    }
  });
  m_server->CloseAfterAnswers();
  const bool still_leads = HandOverLeadership(
      *m_host, [this] { return m_dispatcher->is_leading(); });
  DecisionLog::Get().Write(
      DecisionLine("daemon", "stop")
          .With("name", m_settings.name)
          .With("still_leads", still_leads ? "yes" : "no"));
}

void ControlSchedule::AddServers(std::vector<net::HttpServer*>& servers) const {
  servers.push_back(m_server.get());
  if (m_metrics_server != nullptr) {
    servers.push_back(m_metrics_server.get());
  }
}

// --- Entry host -------------------------------------------------------------

EntrySchedule::EntrySchedule(const settings::DaemonSettings& settings,
                             control::ControlLink& link)
    : m_settings(settings), m_link(link) {
  dispatch::RemoteInit init;
  init.timers = &m_threads.timers();
  init.post = [this](std::function<void()> task) {
    m_threads.Post(std::move(task));
  };
  init.ask = [this](const scheduling::LeaderRequest& request,
                    const control::ControlLink::ScheduleDone& done) {
    m_link.AskSchedule(request, done);
  };
  m_remote = std::make_unique<dispatch::RemoteScheduler>(init);
  m_api = std::make_unique<platform::CallerApi>(
      [this](dispatch::Request request, Millis left, dispatch::ReplyDone done) {
        auto measured = Measured(m_metrics, request, std::move(done));
        m_remote->Ask(std::move(request), left, std::move(measured));
      });
  m_readiness = std::make_unique<platform::ReadinessApi>(
      [this] { return !m_is_draining && m_remote->is_connected(); });
  net::HttpServerInit server;
  server.address = m_settings.jobs_address;
  m_server = std::make_unique<net::HttpServer>(m_threads, server, *m_api);
  server.address = m_settings.readiness_address;
  m_readiness_server =
      std::make_unique<net::HttpServer>(m_threads, server, *m_readiness);
  m_metrics_server = ServeMetrics(m_threads, m_settings, m_metrics);
}

EntrySchedule::~EntrySchedule() = default;

void EntrySchedule::LeaveBalancer(SteadyTime end) {
  m_is_draining = true;
  m_server->CloseAfterAnswers();
  const SteadyTime seen = std::chrono::steady_clock::now() + kBalancerSees;
  std::this_thread::sleep_until(std::min(seen, end));
  DecisionLog::Get().Write(
      DecisionLine("daemon", "stop")
          .With("name", m_settings.name)
          .With("connections_left", m_server->connection_count()));
}

void EntrySchedule::AddServers(std::vector<net::HttpServer*>& servers) const {
  servers.push_back(m_server.get());
  servers.push_back(m_readiness_server.get());
  if (m_metrics_server != nullptr) {
    servers.push_back(m_metrics_server.get());
  }
}

}  // namespace laurelhall::daemon
