#include <algorithm>
#include <cmath>

#include "step_p.h"

namespace laurelhall::placement {
namespace {

using model::Resources;

// Blocked jobs of one pool that a host is kept for.
constexpr int kMaxReservations = 2;
// How far a run must be over its estimate before starved work may end it.
constexpr int kCheckpointOverrunFactor = 2;
constexpr int kStopOverrunFactor = 10;

struct ExpectedRoom {
  WallTime free_at{};
  Resources spare;
};

// When a host will have room, by the runs that are expected to end first.
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
  ExpectedRoom expected{context.now, slot.expected()};
  for (const auto& [remaining, index] : ends) {
    if (Fits(size, expected.spare)) {
      break;
    }
    expected.free_at = context.now + remaining;
    expected.spare = expected.spare + context.ledger.runs[index].held;
  }
  if (!Fits(size, expected.spare)) {
    return std::nullopt;
  }
  expected.spare = expected.spare - size;
  return expected;
}

// Starved work does not wait for ever for runs that were to end long ago.
void EndOverdueRuns(StepContext& context,
                    const HostSlot& slot,
                    const QueuedJob& queued) {
  for (const int index : slot.runs) {
    const Run& run = context.ledger.runs[index];
    if (run.is_releasing || PriorityRank(*run.job) < queued.rank) {
      continue;
    }
    const Millis estimate = context.estimates.RunTime(*run.job);
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
  ExpectedRoom expected;
  for (const int index : pool.hosts) {
    const HostSlot& slot = context.ledger.hosts[index];
    if (!IsEligibleHost(slot, queued) || slot.reservation.has_value()) {
      continue;
    }
    const Resources size =
        context.ledger.SizeOn(slot, *queued.job, queued.size);
    const auto when = EstimateRoom(context, slot, size);
    if (when.has_value() && (best < 0 || when->free_at < expected.free_at)) {
      best = index;
      expected = *when;
    }
  }
  if (best < 0) {
    return;
  }
  ++pool.reservations;
  HostSlot& slot = context.ledger.hosts[best];
  slot.reservation = Reservation{queued.job, expected.free_at, expected.spare,
                                 queued.is_starved};
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
