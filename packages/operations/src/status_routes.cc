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

Outcome Status(const Request& request) {
  const control::ControlStatus& status = request.status;
  return {200,
          boost::json::object{
              {"leader", status.leader_name},
              {"term", status.consensus.term},
              {"commit", status.consensus.commit},
              {"applied", status.applied},
              {"settings_version", request.machine.settings_version()},
              {"members", Members(status)}},
          {}};
}

Outcome Endpoints(const Request& request) {
  return {200, boost::json::value_from(request.machine.EndpointsSince(0)), {}};
}

Outcome Audit(const Request& request) {
  return {200, boost::json::value_from(request.machine.Audit(kAuditShown)), {}};
}

}  // namespace

std::vector<Route> StatusRoutes() {
  return {{"GET", "status", Status},
          {"GET", "endpoints", Endpoints},
          {"GET", "audit", Audit}};
}

}  // namespace laurelhall::operations
