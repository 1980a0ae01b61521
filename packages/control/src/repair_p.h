#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "laurelhall/consensus/message.h"
#include "zone_placement_p.h"

namespace laurelhall::control {

/// A host that made itself known and is not a member.
struct WaitingHost {
  consensus::NodeId node;
  consensus::Member member;
  SteadyTime seen_at{};
};

/// What a leader looks at before it repairs the membership.
struct RepairInput {
  consensus::Status status;
  std::vector<WaitingHost> waiting;
  std::set<std::string> approved;  ///< Names that an operator let in.
  bool admits_newcomers = false;   ///< Without an operator's word.
  bool guards_zones = true;
  SteadyTime leads_since{};
  SteadyTime now{};
};

/// The next safe step, if any, and what is left to do with the reason.
struct RepairPlan {
  std::optional<consensus::MembershipChange> change;
  std::string change_note;  ///< What the change is, for the log.
  std::vector<std::string> notes;
};

/// Members not heard of for long enough to count as lost, or never.
LostVoters SilentMembers(const consensus::Status& status,
                         SteadyTime leads_since,
                         SteadyTime now);

/// Derives the next step of a repair from the membership alone, so that the
/// next leader goes on where this one ends. Pure; for the confirmed leader.
///
/// @remarks A lost member is replaced by a new identity of the same name:
///   added as learner, caught up, the old one removed, the new one promoted.
///   At the same address this begins after a shorter silence, as the empty
///   folder there shows that the old one is gone.
///   Where newcomers are admitted, one of another name takes the place of a
///   silent voter that no namesake stands by for, and the number of voters is
///   kept odd: the host that would make it even stands by as a learner.
RepairPlan PlanRepair(const RepairInput& input);

}  // namespace laurelhall::control
