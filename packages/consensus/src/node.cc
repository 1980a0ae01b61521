#include "laurelhall/consensus/node.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <stdexcept>
#include <utility>

#include "consensus_p.h"

namespace laurelhall::consensus {

namespace {

SnapshotMeta BaseOf(const NodeInit& init) {
  if (init.snapshot) {
    return *init.snapshot;
  }
  SnapshotMeta base;
  base.membership = init.bootstrap;
  return base;
}

}  // namespace

bool Ready::is_empty() const {
  return !hard_state && !truncate_from && entries.empty() && !snapshot &&
         messages_now.empty() && messages_synced.empty() && committed.empty() &&
         reads.empty();
}

Node::Core::Core(NodeInit init, SteadyTime now)
    : m_init(std::move(init)),
      m_random(m_init.seed ^ m_init.self.value),
      m_now(now),
      m_ticked_at(now),
      m_term(m_init.hard_state.term),
      m_synced_term(m_init.hard_state.term),
      m_vote(m_init.hard_state.vote),
      m_log(BaseOf(m_init), std::move(m_init.log)) {
  // A crash can have kept entries, but not the term that came with them. This
  // node has not voted in that term: a vote goes out only once it is synced.
  if (m_log.last_term() > m_term) {
    m_term = m_log.last_term();
    m_vote = NodeId();
  }
  // A torn tail can leave the saved commit index past the log's end.
  m_commit = std::min(m_init.hard_state.commit, m_log.last());
  m_commit = std::max(m_commit, m_log.base().index);
  m_applied = m_log.base().index;
  m_persisted = m_log.last();
  m_offered = m_log.last();
  m_offered_hard_state = m_init.hard_state;
  BecomeFollower(m_term, NodeId());
}

void Node::Core::Tick(SteadyTime now) {
  const bool is_late = IsTickLate(now);
  m_ticked_at = now;
  SetNow(now);
  if (!is_leader()) {
    if (!is_late) {
      TickElection();
    }
    return;
  }
  TickQuorum();
  TickTransfer();
  if (is_leader() && m_now >= m_next_heartbeat) {
    SendHeartbeats();
  }
}

void Node::Core::Receive(const Message& message, SteadyTime now) {
  SetNow(now);
  if (message.to != m_init.self || IsVoteIgnored(message)) {
    return;
  }
  if (message.term < m_term) {
    AnswerLowerTerm(message);
    return;
  }
  if (message.term > m_term) {
    AdoptHigherTerm(message);
  }
  Dispatch(message);
}

// A sender of a lower term must learn of the higher one: a leader that a quorum
// has left steps down, a candidate catches up.
void Node::Core::AnswerLowerTerm(const Message& message) {
  switch (message.kind) {
    case MessageKind::kAppend:
    case MessageKind::kHeartbeat:
    case MessageKind::kSnapshot: {
      Message reply = MakeMessage(MessageKind::kAppendReply, message.from);
      reply.is_rejected = true;
      Send(std::move(reply));
      break;
    }
    case MessageKind::kPreVote: {
      Message reply = MakeMessage(MessageKind::kPreVoteReply, message.from);
      reply.is_rejected = true;
      Send(std::move(reply));
      break;
    }
    default:
      break;
  }
}

void Node::Core::AdoptHigherTerm(const Message& message) {
  switch (message.kind) {
    case MessageKind::kPreVote:
      return;  // Asks about a term that nobody has entered.
    case MessageKind::kPreVoteReply:
      if (message.is_rejected) {
        BecomeFollower(message.term, NodeId());
      }
      return;
    case MessageKind::kAppend:
    case MessageKind::kHeartbeat:
    case MessageKind::kSnapshot:
      BecomeFollower(message.term, message.from);
      return;
    default:
      BecomeFollower(message.term, NodeId());
      return;
  }
}

constexpr std::array<Node::Core::Handler,
                     static_cast<size_t>(MessageKind::kCount)>
    Node::Core::kHandlers{
        &Core::OnPreVote,     &Core::OnVoteReply,      &Core::OnVote,
        &Core::OnVoteReply,   &Core::OnAppend,         &Core::OnAppendReply,
        &Core::OnHeartbeat,   &Core::OnHeartbeatReply, &Core::OnSnapshot,
        &Core::OnAppendReply, &Core::OnTimeoutNow};

void Node::Core::Dispatch(const Message& message) {
  const auto kind = static_cast<size_t>(message.kind);
  if (kind < kHandlers.size()) {
    (this->*kHandlers[kind])(message);
  }
}

Message Node::Core::MakeMessage(MessageKind kind, NodeId to) const {
  Message message;
  message.kind = kind;
  message.from = m_init.self;
  message.to = to;
  message.term = m_term;
  return message;
}

// Replies promise something durable (a vote, a match, a term) and vote requests
// a log that survives; a leader's own messages promise neither. The reply to a
// heartbeat promises the term alone: once that is durable it doesn't wait for
// entries, so that disks that stall take neither a leader's quorum from it nor
// hold up the reads and views that its rounds confirm.
void Node::Core::Send(Message message) {
  if (message.kind == MessageKind::kHeartbeatReply && IsTermSynced()) {
    m_ready.messages_now.push_back(std::move(message));
    return;
  }
  switch (message.kind) {
    case MessageKind::kPreVote:
    case MessageKind::kPreVoteReply:  // A hint that saves nothing.
    case MessageKind::kAppend:
    case MessageKind::kHeartbeat:
    case MessageKind::kSnapshot:
    case MessageKind::kTimeoutNow:
      m_ready.messages_now.push_back(std::move(message));
      break;
    default:
      m_ready.messages_synced.push_back(std::move(message));
      break;
  }
}

// The commit index given out to be saved never passes the synced log: else a
// crash between the two could commit entries that were about to be truncated.
HardState Node::Core::CurrentHardState() const {
  return {m_term, m_vote, std::min(m_commit, m_persisted)};
}

void Node::Core::OfferHardState(Ready& ready) {
  const HardState current = CurrentHardState();
  const bool is_vote_changed = current.term != m_offered_hard_state.term ||
                               current.vote != m_offered_hard_state.vote;
  // A commit index alone is not worth a sync.
  const bool is_sync_due =
      !ready.entries.empty() || ready.truncate_from || ready.snapshot;
  const bool is_changed = !(current == m_offered_hard_state);
  if (is_vote_changed || (is_sync_due && is_changed)) {
    ready.hard_state = current;
    m_is_vote_pending = m_is_vote_pending || is_vote_changed;
    m_offered_hard_state = current;
    m_is_hard_state_synced = false;
  }
}

void Node::Core::OfferEntries(Ready& ready) {
  if (m_installed) {
    m_installed_offered = m_installed->meta.index;
    ready.snapshot = std::move(m_installed);
    m_installed.reset();
  }
  for (Index index = m_offered + 1; index <= m_log.last(); ++index) {
    ready.entries.push_back(m_log.At(index));
  }
  m_offered = m_log.last();
}

void Node::Core::NoteOffered(const Ready& ready) {
  const bool is_sync_due = ready.hard_state || ready.truncate_from ||
                           !ready.entries.empty() || ready.snapshot;
  if (is_sync_due && !m_unsynced_since) {
    m_unsynced_since = m_now;
  }
}

// What is offered while a sync is under way is taken to begin with its end.
void Node::Core::NoteSynced() {
  if (!m_unsynced_since) {
    return;
  }
  const auto took = std::chrono::ceil<Millis>(m_now - *m_unsynced_since);
  m_slow_sync = std::max(took, m_slow_sync * 7 / 8);
  const bool is_all = m_persisted == m_offered && !m_is_vote_pending;
  m_unsynced_since = is_all ? std::nullopt : std::optional(m_now);
}

void Node::Core::OfferCommitted(Ready& ready) {
  for (Index index = m_applied + 1; index <= m_commit; ++index) {
    ready.committed.push_back(m_log.At(index));
  }
  m_applied = std::max(m_applied, m_commit);
}

Ready Node::Core::TakeReady() {
  if (is_leader()) {
    Flush();
  }
  Ready ready = std::exchange(m_ready, Ready());
  OfferEntries(ready);
  OfferHardState(ready);
  NoteOffered(ready);
  OfferCommitted(ready);
  if (mutations().is_sync_skipped) {
    std::move(ready.messages_synced.begin(), ready.messages_synced.end(),
              std::back_inserter(ready.messages_now));
    ready.messages_synced.clear();
    Persisted(m_log.last(), m_log.last_term());
  }
  return ready;
}

void Node::Core::Persisted(Index index, Term term) {
  m_persisted = std::max(m_persisted, std::exchange(m_installed_offered, 0));
  m_is_hard_state_synced = true;
  m_synced_term = m_offered_hard_state.term;
  m_is_cut_synced = true;
  const bool is_vote_synced = std::exchange(m_is_vote_pending, false);
  EntriesPersisted(index, term);
  if (is_vote_synced) {
    OnVoteSynced();
  }
}

// After a cut an entry may stand on disk, be about to be cut there and be
// appended again: only Persisted() tells.
void Node::Core::EntriesPersisted(Index index, Term term) {
  if (m_is_cut_synced && m_log.Matches(index, term)) {
    m_persisted = std::max(m_persisted, std::min(index, m_offered));
  }
  NoteSynced();
  if (is_leader()) {
    MaybeCommit();
  }
}

bool Node::Core::IsHardStateSynced() const {
  return m_is_hard_state_synced && m_offered_hard_state.term == m_term &&
         m_offered_hard_state.vote == m_vote;
}

void Node::Core::AdvanceCommit(Index commit) {
  for (Index index = m_commit + 1; index <= commit && is_leader(); ++index) {
    m_uncommitted_bytes -= m_log.At(index).payload.size();
  }
  m_commit = std::max(m_commit, commit);
}

SnapshotMeta Node::Core::MetaAt(Index index) const {
  if (index < m_log.base().index || index > m_applied) {
    throw std::invalid_argument("consensus: index is not in the applied log");
  }
  return {index, *m_log.TermAt(index), m_log.MembershipAt(index)};
}

void Node::Core::Compact(Snapshot snapshot) {
  const Index index = snapshot.meta.index;
  if (index < m_log.base().index) {
    return;  // A newer one was installed meanwhile.
  }
  snapshot.meta = MetaAt(index);
  m_log.CompactTo(index);
  m_snapshot = std::move(snapshot);
}

Status Node::Core::status() const {
  Status status;
  status.self = m_init.self;
  status.role = m_role;
  status.term = m_term;
  status.leader = m_leader;
  status.commit = m_commit;
  status.last = m_log.last();
  status.first = m_log.first();
  status.membership = m_log.membership();
  status.is_leader_confirmed = is_leader() && m_commit >= m_term_start;
  status.leader_contact = m_leader_contact;
  for (const auto& [id, progress] : m_peers) {
    status.peers[id] = {progress.match, progress.last_heard};
  }
  return status;
}

Node::Node(NodeInit init, SteadyTime now)
    : m_core(std::make_unique<Core>(std::move(init), now)) {}

Node::~Node() = default;

void Node::Tick(SteadyTime now) {
  m_core->Tick(now);
}

void Node::Receive(const Message& message, SteadyTime now) {
  m_core->Receive(message, now);
}

std::optional<EntryPosition> Node::Propose(std::string payload,
                                           SteadyTime now) {
  m_core->SetNow(now);
  return m_core->Propose(std::move(payload));
}

std::optional<EntryPosition> Node::ProposeMembership(
    const MembershipChange& change,
    SteadyTime now) {
  m_core->SetNow(now);
  return m_core->ProposeMembership(change);
}

bool Node::RequestRead(uint64_t context, SteadyTime now) {
  m_core->SetNow(now);
  return m_core->RequestRead(context);
}

void Node::TransferLeadership(NodeId target, SteadyTime now) {
  m_core->SetNow(now);
  m_core->TransferLeadership(target);
}

Ready Node::TakeReady() {
  return m_core->TakeReady();
}

void Node::Persisted(Index index, Term term) {
  m_core->Persisted(index, term);
}

void Node::EntriesPersisted(Index index, Term term) {
  m_core->EntriesPersisted(index, term);
}

void Node::Compact(Snapshot snapshot) {
  m_core->Compact(std::move(snapshot));
}

SnapshotMeta Node::MetaAt(Index index) const {
  return m_core->MetaAt(index);
}

Status Node::status() const {
  return m_core->status();
}

}  // namespace laurelhall::consensus
