#pragma once

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "laurelhall/consensus/node.h"
#include "log_p.h"

namespace laurelhall::consensus {

/// How a leader sends entries to a peer.
enum class ProgressState {
  kProbe,      ///< One append at a time, until the logs are known to match.
  kReplicate,  ///< Pipelined appends.
  kSnapshot,   ///< Waits for a snapshot to be installed.
  kCount
};

/// What a leader knows of one peer.
struct Progress {
  ProgressState state = ProgressState::kProbe;
  Index match = 0;  ///< Synced by the peer, as it acknowledged.
  Index next = 1;   ///< The next entry to send.
  bool is_probe_sent = false;
  std::deque<Index> inflight;  ///< Last index of each append under way.
  Index sent_commit = 0;
  SteadyTime last_sent{};  ///< When a commit index last went there.
  uint64_t acked_round = 0;
  SteadyTime last_heard{};
  SteadyTime last_progress{};  ///< Of `match`, or of the first send.
};

/// A read that waits for its heartbeat round.
struct PendingRead {
  uint64_t context = 0;
  Index index = 0;
  uint64_t round = 0;
};

enum class CampaignKind { kPreVote, kVote, kTransfer };

/// The parts of a node, one .cc each: node (input, output), election,
/// replication (leader and follower) and membership.
class Node::Core {
 public:
  Core(NodeInit init, SteadyTime now);

  // node.cc
  void SetNow(SteadyTime now) { m_now = std::max(m_now, now); }
  void Tick(SteadyTime now);
  void Receive(const Message& message, SteadyTime now);
  Ready TakeReady();
  void Persisted(Index index, Term term);
  void EntriesPersisted(Index index, Term term);
  void Compact(Snapshot snapshot);
  SnapshotMeta MetaAt(Index index) const;
  Status status() const;

  // replication.cc
  std::optional<EntryPosition> Propose(std::string payload);
  bool RequestRead(uint64_t context);

  // membership.cc
  std::optional<EntryPosition> ProposeMembership(
      const MembershipChange& change);

  // election.cc
  void TransferLeadership(NodeId target);

 private:
  using Handler = void (Core::*)(const Message&);

  // By MessageKind.
  static const std::array<Handler, static_cast<size_t>(MessageKind::kCount)>
      kHandlers;

  // node.cc: what every part needs.
  void AnswerLowerTerm(const Message& message);
  void AdoptHigherTerm(const Message& message);
  void Dispatch(const Message& message);
  void Send(Message message);
  Message MakeMessage(MessageKind kind, NodeId to) const;
  void OfferHardState(Ready& ready);
  void OfferEntries(Ready& ready);
  void OfferCommitted(Ready& ready);
  void NoteOffered(const Ready& ready);
  void NoteSynced();
  HardState CurrentHardState() const;
  bool IsHardStateSynced() const;
  bool IsTermSynced() const { return m_synced_term == m_term; }
  void AdvanceCommit(Index commit);
  const Mutations& mutations() const { return m_init.mutations; }
  bool is_leader() const { return m_role == Role::kLeader; }

  // election.cc
  void TickElection();
  void TickQuorum();
  void TickTransfer();
  void ResetElectionDeadline();
  void OnVoteSynced();
  void WaitForVotes();
  bool IsTickLate(SteadyTime now) const;
  bool HasQuorumContact() const;
  bool IsLeaderTrusted() const;
  bool IsVoteIgnored(const Message& message) const;
  bool IsLogUpToDate(const Message& message) const;
  void BecomeFollower(Term term, NodeId leader);
  void BecomeLeader();
  void Campaign(CampaignKind kind);
  void RequestVotes(CampaignKind kind);
  void RecordVote(NodeId voter, bool is_granted);
  void CountOwnVote();
  void OnPreVote(const Message& message);
  void OnVote(const Message& message);
  void OnVoteReply(const Message& message);
  void OnTimeoutNow(const Message& message);

  // replication.cc: leader.
  EntryPosition AppendOwn(EntryKind kind, std::string payload);
  void Flush();
  void SendEntries(NodeId to, Progress& progress);
  bool CanSendAppend(const Progress& progress) const;
  void SendAppend(NodeId to, Progress& progress);
  void NoteSent(Progress& progress, Index sent, Index commit);
  void SendSnapshot(NodeId to, Progress& progress);
  void SendHeartbeat(NodeId to, Progress& progress);
  void SendHeartbeats();
  void MaybeSendTimeoutNow(NodeId to, const Progress& progress);
  void Advanced(Progress& progress, Index match);
  void BackOff(Progress& progress, const Message& reply);
  void RetryStalled(Progress& progress, Index received);
  void MaybeCommit();
  void ConfirmReads();
  void OnAppendReply(const Message& message);
  void OnHeartbeatReply(const Message& message);

  // replication.cc: follower.
  void HeardLeader(const Message& message);
  void OnAppend(const Message& message);
  void OnHeartbeat(const Message& message);
  void OnSnapshot(const Message& message);
  void RejectAppend(const Message& message);
  void TakeEntries(const std::vector<Entry>& entries);
  void Truncate(Index from);
  void Install(const Snapshot& snapshot);

  // membership.cc
  bool IsVoter(NodeId node) const;
  bool IsMember(NodeId node) const;
  bool MayCampaign() const;
  bool MayVote() const;
  size_t QuorumSize() const;
  bool IsQuorum(const std::map<NodeId, bool>& votes) const;
  bool CanChangeMembership() const;
  bool IsCaughtUp(NodeId node) const;
  bool HasLiveQuorum(const Membership& membership) const;
  std::optional<Membership> ResultOf(const MembershipChange& change) const;
  void SyncPeersToMembership();
  void StepDownIfRemoved();

  NodeInit m_init;
  std::mt19937_64 m_random;
  SteadyTime m_now;
  SteadyTime m_ticked_at;

  // Durable, once synced.
  Term m_term = 0;
  Term m_synced_term = 0;
  NodeId m_vote;
  Log m_log;

  Role m_role = Role::kFollower;
  NodeId m_leader;
  SteadyTime m_leader_contact{};
  SteadyTime m_election_deadline{};
  std::map<NodeId, bool> m_votes;
  std::set<NodeId> m_waited_for;   // Candidates of this term.
  bool m_is_vote_pending = false;  // A term or vote is being synced.

  // How slow the disk is: the longest sync, of which each later one forgets an
  // eighth.
  Millis m_slow_sync{0};
  std::optional<SteadyTime> m_unsynced_since;

  Index m_commit = 0;
  Index m_persisted = 0;  // The log is synced up to here.
  Index m_offered = 0;    // Entries up to here were given out to be saved.
  Index m_applied = 0;    // Committed entries up to here were given out.
  HardState m_offered_hard_state;
  bool m_is_hard_state_synced = true;
  bool m_is_cut_synced = true;  // No truncation or install is unsynced.

  // Leader only.
  std::map<NodeId, Progress> m_peers;
  Index m_term_start = 0;  // The empty entry of this term.
  uint64_t m_uncommitted_bytes = 0;
  uint64_t m_round = 0;
  bool m_is_round_wanted = false;
  std::deque<PendingRead> m_reads;
  SteadyTime m_next_heartbeat{};
  NodeId m_transfer_target;
  SteadyTime m_transfer_deadline{};
  bool m_is_timeout_now_sent = false;

  std::optional<Snapshot> m_snapshot;   // The latest, for lagging peers.
  std::optional<Snapshot> m_installed;  // Not yet given out.
  Index m_installed_offered = 0;        // Given out, not yet synced.
  Ready m_ready;
};

}  // namespace laurelhall::consensus
