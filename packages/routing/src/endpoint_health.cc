#include "endpoint_health_p.h"

#include <algorithm>
#include <climits>

namespace laurelhall::routing {
namespace {

constexpr int kProbesToRecover = 3;
constexpr Millis kRampTime{std::chrono::seconds(5)};
constexpr int kRampSteps = 8;
constexpr Millis kWindow{std::chrono::seconds(10)};
constexpr int kMaxDoublings = 16;

/// Healthy for this long, an endpoint's past ejections are forgotten.
constexpr Millis kForgive{std::chrono::minutes(5)};

}  // namespace

bool EndpointHealth::Take(bool is_failure,
                          const SelectorInit& init,
                          SteadyTime now) {
  Count(is_failure, now);
  const HealthState state = StateAt(now);
  if (state == HealthState::kEjected) {
    return false;  // Started before the ejection.
  }
  if (is_failure) {
    return state != HealthState::kHealthy || HasFailed(init);
  }
  if (state == HealthState::kProbing) {
    Recover(now);
  }
  if (state == HealthState::kHealthy && now - m_since > kForgive) {
    m_ejections = 0;
  }
  return false;
}

void EndpointHealth::Eject(const SelectorInit& init, SteadyTime now) {
  const int doublings = std::min(m_ejections, kMaxDoublings);
  const Millis time = std::min(init.ejection_base * (int64_t{1} << doublings),
                               init.ejection_max);
  m_state = HealthState::kEjected;
  m_ejected_until = now + time;
  m_ejections++;
  m_consecutive_failures = 0;
  m_probe_successes = 0;
  m_samples = 0;
  m_failures = 0;
}

HealthState EndpointHealth::StateAt(SteadyTime now) const {
  if (m_state == HealthState::kEjected && now >= m_ejected_until) {
    return HealthState::kProbing;
  }
  if (m_state == HealthState::kRamping && now - m_since >= kRampTime) {
    return HealthState::kHealthy;
  }
  return m_state;
}

bool EndpointHealth::IsSetAside(SteadyTime now) const {
  const HealthState state = StateAt(now);
  return state == HealthState::kEjected || state == HealthState::kProbing;
}

int EndpointHealth::InFlightLimit(SteadyTime now) const {
  switch (StateAt(now)) {
    case HealthState::kEjected:
      return 0;
    case HealthState::kProbing:
      return 1;
    case HealthState::kRamping:
      return 1 + static_cast<int>((now - m_since) * kRampSteps / kRampTime);
    case HealthState::kHealthy:
    case HealthState::kCount:
      break;
  }
  return INT_MAX;
}

void EndpointHealth::Count(bool is_failure, SteadyTime now) {
  if (now - m_window_start > kWindow) {
    m_samples /= 2;
    m_failures /= 2;
    m_window_start = now;
  }
  m_samples += 1;
  m_failures += is_failure ? 1 : 0;
  m_consecutive_failures = is_failure ? m_consecutive_failures + 1 : 0;
}

bool EndpointHealth::HasFailed(const SelectorInit& init) const {
  const bool is_share_high =
      m_samples >= init.samples_to_eject &&
      m_failures >= m_samples * init.error_share_to_eject;
  return m_consecutive_failures >= init.failures_to_eject || is_share_high;
}

void EndpointHealth::Recover(SteadyTime now) {
  m_probe_successes++;
  if (m_probe_successes >= kProbesToRecover) {
    m_state = HealthState::kRamping;
    m_since = now;
  }
}

}  // namespace laurelhall::routing
