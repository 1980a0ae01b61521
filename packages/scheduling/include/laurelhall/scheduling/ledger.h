#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "laurelhall/scheduling/organisation.h"
#include "laurelhall/scheduling/record.h"

namespace laurelhall::scheduling {

/// A run that was started and whose end is not committed yet.
struct ActiveRun {
  uint32_t run = 0;
  std::string worker;
  bool is_of_earlier_incarnation =
      false;                 ///< Started on an earlier incarnation.
  bool is_proven = false;    ///< Active for too long to be a crash's cause.
  bool is_assessed = false;  ///< The crash of its worker is already counted.
};

/// The state of one task of an occurrence.
struct Task {
  bool is_done = false;
  bool was_started = false;  ///< At least one run was started.
  uint32_t last_run = 0;
  /// Number of runs that ended with kFailed. The first task of a gang counts
  /// the runs of the gang in which at least one member failed.
  uint32_t failures = 0;
  uint32_t last_failed_run = 0;  ///< Of a gang's first task: the last counted.
  std::string failed_on;         ///< The worker of the last failure.
  std::string checkpoint;  ///< The next run resumes from it; may be empty.
  std::vector<ActiveRun> active;
  std::vector<std::string> crashed;  ///< Workers that crashed while it ran.
  uint32_t blame = 0;                ///< Sum over these crashes; see crash.h.
  /// Number of workers whose lease expired while it ran there, and of which it
  /// is not known yet whether they crashed.
  uint32_t unresolved_lapses = 0;
  bool is_given_up = false;  ///< Is not started again; its job may go on.

  /// Whether it is to be started on a worker without other runs.
  bool IsSuspect() const;

  /// Whether so many workers may have crashed while it ran that it must have a
  /// worker to itself until it ends.
  bool IsIsolated() const;

  /// Whether so many workers may have crashed while it ran that it must not be
  /// started before the outcome of the unresolved ones is known.
  bool IsHeldBack() const;
};

/// A job and all of its tasks.
struct Job {
  std::string id;
  std::string queue;
  std::string service;
  std::string organisation;  ///< Empty: submitted to an open queue.
  bool is_excess = false;    ///< Above the organisation's guaranteed job rate.
  WallTime accepted_at{};
  JobSpec spec;
  JobState state = JobState::kQueued;
  std::vector<Task> tasks;  ///< Ordered by occurrence, step and index.

  /// Workers crashed, or may have, while some of its tasks ran: IsSuspect() may
  /// hold for these tasks.
  bool may_have_suspects = false;
  uint32_t tasks_left = 0;  ///< Number of tasks that are not done.
  uint32_t active_runs = 0;
  /// Number of tasks that are not done, by occurrence and step.
  std::vector<uint32_t> tasks_left_by_step;
  /// Index of the first task of each step within an occurrence.
  std::vector<uint32_t> step_offset;
  uint32_t occurrence_size = 0;  ///< Number of tasks in an occurrence.

  bool is_over() const { return state >= JobState::kSucceeded; }
  bool has_persistent_tasks() const;  ///< Whether it has persistent tasks.
  size_t IndexOf(const TaskId& task) const;
  TaskId IdOf(size_t index) const;
  const StepSpec& StepOf(size_t index) const;
  /// Whether all steps that a step depends on are done in its occurrence.
  bool IsStepReady(uint32_t occurrence, uint32_t step) const;
  /// Whether callers of an organisation, or without one if it is empty, may see
  /// and cancel the job. A job without an organisation is open to all.
  bool IsOpenTo(const std::string& caller_organisation) const;
  /// Whether the id belongs to a task of this job.
  bool Holds(const TaskId& task) const;
  /// As Task::IsSuspect(). The tasks of a gang start together, so it holds for
  /// all of them if it holds for one.
  bool IsSuspect(size_t index) const;
  /// As Task::IsIsolated(), for all tasks of a gang if it holds for one. They
  /// may share a worker.
  bool IsIsolated(size_t index) const;
};

/// A worker and its committed runs.
struct Worker {
  WorkerInfo info;
  /// Sequence number of the announcement that set `info`. 0: not reported.
  uint64_t sequence = 0;
  /// Start time of the current incarnation. Zero: not reported.
  WallTime born{};
  uint32_t earlier_incarnations =
      0;  ///< Known earlier incarnations under this id.
  /// Resources of active runs; best-effort tasks count without processors.
  Resources used;
  std::set<TaskId> active;
  /// Those of `active` for which Job::IsSuspect() held when they started.
  std::set<TaskId> suspects;
  /// Tasks that ran when its lease expired, until it is given work again. If
  /// the worker turns out to have crashed, these were running.
  std::set<TaskId> lapsed;
  /// It has restarted, and the assessment of the runs of its previous
  /// incarnation is not committed yet.
  bool is_restart_unassessed = false;
  uint32_t persistent_runs = 0;
  /// The part of `used.millicores` that persistent tasks take.
  int64_t persistent_millicores = 0;
};

/// What tasks that end by themselves take of a service's workers, by
/// organisation; the empty name stands for none.
using PoolUse = std::unordered_map<std::string, Resources>;

/// The last incarnation of a worker that has ended.
struct EndedWorker {
  WallTime born{};  ///< Zero: not reported.
  WorkerEndCause cause = WorkerEndCause::kUnknown;
  std::string host;       ///< Empty: not known.
  uint64_t sequence = 0;  ///< Of its last announcement that was applied.
  uint32_t earlier_incarnations = 0;  ///< As Worker::earlier_incarnations.
};

/// The most early cancels that one organisation, or one open queue, may have in
/// the ledger, so that no caller takes the room of the others.
inline constexpr size_t kMaxEarlyCancelsPerCaller = 2'000;
/// The most early cancels in all: about 3 MB.
inline constexpr size_t kMaxEarlyCancels = 20'000;

/// A wave and the stage of each of its hosts.
struct WaveState {
  WaveOpened opened;
  std::map<std::string, WaveStage> hosts;
  std::set<std::string> ordered;  ///< Those in WaveStage::kOrdered.
  size_t hosts_left = 0;          ///< Number of those that are not done.

