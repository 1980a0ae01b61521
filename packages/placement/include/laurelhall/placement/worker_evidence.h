#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "laurelhall/model/fleet.h"

namespace laurelhall::placement {

/// One job's failure on one worker, as far as it speaks against the worker.
struct FailureEvidence {
  std::string job;
  std::string kind;         ///< Team and kind of the job.
  bool is_blamed = false;   ///< The same job succeeded on another worker.
  bool is_excused = false;  ///< The same job failed on another worker too.
};
BOOST_DESCRIBE_STRUCT(FailureEvidence, (), (job, kind, is_blamed, is_excused))

/// What speaks against one worker.
struct WorkerRecord {
  std::string host;
  std::vector<FailureEvidence> failures;
  WallTime last_failure{};
  WallTime set_aside_at{};
  WallTime set_aside_until{};
  int times_set_aside = 0;  ///< Doubles how long; forgiven by successes.
  int successes = 0;        ///< Since the last failure.
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

/// Tells workers that fail everything from jobs that fail everywhere.
///
/// A failure speaks against its worker until the job fails on another worker
/// too (then it speaks against the job) and twice as loud once the job has
/// succeeded on another one. Failures of one kind of job count once, so that a
/// broken kind does not set workers aside.
///
/// @remarks Bounded: 8 failures a worker, 4,096 workers, and nothing is saved
///   of a worker without a failure. Not thread-safe.
class WorkerEvidence {
 public:
  void NoteFailure(const model::Job& job,
                   const std::string& host,
                   WallTime now);
  void NoteSuccess(const model::Job& job,
                   const std::string& host,
                   WallTime now);

  /// Whether the worker gets no work now.
  bool IsSetAside(std::string_view host, WallTime now) const;

  /// Whether the worker failed so lately that it must wait for its next try.
  bool IsPaused(std::string_view host, WallTime now) const;

  /// Whether the worker's last run succeeded, as far as this leader saw.
  bool IsProven(std::string_view host) const;

  /// How much speaks against it; 0 for a worker without a record.
  int Score(std::string_view host) const;

  /// The record, or null.
  const WorkerRecord* Find(std::string_view host) const;

  std::vector<WorkerRecord> Save() const;
  void Load(const std::vector<WorkerRecord>& saved);

 private:
  bool ExcuseOthers(const model::Job& job,
                    const std::string& host,
                    WallTime now);
  WorkerRecord& RecordOf(const std::string& host);
  void SetAside(WorkerRecord& record, WallTime now);
  void Forgive(WorkerRecord& record);
  void SetAsideIfDue(WorkerRecord& record, WallTime now);

  std::map<std::string, WorkerRecord, std::less<>> m_records;
  // Not saved: a new leader is only more careful until it has seen a success.
  std::set<std::string, std::less<>> m_proven;
};

}  // namespace laurelhall::placement
