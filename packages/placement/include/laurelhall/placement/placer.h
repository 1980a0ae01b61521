#pragma once

#include <map>
#include <string>
#include <vector>

#include "laurelhall/model/fleet.h"
#include "laurelhall/placement/estimates.h"
#include "laurelhall/placement/job_action.h"
#include "laurelhall/placement/worker_evidence.h"

namespace laurelhall::placement {

/// Resource use and progress of a run, as its worker last reported them; they
/// lag behind the run.
struct JobUsage {
  uint64_t lease = 0;     ///< Usage reported under another lease is ignored.
  model::Resources used;  ///< The recent peak.
  Millis work{0};         ///< Run time at full speed, with earlier runs.
};
BOOST_DESCRIBE_STRUCT(JobUsage, (), (lease, used, work))

/// Observations that are not part of the committed fleet.
struct Observations {
  std::map<std::string, JobUsage> usage;  ///< By job.
};
BOOST_DESCRIBE_STRUCT(Observations, (), (usage))

/// Limits and timeouts that a deployment may set.
struct PlacerInit {
  /// A worker that has not heard from the leader for this long has ended its
  /// runs.
  Millis lease_timeout{15'000};
  /// Urgent work starts within this time if ending less urgent runs can make
  /// room for it.
  Millis max_urgent_start_delay{7'200};
  /// A run whose checkpoint takes longer is stopped.
  Millis checkpoint_timeout{60'000};
  /// Replaces checkpoint_timeout while urgent work waits for room on the host.
  Millis urgent_checkpoint_timeout{3'000};
  /// The room of a run whose stop is not confirmed within this time is no
  /// longer counted as expected, e.g. for urgent work.
  Millis stop_timeout{2'000};
  /// How long a job within its team's quota waits, if its deadline allows it,
  /// before borrowed runs that cannot checkpoint are stopped for it. Borrowed
  /// resources are given back within the sum of this time, the checkpoint
  /// timeout and the lease timeout.
  Millis reclaim_timeout{300'000};
  /// A job that waits longer is starved: it goes before others of its priority,
  /// and on the host reserved for it only jobs that leave its room free are
  /// started.
  Millis starvation_age{3'600'000};
  /// Batch jobs whose latest start is closer than this are ordered as standard
  /// jobs.
  Millis promotion_slack{30 * 60'000};
  /// The smallest share of its processors to which a run is throttled.
  double min_throttle = 0.25;
  /// A job that failed on this many distinct workers that are not set aside is
  /// failed for good; fewer suffice if fewer hosts could run it.
  int max_failed_workers = 3;
  /// A job that failed this many times in all is failed for good.
  int max_failures = 8;
  /// Limit of starts on one worker in a step, so that a worker on which jobs
  /// fail fast is detected before it has received many of them.
  int max_starts_per_host = 4;
  /// Limit of starts in a step; the remaining jobs follow in later steps.
  int max_starts = 256;
};

/// The estimates and failure records that placement has learned. Stored beside
/// the fleet, so that they survive a change of leader.
struct PlacementMemory {
  std::vector<KindEstimates> kinds;
  std::vector<WorkerRecord> workers;
};
BOOST_DESCRIBE_STRUCT(PlacementMemory, (), (kinds, workers))

/// Decides which job runs where, without I/O.
///
/// @remarks Step() derives everything from its arguments and the learned
///   memory: a second call with the same arguments gives the same actions. A
///   new leader with the saved memory decides as the old one would, except that
///   it starts fewer jobs on each worker until it has seen one succeed there.
///   Not thread-safe.
class Placer {
 public:
  explicit Placer(PlacerInit init = {});

  /// Returns the actions to take now, in the order in which to commit them.
  ///
  /// @param fleet The committed fleet.
  /// @param observations May lag and may name jobs that are gone.
  /// @param now The leader's wall time.
  /// @remarks Call it about twice a second. When runs are ended to make room,
  ///   a later step starts the urgent job there, once the workers have
  ///   confirmed.
  std::vector<JobAction> Step(const model::Fleet& fleet,
                              const Observations& observations,
                              WallTime now);

  /// Updates the estimates and failure records from a committed report. Call
  /// it once for each report.
  ///
  /// @param job The job as it was before the report.
  void Learn(const model::Job& job, const JobReport& report, WallTime now);

  PlacementMemory Save() const;
  void Load(const PlacementMemory& saved);

  const Estimates& estimates() const { return m_estimates; }
  const WorkerEvidence& evidence() const { return m_evidence; }
  const PlacerInit& init() const { return m_init; }

 private:
  PlacerInit m_init;
  Estimates m_estimates;
  WorkerEvidence m_evidence;
};

}  // namespace laurelhall::placement
