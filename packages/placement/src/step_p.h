#pragma once

#include <string>
#include <vector>

#include "laurelhall/placement/placer.h"
#include "ledger_p.h"

// The parts of one step; each reads and updates the ledger and adds actions.
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

// A queued job with what decides its place in the order.
struct QueuedJob {
  const model::Job* job = nullptr;
  int team = 0;
  int pool = 0;
  size_t rank = 0;  // Its priority, or a higher one for its small slack.
  bool will_miss_deadline =
      false;  // Expected to miss its deadline in any case.
  bool is_starved = false;
  WallTime latest_start{};
  WallTime waiting_since{};
  Millis remaining{0};
  model::Resources size;
};

// --- release.cc ---

// Runs whose worker is lost, or did not confirm in time.
void RequeueLostRuns(StepContext& context);
// Jobs that failed on several workers that do not fail everything.
void FailExhaustedJobs(StepContext& context);
// Runs on hosts that drain: checkpointed first, then left to end, then stopped.
void DrainHosts(StepContext& context);
// Checkpoints that take too long for what waits for them.
void StopSlowCheckpoints(StepContext& context);

void Checkpoint(StepContext& context, int run, std::string reason);
void Stop(StepContext& context, int run, std::string reason);
// Checkpoints a run that can, stops another.
void CheckpointOrStop(StepContext& context, int run, const std::string& reason);
void Throttle(StepContext& context,
              int run,
              double throttle,
              std::string reason);

// --- pressure.cc ---

// Runs that use more than their host has.
void RelievePressure(StepContext& context);
void LiftThrottles(StepContext& context);

// --- queue.cc ---

// Jobs that may be started now, in the order of admission.
std::vector<QueuedJob> OrderQueue(StepContext& context);
// The latest time at which a job can start and still meet its deadline.
WallTime LatestStart(const model::Job& job, Millis remaining);
// Workers that speak against the job, of all on which it failed.
int CountHealthyWorkersFailedOn(const model::Job& job,
                                const WorkerEvidence& evidence,
                                WallTime now);

// --- place.cc ---

void PlaceQueue(StepContext& context);
// Whether a host may ever take the job, room aside.
bool IsEligibleHost(const HostSlot& slot, const QueuedJob& queued);

// --- preempt.cc ---

enum class RoomResult {
  kNone,          // No room can be made.
  kAvailableNow,  // Throttling made it: the job can start on `host` now.
  kWaiting,       // It is on its way; the job has its claim on `host`.
};

struct Room {
  RoomResult result = RoomResult::kNone;
  int host = -1;
};

Room MakeRoom(StepContext& context,
              const QueuedJob& queued,
              bool is_guaranteed);
// Ends a team's own lower work until a job fits in a quota without borrowing.
bool MakeQuotaRoom(StepContext& context, const QueuedJob& queued);

// --- backfill.cc ---

// Keeps the host for a blocked job on which its room is expected first.
void ReserveHost(StepContext& context, const QueuedJob& queued);
// Whether a job may go beside what the host is kept for.
bool MayBackfill(const StepContext& context,
                 const HostSlot& slot,
                 const QueuedJob& queued,
                 const model::Resources& size);
Millis RemainingRunTime(const StepContext& context, const Run& run);

}  // namespace laurelhall::placement
