#pragma once

#include <deque>
#include <mutex>
#include <string>
#include <vector>

#include "laurelhall/state/machine.h"
#include "snapshot_p.h"

namespace laurelhall::state {

/// What operators did, accepted or refused, bounded in number.
///
/// @remarks Latest() is thread-safe; all else is for the one applying thread.
class AuditLog {
 public:
  explicit AuditLog(const MachineLimits& limits);

  void Add(AuditRecord record);

  /// The latest records, the newest first.
  std::vector<AuditRecord> Latest(size_t most) const;

  void Save(SnapshotWriter& writer) const;

 private:
  const MachineLimits m_limits;
  mutable std::mutex m_mutex;  // Guards all below.
  std::deque<AuditRecord> m_records;
};

/// How a command reads in the audit log, such as "host.drain annex-07".
std::string ActText(const SettingsCommand& command);
std::string ActText(const HostAddCommand& command);
std::string ActText(const HostCommand& command);
std::string ActText(const WaveCommand& command);
std::string ActText(const RolloutCommand& command);
std::string ActText(const JobCommand& command);
std::string ActText(const ControlCommand& command);

/// How a result reads in the audit log.
std::string OutcomeText(const ActResult& result);

}  // namespace laurelhall::state
