#pragma once

#include <string>
#include <variant>
#include <vector>

#include "laurelhall/scheduling/codec.h"
#include "laurelhall/scheduling/graph.h"

// What the leader commits about jobs, workers and hosts before it acts on it or
// says so.
namespace laurelhall::scheduling {

/// A configuration; takes effect when its version is the highest so far.
struct ConfigurationSet {
  Configuration configuration;
};

/// A job is accepted; has no effect when its id is known.
struct JobAccepted {
  std::string id;
  std::string queue;
  std::string service;  ///< Of the queue, as the leader saw it.
  WallTime at{};
  JobSpec spec;
};

struct JobCancelled {
  std::string id;
};

/// Jobs that ended so long ago that nobody asks for them any more.
struct JobsForgotten {
  std::vector<std::string> ids;
};

/// A task is about to be started; `run` is its next one.
struct RunStarted {
  TaskId task;
  uint32_t run = 0;
  std::string worker;
};

/// A run ended, as its worker said; has no effect when it is not active, but
/// for the end of one that was done before its lease lapsed.
struct RunEnded {
  TaskId task;
  uint32_t run = 0;
  std::string worker;
  RunEnd end = RunEnd::kCount;
  std::string checkpoint;  ///< The newest that the run made; may be empty.
};

/// A worker is known, or its facts changed.
struct WorkerSeen {
  WorkerInfo info;
};

/// Nothing that was started on a worker so far runs any more, for its lease
/// has surely run out. It may come back.
struct WorkerLapsed {
  std::string worker;
};

/// A worker's life has ended, as earlier versions wrote it: any under this id.
struct WorkerGone {
  std::string worker;
};

/// Hosts that must each be maintained once until `due`, few at once.
struct WaveOpened {
  uint64_t wave = 0;
  std::vector<std::string> hosts;
  Millis duration{0};
  uint32_t most_at_once = 1;
  WallTime at{};
};

/// How far a wave is with one host.
enum class WaveStage : uint8_t { kWaiting, kOrdered, kDone, kCount };

struct WaveHostSet {
  uint64_t wave = 0;
  std::string host;
  WaveStage stage = WaveStage::kWaiting;
};

/// What the end of its worker says of a task that ran there.
enum class Suspicion : uint8_t {
  kCleared,  ///< It had worked well for long: earlier crashes count no more.
  kBystander,
  kSuspect,
  kSole,     ///< Nothing else was there.
  kPrompt,   ///< As kSole, and the worker went down as soon as it had started.
  kExcused,  ///< Something else ended it: counts for nothing.
  kCount,
};

/// A lower-case word for logs. Thread-safe.
const char* SuspicionName(Suspicion suspicion);

struct CrashSuspect {
  TaskId task;
  Suspicion suspicion = Suspicion::kBystander;
};

/// A worker went down without a word, with these tasks at work; one that has
/// crashed too many is given up with its job. Its runs end by other records.
struct WorkerCrashed {
  std::string worker;
  std::vector<CrashSuspect> suspects;
};

/// As WorkerSeen, with the birth of the life that tells it and the number of
/// its word: of two that overtook each other on their way, the later one holds.
struct WorkerTold {
  WorkerInfo info;
  uint64_t sequence = 0;
  WallTime born{};  ///< Zero: not told.
};

/// A worker has begun a new life under its id. What was started there before is
/// over, unless the new life lists it: an order may have come late.
struct WorkerReborn {
  std::string worker;
  WallTime born{};
};

/// As WorkerGone, of one life: a later one under the same id is not meant.
struct LifeEnded {
  std::string worker;
  WallTime born{};  ///< Zero: not known.
};

/// As ConfigurationSet, with whose jobs its queues take.
struct ConfigurationAdopted {
  Configuration configuration;
};

/// As JobAccepted, with the organisation that it is for.
struct JobTaken {
  JobAccepted job;
  std::string organisation;  ///< Empty: it came to an open queue.
  bool is_excess = false;    ///< Beyond what its organisation is promised.
};

/// A run has worked for so long that it does not crash the workers that start
/// it: what went down under its task before counts no more.
struct RunProven {
  TaskId task;
  uint32_t run = 0;
};

/// As LifeEnded, of a worker that said that it would leave: what ran there to
/// the end did not take it down.
struct WorkerLeft {
  std::string worker;
  WallTime born{};  ///< Zero: not known.
};

/// New kinds go to the end: a kind is written as its place.
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
                            WaveHostSet,
                            WorkerCrashed,
                            WorkerTold,
                            WorkerReborn,
                            LifeEnded,
                            ConfigurationAdopted,
                            JobTaken,
                            RunProven,
                            WorkerLeft>;

/// Encodes a batch of records for the log. Thread-safe.
std::string EncodeRecords(std::vector<Record> records);

/// Reads EncodeRecords()'s text; throws CodecError. Thread-safe.
std::vector<Record> DecodeRecords(std::string_view text);

template <typename Archive>
void Visit(Archive& archive, Resources& value) {
  archive(value.millicores, value.memory_mb, value.accelerators);
}

template <typename Archive>
void Visit(Archive& archive, StepSpec& value) {
  archive(value.count, value.need, value.estimate, value.depends_on,
          value.is_gang, value.is_same_rack, value.is_checkpointing,
          value.is_speculative, value.is_persistent, value.is_filling,
          value.required_label, value.data_rack, value.spread_limit,
          value.image, value.target_tail, value.may_miss);
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
  archive(value.name, value.is_guarded, value.is_spare);
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
void Visit(Archive& archive, WaveHostSet& value) {
  archive(value.wave, value.host, value.stage);
}

template <typename Archive>
void Visit(Archive& archive, WorkerTold& value) {
  archive(value.info, value.sequence, value.born);
}

template <typename Archive>
void Visit(Archive& archive, WorkerReborn& value) {
  archive(value.worker, value.born);
}

template <typename Archive>
void Visit(Archive& archive, LifeEnded& value) {
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
void Visit(Archive& archive, ConfigurationAdopted& value) {
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
void Visit(Archive& archive, JobTaken& value) {
  archive(value.job, value.organisation, value.is_excess);
}

}  // namespace laurelhall::scheduling
