#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "laurelhall/scheduling/data_locality.h"
#include "laurelhall/scheduling/fair_shares.h"
#include "laurelhall/scheduling/ledger.h"
#include "laurelhall/scheduling/mechanism.h"

namespace laurelhall::scheduling {

/// The leader's own view of a worker, which is not part of the committed
/// ledger.
struct WorkerStatus {
  /// Was reached lately, is not leaving, and may be given work.
  bool is_usable = false;
  /// Lately failed tasks of a kind that succeeds on other workers.
  bool is_unreliable = false;
  /// Its host is to be taken down before long.
  bool is_shutdown_due = false;
  /// A task that may crash the worker has just been started there. No other
  /// task is placed beside it.
  bool is_quarantined = false;
  /// Every run that is active there has been seen at work.
  bool all_runs_seen = false;
};

/// What a plan is computed from.
struct PlanInput {
  const Ledger& ledger;
  SteadyTime now{};
  WallTime wall_now{};
  /// Called only for workers of services that have a task to start.
  std::function<WorkerStatus(const Worker&)> status_of;
  /// When the leader first saw each job, by job. Deadlines count from there.
  const std::unordered_map<std::string, SteadyTime>& first_seen_at;
  /// Time that the leader itself adds to each step of a job: from the end of a
  /// task to the start of one that waits for it, its run time aside.
  Millis step_delay{0};
  /// The leader's processor is what starts wait for.
  bool is_leader_busy = false;
};

/// The work of a job that is not done yet, without persistent tasks.
struct PendingWork {
  double core_milliseconds = 0;
  double ready_core_milliseconds = 0;  ///< The part of it that could start.
  /// Of tasks that run, by their whole run time.
  double running_core_milliseconds = 0;
  Millis left{0};  ///< Time until the job should be done.
  /// The job can no longer be done in time to be of use to its caller.
  bool is_hopeless = false;
};

/// What a submitted job is expected to take.
struct JobForecast {
  double work = 0;  ///< In core-milliseconds, without persistent tasks.
  Millis critical_path{0};
  Millis objective{0};  ///< From its submission until it should be done.
  Millis useful{0};     ///< Until it is of no more use to its caller.
};

/// Why the next plan would start no task of a step that is ready to go on.
enum class StartObstacle : uint8_t {
  kNone,            ///< Nothing: the next plan can start it.
  kDeferred,        ///< The last start was refused; a retry delay is running.
  kBeingCommitted,  ///< Its start is planned and is being committed.
  kGangIncomplete,  ///< Some members still run or are being committed.
  kNoWorker,        ///< No worker of the service may be given work.
  kNoRoom,          ///< The workers that may be given work lack the capacity.
  kNotAllowed,      ///< A rule excludes every worker with room: its label, rack
                    ///< or spread limit, or the caution on a last attempt.
  kNoEmptyWorker,  ///< The task may crash its worker, so it needs an empty one,
                   ///< and there is none.
  kOverCap,        ///< Its organisation already runs all that its cap allows.
  kCount,
};

/// The value of an obstacle in log lines.
const char* StartObstacleName(StartObstacle obstacle);

/// What keeps an open step from starting its next task.
struct StartDiagnosis {
  uint32_t occurrence = 0;
  uint32_t step = 0;
  uint32_t tasks = 0;  ///< Tasks that are neither done nor running.
  StartObstacle obstacle = StartObstacle::kNone;
  uint32_t workers = 0;    ///< Workers of the service that may be given work.
  uint32_t with_room = 0;  ///< Those of them with room for a task of the step.
};

/// The last attempt of a task, planned on a worker that may have caused its
/// earlier failures, as no other took it.
struct RiskyStart {
  RunStarted start;
  Millis waited{0};  ///< For another worker.
};

/// How much a plan examined.
struct PlanCost {
  uint64_t steps = 0;   ///< Steps with tasks that could start.
  uint64_t places = 0;  ///< Workers compared, counted once for each task.
  uint64_t starts_on_time = 0;  ///< Of jobs that can still be on time.
  uint64_t starts_late = 0;     ///< Of jobs that can't.
};

/// Decides which tasks start on which workers.
///
/// @remarks Has no side effects beyond its own state; not thread-safe. Keeps a
///   reservation for each planned start until the caller releases it, so that
///   no task is planned twice while its start is being committed.
class Planner {
 public:
  /// @param remote_data_factor How many times as long a task takes away from
  ///   the rack of its data, or a gang that asks for one rack on several.
  explicit Planner(const MechanismSet& mechanisms = {},
                   double remote_data_factor = kDefaultRemoteDataFactor)
      : m_mechanisms(mechanisms), m_remote_data_factor(remote_data_factor) {}