  bool is_done() const { return hosts_left == 0; }
};

/// The state machine of the scheduling: all committed jobs, workers and waves.
///
/// @remarks Not thread-safe. Deterministic: the same records in the same order
///   produce the same ledger on every control host; Apply() reads no clock.
class Ledger {
 public:
  // By id. Hash maps, because each start and end of a run looks up its job and
  // worker about twenty times: in ordered maps, these lookups took a sixth of
  // the leader's processor time.
  using Jobs = std::unordered_map<std::string, Job>;
  using Workers = std::unordered_map<std::string, Worker>;
  /// The jobs are valid until the ledger changes.
  using OpenJobs = std::map<std::string, const Job*>;

  Ledger() = default;
  Ledger(const Ledger&) = delete;  // Its open jobs point into it.
  Ledger& operator=(const Ledger&) = delete;
  Ledger(Ledger&&) = default;
  Ledger& operator=(Ledger&&) = default;

  /// Applies a record. A record that does not apply to the current state (a job
  /// that is already known, the end of a run that is not active) has no effect.
  void Apply(const Record& record);

  const Configuration& configuration() const { return m_configuration; }
  const KeyRing& keys() const { return m_keys; }
  const Jobs& jobs() const { return m_jobs; }
  const Workers& workers() const { return m_workers; }
  const std::map<uint64_t, WaveState>& waves() const { return m_waves; }

  /// The jobs that are not over or that still have active runs, by id.
  const OpenJobs& open_jobs() const { return m_open_jobs; }

  /// Visits the ids of all jobs that were accepted since a caller's last call,
  /// oldest first. They may be forgotten by now.
  ///
  /// @param version What the caller has seen; empty before its first call. Set
  ///   to the present version.
  /// @returns False, without visiting any, when the caller has to look at all
  ///   jobs.
  bool FollowNewJobs(
      std::optional<uint64_t>& version,
      const std::function<void(const std::string&)>& visit) const;

  /// As FollowNewJobs(), with the jobs that got runs to stop: the job or a task
  /// of it ended while it had active runs.
  bool FollowJobsWithRunsToStop(
      std::optional<uint64_t>& version,
      const std::function<void(const std::string&)>& visit) const;

  /// Number of jobs of a queue of which no task was started yet, including
  /// those of dropped queues that had its host and prefix.
  size_t CountQueued(const std::string& queue) const;

  /// Increases whenever a worker is added or removed or its information
  /// changes, so that callers can cache values that they derive from workers.
  uint64_t workers_version() const { return m_changed_workers.version; }

  /// Visits the ids of all workers that were added, changed or removed since a
  /// version, oldest change first. An id may be visited several times.
  ///
  /// @returns False, without visiting any, when the changes since then are no
  ///   longer recorded.
  bool VisitChangedWorkers(
      uint64_t since,
      const std::function<void(const std::string&)>& visit) const;

  /// As FollowNewJobs(), with the changes that VisitChangedWorkers() visits.
  bool FollowChangedWorkers(
      std::optional<uint64_t>& version,
      const std::function<void(const std::string&)>& visit) const;

