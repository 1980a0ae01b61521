#pragma once

#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "laurelhall/settings/tree.h"
#include "laurelhall/state/machine.h"
#include "snapshot_p.h"

namespace laurelhall::state {

/// The settings in force as a snapshot writes them.
struct SettingsInForce {
  uint64_t version = 0;
  std::string tree;
};
BOOST_DESCRIBE_STRUCT(SettingsInForce, (), (version, tree))

/// Hosts of each pool, which a change of settings must not leave without one.
using HostsByPool = std::map<std::string, size_t>;

/// The settings in force and the changes that led to them.
///
/// @remarks Const methods are thread-safe; the others are for the one applying
///   thread.
class SettingsHistory {
 public:
  explicit SettingsHistory(const MachineLimits& limits);

  ActResult Apply(const SettingsCommand& command, const HostsByPool& hosts);

  uint64_t version() const;
  std::string tree() const;
  std::shared_ptr<const model::Config> config() const;

  /// Changes after a version, oldest first; none when history is too short.
  std::optional<std::vector<SettingsRecord>> Since(uint64_t version) const;

  void Save(SnapshotWriter& writer) const;
  void Load(const SettingsInForce& in_force);
  void Load(const SettingsRecord& record);

 private:
  std::string RaceText(uint64_t expected) const;
  void Put(settings::Tree tree, uint64_t version);

  const MachineLimits m_limits;
  mutable std::mutex m_mutex;  // Guards all below.
  settings::Tree m_tree;
  uint64_t m_version = 0;
  std::shared_ptr<const model::Config> m_config;
  std::deque<SettingsRecord> m_records;
};

}  // namespace laurelhall::state
