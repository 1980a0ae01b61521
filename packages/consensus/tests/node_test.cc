#include <doctest/doctest.h>

#include <algorithm>

#include "cluster.h"

namespace laurelhall::consensus {

namespace {

// Longer than any election and quorum check takes.
constexpr Millis kLong = Cluster::kElectionMax * 5;

struct ClusterFixture {
  Cluster cluster{ClusterInit()};
  size_t leader = WaitForLeader();
  size_t other = (leader + 1) % cluster.size();

  size_t WaitForLeader() {
    REQUIRE(cluster.RunUntil(kLong, [this] { return cluster.IsConverged(); }));
    return *cluster.leader();
  }
  void Commit(size_t count) {
    for (size_t i = 0; i < count; ++i) {
      REQUIRE(cluster.Propose(*cluster.leader()));
      cluster.Run(Cluster::kStep);
    }
    cluster.Run(kLong);
  }
};

/// One node whose peers are played by the test.
struct NodeFixture {
  SteadyTime now{Seconds{1}};
  Node node{InitOf({1, 2, 3}), now};

  static NodeInit InitOf(const std::vector<uint64_t>& voters) {
    NodeInit init;
    init.self = {1};
    for (uint64_t voter : voters) {
      init.bootstrap.members[{voter}] = Member{};
    }
    return init;
  }
  void Persist() {
    const Status status = node.status();
    node.Persisted(status.last, status.term);
  }
  std::vector<Message> Drive() {
    std::vector<Message> sent;
    for (Ready ready = node.TakeReady(); !ready.is_empty();
         ready = node.TakeReady()) {
      sent.insert(sent.end(), ready.messages_now.begin(),
                  ready.messages_now.end());
      sent.insert(sent.end(), ready.messages_synced.begin(),
                  ready.messages_synced.end());
      Persist();
    }
    return sent;
  }
  void Answer(uint64_t from, MessageKind kind, Term term, Index index) {
    Message reply;
    reply.kind = kind;
    reply.from = {from};
    reply.to = {1};
    reply.term = term;
    reply.index = index;
    node.Receive(reply, now);
  }
  /// Leads term 1, with its empty entry at index 1.
  void Lead() {
    now += Seconds{2};
    node.Tick(now);
    Drive();
    Answer(2, MessageKind::kPreVoteReply, 1, 0);
    Drive();
    Answer(2, MessageKind::kVoteReply, 1, 0);
    REQUIRE_EQ(node.status().role, Role::kLeader);
  }
  bool Change(MembershipChangeKind kind, uint64_t id) {
    return node.ProposeMembership({kind, {id}, {}}, now).has_value();
  }
};

}  // namespace

TEST_CASE_FIXTURE(ClusterFixture,
                  "Leader, frozen and resumed, acknowledges nothing of its "
                  "own and steps down") {
  Commit(3);
  cluster.Freeze(leader, kLong * 3);
  cluster.Run(kLong);
  REQUIRE_NE(*cluster.leader(), leader);
  Commit(3);
  const Index before = cluster.acknowledged();
  const size_t reads = cluster.reads_served();
  cluster.Thaw(leader);
  const auto lost = cluster.Propose(leader);
  REQUIRE(lost);
  cluster.Read(leader);
  cluster.Run(kLong);
  CHECK_EQ(cluster.status(leader).role, Role::kFollower);
  CHECK_EQ(cluster.acknowledged(), before);
  CHECK_EQ(cluster.reads_served(), reads);
  CHECK(cluster.IsConverged());
}

TEST_CASE_FIXTURE(ClusterFixture,
                  "Follower, back from a long cut, leaves leader and term") {
  const Term term = cluster.status(leader).term;
  cluster.Isolate(other, true, true);
  Commit(50);
  cluster.HealNetwork();
  cluster.Run(kLong);
  CHECK_EQ(cluster.leader(), leader);
  CHECK_EQ(cluster.status(leader).term, term);
  CHECK(cluster.IsConverged());
}

TEST_CASE_FIXTURE(ClusterFixture,
                  "Cluster, second disk lost right after a repair, keeps "
                  "acknowledged entries") {
  Commit(100);
  const Index acknowledged = cluster.acknowledged();
  for (size_t host = 0; host < cluster.size(); ++host) {
    cluster.LoseDisk(host);
    REQUIRE(cluster.RunUntil(kLong * 4, [this] {
      return cluster.leader() && cluster.IsFullStrength();
    }));
  }
  REQUIRE(cluster.RunUntil(kLong, [this] { return cluster.IsConverged(); }));
  CHECK_GE(acknowledged, 100);
  CHECK_GE(cluster.committed(), acknowledged);
}

TEST_CASE_FIXTURE(ClusterFixture,
                  "Leader, hands over, the target leads without a timeout") {
  cluster.node(leader).TransferLeadership(cluster.id(other), cluster.now());
  const bool is_done = cluster.RunUntil(
      Cluster::kElectionMin / 2, [this] { return cluster.leader() == other; });
  CHECK(is_done);
}

TEST_CASE_FIXTURE(ClusterFixture,
                  "Membership change, truncated by another leader, is undone") {
  cluster.Isolate(leader, true, true);
  REQUIRE(
      cluster.Change(leader, MembershipChangeKind::kRemove, cluster.id(other)));
  CHECK_EQ(cluster.status(leader).membership.members.size(), 2);
  cluster.Run(kLong);
  cluster.HealNetwork();
  cluster.Run(kLong);
  CHECK_EQ(cluster.status(leader).membership.members.size(), 3);
  CHECK(cluster.IsConverged());
}

TEST_CASE_FIXTURE(NodeFixture,
                  "Leader, own entry not synced, does not count itself") {
  Lead();
  Ready ready = node.TakeReady();
  REQUIRE_EQ(ready.entries.size(), 1);
  Answer(2, MessageKind::kAppendReply, 1, 1);
  CHECK_EQ(node.status().commit, 0);
  Persist();
  CHECK_EQ(node.status().commit, 1);
}

TEST_CASE_FIXTURE(NodeFixture,
                  "Membership change, no entry of the own term committed, is "
                  "refused") {
  Lead();
  Drive();
  CHECK_FALSE(Change(MembershipChangeKind::kRemove, 3));
  CHECK_FALSE(node.RequestRead(1, now));
  Answer(2, MessageKind::kAppendReply, 1, 1);
  CHECK(Change(MembershipChangeKind::kRemove, 3));
  CHECK_FALSE(Change(MembershipChangeKind::kAddLearner, 4));
}

TEST_CASE_FIXTURE(NodeFixture,
                  "Learner, not caught up with synced entries, is not "
                  "promoted and does not count") {
  Lead();
  Drive();
  Answer(2, MessageKind::kAppendReply, 1, 1);
  REQUIRE(Change(MembershipChangeKind::kAddLearner, 4));
  Drive();
  Answer(4, MessageKind::kAppendReply, 1, 2);
  CHECK_EQ(node.status().commit, 1);
  Answer(2, MessageKind::kAppendReply, 1, 2);
  CHECK_EQ(node.status().commit, 2);
  REQUIRE(node.Propose("x", now));
  Drive();
  Answer(2, MessageKind::kAppendReply, 1, 3);
  CHECK_FALSE(Change(MembershipChangeKind::kPromote, 4));
  Answer(4, MessageKind::kAppendReply, 1, 3);
  CHECK(Change(MembershipChangeKind::kPromote, 4));
}

TEST_CASE_FIXTURE(NodeFixture,
                  "Leader, much uncommitted, refuses proposals until it is "
                  "committed") {
  Lead();
  Drive();
  const std::string payload(40 << 20, 'x');
  CHECK(node.Propose(payload, now));
  CHECK_FALSE(node.Propose(payload, now));
  Drive();
  Answer(2, MessageKind::kAppendReply, 1, 2);
  CHECK(node.Propose(payload, now));
}

TEST_CASE("Node, empty folder and no bootstrap, neither votes nor campaigns") {
  SteadyTime now{Seconds{1}};
  Node node(NodeFixture::InitOf({}), now);
  for (int i = 0; i < 100; ++i) {
    now += Millis{100};
    node.Tick(now);
  }
  Message vote;
  vote.kind = MessageKind::kVote;
  vote.from = {2};
  vote.to = {1};
  vote.term = 5;
  vote.index = 10;
  vote.log_term = 4;
  node.Receive(vote, now);
  vote.kind = MessageKind::kPreVote;
  node.Receive(vote, now);
  CHECK(node.TakeReady().is_empty());
  CHECK_EQ(node.status().role, Role::kLearner);
}

TEST_CASE("Membership, encoded and decoded, is the same") {
  Membership membership;
  membership.members[{UINT64_MAX}] = {"10.0.0.7:70", "zone-a", "ctl \"1\"",
                                      false};
  membership.members[{2}] = {"10.0.0.8:70", "zone-b", "ctl 2", true};
  CHECK_EQ(DecodeMembership(EncodeMembership(membership)), membership);
  CHECK_THROWS_AS(DecodeMembership("{}"), std::invalid_argument);
  CHECK_THROWS_AS(DecodeMembership("{\"members\":[{\"id\":\"0\"}]}"),
                  std::invalid_argument);
}

}  // namespace laurelhall::consensus
