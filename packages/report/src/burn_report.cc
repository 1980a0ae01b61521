#include "laurelhall/report/burn_report.h"

#include <algorithm>
#include <array>
#include <map>

namespace laurelhall::report {
namespace {

using budget::Burn;
using budget::BurnWindow;
using model::BurnSample;
using Samples = std::vector<BurnSample>;

constexpr Millis kPlotted = std::chrono::hours(72);
constexpr Millis kPointLength = std::chrono::minutes(45);

struct Cause {
  const char* name;
  int64_t BurnSample::*bad;
  double CauseRates::*rate;
};

constexpr std::array<Cause, 3> kCauses = {{
    {"failure", &BurnSample::bad_failure, &CauseRates::failure},
    {"wave", &BurnSample::bad_wave, &CauseRates::wave},
    {"overload", &BurnSample::bad_overload, &CauseRates::overload},
}};

// In the order of budget::BurnSeverity.
constexpr std::array<const char*,
                     static_cast<size_t>(budget::BurnSeverity::kCount)>
    kSeverityNames = {"none", "slow", "medium", "fast"};

int64_t BadOf(const BurnSample& sample) {
  return sample.bad_failure + sample.bad_wave + sample.bad_overload;
}

// The same requests, where only one cause counts as bad: its burn is the
// cause's part of the whole.
Samples OnlyOf(const Samples& samples, const Cause& cause) {
  Samples split;
  split.reserve(samples.size());
  for (const BurnSample& sample : samples) {
    BurnSample only;
    only.service = sample.service;
    only.at = sample.at;
    only.bad_failure = sample.*cause.bad;
    only.good = sample.good + BadOf(sample) - only.bad_failure;
    split.push_back(std::move(only));
  }
  return split;
}

std::string WindowName(BurnWindow window) {
  return FormatDuration(budget::WindowLength(window));
}

std::vector<WindowBurn> WindowsOf(const model::Service& service,
                                  const Samples& samples,
                                  const Burn& burn,
                                  WallTime now) {
  std::vector<WindowBurn> windows(budget::kBurnWindows);
  for (size_t i = 0; i < windows.size(); ++i) {
    windows[i].window = WindowName(static_cast<BurnWindow>(i));
    windows[i].rate = burn.rates[i];
  }
  for (const Cause& cause : kCauses) {
    const Burn part = budget::ComputeBurn(service, OnlyOf(samples, cause), now);
    for (size_t i = 0; i < windows.size(); ++i) {
      windows[i].causes.*cause.rate = part.rates[i];
    }
  }
  return windows;
}

std::vector<AlertState> AlertsOf(const Burn& burn) {
  std::vector<AlertState> alerts;
  alerts.reserve(budget::kBurnRules.size());
  for (const budget::BurnRule& rule : budget::kBurnRules) {
    alerts.push_back(
        {kSeverityNames[static_cast<size_t>(rule.severity)],
         WindowName(rule.shorter) + " and " + WindowName(rule.longer),
         rule.rate, rule.IsMetBy(burn)});
  }
  return alerts;
}

std::string MainCause(const std::vector<WindowBurn>& windows) {
  const CauseRates& rates = windows.back().causes;
  if (rates.total() <= 0) {
    return "none";
  }
  const auto worst = std::max_element(kCauses.begin(), kCauses.end(),
                                      [&rates](const Cause& a, const Cause& b) {
                                        return rates.*a.rate < rates.*b.rate;
                                      });
  return worst->name;
}

std::vector<BurnPoint> PointsOf(const model::Service& service,
                                const Samples& samples,
                                WallTime now) {
  const WallTime begin = now - kPlotted;
  std::vector<BurnSample> sums(kPlotted / kPointLength);
  for (const BurnSample& sample : samples) {
    if (sample.at < begin || sample.at >= now) {
      continue;
    }
    BurnSample& sum = sums[(sample.at - begin) / kPointLength];
    sum.good += sample.good;
    for (const Cause& cause : kCauses) {
      sum.*cause.bad += sample.*cause.bad;
    }
  }
  std::vector<BurnPoint> points(sums.size());
  const double allowed = std::max(1 - service.objective, 1e-9);
  for (size_t i = 0; i < sums.size(); ++i) {
    points[i].at = begin + kPointLength * static_cast<int64_t>(i);
    const int64_t all = sums[i].good + BadOf(sums[i]);
    for (const Cause& cause : kCauses) {
      points[i].rates.*cause.rate =
          all == 0 ? 0
                   : static_cast<double>(sums[i].*cause.bad) /
                         static_cast<double>(all) / allowed;
    }
  }
  return points;
}

ServiceReport ReportOn(const model::Service& service,
                       const Samples& samples,
                       WallTime now) {
  const Burn burn = budget::ComputeBurn(service, samples, now);
  ServiceReport report;
  report.service = service.name;
  report.organisation = service.organisation;
  report.objective = service.objective;
  report.objective_window = service.objective_window;
  report.budget_left = burn.left;
  report.windows = WindowsOf(service, samples, burn, now);
  report.alerts = AlertsOf(burn);
  report.main_cause = MainCause(report.windows);
  report.points = PointsOf(service, samples, now);
  return report;
}

}  // namespace

std::string ServiceReport::Alert() const {
  const auto firing =
      std::find_if(alerts.begin(), alerts.end(),
                   [](const AlertState& alert) { return alert.is_firing; });
  return firing == alerts.end() ? "none" : firing->name;
}

BurnReport MakeBurnReport(const model::Fleet& fleet,
                          const Samples& samples,
                          WallTime now) {
  std::map<std::string, Samples> by_service;
  for (const BurnSample& sample : samples) {
    if (fleet.services.count(sample.service) != 0) {
      by_service[sample.service].push_back(sample);
    }
  }
  BurnReport report;
  report.at = now;
  for (const auto& [name, service] : fleet.services) {
    report.services.push_back(ReportOn(service, by_service[name], now));
  }
  return report;
}

std::string ToJson(const BurnReport& report) {
  return model::ToJsonText(report);
}

}  // namespace laurelhall::report
