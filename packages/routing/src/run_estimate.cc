#include "run_estimate_p.h"

#include <algorithm>
#include <cmath>

namespace laurelhall::routing {
namespace {

constexpr double kMeanGain = 0.05;
constexpr double kQuantileStep = 0.1;  ///< Of the present estimate.
constexpr int kFewRuns = 10;
constexpr std::chrono::duration<double> kHalfLife{10};

}  // namespace

void QuantileEstimate::Add(double sample) {
  if (m_value == 0) {
    m_value = sample;
    return;
  }
  const double step = m_value * kQuantileStep;
  m_value += sample < m_value ? -step * (1 - m_quantile) : step * m_quantile;
}

void RunEstimate::Add(Millis run_time, SteadyTime now) {
  const auto sample =
      static_cast<double>(std::max(run_time, Millis{1}).count());
  ++m_count;
  m_last = now;
  // The first runs count fully, so that the mean is right early.
  m_mean += (sample - m_mean) * std::max(kMeanGain, 1.0 / m_count);
  m_short.Add(sample);
  m_long.Add(sample);
}

Millis RunEstimate::mean() const {
  return std::chrono::ceil<Millis>(
      std::chrono::duration<double, std::milli>(m_mean));
}

Millis RunEstimate::Fade(const QuantileEstimate& estimate,
                         SteadyTime now) const {
  if (m_count < kFewRuns) {
    return Millis{0};
  }
  const std::chrono::duration<double> idle = now - m_last;
  const double left = std::exp2(-std::max(idle / kHalfLife, 0.0));
  return std::chrono::floor<Millis>(
      std::chrono::duration<double, std::milli>(estimate.value() * left));
}

}  // namespace laurelhall::routing
