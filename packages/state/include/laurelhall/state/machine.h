#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "laurelhall/model/config.h"
#include "laurelhall/model/endpoint.h"
#include "laurelhall/scheduling/ledger.h"
#include "laurelhall/state/command.h"

namespace laurelhall::state {

/// Bounds of the replicated state; all in one place.
struct MachineLimits {
  size_t max_claims = 2'000'000;
  size_t max_kept_answer_bytes = 512u << 20;
  size_t max_remembered_requests = 20'000;
  Millis remember_requests{std::chrono::hours(24)};
  size_t max_settings_history = 2'000;
  size_t max_audit_records = 20'000;
  size_t max_burn_minutes = size_t{60} * 24 * 35;  ///< Of one service.
  /// In-progress claims turn to outcome unknown this long past their expiry.
  Millis unfinished_claim_margin{std::chrono::hours(1)};
  /// An expired key is refused for this long; a later resend is a first run.
  Millis claim_tombstone_retention{std::chrono::hours(24 * 7)};
  size_t max_claim_tombstones = 8'000'000;
  size_t max_released_requests = 100'000;  ///< Remembered against late copies.
  size_t max_sessions = 10'000;
  /// Lost sessions are kept for this long against late copies of claims.
  Millis lost_session_retention{std::chrono::hours(1)};
  size_t max_endpoints = 20'000;
  Millis gone_endpoint_retention{std::chrono::hours(1)};
  size_t max_hosts = 20'000;
  size_t max_acts = 2'000;  ///< Waves, and roll-outs, each.
  size_t max_jobs = 200'000;
  static constexpr size_t kMaxNoteName = 64;
  size_t max_notes = 64;
  size_t max_note_bytes = 1u << 20;
  /// Finished acts and jobs, and retired hosts, are dropped after this.
  Millis finished_retention{std::chrono::hours(24 * 7)};
};

/// One accepted change of settings.
struct SettingsRecord {
  uint64_t version = 0;
  OperatorRequest request;
  std::map<std::string, std::optional<std::string>> changes;
};
BOOST_DESCRIBE_STRUCT(SettingsRecord, (), (version, request, changes))

/// The session of one incarnation of an entry host.
struct SessionRecord {
  model::EntryIdentity entry;
  SessionState state = SessionState::kOpen;
  /// A leader may have lent it slots under which a run may be going on.
  bool may_hold_slots = false;
  WallTime changed_at{};
  uint64_t changed_at_index = 0;  ///< Log index of the last change of state.
};
BOOST_DESCRIBE_STRUCT(
    SessionRecord,
    (),
    (entry, state, may_hold_slots, changed_at, changed_at_index))

/// One operator's act, accepted or refused.
struct AuditRecord {
  uint64_t index = 0;
  OperatorRequest request;
  std::string act;  ///< Such as "host.drain annex-07".
  std::string outcome;
};
BOOST_DESCRIBE_STRUCT(AuditRecord, (), (index, request, act, outcome))

/// The replicated state: what committed commands add up to.
///
/// @remarks Deterministic: the same entries give the same state and results
///   on each control host. Several threads may read while one applies: tables
///   are sharded and each shard has its own lock.
class Machine {
 public:
  explicit Machine(MachineLimits limits = {});
  ~Machine();

  /// Applies one committed entry's payload; one result per command.
  ///
  /// @param index The entry's log index; must grow from call to call.
  /// @throws std::exception when the payload isn't EncodeCommands()'s or the
  ///   index doesn't grow; the state is then as before.
  std::vector<Result> Apply(uint64_t index, std::string_view payload);

  uint64_t applied_index() const;

  /// Writes all of the state; Load() on another machine gives the same state.
  ///
  /// @remarks Apply() waits meanwhile; readers don't.
  std::string Save() const;

  /// Replaces the state. Throws std::exception on text that Save() did not
  /// make.
  void Load(std::string_view snapshot);

  /// Settings version in force, its tree as JSON text, and as resolved.
  uint64_t settings_version() const;
  std::string settings_tree() const;
  std::shared_ptr<const model::Config> config() const;

  /// Records after `version`, oldest first; none when history is too short.
  std::optional<std::vector<SettingsRecord>> SettingsSince(
      uint64_t version) const;

  /// Endpoints changed after a log index, gone ones included.
  ///
  /// @remarks Gone ones are purged after MachineLimits' retention: a reader
  ///   that was away for longer asks from 0 and drops what isn't there.
  std::vector<model::Endpoint> EndpointsSince(uint64_t index) const;

  /// Hosts, waves, roll-outs and jobs with the pools and services in force.
  model::Fleet fleet() const;

  /// One host or job, without a copy of all others.
  std::optional<model::Host> FindHost(const std::string& id) const;
  std::optional<model::Job> FindJob(const std::string& id) const;

  /// Jobs that some hosts hold; those of all hosts when none is named.
  std::vector<model::Job> JobsOnHosts(const std::set<std::string>& hosts) const;

  std::vector<AuditRecord> Audit(size_t most) const;
  std::vector<BurnSample> Burn(const std::string& service,
                               WallTime since) const;

  /// What a claim would hear of a key that is held or settled; none when it
  /// is free.
  std::optional<ClaimResult> RepeatOfClaim(const ClaimCommand& command) const;

  /// The first answer to an operator's request; none when it is new.
  ///
  /// @throws std::invalid_argument when its id was used for another request.
  std::optional<ActResult> FindRequest(const OperatorRequest& request) const;

  /// The text of a note; none when there is none.
  std::optional<std::string> Note(const std::string& name) const;

  /// Looks a claim up without claiming; none when the key is not known.
  std::optional<ClaimResult> FindClaim(const model::ClaimKey& key) const;

  /// The sessions of entry hosts, open and lost, by name and incarnation.
  std::vector<SessionRecord> Sessions() const;
  std::optional<SessionRecord> FindSession(
      const model::EntryIdentity& entry) const;

  /// Reads the scheduling's ledger; applying waits for the reader, which must
  /// not call this machine.
  void ReadSchedule(
      const std::function<void(const scheduling::Ledger&)>& reader) const;

  /// A digest of the whole state, to compare replicas.
  uint64_t Digest() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace laurelhall::state
