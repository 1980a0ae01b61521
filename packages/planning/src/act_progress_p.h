#pragma once

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "planning_p.h"

// Progress of acts, that is of waves and roll-outs. The lists of their hosts
// are rebuilt from the fleet at each step, so that no step depends on the
// previous one.
namespace laurelhall::planning {

/// Whether a wave or roll-out may finish without the host: an operator drains
/// it, it has been failed for at least the policy's return timeout, or it has
/// only been announced.
inline bool IsSkippable(const PlanContext& context, const model::Host& host) {
  const bool is_held_by_operator =
      IsDrainingOrDrained(host) && !IsPlannerDrainReason(host.drain_reason);
  const bool has_failed_too_long =
      host.state == model::HostState::kFailed &&
      context.now() - host.state_since >= context.policy().return_timeout;
  return has_failed_too_long || is_held_by_operator ||
         host.state == model::HostState::kAnnounced;
}

/// Whether the host isn't empty at its drain timeout, which counts as one
/// failed drain attempt.
inline bool HasDrainTimedOut(const PlanContext& context,
                             const model::Host& host) {
  return host.state == model::HostState::kDraining &&
         context.IsPastDrainTimeout(host) && !context.IsEmpty(host);
}

/// Sorts the hosts of a wave or roll-out into its lists by their state. Hosts
/// keep their order within a list.
template <typename WaveOrRollout>
class ProgressReader {
 public:
  using IsDone = std::function<bool(const model::Host&)>;

  ProgressReader(const PlanContext& context, WaveOrRollout& act, IsDone is_done)
      : m_context(context),
        m_committed(act),
        m_act(act),
        m_is_done(std::move(is_done)),
        m_postponed(m_committed.postponed.begin(), m_committed.postponed.end()),
        m_given_up(m_committed.given_up.begin(), m_committed.given_up.end()) {}

  /// Makes Read() drop hosts that neither are among these nor are being
  /// drained for the act: they moved to pools that it doesn't cover.
  void RestrictTo(const std::vector<std::string>& members) {
    m_members.emplace(members.begin(), members.end());
  }

  /// Rebuilds the act's lists.
  ///
  /// @param members Hosts that belong to the act besides those in its lists.
  void Read(const std::vector<std::string>& members) {
    for (auto* list : {&m_act.pending, &m_act.active, &m_act.done,
                       &m_act.postponed, &m_act.given_up}) {
      list->clear();
    }
    // Active hosts come before pending ones, so that a host whose drain was
    // cancelled is the first to be tried again.
    for (const auto* list :
         {&m_committed.done, &m_committed.active, &m_committed.pending,
          &m_committed.postponed, &m_committed.given_up, &members}) {
      for (const std::string& id : *list) {
        AddToList(id);
      }
    }
    for (const model::Host* host : m_context.view().ActHosts(m_act.id)) {
      AddToList(host->id);
    }
  }

 private:
  void AddToList(const std::string& id) {
    const model::Host* host = m_context.view().FindHost(id);
    const bool is_gone =
        host == nullptr || host->state == model::HostState::kRetired;
    if (is_gone || IsOutOfScope(*host) || !m_listed.insert(host->id).second) {
      return;
    }
    ListFor(*host).push_back(host->id);
  }

  /// Whether RestrictTo() excludes the host.
  bool IsOutOfScope(const model::Host& host) const {
    return m_members && !m_members->count(host.id) && host.act != m_act.id;
  }

  std::vector<std::string>& ListFor(const model::Host& host) {
    if (host.act == m_act.id) {
      return ListForActive(host);
    }
    if (m_is_done(host)) {
      return m_act.done;
    }
    if (m_given_up.count(host.id)) {
      return m_act.given_up;
    }
    if (!m_postponed.count(host.id)) {
      return m_act.pending;
    }
    const bool is_given_up =
        m_act.tries[host.id] >= m_context.policy().max_drain_tries;
    return is_given_up ? m_act.given_up : m_act.postponed;
  }

  std::vector<std::string>& ListForActive(const model::Host& host) {
    if (!HasDrainTimedOut(m_context, host)) {
      return m_act.active;
    }
    // Hosts already on the list were counted: one attempt per drain.
    if (!m_postponed.count(host.id)) {
      ++m_act.tries[host.id];
    }
    return m_act.postponed;
  }

  const PlanContext& m_context;
  const WaveOrRollout m_committed;  ///< The act before Read().
  WaveOrRollout& m_act;
  IsDone m_is_done;
  std::set<std::string_view> m_postponed;
  std::set<std::string_view> m_given_up;
  std::set<std::string_view> m_listed;
  std::optional<std::set<std::string>> m_members;
};

/// Whether a postponed host has been in its state for its pool's drain timeout,
/// after which its drain is tried again.
inline bool IsRetryDue(const PlanContext& context, const model::Host& host) {
  return context.now() - host.state_since >=
         context.view().PoolOf(host).drain_timeout;
}

/// Returns the hosts to drain next: the pending ones in order, then those
/// postponed ones whose retry is due.
template <typename WaveOrRollout>
std::vector<const model::Host*> DrainCandidates(const PlanContext& context,
                                                const WaveOrRollout& act) {
  std::vector<const model::Host*> hosts;
  for (const std::string& id : act.pending) {
    const model::Host* host = context.view().FindHost(id);
    if (host != nullptr && IsFreeToDrain(*host)) {
      hosts.push_back(host);
    }
  }
  for (const std::string& id : act.postponed) {
    const model::Host* host = context.view().FindHost(id);
    if (host != nullptr && IsFreeToDrain(*host) && IsRetryDue(context, *host)) {
      hosts.push_back(host);
    }
  }
  return hosts;
}

/// Whether no host is active and all that remain may be skipped.
template <typename WaveOrRollout>
bool IsFinished(const PlanContext& context, const WaveOrRollout& act) {
  const auto is_skippable = [&](const std::string& id) {
    const model::Host* host = context.view().FindHost(id);
    return host == nullptr || IsSkippable(context, *host);
  };
  return act.active.empty() &&
         std::all_of(act.pending.begin(), act.pending.end(), is_skippable) &&
         std::all_of(act.postponed.begin(), act.postponed.end(), is_skippable);
}

/// Returns one line that counts the hosts that the act skipped, or an empty
/// text if it skipped none.
template <typename WaveOrRollout>
std::string SkippedHostsSummary(const WaveOrRollout& act) {
  std::string text;
  if (!act.given_up.empty()) {
    text = std::to_string(act.given_up.size()) +
           " never became empty and were given up";
  }
  const size_t skipped = act.pending.size() + act.postponed.size();
  if (skipped > 0) {
    text += (text.empty() ? "" : "; ") + std::to_string(skipped) +
            " failed or are held by an operator";
  }
  return text;
}

/// Returns why waves and roll-outs on these pools must pause, or an empty text
/// if they needn't.
std::string PauseReason(const PlanContext& context,
                        const std::vector<std::string>& pools);

}  // namespace laurelhall::planning
