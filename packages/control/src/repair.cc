#include "repair_p.h"

#include <algorithm>

namespace laurelhall::control {

namespace {

using consensus::Member;
using consensus::MembershipChange;
using consensus::MembershipChangeKind;
using consensus::NodeId;

// A member silent for this long may be replaced by its namesake.
constexpr Millis kSilentIsLost = std::chrono::seconds(5);
// The same where its address answers with an empty folder: longer than the
// longest election takes, so that a slow answer of the old one is still heard.
constexpr Millis kSupersededIsLost{1'500};
// A waiting host says hello every second; an older word is stale.
constexpr Millis kWaitingIsFresh = std::chrono::seconds(4);
// How far behind a learner may be when it is promoted.
constexpr consensus::Index kCaughtUp = 100;

Millis SilenceOf(NodeId id,
                 const consensus::Status& status,
                 SteadyTime leads_since,
                 SteadyTime now) {
  const auto peer = status.peers.find(id);
  const SteadyTime heard = peer == status.peers.end()
                               ? leads_since
                               : std::max(peer->second.last_heard, leads_since);
  return std::chrono::duration_cast<Millis>(now - heard);
}

class Planner {
 public:
  explicit Planner(const RepairInput& input)
      : m_input(input),
        m_members(input.status.membership.members),
        m_silent(SilentMembers(input.status, input.leads_since, input.now)) {
    AddSuperseded();
  }

  RepairPlan Plan() {
    for (const auto& [id, member] : m_members) {
      if (!member.is_voter) {
        PlanLearner(id, member);
      }
    }
    for (const WaitingHost& host : m_input.waiting) {
      PlanWaiting(host);
    }
    return std::move(m_plan);
  }

 private:
  void Note(const Member& member, const std::string& text) {
    m_plan.notes.push_back(member.name + ": " + text);
  }

  void Propose(const MembershipChange& change,
               const Member& member,
               const std::string& text) {
    const std::string refusal = CheckPlacement(
        m_input.status.membership, change, m_silent, m_input.guards_zones);
    if (!refusal.empty()) {
      Note(member, text + " waits: " + refusal);
      return;
    }
    Note(member, text);
    if (!m_plan.change) {
      m_plan.change = change;
      m_plan.change_note = m_plan.notes.back();
    }
  }

  bool IsFresh(const WaitingHost& host) const {
    return m_input.now - host.seen_at <= kWaitingIsFresh;
  }

  // Members whose name and address another identity has taken over.
  void AddSuperseded() {
    for (const WaitingHost& host : m_input.waiting) {
      if (IsFresh(host)) {
        AddSupersededBy(host.node, host.member);
      }
    }
    for (const auto& [id, member] : m_members) {
      if (!member.is_voter && !m_silent.contains(id)) {
        AddSupersededBy(id, member);
      }
    }
  }

  void AddSupersededBy(NodeId newer, const Member& member) {
    const auto old = Namesake(newer, member.name);
    const bool is_same_place = old && *old != m_input.status.self &&
                               m_members.at(*old).is_voter &&
                               m_members.at(*old).address == member.address;
    if (is_same_place && SilenceOf(*old, m_input.status, m_input.leads_since,
                                   m_input.now) > kSupersededIsLost) {
      m_silent.insert(*old);
    }
  }

  // A former identity of the same name, other than `id` itself.
  std::optional<NodeId> Namesake(NodeId id, const std::string& name) const {
    for (const auto& [other, member] : m_members) {
      if (other != id && member.name == name) {
        return other;
      }
    }
    return std::nullopt;
  }

  bool MayReplace(NodeId old, const std::string& name) const {
    return m_silent.contains(old) || m_input.approved.contains(name);
  }

  bool IsCaughtUp(NodeId id) const {
    const auto peer = m_input.status.peers.find(id);
    return peer != m_input.status.peers.end() && peer->second.match > 0 &&
           peer->second.match + kCaughtUp >= m_input.status.commit;
  }

  void PlanLearner(NodeId id, const Member& member) {
    const auto old = Namesake(id, member.name);
    const bool is_replaced = old && !m_members.at(*old).is_voter &&
                             m_silent.contains(id) && !m_silent.contains(*old);
    if (is_replaced) {
      return;  // The namesake is the newer one; it is planned by itself.
    }
    if (m_silent.contains(id)) {
      Note(member, "the learner is silent");
      return;
    }
    if (!IsCaughtUp(id)) {
      Note(member, "the learner catches up");
      return;
    }
    if (!old) {
      PlanNewcomer(id, member);
      return;
    }
    if (!MayReplace(*old, member.name)) {
      Note(member, "waits: the old identity is still heard of");
      return;
    }
    Propose({MembershipChangeKind::kRemove, *old, m_members.at(*old)}, member,
            "removal of the old identity");
  }

  // A silent voter goes first: as long as it counts, each newcomer would only
  // raise the quorum. Then its place is taken, before the next one goes.
  void PlanNewcomer(NodeId id, const Member& member) {
    const bool is_odd = CountVoters() % 2 == 1;
    if (m_input.admits_newcomers && is_odd) {
      for (const auto& [other, lost] : m_members) {
        if (lost.is_voter && m_silent.contains(other)) {
          Propose({MembershipChangeKind::kRemove, other, lost}, member,
                  "removal of a silent voter");
          return;
        }
      }
    }
    // An even number bears no more losses than the odd one below it, and when
    // the hosts are cut into halves, neither has a majority.
    if (m_input.admits_newcomers && is_odd && CountCandidates() < 2) {
      Note(member, "stands by: with it the number of voters would be even");
      return;
    }
    Propose({MembershipChangeKind::kPromote, id, member}, member, "promotion");
  }

  size_t CountVoters() const {
    return static_cast<size_t>(
        std::count_if(m_members.begin(), m_members.end(),
                      [](const auto& each) { return each.second.is_voter; }));
  }

  // Learners that could be promoted now.
  size_t CountCandidates() const {
    return static_cast<size_t>(std::count_if(
        m_members.begin(), m_members.end(), [this](const auto& each) {
          const auto& [id, member] = each;
          return !member.is_voter && !m_silent.contains(id) && IsCaughtUp(id) &&
                 !Namesake(id, member.name);
        }));
  }

  void PlanWaiting(const WaitingHost& host) {
    if (!IsFresh(host) || m_members.contains(host.node)) {
      return;
    }
    const auto old = Namesake(host.node, host.member.name);
    if (!old && !m_input.admits_newcomers &&
        !m_input.approved.contains(host.member.name)) {
      Note(host.member, "waits: no former member; an operator must let it in");
      return;
    }
    if (old && !MayReplace(*old, host.member.name)) {
      Note(host.member, "waits: the old identity is still heard of");
      return;
    }
    if (old && !m_members.at(*old).is_voter) {
      // Lost again during its repair.
      Propose({MembershipChangeKind::kRemove, *old, m_members.at(*old)},
              host.member, "removal of a lost learner");
      return;
    }
    Propose({MembershipChangeKind::kAddLearner, host.node, host.member},
            host.member, "addition as learner");
  }

  const RepairInput& m_input;
  const std::map<NodeId, Member>& m_members;
  LostVoters m_silent;
  RepairPlan m_plan;
};

}  // namespace

LostVoters SilentMembers(const consensus::Status& status,
                         SteadyTime leads_since,
                         SteadyTime now) {
  LostVoters silent;
  for (const auto& [id, member] : status.membership.members) {
    if (id == status.self) {
      continue;
    }
    if (SilenceOf(id, status, leads_since, now) > kSilentIsLost) {
      silent.insert(id);
    }
  }
  return silent;
}

RepairPlan PlanRepair(const RepairInput& input) {
  return Planner(input).Plan();
}

}  // namespace laurelhall::control