  /// Ids of the workers on a host: one, or several until the older ones are
  /// known to have ended. None for an empty name.
  const std::set<std::string>& WorkersOn(const std::string& host) const;

  /// Whether a cancel of the job was recorded before the job was known, and
  /// applies to a job of the organisation.
  bool IsCancelledEarly(const std::string& job,
                        const std::string& organisation) const;

  /// Whether another early cancel can be recorded for a caller.
  ///
  /// @param organisation That of the caller; empty: of an open queue.
  bool HasRoomForEarlyCancel(const std::string& queue,
                             const std::string& organisation) const;

  /// Ids of the jobs that have early cancels; one for each cancel.
  std::vector<std::string> EarlyCancels() const;

  const Job* FindJob(const std::string& id) const;
  const Worker* FindWorker(const std::string& id) const;
  const QueueSpec* FindQueueByName(const std::string& name) const;

  /// The queue under whose terms a job runs: as the current configuration has
  /// it, else as the last one did that had it. Null only for a job whose queue
  /// was dropped under an earlier version of this program, or was never there.
  const QueueSpec* QueueOf(const Job& job) const;

  /// How often a task of a queue's jobs, or a gang, may fail.
  ///
  /// @param queue Null if it is not known.
  static uint32_t MaxAttemptsOf(const QueueSpec* queue);

  /// Resources of the active runs of an organisation, including the processors
  /// of best-effort tasks.
  Resources InUseBy(const std::string& organisation) const;

  /// Same as InUseBy(), for all organisations that had runs since this ledger
  /// was created or loaded.
  const std::unordered_map<std::string, Resources>& in_use() const {
    return m_in_use;
  }

  /// What the active runs of a service's jobs take, without persistent tasks.
  const PoolUse& PoolUseOf(const std::string& service) const;

  /// Whether an organisation may start another task within its cap.
  ///
  /// @param planned Resources of its runs that are about to start.
  /// @param need Resources of the task.
  bool IsWithinCapOf(const std::string& organisation,
                     const Resources& planned,
                     const Resources& need) const;

  /// Whether the run was started on the worker and has not ended.
  bool IsActive(const TaskId& task,
                uint32_t run,
                const std::string& worker) const;

  /// Whether an announcement of a worker is older than the last one applied.
  bool IsOutdated(const std::string& worker,
                  WallTime born,
                  uint64_t sequence) const;

  /// Whether an incarnation of a worker has ended for good. Without `born`:
  /// whether any has. One that was only silent may announce itself again, until
  /// a later incarnation registers on its host.
  ///
  /// @param sequence That of its announcement; zero: not reported.
  bool IsGone(const std::string& worker,
              WallTime born = {},
              uint64_t sequence = 0) const;

  /// Why the last incarnation of a worker ended. None: it has not ended.
  std::optional<WorkerEndCause> EndCauseOf(const std::string& worker) const;

  /// The service whose workers run the job: that of QueueOf().
  const std::string& ServiceOf(const Job& job) const;

  /// The same for a job whose queue was looked up already.
  ///
  /// @param queue Null if it is not known.
  static const std::string& ServiceOf(const Job& job, const QueueSpec* queue);

  /// Encodes the whole ledger as a snapshot, from which Load() restores it.
  std::string Save() const;

  /// Replaces the ledger by a snapshot, also one of an earlier version.
  ///
  /// @throws CodecError on a text that is not an output of Save().
  void Load(std::string_view text);

 private:
  /// The ids that changed last.
  struct ChangeList {
    uint64_t version = 0;
    std::deque<std::string> ids;  // One per version, oldest first.

    void Add(const std::string& id);
    bool VisitSince(uint64_t since,
                    const std::function<void(const std::string&)>& visit) const;
    bool Follow(std::optional<uint64_t>& known,
                const std::function<void(const std::string&)>& visit) const;
  };

  struct EarlyCancel {
    std::string job;
    std::string organisation;  // Of who cancelled.

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads <=>.
    friend auto operator<=>(const EarlyCancel&, const EarlyCancel&) = default;
  };

  /// Whose share of the early cancels one takes: an organisation's or, for
  /// callers without one, an open queue's.
  struct CancelHolder {
    std::string organisation;
    std::string open_queue;

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads <=>.
    friend auto operator<=>(const CancelHolder&, const CancelHolder&) = default;
  };

  void AddEarlyCancel(const JobCancelledEarly& cancel);
  static CancelHolder HolderOf(const std::string& queue,
                               const std::string& organisation);

