#include "laurelhall/budget/burn.h"

#include <algorithm>

namespace laurelhall::budget {
namespace {

constexpr std::array<Millis, kBurnWindows> kLengths = {
    std::chrono::minutes(5), std::chrono::hours(1), std::chrono::hours(6),
    std::chrono::hours(72)};

/// An objective of 1 allows no error; any burns as if so few were allowed.
constexpr double kLeastAllowedShare = 1e-9;

struct Counts {
  int64_t good = 0;
  int64_t bad = 0;

  void Add(const model::BurnSample& sample) {
    good += sample.good;
    bad += sample.bad_failure + sample.bad_wave + sample.bad_overload;
  }

  double error_share() const {
    const int64_t all = good + bad;
    return all == 0 ? 0 : static_cast<double>(bad) / static_cast<double>(all);
  }
};

BurnSeverity Classify(const Burn& burn) {
  for (const BurnRule& rule : kBurnRules) {
    if (rule.IsMetBy(burn)) {
      return rule.severity;
    }
  }
  return BurnSeverity::kNone;
}

}  // namespace

Millis WindowLength(BurnWindow window) {
  return kLengths[static_cast<size_t>(window)];
}

Burn ComputeBurn(const model::Service& service,
                 const std::vector<model::BurnSample>& samples,
                 WallTime now) {
  std::array<Counts, kBurnWindows> windows;
  Counts objective_window;
  for (const model::BurnSample& sample : samples) {
    const Millis age = now - sample.at;
    const bool counts = sample.service == service.name && age >= Millis(0) &&
                        age <= service.objective_window;
    if (!counts) {
      continue;
    }
    objective_window.Add(sample);
    for (size_t window = 0; window < kBurnWindows; ++window) {
      if (age <= kLengths[window]) {
        windows[window].Add(sample);
      }
    }
  }
  const double allowed_share =
      std::max(1 - service.objective, kLeastAllowedShare);
  Burn burn;
  for (size_t window = 0; window < kBurnWindows; ++window) {
    burn.rates[window] = windows[window].error_share() / allowed_share;
  }
  burn.left = 1 - objective_window.error_share() / allowed_share;
  burn.severity = Classify(burn);
  return burn;
}

}  // namespace laurelhall::budget
