#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "laurelhall/consensus/message.h"

namespace laurelhall::consensus {

/// The protocol's guarantees are broken, for example by a peer that lost synced
/// entries: a committed entry would be overwritten. The node must stop.
class ProtocolError : public std::logic_error {
  using std::logic_error::logic_error;
};

/// What the host of a node must do, in this order: save, sync, send, apply.
///
/// @remarks Never holds both `snapshot` and `entries`. The sync covers all that
///   was taken before, too: `messages_synced` of a later Ready wait for it.
struct Ready {
  std::optional<HardState> hard_state;  ///< To be saved and synced.
  std::optional<Index> truncate_from;   ///< Cut the log here before appending.
  std::vector<Entry> entries;           ///< To be appended and synced.
  std::optional<Snapshot> snapshot;     ///< To be installed before `committed`.
  std::vector<Message> messages_now;    ///< May go out before the sync.
  std::vector<Message> messages_synced;  ///< Only after the sync.
  std::vector<Entry> committed;          ///< To be applied, in order.
  std::vector<ReadState> reads;          ///< Confirmed; serve once applied.

  bool is_empty() const;
};

/// How a node is set up.
struct NodeInit {
  NodeId self;
  Membership bootstrap;  ///< Used only when `snapshot` and log are empty.
  HardState hard_state;
  std::optional<SnapshotMeta> snapshot;
  std::vector<Entry> log;  ///< Entries after the snapshot, as recovered.
  Millis heartbeat{100};
  /// How long the news that more is committed waits, from the last message to a
  /// peer on, for an append that takes it along; zero sends it at once. Peers
  /// apply so much later. A leader's own commits do not wait.
  Millis commit_delay{0};
  Millis election_timeout_min{600};
  Millis election_timeout_max{1200};
  /// Between two ticks; after a longer gap this node was late itself, and what
  /// its peers said meanwhile may not be read yet. Zero: not looked at.
  Millis longest_tick_gap{0};
  uint64_t seed = 1;  ///< For the election jitter.
  uint64_t max_append_bytes = 1 << 20;
  uint64_t max_uncommitted_bytes = 64 << 20;
  uint64_t max_inflight_appends = 16;
  /// Deliberate faults for tests that must catch them; none in production.
  Mutations mutations;
};

/// One voter or learner of a replicated log, as a pure state machine.
///
/// @remarks No I/O, no clock, no thread of its own. Not thread-safe: the host
///   calls it from one thread. After each call the host takes the Ready, acts
///   on it and calls Persisted(). Pre-vote and check-quorum are always on.
class Node {
 public:
  explicit Node(NodeInit init, SteadyTime now);
  ~Node();

  /// Advances elections, heartbeats and the quorum check to `now`.
  void Tick(SteadyTime now);

  /// Takes in a message of a peer.
  ///
  /// @throws ProtocolError, std::invalid_argument for a malformed membership.
  void Receive(const Message& message, SteadyTime now);

  /// Appends a payload when this node leads.
  ///
  /// @returns Where the entry stands; committed only once it comes back in
  ///   Ready::committed with the same term. None when not leader or when too
  ///   much is uncommitted.
  std::optional<EntryPosition> Propose(std::string payload, SteadyTime now);

  /// Proposes a change of one member. None when not leader, when a change is
  /// under way, or when no entry of this term is committed yet.
  std::optional<EntryPosition> ProposeMembership(const MembershipChange& change,
                                                 SteadyTime now);

  /// Asks for a confirmed read; answered in Ready::reads with `context`.
  ///
  /// @returns False when this node does not lead or cannot yet serve reads.
  /// @remarks Dropped when the node stops leading: the caller has a timeout.
  bool RequestRead(uint64_t context, SteadyTime now);

  /// Hands over leadership to a voter that has caught up; best effort.
  void TransferLeadership(NodeId target, SteadyTime now);

  /// Takes what has to be done since the last call; also after Persisted().
  Ready TakeReady();

  /// Says that all that was taken so far is synced: hard states, an installed
  /// snapshot, and the log up to this position (its last entry, or zeros).
  void Persisted(Index index, Term term);

  /// Says that the log is synced up to this position, while something taken
  /// later is not: a busy leader commits without waiting for a lull.
  void EntriesPersisted(Index index, Term term);

  /// Says that the state machine stands at `snapshot.meta.index` and `snapshot`
  /// may replace the log up to there; the node sends it to peers that lag.
  ///
  /// @remarks The node sets the meta's term and membership itself. After a
  ///   restart the host gives the recovered snapshot, so that it can be sent.
  /// @throws std::invalid_argument when that index is not yet applied.
  void Compact(Snapshot snapshot);

  /// The meta of a snapshot taken at `index`, with the membership as of then.
  ///
  /// @throws std::invalid_argument when it is compacted away or not yet given
  ///   out in Ready::committed.
  SnapshotMeta MetaAt(Index index) const;

  Status status() const;

 private:
  class Core;
  std::unique_ptr<Core> m_core;
};

}  // namespace laurelhall::consensus
