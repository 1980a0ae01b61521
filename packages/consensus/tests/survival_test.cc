#include <doctest/doctest.h>

#include <algorithm>

#include "cluster.h"

namespace laurelhall::consensus {

namespace {

constexpr Millis kSettle = Cluster::kElectionMax * 10;
// Enough for elections, snapshots and the repair of every lost disk.
constexpr Millis kHeal = Cluster::kElectionMax * 40;
constexpr uint64_t kSeeds = 6;
// Every voter but a bare quorum lags by this much, over several snapshots.
constexpr size_t kLag = 25;
constexpr size_t kRounds = 3;
constexpr uint64_t kChanges = 120;

/// Which of the disks that hold the acknowledged entry go first.
enum class Loss { kLeaderFirst, kLeaderLast };

struct SurvivalCase {
  size_t voters = 5;
  size_t lost = 2;
  Loss order = Loss::kLeaderFirst;
  bool is_lagging = false;  ///< By a snapshot; else by the entry alone.
  bool is_renamed = true;   ///< An empty disk is another identity.
  Mutations mutations;
};

/// Acknowledges on as few disks as may be, then takes power from everybody and
/// the disks of some that hold the entry.
class Survival {
 public:
  Survival(const SurvivalCase& what, uint64_t seed)
      : m_case(what), m_cluster(InitOf(what, seed)) {
    Await([this] { return m_cluster.IsConverged(); }, "no start");
  }

  Cluster& cluster() { return m_cluster; }

  /// @returns The hosts that hold what was acknowledged, the leader among them
  ///   if its own sync was as fast.
  std::vector<size_t> AcknowledgeOnBareQuorum() {
    const size_t leader = m_cluster.leader().value();
    const size_t size = m_cluster.size();
    const size_t quorum = size / 2 + 1;
    for (size_t i = quorum; i < size; ++i) {
      m_cluster.Isolate((leader + i) % size, true, true);
    }
    for (size_t i = 0; i < (m_case.is_lagging ? kLag : 0); ++i) {
      Acknowledge(leader);
    }
    return Holders(Acknowledge(leader));
  }

  /// Power goes everywhere at once; then all come back but for these disks.
  void StrikeAll(const std::vector<size_t>& lost) {
    for (size_t host = 0; host < m_cluster.size(); ++host) {
      m_cluster.Crash(host);
    }
    for (const size_t host : lost) {
      m_cluster.WipeDisk(host, m_case.is_renamed);
    }
    m_cluster.HealNetwork();
    m_cluster.StartAll();
  }

  std::vector<size_t> Choose(std::vector<size_t> holders) const {
    if (m_case.order == Loss::kLeaderLast) {
      std::reverse(holders.begin(), holders.end());
    }
    holders.resize(std::min(holders.size(), m_case.lost));
    return holders;
  }

  void Strike() { StrikeAll(Choose(AcknowledgeOnBareQuorum())); }

  /// Serves again with all that was acknowledged; Cluster checks the latter.
  void AwaitRecovery() {
    const Index before = m_cluster.acknowledged();
    Await(
        [this, before] {
          const auto leader = m_cluster.leader();
          if (leader && m_cluster.acknowledged() == before) {
            m_cluster.Propose(*leader);
          }
          return m_cluster.acknowledged() > before && m_cluster.IsConverged();
        },
        "does not serve again");
    for (size_t host = 0; host < m_cluster.size(); ++host) {
      if (!m_cluster.IsOnDisk(host, before)) {
        throw Violation("an acknowledged entry is not on every disk again");
      }
    }
  }

  void CheckUnavailable() {
    const bool is_led = m_cluster.RunUntil(
        kHeal, [this] { return m_cluster.AnyLeader().has_value(); });
    if (is_led) {
      throw Violation("a leader without a quorum of those that remember");
    }
  }

  Index Acknowledge(size_t leader) {
    const auto position = m_cluster.Propose(leader);
    if (!position) {
      throw Violation("not proposed");
    }
    Await([&] { return m_cluster.acknowledged() >= position->index; },
          "not acknowledged");
    return position->index;
  }

