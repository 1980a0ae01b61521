#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "laurelhall/base/time.h"

// Jobs as graphs of tasks, the queues that take them and the workers that run
// them: plain values.
namespace laurelhall::scheduling {

/// What a task asks for, or a worker has.
struct Resources {
  int64_t millicores = 0;
  int64_t memory_mb = 0;
  int64_t accelerators = 0;

  friend bool operator==(const Resources&, const Resources&) = default;
};

/// Whether `need` fits into `room`. Thread-safe.
bool Fits(const Resources& need, const Resources& room);

/// Adds in place. Thread-safe for distinct values.
void Add(Resources& sum, const Resources& part);

/// Subtracts in place. Thread-safe for distinct values.
void Subtract(Resources& sum, const Resources& part);

/// One step of a job: a number of like tasks.
struct StepSpec {
  uint32_t count = 0;
  Resources need;
  Millis estimate{0};  ///< Of one task's run time; may be far off.
  std::vector<uint32_t> depends_on;  ///< Earlier steps that must be done.
  bool is_gang = false;              ///< Works only while all of its tasks run.
  bool is_same_rack = false;         ///< Slower when spread over racks.
  bool is_checkpointing = false;
  bool is_speculative = false;  ///< Copies may run; the first end counts.
  bool is_persistent = false;   ///< Runs until the job is cancelled.
  /// Uses what other tasks leave: not counted against a worker's processors.
  bool is_filling = false;
  std::string required_label;
  std::string data_rack;      ///< Faster on this rack; empty: no matter.
  uint32_t spread_limit = 0;  ///< Most tasks of it on one worker; 0: any.
  std::string image;          ///< Tasks of one image behave alike.
  Millis target_tail{0};      ///< Bound of a serving task's tail; 0: none.
  uint32_t may_miss = 0;      ///< Tasks that may be away by our own acts.
};

/// A job as a caller hands it in.
struct JobSpec {
  std::string payload;  ///< Handed to each task as it is.
  std::vector<StepSpec> steps;
  uint32_t occurrences = 1;  ///< How often all steps run.
  bool is_timed = false;     ///< Occurrences have due times.
  WallTime first_due{};
  Millis interval{0};
};

/// A queue of jobs and the service whose workers run them.
struct QueueSpec {
  std::string name;
  std::string host;    ///< Of the requests that reach it.
  std::string prefix;  ///< Of their paths.
  std::string service;
  int32_t priority = 0;  ///< 0 goes first.
  uint32_t max_attempts = 1;
  double stretch = 1;  ///< On time: within so many times the chain of work...
  Millis target_latency{0};  ///< ...and this.
};

/// A service: a pool of hosts, one worker each.
struct ServiceSpec {
  std::string name;
  bool is_guarded = false;  ///< Its workers refuse what does not fit.
  bool is_spare = false;    ///< Its hosts are off.
};

/// An organisation that hands jobs in, and what it may have of the workers.
struct OrganisationSpec {
  std::string name;
  std::vector<std::string>
      keys;           ///< By fingerprint, never the keys themselves.
  double weight = 0;  ///< Its share when all is full, and its jobs a second.
  Resources cap;      ///< Of all that it runs; zero: no limit.
};

/// Whose jobs queues take.
struct IdentitySpec {
  std::vector<OrganisationSpec> organisations;
  std::vector<std::string> open_queues;  ///< Need no key; by name.
};

/// A configuration in force.
struct Configuration {
  uint64_t version = 0;
  std::string document;  ///< As it was sent, for reading back.
  std::vector<QueueSpec> queues;
  std::vector<ServiceSpec> services;
  std::optional<IdentitySpec> identities;  ///< None: all queues are open.
};

/// The queue of a request: same host, longest prefix of the path.
///
/// @returns Null when there is none. Thread-safe.
const QueueSpec* FindQueue(const Configuration& configuration,
                           const std::string& host,
                           const std::string& path);

/// A worker: one life of a host's endpoint that runs tasks.
struct WorkerInfo {
  std::string id;       ///< A later life may have the same.
  std::string address;  ///< "ip:port".
  std::string service;
  std::string availability_zone;
  std::string host;
  std::string rack;
  std::vector<std::string> labels;
  Resources capacity;
  bool is_draining = false;

  friend bool operator==(const WorkerInfo&, const WorkerInfo&) = default;
};

/// Names one task of one job.
struct TaskId {
  std::string job;
  uint32_t occurrence = 0;
  uint32_t step = 0;
  uint32_t index = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads <=>.
  friend auto operator<=>(const TaskId&, const TaskId&) = default;
};

/// "JOB.OCCURRENCE.STEP.INDEX". Thread-safe.
std::string FormatTaskId(const TaskId& task);

/// Reads FormatTaskId()'s text; none for anything else. Thread-safe.
std::optional<TaskId> ParseTaskId(const std::string& text);

enum class JobState : uint8_t {
  kQueued,  ///< Nothing of it was started yet.
  kRunning,
  kSucceeded,
  kFailed,
  kCancelled,
  kCount,
};

/// A lower-case word for logs. Thread-safe.
const char* JobStateName(JobState state);

/// How a run ended.
enum class RunEnd : uint8_t {
  kDone,
  kFailed,   ///< By its own fault or the worker's.
  kStopped,  ///< As it was told.
  kLapsed,   ///< Its lease ran out, or its worker is gone.
  kBroken,   ///< Another member of its gang ended.
  kAlone,    ///< Its gang was not complete in time.
  kCount,
};

/// A lower-case word for logs. Thread-safe.
const char* RunEndName(RunEnd end);

}  // namespace laurelhall::scheduling
