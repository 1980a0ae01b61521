#pragma once

#include <string>

#include "world_checks.h"

namespace laurelhall::dispatch {

/// Three workers, w0 to w2, and a check of whether one of them is used.
class ThreeWorkersFixture {
 protected:
  ThreeWorkersFixture() {
    world.AddWorkers(3);
    world.Advance(Millis(1'000));
  }

  /// Whether a job that fills all workers is run on this one as well.
  bool IsUsed(const std::string& worker) {
    const std::string job = "fills-" + std::to_string(m_jobs++);
    world.Submit(job, {Step(12)});
    world.Advance(Millis(100));
    const scheduling::Worker* known = world.ledger().FindWorker(worker);
    const bool is_used = known != nullptr && !known->active.empty();
    world.Advance(Millis(5'000));
    CHECK(world.StateOf(job) == scheduling::JobState::kSucceeded);
    return is_used;
  }

  World world{7};

 private:
  int m_jobs = 0;
};

}  // namespace laurelhall::dispatch
