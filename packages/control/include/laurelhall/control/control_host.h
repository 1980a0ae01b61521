#pragma once

#include <cstdint>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "laurelhall/base/duration_counts.h"
#include "laurelhall/consensus/message.h"
#include "laurelhall/control/connection_filter.h"
#include "laurelhall/control/control_client.h"
#include "laurelhall/scheduling/log_service.h"
#include "laurelhall/state/machine.h"

namespace laurelhall::storage {
class FileSystem;
}

namespace laurelhall::control {

struct ControlHostInit {
  std::string cluster;
  std::string cluster_key;
  std::string name;
  std::string availability_zone;
  std::filesystem::path data_folder;
  std::string inner_address;
  /// Members know this host by it; empty: by where it listens.
  std::string reached_at;
  bool may_bootstrap = false;
  /// The first members by name, address and zone; used for bootstrap only.
  std::vector<consensus::Member> first_members;
  uint64_t snapshot_every = 20'000;            ///< Entries between snapshots.
  storage::FileSystem* file_system = nullptr;  ///< Null: the real one.
  std::shared_ptr<ConnectionFilter> filter;    ///< Null: no cuts.
  /// An entry host that did not sync for this long is lost: what it claimed
  /// and did not end is of unknown outcome.
  Millis session_timeout{std::chrono::seconds(15)};
  InnerTlsFiles tls;
  uint64_t seed = 0;  ///< Of the election jitter; 0: from the identity.
  /// Lets hosts in that were never a member, and in place of a voter that is
  /// silent. For networks that only the operator's own hosts are on.
  bool admits_newcomers = false;
  /// Refuses members that would let the loss of a zone lose the quorum.
  bool guards_zones = true;
  /// Runs beside the log; null: none. Outlives the host.
  scheduling::LogService* schedule = nullptr;
  /// Called with the error each time the host leaves the quorum because its
  /// store failed. Runs on the host's loop, must not block.
  std::function<void(const std::string&)> on_store_failed;
};

/// What the leader knows of one entry host.
struct EntryReport {
  std::string name;
  uint64_t incarnation = 0;
  uint64_t settings_version = 0;  ///< In force there at its last sync.
  Millis since_sync{0};
};

/// Counts since the process started.
struct ControlCounters {
  uint64_t commits = 0;   ///< Entries applied.
  uint64_t commands = 0;  ///< Commands in groups proposed here.
  uint64_t disk_syncs = 0;
  uint64_t store_failures = 0;  ///< Times that the open store failed.
  DurationCounts sync_times;    ///< Of the disk, from a batch's write on.
  DurationCounts commit_times;  ///< Leader: from a proposal to its results.
  DurationCounts tick_lags;     ///< By how much the loop's ticks came late.
  uint64_t elections = 0;       ///< Times that this host began to lead.
  uint64_t snapshots = 0;
  uint64_t syncs_answered = 0;
  uint64_t messages_sent = 0;
  uint64_t messages_dropped = 0;
  uint64_t bytes_sent = 0;  ///< Of messages to peers, before framing.
};

/// What operators see of a control host.
struct ControlStatus {
  consensus::Status consensus;
  uint64_t applied = 0;
  uint64_t disk_bytes = 0;
  bool is_store_failed = false;  ///< Out of the quorum until it is open again.
  bool is_store_unfit = false;   ///< The disk fails too often or for too long.
  std::string leader_name;
  std::string leader_address;
  bool is_waiting = false;  ///< Not a member of any membership known to it.
  std::string waits_for;    ///< Why it still waits, when it does.
  std::vector<EntryReport> entries;        ///< Leader only.
  std::vector<std::string> repair;         ///< Leader only: what is left to
                                           ///< repair and why it waits.
  std::vector<std::string> zones_at_risk;  ///< Zones whose loss loses the
                                           ///< quorum of live voters.
  ControlCounters counters;
};

/// Whether a change of membership was taken, or why not.
struct ActionOutcome {
  bool is_accepted = false;
  std::string error;
};

/// What operators do to the membership; each goes to the leader only.
///
/// @remarks Thread-safe. `done` comes once, on the host's loop; it must not
///   block. Accepted means committed or on its way; status() shows it.
class ControlActions {
 public:
  using Done = std::function<void(ActionOutcome)>;
  virtual ~ControlActions() = default;

