#include "schedule.h"

#include <array>
#include <iterator>
#include <optional>
#include <random>

#include "cluster.h"

namespace laurelhall::consensus {

namespace {

constexpr Millis kFaultyTime{12'000};
constexpr Millis kHealLimit{40'000};
constexpr Millis kElectionLimit{2'000};
constexpr Millis kCutTime = Cluster::kElectionMax * 4;

class Schedule {
 public:
  Schedule(uint64_t seed, const Mutations& mutations)
      : m_cluster(InitOf(seed, mutations)) {}

  void Run() {
    RunFaults();
    Heal();
    CheckReturnIsQuiet();
    CheckLeaderKnowsItIsCut();
  }

 private:
  static ClusterInit InitOf(uint64_t seed, const Mutations& mutations) {
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
    init.snapshot_every = 40;
    return init;
  }

  size_t AnyHost() {
    return static_cast<size_t>(
        m_cluster.Pick(0, static_cast<int>(m_cluster.size()) - 1));
  }

  // Half of the faults aim at the leader: there the protocol is at stake.
  size_t Victim() {
    const std::optional<size_t> leader = m_cluster.leader();
    return leader && m_cluster.Pick(0, 1) == 0 ? *leader : AnyHost();
  }

  void RunFaults() {
    const SteadyTime end = m_cluster.now() + kFaultyTime;
    while (m_cluster.now() < end) {
      Fault();
      const SteadyTime next = m_cluster.now() + Millis(m_cluster.Pick(5, 500));
      while (m_cluster.now() < next) {
        Work();
        TryWishes();
        m_cluster.Run(Cluster::kStep);
      }
    }
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
    using Step = void (Schedule::*)();
    static constexpr std::array kSteps{
        &Schedule::CutLinks,      &Schedule::IsolateHost,
        &Schedule::Partition,     &Schedule::HealLinks,
        &Schedule::HealLinks,     &Schedule::CrashHost,
        &Schedule::WishPowerLoss, &Schedule::StartAll,
        &Schedule::StartAll,      &Schedule::FreezeHost,
        &Schedule::Transfer,      &Schedule::WishLostDisk,
        &Schedule::WishRemoval,   &Schedule::ChurnLeaders};
    const Step step = kSteps[static_cast<size_t>(
        m_cluster.Pick(0, static_cast<int>(kSteps.size()) - 1))];
    (this->*step)();
  }

  void CutLinks() {
    for (int i = 0; i < 3; ++i) {
      m_cluster.Cut(AnyHost(), AnyHost());
    }
  }
  void IsolateHost() {
    const int way = m_cluster.Pick(0, 2);
    m_cluster.Isolate(Victim(), way != 0, way != 1);
  }
  void Partition() {
    const size_t edge = AnyHost();
    for (size_t a = 0; a < edge; ++a) {
      for (size_t b = edge; b < m_cluster.size(); ++b) {
        m_cluster.Cut(a, b);
        m_cluster.Cut(b, a);
      }
    }
  }
  void HealLinks() { m_cluster.HealNetwork(); }
  void CrashHost() { m_cluster.Crash(Victim()); }
  void StartAll() {
    for (size_t host = 0; host < m_cluster.size(); ++host) {
      m_cluster.Start(host);
    }
  }
  void FreezeHost() {
    m_cluster.Freeze(Victim(), Millis(m_cluster.Pick(100, 2000)));
  }
  // These wait for their moment.
  void WishLostDisk() { m_is_disk_to_lose = true; }
  void WishRemoval() { m_is_host_to_remove = true; }
  void WishPowerLoss() { m_power_lost_after = m_cluster.acknowledged(); }

  void TryWishes() {
    if (m_power_lost_after && m_cluster.acknowledged() > *m_power_lost_after) {
      m_power_lost_after.reset();
      LosePower();
    }
    if (!(m_is_disk_to_lose || m_is_host_to_remove) ||
        !m_cluster.IsFullStrength()) {
      return;
    }
    // One at a time: the next only once the repair is complete.
    if (m_is_disk_to_lose) {
      m_is_disk_to_lose = false;
      m_cluster.LoseDisk(Victim());
    } else {
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

  // One leader after the other gets only entries of earlier terms across, and
  // goes away while the one before it comes back.
  void ChurnLeaders() {
    constexpr int kLeaders = 6;
    m_cluster.HealNetwork();
    m_cluster.HoldBackNewEntries(true);
    for (int i = 0; i < kLeaders; ++i) {
      const std::optional<size_t> leader = AnyLeader();
      StartAll();
      if (leader) {
        m_cluster.Crash(*leader);
      }
      m_cluster.RunUntil(kElectionLimit, [&] {
        Work();
        return AnyLeader().has_value();
      });
      m_cluster.Run(Millis(m_cluster.Pick(20, 200)));
    }
    m_cluster.HoldBackNewEntries(false);
  }

  std::optional<size_t> AnyLeader() {
    for (size_t host = 0; host < m_cluster.size(); ++host) {
      if (m_cluster.is_up(host) &&
          m_cluster.status(host).role == Role::kLeader) {
        return host;
      }
    }
    return std::nullopt;
  }

  void Transfer() {
    if (const std::optional<size_t> leader = m_cluster.leader()) {
      const NodeId target = m_cluster.id(AnyHost());
      m_cluster.node(*leader).TransferLeadership(target, m_cluster.now());
    }
  }

  void Heal() {
    m_cluster.HealNetwork();
    m_cluster.SetLoss(0);
    for (size_t host = 0; host < m_cluster.size(); ++host) {
      m_cluster.Thaw(host);
    }
    StartAll();
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
    const size_t leader = *m_cluster.leader();
    const Term term = m_cluster.status(leader).term;
    const size_t other = (leader + 1) % m_cluster.size();
    m_cluster.Isolate(other, true, true);
    m_cluster.Run(kCutTime);
    m_cluster.HealNetwork();
    m_cluster.Run(kCutTime);
    if (m_cluster.leader() != leader || m_cluster.status(leader).term != term) {
      throw Violation("a host that returned disturbed the leader");
    }
  }

  void CheckLeaderKnowsItIsCut() {
    const size_t leader = *m_cluster.leader();
    m_cluster.Isolate(leader, true, m_cluster.Pick(0, 1) == 0);
    m_cluster.Run(kCutTime);
    if (m_cluster.status(leader).role == Role::kLeader) {
      throw Violation("a leader that was cut off still leads");
    }
  }

  Cluster m_cluster;
  bool m_is_disk_to_lose = false;
  bool m_is_host_to_remove = false;
  std::optional<Index> m_power_lost_after;  ///< An acknowledged index.
};

}  // namespace

std::string RunSchedule(uint64_t seed, const Mutations& mutations) {
  try {
    Schedule(seed, mutations).Run();
  } catch (const std::exception& error) {
    return "seed " + std::to_string(seed) + ": " + error.what();
  }
  return std::string();
}

}  // namespace laurelhall::consensus
