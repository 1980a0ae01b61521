#include "bootstrap_p.h"

#include <utility>

namespace laurelhall::control {

namespace {

bool Names(const std::optional<consensus::Membership>& membership,
           consensus::NodeId node) {
  return membership && membership->members.contains(node);
}

}  // namespace

Bootstrap::Bootstrap(HostHello self,
                     const std::vector<consensus::Member>& first)
    : m_self(std::move(self)) {
  for (const consensus::Member& member : first) {
    m_first[member.name] = member;
  }
}

void Bootstrap::Heard(const HostHello& hello) {
  if (hello.name == m_self.name || IsSuperseded(hello)) {
    return;
  }
  if (IsMaker(hello)) {
    SetMaker(hello);
  }
  Remember(hello);
}

void Bootstrap::Answered(const HostHello& hello, uint64_t epoch) {
  if (hello.name == m_self.name) {
    return;
  }
  if (IsMaker(hello)) {
    const bool is_late = epoch < m_epoch && m_maker->node != hello.node;
    if (is_late) {
      return;
    }
    SetMaker(hello);
  }
  Remember(hello);
  m_answers[hello.name] = hello;
}

bool Bootstrap::IsMaker(const HostHello& hello) const {
  return !m_first.empty() && hello.name == m_first.begin()->first;
}

bool Bootstrap::IsSuperseded(const HostHello& hello) const {
  return m_retired.contains(hello.node);
}

void Bootstrap::SetMaker(const HostHello& hello) {
  if (m_maker && m_maker->node != hello.node) {
    m_retired.insert(m_maker->node);
    m_retired.erase(hello.node);
    ++m_epoch;
  }
  m_maker = hello;
}

void Bootstrap::Remember(const HostHello& hello) {
  m_heard[hello.name] = hello;
  m_has_seen_cluster |= hello.is_member;
}

JoinDecision Bootstrap::Decide() const {
  for (const auto& [name, hello] : m_heard) {
    if (Names(hello.bootstrap, m_self.node) && IsTrusted(*hello.bootstrap)) {
      return {hello.bootstrap, std::nullopt, {}};
    }
  }
  for (const auto& [name, hello] : m_heard) {
    if (!Names(hello.bootstrap, m_self.node) &&
        Names(hello.membership, m_self.node)) {
      return {std::nullopt, hello.membership, {}};
    }
  }
  if (m_has_seen_cluster) {
    return {std::nullopt, std::nullopt,
            "the cluster exists and must let this identity in"};
  }
  return DecideFirst();
}

// An answer that was long on its way may show a first membership whose maker
// has lost its disk since. While the maker's new identity may still make
// another one, counting on this host's word that it is empty, it is not taken.
bool Bootstrap::IsTrusted(const consensus::Membership& first) const {
  return !m_maker || first.members.contains(m_maker->node) ||
         m_maker->has_seen_cluster;
}

JoinDecision Bootstrap::DecideFirst() const {
  if (!m_self.may_bootstrap || !m_first.contains(m_self.name)) {
    return {std::nullopt, std::nullopt, "this host may not bootstrap"};
  }
  if (m_first.begin()->first != m_self.name) {
    return {std::nullopt, std::nullopt,
            m_first.begin()->first + " must bootstrap the cluster"};
  }
  consensus::Membership made;
  for (auto [name, member] : m_first) {
    const auto answer = m_answers.find(name);
    const HostHello* hello = name == m_self.name ? &m_self : nullptr;
    if (answer != m_answers.end()) {
      hello = &answer->second;
    }
    if (hello == nullptr || !hello->may_bootstrap) {
      return {std::nullopt, std::nullopt,
              name + " must answer that it is empty too"};
    }
    member.is_voter = true;
    made.members[hello->node] = member;
  }
  return {std::move(made), std::nullopt, {}};
}

}  // namespace laurelhall::control