  /// Adds a host as learner; it is promoted by itself when that is safe.
  virtual void AddLearner(consensus::NodeId node,
                          consensus::Member member,
                          Done done) = 0;

  /// Promotes a learner that has caught up, unless the zones forbid it.
  virtual void Promote(consensus::NodeId node, Done done) = 0;

  /// Removes a member, unless that would put a zone at risk.
  virtual void Remove(consensus::NodeId node, Done done) = 0;

  /// Hands leadership over to a voter; best effort.
  virtual void Transfer(consensus::NodeId node, Done done) = 0;

  /// Lets a waiting host of this name in, although the old identity of that
  /// name is still heard of or there never was one.
  virtual void Repair(const std::string& name, Done done) = 0;
};

/// What the leader sees beside the replicated state.
struct LeaderView {
  WallTime now{};
  /// Slots of each host's endpoints that are lent, or that a silent entry host
  /// may still be using. A draining host with none has no request in flight.
  std::map<std::string, int> slots_out_by_host;
};

/// Work that only the confirmed leader does, resumed by the next one from the
/// replicated state: controllers of waves, roll-outs, moves and jobs.
class LeaderDuty {
 public:
  virtual ~LeaderDuty() = default;

  /// Looks at the committed state and proposes what should be done next.
  /// Called about once a second on the control host's worker thread.
  virtual std::vector<state::Command> Step(const state::Machine& machine,
                                           const LeaderView& view) = 0;
};

/// Answers an operator's request from the confirmed leader's state.
class OperatorService {
 public:
  using Commit = std::function<void(
      std::vector<state::Command>,
      std::function<void(std::optional<std::vector<state::Result>>)>)>;
  virtual ~OperatorService() = default;

  /// Called once before the first request; `actions` outlives the service.
  virtual void Attach(ControlActions& actions) { (void)actions; }

  /// @param commit Commits commands; calls back with none if unknown.
  virtual void Handle(const std::string& method,
                      const std::string& path,
                      const std::string& body,
                      const state::Machine& machine,
                      const ControlStatus& status,
                      const Commit& commit,
                      std::function<void(OperatorReply)> done) = 0;
};

/// One member of the replicated state: consensus, disk, RPC, state machine.
///
/// @remarks Thread-safe. Threads: KJ loop (RPC and consensus), one that syncs
///   the disk, one that applies, one that runs duties and operators' requests
///   (so that a long plan does not hold up claims).
class ControlHost {
 public:
  /// Recovers the data folder and starts.
  /// @throws storage::CorruptionError, storage::StoreFailedError;
  ///   std::runtime_error when it cannot listen; FindingsError when the TLS
  ///   files cannot be used.
  ControlHost(const ControlHostInit& init,
              std::vector<std::unique_ptr<LeaderDuty>> duties,
              std::unique_ptr<OperatorService> operators);
  ~ControlHost();

  ControlStatus status() const;
  const state::Machine& machine() const;
  std::string inner_address() const;  ///< With the port that was picked.

  /// The leader's inner address as this host knows it; empty when unknown.
  std::string leader_address() const;

  /// Asks the leader's scheduling once, as another control host. Thread-safe.
  ///
  /// @param deadline The leader may hold its answer back until then.
  /// @param done Called on a thread of this host's; with none when nobody else
  ///   is known to lead or no answer came.
  void AskLeader(const std::string& request,
                 SteadyTime deadline,
                 std::function<void(std::optional<std::string>)> done);

  /// Hands leadership over, when this host leads, to a voter that keeps up.
  void StepDown();

  ControlActions& actions();

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace laurelhall::control
