#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace laurelhall::scheduling {

/// Work that arrived for a service, in core-milliseconds, by equal stretches of
/// time ("bins").
using WorkBins = std::vector<double>;

/// A stretch of time in which most of the work came for one service.
struct Turn {
  std::string service;
  int64_t begin = 0;       ///< First bin.
  int64_t end = 0;         ///< Behind the last bin so far.
  double work = 0;         ///< Of its service, in core-milliseconds.
  bool is_closed = false;  ///< Another service's turn followed at once.
};

/// Finds turns in what arrived, oldest first. Thread-safe.
///
/// @param last The last whole bin.
std::vector<Turn> FindTurns(const std::map<std::string, WorkBins>& bins,
                            int64_t last);

/// Rushes of services that take turns: when the one under way will end, and
/// whose is likely to follow.
///
/// @remarks Pure; not thread-safe. Answers the load in which one service at a
///   time asks several times its mean and the others rest. A host needs two to
///   three seconds from the choice to its first task, half of a short rush;
///   what is known after the first turns lets it move before the rush. Believed
///   only while the turns' lengths are alike and what was foreseen came true;
///   where services are busy in no order, nothing is foreseen.
class TurnForecast {
 public:
  /// Works everything out again from what arrived up to a bin.
  void Learn(const std::map<std::string, WorkBins>& bins, int64_t last);

  /// Core-milliseconds a bin expected for a service in a bin to come.
  double Expected(const std::string& service, int64_t bin) const;

  /// Of a turn in bins; zero while none is believed.
  int64_t length() const { return m_length; }

 private:
  struct Follower {
    std::string service;
    double chance = 0;
  };

  void LearnLength(const std::vector<Turn>& turns);
  std::vector<Follower> FindFollowers(
      const std::vector<Turn>& turns,
      const std::map<std::string, WorkBins>& bins) const;
  void LearnLevels(const std::vector<Turn>& turns);
  double LevelOf(const std::string& service) const;

  int64_t m_length = 0;
  int64_t m_next_begin = 0;
  std::string m_current;
  std::vector<Follower> m_followers;
  std::map<std::string, double> m_levels;  // Work a bin in a turn, by service.
};

}  // namespace laurelhall::scheduling