  /// Returns the starts to commit now, in order, and reserves their room.
  std::vector<RunStarted> Plan(const PlanInput& input);

  /// The cost of the last plan.
  const PlanCost& cost() const { return m_cost; }

  /// The starts of the last plan that may fail where their tasks failed before.
  const std::vector<RiskyStart>& risky_starts() const { return m_risky_starts; }

  /// What the last plan divided, by service. Pools with room for all are not
  /// divided.
  const std::map<std::string, PoolShares>& shares() const { return m_shares; }

  /// Releases the reservation of a planned start, once the start is applied or
  /// will never be.
  void ReleaseReservation(const RunStarted& start);

  /// Whether the reservation of a start on a worker is held. A commit takes
  /// longer while the leader is short of processor time.
  bool HasReservationOn(const std::string& worker) const;

  /// The work of a job that is not running yet, and the time left for it.
  PendingWork Waiting(const Ledger& ledger,
                      const Job& job,
                      SteadyTime first_seen_at,
                      SteadyTime now) const;

  /// How long a job may wait in all and still be done by its deadline.
  Millis Slack(const Ledger& ledger, const Job& job) const;

  /// The expected run time of a task of a job's step: the estimate, corrected
  /// by what was learned of the queue.
  Millis EstimatedRunTime(const Job& job, uint32_t step) const;

  /// The expected work of a whole job in core-milliseconds, without persistent
  /// tasks.
  double EstimatedWork(const Job& job) const;

  /// The same for a job that is not accepted yet.
  JobForecast Forecast(const JobSpec& spec, const QueueSpec& queue) const;

  /// Learns from a task of a queue how long it took compared with its estimate.
  void Learn(const std::string& queue, Millis estimate, Millis taken);

  /// Tells why the first open step of a job that has tasks left to start does
  /// not start them; nothing when there is no such step. Meant for reports:
  /// visits all workers.
  std::optional<StartDiagnosis> Explain(const PlanInput& input,
                                        const Job& job) const;

  /// Plans no start of a job before `until`, because a worker refused its last
  /// one.
  void Defer(const std::string& job, SteadyTime until);

 private:
  struct Candidate;
  class Placement;
  enum class ShareLimit : uint8_t;
  /// A step's part in the division of its pool.
  struct ShareOfStep {
    PoolShares* pool = nullptr;
    PoolShares::Claim claim = 0;
    BegunStep begun;
    uint32_t first_task = 0;  // Earlier tasks had their turn in this plan.
  };

  std::vector<Candidate> CollectCandidates(const PlanInput& input) const;
  void AddCandidate(const PlanInput& input,
                    const Job& job,
                    uint32_t occurrence,
                    uint32_t step,
                    std::vector<Candidate>& out) const;
  void PromoteStarvedSuspects(SteadyTime now,
                              std::vector<Candidate>& candidates) const;
  static std::span<Candidate> LimitLateWork(std::span<Candidate> candidates,
                                            size_t starts);
  static void PlaceClass(std::span<Candidate> candidates,
                         Placement& placement,
                         std::vector<RunStarted>& out);
  bool UsesShares(const Ledger& ledger) const;
  void DivideFullPools(const Ledger& ledger,
                       std::span<Candidate> candidates,
                       Placement& placement);
  void CollectClaims(std::span<Candidate> candidates);
  void AddHolders(const Ledger& ledger,
                  const std::string& service,
                  PoolShares& pool) const;
  uint32_t CountStartableTasks(const Candidate& candidate) const;
  double RunTimeRatio(const std::string& queue) const;
  std::vector<uint32_t> StartableTasks(const Candidate& candidate) const;
  SteadyTime DeadlineOf(const QueueSpec* queue,
                        const Job& job,
                        SteadyTime first_seen_at) const;
  bool IsOverloaded(const std::string& service, SteadyTime now) const;
  void NoteMissed(SteadyTime now, const std::vector<Candidate>& candidates);
  void PruneLastAttempts(const Ledger& ledger);
  Millis RemainingTime(const Job& job, uint32_t occurrence) const;
  bool IsHopeless(const Job& job,
                  uint32_t occurrence,
                  SteadyTime deadline,
                  SteadyTime now) const;
  StartDiagnosis DiagnoseStep(const PlanInput& input,
                              const Job& job,
                              uint32_t occurrence,
                              uint32_t step) const;

