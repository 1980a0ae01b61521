#include "operations_p.h"

namespace laurelhall::operations {
namespace {

constexpr size_t kAuditShown = 500;

boost::json::array Members(const control::ControlStatus& status) {
  boost::json::array members;
  for (const auto& [id, member] : status.consensus.membership.members) {
    boost::json::object row{{"name", member.name},
                            {"address", member.address},
                            {"availability_zone", member.availability_zone},
                            {"voter", member.is_voter},
                            {"leader", id == status.consensus.leader},
                            {"id", std::to_string(id.value)}};
    const auto peer = status.consensus.peers.find(id);
    if (peer != status.consensus.peers.end()) {
      row["match"] = peer->second.match;
    }
    members.push_back(row);
  }
  return members;
}

boost::json::array Entries(const control::ControlStatus& status) {
  boost::json::array entries;
  for (const control::EntryReport& entry : status.entries) {
    entries.push_back(
        boost::json::object{{"name", entry.name},
                            {"settings_version", entry.settings_version},
                            {"since_sync", FormatDuration(entry.since_sync)}});
  }
  return entries;
}

Outcome Status(const Request& request) {
  const control::ControlStatus& status = request.status;
  return Answer(boost::json::object{
      {"leader", status.leader_name},
      {"term", status.consensus.term},
      {"commit", status.consensus.commit},
      {"applied", status.applied},
      {"settings_version", request.machine.settings_version()},
      {"members", Members(status)},
      {"daemons", Entries(status)},
      {"repair", boost::json::value_from(status.repair)},
      {"zones_at_risk", boost::json::value_from(status.zones_at_risk)}});
}

Outcome Endpoints(const Request& request) {
  return Answer(boost::json::value_from(request.machine.EndpointsSince(0)));
}

Outcome Audit(const Request& request) {
  return Answer(boost::json::value_from(request.machine.Audit(kAuditShown)));
}

}  // namespace

std::vector<Route> StatusRoutes() {
  return {{"GET", "status", Status},
          {"GET", "endpoints", Endpoints},
          {"GET", "audit", Audit}};
}

}  // namespace laurelhall::operations
