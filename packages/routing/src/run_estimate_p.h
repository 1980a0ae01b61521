#pragma once

#include "laurelhall/base/time.h"

namespace laurelhall::routing {

/// How long runs take: the mean of late, and what the shortest tenth takes.
///
/// @remarks Not thread-safe.
class RunEstimate {
 public:
  void Add(Millis run_time, SteadyTime now);

  bool is_known() const { return m_count > 0; }
  Millis mean() const;

  /// Below this, hardly any run ends. Zero while too few runs were seen; falls
  /// while none are, so that a bad estimate can't refuse everything for ever.
  Millis Shortest(SteadyTime now) const;

 private:
  int m_count = 0;
  double m_mean = 0;      ///< Milliseconds.
  double m_shortest = 0;  ///< Milliseconds.
  SteadyTime m_last{};
};

}  // namespace laurelhall::routing
