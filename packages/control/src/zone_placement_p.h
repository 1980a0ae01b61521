#pragma once

#include <set>
#include <string>
#include <vector>

#include "laurelhall/consensus/message.h"

namespace laurelhall::control {

/// Voters that count for nothing now: lost or silent.
using LostVoters = std::set<consensus::NodeId>;

/// Zones whose loss would leave the live voters without a quorum.
std::vector<std::string> ZonesAtRisk(const consensus::Membership& membership,
                                     const LostVoters& lost);

/// What a membership becomes by a change.
consensus::Membership WithChange(consensus::Membership membership,
                                 const consensus::MembershipChange& change);

/// Checks that a change leaves a quorum of live voters, and puts no zone at
/// risk that was not at risk before.
///
/// @returns Why the change must not be made; empty when it may.
std::string CheckZonePlacement(const consensus::Membership& membership,
                               const consensus::MembershipChange& change,
                               const LostVoters& lost);

/// As CheckZonePlacement(), but zones count only when `guards_zones`.
std::string CheckPlacement(const consensus::Membership& membership,
                           const consensus::MembershipChange& change,
                           const LostVoters& lost,
                           bool guards_zones);

}  // namespace laurelhall::control
