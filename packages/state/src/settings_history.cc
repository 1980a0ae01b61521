#include "settings_history_p.h"

#include <utility>

#include "results_p.h"

namespace laurelhall::state {
namespace {

constexpr size_t kMaxNamedChanges = 10;

std::string OrphanText(const model::Config& config, const HostsByPool& hosts) {
  std::string text;
  for (const auto& [pool, count] : hosts) {
    if (!config.pools.contains(pool)) {
      text += (text.empty() ? "pools." : "\npools.") + pool + ": " +
              std::to_string(count) + " hosts belong to it";
    }
  }
  return text;
}

}  // namespace

SettingsHistory::SettingsHistory(const MachineLimits& limits)
    : m_limits(limits),
      m_config(std::make_shared<const model::Config>(m_tree.Resolve(0))) {}

ActResult SettingsHistory::Apply(const SettingsCommand& command,
                                 const HostsByPool& hosts) {
  // Only this thread changes the members, so it may read them unlocked.
  if (command.expected_version != m_version) {
    return Refused(RaceText(command.expected_version), m_version);
  }
  if (command.changes.empty()) {
    return Refused("expected at least one change", m_version);
  }
  try {
    settings::Tree tree = m_tree.With(command.changes);
    const std::string orphans = OrphanText(tree.Resolve(m_version), hosts);
    if (!orphans.empty()) {
      return Refused(orphans, m_version);
    }
    Put(std::move(tree), m_version + 1);
  } catch (const std::exception& error) {
    // Whatever an operator sends must not stop the replicas.
    return Refused(error.what(), m_version);
  }
  Load(SettingsRecord{m_version, command.request, command.changes});
  return Accepted(m_version);
}

void SettingsHistory::Put(settings::Tree tree, uint64_t version) {
  auto config = std::make_shared<const model::Config>(tree.Resolve(version));
  const std::lock_guard lock(m_mutex);
  m_tree = std::move(tree);
  m_version = version;
  m_config = std::move(config);
}

// Names the version in force and what has changed since the expected one.
std::string SettingsHistory::RaceText(uint64_t expected) const {
  std::string text = "expected version " + std::to_string(expected) +
                     ", in force is " + std::to_string(m_version);
  const auto records = Since(expected);
  if (!records) {
    return text + "; what changed since is no longer kept";
  }
  size_t named = 0;
  for (const SettingsRecord& record : *records) {
    for (const auto& [path, value] : record.changes) {
      if (++named > kMaxNamedChanges) {
        return text + " and more";
      }
      text += (named == 1 ? "; since then: " : ", ") + path + " by " +
              record.request.operator_name + " (version " +
              std::to_string(record.version) + ")";
    }
  }
  return text;
}

uint64_t SettingsHistory::version() const {
  const std::lock_guard lock(m_mutex);
  return m_version;
}

std::string SettingsHistory::tree() const {
  const std::lock_guard lock(m_mutex);
  return m_tree.Text();
}

std::shared_ptr<const model::Config> SettingsHistory::config() const {
  const std::lock_guard lock(m_mutex);
  return m_config;
}

std::optional<std::vector<SettingsRecord>> SettingsHistory::Since(
    uint64_t version) const {
  const std::lock_guard lock(m_mutex);
  if (version >= m_version) {
    return std::vector<SettingsRecord>();
  }
  if (m_records.empty() || m_records.front().version > version + 1) {
    return std::nullopt;
  }
  // Versions follow each other without a gap.
  const size_t skip = version + 1 - m_records.front().version;
  return std::vector<SettingsRecord>(
      m_records.begin() + static_cast<ptrdiff_t>(skip), m_records.end());
}

void SettingsHistory::Save(SnapshotWriter& writer) const {
  const std::lock_guard lock(m_mutex);
  writer.Add("settings", SettingsInForce{m_version, m_tree.Text()});
  for (const SettingsRecord& record : m_records) {
    writer.Add("settings_record", record);
  }
}

void SettingsHistory::Load(const SettingsInForce& in_force) {
  Put(settings::Tree::Parse(in_force.tree), in_force.version);
}

void SettingsHistory::Load(const SettingsRecord& record) {
  const std::lock_guard lock(m_mutex);
  m_records.push_back(record);
  if (m_records.size() > m_limits.max_settings_history) {
    m_records.pop_front();
  }
}

}  // namespace laurelhall::state
