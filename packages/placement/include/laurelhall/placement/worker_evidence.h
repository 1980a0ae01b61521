#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "laurelhall/model/fleet.h"

namespace laurelhall::placement {

/// The failure of one job on one worker, weighed as evidence of a faulty
/// worker.
struct FailureEvidence {
  std::string job;
  std::string kind;         ///< Team and kind of the job.
  bool is_blamed = false;   ///< The same job succeeded on another worker.
  bool is_excused = false;  ///< The same job failed on another worker too.
};
BOOST_DESCRIBE_STRUCT(FailureEvidence, (), (job, kind, is_blamed, is_excused))

/// The evidence of faults of one worker. It is set aside (quarantined: it gets
/// no jobs) from `set_aside_at` to `set_aside_until`.
struct WorkerRecord {
  std::string host;
  std::vector<FailureEvidence> failures;
  WallTime last_failure{};
  WallTime set_aside_at{};
  WallTime set_aside_until{};
  int times_set_aside =
      0;              ///< Each doubles the next time; successes reduce it.
  int successes = 0;  ///< Since the last failure.
};
BOOST_DESCRIBE_STRUCT(WorkerRecord,
                      (),
                      (host,
                       failures,
                       last_failure,
                       set_aside_at,
                       set_aside_until,
                       times_set_aside,
                       successes))

/// Distinguishes faulty workers, which fail all jobs, from faulty jobs, which
/// fail on all workers.
///
/// A failure adds 1 to the score of its worker. It is excused, and adds
/// nothing, once the job fails on another worker too. It is blamed on the
/// worker, and adds 2, once the job succeeds on another worker. Failures of one
/// kind of job that are neither count once, so that a broken kind of job does
/// not get workers quarantined.
///
/// @remarks Memory is bounded: 8 failures per worker and 4,096 workers. Nothing
///   is saved for a worker without a failure. Not thread-safe.
class WorkerEvidence {
 public:
  void NoteFailure(const model::Job& job,
                   const std::string& host,
                   WallTime now);
  void NoteSuccess(const model::Job& job,
                   const std::string& host,
                   WallTime now);

  /// Returns whether the worker is quarantined and must get no jobs.
  bool IsWorkerQuarantined(std::string_view host, WallTime now) const;

  /// Returns whether the worker is in the backoff that follows a failure and
  /// must not start a job yet.
  bool IsInBackoff(std::string_view host, WallTime now) const;

  /// Returns whether a job succeeded on the worker since its last failure that
  /// was not excused, as far as this leader has seen.
  bool SucceededSinceFailure(std::string_view host) const;

  /// Returns the sum of the evidence; 0 for a worker without a record.
  int FaultScore(std::string_view host) const;

  /// Returns the record of the worker, or null.
  const WorkerRecord* Find(std::string_view host) const;

  std::vector<WorkerRecord> Save() const;
  void Load(const std::vector<WorkerRecord>& saved);

 private:
  bool ExcuseOtherWorkers(const model::Job& job,
                          const std::string& host,
                          WallTime now);
  WorkerRecord& FindOrAddRecord(const std::string& host);
  void Quarantine(WorkerRecord& record, WallTime now);
  void CreditSuccess(WorkerRecord& record);
  void QuarantineIfDue(WorkerRecord& record, WallTime now);

  std::map<std::string, WorkerRecord, std::less<>> m_records;
  // Not saved: a new leader only places fewer first jobs on a worker until it
  // has seen a success there.
  std::set<std::string, std::less<>> m_succeeded_hosts;
};

}  // namespace laurelhall::placement
