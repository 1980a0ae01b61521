#include <doctest/doctest.h>

#include "world.h"

// Random schedules in which worker capacities shrink and grow while workers are
// not heard for a while, and leaders change, freeze or pause.
namespace laurelhall::dispatch {
namespace {

constexpr int kWorkers = 4;

class CapacitySchedule {
 public:
  CapacitySchedule(uint64_t seed, const DispatchMutations& mutations)
      : m_world(seed, mutations) {
    m_world.AddWorkers(kWorkers);
    m_world.call_faults = {Pick(0, 2) * 0.03, Pick(0, 2) * 0.03, 0, 0};
  }

  std::vector<std::string> Play() {
    for (int round = 0; round < 25; ++round) {
      m_jobs.push_back("job-" + std::to_string(round));
      m_world.Submit(m_jobs.back(), {Step(static_cast<uint32_t>(Pick(1, 12)))});
      DisturbWorkers();
      DisturbLeader();
      m_world.Advance(Millis(Pick(50, 1'200)));
      UnmuteAll();
    }
    for (int worker = 0; worker < kWorkers; ++worker) {
      m_world.Resize("w" + std::to_string(worker), {4'000, 16'000, 0});
    }
    m_world.call_faults = {};
    m_world.Advance(Millis(60'000));
    std::vector<std::string> violations = m_world.violations();
    for (const std::string& job : m_jobs) {
      if (m_world.StateOf(job) != scheduling::JobState::kSucceeded) {
        violations.push_back(job + " is not done");
      }
    }
    return violations;
  }

 private:
  int Pick(int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(m_world.random());
  }

  void DisturbWorkers() {
    for (int worker = 0; worker < kWorkers; ++worker) {
      const std::string id = "w" + std::to_string(worker);
      if (Pick(0, 3) == 0) {
        m_world.Mute(id, true);
      }
      if (Pick(0, 5) == 0) {
        m_world.Resize(id, {int64_t{1'000} * Pick(0, 4), 16'000, 0},
                       Millis(Pick(10, 1'000)));
      }
    }
  }

  void DisturbLeader() {
    switch (Pick(0, 11)) {
      case 0:
      case 1:
        m_world.ChangeLeader(Millis(Pick(0, 1'100)));
        break;
      case 2:
        m_world.FreezeLeader(Millis(Pick(1'000, 3'000)), Millis(Pick(0, 200)));
        break;
      case 3:
        m_world.PauseLeader(Millis(Pick(200, 3'500)));
        break;
      default:
        break;
    }
  }

  void UnmuteAll() {
    for (int worker = 0; worker < kWorkers; ++worker) {
      m_world.Mute("w" + std::to_string(worker), false);
    }
  }

  World m_world;
  std::vector<std::string> m_jobs;
};

TEST_CASE(
    "Dispatcher, seeded changes of capacity and leader, no start exceeds a "
    "capacity") {
  for (const uint64_t seed : SeedsToRun(60)) {
    for (const std::string& violation : CapacitySchedule(seed, {}).Play()) {
      FAIL_CHECK("seed ", seed, ": ", violation);
    }
  }
}

TEST_CASE(
    "Dispatcher, age of committed capacity is ignored, the schedules detect "
    "it") {
  DispatchMutations mutations;
  mutations.is_capacity_age_ignored = true;
  bool is_detected = false;
  for (uint64_t seed = 1; seed <= 60 && !is_detected; ++seed) {
    is_detected = !CapacitySchedule(seed, mutations).Play().empty();
  }
  CHECK(is_detected);
}

}  // namespace
}  // namespace laurelhall::dispatch
