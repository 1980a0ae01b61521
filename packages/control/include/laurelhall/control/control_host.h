#pragma once

#include <cstdint>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include "laurelhall/consensus/message.h"
#include "laurelhall/control/control_client.h"
#include "laurelhall/state/machine.h"

namespace laurelhall::control {

struct ControlHostInit {
  std::string cluster;
  std::string cluster_key;
  std::string name;
  std::string availability_zone;
  std::filesystem::path data_folder;
  std::string inner_address;
  bool may_bootstrap = false;
  /// The first members by name, address and zone; used for bootstrap only.
  std::vector<consensus::Member> first_members;
  uint64_t snapshot_every = 20'000;  ///< Entries between snapshots.
};

/// What operators see of a control host.
struct ControlStatus {
  consensus::Status consensus;
  uint64_t applied = 0;
  uint64_t disk_bytes = 0;
  bool is_store_failed = false;
  std::string leader_name;
};

/// Work that only the confirmed leader does, resumed by the next one from the
/// replicated state: controllers of waves, roll-outs, moves and jobs.
class LeaderDuty {
 public:
  virtual ~LeaderDuty() = default;

  /// Looks at the committed state and proposes what should be done next.
  /// Called about once a second on the control host's worker thread.
  virtual std::vector<state::Command> Step(const state::Machine& machine,
                                           WallTime now) = 0;
};

/// Answers an operator's request from the confirmed leader's state.
class OperatorService {
 public:
  using Commit = std::function<void(
      std::vector<state::Command>,
      std::function<void(std::optional<std::vector<state::Result>>)>)>;
  virtual ~OperatorService() = default;

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
///   the disk, one that applies and runs duties.
class ControlHost {
 public:
  /// Recovers the data folder and starts.
  /// @throws storage::CorruptionError, storage::StoreFailedError.
  ControlHost(const ControlHostInit& init,
              std::vector<std::unique_ptr<LeaderDuty>> duties,
              std::unique_ptr<OperatorService> operators);
  ~ControlHost();

  ControlStatus status() const;
  const state::Machine& machine() const;
  std::string inner_address() const;  ///< With the port that was picked.

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace laurelhall::control
