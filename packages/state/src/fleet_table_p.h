#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "fenced_table_p.h"
#include "laurelhall/model/config.h"
#include "laurelhall/state/machine.h"
#include "settings_history_p.h"
#include "sharded_map_p.h"
#include "snapshot_p.h"

namespace laurelhall::state {

/// Copies what the settings say of a fleet: pools, services, quotas, weights.
void FillSettings(const model::Config& config, model::Fleet& fleet);

/// Hosts, waves, roll-outs and jobs. Each host has one record, and the record
/// names one pool: no moment has a host in two pools or in none.
///
/// @remarks Read() is thread-safe; all else is for the one applying thread.
class FleetTable {
 public:
  explicit FleetTable(const MachineLimits& limits);

  ActResult Apply(const HostAddCommand& command, const model::Config& config);
  ActResult Apply(const HostCommand& command, const model::Config& config);
  ActResult Apply(const WaveCommand& command, const model::Config& config);
  ActResult Apply(const RolloutCommand& command, const model::Config& config);
  ActResult Apply(const JobCommand& command, const model::Config& config);
  void Expire(WallTime now);

  /// Fills in hosts, waves, roll-outs and jobs.
  void Read(model::Fleet& fleet) const;

  std::optional<model::Host> FindHost(const std::string& id) const {
    return m_hosts.Find(id);
  }
  std::optional<model::Job> FindJob(const std::string& id) const {
    return m_jobs.Find(id);
  }
  std::vector<model::Job> JobsOnHosts(const std::set<std::string>& hosts) const;

  /// Whether a host is known and does not serve its pool just now. Hosts that
  /// nobody made known are not away: their endpoints announce themselves.
  bool IsHostAway(const std::string& host) const;

  /// Hosts that belong to each pool or move to it, but for retired ones.
  HostsByPool CountHosts() const;

  void Save(SnapshotWriter& writer) const;
  void Load(const model::Host& host);
  void Load(const Tracked<model::Wave>& wave) { m_waves.Load(wave); }
  void Load(const Tracked<model::Rollout>& rollout) {
    m_rollouts.Load(rollout);
  }
  void Load(const Tracked<model::Job>& job) { m_jobs.Load(job); }

 private:
  using Hosts = std::map<std::string, model::Host>;
  static constexpr size_t kHostShards = 8;
  static constexpr size_t kJobShards = 8;

  ActResult AddHost(const HostAddCommand& command, const model::Config& config);
  ActResult RefreshHost(const model::Host& known,
                        const HostAddCommand& command);
  std::string WhyNotNow(const HostCommand& command,
                        const model::Config& config) const;
  std::string WhyNotOpen(const model::Rollout& rollout,
                         const model::Config& config) const;
  std::string WhyNotStart(const std::optional<model::Job>& before,
                          const model::Job& job) const;

  const MachineLimits m_limits;
  ShardedMap<Hosts, std::hash<std::string>, kHostShards> m_hosts;
  FencedTable<model::Wave, &model::Wave::state, 1> m_waves;
  FencedTable<model::Rollout, &model::Rollout::state, 1> m_rollouts;
  FencedTable<model::Job, &model::Job::lease, kJobShards> m_jobs;
  size_t m_host_count = 0;  // For the applying thread alone.
};

}  // namespace laurelhall::state
