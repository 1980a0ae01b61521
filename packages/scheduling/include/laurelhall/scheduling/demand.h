#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "laurelhall/base/time.h"

namespace laurelhall::scheduling {

/// Work that arrives for services over time, and what is to be expected of it.
///
/// @remarks Pure; not thread-safe. Work is in core-milliseconds. A pattern that
///   comes again is found over all services together: when each has its turn,
///   one turn of any of them tells the time of the next ones.
class DemandMeter {
 public:
  /// Takes in work that arrived.
  void Arrived(const std::string& service, double work, SteadyTime now);

  /// Cores that the work of the last moments keeps busy.
  double Rate(const std::string& service, SteadyTime now) const;

  /// Cores expected around a later time; none while no pattern is known.
  std::optional<double> Expected(const std::string& service,
                                 SteadyTime now,
                                 Millis ahead) const;

  /// Looks for a pattern; to be called about once a second.
  void Learn(SteadyTime now);

  /// The pattern's length; zero while none is known.
  Millis period() const { return m_period; }

 private:
  using Bins = std::vector<double>;

  int64_t BinAt(SteadyTime time) const;
  double WorkIn(const Bins& bins, int64_t first, int64_t last) const;
  double Likeness(int64_t lag, int64_t last) const;

  std::optional<SteadyTime> m_begun_at;
  std::map<std::string, Bins> m_bins;  // By service, from m_begun_at.
  Millis m_period{0};
};

}  // namespace laurelhall::scheduling
