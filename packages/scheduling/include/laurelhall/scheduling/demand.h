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

/// Records the work that arrives for each service and forecasts later demand
/// from it.
///
/// @remarks Has no side effects beyond its own state; not thread-safe. Work is
///   in core-milliseconds. A repeating pattern is sought in all services
///   together: where they rush one after the other, the turn of any of them
///   tells when the next ones come.
class DemandMeter {
 public:
  explicit DemandMeter(const MechanismSet& mechanisms = {})
      : m_mechanisms(mechanisms) {}

  /// Records work in core-milliseconds that arrived for a service.
  void RecordArrival(const std::string& service, double work, SteadyTime now);

  /// The number of cores that the work which arrived lately (in up to three
  /// bins of 250 ms) keeps busy.
  double RecentDemand(const std::string& service, SteadyTime now) const;

  /// The highest number of cores that arriving work kept busy, as a mean over
  /// two seconds, within the recorded history.
  double PeakDemand(const std::string& service) const;

  /// The number of cores that the work expected around `now + ahead` needs;
  /// zero if neither turns nor a period are recognised.
  double Expected(const std::string& service,
                  SteadyTime now,
                  Millis ahead) const;

  /// Updates the forecast from the recorded work. Meant to be called a few
  /// times a second.
  void Learn(SteadyTime now);

  /// The length of a turn, in which one service has its rush; zero while no
  /// turns are recognised.
  Millis turn_length() const;

  /// The period after which arrivals repeat; zero while none is recognised.
  Millis period() const { return m_period; }

 private:
  int64_t BinIndexAt(SteadyTime time) const;
  double SumWork(const WorkBins& bins, int64_t first, int64_t last) const;
  void LearnPeriod(int64_t last);
  double Autocorrelation(int64_t lag, int64_t last) const;

  MechanismSet m_mechanisms;
  std::optional<SteadyTime> m_first_bin_at;
  // By service; bin 0 begins at m_first_bin_at.
  std::map<std::string, WorkBins> m_bins_of;
  TurnForecast m_turn_forecast;
  Millis m_period{0};
};

}  // namespace laurelhall::scheduling