  void ApplyRecord(const ConfigurationSet& record);
  void ApplyRecord(const JobAccepted& record);
  void ApplyRecord(const JobCancelled& record);
  void ApplyRecord(const JobsForgotten& record);
  void ApplyRecord(const RunStarted& record);
  void ApplyRecord(const RunEnded& record);
  void ApplyRecord(const WorkerSeen& record);
  void ApplyRecord(const WorkerLapsed& record);
  void ApplyRecord(const WorkerGone& record);
  void ApplyRecord(const WaveOpened& record);
  void ApplyRecord(const WaveHostStageSet& record);
  void ApplyRecord(const WorkerCrashed& record);
  void ApplyRecord(const WorkerAnnounced& record);
  void ApplyRecord(const WorkerRestarted& record);
  void ApplyRecord(const IncarnationEnded& record);
  void ApplyRecord(const ConfigurationWithIdentitiesSet& record);
  void ApplyRecord(const OrganisationJobAccepted& record);
  void ApplyRecord(const RunProven& record);
  void ApplyRecord(const WorkerLeft& record);
  void ApplyRecord(const WorkerEnded& record);
  void ApplyRecord(const JobCancelledEarly& record);
  void ApplyRecord(const EarlyCancelsForgotten& record);
  void BeginWorkerIncarnation(const std::string& id,
                              Worker& worker,
                              WallTime born);
  void AddEndedWorker(const std::string& worker, const EndedWorker& ended);
  void ReplaceSilentWorkersOn(const WorkerInfo& info, WallTime born);

  void ReserveResources(Worker& worker, const Job& job, size_t index);
  static void ReleaseResources(Worker& worker,
                               const TaskId& task,
                               const StepSpec& step);
  void EndRun(Job& job, size_t index, const RunEnded& record);
  void FinishTask(Job& job, size_t index);
  void ClearLapses(Worker& worker);
  void CountFailure(Job& job, size_t index, const RunEnded& record);
  bool IsExhausted(const Job& job, size_t index) const;
  void GiveUpTask(Job& job, size_t index);
  void GiveUpExhaustedTasks();
  void KeepDroppedQueues(const Configuration& next);
  void CountCrash(Job& job,
                  size_t index,
                  const std::string& worker,
                  Suspicion suspicion);
  void CountUnassessedRuns(const std::string& id, const Worker& worker);
  void EndWorkerIncarnation(const std::string& id,
                            WallTime born,
                            WorkerEndCause cause);
  void SetState(Job& job, JobState state);
  void UpdateQueuedJobs(const Job& job);
  void UpdateOpenJobs(const Job& job);
  void SetConfiguration(Configuration configuration);
  void RecountPoolUse();
  void AddPoolUse(const Job& job, const StepSpec& step);
  void SubtractPoolUse(const Job& job, const StepSpec& step);
  void SetConfigurationIfNewer(const Configuration& configuration);
  /// @returns Null when the job is already known.
  Job* AddJob(const JobAccepted& record, const std::string& organisation = {});
  void SetWorkerInfo(Worker& worker, const WorkerInfo& info);
  void RemoveFromHost(const WorkerInfo& info);

  Configuration m_configuration;
  std::map<std::string, size_t> m_queue_index;  // By name.
  /// Queues that the configuration lacks, as they last were: those that open
  /// jobs were accepted for, and those that the last change dropped, as the
  /// acceptance of a job may have been under way then. By name.
  std::map<std::string, QueueSpec> m_dropped_queues;
  KeyRing m_keys;
  std::unordered_map<std::string, Resources> m_in_use;  // By organisation.
  std::unordered_map<std::string, PoolUse> m_pool_use;  // By service.
  Jobs m_jobs;
  OpenJobs m_open_jobs;
  ChangeList m_new_jobs;
  ChangeList m_jobs_with_runs_to_stop;
  std::unordered_map<std::string, std::unordered_set<std::string>>
      m_queued_jobs;  // Ids of jobs in JobState::kQueued, by queue.
  /// The queue that each early cancel came through.
  std::map<EarlyCancel, std::string> m_early_cancels;
  std::map<CancelHolder, size_t> m_early_cancel_counts;
  Workers m_workers;
  ChangeList m_changed_workers;
  std::unordered_map<std::string, std::set<std::string>>
      m_workers_by_host;  // By host.
  std::map<uint64_t, WaveState> m_waves;
  std::unordered_map<std::string, EndedWorker> m_ended_workers;  // By worker.
  std::deque<std::string> m_ended_order;  // Oldest first, for eviction.
};

/// Resources that a run of the step takes from its worker's capacity. A
/// best-effort task takes no processors.
Resources ReservedResources(const StepSpec& step);

}  // namespace laurelhall::scheduling