  std::vector<size_t> Holders(Index index) const {
    const size_t leader = m_cluster.leader().value();
    std::vector<size_t> holders;
    for (size_t i = 0; i < m_cluster.size(); ++i) {
      const size_t host = (leader + i) % m_cluster.size();
      if (m_cluster.IsOnDisk(host, index)) {
        holders.push_back(host);
      }
    }
    return holders;
  }

 private:
  static ClusterInit InitOf(const SurvivalCase& what, uint64_t seed) {
    ClusterInit init;
    init.hosts = what.voters;
    init.seed = seed;
    init.max_sync_ms = {3, 20};
    init.max_flights = 1 + seed % 3;
    init.snapshot_every = 7;
    init.mutations = what.mutations;
    return init;
  }

  void Await(const auto& is_done, const char* what) {
    if (!m_cluster.RunUntil(kHeal, is_done)) {
      throw Violation(what);
    }
  }

  SurvivalCase m_case;
  Cluster m_cluster;
};

/// @returns What was violated first; empty when nothing was.
std::string FirstViolation(const auto& play) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    try {
      play(seed);
    } catch (const std::exception& error) {
      return "seed " + std::to_string(seed) + ": " + error.what();
    }
  }
  return std::string();
}

std::string PlayRounds(const SurvivalCase& what) {
  return FirstViolation([&what](uint64_t seed) {
    Survival survival(what, seed);
    for (size_t round = 0; round < kRounds; ++round) {
      survival.Strike();
      survival.AwaitRecovery();
    }
  });
}

std::string PlayTooMany(const SurvivalCase& what) {
  return FirstViolation([&what](uint64_t seed) {
    Survival survival(what, seed);
    survival.Strike();
    survival.CheckUnavailable();
  });
}

struct SurvivalFixture {
  static std::vector<SurvivalCase> Cases(size_t voters, size_t lost) {
    std::vector<SurvivalCase> cases;
    for (const Loss order : {Loss::kLeaderFirst, Loss::kLeaderLast}) {
      for (const bool is_lagging : {false, true}) {
        cases.push_back({voters, lost, order, is_lagging, true, {}});
      }
    }
    return cases;
  }
};

/// The change of a voter that is stopped at any moment by the fault.
class Replacement {
 public:
  Replacement(size_t voters, uint64_t seed)
      : m_survival(CaseOf(voters), seed), m_cluster(m_survival.cluster()) {}

  /// @returns Whether enough voters kept their disks for it to serve again.
  bool StrikeDuringRepair(size_t replaced, bool is_holder_lost) {
    for (size_t i = 1; i <= replaced; ++i) {
      m_cluster.LoseDisk((m_cluster.leader().value() + i) % m_cluster.size());
    }
    m_cluster.Run(Millis(m_cluster.Pick(0, 150)));
    const size_t leader = m_cluster.leader().value();
    const Index index = m_survival.Acknowledge(leader);
    std::vector<size_t> lost = m_survival.Holders(index);
    if (!is_holder_lost) {
      std::reverse(lost.begin(), lost.end());
    }
    lost.resize(2);
    // What was in force in memory, and what the disks kept of it.
    const std::vector<Membership> before = Forces();
    const std::vector<NodeId> gone = IdsOf(lost);
    m_survival.StrikeAll(lost);
    return IsEnough(before, gone) && IsEnough(Forces(), gone);
  }

  void Check(bool is_enough) {
    if (is_enough) {
      m_survival.AwaitRecovery();
    } else {
      // No quorum is left, or a change that is not committed decides: either
      // way no leader may lack what was acknowledged, which Cluster checks.
      m_cluster.Run(kSettle);
    }
  }

 private:
  static SurvivalCase CaseOf(size_t voters) {
    SurvivalCase what;
    what.voters = voters;
    return what;
  }

  // What each host believes to be in force, by its log's end.
  std::vector<Membership> Forces() {
    std::vector<Membership> forces;
    for (size_t host = 0; host < m_cluster.size(); ++host) {
      const Membership membership = m_cluster.status(host).membership;
      if (!membership.members.empty()) {
        forces.push_back(membership);
      }
    }
    return forces;
  }

