#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "laurelhall/placement/placer.h"

// The baseline of placement_bench: first come, first served, each job on the
// first host that has what it declares; nothing is learned or preempted.
namespace laurelhall::bench {

class FirstFit {
 public:
  std::vector<placement::JobAction> Step(const model::Fleet& fleet,
                                         const placement::Observations&,
                                         WallTime now) {
    std::vector<placement::JobAction> actions;
    std::map<std::string, std::vector<Slot>> pools;
    std::map<std::string, Slot*> slots;
    AddHosts(fleet, pools, slots);
    std::vector<const model::Job*> queue;
    for (const auto& [id, job] : fleet.jobs) {
      if (job.state == model::JobState::kQueued) {
        queue.push_back(&job);
      } else if (slots.count(job.host) != 0) {
        Take(*slots[job.host], job.declared);
        RequeueLost(job, *slots[job.host], now, actions);
      }
    }
    std::stable_sort(queue.begin(), queue.end(), [](auto* a, auto* b) {
      return a->submitted < b->submitted;
    });
    for (const model::Job* job : queue) {
      if (job->not_before <= now) {
        Place(*job, pools[job->pool], actions);
      }
    }
    return actions;
  }

  void Learn(const model::Job&, const placement::JobReport&, WallTime) {}

 private:
  struct Slot {
    const model::Host* host = nullptr;
    model::Resources free;
  };

  static void AddHosts(const model::Fleet& fleet,
                       std::map<std::string, std::vector<Slot>>& pools,
                       std::map<std::string, Slot*>& slots) {
    for (const auto& [id, host] : fleet.hosts) {
      pools[host.pool].push_back({&host, host.capacity});
    }
    for (auto& [name, pool] : pools) {
      for (Slot& slot : pool) {
        slots[slot.host->id] = &slot;
      }
    }
  }

  static void Take(Slot& slot, const model::Resources& size) {
    slot.free.processors -= size.processors;
    slot.free.memory_gb -= size.memory_gb;
    slot.free.accelerators -= size.accelerators;
  }

  static bool Has(const Slot& slot, const model::Resources& size) {
    return slot.host->state == model::HostState::kInPool &&
           slot.free.processors >= size.processors &&
           slot.free.memory_gb >= size.memory_gb &&
           slot.free.accelerators >= size.accelerators;
  }

  static void RequeueLost(const model::Job& job,
                          const Slot& slot,
                          WallTime now,
                          std::vector<placement::JobAction>& actions) {
    constexpr Millis kLease{15'000};
    if (slot.host->state != model::HostState::kFailed ||
        now < slot.host->state_since + kLease) {
      return;
    }
    placement::JobAction action;
    action.job = job.id;
    action.expected_lease = job.lease;
    action.kind = placement::JobActionKind::kRequeue;
    actions.push_back(action);
  }

  static void Place(const model::Job& job,
                    std::vector<Slot>& pool,
                    std::vector<placement::JobAction>& actions) {
    for (Slot& slot : pool) {
      if (!Has(slot, job.declared)) {
        continue;
      }
      Take(slot, job.declared);
      placement::JobAction action;
      action.job = job.id;
      action.expected_lease = job.lease;
      action.kind = placement::JobActionKind::kStart;
      action.host = slot.host->id;
      action.reserved = job.declared;
      actions.push_back(action);
      return;
    }
  }
};

}  // namespace laurelhall::bench
