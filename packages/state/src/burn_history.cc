#include "burn_history_p.h"

#include "results_p.h"

namespace laurelhall::state {
namespace {

using Minute = std::chrono::minutes;

void AddTo(BurnSample& sum, const BurnSample& sample) {
  sum.good += sample.good;
  sum.bad_failure += sample.bad_failure;
  sum.bad_wave += sample.bad_wave;
  sum.bad_overload += sample.bad_overload;
}

}  // namespace

BurnHistory::BurnHistory(const MachineLimits& limits) : m_limits(limits) {}

ActResult BurnHistory::Apply(const BurnCommand& command,
                             const model::Config& config) {
  size_t unknown = 0;
  for (const BurnSample& sample : command.samples) {
    if (config.services.contains(sample.service)) {
      Load(sample);
    } else {
      ++unknown;
    }
  }
  if (unknown > 0) {
    return Refused(std::to_string(unknown) +
                   " samples of unknown services were dropped");
  }
  return Accepted();
}

void BurnHistory::Load(const BurnSample& sample) {
  const WallTime minute = std::chrono::floor<Minute>(sample.at);
  const std::lock_guard lock(m_mutex);
  Minutes& minutes = m_services[sample.service];
  BurnSample& sum = minutes[minute];
  sum.service = sample.service;
  sum.at = minute;
  AddTo(sum, sample);
  if (minutes.size() > m_limits.max_burn_minutes) {
    minutes.erase(minutes.begin());
  }
}

void BurnHistory::Expire(WallTime now) {
  const WallTime oldest =
      now - Minute(static_cast<int64_t>(m_limits.max_burn_minutes));
  const std::lock_guard lock(m_mutex);
  for (auto& [service, minutes] : m_services) {
    minutes.erase(minutes.begin(), minutes.lower_bound(oldest));
  }
  std::erase_if(m_services,
                [](const auto& item) { return item.second.empty(); });
}

std::vector<BurnSample> BurnHistory::Since(const std::string& service,
                                           WallTime since) const {
  std::vector<BurnSample> samples;
  const std::lock_guard lock(m_mutex);
  const auto found = m_services.find(service);
  if (found == m_services.end()) {
    return samples;
  }
  const Minutes& minutes = found->second;
  for (auto at = minutes.lower_bound(since); at != minutes.end(); ++at) {
    samples.push_back(at->second);
  }
  return samples;
}

void BurnHistory::Save(SnapshotWriter& writer) const {
  const std::lock_guard lock(m_mutex);
  for (const auto& [service, minutes] : m_services) {
    for (const auto& [minute, sample] : minutes) {
      writer.Add("burn", sample);
    }
  }
}

}  // namespace laurelhall::state
