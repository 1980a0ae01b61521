#include <algorithm>
#include <cmath>

#include "step_p.h"

namespace laurelhall::placement {
namespace {

using model::Resources;

// Limit of reserved hosts in a pool.
constexpr int kMaxReservations = 2;
// Starved work may end a run that has done more than this many times its
// estimated work: one that can checkpoint, and one that must be stopped.
constexpr int kCheckpointOverrunFactor = 2;
constexpr int kStopOverrunFactor = 10;

struct ExpectedRoom {
  WallTime free_at{};
  Resources spare;
};

// Estimates when a host will have room for the size, if runs end in the order
// of their remaining run times. Returns nullopt if the room never suffices.
std::optional<ExpectedRoom> EstimateRoom(const StepContext& context,
                                         const HostSlot& slot,
                                         const Resources& size) {
  std::vector<std::pair<Millis, int>> ends;
  for (const int index : slot.runs) {
    if (!context.ledger.runs[index].is_releasing) {
      ends.emplace_back(RemainingRunTime(context, context.ledger.runs[index]),
                        index);
    }
  }
  std::sort(ends.begin(), ends.end());
  ExpectedRoom room{context.now, slot.expected()};
  for (const auto& [remaining, index] : ends) {
    if (Fits(size, room.spare)) {
      break;
    }
    room.free_at = context.now + remaining;
    room.spare = room.spare + context.ledger.runs[index].held;
  }
  if (!Fits(size, room.spare)) {
    return std::nullopt;
  }
  room.spare = room.spare - size;
  return room;
}

// Ends runs that are far over their estimates, so that a starved job does not
// wait for them forever. Runs of a higher priority are left.
void EndOverdueRuns(StepContext& context,
                    const HostSlot& slot,
                    const QueuedJob& queued) {
  for (const int index : slot.runs) {
    const Run& run = context.ledger.runs[index];
    if (run.is_releasing || PriorityRank(*run.job) < queued.rank) {
      continue;
    }
    const Millis estimate = context.estimates.ExpectedRunTime(*run.job);
    const Millis work = WorkDone(*run.job, context.now);
    const int bound =
        run.job->can_checkpoint ? kCheckpointOverrunFactor : kStopOverrunFactor;
    if (work > estimate * bound) {
      CheckpointOrStop(context, index,
                       "job " + queued.job->id + " has waited too long");
    }
  }
}

}  // namespace

Millis RemainingRunTime(const StepContext& context, const Run& run) {
  Millis work = WorkDone(*run.job, context.now);
  if (run.usage != nullptr) {
    work = std::max(work, run.usage->work);
  }
  const Millis remaining = context.estimates.Remaining(*run.job, work);
  const double throttle = std::max(run.throttle, 0.01);
  return Millis(
      std::llround(static_cast<double>(remaining.count()) / throttle));
}

void ReserveHost(StepContext& context, const QueuedJob& queued) {
  PoolState& pool = context.ledger.pools[queued.pool];
  if (pool.reservations >= kMaxReservations) {
    return;
  }
  int best = -1;
  ExpectedRoom room;
  for (const int index : pool.hosts) {
    const HostSlot& slot = context.ledger.hosts[index];
    if (!IsEligibleHost(slot, queued) || slot.reservation.has_value()) {
      continue;
    }
    const Resources size =
        context.ledger.SizeOn(slot, *queued.job, queued.size);
    const auto when = EstimateRoom(context, slot, size);
    if (when.has_value() && (best < 0 || when->free_at < room.free_at)) {
      best = index;
      room = *when;
    }
  }
  if (best < 0) {
    return;
  }
  ++pool.reservations;
  HostSlot& slot = context.ledger.hosts[best];
  slot.reservation =
      Reservation{queued.job, room.free_at, room.spare, queued.is_starved};
  if (queued.is_starved) {
    EndOverdueRuns(context, slot, queued);
  }
}

bool MayBackfill(const StepContext& context,
                 const HostSlot& slot,
                 const QueuedJob& queued,
                 const Resources& size) {
  if (!slot.reservation.has_value()) {
    return true;
  }
  const Reservation& reservation = *slot.reservation;
  if (!reservation.excludes_short_jobs &&
      context.now + queued.remaining <= reservation.free_at) {
    return true;
  }
  return Fits(size, reservation.spare);
}

}  // namespace laurelhall::placement
