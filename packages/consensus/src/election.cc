#include <algorithm>
#include <utility>

#include "consensus_p.h"

namespace laurelhall::consensus {

namespace {

// One that may be under way at a voter, and that of its vote.
constexpr int kSyncsOfVote = 2;
// Longest wait for the others' disks, in election timeouts.
constexpr int kMostWaits = 8;

}  // namespace

// While its own term or vote is being synced, a node has asked nobody yet, or
// has not answered: the others can't be late. To campaign again would only give
// the disks more to sync, and make what they sync worthless.
void Node::Core::TickElection() {
  if (m_now < m_election_deadline || m_is_vote_pending) {
    return;
  }
  if (!MayCampaign()) {
    ResetElectionDeadline();
    return;
  }
  const bool is_direct = mutations().is_pre_vote_skipped;
  Campaign(is_direct ? CampaignKind::kVote : CampaignKind::kPreVote);
}

void Node::Core::TickQuorum() {
  if (!mutations().is_check_quorum_skipped && !HasQuorumContact()) {
    BecomeFollower(m_term, NodeId());
  }
}

void Node::Core::TickTransfer() {
  if (m_now >= m_transfer_deadline) {
    m_transfer_target = NodeId();
  }
}

void Node::Core::ResetElectionDeadline() {
  std::uniform_int_distribution<Millis::rep> jitter(
      m_init.election_timeout_min.count(), m_init.election_timeout_max.count());
  m_election_deadline = m_now + Millis(jitter(m_random));
}

void Node::Core::OnVoteSynced() {
  if (m_role == Role::kCandidate) {
    CountOwnVote();
  }
  if (!is_leader() && !m_leader.is_valid()) {
    WaitForVotes();
  }
}

// The others' disks are taken to be as slow as this one, and to be busy with
// another sync first.
void Node::Core::WaitForVotes() {
  ResetElectionDeadline();
  m_election_deadline += std::min(kSyncsOfVote * m_slow_sync,
                                  m_init.election_timeout_max * kMostWaits);
}

// A follower that was late itself waits for one more tick: its leader's words
// may have come and are read by then. To wait costs nobody anything. A leader
// never stretches its claim so: the others may have elected another meanwhile.
bool Node::Core::IsTickLate(SteadyTime now) const {
  return m_init.longest_tick_gap > Millis(0) &&
         now - m_ticked_at > m_init.longest_tick_gap;
}

bool Node::Core::HasQuorumContact() const {
  std::map<NodeId, bool> heard{{m_init.self, true}};
  for (const auto& [id, progress] : m_peers) {
    heard[id] = m_now - progress.last_heard < m_init.election_timeout_max;
  }
  return IsQuorum(heard);
}

// While a leader is trusted, nobody may be led to depose it by a vote.
bool Node::Core::IsLeaderTrusted() const {
  if (is_leader()) {
    return true;  // The quorum check ends it.
  }
  return m_leader.is_valid() &&
         m_now - m_leader_contact < m_init.election_timeout_min;
}

bool Node::Core::IsVoteIgnored(const Message& message) const {
  const bool is_vote = message.kind == MessageKind::kVote;
  if (!is_vote && message.kind != MessageKind::kPreVote) {
    return false;
  }
  return !MayVote() || (IsLeaderTrusted() && !message.is_transfer);
}

bool Node::Core::IsLogUpToDate(const Message& message) const {
  if (mutations().is_log_check_skipped) {
    return true;
  }
  if (message.log_term != m_log.last_term()) {
    return message.log_term > m_log.last_term();
  }
  return message.index >= m_log.last();
}

void Node::Core::BecomeFollower(Term term, NodeId leader) {
  if (term != m_term) {
    m_term = term;
    m_vote = NodeId();
    m_waited_for.clear();
  }
  m_role = IsVoter(m_init.self) ? Role::kFollower : Role::kLearner;
  m_leader = leader;
  m_votes.clear();
  m_peers.clear();
  m_reads.clear();
  m_transfer_target = NodeId();
  m_is_round_wanted = false;
  ResetElectionDeadline();
}

void Node::Core::BecomeLeader() {
  m_role = Role::kLeader;
  m_leader = m_init.self;
  m_votes.clear();
  m_round = 0;
  SyncPeersToMembership();
  m_uncommitted_bytes = 0;
  for (Index index = m_commit + 1; index <= m_log.last(); ++index) {
    m_uncommitted_bytes += m_log.At(index).payload.size();
  }
  m_term_start = AppendOwn(EntryKind::kEmpty, std::string()).index;
  SendHeartbeats();
}

void Node::Core::Campaign(CampaignKind kind) {
  m_leader = NodeId();
  m_votes.clear();
  ResetElectionDeadline();
  if (kind == CampaignKind::kPreVote) {
    m_role = Role::kPreCandidate;
    RequestVotes(kind);
    RecordVote(m_init.self, true);
    return;
  }
  m_role = Role::kCandidate;
  ++m_term;
  m_vote = m_init.self;
  RequestVotes(kind);  // Its own vote counts once it is synced.
}

void Node::Core::RequestVotes(CampaignKind kind) {
  const bool is_pre_vote = kind == CampaignKind::kPreVote;
  for (const auto& [id, member] : m_log.membership().members) {
    if (!member.is_voter || id == m_init.self) {
      continue;
    }
    Message message = MakeMessage(
        is_pre_vote ? MessageKind::kPreVote : MessageKind::kVote, id);
    message.term = is_pre_vote ? m_term + 1 : m_term;
    message.index = m_log.last();
    message.log_term = m_log.last_term();
    message.is_transfer = kind == CampaignKind::kTransfer;
    Send(std::move(message));
  }
}

void Node::Core::RecordVote(NodeId voter, bool is_granted) {
  m_votes.emplace(voter, is_granted);
  if (!IsQuorum(m_votes)) {
    return;
  }
  if (m_role == Role::kPreCandidate) {
    Campaign(CampaignKind::kVote);
  } else {
    BecomeLeader();
  }
}

void Node::Core::CountOwnVote() {
  if (IsHardStateSynced() && m_vote == m_init.self) {
    RecordVote(m_init.self, true);
  }
}

// Grants no more than a hint: nothing is saved, no term is entered.
void Node::Core::OnPreVote(const Message& message) {
  Message reply = MakeMessage(MessageKind::kPreVoteReply, message.from);
  reply.is_rejected = message.term <= m_term || !IsLogUpToDate(message);
  reply.term = reply.is_rejected ? m_term : message.term;
  // Its vote request comes once its own vote is synced: to campaign before
  // would split the votes. Once each, for it may hear nobody.
  if (!reply.is_rejected && m_waited_for.insert(message.from).second) {
    WaitForVotes();
  }
  Send(std::move(reply));
}

void Node::Core::OnVote(const Message& message) {
  const bool is_free = !m_vote.is_valid() && !m_leader.is_valid();
  const bool may_grant =
      is_free || m_vote == message.from || mutations().is_vote_forgotten;
  Message reply = MakeMessage(MessageKind::kVoteReply, message.from);
  reply.is_rejected = !may_grant || !IsLogUpToDate(message);
  if (!reply.is_rejected) {
    m_vote = message.from;
    ResetElectionDeadline();
  }
  Send(std::move(reply));
}

void Node::Core::OnVoteReply(const Message& message) {
  const bool is_pre_vote = message.kind == MessageKind::kPreVoteReply;
  if (m_role != (is_pre_vote ? Role::kPreCandidate : Role::kCandidate)) {
    return;
  }
  const Term asked = is_pre_vote ? m_term + 1 : m_term;
  if (message.is_rejected || message.term == asked) {
    RecordVote(message.from, !message.is_rejected);
  }
}

void Node::Core::OnTimeoutNow(const Message& message) {
  if (message.from == m_leader && IsVoter(m_init.self)) {
    Campaign(CampaignKind::kTransfer);
  }
}

void Node::Core::TransferLeadership(NodeId target) {
  const bool is_possible = is_leader() && target != m_init.self &&
                           IsVoter(target) && m_peers.contains(target);
  if (!is_possible) {
    return;
  }
  m_transfer_target = target;
  m_transfer_deadline = m_now + m_init.election_timeout_max;
  m_is_timeout_now_sent = false;
}

}  // namespace laurelhall::consensus
