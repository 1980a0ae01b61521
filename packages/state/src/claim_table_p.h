#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "laurelhall/state/command.h"
#include "laurelhall/state/machine.h"
#include "sharded_map_p.h"
#include "snapshot_p.h"

namespace laurelhall::state {

/// Where a claim is in its life. Released claims are gone from the table.
enum class ClaimState { kInProgress, kCompleted, kUnknown, kCount };
BOOST_DESCRIBE_ENUM(ClaimState, kInProgress, kCompleted, kUnknown)

/// A hash of 128 bits, for what is only ever compared.
struct WideHash {
  uint64_t low = 0;
  uint64_t high = 0;

  friend bool operator==(const WideHash&, const WideHash&) = default;
};
BOOST_DESCRIBE_STRUCT(WideHash, (), (low, high))

struct ClaimKeyHash {
  size_t operator()(const model::ClaimKey& key) const;
};
/// Takes other bits than the hash inside a shard, so that its buckets fill.
struct ClaimShardHash {
  size_t operator()(const model::ClaimKey& key) const {
    return ClaimKeyHash{}(key) >> 48;
  }
};
struct WideHashHash {
  size_t operator()(const WideHash& hash) const { return hash.low; }
};
struct WideShardHash {
  size_t operator()(const WideHash& hash) const { return hash.low >> 48; }
};

/// A claim as a snapshot writes it.
struct ClaimRecord {
  model::ClaimKey key;
  WideHash digest;
  std::string request_id;
  model::EntryIdentity owner;
  ClaimState state = ClaimState::kInProgress;
  WallTime expires_at{};
  uint64_t sequence = 0;
  uint64_t kept_sequence = 0;
  std::optional<model::Answer> answer;
};
BOOST_DESCRIBE_STRUCT(ClaimRecord,
                      (),
                      (key,
                       digest,
                       request_id,
                       owner,
                       state,
                       expires_at,
                       sequence,
                       kept_sequence,
                       answer))

/// What stays of an expired claim, so that a very late resend is refused.
struct ClaimTombstone {
  WideHash key;
  WideHash digest;
  bool is_completed = false;
  WallTime purge_at{};
};
BOOST_DESCRIBE_STRUCT(ClaimTombstone, (), (key, digest, is_completed, purge_at))

/// The table of claims: who may run a keyed request, and what came of it.
///
/// @remarks Find() and RepeatOf() are thread-safe; all else is for the one
/// applying thread.
class ClaimTable {
 public:
  explicit ClaimTable(const MachineLimits& limits);

  /// @param may_grant False when the owner's session is lost: the claim then
  ///   hears what holds the key, and a free key stays free.
  ClaimResult Claim(const ClaimCommand& command, bool may_grant = true);

  /// What Claim() would say without a change; none when the key is free.
  std::optional<ClaimResult> RepeatOf(const ClaimCommand& command) const;

  ActResult Complete(const CompleteCommand& command);

  /// Frees the key. A release that finds no claim of its own is refused and
  /// remembered: its claim may be late, and is then not granted.
  ActResult Release(const ReleaseCommand& command);
  ActResult Abandon(const AbandonCommand& command);

  /// Abandons all that an owner has in progress; returns how many.
  size_t AbandonAllOf(const model::EntryIdentity& owner);

  /// Turns what is past its time to tombstones and drops old tombstones.
  void Expire(WallTime now);

  std::optional<ClaimResult> Find(const model::ClaimKey& key) const;

  void Save(SnapshotWriter& writer) const;
  void Load(const ClaimRecord& record);
  void Load(const ClaimTombstone& tombstone);
  /// A released claim, in order.
  void LoadReleased(const WideHash& claim);
  /// The next sequence number.
  void LoadSequence(uint64_t sequence) { m_sequence = sequence; }

 private:
  struct Entry {
    WideHash digest;
    std::string request_id;
    std::shared_ptr<const model::EntryIdentity> owner;
    std::unique_ptr<model::Answer> answer;
    WallTime expires_at{};
    uint64_t sequence = 0;       // Order of claiming.
    uint64_t kept_sequence = 0;  // Order of answers; 0 when none is kept.
    ClaimState state = ClaimState::kInProgress;
  };
  using Entries = std::unordered_map<model::ClaimKey, Entry, ClaimKeyHash>;
  using Tombstones = std::unordered_map<WideHash, ClaimTombstone, WideHashHash>;
  using DueKey = std::pair<WallTime, uint64_t>;
  static constexpr size_t kShards = 64;

  static ClaimResult ResultOf(const Entry& entry);
  std::optional<ClaimResult> FindTombstone(const model::ClaimKey& key,
                                           const WideHash* digest) const;
  ClaimResult Repeat(const Entry& entry, const ClaimCommand& command) const;
  ClaimResult Grant(const ClaimCommand& command);
  DueKey DueOf(const Entry& entry) const;
  // The entry held by this request, or null and why not.
  std::pair<Entry*, std::string> Held(const model::ClaimKey& key,
                                      const std::string& request_id);
  void KeepAnswer(const model::ClaimKey& key,
                  Entry& entry,
                  const model::Answer& answer);
  void DropAnswer(const model::ClaimKey& key, Entry& entry);
  void DropOldAnswers();
  void SetState(const model::ClaimKey& key, Entry& entry, ClaimState state);
  // To be called before and after each change of what it depends on.
  void Unindex(const Entry& entry);
  void Index(const Entry& entry, const model::ClaimKey* stored);
  void ExpireOne(const model::ClaimKey& key, Entry& entry, WallTime now);
  void Bury(const model::ClaimKey& key, const Entry& entry, WallTime now);
  void Erase(const model::ClaimKey& key);
  void RememberReleased(const WideHash& claim);
  void PurgeTombstones(WallTime now);
  std::shared_ptr<const model::EntryIdentity> Intern(
      const model::EntryIdentity& owner);
  void ForgetUnusedOwners();

  const MachineLimits m_limits;
  ShardedMap<Entries, ClaimShardHash, kShards> m_entries;
  ShardedMap<Tombstones, WideShardHash, kShards> m_tombstones;

  // The rest is touched by the applying thread alone. Keys point into
  // m_entries, whose nodes stay where they are.
  std::map<DueKey, const model::ClaimKey*> m_by_due;
  // In progress, by owner and sequence.
  std::map<model::EntryIdentity, std::map<uint64_t, const model::ClaimKey*>>
      m_open_by_owner;
  std::map<uint64_t, const model::ClaimKey*> m_kept;  // By kept_sequence.
  std::deque<std::pair<WallTime, WideHash>> m_tombstone_order;
  std::deque<WideHash> m_released_order;  // Of key and request id.
  std::unordered_set<WideHash, WideHashHash> m_released;
  std::map<std::pair<std::string, uint64_t>,
           std::shared_ptr<const model::EntryIdentity>>
      m_owners;  // By name and incarnation.
  size_t m_entry_count = 0;
  size_t m_kept_bytes = 0;
  uint64_t m_sequence = 0;
};

}  // namespace laurelhall::state
