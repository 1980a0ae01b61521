#pragma once

#include "laurelhall/base/time.h"

namespace laurelhall::routing {

/// Moving average of latency that fades when no samples come.
///
/// @remarks Not thread-safe.
class LatencyEstimate {
 public:
  void Add(double millis, SteadyTime now);

  bool is_known() const { return m_is_known; }

  /// The average in milliseconds; drawn towards `optimum` with time, so that
  /// an endpoint that was slow is tried again.
  double At(SteadyTime now, double optimum) const;

 private:
  bool m_is_known = false;
  double m_millis = 0;
  SteadyTime m_last{};
};

}  // namespace laurelhall::routing
