#include <algorithm>
#include <utility>

#include "consensus_p.h"

namespace laurelhall::consensus {

namespace {

bool IsVoterIn(const Membership& membership, NodeId node) {
  const auto found = membership.members.find(node);
  return found != membership.members.end() && found->second.is_voter;
}

size_t CountVoters(const Membership& membership) {
  return static_cast<size_t>(
      std::count_if(membership.members.begin(), membership.members.end(),
                    [](const auto& item) { return item.second.is_voter; }));
}

}  // namespace

bool Node::Core::IsVoter(NodeId node) const {
  return IsVoterIn(m_log.membership(), node);
}

bool Node::Core::IsMember(NodeId node) const {
  return m_log.membership().members.contains(node);
}

// A removal that is not committed may be undone: until then the node counts.
bool Node::Core::MayCampaign() const {
  return IsVoter(m_init.self) ||
         IsVoterIn(m_log.MembershipAt(m_commit), m_init.self);
}

// A learner votes: its promotion may be committed before it hears of it, and
// only a candidate that knows of the promotion counts the vote.
bool Node::Core::MayVote() const {
  return IsMember(m_init.self) ||
         m_log.MembershipAt(m_commit).members.contains(m_init.self);
}

size_t Node::Core::QuorumSize() const {
  return CountVoters(m_log.membership()) / 2 + 1;
}

bool Node::Core::IsQuorum(const std::map<NodeId, bool>& votes) const {
  size_t count = 0;
  for (const auto& [id, is_granted] : votes) {
    count += is_granted && IsVoter(id) ? 1 : 0;
  }
  return count >= QuorumSize();
}

bool Node::Core::CanChangeMembership() const {
  const bool is_one_under_way = m_log.membership_index() > m_commit;
  return is_leader() && m_commit >= m_term_start && !is_one_under_way &&
         !m_transfer_target.is_valid();
}

bool Node::Core::IsCaughtUp(NodeId node) const {
  const auto found = m_peers.find(node);
  return found != m_peers.end() && found->second.match >= m_commit;
}

// Refuses a change that could not be committed with the peers now heard.
bool Node::Core::HasLiveQuorum(const Membership& membership) const {
  size_t live = IsVoterIn(membership, m_init.self) ? 1 : 0;
  for (const auto& [id, progress] : m_peers) {
    const bool is_live =
        m_now - progress.last_heard < m_init.election_timeout_max;
    live += is_live && IsVoterIn(membership, id) ? 1 : 0;
  }
  return live >= CountVoters(membership) / 2 + 1;
}

std::optional<Membership> Node::Core::ResultOf(
    const MembershipChange& change) const {
  Membership result = m_log.membership();
  switch (change.kind) {
    case MembershipChangeKind::kAddLearner: {
      if (!change.node.is_valid() || IsMember(change.node)) {
        return std::nullopt;
      }
      Member member = change.member;
      member.is_voter = false;
      result.members.emplace(change.node, std::move(member));
      return result;
    }
    case MembershipChangeKind::kPromote:
      if (!IsMember(change.node) || IsVoter(change.node) ||
          !IsCaughtUp(change.node)) {
        return std::nullopt;
      }
      result.members[change.node].is_voter = true;
      return result;
    case MembershipChangeKind::kRemove:
      if (result.members.erase(change.node) == 0 || CountVoters(result) == 0) {
        return std::nullopt;
      }
      return result;
    default:
      return std::nullopt;
  }
}

std::optional<EntryPosition> Node::Core::ProposeMembership(
    const MembershipChange& change) {
  if (!CanChangeMembership()) {
    return std::nullopt;
  }
  const std::optional<Membership> result = ResultOf(change);
  if (!result || !HasLiveQuorum(*result)) {
    return std::nullopt;
  }
  return AppendOwn(EntryKind::kMembership, EncodeMembership(*result));
}

// Leader: one progress for each other member; called when memberships change.
void Node::Core::SyncPeersToMembership() {
  std::erase_if(m_peers,
                [this](const auto& item) { return !IsMember(item.first); });
  for (const auto& [id, member] : m_log.membership().members) {
    if (id == m_init.self || m_peers.contains(id)) {
      continue;
    }
    Progress progress;
    // A learner is mostly empty: it gets the log from its start, or a snapshot,
    // and learns from it who its peers are.
    progress.next = member.is_voter ? m_log.last() + 1 : 1;
    progress.last_heard = m_now;
    progress.last_progress = m_now;
    m_peers.emplace(id, std::move(progress));
  }
}

// A leader that removed itself leads until that is committed.
void Node::Core::StepDownIfRemoved() {
  if (is_leader() && m_log.membership_index() <= m_commit &&
      !IsMember(m_init.self)) {
    SendHeartbeats();  // With the commit index, so that others see it, too.
    BecomeFollower(m_term, NodeId());
  }
}

}  // namespace laurelhall::consensus
