#pragma once

#include <array>
#include <map>
#include <string>
#include <vector>

#include "laurelhall/model/burn.h"
#include "laurelhall/model/fleet.h"

// How fast a service uses up the errors that its objective leaves it.
namespace laurelhall::budget {

enum class BurnWindow {
  kFiveMinutes,
  kOneHour,
  kSixHours,
  kThreeDays,
  kCount,
};
BOOST_DESCRIBE_ENUM(BurnWindow, kFiveMinutes, kOneHour, kSixHours, kThreeDays)

/// How a burn is to be taken; each asks for two windows, so that neither a
/// short spike nor a fault long mended counts.
enum class BurnSeverity {
  kNone,
  kSlow,    ///< Over three days and six hours the budget won't last.
  kMedium,  ///< A twentieth of the budget goes in six hours.
  kFast,    ///< A fiftieth of the budget goes in an hour.
  kCount,
};
BOOST_DESCRIBE_ENUM(BurnSeverity, kNone, kSlow, kMedium, kFast)

constexpr size_t kBurnWindows = static_cast<size_t>(BurnWindow::kCount);

/// Burn of one service. A rate of 1 uses up the budget just over its window.
struct Burn {
  std::array<double, kBurnWindows> rates{};
  double left = 1;  ///< Share of the objective window's errors still allowed.
  BurnSeverity severity = BurnSeverity::kNone;

  double rate(BurnWindow window) const {
    return rates[static_cast<size_t>(window)];
  }
};
BOOST_DESCRIBE_STRUCT(Burn, (), (rates, left, severity))

/// A severity and what it takes: both windows burn at `rate` or faster.
struct BurnRule {
  BurnSeverity severity = BurnSeverity::kNone;
  BurnWindow shorter = BurnWindow::kCount;
  BurnWindow longer = BurnWindow::kCount;
  double rate = 0;

  bool IsMetBy(const Burn& burn) const {
    return burn.rate(shorter) >= rate && burn.rate(longer) >= rate;
  }
};

/// Worst first. The rates are those of a 28 to 30 day objective.
inline constexpr std::array<BurnRule, 3> kBurnRules = {{
    {BurnSeverity::kFast, BurnWindow::kFiveMinutes, BurnWindow::kOneHour, 14.4},
    {BurnSeverity::kMedium, BurnWindow::kOneHour, BurnWindow::kSixHours, 6},
    {BurnSeverity::kSlow, BurnWindow::kSixHours, BurnWindow::kThreeDays, 1},
}};

using BurnByService = std::map<std::string, Burn>;

/// Returns the length of a window. Thread-safe.
Millis WindowLength(BurnWindow window);

/// Computes the burn of one service.
///
/// @param service Its objective and window.
/// @param samples Minutes in any order; those of other services, older than
///   the objective window or later than `now` don't count.
/// @param now The end of every window.
/// @remarks Thread-safe. A window without requests burns nothing.
Burn ComputeBurn(const model::Service& service,
                 const std::vector<model::BurnSample>& samples,
                 WallTime now);

}  // namespace laurelhall::budget
