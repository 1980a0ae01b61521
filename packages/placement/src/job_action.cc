#include "laurelhall/placement/job_action.h"

#include <algorithm>
#include <array>

#include "placement_p.h"

namespace laurelhall::placement {
namespace {

using model::Job;
using model::JobState;

constexpr Millis kInitialRetryDelay{2'000};
constexpr Millis kMaxRetryDelay{300'000};
constexpr size_t kMaxFailedOnHosts = 8;

Millis RetryDelay(int failures) {
  Millis delay = kInitialRetryDelay;
  for (int i = 1; i < failures && delay < kMaxRetryDelay; ++i) {
    delay *= 2;
  }
  return std::min(delay, kMaxRetryDelay);
}

void EndRun(Job& job) {
  job.host.clear();
  job.reserved = {};
  job.throttle = 1;
  job.is_stopping = false;
  ++job.lease;
}

void Requeue(Job& job, WallTime now) {
  EndRun(job);
  job.state = JobState::kQueued;
  job.state_since = now;
}

void Start(Job& job, const JobAction& action, WallTime now) {
  ++job.lease;
  ++job.attempts;
  job.state = JobState::kRunning;
  job.host = action.host;
  job.reserved = action.reserved;
  job.throttle = 1;
  job.is_stopping = false;
  job.started = now;
  job.state_since = now;
}

void Throttle(Job& job, const JobAction& action, WallTime) {
  job.throttle = action.throttle;
}

void Checkpoint(Job& job, const JobAction&, WallTime now) {
  job.state = JobState::kCheckpointing;
  job.state_since = now;
}

void Stop(Job& job, const JobAction&, WallTime now) {
  job.is_stopping = true;
  job.state_since = now;
}

void Fail(Job& job, const JobAction&, WallTime now) {
  EndRun(job);
  job.state = JobState::kFailed;
  job.state_since = now;
}

void ApplyRequeue(Job& job, const JobAction&, WallTime now) {
  Requeue(job, now);
}

using ApplyFunction = void (*)(Job&, const JobAction&, WallTime);

// Indexed by JobActionKind.
constexpr std::array<ApplyFunction, static_cast<size_t>(JobActionKind::kCount)>
    kApplyByKind = {&Start, &Throttle, &Checkpoint,
                    &Stop,  &Fail,     &ApplyRequeue};

void RequeueAfterFailure(Job& job, const JobReport& report, WallTime now) {
  ++job.failures;
  const bool is_listed = std::find(job.failed_on.begin(), job.failed_on.end(),
                                   report.host) != job.failed_on.end();
  if (!is_listed && job.failed_on.size() < kMaxFailedOnHosts) {
    job.failed_on.push_back(report.host);
  }
  Requeue(job, now);
  job.not_before = now + RetryDelay(job.failures);
  job.reason = "failed on " + report.host + ": " + report.text;
}

// A cancelled job keeps its worker until the worker reports the end of the run,
// which had the lease before the cancellation.
std::optional<Job> ReleaseWorker(Job job, const JobReport& report) {
  if (report.lease + 1 != job.lease || report.host != job.host) {
    return std::nullopt;
  }
  job.host.clear();
  job.reserved = {};
  return job;
}

}  // namespace

Job AfterAction(const Job& job, const JobAction& action, WallTime now) {
  Job next = job;
  next.reason = action.reason;
  kApplyByKind.at(static_cast<size_t>(action.kind))(next, action, now);
  return next;
}

std::optional<Job> AfterReport(const Job& job,
                               const JobReport& report,
                               WallTime now) {
  if (!IsRunning(job)) {
    return ReleaseWorker(job, report);
  }
  if (report.lease != job.lease || report.host != job.host) {
    return std::nullopt;
  }
  Job next = job;
  next.peak = Max(job.peak, report.peak);
  switch (report.kind) {
    case JobReportKind::kSucceeded:
      EndRun(next);
      next.state = JobState::kSucceeded;
      next.state_since = now;
      next.work_done = report.work_done;
      next.reason.clear();
      break;
    case JobReportKind::kFailed:
      RequeueAfterFailure(next, report, now);
      break;
    case JobReportKind::kCheckpointed:
      Requeue(next, now);
      next.work_done = std::max(job.work_done, report.work_done);
      break;
    case JobReportKind::kStopped:
      Requeue(next, now);
      break;
    case JobReportKind::kCount:
      return std::nullopt;
  }
  return next;
}

Job AfterCancel(const Job& job, WallTime now, const std::string& reason) {
  if (job.state != JobState::kQueued && !IsRunning(job)) {
    return job;
  }
  Job next = job;
  next.state = JobState::kCancelled;
  next.state_since = now;
  next.reason = reason;
  ++next.lease;
  return next;
}

}  // namespace laurelhall::placement
