#pragma once

#include <string>
#include <vector>

#include "world.h"

// Seeded schedules in which only the control hosts are disturbed: slow commits,
// slow threads, slow calls, and leaders that change before they have finished a
// round.
namespace laurelhall::dispatch {

using scheduling::JobState;
using scheduling::StepSpec;

inline constexpr int kWorkers = 12;
inline constexpr Millis kLoadDuration{24'000};
inline constexpr RelayBounds kFewRelays{2, 4};

class LoadSchedule {
 public:
  LoadSchedule(uint64_t seed, const DispatchMutations& mutations)
      : m_has_relays(seed % 2 == 0),
        m_has_wave(seed % 4 >= 2),
        m_world(seed, mutations, m_has_relays ? kFewRelays : RelayBounds()) {
    m_world.is_only_control_disturbed = true;
    m_world.startup_time = Millis(Pick(0, 3) * 400);
    m_world.AddWorkers(kWorkers);
    if (m_has_relays) {
      m_world.AddRelays(4);
    }
    for (const char* id : {"lasts-0", "lasts-1"}) {
      StepSpec step = Step(4);
      step.is_persistent = true;
      step.max_tasks_per_worker = 1;
      step.may_miss = 1;
      m_world.Submit(id, {step});
    }
    m_world.Advance(Millis(6'000));
  }

  std::vector<std::string> Play() {
    if (m_has_wave) {
      std::vector<std::string> hosts;
      hosts.reserve(kWorkers / 2);
      for (int host = 0; host < kWorkers / 2; ++host) {
        hosts.push_back("host-w" + std::to_string(host));
      }
      m_world.OpenWave(hosts);
    }
    Millis until_election{Pick(500, 3'000)};
    for (Millis elapsed_time{0}; elapsed_time < kLoadDuration;) {
      const Millis step(Pick(50, 600));
      Submit();
      InjectLoad();
      if (until_election <= Millis(0)) {
        m_world.ElectOtherLeader(Millis(Pick(0, 600)));
        until_election = Millis(Pick(1'800, 2'800));
      }
      m_world.Advance(step);
      elapsed_time += step;
      until_election -= step;
    }
    m_world.SlowCommits(Millis(5));
    m_world.SlowThreads(Millis(0));
    m_world.SlowCalls(Millis(1), Millis(4));
    m_world.Advance(Millis(60'000));
    return Check();
  }

 private:
  int Pick(int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(m_world.random());
  }

  void Submit() {
    const std::string id = "job-" + std::to_string(m_jobs.size());
    m_world.Submit(id, {Step(static_cast<uint32_t>(Pick(1, 6))),
                        Step(static_cast<uint32_t>(Pick(1, 4)), {0})});
    m_jobs.push_back(id);
  }

  void InjectLoad() {
    m_world.SlowCommits(Millis(Pick(300, 1'500)));
    m_world.SlowConfirmations(Millis(Pick(100, 900)));
    m_world.SlowThreads(Millis(Pick(0, 3) * 100));
    m_world.SlowCalls(Millis(1), Millis(Pick(4, 150)));
  }

  std::vector<std::string> Check() {
    std::vector<std::string> wrong = m_world.violations();
    for (const std::string& id : m_jobs) {
      const JobState state = m_world.StateOf(id);
      if (state != JobState::kSucceeded) {
        wrong.push_back(id + " is " + JobStateName(state));
      }
    }
    return wrong;
  }

  const bool m_has_relays;
  const bool m_has_wave;
  World m_world;
  std::vector<std::string> m_jobs;
};

}  // namespace laurelhall::dispatch
