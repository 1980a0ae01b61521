#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "laurelhall/base/time.h"
#include "laurelhall/model/json.h"

// What the operator's fleet is made of. All are plain described values: they
// stand in the replicated state, in answers to operators and in traces.
namespace laurelhall::model {

/// Where a host is in its life; the transitions are in planning/lifecycle.h.
enum class HostState {
  kAnnounced,      ///< Known, in no pool's capacity yet.
  kInPool,         ///< Serves its pool.
  kDraining,       ///< Takes no new work; what runs finishes.
  kDrained,        ///< Confirmed empty.
  kInMaintenance,  ///< Handed to the platform for maintenance or reboot.
  kReturning,      ///< Back and warming up; not yet capacity.
  kFailed,         ///< Silent, or fails what it starts.
  kRetired,        ///< Gone for good.
  kCount,
};
BOOST_DESCRIBE_ENUM(HostState,
                    kAnnounced,
                    kInPool,
                    kDraining,
                    kDrained,
                    kInMaintenance,
                    kReturning,
                    kFailed,
                    kRetired)

/// Why a host drains, which decides where it goes once it is empty.
enum class DrainReason {
  kNone,
  kMaintenance,
  kMove,
  kRollout,
  kOperator,
  kRetire,
  kCount
};
BOOST_DESCRIBE_ENUM(DrainReason,
                    kNone,
                    kMaintenance,
                    kMove,
                    kRollout,
                    kOperator,
                    kRetire)

/// What can happen to a host; each is a row in the lifecycle's table.
enum class HostEvent {
  kJoin,          ///< Announced host enters its pool's capacity.
  kDrain,         ///< Start draining, with a reason.
  kConfirmEmpty,  ///< Nothing runs there any more.
  kCancelDrain,
  kStopForMaintenance,
  kMovePool,  ///< The one transition that changes the pool.
  kReturn,    ///< Back from maintenance, move or failure; warms up.
  kWarm,      ///< Warmed up: capacity again.
  kFail,
  kRetire,
  kCount,
};
BOOST_DESCRIBE_ENUM(HostEvent,
                    kJoin,
                    kDrain,
                    kConfirmEmpty,
                    kCancelDrain,
                    kStopForMaintenance,
                    kMovePool,
                    kReturn,
                    kWarm,
                    kFail,
                    kRetire)

/// Processors, memory and accelerators of a worker, or what a job asks for.
struct Resources {
  double processors = 0;
  double memory_gb = 0;
  int accelerators = 0;

