#pragma once

#include <optional>
#include <string>

#include "laurelhall/model/fleet.h"

// What placement asks for, what a worker reports, and the job that follows
// from each. The functions are pure: a controller commits their result under
// the lease that it expected.
namespace laurelhall::placement {

enum class JobActionKind {
  kStart,       ///< Run it on `host` with `reserved` under the next lease.
  kThrottle,    ///< Give it `throttle` of its reserved processors; 1 lifts.
  kCheckpoint,  ///< Save its work and end the run.
  kStop,        ///< End the run; work since the last checkpoint is lost.
  kFail,        ///< It is not tried again.
  kRequeue,     ///< Its worker is lost and the lease has run out.
  kCount,
};
BOOST_DESCRIBE_ENUM(JobActionKind,
                    kStart,
                    kThrottle,
                    kCheckpoint,
                    kStop,
                    kFail,
                    kRequeue)

/// One decision about one job, in force when its lease is still the expected.
struct JobAction {
  std::string job;
  uint64_t expected_lease = 0;
  JobActionKind kind = JobActionKind::kCount;
  std::string host;
  std::string reason;
  model::Resources reserved;  ///< With kStart.
  double throttle = 1;        ///< With kThrottle.

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
  kStopped,       ///< The run ended as asked.
  kCount,
};
BOOST_DESCRIBE_ENUM(JobReportKind, kSucceeded, kFailed, kCheckpointed, kStopped)

/// The end of one run, as its worker reports it.
struct JobReport {
  std::string job;
  uint64_t lease = 0;  ///< The lease the run had; fences late reports.
  std::string host;
  JobReportKind kind = JobReportKind::kCount;
  Millis work_done{0};    ///< Run time at full speed, earlier runs included.
  model::Resources peak;  ///< The most that the run used.
  std::string text;       ///< Why it failed.
};
BOOST_DESCRIBE_STRUCT(JobReport,
                      (),
                      (job, lease, host, kind, work_done, peak, text))

/// Returns the job once an action is committed. Thread-safe.
///
/// @param job The committed job; its lease is the action's expected one.
/// @param now The leader's wall time.
model::Job AfterAction(const model::Job& job,
                       const JobAction& action,
                       WallTime now);

/// Returns the job once a report is committed, or none for a late one.
///
/// @remarks Thread-safe. A report is late when its lease or worker is not the
///   one the job runs under. A cancelled job's report only frees its worker.
std::optional<model::Job> AfterReport(const model::Job& job,
                                      const JobReport& report,
                                      WallTime now);

/// Returns the job once it is cancelled; its worker holds its part until it
/// confirms or the lease runs out. No effect on an ended job. Thread-safe.
model::Job AfterCancel(const model::Job& job,
                       WallTime now,
                       const std::string& reason);

}  // namespace laurelhall::placement
