#include "zone_placement_p.h"

#include <algorithm>
#include <map>

namespace laurelhall::control {

namespace {

struct VoterCount {
  size_t all = 0;
  size_t live = 0;
  std::map<std::string, size_t> live_by_zone;

  size_t quorum() const { return all / 2 + 1; }
};

VoterCount CountVoters(const consensus::Membership& membership,
                       const LostVoters& lost) {
  VoterCount count;
  for (const auto& [id, member] : membership.members) {
    if (!member.is_voter) {
      continue;
    }
    ++count.all;
    if (!lost.contains(id)) {
      ++count.live;
      ++count.live_by_zone[member.availability_zone];
    }
  }
  return count;
}

}  // namespace

std::vector<std::string> ZonesAtRisk(const consensus::Membership& membership,
                                     const LostVoters& lost) {
  const VoterCount count = CountVoters(membership, lost);
  std::vector<std::string> at_risk;
  for (const auto& [zone, voters] : count.live_by_zone) {
    if (count.live - voters < count.quorum()) {
      at_risk.push_back(zone);
    }
  }
  return at_risk;
}

consensus::Membership WithChange(consensus::Membership membership,
                                 const consensus::MembershipChange& change) {
  switch (change.kind) {
    case consensus::MembershipChangeKind::kAddLearner:
      membership.members[change.node] = change.member;
      membership.members[change.node].is_voter = false;
      break;
    case consensus::MembershipChangeKind::kPromote:
      membership.members.at(change.node).is_voter = true;
      break;
    case consensus::MembershipChangeKind::kRemove:
      membership.members.erase(change.node);
      break;
    case consensus::MembershipChangeKind::kCount:
      break;
  }
  return membership;
}

std::string CheckZonePlacement(const consensus::Membership& membership,
                               const consensus::MembershipChange& change,
                               const LostVoters& lost) {
  return CheckPlacement(membership, change, lost, true);
}

std::string CheckPlacement(const consensus::Membership& membership,
                           const consensus::MembershipChange& change,
                           const LostVoters& lost,
                           bool guards_zones) {
  const consensus::Membership changed = WithChange(membership, change);
  const VoterCount count = CountVoters(changed, lost);
  if (count.live < count.quorum()) {
    return "no quorum of live voters would be left (" +
           std::to_string(count.live) + " of " + std::to_string(count.all) +
           ")";
  }
  if (!guards_zones) {
    return {};
  }
  const auto before = ZonesAtRisk(membership, lost);
  for (const std::string& zone : ZonesAtRisk(changed, lost)) {
    const bool was_at_risk =
        std::find(before.begin(), before.end(), zone) != before.end();
    if (!was_at_risk) {
      return "losing availability zone '" + zone + "' would lose the quorum";
    }
  }
  return {};
}

}  // namespace laurelhall::control
