#include <algorithm>
#include <tuple>

#include "step_p.h"

namespace laurelhall::placement {
namespace {

// What a run that bursts over its reserved processors is brought back to.
constexpr double kBurstThrottle = 0.95;

double MemoryOveruse(const Run& run) {
  return run.held.memory_gb - run.job->reserved.memory_gb;
}

void ThrottleBursts(StepContext& context, const HostSlot& slot) {
  for (const int index : slot.runs) {
    const Run& run = context.ledger.runs[index];
    const double reserved = run.job->reserved.processors;
    const bool bursts = run.held.processors > reserved + kEpsilon;
    if (!run.is_releasing && bursts && slot.free.processors < -kEpsilon) {
      Throttle(context, index, kBurstThrottle,
               "host " + slot.host->id + " has no processors left");
    }
  }
}

// Ends the least urgent runs first; of these those that use more than was
// reserved for them, and of these, those that lose no work.
void EndRunsForMemory(StepContext& context, const HostSlot& slot) {
  std::vector<int> order = slot.runs;
  const std::vector<Run>& runs = context.ledger.runs;
  const auto key = [&runs](int index) {
    const Run& run = runs[index];
    const double overuse = MemoryOveruse(run);
    return std::tuple(run.job->priority, overuse > kEpsilon,
                      run.job->can_checkpoint, overuse);
  };
  std::stable_sort(order.begin(), order.end(),
                   [&key](int a, int b) { return key(b) < key(a); });
  for (const int index : order) {
    if (slot.free.memory_gb + slot.releasing.memory_gb >= -kEpsilon) {
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
    if (slot.free.processors < -kEpsilon) {
      ThrottleBursts(context, slot);
    }
    if (slot.free.memory_gb < -kEpsilon) {
      EndRunsForMemory(context, slot);
    }
  }
}

// Gives processors back once the host has all that the run had, twice over
// for a small throttle: a run that bursts must not be lifted and throttled in
// turn.
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
