#pragma once

#include "laurelhall/base/time.h"

namespace laurelhall::routing {

/// Follows one quantile of a stream of samples.
///
/// @remarks Not thread-safe.
class QuantileEstimate {
 public:
  explicit QuantileEstimate(double quantile) : m_quantile(quantile) {}

  void Add(double sample);
  double value() const { return m_value; }

 private:
  double m_quantile;
  double m_value = 0;
};

/// Estimates run times: a moving mean, a low and a high quantile.
///
/// @remarks Not thread-safe.
class RunEstimate {
 public:
  void Add(Millis run_time, SteadyTime now);

  bool is_known() const { return m_count > 0; }
  Millis mean() const;

  /// Nine in ten runs take longer. This and Long() are zero while too few runs
  /// were seen, and fall while none are, so that a bad estimate can't refuse
  /// everything for ever.
  Millis Short(SteadyTime now) const { return Fade(m_short, now); }

  /// One in ten runs takes longer.
  Millis Long(SteadyTime now) const { return Fade(m_long, now); }

 private:
  Millis Fade(const QuantileEstimate& estimate, SteadyTime now) const;

  int m_count = 0;
  double m_mean = 0;  ///< Milliseconds.
  QuantileEstimate m_short{0.1};
  QuantileEstimate m_long{0.9};
  SteadyTime m_last{};
};

}  // namespace laurelhall::routing
