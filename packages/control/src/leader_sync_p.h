#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "laurelhall/control/control_host.h"
#include "laurelhall/routing/grants.h"
#include "laurelhall/routing/renewal.h"
#include "laurelhall/state/machine.h"
#include "session_keeper_p.h"

namespace laurelhall::control {

/// An endpoint's sign of life, brought by an entry host.
struct Renewal {
  std::string endpoint;
  uint64_t incarnation = 0;
};

/// What an entry host reports and asks for in one sync.
struct SyncQuestion {
  model::EntryIdentity entry;
  uint64_t settings_version = 0;
  uint64_t endpoints_index = 0;
  routing::LeaseRenewal leases;
  std::vector<Renewal> renewals;
  std::vector<state::BurnSample> burn;
};

/// What the confirmed leader answers.
struct SyncAnswer {
  uint64_t applied_index = 0;
  uint64_t settings_version = 0;
  std::string settings_tree;  ///< Empty when the records suffice.
  std::vector<state::SettingsRecord> settings_records;
  std::vector<model::Endpoint> endpoints;
  routing::LeaseAnswer leases;
};

/// What a leader keeps in memory for the entry hosts during its term: slot
/// leases, signs of life of endpoints, burn samples of the running minute.
///
/// @remarks Not thread-safe. Nothing in it promises more than the replicated
///   state and the leases do, so that the next leader starts with a new one.
class LeaderSync {
 public:
  /// @param machine Outlives this.
  /// @param term Makes the grants of this leader its own.
  /// @param first_index Of the first entry of this leader's term: what was
  ///   first announced later, no earlier leader can have lent.
  LeaderSync(const state::Machine& machine,
             uint64_t term,
             uint64_t first_index,
             SteadyTime now,
             Millis session_timeout = ControlHostInit().session_timeout);

  /// Slots of each host's endpoints under which a run may be going on.
  ///
  /// @pre A read was confirmed in this leader's term.
  std::map<std::string, int> SlotsOutByHost(SteadyTime now);

  /// Answers an entry host. Precondition: a read was confirmed after the
  /// question came in, and the state applied up to `applied` covers it.
  SyncAnswer Answer(const SyncQuestion& question,
                    uint64_t applied,
                    SteadyTime now);

  /// Takes the sessions that Answer() is to open. To be committed at once: who
  /// syncs without an open session is lent nothing.
  std::vector<state::Command> TakeOpenedSessions();

  /// Takes what is to be committed now: sessions and endpoints that went
  /// silent, samples of past minutes, the expiry of what is past its time.
  std::vector<state::Command> TakeDue(SteadyTime now, WallTime wall);

  /// Entry hosts that synced with this leader, with what they have in force.
  std::vector<EntryReport> Entries(SteadyTime now) const;

 private:
  struct SignOfLife {
    uint64_t incarnation = 0;
    SteadyTime at{};
  };
  struct EntryRecord {
    uint64_t incarnation = 0;
    uint64_t settings_version = 0;
    SteadyTime at{};
  };

  void FollowEndpoints(SteadyTime now);
  void TakeOverSessions();
  void SetSlots(const model::Endpoint& endpoint,
                const model::Config* config,
                SteadyTime now);
  void Remember(const SyncQuestion& question, SteadyTime now);
  void FillSettings(uint64_t since, SyncAnswer& answer) const;
  void RenewLeases(const SyncQuestion& question,
                   SteadyTime now,
                   SyncAnswer& answer);
  void ForgetEntries(SteadyTime now);
  void TakeSilentEndpoints(SteadyTime now,
                           WallTime wall,
                           std::vector<state::Command>& due);
  void TakeBurn(WallTime wall, std::vector<state::Command>& due);

  const state::Machine& m_machine;
  const uint64_t m_first_index;
  routing::SlotAllocator m_allocator;
  SessionKeeper m_sessions;
  bool m_has_taken_over = false;  // The allocator knows earlier holders.
  SteadyTime m_leads_since;
  SteadyTime m_last_sync{};
  SteadyTime m_next_expiry;
  uint64_t m_endpoints_index = 0;
  uint64_t m_config_version = 0;
  std::map<std::string, model::Endpoint> m_endpoints;  // Not gone.
  std::map<std::string, SignOfLife> m_signs;
  std::map<std::string, EntryRecord> m_entries;
  // By name and incarnation.
  std::map<std::pair<std::string, uint64_t>, routing::RenewalReceiver>
      m_receivers;
  std::map<std::pair<std::string, WallTime>, state::BurnSample> m_burn;
};

}  // namespace laurelhall::control
