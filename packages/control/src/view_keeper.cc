#include <algorithm>
#include <utility>

#include "client_loop_p.h"

namespace laurelhall::control {

void RenewalBox::Put(const std::string& endpoint, uint64_t incarnation) {
  const std::lock_guard lock(m_mutex);
  uint64_t& latest = m_renewals[endpoint];
  latest = std::max(latest, incarnation);
}

std::vector<Renewal> RenewalBox::TakeAll() {
  std::map<std::string, uint64_t> taken;
  {
    const std::lock_guard lock(m_mutex);
    taken.swap(m_renewals);
  }
  std::vector<Renewal> renewals;
  renewals.reserve(taken.size());
  for (const auto& [endpoint, incarnation] : taken) {
    renewals.push_back({endpoint, incarnation});
  }
  return renewals;
}

std::optional<View> ViewKeeper::Take(const SyncAnswer& answer,
                                     SteadyTime asked_at) {
  const bool is_older = answer.applied_index < m_applied_index ||
                        answer.settings_version < m_settings_version;
  if (is_older) {
    return std::nullopt;
  }
  View view;
  const bool is_changed = TakeSettings(answer);
  if (is_changed || m_is_first) {
    view.config = std::make_shared<const model::Config>(
        m_tree.Resolve(m_settings_version));
  }
  m_is_first = false;
  m_applied_index = answer.applied_index;
  view.asked_at = asked_at;
  view.settings_version = m_settings_version;
  view.endpoints = answer.endpoints;
  return view;
}

// Returns whether the settings changed.
bool ViewKeeper::TakeSettings(const SyncAnswer& answer) {
  if (answer.settings_version == m_settings_version) {
    return false;
  }
  settings::Tree tree = m_tree;
  if (!answer.settings_tree.empty()) {
    tree = settings::Tree::Parse(answer.settings_tree);
  }
  for (const state::SettingsRecord& record : answer.settings_records) {
    tree = tree.With(record.changes);
  }
  m_tree = std::move(tree);
  m_settings_version = answer.settings_version;
  return true;
}

}  // namespace laurelhall::control
