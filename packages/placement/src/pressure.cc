#include <algorithm>
#include <tuple>

#include "step_p.h"

namespace laurelhall::placement {
namespace {

// The throttle of a run that used more than its reserved processors.
constexpr double kBurstThrottle = 0.95;

double MemoryOveruse(const Run& run) {
  return run.held.memory_gb - run.job->reserved.memory_gb;
}

void ThrottleBursts(StepContext& context, const HostSlot& slot) {
  for (const int index : slot.runs) {
    const Run& run = context.ledger.runs[index];
    const double reserved = run.job->reserved.processors;
    const bool bursts = run.held.processors > reserved + kResourceTolerance;
    if (!run.is_releasing && bursts &&
        slot.free.processors < -kResourceTolerance) {
      Throttle(context, index, kBurstThrottle,
               "host " + slot.host->id + " has no processors left");
    }
  }
}

// Ends runs until the host's memory suffices: the least urgent first; among
// these, those that use more memory than was reserved; among these, those that
// can checkpoint and lose no work.
void EndRunsForMemory(StepContext& context, const HostSlot& slot) {
  std::vector<int> order = slot.runs;
  const std::vector<Run>& runs = context.ledger.runs;
  const auto key = [&runs](int index) {
    const Run& run = runs[index];
    const double overuse = MemoryOveruse(run);
    return std::tuple(run.job->priority, overuse > kResourceTolerance,
                      run.job->can_checkpoint, overuse);
  };
  std::stable_sort(order.begin(), order.end(),
                   [&key](int a, int b) { return key(b) < key(a); });
  for (const int index : order) {
    if (slot.free.memory_gb + slot.releasing.memory_gb >= -kResourceTolerance) {
      return;
    }
    if (!runs[index].is_releasing) {
      CheckpointOrStop(context, index,
                       "host " + slot.host->id + " has no memory left");
    }
  }
}

}  // namespace

void RelievePressure(StepContext& context) {
  for (const HostSlot& slot : context.ledger.hosts) {
    if (slot.host->state != model::HostState::kInPool) {
      continue;
    }
    if (slot.free.processors < -kResourceTolerance) {
      ThrottleBursts(context, slot);
    }
    if (slot.free.memory_gb < -kResourceTolerance) {
      EndRunsForMemory(context, slot);
    }
  }
}

// Lifts a throttle once the host has the processors free that the run lacks.
// After a burst throttle it must have all of the run's reserved processors
// free, so that a run that bursts is not lifted and throttled in turn.
void LiftThrottles(StepContext& context) {
  for (size_t i = 0; i < context.ledger.runs.size(); ++i) {
    const Run& run = context.ledger.runs[i];
    if (run.committed_throttle >= 1 || run.throttle < run.committed_throttle ||
        run.is_releasing) {
      continue;
    }
    const model::Job& job = *run.job;
    const HostSlot& slot = context.ledger.hosts[run.host];
    const double wanted = job.throttle >= kBurstThrottle
                              ? job.reserved.processors
                              : job.reserved.processors * (1 - job.throttle);
    if (!slot.has_urgent_claim && slot.available().processors >= wanted) {
      Throttle(context, static_cast<int>(i), 1,
               "host " + slot.host->id + " has processors to spare");
    }
  }
}

}  // namespace laurelhall::placement
