#include <algorithm>
#include <utility>

#include "consensus_p.h"

namespace laurelhall::consensus {

namespace {

// After so many heartbeats without progress, appends under way count as lost.
constexpr int kStalledHeartbeats = 2;
// A snapshot is large: it is sent again only after so many election timeouts.
constexpr int kSnapshotTimeouts = 4;

}  // namespace

std::optional<EntryPosition> Node::Core::Propose(std::string payload) {
  const bool is_room =
      m_uncommitted_bytes == 0 ||
      m_uncommitted_bytes + payload.size() <= m_init.max_uncommitted_bytes;
  if (!is_leader() || m_transfer_target.is_valid() || !is_room) {
    return std::nullopt;
  }
  return AppendOwn(EntryKind::kCommand, std::move(payload));
}

EntryPosition Node::Core::AppendOwn(EntryKind kind, std::string payload) {
  const EntryPosition position{m_log.last() + 1, m_term};
  m_uncommitted_bytes += payload.size();
  m_log.Append({position.index, position.term, kind, std::move(payload)});
  if (kind == EntryKind::kMembership) {
    SyncPeersToMembership();
  }
  return position;
}

bool Node::Core::RequestRead(uint64_t context) {
  if (!is_leader() || m_commit < m_term_start) {
    return false;
  }
  // Reads asked for between two Readys share one round.
  if (!m_is_round_wanted) {
    m_is_round_wanted = true;
    ++m_round;
  }
  m_reads.push_back({context, m_commit, m_round});
  return true;
}

// Sends what came together since the last Ready.
void Node::Core::Flush() {
  for (auto& [id, progress] : m_peers) {
    SendEntries(id, progress);
    MaybeSendTimeoutNow(id, progress);
  }
  if (std::exchange(m_is_round_wanted, false)) {
    SendHeartbeats();
    ConfirmReads();
  }
}

void Node::Core::SendEntries(NodeId to, Progress& progress) {
  while (CanSendAppend(progress)) {
    SendAppend(to, progress);
  }
  const Index known = std::min(m_commit, progress.match);
  const bool is_due = m_now - progress.last_sent >= m_init.commit_delay;
  if (progress.sent_commit < known && is_due) {
    SendHeartbeat(to, progress);
  }
}

bool Node::Core::CanSendAppend(const Progress& progress) const {
  switch (progress.state) {
    case ProgressState::kProbe:
      return !progress.is_probe_sent;  // Also when empty: it finds the match.
    case ProgressState::kReplicate:
      return progress.inflight.size() < m_init.max_inflight_appends &&
             progress.next <= m_log.last();
    default:
      return false;
  }
}

void Node::Core::SendAppend(NodeId to, Progress& progress) {
  const std::optional<Term> previous = m_log.TermAt(progress.next - 1);
  if (!previous) {
    SendSnapshot(to, progress);
    return;
  }
  Message message = MakeMessage(MessageKind::kAppend, to);
  message.index = progress.next - 1;
  message.log_term = *previous;
  message.entries =
      m_log.Copy(progress.next, m_log.last(), m_init.max_append_bytes);
  const Index sent = message.index + message.entries.size();
  message.commit = std::min(m_commit, sent);
  NoteSent(progress, sent, message.commit);
  Send(std::move(message));
}

void Node::Core::NoteSent(Progress& progress, Index sent, Index commit) {
  if (progress.inflight.empty()) {
    progress.last_progress = m_now;
  }
  progress.inflight.push_back(sent);
  progress.sent_commit = std::max(progress.sent_commit, commit);
  progress.last_sent = m_now;
  if (progress.state == ProgressState::kProbe) {
    progress.is_probe_sent = true;
  } else {
    progress.next = sent + 1;
  }
}

void Node::Core::SendSnapshot(NodeId to, Progress& progress) {
  progress.state = ProgressState::kSnapshot;
  progress.inflight.clear();
  progress.last_progress = m_now;
  if (!m_snapshot) {
    return;  // Not yet given by the host after a restart; tried again later.
  }
  Message message = MakeMessage(MessageKind::kSnapshot, to);
  message.snapshot = *m_snapshot;
  Send(std::move(message));
}

void Node::Core::SendHeartbeat(NodeId to, Progress& progress) {
  Message message = MakeMessage(MessageKind::kHeartbeat, to);
  message.commit = std::min(m_commit, progress.match);
  message.round = m_round;
  progress.sent_commit = std::max(progress.sent_commit, message.commit);
  progress.last_sent = m_now;
  Send(std::move(message));
}

void Node::Core::SendHeartbeats() {
  m_next_heartbeat = m_now + m_init.heartbeat;
  for (auto& [id, progress] : m_peers) {
    SendHeartbeat(id, progress);
  }
}

void Node::Core::MaybeSendTimeoutNow(NodeId to, const Progress& progress) {
  const bool is_due = m_transfer_target == to && !m_is_timeout_now_sent &&
                      progress.match == m_log.last();
  if (is_due) {
    m_is_timeout_now_sent = true;
    Send(MakeMessage(MessageKind::kTimeoutNow, to));
  }
}

void Node::Core::Advanced(Progress& progress, Index match) {
  if (match > progress.match) {
    progress.match = std::min(match, m_log.last());
    progress.last_progress = m_now;
  }
  progress.next = std::max(progress.next, progress.match + 1);
  while (!progress.inflight.empty() &&
         progress.inflight.front() <= progress.match) {
    progress.inflight.pop_front();
  }
  const bool is_waiting = progress.state == ProgressState::kSnapshot &&
                          progress.match < m_log.base().index;
  if (!is_waiting && progress.state != ProgressState::kReplicate) {
    progress.state = ProgressState::kReplicate;
    progress.next = progress.match + 1;
    progress.inflight.clear();
    progress.is_probe_sent = false;
  }
}

void Node::Core::BackOff(Progress& progress, const Message& reply) {
  const bool is_probe = progress.state == ProgressState::kProbe;
  const bool is_stale = is_probe ? reply.index + 1 != progress.next
                                 : reply.index <= progress.match;
  if (is_stale || progress.state == ProgressState::kSnapshot) {
    return;
  }
  Index next = progress.match + 1;
  if (is_probe) {
    const Index agreed = m_log.FindAtMost(reply.hint, reply.log_term).index;
    next = std::max(next, std::min(agreed + 1, reply.index));
  }
  progress.state = ProgressState::kProbe;
  progress.next = next;
  progress.is_probe_sent = false;
  progress.inflight.clear();
}

// A lost message shows as a peer that answers heartbeats without progress. One
// that has `received` what is under way has a slow disk, mostly: to send it
// again would only make more work. Its reply may be lost all the same.
void Node::Core::RetryStalled(Progress& progress, Index received) {
  const bool is_snapshot = progress.state == ProgressState::kSnapshot;
  const bool is_syncing =
      !progress.inflight.empty() && received >= progress.inflight.front();
  Millis patience = m_init.heartbeat * kStalledHeartbeats;
  if (is_snapshot) {
    patience = m_init.election_timeout_max * kSnapshotTimeouts;
  } else if (is_syncing) {
    patience = m_init.election_timeout_max;
  }
  const bool is_idle = !is_snapshot && progress.inflight.empty();
  if (is_idle || m_now - progress.last_progress < patience) {
    return;
  }
  if (progress.state != ProgressState::kProbe) {
    progress.next = progress.match + 1;
  }
  progress.state = ProgressState::kProbe;
  progress.is_probe_sent = false;
  progress.inflight.clear();
}

void Node::Core::MaybeCommit() {
  std::vector<Index> matches;
  for (const auto& [id, member] : m_log.membership().members) {
    if (member.is_voter) {
      matches.push_back(id == m_init.self ? m_persisted : m_peers[id].match);
    }
  }
  std::sort(matches.begin(), matches.end(), std::greater<>());
  const Index agreed = std::min(matches[QuorumSize() - 1], m_log.last());
  // An entry of an earlier term is committed only by one of this term.
  const bool is_own_term = m_log.Matches(agreed, m_term);
  if (agreed > m_commit && (is_own_term || mutations().is_old_term_committed)) {
    AdvanceCommit(agreed);
    StepDownIfRemoved();
  }
}

void Node::Core::ConfirmReads() {
  while (!m_reads.empty()) {
    std::map<NodeId, bool> acked{{m_init.self, true}};
    for (const auto& [id, progress] : m_peers) {
      acked[id] = progress.acked_round >= m_reads.front().round;
    }
    if (!IsQuorum(acked)) {
      return;
    }
    m_ready.reads.push_back({m_reads.front().context, m_reads.front().index});
    m_reads.pop_front();
  }
}

void Node::Core::OnAppendReply(const Message& message) {
  const auto found = m_peers.find(message.from);
  if (!is_leader() || found == m_peers.end()) {
    return;
  }
  found->second.last_heard = m_now;
  if (message.is_rejected) {
    BackOff(found->second, message);
    return;
  }
  Advanced(found->second, message.index);
  MaybeCommit();
}

void Node::Core::OnHeartbeatReply(const Message& message) {
  const auto found = m_peers.find(message.from);
  if (!is_leader() || found == m_peers.end()) {
    return;
  }
  Progress& progress = found->second;
  progress.last_heard = m_now;
  progress.acked_round = std::max(progress.acked_round, message.round);
  RetryStalled(progress, message.hint);
  ConfirmReads();
}

void Node::Core::HeardLeader(const Message& message) {
  if (m_leader != message.from || m_role == Role::kPreCandidate ||
      m_role == Role::kCandidate) {
    BecomeFollower(m_term, message.from);
  }
  m_leader_contact = m_now;
  ResetElectionDeadline();
}

void Node::Core::OnAppend(const Message& message) {
  HeardLeader(message);
  if (m_installed) {
    return;  // The snapshot goes out to be saved first; a resend follows.
  }
  Message reply = MakeMessage(MessageKind::kAppendReply, message.from);
  if (message.index < m_commit) {
    reply.index = m_commit;
    Send(std::move(reply));
    return;
  }
  if (!m_log.Matches(message.index, message.log_term)) {
    RejectAppend(message);
    return;
  }
  TakeEntries(message.entries);
  reply.index = message.index + message.entries.size();
  AdvanceCommit(std::min(message.commit, reply.index));
  Send(std::move(reply));
}

void Node::Core::RejectAppend(const Message& message) {
  const EntryPosition agreed =
      m_log.FindAtMost(message.index, message.log_term);
  Message reply = MakeMessage(MessageKind::kAppendReply, message.from);
  reply.is_rejected = true;
  reply.index = message.index;
  reply.hint = agreed.index;
  reply.log_term = agreed.term;
  Send(std::move(reply));
}

void Node::Core::TakeEntries(const std::vector<Entry>& entries) {
  for (const Entry& entry : entries) {
    if (m_log.Matches(entry.index, entry.term)) {
      continue;
    }
    if (entry.index <= m_log.last()) {
      Truncate(entry.index);
    }
    m_log.Append(entry);
  }
  if (!is_leader()) {
    m_role = IsVoter(m_init.self) ? Role::kFollower : Role::kLearner;
  }
}

void Node::Core::Truncate(Index from) {
  if (from <= m_commit) {
    throw ProtocolError("consensus: committed entry " + std::to_string(from) +
                        " would be overwritten");
  }
  m_log.TruncateFrom(from);
  m_persisted = std::min(m_persisted, from - 1);
  if (from <= m_offered) {
    m_is_cut_synced = false;
    m_offered = from - 1;
    m_ready.truncate_from =
        std::min(m_ready.truncate_from.value_or(from), from);
  }
}

void Node::Core::OnHeartbeat(const Message& message) {
  HeardLeader(message);
  AdvanceCommit(std::min(message.commit, m_log.last()));
  Message reply = MakeMessage(MessageKind::kHeartbeatReply, message.from);
  reply.round = message.round;
  reply.hint = m_log.last_term() == m_term ? m_log.last() : 0;
  Send(std::move(reply));
}

void Node::Core::OnSnapshot(const Message& message) {
  HeardLeader(message);
  const SnapshotMeta& meta = message.snapshot.meta;
  if (meta.index > m_commit) {
    if (m_log.Matches(meta.index, meta.term)) {
      AdvanceCommit(meta.index);
    } else {
      Install(message.snapshot);
    }
  }
  Message reply = MakeMessage(MessageKind::kSnapshotReply, message.from);
  reply.index = m_commit;
  Send(std::move(reply));
}

void Node::Core::Install(const Snapshot& snapshot) {
  const Index index = snapshot.meta.index;
  m_persisted = std::min(m_persisted, m_commit);
  m_is_cut_synced = false;
  if (m_offered > index) {
    m_ready.truncate_from = index + 1;
  }
  m_log.Reset(snapshot.meta);
  m_commit = index;
  m_applied = index;
  m_offered = index;
  m_snapshot = snapshot;
  m_installed = snapshot;
  m_role = IsVoter(m_init.self) ? Role::kFollower : Role::kLearner;
}

}  // namespace laurelhall::consensus
