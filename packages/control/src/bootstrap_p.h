#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "laurelhall/consensus/message.h"

namespace laurelhall::control {

/// What a control host says of itself to others, member or not.
struct HostHello {
  consensus::NodeId node;
  std::string name;
  std::string address;
  std::string availability_zone;
  bool is_member = false;
  bool may_bootstrap = false;
  std::optional<consensus::Membership> bootstrap;
  std::optional<consensus::Membership> membership;
  std::string leader_address;
  bool has_seen_cluster = false;  ///< Will never make a first membership.
};

/// How a host without a log becomes a member.
struct JoinDecision {
  /// The first membership, to be written as the log's first entry.
  std::optional<consensus::Membership> bootstrap;
  /// A later membership that names this host; taken without a log.
  std::optional<consensus::Membership> membership;
  std::string waits_for;  ///< Why neither is set.
};

/// Decides whether an empty host may take part, and in what.
///
/// @remarks Pure; not thread-safe. A host takes part only in a membership that
///   names the identity of its own folder, so one that lost its disk never
///   votes in its old place. Only the first of the first members (by name)
///   makes the first membership, and only when all of them answered that they
///   are empty, with the identities that they have now.
class Bootstrap {
 public:
  /// @param self What this host says of itself; not a member.
  Bootstrap(HostHello self, const std::vector<consensus::Member>& first);

  /// Takes in what another host says unasked.
  void Heard(const HostHello& hello);

  /// Grows when another identity speaks for the maker of the first membership.
  uint64_t epoch() const { return m_epoch; }

  /// Takes in an answer to this host's own hello: the other one knew this
  /// identity when it gave it. Only answers count for a first membership.
  ///
  /// @param epoch As it was when the hello was sent: an answer to a later one
  ///   comes from the identity that is there now.
  void Answered(const HostHello& hello, uint64_t epoch);

  JoinDecision Decide() const;

  /// Whether a member was ever heard of; it then never bootstraps.
  bool has_seen_cluster() const { return m_has_seen_cluster; }

 private:
  bool IsMaker(const HostHello& hello) const;
  bool IsSuperseded(const HostHello& hello) const;
  void SetMaker(const HostHello& hello);
  void Remember(const HostHello& hello);
  bool IsTrusted(const consensus::Membership& first) const;
  JoinDecision DecideFirst() const;

  HostHello m_self;
  std::map<std::string, consensus::Member> m_first;  // By name.
  std::map<std::string, HostHello> m_heard;          // Latest, by name.
  std::map<std::string, HostHello> m_answers;        // Latest, by name.
  bool m_has_seen_cluster = false;
  uint64_t m_epoch = 0;
  std::optional<HostHello> m_maker;       // As it is now, as far as known.
  std::set<consensus::NodeId> m_retired;  // Identities that the maker lost.
};

}  // namespace laurelhall::control
