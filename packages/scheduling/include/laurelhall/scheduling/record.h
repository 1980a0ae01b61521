#pragma once

#include <string>
#include <variant>
#include <vector>

#include "laurelhall/scheduling/codec.h"
#include "laurelhall/scheduling/graph.h"

// Records about jobs, workers and hosts. The leader commits them to the
// replicated log before it acts on them or reports them.
namespace laurelhall::scheduling {

/// Sets the configuration. Has an effect only when its version is higher than
/// the current one.
struct ConfigurationSet {
  Configuration configuration;
};

/// Accepts a job. Has no effect when the id is already known.
struct JobAccepted {
  std::string id;
  std::string queue;
  std::string service;  ///< Service of the queue at the time of acceptance.
  WallTime at{};
  JobSpec spec;
};

struct JobCancelled {
  std::string id;
};

/// Removes jobs that ended so long ago that callers no longer query them.
struct JobsForgotten {
  std::vector<std::string> ids;
};

/// A task is about to be started on a worker; `run` is its next run number.
struct RunStarted {
  TaskId task;
  uint32_t run = 0;
  std::string worker;
};

/// A run ended, as reported by its worker. Has no effect when the run is not
/// active, except when the run was done before its lease expired.
struct RunEnded {
  TaskId task;
  uint32_t run = 0;
  std::string worker;
  RunEnd end = RunEnd::kCount;
  std::string checkpoint;  ///< The latest checkpoint of the run; may be empty.
};

/// A worker was discovered, or its properties changed. Written by earlier
/// versions; see WorkerAnnounced.
struct WorkerSeen {
  WorkerInfo info;
};

/// The lease of a worker has certainly expired, so that none of the runs that
/// were started on it so far is still active. The worker may come back.
struct WorkerLapsed {
  std::string worker;
};

/// A worker has ended, whichever incarnation. Written by earlier versions; see
/// IncarnationEnded.
struct WorkerGone {
  std::string worker;
};

/// Opens a wave: each of the hosts is to be maintained once, at most
/// `most_at_once` at the same time.
struct WaveOpened {
  uint64_t wave = 0;
  std::vector<std::string> hosts;
  Millis duration{0};
  uint32_t most_at_once = 1;
  WallTime at{};
};

/// The progress of a wave on one host.
enum class WaveStage : uint8_t { kWaiting, kOrdered, kDone, kCount };

/// Advances the stage of a host in a wave; a stage never goes back.
struct WaveHostStageSet {
  uint64_t wave = 0;
  std::string host;
  WaveStage stage = WaveStage::kWaiting;
};

/// How likely it is that a task made the worker crash that it ran on. From
/// kBystander on, in ascending order, except kExcused.
enum class Suspicion : uint8_t {
  kCleared,    ///< It had run for long: its earlier crashes are dropped.
  kBystander,  ///< Counts as a crash, without blame.
  kSuspect,
  kSole,     ///< No other run was on the worker.
  kPrompt,   ///< The only new run, and the crash followed right on its start.
  kExcused,  ///< The loss has another cause: not counted as a crash.
  kCount,
};

/// Lower-case name for logs. Thread-safe.
const char* SuspicionName(Suspicion suspicion);

/// A task that ran on a crashed worker.
struct CrashSuspect {
  TaskId task;
  Suspicion suspicion = Suspicion::kBystander;
};

/// A worker crashed while these tasks ran on it. A task that has crashed too
/// many workers is given up together with its job. The runs themselves end by
/// other records.
struct WorkerCrashed {
  std::string worker;
  std::vector<CrashSuspect> suspects;
};

/// Like WorkerSeen, with the start time of the worker's incarnation and the
/// sequence number of its announcement: when announcements arrive out of order,
/// the one with the highest number stays in effect.
struct WorkerAnnounced {
  WorkerInfo info;
  uint64_t sequence = 0;
  WallTime born{};  ///< Start time of the incarnation; zero: not reported.
};

/// A worker has restarted under the same id. Runs that were started on the
/// previous incarnation are over, unless the new one lists them: it may have
/// received a delayed start order.
struct WorkerRestarted {
  std::string worker;
  WallTime born{};
};

/// Like WorkerGone, for one incarnation: a later one under the same id is not
/// affected. Written by earlier versions; see WorkerEnded.
struct IncarnationEnded {
  std::string worker;
  WallTime born{};  ///< Start time of the incarnation; zero: not known.
};

/// Like ConfigurationSet, including `Configuration::identities`.
struct ConfigurationWithIdentitiesSet {
  Configuration configuration;
};

/// Like JobAccepted, with the organisation that submitted the job.
struct OrganisationJobAccepted {
  JobAccepted job;
  std::string organisation;  ///< Empty: submitted to an open queue.
  bool is_excess = false;    ///< Above the organisation's guaranteed job rate.
};

/// A run has been active for so long that starting its task does not crash the
/// worker: earlier crashes of the task are dropped.
struct RunProven {
  TaskId task;
  uint32_t run = 0;
};

/// Like IncarnationEnded, for a worker that announced its shutdown: its runs
/// are not counted as possible causes of a crash.
struct WorkerLeft {
  std::string worker;
  WallTime born{};  ///< Start time of the incarnation; zero: not known.
};

/// Why an incarnation of a worker ended.
enum class WorkerEndCause : uint8_t {
  kUnknown,     ///< Recorded by an earlier version.
  kSilent,      ///< No message came from it for long. It may still run.
  kReplaced,    ///< A later incarnation answers, or registered on its host.
  kMaintained,  ///< Its host was taken down for maintenance.
  kMoved,       ///< Its host was moved to another pool.
  kLeft,        ///< It announced its shutdown.
  kCount,
};

/// Lower-case name for logs. Thread-safe.
const char* WorkerEndCauseName(WorkerEndCause cause);

/// Like IncarnationEnded, with the cause.
struct WorkerEnded {
  std::string worker;
  WallTime born{};  ///< Start time of the incarnation; zero: not known.
  WorkerEndCause cause = WorkerEndCause::kUnknown;
};

/// Cancels a job that was not known when its cancel came. If it is accepted
/// after all, by a submission that was delayed, it is cancelled at once. Has no
/// effect while the ledger holds too many of them; see
/// Ledger::HasRoomForEarlyCancel().
struct JobCancelledEarly {
  std::string id;
  std::string queue;         ///< The queue that the cancel came through.
  std::string organisation;  ///< Of who cancels; empty: by an open queue.
};

/// Removes the early cancels of these jobs: a submission that comes later
/// counts as a new one.
struct EarlyCancelsForgotten {
  std::vector<std::string> jobs;
};

/// A kind is encoded as its index: append new kinds at the end.
using Record = std::variant<ConfigurationSet,
                            JobAccepted,
                            JobCancelled,
                            JobsForgotten,
                            RunStarted,
                            RunEnded,
                            WorkerSeen,
                            WorkerLapsed,
                            WorkerGone,
                            WaveOpened,
                            WaveHostStageSet,
                            WorkerCrashed,
                            WorkerAnnounced,
                            WorkerRestarted,
                            IncarnationEnded,
                            ConfigurationWithIdentitiesSet,
                            OrganisationJobAccepted,
                            RunProven,
                            WorkerLeft,
                            WorkerEnded,
                            JobCancelledEarly,
                            EarlyCancelsForgotten>;

/// Encodes a batch of records for the replicated log. Thread-safe.
std::string EncodeRecords(std::vector<Record> records);

/// Decodes the output of EncodeRecords(). Thread-safe.
///
/// @throws CodecError on any other text.
std::vector<Record> DecodeRecords(std::string_view text);

template <typename Archive>
void Visit(Archive& archive, Resources& value) {
  archive(value.millicores, value.memory_mb, value.accelerators);
}

template <typename Archive>
void Visit(Archive& archive, StepSpec& value) {
  archive(value.count, value.need, value.estimate, value.depends_on,
          value.is_gang, value.is_same_rack, value.is_checkpointing,
          value.is_speculative, value.is_persistent, value.is_best_effort,
          value.required_label, value.data_rack, value.max_tasks_per_worker,
          value.image, value.target_tail_latency, value.may_miss);
}

template <typename Archive>
void Visit(Archive& archive, JobSpec& value) {
  archive(value.payload, value.steps, value.occurrences, value.is_timed,
          value.first_due, value.interval);
}

template <typename Archive>
void Visit(Archive& archive, QueueSpec& value) {
  archive(value.name, value.host, value.prefix, value.service, value.priority,
          value.max_attempts, value.stretch, value.target_latency);
}

template <typename Archive>
void Visit(Archive& archive, ServiceSpec& value) {
  archive(value.name, value.enforces_capacity, value.is_spare);
}

template <typename Archive>
void Visit(Archive& archive, Configuration& value) {
  archive(value.version, value.document, value.queues, value.services);
}

template <typename Archive>
void Visit(Archive& archive, OrganisationSpec& value) {
  archive(value.name, value.keys, value.weight, value.cap);
}

template <typename Archive>
void Visit(Archive& archive, IdentitySpec& value) {
  archive(value.organisations, value.open_queues);
}

template <typename Archive>
void Visit(Archive& archive, WorkerInfo& value) {
  archive(value.id, value.address, value.service, value.availability_zone,
          value.host, value.rack, value.labels, value.capacity,
          value.is_draining);
}

template <typename Archive>
void Visit(Archive& archive, TaskId& value) {
  archive(value.job, value.occurrence, value.step, value.index);
}

template <typename Archive>
void Visit(Archive& archive, ConfigurationSet& value) {
  archive(value.configuration);
}

template <typename Archive>
void Visit(Archive& archive, JobAccepted& value) {
  archive(value.id, value.queue, value.service, value.at, value.spec);
}

template <typename Archive>
void Visit(Archive& archive, JobCancelled& value) {
  archive(value.id);
}

template <typename Archive>
void Visit(Archive& archive, JobsForgotten& value) {
  archive(value.ids);
}

template <typename Archive>
void Visit(Archive& archive, RunStarted& value) {
  archive(value.task, value.run, value.worker);
}

template <typename Archive>
void Visit(Archive& archive, RunEnded& value) {
  archive(value.task, value.run, value.worker, value.end, value.checkpoint);
}

template <typename Archive>
void Visit(Archive& archive, WorkerSeen& value) {
  archive(value.info);
}

template <typename Archive>
void Visit(Archive& archive, WorkerLapsed& value) {
  archive(value.worker);
}

template <typename Archive>
void Visit(Archive& archive, WorkerGone& value) {
  archive(value.worker);
}

template <typename Archive>
void Visit(Archive& archive, WaveOpened& value) {
  archive(value.wave, value.hosts, value.duration, value.most_at_once,
          value.at);
}

template <typename Archive>
void Visit(Archive& archive, WaveHostStageSet& value) {
  archive(value.wave, value.host, value.stage);
}

template <typename Archive>
void Visit(Archive& archive, WorkerAnnounced& value) {
  archive(value.info, value.sequence, value.born);
}

template <typename Archive>
void Visit(Archive& archive, WorkerRestarted& value) {
  archive(value.worker, value.born);
}

template <typename Archive>
void Visit(Archive& archive, IncarnationEnded& value) {
  archive(value.worker, value.born);
}

template <typename Archive>
void Visit(Archive& archive, CrashSuspect& value) {
  archive(value.task, value.suspicion);
}

template <typename Archive>
void Visit(Archive& archive, WorkerCrashed& value) {
  archive(value.worker, value.suspects);
}

template <typename Archive>
void Visit(Archive& archive, ConfigurationWithIdentitiesSet& value) {
  archive(value.configuration, value.configuration.identities);
}

template <typename Archive>
void Visit(Archive& archive, RunProven& value) {
  archive(value.task, value.run);
}

template <typename Archive>
void Visit(Archive& archive, WorkerLeft& value) {
  archive(value.worker, value.born);
}

template <typename Archive>
void Visit(Archive& archive, WorkerEnded& value) {
  archive(value.worker, value.born, value.cause);
}

template <typename Archive>
void Visit(Archive& archive, OrganisationJobAccepted& value) {
  archive(value.job, value.organisation, value.is_excess);
}

template <typename Archive>
void Visit(Archive& archive, JobCancelledEarly& value) {
  archive(value.id, value.queue, value.organisation);
}

template <typename Archive>
void Visit(Archive& archive, EarlyCancelsForgotten& value) {
  archive(value.jobs);
}

}  // namespace laurelhall::scheduling
