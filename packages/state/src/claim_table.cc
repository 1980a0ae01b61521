#include "claim_table_p.h"

#include <xxhash.h>

#include <algorithm>
#include <vector>

#include "results_p.h"

namespace laurelhall::state {
namespace {

using model::ClaimKey;

WideHash HashWide(std::string_view text) {
  const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  return {hash.low64, hash.high64};
}

// Lengths in front, so that no two scopes share a text.
std::string KeyText(const ClaimKey& key) {
  return std::to_string(key.organisation.size()) + ":" +
         std::to_string(key.service.size()) + ":" + key.organisation +
         key.service + key.key;
}

WideHash HashOfRun(const ClaimKey& key, const std::string& request_id) {
  return HashWide(KeyText(key) + "\n" + request_id);
}

size_t AnswerBytes(const model::Answer& answer) {
  return answer.body.data.size() + answer.content_type.size();
}

}  // namespace

size_t ClaimKeyHash::operator()(const ClaimKey& key) const {
  uint64_t hash = XXH3_64bits(key.key.data(), key.key.size());
  hash = XXH3_64bits_withSeed(key.service.data(), key.service.size(), hash);
  return XXH3_64bits_withSeed(key.organisation.data(), key.organisation.size(),
                              hash);
}

ClaimTable::ClaimTable(const MachineLimits& limits) : m_limits(limits) {}

std::optional<ClaimResult> ClaimTable::RepeatOf(
    const ClaimCommand& command) const {
  auto known = m_entries.Read(
      command.key, [&](const Entries& entries) -> std::optional<ClaimResult> {
        const auto found = entries.find(command.key);
        return found == entries.end()
                   ? std::nullopt
                   : std::optional(Repeat(found->second, command));
      });
  if (known) {
    return known;
  }
  const WideHash digest = HashWide(command.digest);
  return FindTombstone(command.key, &digest);
}

ClaimResult ClaimTable::Claim(const ClaimCommand& command, bool may_grant) {
  if (auto known = RepeatOf(command)) {
    return *std::move(known);
  }
  const WideHash run = HashOfRun(command.key, command.request_id);
  if (!may_grant || m_released.contains(run)) {
    // Nobody waits for it: its owner was lost, or released it and may have
    // called it not run. Granted, it would only lock the key.
    return {ClaimVerdict::kInProgress, command.owner, command.request_id, {}};
  }
  if (m_entry_count >= m_limits.max_claims) {
    return {ClaimVerdict::kFull, {}, {}, {}};
  }
  return Grant(command);
}

ClaimResult ClaimTable::Repeat(const Entry& entry,
                               const ClaimCommand& command) const {
  ClaimResult result = ResultOf(entry);
  const bool is_holder =
      entry.request_id == command.request_id && *entry.owner == command.owner;
  if (entry.digest != HashWide(command.digest)) {
    result.verdict = ClaimVerdict::kOtherBody;
    result.answer = {};
  } else if (entry.state == ClaimState::kInProgress && is_holder) {
    result.verdict = ClaimVerdict::kGranted;
  }
  return result;
}

ClaimResult ClaimTable::Grant(const ClaimCommand& command) {
  Entry entry;
  entry.digest = HashWide(command.digest);
  entry.request_id = command.request_id;
  entry.owner = Intern(command.owner);
  entry.expires_at = command.expires_at;
  entry.sequence = ++m_sequence;
  const auto& [stored, kept] =
      *m_entries.Write(command.key, [&](Entries& entries) {
        return &*entries.emplace(command.key, std::move(entry)).first;
      });
  Index(kept, &stored);
  ++m_entry_count;
  return {ClaimVerdict::kGranted, command.owner, command.request_id, {}};
}

ClaimResult ClaimTable::ResultOf(const Entry& entry) {
  ClaimResult result{
      ClaimVerdict::kInProgress, *entry.owner, entry.request_id, {}};
  if (entry.state == ClaimState::kUnknown) {
    result.verdict = ClaimVerdict::kOutcomeUnknown;
  } else if (entry.state == ClaimState::kCompleted) {
    result.verdict = entry.answer == nullptr ? ClaimVerdict::kAnswerNotKept
                                             : ClaimVerdict::kCompleted;
  }
  if (entry.answer != nullptr) {
    result.answer = *entry.answer;
  }
  return result;
}

std::optional<ClaimResult> ClaimTable::FindTombstone(
    const ClaimKey& key,
    const WideHash* digest) const {
  const auto tombstone = m_tombstones.Find(HashWide(KeyText(key)));
  if (!tombstone) {
    return std::nullopt;
  }
  ClaimResult result;
  if (digest != nullptr && tombstone->digest != *digest) {
    result.verdict = ClaimVerdict::kOtherBody;
  } else {
    result.verdict = tombstone->is_completed ? ClaimVerdict::kAnswerNotKept
                                             : ClaimVerdict::kOutcomeUnknown;
  }
  return result;
}

std::optional<ClaimResult> ClaimTable::Find(const ClaimKey& key) const {
  const auto live = m_entries.Read(
      key, [&](const Entries& entries) -> std::optional<ClaimResult> {
        const auto found = entries.find(key);
        return found == entries.end() ? std::nullopt
                                      : std::optional(ResultOf(found->second));
      });
  return live ? live : FindTombstone(key, nullptr);
}

// In-progress claims get a margin: their owner may still be at work.
ClaimTable::DueKey ClaimTable::DueOf(const Entry& entry) const {
  const bool is_open = entry.state == ClaimState::kInProgress;
  const Millis margin = is_open ? m_limits.unfinished_claim_margin : Millis(0);
  return {entry.expires_at + margin, entry.sequence};
}

std::pair<ClaimTable::Entry*, std::string> ClaimTable::Held(
    const ClaimKey& key,
    const std::string& request_id) {
  // Only this thread changes entries, so the pointer holds after the lock.
  Entry* entry = m_entries.Write(key, [&](Entries& entries) {
    const auto found = entries.find(key);
    return found == entries.end() ? nullptr : &found->second;
  });
  if (entry == nullptr) {
    return {nullptr, "no such claim"};
  }
  if (entry->request_id != request_id) {
    return {nullptr, "the claim is held by request " + entry->request_id};
  }
  return {entry, ""};
}

ActResult ClaimTable::Complete(const CompleteCommand& command) {
  const auto [entry, error] = Held(command.key, command.request_id);
  if (entry == nullptr) {
    return Refused(error);
  }
  if (entry->state == ClaimState::kCompleted) {
    return Accepted();
  }
  SetState(command.key, *entry, ClaimState::kCompleted);
  if (command.is_kept) {
    KeepAnswer(command.key, *entry, command.answer);
  }
  return Accepted();
}

ActResult ClaimTable::Release(const ReleaseCommand& command) {
  const auto [entry, error] = Held(command.key, command.request_id);
  if (entry == nullptr) {
    RememberReleased(HashOfRun(command.key, command.request_id));
    return Refused(error);
  }
  if (entry->state != ClaimState::kInProgress) {
    return Refused("the claim is no longer in progress");
  }
  Erase(command.key);
  RememberReleased(HashOfRun(command.key, command.request_id));
  return Accepted();
}

ActResult ClaimTable::Abandon(const AbandonCommand& command) {
  const auto [entry, error] = Held(command.key, command.request_id);
  if (entry == nullptr) {
    return Refused(error);
  }
  if (entry->state == ClaimState::kCompleted) {
    return Refused("the claim is completed");
  }
  SetState(command.key, *entry, ClaimState::kUnknown);
  return Accepted();
}

void ClaimTable::SetState(const ClaimKey& key, Entry& entry, ClaimState state) {
  const ClaimKey* stored = m_by_due.at(DueOf(entry));
  Unindex(entry);
  m_entries.Write(key, [&](Entries&) { entry.state = state; });
  Index(entry, stored);
}

void ClaimTable::Unindex(const Entry& entry) {
  m_by_due.erase(DueOf(entry));
  if (entry.state != ClaimState::kInProgress) {
    return;
  }
  const auto owned = m_open_by_owner.find(*entry.owner);
  owned->second.erase(entry.sequence);
  if (owned->second.empty()) {
    m_open_by_owner.erase(owned);
  }
}

void ClaimTable::Index(const Entry& entry, const ClaimKey* stored) {
  m_by_due.emplace(DueOf(entry), stored);
  if (entry.state == ClaimState::kInProgress) {
    m_open_by_owner[*entry.owner].emplace(entry.sequence, stored);
  }
}

size_t ClaimTable::AbandonAllOf(const model::EntryIdentity& owner) {
  const auto found = m_open_by_owner.find(owner);
  if (found == m_open_by_owner.end()) {
    return 0;
  }
  const auto owned = found->second;  // A copy: each step takes from it.
  for (const auto& item : owned) {
    const ClaimKey& key = *item.second;
    Entry* entry = m_entries.Write(
        key, [&](Entries& entries) { return &entries.at(key); });
    SetState(key, *entry, ClaimState::kUnknown);
  }
  return owned.size();
}

void ClaimTable::KeepAnswer(const ClaimKey& key,
                            Entry& entry,
                            const model::Answer& answer) {
  auto kept = std::make_unique<model::Answer>(answer);
  m_kept_bytes += AnswerBytes(answer);
  m_entries.Write(key, [&](Entries& entries) {
    entry.answer = std::move(kept);
    entry.kept_sequence = ++m_sequence;
    m_kept.emplace(entry.kept_sequence, &entries.find(key)->first);
  });
  DropOldAnswers();
}

void ClaimTable::DropAnswer(const ClaimKey& key, Entry& entry) {
  if (entry.answer == nullptr) {
    return;
  }
  m_kept_bytes -= AnswerBytes(*entry.answer);
  m_kept.erase(entry.kept_sequence);
  m_entries.Write(key, [&](Entries&) {
    entry.answer.reset();
    entry.kept_sequence = 0;
  });
}

void ClaimTable::DropOldAnswers() {
  while (m_kept_bytes > m_limits.max_kept_answer_bytes) {
    const ClaimKey& oldest = *m_kept.begin()->second;
    Entry* entry = m_entries.Write(
        oldest, [&](Entries& entries) { return &entries.at(oldest); });
    DropAnswer(oldest, *entry);
  }
}

void ClaimTable::Expire(WallTime now) {
  PurgeTombstones(now);
  while (!m_by_due.empty() && m_by_due.begin()->first.first <= now) {
    const size_t buried = m_tombstone_order.size();
    if (buried >= m_limits.max_claim_tombstones) {
      // Forgetting a tombstone early could allow a second run. Expired claims
      // stay, and a full table refuses new ones.
      break;
    }
    const ClaimKey key = *m_by_due.begin()->second;
    Entry* entry = m_entries.Write(
        key, [&](Entries& entries) { return &entries.at(key); });
    ExpireOne(key, *entry, now);
  }
  ForgetUnusedOwners();
}

void ClaimTable::ExpireOne(const ClaimKey& key, Entry& entry, WallTime now) {
  if (entry.state != ClaimState::kInProgress) {
    Bury(key, entry, now);
    Erase(key);
    return;
  }
  // Nobody else may run it, whatever time has passed. It stays for another
  // margin so that its owner's late answer still finds it.
  const ClaimKey* stored = m_by_due.at(DueOf(entry));
  Unindex(entry);
  m_entries.Write(key, [&](Entries&) {
    entry.state = ClaimState::kUnknown;
    entry.expires_at = now + m_limits.unfinished_claim_margin;
  });
  Index(entry, stored);
}

void ClaimTable::Bury(const ClaimKey& key, const Entry& entry, WallTime now) {
  ClaimTombstone tombstone;
  tombstone.key = HashWide(KeyText(key));
  tombstone.digest = entry.digest;
  tombstone.is_completed = entry.state == ClaimState::kCompleted;
  tombstone.purge_at = now + m_limits.claim_tombstone_retention;
  Load(tombstone);
}

void ClaimTable::Erase(const ClaimKey& key) {
  Entry* entry =
      m_entries.Write(key, [&](Entries& entries) { return &entries.at(key); });
  DropAnswer(key, *entry);
  Unindex(*entry);
  m_entries.Write(key, [&](Entries& entries) { entries.erase(key); });
  --m_entry_count;
}

void ClaimTable::RememberReleased(const WideHash& claim) {
  if (m_released.insert(claim).second) {
    m_released_order.push_back(claim);
  }
  if (m_released_order.size() > m_limits.max_released_requests) {
    m_released.erase(m_released_order.front());
    m_released_order.pop_front();
  }
}

void ClaimTable::PurgeTombstones(WallTime now) {
  while (!m_tombstone_order.empty() && m_tombstone_order.front().first <= now) {
    const WideHash key = m_tombstone_order.front().second;
    m_tombstones.Write(key, [&](Tombstones& all) { all.erase(key); });
    m_tombstone_order.pop_front();
  }
}

std::shared_ptr<const model::EntryIdentity> ClaimTable::Intern(
    const model::EntryIdentity& owner) {
  auto& known = m_owners[{owner.name, owner.incarnation}];
  if (known == nullptr) {
    known = std::make_shared<const model::EntryIdentity>(owner);
  }
  return known;
}

void ClaimTable::ForgetUnusedOwners() {
  std::erase_if(m_owners, [](const auto& owner) {
    return owner.second.use_count() == 1;
  });
}

void ClaimTable::Save(SnapshotWriter& writer) const {
  writer.AddJson("claim_sequence", m_sequence);
  std::map<uint64_t, std::pair<const ClaimKey*, const Entry*>> in_order;
  m_entries.ReadEach([&](const Entries& entries) {
    for (const auto& [key, entry] : entries) {
      in_order.emplace(entry.sequence, std::pair(&key, &entry));
    }
  });
  for (const auto& [sequence, found] : in_order) {
    const auto& [key, entry] = found;
    ClaimRecord record{*key,          entry->digest,        entry->request_id,
                       *entry->owner, entry->state,         entry->expires_at,
                       sequence,      entry->kept_sequence, std::nullopt};
    if (entry->answer != nullptr) {
      record.answer = *entry->answer;
    }
    writer.Add("claim", record);
  }
  for (const auto& [purge_at, key] : m_tombstone_order) {
    writer.Add("claim_tombstone", *m_tombstones.Find(key));
  }
  for (const WideHash& claim : m_released_order) {
    writer.Add("claim_released", claim);
  }
}

void ClaimTable::Load(const ClaimRecord& record) {
  Entry entry;
  entry.digest = record.digest;
  entry.request_id = record.request_id;
  entry.owner = Intern(record.owner);
  entry.state = record.state;
  entry.expires_at = record.expires_at;
  entry.sequence = record.sequence;
  entry.kept_sequence = record.kept_sequence;
  if (record.answer) {
    entry.answer = std::make_unique<model::Answer>(*record.answer);
    m_kept_bytes += AnswerBytes(*record.answer);
  }
  const auto& [stored, kept] =
      *m_entries.Write(record.key, [&](Entries& entries) {
        return &*entries.emplace(record.key, std::move(entry)).first;
      });
  Index(kept, &stored);
  if (record.answer) {
    m_kept.emplace(record.kept_sequence, &stored);
  }
  ++m_entry_count;
}

void ClaimTable::Load(const ClaimTombstone& tombstone) {
  m_tombstones.Write(tombstone.key, [&](Tombstones& all) {
    all.emplace(tombstone.key, tombstone);
  });
  m_tombstone_order.emplace_back(tombstone.purge_at, tombstone.key);
}

void ClaimTable::LoadReleased(const WideHash& claim) {
  RememberReleased(claim);
}

}  // namespace laurelhall::state
