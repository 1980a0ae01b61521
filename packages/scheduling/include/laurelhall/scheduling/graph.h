#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "laurelhall/base/time.h"

// Value types for jobs (graphs of tasks), the queues that accept them and the
// workers that run them.
namespace laurelhall::scheduling {

/// Resources that a task requires or that a worker provides.
struct Resources {
  int64_t millicores = 0;
  int64_t memory_mb = 0;
  int64_t accelerators = 0;

  friend bool operator==(const Resources&, const Resources&) = default;
};

/// Whether `need` is at most `available` in every resource. Thread-safe.
inline bool Fits(const Resources& need, const Resources& available) {
  return need.millicores <= available.millicores &&
         need.memory_mb <= available.memory_mb &&
         need.accelerators <= available.accelerators;
}

/// Lowers each resource of `least` to that of `other`. Thread-safe for distinct
/// values.
void Lower(Resources& least, const Resources& other);

/// Adds `part` to `sum`. Thread-safe for distinct values.
void Add(Resources& sum, const Resources& part);

/// Subtracts `part` from `sum`. Thread-safe for distinct values.
void Subtract(Resources& sum, const Resources& part);

/// One step of a job: a number of identical tasks.
struct StepSpec {
  uint32_t count = 0;
  Resources need;
  Millis estimate{0};  ///< Estimated run time of one task; may be far off.
  /// Indices of earlier steps that must be done first.
  std::vector<uint32_t> depends_on;
  bool is_gang = false;  ///< Makes progress only while all of its tasks run.
  bool is_same_rack = false;  ///< Runs slower when spread over several racks.
  bool is_checkpointing = false;
  /// Several copies of a task may run; the first one that finishes counts.
  bool is_speculative = false;
  bool is_persistent = false;  ///< Runs until the job is cancelled.
  /// Best effort: runs on processor time that other tasks leave unused, and is
  /// not counted against a worker's processors.
  bool is_best_effort = false;
  std::string required_label;
  /// Rack that holds the input data: tasks run faster there. Empty: any rack.
  std::string data_rack;
  /// Maximum number of tasks of this step on one worker. 0: no limit.
  uint32_t max_tasks_per_worker = 0;
  std::string image;  ///< Tasks of the same image behave alike.
  /// Upper bound on the tail latency of a serving task. 0: none.
  Millis target_tail_latency{0};
  /// Tasks of a persistent step that actions of the scheduler itself may have
  /// down at the same time. 0: no limit.
  uint32_t may_miss = 0;
};

/// A job as submitted by a caller.
struct JobSpec {
  std::string payload;  ///< Passed to each task unchanged.
  std::vector<StepSpec> steps;
  uint32_t occurrences = 1;  ///< How many times all steps run.
  bool is_timed = false;     ///< Each occurrence has a due time.
  WallTime first_due{};      ///< Due time of the first occurrence.
  Millis interval{0};        ///< Between the due times of two occurrences.
};

/// A job queue and the service whose workers run its jobs.
struct QueueSpec {
  std::string name;
  std::string host;    ///< Host name of requests that are routed to it.
  std::string prefix;  ///< Path prefix of these requests.
  std::string service;
  int32_t priority = 0;  ///< 0 is the highest.
  uint32_t max_attempts = 1;
  /// A job is on time when it ends within `stretch` times the expected run time
  /// of all of its steps in sequence, plus `target_latency`.
  double stretch = 1;
  Millis target_latency{0};
};

/// A service: a pool of hosts with one worker each.
struct ServiceSpec {
  std::string name;
  bool enforces_capacity =
      false;              ///< Its workers reject tasks that do not fit.
  bool is_spare = false;  ///< Reserve pool: its hosts are powered off.
};

/// An organisation that submits jobs, and its share of the workers.
struct OrganisationSpec {
  std::string name;
  /// Fingerprints of its API keys, never the keys themselves.
  std::vector<std::string> keys;
  /// Its share of the workers when demand exceeds capacity, and the number of
  /// jobs per second that it is guaranteed.
  double weight = 0;
  /// Limit on the sum of its active runs, by resource. Zero: no limit.
  Resources cap;
};

/// Organisations and their access to the queues.
struct IdentitySpec {
  std::vector<OrganisationSpec> organisations;
  /// Names of the queues that accept jobs without a key.
  std::vector<std::string> open_queues;
};

/// A version of the scheduling configuration.
struct Configuration {
  uint64_t version = 0;
  std::string document;  ///< The text as submitted; returned to readers.
  std::vector<QueueSpec> queues;
  std::vector<ServiceSpec> services;
  /// Without it, no queue requires a key.
  std::optional<IdentitySpec> identities;
};

/// Finds the queue of a request: same host, longest matching path prefix.
///
/// @returns Null when no queue matches. Thread-safe.
const QueueSpec* FindQueue(const Configuration& configuration,
                           const std::string& host,
                           const std::string& path);

/// A worker: one incarnation of an endpoint on a host that runs tasks.
struct WorkerInfo {
  std::string id;       ///< A later incarnation may reuse it.
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

/// Identifies one task of a job.
struct TaskId {
  std::string job;
  uint32_t occurrence = 0;
  uint32_t step = 0;
  uint32_t index = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads <=>.
  friend auto operator<=>(const TaskId&, const TaskId&) = default;
};

/// Formats as "JOB.OCCURRENCE.STEP.INDEX". Thread-safe.
std::string FormatTaskId(const TaskId& task);

/// Parses the output of FormatTaskId(); none for any other text. Thread-safe.
std::optional<TaskId> ParseTaskId(const std::string& text);

enum class JobState : uint8_t {
  kQueued,  ///< No task has been started yet.
  kRunning,
  kSucceeded,
  kFailed,
  kCancelled,
  kCount,
};

/// Lower-case name for logs. Thread-safe.
const char* JobStateName(JobState state);

/// How a run ended.
enum class RunEnd : uint8_t {
  kDone,
  kFailed,          ///< Through a fault of the task or of the worker.
  kStopped,         ///< On request.
  kLapsed,          ///< Its lease expired, or its worker is gone.
  kGangBroken,      ///< Another member of its gang ended.
  kGangIncomplete,  ///< Not all members of its gang started in time.
  kCount,
};

/// Lower-case name for logs. Thread-safe.
const char* RunEndName(RunEnd end);

}  // namespace laurelhall::scheduling
