#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "laurelhall/base/time.h"

namespace laurelhall::consensus {

using Index = uint64_t;
using Term = uint64_t;

/// A voter's identity; lives in its data folder. Zero is invalid.
struct NodeId {
  uint64_t value = 0;

  constexpr bool is_valid() const { return value != 0; }
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads <=>.
  friend constexpr auto operator<=>(NodeId, NodeId) = default;
};

/// A member as the log knows it.
struct Member {
  std::string address;  ///< "ip:port" of the inner protocol.
  std::string availability_zone;
  std::string name;  ///< The daemon's name in its settings.
  bool is_voter = true;

  friend bool operator==(const Member&, const Member&) = default;
};

struct Membership {
  std::map<NodeId, Member> members;

  friend bool operator==(const Membership&, const Membership&) = default;
};

enum class MembershipChangeKind { kAddLearner, kPromote, kRemove, kCount };

struct MembershipChange {
  MembershipChangeKind kind = MembershipChangeKind::kAddLearner;
  NodeId node;
  Member member;
};

enum class EntryKind : uint8_t { kCommand, kMembership, kEmpty, kCount };

struct Entry {
  Index index = 0;
  Term term = 0;
  EntryKind kind = EntryKind::kEmpty;
  std::string payload;  ///< For kMembership: EncodeMembership() of the result.

  friend bool operator==(const Entry&, const Entry&) = default;
};

struct EntryPosition {
  Index index = 0;
  Term term = 0;
};

struct HardState {
  Term term = 0;
  NodeId vote;
  Index commit = 0;

  friend bool operator==(const HardState&, const HardState&) = default;
};

struct SnapshotMeta {
  Index index = 0;
  Term term = 0;
  Membership membership;
};

struct Snapshot {
  SnapshotMeta meta;
  std::string data;
};

struct ReadState {
  uint64_t context = 0;
  Index index = 0;  ///< Serve once the state machine has applied this.
};

enum class MessageKind : uint8_t {
  kPreVote,
  kPreVoteReply,
  kVote,
  kVoteReply,
  kAppend,
  kAppendReply,
  kHeartbeat,
  kHeartbeatReply,
  kSnapshot,
  kSnapshotReply,
  kTimeoutNow,
  kCount,
};

/// One message between two nodes; which fields count depends on the kind.
struct Message {
  MessageKind kind = MessageKind::kCount;
  NodeId from;
  NodeId to;
  Term term = 0;
  Index index = 0;    ///< Previous, last or matched index.
  Term log_term = 0;  ///< Term at `index`.
  Index commit = 0;
  bool is_rejected = false;
  bool is_transfer = false;  ///< A vote that a hand-over asked for.
  Index hint = 0;            ///< Where a rejected append may go on; of a
                             ///< heartbeat's reply: received in this term.
  uint64_t round = 0;        ///< Heartbeat round, for confirmed reads.
  std::vector<Entry> entries;
  Snapshot snapshot;
};

enum class Role {
  kFollower,
  kPreCandidate,
  kCandidate,
  kLeader,
  kLearner,
  kCount
};

struct Peer {
  Index match = 0;
  SteadyTime last_heard{};
};

/// What a node knows of itself, for operators and for decisions.
struct Status {
  NodeId self;
  Role role = Role::kFollower;
  Term term = 0;
  NodeId leader;  ///< Invalid when none is known.
  Index commit = 0;
  Index last = 0;
  Index first = 0;
  Membership membership;
  bool is_leader_confirmed = false;  ///< An entry of its own term committed.
  SteadyTime leader_contact{};       ///< Follower: last word of the leader.
  std::map<NodeId, Peer> peers;      ///< Leader only.
};

/// Protocol steps left out on purpose, so that tests show they are needed.
struct Mutations {
  bool is_sync_skipped = false;  ///< Acts as if synced at once.
  bool is_pre_vote_skipped = false;
  bool is_vote_forgotten = false;      ///< Votes again in the same term.
  bool is_old_term_committed = false;  ///< Commits earlier terms by count.
  bool is_check_quorum_skipped = false;
  bool is_log_check_skipped = false;  ///< Votes for a shorter log.
};

/// Encodes a membership for a log entry; thread-safe.
std::string EncodeMembership(const Membership& membership);

/// Reads EncodeMembership()'s text; throws std::invalid_argument on others.
Membership DecodeMembership(const std::string& text);

}  // namespace laurelhall::consensus
