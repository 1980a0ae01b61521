#pragma once

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "planning_p.h"

// What waves and roll-outs share: lists of hosts that are read anew from the
// fleet at each step, so that no step depends on the one before.
namespace laurelhall::planning {

/// Whether a wave or roll-out can't wait for the host: an operator holds it,
/// or it has failed for longer than hosts take to come back.
inline bool IsOutOfReach(const PlanContext& context, const model::Host& host) {
  const bool is_operators =
      IsLeaving(host) && !IsPlannedReason(host.drain_reason);
  const bool is_lost =
      host.state == model::HostState::kFailed &&
      context.now() - host.state_since >= context.policy().return_timeout;
  return is_lost || is_operators || host.state == model::HostState::kAnnounced;
}

/// Whether the host drains past its bound, which costs it one try.
inline bool IsPostponedNow(const PlanContext& context,
                           const model::Host& host) {
  return host.state == model::HostState::kDraining &&
         context.IsPastDrainBound(host) && !context.IsEmpty(host);
}

/// Sorts the hosts of a wave or roll-out into its lists, each kept in order.
template <typename Act>
class ProgressReader {
 public:
  using IsDone = std::function<bool(const model::Host&)>;

  ProgressReader(const PlanContext& context, Act& act, IsDone is_done)
      : m_context(context),
        m_before(act),
        m_act(act),
        m_is_done(std::move(is_done)),
        m_postponed(m_before.postponed.begin(), m_before.postponed.end()),
        m_given_up(m_before.given_up.begin(), m_before.given_up.end()) {}

  /// Drops hosts from the lists that are neither among these nor held by the
  /// act: they moved to where it doesn't apply.
  void KeepOnly(const std::vector<std::string>& members) {
    m_members.emplace(members.begin(), members.end());
  }

  /// @param members Hosts that belong to the act besides those in its lists.
  void Read(const std::vector<std::string>& members) {
    for (auto* list : {&m_act.pending, &m_act.active, &m_act.done,
                       &m_act.postponed, &m_act.given_up}) {
      list->clear();
    }
    // A host whose drain was cancelled goes to the front of the pending ones.
    for (const auto* list :
         {&m_before.done, &m_before.active, &m_before.pending,
          &m_before.postponed, &m_before.given_up, &members}) {
      for (const std::string& id : *list) {
        Place(id);
      }
    }
    for (const model::Host* host : m_context.view().ActHosts(m_act.id)) {
      Place(host->id);
    }
  }

 private:
  void Place(const std::string& id) {
    const model::Host* host = m_context.view().FindHost(id);
    const bool is_gone =
        host == nullptr || host->state == model::HostState::kRetired;
    if (is_gone || HasLeft(*host) || !m_placed.insert(host->id).second) {
      return;
    }
    ListFor(*host).push_back(host->id);
  }

  bool HasLeft(const model::Host& host) const {
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
    if (!IsPostponedNow(m_context, host)) {
      return m_act.active;
    }
    // Counted once per drain: the list remembers that it was.
    if (!m_postponed.count(host.id)) {
      ++m_act.tries[host.id];
    }
    return m_act.postponed;
  }

  const PlanContext& m_context;
  const Act m_before;
  Act& m_act;
  IsDone m_is_done;
  std::set<std::string_view> m_postponed;
  std::set<std::string_view> m_given_up;
  std::set<std::string_view> m_placed;
  std::optional<std::set<std::string>> m_members;
};

/// Whether a postponed host has rested for long enough to be tried again.
inline bool MayRetry(const PlanContext& context, const model::Host& host) {
  return context.now() - host.state_since >=
         context.view().PoolOf(host).drain_timeout;
}

/// Hosts to drain next: the pending ones in order, then the postponed.
template <typename Act>
std::vector<const model::Host*> DrainCandidates(const PlanContext& context,
                                                const Act& act) {
  std::vector<const model::Host*> hosts;
  for (const std::string& id : act.pending) {
    const model::Host* host = context.view().FindHost(id);
    if (host != nullptr && IsFree(*host)) {
      hosts.push_back(host);
    }
  }
  for (const std::string& id : act.postponed) {
    const model::Host* host = context.view().FindHost(id);
    if (host != nullptr && IsFree(*host) && MayRetry(context, *host)) {
      hosts.push_back(host);
    }
  }
  return hosts;
}

/// Whether nothing is left but hosts that the act can't wait for.
template <typename Act>
bool IsFinished(const PlanContext& context, const Act& act) {
  const auto is_out_of_reach = [&](const std::string& id) {
    const model::Host* host = context.view().FindHost(id);
    return host == nullptr || IsOutOfReach(context, *host);
  };
  return act.active.empty() &&
         std::all_of(act.pending.begin(), act.pending.end(), is_out_of_reach) &&
         std::all_of(act.postponed.begin(), act.postponed.end(),
                     is_out_of_reach);
}

/// Says in one line which hosts were left out; empty if none.
template <typename Act>
std::string LeftOut(const Act& act) {
  std::string text;
  if (!act.given_up.empty()) {
    text = std::to_string(act.given_up.size()) +
           " never became empty and were given up";
  }
  const size_t unreached = act.pending.size() + act.postponed.size();
  if (unreached > 0) {
    text += (text.empty() ? "" : "; ") + std::to_string(unreached) +
            " failed or are held by an operator";
  }
  return text;
}

/// Why acts on these pools must wait, or an empty text.
std::string PauseReason(const PlanContext& context,
                        const std::vector<std::string>& pools);

}  // namespace laurelhall::planning
