#pragma once

#include <map>
#include <string>
#include <vector>

#include "laurelhall/model/fleet.h"
#include "laurelhall/placement/estimates.h"
#include "laurelhall/placement/job_action.h"
#include "laurelhall/placement/worker_evidence.h"

namespace laurelhall::placement {

/// What a worker last reported of a run; it lags.
struct JobUsage {
  uint64_t lease = 0;     ///< Usage of another lease is passed over.
  model::Resources used;  ///< The most it used lately.
  Millis work{0};         ///< Run time at full speed, earlier runs included.
};
BOOST_DESCRIBE_STRUCT(JobUsage, (), (lease, used, work))

/// What was observed besides the committed fleet.
struct Observations {
  std::map<std::string, JobUsage> usage;  ///< By job.
};
BOOST_DESCRIBE_STRUCT(Observations, (), (usage))

/// Bounds that a deployment may set.
struct PlacerInit {
  /// A worker that heard nothing for this long has ended its runs.
  Millis lease_timeout{15'000};
  /// Urgent work starts within this when ending lower work can make room.
  Millis max_urgent_start_delay{7'200};
  /// A checkpoint that takes longer becomes a stop.
  Millis checkpoint_timeout{60'000};
  /// The same while urgent work waits for the room.
  Millis urgent_checkpoint_timeout{3'000};
  /// A stop not confirmed within this is not counted on for urgent work.
  Millis stop_timeout{2'000};
  /// How long an owner with slack waits before borrowed runs that cannot
  /// checkpoint are stopped for its quota. What is borrowed is given back
  /// within this, a checkpoint's and a lease's timeout together.
  Millis reclaim_patience{300'000};
  /// A job that waits longer goes before others of its priority, and nothing
  /// is started on the host kept for it that may outlast its wait.
  Millis starvation_age{3'600'000};
  /// Batch work with less slack than this competes as standard work.
  Millis promotion_slack{30 * 60'000};
  /// The least share of its processors that a throttled job keeps.
  double min_throttle = 0.25;
  /// Distinct workers on which a job must fail to be failed for good.
  int max_failed_workers = 3;
  int max_failures = 8;
  /// Most starts on one worker in a step, so that one that fails fast is
  /// found out before it drew many.
  int max_starts_per_host = 4;
  /// Most starts in a step; the rest follows in the next one.
  int max_starts = 256;
};

/// What placement learned; kept beside the fleet, so that it survives the
/// leader.
struct PlacementMemory {
  std::vector<KindEstimates> kinds;
  std::vector<WorkerRecord> workers;
};
BOOST_DESCRIBE_STRUCT(PlacementMemory, (), (kinds, workers))

/// Decides which job runs where, without I/O.
///
/// @remarks Step() derives everything from its arguments and the learned
///   memory: a second call with the same arguments gives the same actions, and
///   a new leader with the saved memory goes on as the old one would, only with
///   fewer first starts on each worker until it has seen one succeed there. Not
///   thread-safe.
class Placer {
 public:
  explicit Placer(PlacerInit init = {});

  /// Returns what to do now, in the order in which to commit it.
  ///
  /// @param fleet The committed fleet.
  /// @param observations May lag and may name jobs that are gone.
  /// @param now The leader's wall time.
  /// @remarks Call it about twice a second. A room made for urgent work is
  ///   used by a later step, once the workers have confirmed.
  std::vector<JobAction> Step(const model::Fleet& fleet,
                              const Observations& observations,
                              WallTime now);

  /// Learns from a report that was committed, once for each.
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
