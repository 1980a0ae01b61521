#include <doctest/doctest.h>

#include <array>
#include <cstdlib>
#include <iterator>
#include <optional>
#include <random>
#include <string>

#include "cluster.h"

namespace laurelhall::consensus {

namespace {

constexpr uint64_t kFixedSeeds = 40;
constexpr uint64_t kMutationSeeds = 300;
constexpr Millis kFaultyTime{12'000};
constexpr Millis kHealLimit{40'000};
constexpr Millis kElectionLimit{2'000};
constexpr Millis kCutTime = Cluster::kElectionMax * 4;

ClusterInit InitOf(uint64_t seed, const Mutations& mutations) {
  std::mt19937_64 random(seed);
  const auto one_of = [&random](const auto& choices) {
    return choices[random() % std::size(choices)];
  };
  ClusterInit init;
  init.seed = seed;
  init.mutations = mutations;
  init.hosts = one_of(std::array<size_t, 2>{3, 5});
  init.max_append_bytes = one_of(std::array<uint64_t, 3>{1, 64, 4096});
  init.max_uncommitted_bytes = 400;
  init.loss = one_of(std::array<double, 3>{0, 0.03, 0.15});
  init.max_delay_ms = one_of(std::array<int, 3>{5, 30, 100});
  init.max_sync_ms = {2, 20, 100};
  init.max_flights = one_of(std::array<size_t, 2>{1, 4});
  init.snapshot_every = 40;
  init.commit_delay = one_of(std::array<Millis, 2>{Millis{0}, Millis{30}});
  return init;
}

/// One schedule of faults, which follows from its seed alone.
class Schedule {
 public:
  Schedule(uint64_t seed, const Mutations& mutations)
      : m_cluster(InitOf(seed, mutations)) {}

  void Run() {
    const SteadyTime end = m_cluster.now() + kFaultyTime;
    while (m_cluster.now() < end) {
      Fault();
      m_cluster.RunUntil(Millis(m_cluster.Pick(5, 500)), [this] {
        Work();
        TryWishes();
        return false;
      });
    }
    Heal();
    CheckReturnIsQuiet();
    CheckLeaderKnowsItIsCut();
  }

 private:
  size_t AnyHost() {
    return static_cast<size_t>(
        m_cluster.Pick(0, static_cast<int>(m_cluster.size()) - 1));
  }

  // Half of the faults aim at the leader: there the protocol is at stake.
  size_t Victim() {
    const std::optional<size_t> leader = m_cluster.leader();
    return leader && m_cluster.Pick(0, 1) == 0 ? *leader : AnyHost();
  }

  // Callers ask every host: also one that only believes that it leads.
  void Work() {
    for (size_t host = 0; host < m_cluster.size(); ++host) {
      if (m_cluster.Pick(0, 4) == 0) {
        m_cluster.Propose(host);
      }
      if (m_cluster.Pick(0, 9) == 0) {
        m_cluster.Read(host);
      }
    }
  }

  void Fault() {
    switch (m_cluster.Pick(0, 13)) {
      case 0:
        return CutLinks();
      case 1:
        return Isolate(Victim(), m_cluster.Pick(0, 2));
      case 2:
        return Partition(AnyHost());
      case 3:
        return m_cluster.Crash(Victim());
      case 4:
        return m_cluster.Freeze(Victim(), Millis(m_cluster.Pick(100, 2000)));
      case 5:
        return Transfer();
      case 6:
        return ChurnLeaders();
      // These wait for their moment.
      case 7:
        m_power_lost_after = m_cluster.acknowledged();
        return;
      case 8:
        m_is_disk_to_lose = true;
        return;
      case 9:
        m_is_host_to_remove = true;
        return;
      case 10:
      case 11:
        return m_cluster.HealNetwork();
      default:
        return m_cluster.StartAll();
    }
  }

  void CutLinks() {
    for (int i = 0; i < 3; ++i) {
      m_cluster.Cut(AnyHost(), AnyHost());
    }
  }

  // In silence: nothing comes in, nothing goes out, or neither.
  void Isolate(size_t host, int way) {
    m_cluster.Isolate(host, way != 0, way != 1);
  }

  void Partition(size_t edge) {
    for (size_t a = 0; a < edge; ++a) {
      for (size_t b = edge; b < m_cluster.size(); ++b) {
        m_cluster.Cut(a, b);
        m_cluster.Cut(b, a);
      }
    }
  }

  void Transfer() {
    if (const std::optional<size_t> leader = m_cluster.leader()) {
      const NodeId target = m_cluster.id(AnyHost());
      m_cluster.node(*leader).TransferLeadership(target, m_cluster.now());
    }
  }

  // One leader after the other gets only entries of earlier terms across, and
  // goes away while the one before it comes back.
  void ChurnLeaders() {
    constexpr int kLeaders = 6;
    m_cluster.HealNetwork();
    m_cluster.HoldBackNewEntries(true);
    for (int i = 0; i < kLeaders; ++i) {
      const std::optional<size_t> leader = m_cluster.AnyLeader();
      m_cluster.StartAll();
      if (leader) {
        m_cluster.Crash(*leader);
      }
      m_cluster.RunUntil(kElectionLimit, [this] {
        Work();
        return m_cluster.AnyLeader().has_value();
      });
      m_cluster.Run(Millis(m_cluster.Pick(20, 200)));
    }
    m_cluster.HoldBackNewEntries(false);
  }

  void TryWishes() {
    if (m_power_lost_after && m_cluster.acknowledged() > *m_power_lost_after) {
      m_power_lost_after.reset();
      LosePower();
    }
    // One at a time: the next only once the repair is complete.
    if (m_is_disk_to_lose && m_cluster.IsFullStrength()) {
      m_is_disk_to_lose = false;
      m_cluster.LoseDisk(Victim());
    }
    if (m_is_host_to_remove && m_cluster.IsFullStrength()) {
      m_is_host_to_remove = false;
      m_cluster.Change(*m_cluster.leader(), MembershipChangeKind::kRemove,
                       m_cluster.id(Victim()));
    }
  }

  // Right after an answer; one host stays away at first.
  void LosePower() {
    const size_t away = Victim();
    for (size_t host = 0; host < m_cluster.size(); ++host) {
      m_cluster.Crash(host);
      if (host != away) {
        m_cluster.Start(host);
      }
    }
  }

  void Heal() {
    m_cluster.HealNetwork();
    m_cluster.SetLoss(0);
    m_cluster.StartAll();
    for (size_t host = 0; host < m_cluster.size(); ++host) {
      m_cluster.Thaw(host);
    }
    const Index before = m_cluster.acknowledged();
    const bool is_live = m_cluster.RunUntil(kHealLimit, [&] {
      if (m_cluster.acknowledged() == before && m_cluster.leader()) {
        m_cluster.Propose(*m_cluster.leader());
      }
      return m_cluster.acknowledged() > before && m_cluster.IsConverged();
    });
    if (!is_live) {
      throw Violation("not live after the faults have ended");
    }
    m_cluster.Run(kCutTime);  // A transfer may still be under way.
  }

  void CheckReturnIsQuiet() {
    const size_t leader = m_cluster.leader().value();
    const Term term = m_cluster.status(leader).term;
    Isolate((leader + 1) % m_cluster.size(), 2);
    m_cluster.Run(kCutTime);
    m_cluster.HealNetwork();
    m_cluster.Run(kCutTime);
    if (m_cluster.leader() != leader || m_cluster.status(leader).term != term) {
      throw Violation("a host that returned disturbed the leader");
    }
  }

  void CheckLeaderKnowsItIsCut() {
    const size_t leader = m_cluster.leader().value();
    Isolate(leader, m_cluster.Pick(1, 2));
    m_cluster.Run(kCutTime);
    if (m_cluster.status(leader).role == Role::kLeader) {
      throw Violation("a leader that was cut off still leads");
    }
  }

  Cluster m_cluster;
  bool m_is_disk_to_lose = false;
  bool m_is_host_to_remove = false;
  std::optional<Index> m_power_lost_after;  // An acknowledged index.
};

/// @returns What was violated; empty when nothing was.
std::string RunSchedule(uint64_t seed, const Mutations& mutations) {
  try {
    Schedule(seed, mutations).Run();
  } catch (const std::exception& error) {
    return "seed " + std::to_string(seed) + ": " + error.what();
  }
  return std::string();
}

}  // namespace

TEST_CASE("Cluster, seeded faults, guarantees hold and it heals") {
  const char* text = std::getenv("LAURELHALL_SEEDS");
  const uint64_t seeds = text ? std::strtoull(text, nullptr, 10) : kFixedSeeds;
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    CHECK_EQ(RunSchedule(seed, Mutations()), std::string());
  }
}

TEST_CASE("Cluster, a protocol step left out, is caught") {
  static constexpr std::pair<const char*, bool Mutations::*> kFlags[] = {
      {"is_sync_skipped", &Mutations::is_sync_skipped},
      {"is_pre_vote_skipped", &Mutations::is_pre_vote_skipped},
      {"is_vote_forgotten", &Mutations::is_vote_forgotten},
      {"is_old_term_committed", &Mutations::is_old_term_committed},
      {"is_check_quorum_skipped", &Mutations::is_check_quorum_skipped},
      {"is_log_check_skipped", &Mutations::is_log_check_skipped},
  };
  for (const auto& [name, flag] : kFlags) {
    Mutations mutations;
    mutations.*flag = true;
    std::string caught;
    for (uint64_t seed = 1; caught.empty() && seed <= kMutationSeeds; ++seed) {
      caught = RunSchedule(seed, mutations);
    }
    MESSAGE(std::string(name) << ": " << caught);
    CHECK_MESSAGE(!caught.empty(), std::string(name));
  }
}

}  // namespace laurelhall::consensus
