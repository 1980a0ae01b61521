#include "laurelhall/placement/drain_cost.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <tuple>

#include "work_p.h"

namespace laurelhall::placement {
namespace {

void AddJob(HostDrainCost& cost, const model::Job& job, WallTime now) {
  ++cost.jobs;
  if (job.priority == model::Priority::kUrgent) {
    ++cost.urgent_jobs;
  }
  const Millis work = ProcessorTime(job, WorkSinceStart(job, now));
  (job.can_checkpoint ? cost.work_moved : cost.work_lost) += work;
}

}  // namespace

HostDrainCost ComputeDrainCost(const model::Fleet& fleet,
                               const std::string& host,
                               WallTime now) {
  HostDrainCost cost;
  cost.host = host;
  for (const auto& [id, job] : fleet.jobs) {
    if (IsRunning(job) && job.host == host) {
      AddJob(cost, job, now);
    }
  }
  return cost;
}

std::vector<HostDrainCost> HostsByDrainCost(const model::Fleet& fleet,
                                            const std::string& pool,
                                            WallTime now) {
  std::map<std::string_view, HostDrainCost> by_host;
  for (const auto& [id, host] : fleet.hosts) {
    if (pool.empty() || host.pool == pool) {
      by_host[id].host = id;
    }
  }
  for (const auto& [id, job] : fleet.jobs) {
    const auto found = by_host.find(job.host);
    if (IsRunning(job) && found != by_host.end()) {
      AddJob(found->second, job, now);
    }
  }
  std::vector<HostDrainCost> costs;
  costs.reserve(by_host.size());
  for (auto& [id, cost] : by_host) {
    costs.push_back(std::move(cost));
  }
  std::stable_sort(costs.begin(), costs.end(),
                   [](const auto& a, const auto& b) {
                     return std::tie(a.urgent_jobs, a.work_lost, a.work_moved) <
                            std::tie(b.urgent_jobs, b.work_lost, b.work_moved);
                   });
  return costs;
}

}  // namespace laurelhall::placement
