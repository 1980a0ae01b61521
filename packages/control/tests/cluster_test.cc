#include "cluster_fixture.h"

#include <doctest/doctest.h>

namespace laurelhall::control {
namespace {

class ClusterFixture {
 protected:
  // Claims `count` keys at once and waits; returns how many were granted.
  size_t ClaimMany(ControlLink& link, const std::string& prefix, int count) {
    std::atomic<int> answered{0};
    std::atomic<int> granted{0};
    for (int i = 0; i < count; ++i) {
      link.Claim(MakeClaim(prefix + std::to_string(i)),
                 std::chrono::steady_clock::now() + kCap, [&](auto result) {
                   granted += result &&
                              result->verdict == state::ClaimVerdict::kGranted;
                   ++answered;
                 });
    }
    Eventually([&] { return answered == count; });
    return static_cast<size_t>(granted);
  }

  bool AllApplied(Cluster& cluster) {
    const size_t leader = cluster.Leader();
    if (leader == cluster.size()) {
      return false;
    }
    const uint64_t digest = cluster.host(leader).machine().Digest();
    for (size_t i = 0; i < cluster.size(); ++i) {
      if (cluster.host(i).machine().Digest() != digest) {
        return false;
      }
    }
    return true;
  }

  Cluster m_cluster{3};
};

TEST_CASE_FIXTURE(ClusterFixture,
                  "Cluster, three empty hosts, elects and commits a group") {
  m_cluster.StartAll();
  REQUIRE(m_cluster.AwaitLeader() < m_cluster.size());
  const auto link = m_cluster.MakeLink("entry");
  CHECK(ClaimMany(*link, "a", 500) == 500);
  CHECK(Eventually([&] { return AllApplied(m_cluster); }));
  const ControlStatus status = m_cluster.host(m_cluster.AwaitLeader()).status();
  CHECK(status.consensus.membership.members.size() == 3);
  CHECK(status.zones_at_risk.empty());
}

TEST_CASE_FIXTURE(ClusterFixture,
                  "Cluster, settings change, reaches a syncing entry host") {
  m_cluster.StartAll();
  const auto link = m_cluster.MakeLink("entry");
  RecordingListener listener;
  link->Start(listener);
  const auto result = ActNow(*link, MakeSettings(0, "first", 7));
  REQUIRE(result);
  CHECK(result->is_accepted);
  CHECK(Eventually([&] { return listener.version() == result->version; }));
  REQUIRE(listener.config());
  CHECK(listener.config()->pools.at("annex").target_hosts == 7);
  const auto again = ActNow(*link, MakeSettings(0, "first", 7));
  REQUIRE(again);
  CHECK(again->is_resend);
  CHECK(again->version == result->version);
}

}  // namespace
}  // namespace laurelhall::control
