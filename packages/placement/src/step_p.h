#pragma once

#include <string>
#include <vector>

#include "laurelhall/placement/placer.h"
#include "ledger_p.h"

// The phases of a step. Each one reads and updates the ledger and adds actions.
namespace laurelhall::placement {

struct StepContext {
  const model::Fleet& fleet;
  const Estimates& estimates;
  const WorkerEvidence& evidence;
  const PlacerInit& init;
  WallTime now;
  Ledger ledger;
  std::vector<JobAction> actions;
  int starts = 0;
};

// A queued job and the values that determine its position in the queue.
struct QueuedJob {
  const model::Job* job = nullptr;
  int team = 0;
  int pool = 0;
  // The rank of its priority, or a higher one for small slack or starvation.
  size_t rank = 0;
  bool will_miss_deadline = false;  // Even if it started now.
  bool is_starved = false;
  WallTime latest_start{};
  WallTime waiting_since{};
  Millis remaining{0};
  model::Resources size;
};

// --- release.cc ---

// Requeues runs whose worker is lost or did not confirm a stop in time.
void RequeueLostRuns(StepContext& context);
// Fails jobs that failed too often, or on enough workers that are not set
// aside.
void FailExhaustedJobs(StepContext& context);
// Empties draining hosts: checkpoints the runs that can, lets the others end on
// their own, and ends those that remain after the drain timeout.
void DrainHosts(StepContext& context);
// Stops runs whose checkpoint exceeds its timeout, which is shorter if urgent
// work waits for the host.
void StopSlowCheckpoints(StepContext& context);

void Checkpoint(StepContext& context, int run, std::string reason);
void Stop(StepContext& context, int run, std::string reason);
// Checkpoints the run if it can checkpoint, otherwise stops it.
void CheckpointOrStop(StepContext& context, int run, const std::string& reason);
void Throttle(StepContext& context,
              int run,
              double throttle,
              std::string reason);

// --- pressure.cc ---

// Throttles or ends runs on hosts whose runs use more than the host has.
void RelievePressure(StepContext& context);
// Lifts throttles on hosts that have enough processors free.
void LiftThrottles(StepContext& context);

// --- queue.cc ---

// Returns the jobs that may be started now, in the order of admission.
std::vector<QueuedJob> OrderQueue(StepContext& context);
// The latest time at which a job can start and still meet its deadline. For a
// job without a deadline, a default time after its submission.
WallTime LatestStart(const model::Job& job, Millis remaining);
// The number of workers on which the job failed and that are not set aside:
// there the job itself is the likely cause.
int CountHealthyWorkersFailedOn(const model::Job& job,
                                const WorkerEvidence& evidence,
                                WallTime now);

// --- place.cc ---

void PlaceQueue(StepContext& context);
// Whether the host may start the job in this step, apart from free room.
bool IsEligibleHost(const HostSlot& slot, const QueuedJob& queued);

// --- preempt.cc ---

enum class RoomResult {
  kNone,          // No room can be made.
  kAvailableNow,  // By throttling: the job can start on `host` now.
  kWaiting,       // Runs on `host` are ending; the job has claimed the room.
};

struct Room {
  RoomResult result = RoomResult::kNone;
  int host = -1;
};

// Throttles or ends runs that the job may preempt, unless a host already has
// enough room expected.
Room MakeRoom(StepContext& context,
              const QueuedJob& queued,
              bool is_guaranteed);
// Ends less urgent runs of the job's own team until the job fits in the team's
// quota without borrowing. Returns whether it fits.
bool MakeQuotaRoom(StepContext& context, const QueuedJob& queued);

// --- backfill.cc ---

// Reserves, for a blocked job, the host on which room for it is expected first.
void ReserveHost(StepContext& context, const QueuedJob& queued);
// Whether a job may start on the host without delaying the job for which the
// host is reserved.
bool MayBackfill(const StepContext& context,
                 const HostSlot& slot,
                 const QueuedJob& queued,
                 const model::Resources& size);
Millis RemainingRunTime(const StepContext& context, const Run& run);

}  // namespace laurelhall::placement
