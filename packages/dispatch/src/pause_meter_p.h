#pragma once

#include "laurelhall/base/time.h"

namespace laurelhall::dispatch {

/// Measures how long requests may have waited unread because the whole process
/// was suspended or got no processor time.
///
/// @remarks Not thread-safe. Reads no clock.
class PauseMeter {
 public:
  /// To be called at a period well under kMinPause.
  void OnTick(BootTime now);

  /// The longest time that a request which is read now may have waited.
  Millis UnreadTime(BootTime now) const;

  /// Shorter pauses are not counted.
  static constexpr Millis kMinPause{500};
  /// What came during a pause is read within this time after it.
  static constexpr Millis kBacklogTime{200};

 private:
  BootTime m_ticked_at{};  // Zero before the first tick.
  BootTime m_resumed_at{};
  Millis m_pause{0};  // Until m_resumed_at.
};

}  // namespace laurelhall::dispatch