  /// The workers of a service; valid until the ledger's workers change.
  const std::vector<const Worker*>& WorkersOf(const Ledger& ledger,
                                              const std::string& service);

  MechanismSet m_mechanisms;
  Millis m_step_delay{0};  // As of the last plan.
  double m_remote_data_factor;
  PlanCost m_cost;
  /// The ledger and its workers_version() that m_workers_of was built from.
  std::pair<const Ledger*, uint64_t> m_workers_source{nullptr, 0};
  std::unordered_map<std::string, std::vector<const Worker*>> m_workers_of;

  /// The worker of each task with a reservation.
  std::map<TaskId, std::string> m_reserved_worker;
  /// How many of a job's tasks are in m_reserved_worker.
  std::unordered_map<std::string, uint32_t> m_reserved_tasks;
  std::unordered_map<std::string, Resources> m_reserved_room;  // By worker.
  /// What a planned start will take.
  struct Reservation {
    Resources room;  // On its worker.
    Resources need;  // Of its organisation's cap.
    std::string organisation;
    std::string service;  // Empty for a persistent task.
  };
  std::map<std::pair<TaskId, uint32_t>, Reservation> m_reservations;  // By run.
  /// What planned starts will take of each organisation's cap.
  std::unordered_map<std::string, Resources> m_reserved_of_cap;
  /// What planned starts will take, without persistent tasks, by service.
  std::unordered_map<std::string, PoolUse> m_reserved_in_pool;
  /// Suspects with a reservation, by worker.
  std::map<std::string, std::set<TaskId>> m_reserved_suspects;

  /// Workers that take no tasks but suspects, so that they become empty for
  /// these; by service.
  std::map<std::string, std::set<std::string>> m_cordoned;
  // By the last plan.
  std::map<std::string, std::set<std::string>> m_previously_cordoned;
  /// Since when each suspect has waited for an empty worker.
  std::map<TaskId, SteadyTime> m_suspect_waits;
  std::map<TaskId, SteadyTime> m_previous_suspect_waits;  // At the last plan.
  /// Since when each last attempt has waited for a worker that can't have
  /// caused the failures; by task, for a gang by its first one. Kept until the
  /// task is done, so that a refused start does not begin another wait.
  std::map<TaskId, SteadyTime> m_last_attempts;
  std::vector<RiskyStart> m_risky_starts;        // Of the last plan.
  std::map<std::string, SteadyTime> m_deferred;  // Until when, by job.
  /// When a job last became late before its first start, by service.
  std::map<std::string, SteadyTime> m_missed_at;
  std::map<std::string, PoolShares> m_shares;  // Of the last plan, by service.
  std::vector<ShareOfStep> m_shares_of_steps;  // Used within a plan only.
  /// Actual over estimated run time, by queue.
  std::map<std::string, double> m_run_time_ratios;
};

/// The estimated run time along the longest chain of dependent steps of an
/// occurrence, in which steps that are done count nothing.
///
/// @param step_delay Counted in addition for each other step.
Millis RemainingCriticalPath(const Job& job,
                             uint32_t occurrence,
                             Millis step_delay = Millis(0));

}  // namespace laurelhall::scheduling
