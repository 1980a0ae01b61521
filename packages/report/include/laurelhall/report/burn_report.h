#pragma once

#include <string>
#include <vector>

#include "laurelhall/budget/burn.h"
#include "laurelhall/model/burn.h"
#include "laurelhall/model/fleet.h"

// The report on service-level burn, from recorded samples. The figures are
// those of budget::ComputeBurn(), split by cause.
namespace laurelhall::report {

/// Burn rates by what spoilt the requests; they add up to the whole rate.
struct CauseRates {
  double failure = 0;
  double wave = 0;
  double overload = 0;

  double total() const { return failure + wave + overload; }
};
BOOST_DESCRIBE_STRUCT(CauseRates, (), (failure, wave, overload))

/// Burn over one window that ends with the report.
struct WindowBurn {
  std::string window;  ///< Such as "1h".
  double rate = 0;     ///< 1 uses up the budget just over its window.
  CauseRates causes;
};
BOOST_DESCRIBE_STRUCT(WindowBurn, (), (window, rate, causes))

/// One rule of the multi-window alerts and whether it is met.
struct AlertState {
  std::string name;     ///< "fast", "medium" or "slow".
  std::string windows;  ///< Such as "5m and 1h".
  double threshold = 0;
  bool is_firing = false;
};
BOOST_DESCRIBE_STRUCT(AlertState, (), (name, windows, threshold, is_firing))

/// Burn in one part of the plotted time.
struct BurnPoint {
  WallTime at{};  ///< Its start.
  CauseRates rates;
};
BOOST_DESCRIBE_STRUCT(BurnPoint, (), (at, rates))

struct ServiceReport {
  std::string service;
  std::string organisation;
  double objective = 0;
  Millis objective_window{0};
  double budget_left = 1;  ///< Share; below zero once it is overspent.
  std::string main_cause;  ///< Of the longest window that burns, or "none".
  std::vector<WindowBurn> windows;  ///< 5m, 1h, 6h, 3d.
  std::vector<AlertState> alerts;   ///< Worst first.
  std::vector<BurnPoint> points;    ///< Oldest first, over the last 3 days.

  /// The worst alert that fires, or "none".
  std::string Alert() const;
};
BOOST_DESCRIBE_STRUCT(ServiceReport,
                      (),
                      (service,
                       organisation,
                       objective,
                       objective_window,
                       budget_left,
                       main_cause,
                       windows,
                       alerts,
                       points))

struct BurnReport {
  WallTime at{};
  std::vector<ServiceReport> services;  ///< In order of name.
};
BOOST_DESCRIBE_STRUCT(BurnReport, (), (at, services))

/// Makes the report on all services of a fleet.
///
/// @param samples Minutes in any order; those of unknown services are passed
///   over.
/// @param now The end of every window.
/// @remarks Thread-safe.
BurnReport MakeBurnReport(const model::Fleet& fleet,
                          const std::vector<model::BurnSample>& samples,
                          WallTime now);

/// Writes the report as a table of plain text. Thread-safe.
std::string ToTable(const BurnReport& report);

/// Writes the report as JSON, points included. Thread-safe.
std::string ToJson(const BurnReport& report);

/// Writes the report as one HTML page with inline SVG plots, that loads and
/// runs nothing. All names are escaped. Thread-safe.
std::string ToHtml(const BurnReport& report);

}  // namespace laurelhall::report
