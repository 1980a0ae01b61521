#include <doctest/doctest.h>

#include <random>
#include <set>

#include "leader_finder_p.h"
#include "repair_p.h"
#include "zone_placement_p.h"

namespace laurelhall::control {
namespace {

using consensus::MembershipChangeKind;
using consensus::NodeId;

class MembershipFixture {
 protected:
  // Voters 1, 2, ... of these zones.
  static consensus::Membership Voters(const std::vector<std::string>& zones) {
    consensus::Membership membership;
    uint64_t id = 1;
    for (const std::string& zone : zones) {
      membership.members[NodeId{id}] = {"", zone, "n" + std::to_string(id),
                                        true};
      ++id;
    }
    return membership;
  }

  // A leader (node 1) that has led and heard everybody just now.
  RepairInput Healthy(const consensus::Membership& membership) {
    RepairInput input;
    input.now = SteadyTime(std::chrono::hours(1));
    input.leads_since = input.now - std::chrono::minutes(1);
    input.status.self = NodeId{1};
    input.status.membership = membership;
    input.status.commit = 1'000;
    for (const auto& [id, member] : membership.members) {
      input.status.peers[id] = {1'000, input.now};
    }
    return input;
  }
};

TEST_CASE_FIXTURE(MembershipFixture,
                  "CheckZonePlacement, zone put at risk, says which") {
  const auto spread = Voters({"a", "b", "c"});
  CHECK(ZonesAtRisk(spread, {}).empty());
  const consensus::MembershipChange same_zone{
      MembershipChangeKind::kPromote, NodeId{4}, {}};
  auto with_learner = spread;
  with_learner.members[NodeId{4}] = {"", "a", "n4", false};
  CHECK(CheckZonePlacement(with_learner, same_zone, {}).find("'a'") !=
        std::string::npos);
  with_learner.members[NodeId{4}].availability_zone = "d";
  CHECK(CheckZonePlacement(with_learner, same_zone, {}).empty());
  const consensus::MembershipChange removal{
      MembershipChangeKind::kRemove, NodeId{3}, {}};
  CHECK_FALSE(CheckZonePlacement(spread, removal, {}).empty());
  CHECK(CheckZonePlacement(spread, removal, {NodeId{3}}).empty());
  CHECK(CheckZonePlacement(spread, removal, {NodeId{2}}).find("quorum") !=
        std::string::npos);
}

TEST_CASE_FIXTURE(MembershipFixture,
                  "CheckZonePlacement, any accepted change, loses no zone's "
                  "safety nor the quorum") {
  std::mt19937_64 random(7);
  const auto pick = [&random](uint64_t count) { return random() % count; };
  for (int round = 0; round < 5'000; ++round) {
    std::vector<std::string> zones;
    for (uint64_t i = 0; i < 1 + pick(6); ++i) {
      zones.push_back(std::string(1, static_cast<char>('a' + pick(4))));
    }
    consensus::Membership membership = Voters(zones);
    for (auto& [id, member] : membership.members) {
      member.is_voter = id.value == 1 || pick(4) > 0;
    }
    LostVoters lost;
    if (pick(2) == 0) {
      lost.insert(NodeId{1 + pick(zones.size())});
    }
    const NodeId node{1 + pick(zones.size())};
    const bool is_voter = membership.members.at(node).is_voter;
    const consensus::MembershipChange change{
        is_voter ? MembershipChangeKind::kRemove
                 : MembershipChangeKind::kPromote,
        node,
        {}};
    if (!CheckZonePlacement(membership, change, lost).empty()) {
      continue;
    }
    const auto changed = WithChange(membership, change);
    size_t voters = 0;
    size_t live = 0;
    for (const auto& [id, member] : changed.members) {
      voters += member.is_voter ? 1 : 0;
      live += member.is_voter && !lost.contains(id) ? 1 : 0;
    }
    CHECK(live * 2 > voters);
    if (ZonesAtRisk(membership, lost).empty()) {
      CHECK(ZonesAtRisk(changed, lost).empty());
    }
  }
}

TEST_CASE_FIXTURE(MembershipFixture,
                  "PlanRepair, lost member's namesake, goes one safe step at "
                  "a time") {
  RepairInput input = Healthy(Voters({"a", "b", "c"}));
  WaitingHost fresh{NodeId{9}, {"", "c", "n3", false}, input.now};
  input.waiting = {fresh};
  // The old identity is heard of: nothing happens, and it says why.
  RepairPlan plan = PlanRepair(input);
  CHECK_FALSE(plan.change);
  CHECK(plan.notes.at(0).find("still heard") != std::string::npos);
  // Silent, but this leader has not led for long enough to know.
  input.status.peers[NodeId{3}].last_heard = SteadyTime();
  input.leads_since = input.now;
  CHECK_FALSE(PlanRepair(input).change);
  input.leads_since = SteadyTime();
  std::vector<MembershipChangeKind> steps;
  while (const auto change = PlanRepair(input).change) {
    steps.push_back(change->kind);
    input.status.membership = WithChange(input.status.membership, *change);
    if (change->kind == MembershipChangeKind::kAddLearner) {
      input.status.peers[NodeId{9}] = {5, input.now};
      plan = PlanRepair(input);
      CHECK_FALSE(plan.change);  // Not before it has caught up.
      CHECK(plan.notes.at(0).find("catches up") != std::string::npos);
      input.status.peers[NodeId{9}] = {1'000, input.now};
    }
    REQUIRE(steps.size() < 5);
  }
  CHECK(steps == std::vector{MembershipChangeKind::kAddLearner,
                             MembershipChangeKind::kRemove,
                             MembershipChangeKind::kPromote});
  CHECK(input.status.membership.members.contains(NodeId{9}));
  CHECK_FALSE(input.status.membership.members.contains(NodeId{3}));
}

TEST_CASE_FIXTURE(MembershipFixture,
                  "PlanRepair, stranger or second loss, waits for an operator "
                  "or keeps the quorum") {
  RepairInput input = Healthy(Voters({"a", "b", "c"}));
  input.waiting = {{NodeId{9}, {"", "d", "stranger", false}, input.now}};
  CHECK_FALSE(PlanRepair(input).change);
  input.approved.insert("stranger");
  CHECK(PlanRepair(input).change);
  // Two of three are silent: no removal may be planned.
  input.waiting.clear();
  input.status.membership.members[NodeId{9}] = {"", "c", "n3", false};
  input.status.peers[NodeId{9}] = {1'000, input.now};
  input.status.peers[NodeId{2}].last_heard = SteadyTime();
  input.status.peers[NodeId{3}].last_heard = SteadyTime();
  input.leads_since = SteadyTime();
  const RepairPlan plan = PlanRepair(input);
  CHECK_FALSE(plan.change);
  CHECK(plan.notes.at(0).find("quorum") != std::string::npos);
}

// Carries out a change as the log would.
void Carry(RepairInput& input, const consensus::MembershipChange& change) {
  auto& members = input.status.membership.members;
  if (change.kind == MembershipChangeKind::kRemove) {
    members.erase(change.node);
    return;
  }
  members[change.node] = change.member;
  members[change.node].is_voter = change.kind == MembershipChangeKind::kPromote;
  input.status.peers[change.node] = {1'000, input.now};
}

size_t CountVoters(const RepairInput& input) {
  size_t voters = 0;
  for (const auto& [id, member] : input.status.membership.members) {
    voters += member.is_voter ? 1 : 0;
  }
  return voters;
}

// Failed first: six hosts that were cut into halves had six voters, and for
// seven seconds no half had a majority.
TEST_CASE_FIXTURE(MembershipFixture,
                  "PlanRepair, newcomers admitted, added, voters stay odd") {
  RepairInput input = Healthy(Voters({"a", "b", "c"}));
  input.admits_newcomers = true;
  input.guards_zones = false;
  size_t most = 0;
  for (uint64_t newcomer = 7; newcomer < 12; ++newcomer) {
    const std::string name = "n" + std::to_string(newcomer);
    input.waiting.push_back(
        {NodeId{newcomer}, {"", "a", name, false}, input.now});
    int changes = 0;
    for (RepairPlan plan = PlanRepair(input); plan.change;
         plan = PlanRepair(input)) {
      CHECK(plan.change->kind != MembershipChangeKind::kRemove);
      Carry(input, *plan.change);
      ++changes;
    }
    most = std::max(most, CountVoters(input));
    CHECK(changes > 0);
    CHECK(CountVoters(input) % 2 == 1);
    // All are members, and at most one of them stands by.
    CHECK(input.status.membership.members.size() == newcomer - 3);
    CHECK(CountVoters(input) + 1 >= newcomer - 3);
  }
  CHECK(most == 7);
}

TEST_CASE_FIXTURE(MembershipFixture,
                  "PlanRepair, two voters silent, one stands by, takes one "
                  "place") {
  RepairInput input = Healthy(Voters({"a", "b", "c", "a", "b"}));
  input.admits_newcomers = true;
  input.guards_zones = false;
  input.status.membership.members[NodeId{7}] = {"", "a", "n7", false};
  input.status.peers[NodeId{7}] = {1'000, input.now};
  for (const uint64_t silent : {4, 5}) {
    input.status.peers[NodeId{silent}].last_heard =
        input.now - std::chrono::seconds(6);
  }
  int removed = 0;
  while (const auto change = PlanRepair(input).change) {
    removed += change->kind == MembershipChangeKind::kRemove ? 1 : 0;
    Carry(input, *change);
  }
  CHECK(removed == 1);
  CHECK(CountVoters(input) == 5);
  CHECK(input.status.membership.members.at(NodeId{7}).is_voter);
}

TEST_CASE_FIXTURE(MembershipFixture,
                  "PlanRepair, newcomer and a silent voter, that one goes "
                  "first") {
  RepairInput input = Healthy(Voters({"a", "b", "c"}));
  input.admits_newcomers = true;
  input.guards_zones = false;
  input.status.membership.members[NodeId{7}] = {"", "a", "n7", false};
  input.status.peers[NodeId{7}] = {1'000, input.now};
  input.status.peers[NodeId{3}].last_heard =
      input.now - std::chrono::seconds(6);
  const RepairPlan plan = PlanRepair(input);
  REQUIRE(plan.change);
  CHECK(plan.change->kind == MembershipChangeKind::kRemove);
  CHECK(plan.change->node == NodeId{3});
  // Without the setting the newcomer only raises the quorum, as before.
  input.admits_newcomers = false;
  CHECK(PlanRepair(input).change->kind == MembershipChangeKind::kPromote);
}

TEST_CASE_FIXTURE(MembershipFixture,
                  "PlanRepair, empty folder at a voter's address, replaced "
                  "after a shorter silence") {
  RepairInput input = Healthy(Voters({"a", "b", "c"}));
  input.guards_zones = false;
  for (auto& [id, member] : input.status.membership.members) {
    member.address = "address-" + std::to_string(id.value);
  }
  input.waiting.push_back(
      {NodeId{7}, {"address-3", "c", "n3", false}, input.now});
  const auto silent_for = [&input](Millis silence) {
    input.status.peers[NodeId{3}].last_heard = input.now - silence;
  };
  silent_for(Millis(1'400));
  CHECK_FALSE(PlanRepair(input).change);
  silent_for(Millis(1'600));
  const RepairPlan plan = PlanRepair(input);
  REQUIRE(plan.change);
  CHECK(plan.change->kind == MembershipChangeKind::kAddLearner);
  CHECK(plan.change_note == "n3: addition as learner");
  std::vector<MembershipChangeKind> kinds;
  while (const auto change = PlanRepair(input).change) {
    kinds.push_back(change->kind);
    Carry(input, *change);
  }
  CHECK(kinds == std::vector{MembershipChangeKind::kAddLearner,
                             MembershipChangeKind::kRemove,
                             MembershipChangeKind::kPromote});
}

TEST_CASE_FIXTURE(MembershipFixture,
                  "PlanRepair, namesake elsewhere or stale, waits for the "
                  "full silence") {
  RepairInput input = Healthy(Voters({"a", "b", "c"}));
  input.guards_zones = false;
  input.status.membership.members[NodeId{3}].address = "address-3";
  input.status.peers[NodeId{3}].last_heard = input.now - Millis(4'900);
  input.waiting.push_back({NodeId{7}, {"other", "c", "n3", false}, input.now});
  CHECK_FALSE(PlanRepair(input).change);
  input.waiting.back().member.address = "address-3";
  input.waiting.back().seen_at = input.now - Millis(4'100);
  CHECK_FALSE(PlanRepair(input).change);
  // A leader that has only just begun has heard nobody yet.
  input.waiting.back().seen_at = input.now;
  input.leads_since = input.now - Millis(1'400);
  CHECK_FALSE(PlanRepair(input).change);
}

TEST_CASE("LeaderFinder, members learned, asked after those of the start") {
  LeaderFinder finder({"a"});
  finder.Learn({"a", "b"});
  const SteadyTime now{std::chrono::hours(1)};
  std::set<std::string> asked;
  for (int i = 0; i < 4; ++i) {
    asked.insert(finder.current());
    finder.Failed(finder.current(), now);
  }
  CHECK(asked == std::set<std::string>{"a", "b"});
}

class LeaderFinderFixture {
 protected:
  SteadyTime m_now{std::chrono::hours(1)};
  LeaderFinder m_finder{{"a", "b", "c"}};
};

TEST_CASE_FIXTURE(LeaderFinderFixture,
                  "LeaderFinder, dead leader named by a follower, tries the "
                  "others with backoff") {
  m_finder.DoesNotLead("a", "b", m_now);
  CHECK(m_finder.current() == "b");
  m_finder.Failed("b", m_now);
  CHECK(m_finder.current() != "b");
  CHECK(m_finder.ready_at() > m_now);
  const std::string asked = m_finder.current();
  m_finder.DoesNotLead(asked, "b", m_now);  // Distrusted for a while.
  CHECK(m_finder.current() != asked);
  m_finder.Led("c");
  CHECK(m_finder.current() == "c");
  CHECK(m_finder.ready_at() <= m_now);
  m_finder.Failed("a", m_now);  // A late failure of another call.
  CHECK(m_finder.current() == "c");
}

TEST_CASE_FIXTURE(LeaderFinderFixture,
                  "LeaderFinder, distrusted leader answers again, asked next "
                  "without a pause") {
  m_finder.Failed("c", m_now);
  m_finder.DoesNotLead("a", "c", m_now);
  CHECK(m_finder.doubted() == "c");
  CHECK(m_finder.ready_at() > m_now);
  m_finder.Heard("b");  // Somebody else's word says nothing of it.
  CHECK(m_finder.doubted() == "c");
  m_finder.Heard("c");
  CHECK(m_finder.current() == "c");
  CHECK(m_finder.ready_at() <= m_now);
  CHECK(m_finder.doubted().empty());
}

TEST_CASE_FIXTURE(LeaderFinderFixture,
                  "LeaderFinder, another leader named meanwhile, the doubt is "
                  "dropped") {
  m_finder.Failed("c", m_now);
  m_finder.DoesNotLead("a", "c", m_now);
  m_finder.DoesNotLead(m_finder.current(), "b", m_now);
  CHECK(m_finder.current() == "b");
  m_finder.Heard("c");
  CHECK(m_finder.current() == "b");
}

}  // namespace
}  // namespace laurelhall::control
