#pragma once

#include <atomic>
#include <memory>
#include <vector>

#include "laurelhall/control/control_client.h"
#include "laurelhall/control/control_host.h"
#include "laurelhall/dispatch/dispatcher.h"
#include "laurelhall/dispatch/order_relay.h"
#include "laurelhall/dispatch/remote.h"
#include "laurelhall/net/http.h"
#include "laurelhall/net/io_threads.h"
#include "laurelhall/settings/daemon_settings.h"
#include "platform/caller_api.h"
#include "platform/control_api.h"
#include "platform/worker_calls.h"
#include "schedule_metrics_p.h"

namespace laurelhall::daemon {

/// The scheduling of a control host: decisions, calls to workers, also in the
/// name of another one that leads, and the API that workers and operators call.
///
/// @remarks Made before the control host, which it is given to; started after.
class ControlSchedule {
 public:
  explicit ControlSchedule(const settings::DaemonSettings& settings);
  ~ControlSchedule();

  scheduling::LogService& service() { return *m_dispatcher; }

  /// Takes callers from now on. `host` outlives Stop().
  void Start(control::ControlHost& host);

  /// Hands leadership over, and waits a little until another host leads.
  ///
  /// @pre Start() was called. Not called on one of the threads of this.
  void HandOver();

  /// Adds the servers of this, which take requests until Stop().
  void AddServers(std::vector<net::HttpServer*>& servers) const;

  /// Takes no more callers and decides nothing more; the host may end then.
  void Stop();

  dispatch::DispatchCounters counters() const {
    return m_dispatcher->counters();
  }

 private:
  std::string LeaderAddress() const;
  void StartRelay();

  const settings::DaemonSettings m_settings;
  net::IoThreads m_threads{1};  // All of it runs on one thread.
  platform::WorkerCalls m_workers{m_threads};
  platform::WorkerCalls m_relayed{m_threads};  // In another's name.
  platform::HostCalls m_hosts;
  std::unique_ptr<dispatch::Dispatcher> m_dispatcher;
  std::unique_ptr<dispatch::OrderRelay> m_relay;  // From Start() to Stop().
  std::unique_ptr<platform::ControlApi> m_api;
  ScheduleMetrics m_metrics;
  std::unique_ptr<net::HttpServer> m_metrics_server;
  std::unique_ptr<net::HttpServer> m_server;
  control::ControlHost* m_host = nullptr;
  bool m_is_stopped = false;  // On the one thread only.
};

/// The scheduling of an entry host: callers' jobs, passed on to the leader.
class EntrySchedule {
 public:
  /// @param link Outlives this.
  EntrySchedule(const settings::DaemonSettings& settings,
                control::ControlLink& link);
  ~EntrySchedule();

  /// Tells the balancer to go elsewhere and waits until it has seen that, or
  /// until `end`. Requests are served meanwhile and after.
  ///
  /// @pre Not called on one of the threads of this.
  void LeaveBalancer(SteadyTime end);

  /// Adds the servers of this, which take requests as long as it lives.
  void AddServers(std::vector<net::HttpServer*>& servers) const;

 private:
  const settings::DaemonSettings m_settings;
  control::ControlLink& m_link;
  net::IoThreads m_threads{1};
  std::unique_ptr<dispatch::RemoteScheduler> m_remote;
  std::atomic<bool> m_is_draining{false};
  std::unique_ptr<platform::CallerApi> m_api;
  std::unique_ptr<platform::ReadinessApi> m_readiness;
  ScheduleMetrics m_metrics;
  std::unique_ptr<net::HttpServer> m_server;
  std::unique_ptr<net::HttpServer> m_readiness_server;
  std::unique_ptr<net::HttpServer> m_metrics_server;
};

}  // namespace laurelhall::daemon
