#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "laurelhall/base/time.h"
#include "laurelhall/scheduling/mechanism.h"
#include "laurelhall/scheduling/turns.h"

namespace laurelhall::scheduling {

/// Work that arrives for services over time, and what is to be expected of it.
///
/// @remarks Pure; not thread-safe. Work is in core-milliseconds. A pattern that
///   comes again is found over all services together: when each has its turn,
///   one turn of any of them tells the time of the next ones.
class DemandMeter {
 public:
  explicit DemandMeter(const MechanismSet& mechanisms = {})
      : m_mechanisms(mechanisms) {}

  /// Takes in work that arrived.
  void Arrived(const std::string& service, double work, SteadyTime now);

  /// Cores that the work of the last moments keeps busy.
  double Rate(const std::string& service, SteadyTime now) const;

  /// Cores expected around a later time, by what is known of the pattern; zero
  /// while nothing is.
  double Expected(const std::string& service,
                  SteadyTime now,
                  Millis ahead) const;

  /// Looks for a pattern; to be called some times a second.
  void Learn(SteadyTime now);

  /// How long a turn lasts; zero while no turns are believed in.
  Millis turn_length() const;

  /// The pattern's length; zero while none is known.
  Millis period() const { return m_period; }

 private:
  int64_t BinAt(SteadyTime time) const;
  double WorkIn(const WorkBins& bins, int64_t first, int64_t last) const;
  void LearnPeriod(int64_t last);
  double Likeness(int64_t lag, int64_t last) const;

  MechanismSet m_mechanisms;
  std::optional<SteadyTime> m_begun_at;
  std::map<std::string, WorkBins> m_bins;  // By service, from m_begun_at.
  TurnForecast m_turns;
  Millis m_period{0};
};

}  // namespace laurelhall::scheduling
