#pragma once

#include <algorithm>
#include <cmath>

#include "laurelhall/base/time.h"

namespace laurelhall::scheduling {

/// How long to wait for an answer, by how long answers took so far.
///
/// @remarks Pure; not thread-safe. The estimate of a TCP sender: the smoothed
///   time and four times its mean deviation. Some workers leave orders
///   unanswered; on a network where an answer takes some milliseconds their
///   tasks then wait for 120 ms rather than for a fixed 450 ms, and so does all
///   that queues behind on the same connection. A leader that is short of
///   processor time sees answers late, and waits for longer.
class AnswerTime {
 public:
  /// An answer came after this time.
  void Observe(Millis taken) {
    const auto seen = static_cast<double>(taken.count());
    m_deviation += kGain * (std::abs(seen - m_smooth) - m_deviation);
    m_smooth += kGain * (seen - m_smooth);
  }

  Millis Timeout() const {
    const Millis wanted(static_cast<int64_t>(m_smooth + 4 * m_deviation));
    return std::clamp(wanted, kShortest, kLongest);
  }

 private:
  // Two orders of a round trip over regions, 60 ms.
  static constexpr Millis kShortest{120};
  // A slow moment on either side.
  static constexpr Millis kLongest{450};
  static constexpr double kGain = 0.1;

  double m_smooth = static_cast<double>(kLongest.count()) / 4;
  double m_deviation = static_cast<double>(kLongest.count()) / 8;
};

}  // namespace laurelhall::scheduling
