#pragma once

#include <optional>
#include <string>

#include "laurelhall/model/fleet.h"

// Actions that placement decides, reports that workers send, and the state of
// the job after each. The functions are pure: a controller commits their result
// provided that the job still has the expected lease.
namespace laurelhall::placement {

enum class JobActionKind {
  kStart,       ///< Run the job on `host` with `reserved` under the next lease.
  kThrottle,    ///< Limit it to this share of its processors; 1 is no limit.
  kCheckpoint,  ///< Save the work and end the run.
  kStop,        ///< End the run; work since the last checkpoint is lost.
  kFail,        ///< Fail the job for good, without another retry.
  kRequeue,     ///< Queue again: the worker is lost, the lease expired.
  kCount,
};
BOOST_DESCRIBE_ENUM(JobActionKind,
                    kStart,
                    kThrottle,
                    kCheckpoint,
                    kStop,
                    kFail,
                    kRequeue)

/// One decision about one job, valid only while the job has `expected_lease`.
struct JobAction {
  std::string job;
  uint64_t expected_lease = 0;
  JobActionKind kind = JobActionKind::kCount;
  std::string host;
  std::string reason;
  model::Resources reserved;  ///< Used by kStart.
  double throttle = 1;        ///< Used by kThrottle.

  friend bool operator==(const JobAction&, const JobAction&) = default;
};
BOOST_DESCRIBE_STRUCT(
    JobAction,
    (),
    (job, expected_lease, kind, host, reason, reserved, throttle))

enum class JobReportKind {
  kSucceeded,
  kFailed,
  kCheckpointed,  ///< The run ended with `work_done` saved.
  kStopped,       ///< The run ended on request.
  kCount,
};
BOOST_DESCRIBE_ENUM(JobReportKind, kSucceeded, kFailed, kCheckpointed, kStopped)

/// The end of one run, as its worker reports it.
struct JobReport {
  std::string job;
  uint64_t lease = 0;  ///< Lease of the run; fences late reports.
  std::string host;
  JobReportKind kind = JobReportKind::kCount;
  Millis work_done{0};    ///< Run time at full speed, earlier runs included.
  model::Resources peak;  ///< Peak usage of the run.
  std::string text;       ///< Why it failed.
};
BOOST_DESCRIBE_STRUCT(JobReport,
                      (),
                      (job, lease, host, kind, work_done, peak, text))

/// Returns the job as it is after an action. Thread-safe.
///
/// @param job The committed job; its lease must be `expected_lease`.
/// @param now The leader's wall time.
model::Job AfterAction(const model::Job& job,
                       const JobAction& action,
                       WallTime now);

/// Returns the job as it is after a report, or nullopt for a late report.
///
/// @remarks Thread-safe. A report is late when its lease or worker differs from
///   that of the job's current run. The report of a cancelled job only releases
///   the worker.
std::optional<model::Job> AfterReport(const model::Job& job,
                                      const JobReport& report,
                                      WallTime now);

/// Returns the job as it is after a cancellation. The resources on its worker
/// stay reserved until the worker confirms or the lease expires. An ended job
/// is returned unchanged. Thread-safe.
model::Job AfterCancel(const model::Job& job,
                       WallTime now,
                       const std::string& reason);

}  // namespace laurelhall::placement
