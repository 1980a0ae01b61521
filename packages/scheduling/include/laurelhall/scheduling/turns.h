#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace laurelhall::scheduling {

/// Work that arrived for a service, in core-milliseconds, summed over equal
/// intervals of time ("bins").
using WorkBins = std::vector<double>;

/// An interval in which most of the arriving work is for one service.
struct Turn {
  std::string service;
  int64_t begin = 0;           ///< First bin.
  int64_t end = 0;             ///< One past the last bin so far.
  double work = 0;             ///< Of its service, in core-milliseconds.
  bool has_successor = false;  ///< Another turn followed without a pause.
};

/// Finds the turns in arrived work, oldest first. Thread-safe.
///
/// @param last The last full bin.
std::vector<Turn> FindTurns(const std::map<std::string, WorkBins>& bins,
                            int64_t last);

/// Forecasts the rushes of services that take turns: when the current turn
/// ends, and which services are likely to have the next one.
///
/// @remarks Has no side effects beyond its own state; not thread-safe. Serves
///   loads in which one service at a time gets several times its mean work
///   while the others get little. A host needs two to three seconds from the
///   decision to move until its first task there, which is half of a short
///   rush; a forecast after the first turns lets it move before the rush.
///   Forecasts only while turns are of similar length and earlier forecasts
///   came true, so that services which are busy in no order get none.
class TurnForecast {
 public:
  /// Recomputes the forecast from the work that arrived up to bin `last`.
  void Recompute(const std::map<std::string, WorkBins>& bins, int64_t last);

  /// The work expected for a service in a future bin, in core-milliseconds.
  double ExpectedWork(const std::string& service, int64_t bin) const;

  /// The length of a turn in bins; zero while there is no forecast.
  int64_t length() const { return m_length; }

 private:
  /// A service that may have the next turn.
  struct Successor {
    std::string service;
    double probability = 0;
  };

  void LearnLength(const std::vector<Turn>& turns);
  std::vector<Successor> FindSuccessors(
      const std::vector<Turn>& turns,
      const std::map<std::string, WorkBins>& bins) const;
  void LearnWorkPerBin(const std::vector<Turn>& turns);
  double WorkPerBinOf(const std::string& service) const;

  int64_t m_length = 0;
  int64_t m_next_begin = 0;
  std::string m_current;
  std::vector<Successor> m_successors;
  std::map<std::string, double> m_work_per_bin;  // During a turn, by service.
};

}  // namespace laurelhall::scheduling
