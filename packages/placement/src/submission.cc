#include "laurelhall/placement/submission.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <vector>

#include "placement_p.h"

namespace laurelhall::placement {
namespace {

using model::Fleet;
using model::Job;
using model::Resources;
using OptionalReason = std::optional<std::string>;

std::vector<Resources> DistinctHostShapes(const Fleet& fleet,
                                          const std::string& pool) {
  std::vector<Resources> shapes;
  for (const auto& [id, host] : fleet.hosts) {
    if (host.pool != pool || host.state == model::HostState::kRetired) {
      continue;
    }
    if (std::find(shapes.begin(), shapes.end(), host.capacity) ==
        shapes.end()) {
      shapes.push_back(host.capacity);
    }
  }
  const auto found = fleet.pools.find(pool);
  if (shapes.empty() && found != fleet.pools.end()) {
    shapes.push_back(found->second.host_shape);
  }
  return shapes;
}

OptionalReason CheckDeclaredValues(const Fleet&, const Job& job) {
  const Resources& need = job.declared;
  if (need.processors <= 0 || need.memory_gb < 0 || need.accelerators < 0) {
    return "it must ask for processors, and for nothing below zero";
  }
  if (job.declared_run_time <= Millis(0)) {
    return "it declares no run time";
  }
  return std::nullopt;
}

OptionalReason CheckHostFit(const Fleet& fleet, const Job& job) {
  const std::vector<Resources> shapes = DistinctHostShapes(fleet, job.pool);
  if (shapes.empty()) {
    return fmt::format("there is no pool {}", job.pool);
  }
  Resources largest;
  for (const Resources& shape : shapes) {
    if (Fits(job.declared, shape)) {
      return std::nullopt;
    }
    largest = Max(largest, shape);
  }
  return fmt::format(
      "no host of pool {} can ever hold it: it asks for {}, the most a host "
      "has is {}",
      job.pool, Describe(job.declared), Describe(largest));
}

OptionalReason CheckDeadline(const Fleet&, const Job& job) {
  if (job.deadline == WallTime{} ||
      job.deadline - job.submitted >= job.declared_run_time) {
    return std::nullopt;
  }
  return fmt::format("its deadline {} is before its run time of {} can end",
                     FormatWallTime(job.deadline),
                     FormatDuration(job.declared_run_time));
}

OptionalReason CheckQuota(const Fleet& fleet, const Job& job) {
  const auto found = fleet.quotas.find(job.team);
  if (found == fleet.quotas.end() || found->second.may_borrow ||
      Fits(job.declared, found->second.guaranteed)) {
    return std::nullopt;
  }
  return fmt::format("team {} has {} and may not borrow; it asks for {}",
                     job.team, Describe(found->second.guaranteed),
                     Describe(job.declared));
}

using Check = OptionalReason (*)(const Fleet&, const Job&);
constexpr std::array<Check, 4> kChecks = {&CheckDeclaredValues, &CheckHostFit,
                                          &CheckDeadline, &CheckQuota};

}  // namespace

OptionalReason CheckSubmission(const Fleet& fleet, const Job& job) {
  for (const Check check : kChecks) {
    if (OptionalReason reason = check(fleet, job)) {
      return reason;
    }
  }
  return std::nullopt;
}

}  // namespace laurelhall::placement
