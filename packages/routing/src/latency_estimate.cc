#include "latency_estimate_p.h"

#include <algorithm>
#include <cmath>

namespace laurelhall::routing {
namespace {

constexpr double kGain = 0.2;
constexpr std::chrono::duration<double> kHalfLife{5};

/// What is left of a sample's weight after `idle`.
double Left(std::chrono::duration<double> idle) {
  return std::exp2(-std::max(idle / kHalfLife, 0.0));
}

}  // namespace

void LatencyEstimate::Add(double millis, SteadyTime now) {
  // After a long time the new sample counts for more than the old average.
  const double gain = std::max(kGain, 1 - Left(now - m_last));
  m_millis = m_is_known ? m_millis + (millis - m_millis) * gain : millis;
  m_is_known = true;
  m_last = std::max(m_last, now);
}

double LatencyEstimate::At(SteadyTime now, double optimum) const {
  if (!m_is_known) {
    return optimum;
  }
  return optimum + (m_millis - optimum) * Left(now - m_last);
}

}  // namespace laurelhall::routing
