#include <doctest/doctest.h>

#include <string>

#include "world.h"

namespace laurelhall::dispatch {
namespace {

struct SchedulerStatusFixture {
  /// Sum over all control hosts; those that do not lead report zero.
  uint64_t Workers(const std::string& state) const {
    uint64_t sum = 0;
    for (const SchedulerStatus& scheduler_status : world.scheduler_statuses()) {
      sum += CountOf(scheduler_status.workers, state);
    }
    return sum;
  }

  uint64_t Waits(const std::string& why) const {
    uint64_t sum = 0;
    for (const SchedulerStatus& scheduler_status : world.scheduler_statuses()) {
      sum += CountOf(scheduler_status.waits, why);
    }
    return sum;
  }

  uint64_t Sum(uint64_t SchedulerStatus::*count) const {
    uint64_t sum = 0;
    for (const SchedulerStatus& scheduler_status : world.scheduler_statuses()) {
      sum += scheduler_status.*count;
    }
    return sum;
  }

  static uint64_t CountOf(const std::vector<NamedCount>& counts,
                          const std::string& name) {
    for (const NamedCount& each : counts) {
      if (each.name == name) {
        return each.count;
      }
    }
    return 0;
  }

  static scheduling::StepSpec LongStep(uint32_t count) {
    scheduling::StepSpec step;
    step.count = count;
    step.need = {1'000, 500, 0};
    step.estimate = Millis(60'000);
    return step;
  }

  World world{7};
};

TEST_CASE_FIXTURE(SchedulerStatusFixture,
                  "SchedulerStatus, idle workers, counted as usable") {
  world.AddWorkers(3);
  world.Advance(Millis(3'000));
  CHECK(Workers("usable") == 3);
  CHECK(Sum(&SchedulerStatus::open_jobs) == 0);
}

TEST_CASE_FIXTURE(
    SchedulerStatusFixture,
    "SchedulerStatus, no worker, job waits with reason no-worker") {
  world.Submit("a", {LongStep(2)});
  world.Advance(Millis(4'000));
  CHECK(Sum(&SchedulerStatus::open_jobs) == 1);
  CHECK(Sum(&SchedulerStatus::waiting_jobs) == 1);
  CHECK(Waits("no-worker") == 1);
}

TEST_CASE_FIXTURE(SchedulerStatusFixture,
                  "SchedulerStatus, leader changes, old leader reports zero") {
  world.AddWorkers(3);
  world.Submit("a", {LongStep(1)});
  world.Advance(Millis(3'000));
  REQUIRE(Workers("usable") == 3);
  world.ChangeLeader(Millis(0));
  world.Advance(Millis(5'000));
  CHECK(Workers("usable") == 3);
  CHECK(Sum(&SchedulerStatus::open_jobs) == 1);
}

}  // namespace
}  // namespace laurelhall::dispatch
