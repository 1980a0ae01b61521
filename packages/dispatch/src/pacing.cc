#include "pacing_p.h"

#include <algorithm>

namespace laurelhall::dispatch {

namespace {

// A tail above this share of its target slows the filling tasks. The margin is
// there since the measured tail is rough and up to half a second old.
constexpr double kSlowDownAbove = 0.85;
constexpr double kSpeedUpBelow = 0.65;
constexpr uint32_t kSpeedUpStep = 10;
// Below this percentage filling tasks are paused: their work would not be
// worth the memory bandwidth that they take.
constexpr uint32_t kMinPercent = 8;
// The measured tail covers the last half second, so a change shows only after
// that.
constexpr Millis kSettleTime{600};

}  // namespace

void Pacer::Observe(double worst_tail_share, SteadyTime now) {
  if (now - m_changed_at < kSettleTime) {
    return;
  }
  const uint32_t before = m_percent;
  if (worst_tail_share > kSlowDownAbove) {
    m_percent = m_percent / 2 < kMinPercent ? 0 : m_percent / 2;
  } else if (worst_tail_share < kSpeedUpBelow) {
    m_percent = std::min<uint32_t>(100, m_percent + kSpeedUpStep);
  }
  if (m_percent != before) {
    m_changed_at = now;
  }
}

}  // namespace laurelhall::dispatch
