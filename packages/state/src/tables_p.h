#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>

#include "audit_log_p.h"
#include "burn_history_p.h"
#include "claim_table_p.h"
#include "endpoint_table_p.h"
#include "fleet_table_p.h"
#include "note_table_p.h"
#include "request_memory_p.h"
#include "schedule_table_p.h"
#include "session_table_p.h"
#include "settings_history_p.h"

namespace laurelhall::state {

/// All tables of one replicated state, and how commands reach them.
///
/// @remarks Apply(), Save() and Load() are for one thread at a time; reads of
///   the tables that say so may go on meanwhile.
class Tables {
 public:
  explicit Tables(const MachineLimits& limits);

  /// Applies a command of the entry at `index`.
  Result Apply(uint64_t index, const Command& command);

  std::string Save() const;

  /// Fills empty tables. @throws std::exception on text that Save() did not
  /// make.
  void Load(std::string_view snapshot);

  ClaimTable claims;
  EndpointTable endpoints;
  SettingsHistory settings;
  FleetTable fleet;
  RequestMemory requests;
  AuditLog audit;
  BurnHistory burn;
  SessionTable sessions;
  NoteTable notes;
  ScheduleTable schedule;
  std::atomic<uint64_t> applied_index{0};

 private:
  ClaimResult Run(const ClaimCommand& command);
  ActResult Run(const CompleteCommand& command);
  ActResult Run(const ReleaseCommand& command);
  ActResult Run(const AbandonCommand& command);
  ActResult Run(const EndpointCommand& command);
  ActResult Run(const SettingsCommand& command);
  ActResult Run(const BurnCommand& command);
  ActResult Run(const ControlCommand& command);
  ActResult Run(const ExpireCommand& command);
  ActResult Run(const SessionCommand& command);
  ActResult Run(const NoteCommand& command);
  ActResult Run(const ScheduleCommand& command);
  ActResult Run(const HostCommand& command);
  template <typename FleetCommand>
  ActResult Run(const FleetCommand& command);

  // Runs an operator's command, or repeats the first answer to a resend.
  template <typename OperatorCommand>
  ActResult RunOnce(const OperatorCommand& command);

  // Ends the claims of lost owners; returns how many.
  uint64_t EndClaims(const std::vector<model::EntryIdentity>& lost);
  void Expire(WallTime now);
  void LoadRecord(std::string_view table, const boost::json::value& value);

  uint64_t m_index = 0;  // Of the entry under way.
};

}  // namespace laurelhall::state
