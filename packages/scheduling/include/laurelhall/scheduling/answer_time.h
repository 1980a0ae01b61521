#pragma once

#include <algorithm>
#include <cmath>

#include "laurelhall/base/time.h"

namespace laurelhall::scheduling {

/// Derives the timeout of an order from the time that earlier answers took.
///
/// @remarks Has no side effects beyond its own state; not thread-safe. Computed
///   like the retransmission timeout of TCP: the smoothed answer time plus four
///   times its mean deviation. Some workers leave orders unanswered. On a
///   network where an answer takes a few milliseconds, their tasks, and all
///   that queues behind them on the same connection, then wait for 120 ms
///   instead of a fixed 450 ms. A leader that is short of processor time sees
///   answers late, which raises the timeout.
class AnswerTime {
 public:
  /// Records the time that an answer took.
  void Observe(Millis taken) {
    const auto sample = static_cast<double>(taken.count());
    m_deviation += kSmoothing * (std::abs(sample - m_smoothed) - m_deviation);
    m_smoothed += kSmoothing * (sample - m_smoothed);
  }

  /// How long to wait for the next answer.
  Millis Timeout() const {
    const Millis timeout(static_cast<int64_t>(m_smoothed + 4 * m_deviation));
    return std::clamp(timeout, kMinTimeout, kMaxTimeout);
  }

 private:
  // Two round trips of 60 ms between regions.
  static constexpr Millis kMinTimeout{120};
  // Covers a short delay of the worker or the leader.
  static constexpr Millis kMaxTimeout{450};
  static constexpr double kSmoothing = 0.1;

  double m_smoothed = static_cast<double>(kMaxTimeout.count()) / 4;
  double m_deviation = static_cast<double>(kMaxTimeout.count()) / 8;
};

}  // namespace laurelhall::scheduling