  friend bool operator==(const Resources&, const Resources&) = default;
};
BOOST_DESCRIBE_STRUCT(Resources, (), (processors, memory_gb, accelerators))

/// One host. It belongs to exactly one pool at any moment (`pool`).
struct Host {
  std::string id;
  std::string pool;
  std::string rack;
  std::string availability_zone;
  std::string region;
  Resources capacity;
  HostState state = HostState::kAnnounced;
  uint64_t epoch = 0;  ///< Grows with each transition; fences late acts.
  DrainReason drain_reason = DrainReason::kNone;
  std::string move_to;  ///< The pool a drained host joins; empty if none.
  std::string act;      ///< Id of the wave, roll-out or move that holds it.
  std::string version;  ///< Software version in force on the host.
  std::string install;  ///< Version to come back with; empty if as it was.
  WallTime state_since{};
  WallTime last_maintained{};
  WallTime last_seen{};
  WallTime last_moved{};   ///< When it last changed its pool; for damping.
  std::string moved_from;  ///< The pool it left then.
};
BOOST_DESCRIBE_STRUCT(Host,
                      (),
                      (id,
                       pool,
                       rack,
                       availability_zone,
                       region,
                       capacity,
                       state,
                       epoch,
                       drain_reason,
                       move_to,
                       act,
                       version,
                       install,
                       state_since,
                       last_maintained,
                       last_seen,
                       last_moved,
                       moved_from))

/// A pool of hosts, from the settings tree.
struct Pool {
  std::string name;
  int target_hosts = 0;  ///< Hosts that the load needs, without buffer.
  bool may_lend = true;  ///< Whether its buffer hosts may serve other pools.
  Resources host_shape;  ///< A host that may join offers at least this.
  Millis maintenance_period{std::chrono::hours(24 * 28)};
  Millis drain_timeout{std::chrono::minutes(30)};
  Millis warm_up{std::chrono::minutes(1)};
};
BOOST_DESCRIBE_STRUCT(Pool,
                      (),
                      (name,
                       target_hosts,
                       may_lend,
                       host_shape,
                       maintenance_period,
                       drain_timeout,
                       warm_up))

/// A service and its availability budget, from the settings tree.
struct Service {
  std::string name;
  std::string organisation;        ///< Empty for a shared service.
  std::vector<std::string> pools;  ///< Pools whose hosts run it.
  int min_available = 0;  ///< Hosts that must be available at any moment.
  double max_away_share = 0.25;  ///< Of its hosts, planned and failed together.
  double objective = 0.999;      ///< Availability objective over the window.
  Millis objective_window{std::chrono::hours(24 * 28)};
};
BOOST_DESCRIBE_STRUCT(Service,
                      (),
                      (name,
                       organisation,
                       pools,
                       min_available,
                       max_away_share,
                       objective,
                       objective_window))

/// How urgent a job is; also the order of request admission.
enum class Priority {
  kUrgent,    ///< Somebody waits at the counter.
  kStandard,  ///< Long valuations.
  kBatch,     ///< Overnight reconciliation.
  kCount,
};
BOOST_DESCRIBE_ENUM(Priority, kUrgent, kStandard, kBatch)

enum class JobState {
  kQueued,
  kRunning,
  kCheckpointing,
  kSucceeded,
  kFailed,
  kCancelled,
  kCount,
};
BOOST_DESCRIBE_ENUM(JobState,
                    kQueued,
                    kRunning,
                    kCheckpointing,
                    kSucceeded,
                    kFailed,
                    kCancelled)

/// A job on workers, as submitted and as seen.
struct Job {
  std::string id;
  std::string team;  ///< Whose quota it uses: an organisation or a team.
  std::string pool;
  Priority priority = Priority::kStandard;
  Resources declared;
  Millis declared_run_time{0};
  WallTime submitted{};
  WallTime deadline{};
  bool can_checkpoint = false;
  JobState state = JobState::kQueued;
  std::string host;    ///< The worker it runs on; empty if none.
  uint64_t lease = 0;  ///< Grows with each placement; fences late reports.
  WallTime started{};
  Millis work_done{0};  ///< Run time kept by the last checkpoint.
  int attempts = 0;
  double throttle = 1;       ///< Share of its processors that it is given.
  std::string reason;        ///< Why it waits, failed or was refused.
  std::string kind;          ///< What it does; estimates are learned per kind.
  Resources reserved;        ///< What its worker holds for it while it runs.
  bool is_stopping = false;  ///< Its worker was told to stop it.
  WallTime state_since{};    ///< Of its last start, checkpoint or stop.
  WallTime not_before{};     ///< Not started earlier, after a failure.
  int failures = 0;          ///< Runs that failed.
  Resources peak;            ///< The most that its ended runs used.
  std::vector<std::string> failed_on;  ///< Distinct workers it failed on.
};
BOOST_DESCRIBE_STRUCT(Job,
                      (),
                      (id,
                       team,
                       pool,
                       priority,
                       declared,
                       declared_run_time,
                       submitted,
                       deadline,
                       can_checkpoint,
                       state,
                       host,
                       lease,
                       started,
                       work_done,
                       attempts,
                       throttle,
                       reason,
                       kind,
                       reserved,
                       is_stopping,
                       state_since,
                       not_before,
                       failures,
                       peak,
                       failed_on))

/// A team's part of the fleet.
struct Quota {
  std::string team;
  Resources guaranteed;
  bool may_borrow = true;
};
BOOST_DESCRIBE_STRUCT(Quota, (), (team, guaranteed, may_borrow))

enum class ActState {
  kRunning,
  kPaused,
  kDone,
  kHalted,
  kRollingBack,
  kCancelled,
  kCount
};
BOOST_DESCRIBE_ENUM(ActState,
                    kRunning,
                    kPaused,
                    kDone,
                    kHalted,
                    kRollingBack,
                    kCancelled)

/// A maintenance wave over pools.
struct Wave {
  std::string id;
  std::vector<std::string> pools;
  WallTime started{};
  WallTime finish_by{};
  ActState state = ActState::kRunning;
  std::string reason;                ///< Why it is paused or halted.
  std::vector<std::string> pending;  ///< Hosts still to do, in plan order.
  std::vector<std::string> active;
  std::vector<std::string> done;
  std::vector<std::string> postponed;
  std::vector<std::string> given_up;  ///< Never became empty; reported.
  std::map<std::string, int> tries;   ///< Drains that came to nothing.
  bool is_held = false;  ///< Paused by an operator, who alone resumes it.

  friend bool operator==(const Wave&, const Wave&) = default;
};
BOOST_DESCRIBE_STRUCT(Wave,
                      (),
                      (id,
                       pools,
                       started,
                       finish_by,
                       state,
                       reason,
                       pending,
                       active,
                       done,
                       postponed,
                       given_up,
                       tries,
                       is_held))

/// A roll-out of one version over the hosts of a service.
struct Rollout {
  std::string id;
  std::string service;
  std::string version;
  std::string previous_version;
  WallTime started{};
  ActState state = ActState::kRunning;
  std::string reason;
  int stage = 0;  ///< 0 is the canary; each stage widens.
  WallTime stage_started{};
  Millis bake{0};  ///< How long an early stage is watched; 0: the default.
  std::vector<std::string> pending;
  std::vector<std::string> active;
  std::vector<std::string> done;
  std::vector<std::string> postponed;
  std::vector<std::string> given_up;  ///< Never became empty; reported.
  std::map<std::string, int> tries;   ///< Drains that came to nothing.
  bool is_held = false;  ///< Paused by an operator, who alone resumes it.

  friend bool operator==(const Rollout&, const Rollout&) = default;
};
BOOST_DESCRIBE_STRUCT(Rollout,
                      (),
                      (id,
                       service,
                       version,
                       previous_version,
                       started,
                       state,
                       reason,
                       stage,
                       stage_started,
                       bake,
                       pending,
                       active,
                       done,
                       postponed,
                       given_up,
                       tries,
                       is_held))

/// Weights of the three measures; a deployment's own.
struct MeasureWeights {
  double buffer = 1;
  double rollout_time = 1;
  double host_moves = 1;
};
BOOST_DESCRIBE_STRUCT(MeasureWeights, (), (buffer, rollout_time, host_moves))

/// All that planning decides on, read from one committed state.
struct Fleet {
  std::map<std::string, Host> hosts;
  std::map<std::string, Pool> pools;
  std::map<std::string, Service> services;
  std::map<std::string, Wave> waves;
  std::map<std::string, Rollout> rollouts;
  std::map<std::string, Job> jobs;
  std::map<std::string, Quota> quotas;
  MeasureWeights weights;
};
BOOST_DESCRIBE_STRUCT(
    Fleet,
    (),
    (hosts, pools, services, waves, rollouts, jobs, quotas, weights))

}  // namespace laurelhall::model
