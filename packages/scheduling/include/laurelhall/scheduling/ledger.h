#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "laurelhall/scheduling/organisation.h"
#include "laurelhall/scheduling/record.h"

namespace laurelhall::scheduling {

/// A run that was started and whose end is not known.
struct ActiveRun {
  uint32_t run = 0;
  std::string worker;
  bool is_outlived = false;  ///< Its worker has begun a new life since.
  bool is_proven = false;    ///< Has worked too long to crash its worker.
  bool is_judged = false;    ///< What its worker's end says of it is counted.
};

/// One task of one occurrence.
struct Task {
  bool is_done = false;
  bool is_hot = false;  ///< Started at least once.
  uint32_t last_run = 0;
  uint32_t failures = 0;   ///< Ends by its own fault or a worker's.
  std::string failed_on;   ///< The worker of the last failure.
  std::string checkpoint;  ///< Where the next run goes on; may be empty.
  std::vector<ActiveRun> active;
  std::vector<std::string> crashed;  ///< Workers that went down under it.
  uint32_t blame = 0;                ///< For all of them; see crash.h.
  /// Workers whose lease ran out under it, and that may have gone down.
  uint32_t open_lapses = 0;
  bool is_given_up = false;  ///< Is not started again; its job goes on.

  /// Whether it is to start where nothing else runs.
  bool IsSuspect() const;

  /// Whether so many workers may have gone down under it that nothing else may
  /// be there until it has ended.
  bool IsIsolated() const;

  /// Whether so many workers may have gone down under it that it must not start
  /// before more is known of them.
  bool IsHeldBack() const;
};

/// A job and all of its tasks.
struct Job {
  std::string id;
  std::string queue;
  std::string service;
  std::string organisation;  ///< Empty: nobody's.
  bool is_excess = false;    ///< Beyond what its organisation is promised.
  WallTime accepted_at{};
  JobSpec spec;
  JobState state = JobState::kQueued;
  std::vector<Task> tasks;  ///< By occurrence, step and index.

  /// Workers went down, or may have, under some task: there may be suspects.
  bool has_crashes = false;
  uint32_t tasks_left = 0;  ///< Not done.
  uint32_t active_runs = 0;
  std::vector<uint32_t> step_left;    ///< Not done, by occurrence and step.
  std::vector<uint32_t> step_offset;  ///< Of each step in an occurrence.
  uint32_t occurrence_size = 0;

  bool is_over() const { return state >= JobState::kSucceeded; }
  bool is_standing() const;  ///< Whether some of its tasks last.
  size_t IndexOf(const TaskId& task) const;
  TaskId IdOf(size_t index) const;
  const StepSpec& StepOf(size_t index) const;
  /// Whether all that a step waits for in its occurrence is done.
  bool IsStepOpen(uint32_t occurrence, uint32_t step) const;
  /// Whether an id names a task of this job.
  bool Holds(const TaskId& task) const;
};

/// A worker and what runs on it as far as is committed.
struct Worker {
  WorkerInfo info;
  uint64_t sequence = 0;  ///< Of the word that `info` is from; 0: not told.
  WallTime born{};        ///< Of the life that is known; zero: not told.
  uint32_t earlier_lives = 0;  ///< Known to have been under this id.
  Resources used;  ///< By active runs; filling tasks count no processors.
  std::set<TaskId> active;
  std::set<TaskId> suspects;  ///< Of `active`: were suspect when they started.
  /// What its lease ran out on, until it is given work again: all that went
  /// down with it if it does not come back.
  std::set<TaskId> lapsed;
  /// It has begun a new life, and what that says of the runs before is not
  /// committed yet.
  bool is_unjudged = false;
  uint32_t persistent_runs = 0;
  /// Of `used`, what persistent tasks take.
  int64_t persistent_millicores = 0;
};

/// A wave and how far each of its hosts is.
struct WaveState {
  WaveOpened opened;
  std::map<std::string, WaveStage> hosts;

  bool is_done() const;
};

/// All that is committed about jobs, workers and waves.
///
/// @remarks Not thread-safe. The same records in the same order make the same
///   ledger on each control host; applying one reads no clock.
class Ledger {
 public:
  // By id, in no order: each start and end finds its job and worker some twenty
  // times, which took a sixth of a leader's time in ordered maps.
  using Jobs = std::unordered_map<std::string, Job>;
  using Workers = std::unordered_map<std::string, Worker>;

  /// Applies a record. One that does not fit what is there (a job known
  /// already, an end of a run that is not active) has no effect.
  void Apply(const Record& record);

  const Configuration& configuration() const { return m_configuration; }
  const KeyRing& keys() const { return m_keys; }
  const Jobs& jobs() const { return m_jobs; }
  const Workers& workers() const { return m_workers; }
  const std::map<uint64_t, WaveState>& waves() const { return m_waves; }

  /// Ids of jobs that are not over, or of which a run is active.
  const std::set<std::string>& open_jobs() const { return m_open; }

  /// How many jobs of a queue wait for their first start.
  size_t CountQueued(const std::string& queue) const;

