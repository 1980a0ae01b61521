#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "laurelhall/base/timer_service.h"
#include "laurelhall/dispatch/ports.h"
#include "laurelhall/dispatch/request.h"
#include "laurelhall/scheduling/data_locality.h"
#include "laurelhall/scheduling/log_service.h"
#include "laurelhall/scheduling/mechanism.h"

namespace laurelhall::dispatch {

/// Time bounds set by the deployment.
struct DispatchBounds {
  Millis longest_lease{6'000};  ///< The longest lease that workers grant.
  Millis maintenance{2'000};    ///< How long maintenance keeps a host down.
  Millis job_memory{150'000};   ///< How long an ended job is remembered.
  /// How long a leader may act after a quorum confirmed it: the log's shortest
  /// election timeout, 600 ms, less a margin for clock and rounding errors.
  Millis leader_lease{500};
  /// How many times as long a task takes away from the rack of its data.
  double remote_data_factor = scheduling::kDefaultRemoteDataFactor;
};

/// When calls to workers are made by relays, and by how many of them.
struct RelayBounds {
  /// Up to this many workers are called by the leader itself; starting tasks
  /// on them leaves it enough processor time.
  size_t max_direct_workers = 128;
  /// One relay is added per this many workers, as long as there are control
  /// hosts to take the role.
  size_t workers_per_relay = 48;
  /// The most connections to workers that a leader opens before its relays have
  /// joined: a quarter of a small host's file descriptors.
  size_t max_direct_connections = 1'024;
};

/// Event counts since the process started.
struct DispatchCounters {
  uint64_t starts = 0;
  uint64_t ends = 0;
  uint64_t stops = 0;
  uint64_t holds = 0;
  uint64_t jobs = 0;
  uint64_t lapses = 0;
  uint64_t unknown_calls = 0;
  uint64_t crashes = 0;   ///< Workers that went down without announcing it.
  uint64_t given_up = 0;  ///< Jobs ended because a task crashes its workers.
  /// Visits of workers in searches for calls, lapses and removals that are due.
  uint64_t worker_visits = 0;
  /// Visits of runs in searches for those to stop and for orders to repeat.
  uint64_t run_visits = 0;
  /// Visits of hosts of waves in searches for those to advance.
  uint64_t wave_host_visits = 0;
  uint64_t relay_requests = 0;  ///< That relays sent to this host.
  /// Announcements of workers that count as ended, which are never used again.
  uint64_t ended_announcements = 0;
  /// Submissions refused because the job would be late, by verdict.
  uint64_t refused_beyond_share = 0;
  uint64_t refused_excess = 0;
  uint64_t refused_too_early = 0;
  /// Cancels of jobs that were not known, and those of them that were refused
  /// as too many are held.
  uint64_t early_cancels = 0;
  uint64_t refused_early_cancels = 0;
};

/// A count labelled with the name of what is counted.
struct NamedCount {
  const char* name;  ///< Has static storage duration.
  uint64_t count = 0;
};

/// A leader's view of its work, at most one second old. All values are 0 on a
/// host that does not lead.
struct SchedulerStatus {
  Millis tick_lag{0};         ///< How late its timer ticks come.
  uint64_t relays = 0;        ///< Hosts that call workers for the leader.
  uint64_t open_jobs = 0;     ///< Neither ended nor cancelled.
  uint64_t waiting_jobs = 0;  ///< Open for a second without a running task.
  std::vector<NamedCount> workers;  ///< By whether they may be given work.
  /// A few of the jobs that have waited longest, by what they wait for.
  std::vector<NamedCount> waits;

  /// Sets all values to 0 and keeps the names of the counts, so that a metric
  /// of each name goes on being exported, with 0 instead of its last value.
  void Clear();
};

/// Disables single safety steps, so that tests can show that each is needed.
struct DispatchMutations {
  /// Acknowledges the end of a run to its worker before that is committed.
  bool is_end_acknowledged_early = false;
  /// Treats the runs of a silent worker as ended before its lease runs out.
  bool is_lease_ignored = false;
  /// Forgets a start that was not answered, without stopping the run first.
  bool is_unanswered_start_forgotten = false;
  /// Sends orders with an outdated fence.
  bool is_fence_outdated = false;
  /// Acts without a recent confirmation by a quorum.
  bool is_leadership_assumed = false;
  /// Accepts a relay's results of an earlier term.
  bool is_relay_term_ignored = false;
  /// Assumes that a lost relay sent none of the orders that it was given.
  bool is_relayed_order_assumed_unsent = false;
  /// Takes all incarnations of a worker with the same id for one.
  bool is_incarnation_ignored = false;
  /// Checks an organisation's cap when it plans a start, not when it sends it.
  bool is_cap_checked_for_plans_only = false;
  /// Starts runs on a worker by its committed capacity, however old that is.
  bool is_capacity_age_ignored = false;
};

struct DispatcherInit {
  std::string name;  ///< Of this daemon; names the holder in acts on hosts.
  DispatchBounds bounds;
  RelayBounds relays;
  TimerService* timers = nullptr;  ///< Runs callbacks on the dispatch thread.
  WorkerPort* workers = nullptr;
  HostAdminPort* hosts = nullptr;
  /// Queues a function for the dispatch thread. Thread-safe.
  std::function<void(std::function<void()>)> post;
  /// Sends one request to the leader when that is another host, without a
  /// retry. `done` may be called on any thread, with no value when there was no
  /// answer. Empty: announcements to this host are not forwarded.
  std::function<void(const std::string& request,
                     SteadyTime deadline,
                     std::function<void(std::optional<std::string>)> done)>
      ask_leader;
  std::function<WallTime()> wall_now = WallNow;
  std::function<BootTime()> boot_now = BootClock::now;
  scheduling::MechanismSet mechanisms;
  DispatchMutations mutations;  ///< None in production.
};

/// The scheduler of one control host. Answers requests, and while this host is
/// the leader, starts, monitors and stops tasks.
///
/// @remarks All work is done on the dispatch thread, which is that of the
///   timers. LogService's functions and Handle() may be called on any thread.
///   Every start, end and cancellation is committed before it is acted on or
///   reported, with the leader's term as fence, so that the next leader knows
///   every run that may exist.
class Dispatcher final : public scheduling::LogService {
 public:
  explicit Dispatcher(const DispatcherInit& init);
  ~Dispatcher() override;

  void Attach(scheduling::ReplicatedLog& log) override;
  void OnLeadershipGained(uint64_t term) override;
  void OnLeadershipLost() override;
  void Handle(std::string request,
              std::function<void(std::string)> done) override;

  /// Answers a request that came to this daemon. Thread-safe. `done` is called
  /// once, on the dispatch thread.
  void Ask(Request request, ReplyDone done);

  bool is_leading() const;

  /// As of the last update by the dispatch thread. Thread-safe.
  DispatchCounters counters() const;

  /// As of the last update by the dispatch thread. Thread-safe.
  SchedulerStatus scheduler_status() const;

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace laurelhall::dispatch
