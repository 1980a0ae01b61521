#include "laurelhall/scheduling/pool_floors.h"

#include <algorithm>

namespace laurelhall::scheduling {

namespace {

// Weight of one job in the moving average of its service's slack.
constexpr double kSlackLearningRate = 0.05;
// A service whose peak is below this share of the largest one had no rush yet.
constexpr double kRushShare = 0.2;
// The floors together leave at least half of all cores to the pool that rushes.
constexpr double kMaxFloorShare = 0.5;

}  // namespace

void PoolFloors::RecordSlack(const std::string& service, Millis slack) {
  const auto seen = static_cast<double>(slack.count());
  double& smoothed = m_slack_of.try_emplace(service, seen).first->second;
  smoothed += kSlackLearningRate * (seen - smoothed);
}

std::map<std::string, double> PoolFloors::Compute(
    const std::vector<RushHistory>& histories,
    double all_cores,
    Millis move_time) const {
  double largest = 0;
  for (const RushHistory& history : histories) {
    largest = std::max(largest, history.peak_cores);
  }
  std::map<std::string, double> floors;
  double sum = 0;
  for (const RushHistory& history : histories) {
    const auto slack = m_slack_of.find(history.service);
    if (slack == m_slack_of.end() || move_time <= Millis(0)) {
      continue;  // Nothing arrived yet that could be late.
    }
    const double share =
        1 - slack->second / static_cast<double>(move_time.count());
    const bool had_rush = history.peak_cores >= kRushShare * largest;
    const double rush = had_rush ? history.peak_cores : largest;
    const double floor = std::max(0.0, share) * rush;
    floors[history.service] = floor;
    sum += floor;
  }
  const double most = kMaxFloorShare * all_cores;
  if (sum > most) {
    for (auto& [service, floor] : floors) {
      floor *= most / sum;
    }
  }
  return floors;
}

}  // namespace laurelhall::scheduling