  /// Rises with each change of what workers there are and say of themselves,
  /// so that what follows from them is worked out again only then.
  uint64_t workers_version() const { return m_workers_version; }

  /// Visits the ids of all workers that changed, came or went since a version,
  /// in order; one may come several times.
  ///
  /// @returns False, with none visited, when that is too long ago to tell.
  bool VisitChangedWorkers(
      uint64_t since,
      const std::function<void(const std::string&)>& visit) const;

  /// Ids of the workers on a host: one, or several lives until the older ones
  /// are known to be over. None for an empty name.
  const std::set<std::string>& WorkersOn(const std::string& host) const;

  const Job* FindJob(const std::string& id) const;
  const Worker* FindWorker(const std::string& id) const;
  const QueueSpec* FindQueueByName(const std::string& name) const;

  /// What the active runs of an organisation's jobs take, the processors of
  /// filling tasks included.
  Resources InUseBy(const std::string& organisation) const;

  /// As InUseBy(), of all that had runs since this ledger began.
  const std::unordered_map<std::string, Resources>& in_use() const {
    return m_in_use;
  }

  /// Whether an organisation may start one more such task.
  ///
  /// @param planned What else of it is about to start.
  bool IsWithinCapOf(const std::string& organisation,
                     const Resources& planned,
                     const Resources& need) const;

  /// Whether a run was started on a worker and has not ended.
  bool IsActive(const TaskId& task,
                uint32_t run,
                const std::string& worker) const;

  /// Whether a word of a worker is older than what is known of it.
  bool IsOutdated(const std::string& worker,
                  WallTime born,
                  uint64_t sequence) const;

  /// Whether a worker's life is known to have ended; any life for no birth.
  bool IsGone(const std::string& worker, WallTime born = {}) const;

  /// The service whose workers run a job's tasks now.
  const std::string& ServiceOf(const Job& job) const;

  /// Writes all of it; Load() of an empty ledger makes the same one.
  std::string Save() const;

  /// @throws CodecError on a text that Save() did not make.
  void Load(std::string_view text);

 private:
  void Run(const ConfigurationSet& record);
  void Run(const JobAccepted& record);
  void Run(const JobCancelled& record);
  void Run(const JobsForgotten& record);
  void Run(const RunStarted& record);
  void Run(const RunEnded& record);
  void Run(const WorkerSeen& record);
  void Run(const WorkerLapsed& record);
  void Run(const WorkerGone& record);
  void Run(const WaveOpened& record);
  void Run(const WaveHostSet& record);
  void Run(const WorkerCrashed& record);
  void Run(const WorkerTold& record);
  void Run(const WorkerReborn& record);
  void Run(const LifeEnded& record);
  void Run(const ConfigurationAdopted& record);
  void Run(const JobTaken& record);
  void Run(const RunProven& record);
  void Run(const WorkerLeft& record);
  void BeginLife(const std::string& id, Worker& worker, WallTime born);
  void Remember(const std::string& worker, WallTime born);

  void Occupy(Worker& worker, const Job& job, size_t index);
  static void Vacate(Worker& worker, const TaskId& task, const StepSpec& step);
  void EndRun(Job& job, size_t index, const RunEnded& record);
  void FinishTask(Job& job, size_t index);
  void CloseLapses(Worker& worker);
  void CountFailure(Job& job, size_t index, const std::string& worker);
  void GiveUp(Job& job, size_t index);
  void CountCrash(Job& job,
                  size_t index,
                  const std::string& worker,
                  Suspicion suspicion);
  void CountUnjudged(const std::string& id, const Worker& worker);
  void EndLife(const std::string& id, WallTime born, bool may_have_crashed);
  void SetState(Job& job, JobState state);
  void FollowQueued(const Job& job);
  void FollowOpen(const Job& job);
  void Configure(Configuration configuration);
  void Adopt(const Configuration& configuration);
  /// Null when the job is known already.
  Job* Accept(const JobAccepted& record);
  void NoteChange(const std::string& worker);
  void SetInfo(Worker& worker, const WorkerInfo& info);
  void LeaveHost(const WorkerInfo& info);

  Configuration m_configuration;
  std::map<std::string, size_t> m_queue_places;  // By name.
  KeyRing m_keys;
  std::unordered_map<std::string, Resources> m_in_use;  // By organisation.
  Jobs m_jobs;
  std::set<std::string> m_open;
  std::unordered_map<std::string, std::unordered_set<std::string>>
      m_queued;  // Ids of jobs that wait for their first start, by queue.
  Workers m_workers;
  uint64_t m_workers_version = 0;
  std::deque<std::string> m_changed_workers;  // One a version, newest last.
  std::map<std::string, std::set<std::string>> m_workers_on;  // By host.
  std::map<uint64_t, WaveState> m_waves;
  std::unordered_map<std::string, WallTime> m_gone;  // Births, by id.
  std::deque<std::string> m_gone_order;  // Oldest first, bounds m_gone.
};

/// What a run of the step takes of a worker's room.
Resources RoomOf(const StepSpec& step);

}  // namespace laurelhall::scheduling