  std::vector<NodeId> IdsOf(const std::vector<size_t>& hosts) const {
    std::vector<NodeId> ids;
    for (const size_t host : hosts) {
      ids.push_back(m_cluster.id(host));
    }
    return ids;
  }

  bool IsEnough(const std::vector<Membership>& forces,
                const std::vector<NodeId>& gone) const {
    return std::all_of(forces.begin(), forces.end(),
                       [&](const Membership& membership) {
                         size_t voters = 0;
                         size_t left = 0;
                         for (const auto& [id, member] : membership.members) {
                           voters += member.is_voter ? 1 : 0;
                           left += member.is_voter && IsLeft(id, gone) ? 1 : 0;
                         }
                         return left >= voters / 2 + 1;
                       });
  }

  // An identity that no host bears any more was lost before.
  bool IsLeft(NodeId id, const std::vector<NodeId>& gone) const {
    for (size_t host = 0; host < m_cluster.size(); ++host) {
      if (m_cluster.id(host) == id) {
        return std::find(gone.begin(), gone.end(), id) == gone.end();
      }
    }
    return false;
  }

  Survival m_survival;
  Cluster& m_cluster;
};

}  // namespace

TEST_CASE_FIXTURE(SurvivalFixture,
                  "Survival, a minority of the disks that answered lost and "
                  "power everywhere, again and again, keeps every entry") {
  for (const size_t voters : {4, 5, 6, 7, 9}) {
    for (size_t lost = 0; lost <= (voters - 1) / 2; ++lost) {
      for (const SurvivalCase& each : Cases(voters, lost)) {
        CAPTURE(voters);
        CAPTURE(lost);
        CAPTURE(each.is_lagging);
        CHECK_EQ(PlayRounds(each), std::string());
      }
    }
  }
}

TEST_CASE_FIXTURE(SurvivalFixture,
                  "Survival, one disk more lost than a minority, no leader "
                  "rather than one that forgot") {
  for (const size_t voters : {4, 5, 6, 7, 9}) {
    for (const SurvivalCase& each : Cases(voters, (voters + 1) / 2)) {
      CAPTURE(voters);
      CHECK_EQ(PlayTooMany(each), std::string());
    }
  }
}

TEST_CASE_FIXTURE(SurvivalFixture,
                  "Survival, empty disk that keeps its identity, is caught") {
  std::string caught;
  for (SurvivalCase each : Cases(5, 2)) {
    each.is_renamed = false;
    caught += PlayRounds(each);
  }
  MESSAGE(caught);
  CHECK_FALSE(caught.empty());
}

TEST_CASE_FIXTURE(SurvivalFixture,
                  "Survival, syncs or log checks left out, is caught") {
  for (const auto flag :
       {&Mutations::is_sync_skipped, &Mutations::is_log_check_skipped}) {
    std::string caught;
    for (SurvivalCase each : Cases(5, 2)) {
      each.mutations.*flag = true;
      caught += PlayRounds(each);
    }
    MESSAGE(caught);
    CHECK_FALSE(caught.empty());
  }
}

TEST_CASE("Survival, struck while a voter is replaced, keeps every entry") {
  size_t served = 0;
  size_t plays = 0;
  for (const size_t voters : {5, 7, 9}) {
    for (uint64_t seed = 1; seed <= kChanges; ++seed) {
      CAPTURE(voters);
      CAPTURE(seed);
      std::string violation;
      try {
        Replacement replacement(voters, seed);
        const size_t replaced = 1 + seed / 2 % (voters / 2 - 1);
        const bool is_enough =
            replacement.StrikeDuringRepair(replaced, seed % 2 == 0);
        replacement.Check(is_enough);
        served += is_enough ? 1 : 0;
      } catch (const std::exception& error) {
        violation = error.what();
      }
      CHECK_EQ(violation, std::string());
      ++plays;
    }
  }
  MESSAGE("served again: " << served << " of " << plays);
  CHECK_GT(served, plays / 2);
}

}  // namespace laurelhall::consensus
