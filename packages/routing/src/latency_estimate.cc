#include "latency_estimate_p.h"

#include <algorithm>
#include <cmath>

namespace laurelhall::routing {
namespace {

constexpr double kGain = 0.2;
constexpr std::chrono::duration<double> kHalfLife{5};

}  // namespace

void LatencyEstimate::Add(double millis, SteadyTime now) {
  m_millis = m_is_known ? m_millis + (millis - m_millis) * kGain : millis;
  m_is_known = true;
  m_last = std::max(m_last, now);
}

double LatencyEstimate::At(SteadyTime now, double optimum) const {
  if (!m_is_known) {
    return optimum;
  }
  const std::chrono::duration<double> idle = now - m_last;
  const double left = std::exp2(-std::max(idle / kHalfLife, 0.0));
  return optimum + (m_millis - optimum) * left;
}

}  // namespace laurelhall::routing
