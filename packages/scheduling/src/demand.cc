#include "laurelhall/scheduling/demand.h"

#include <algorithm>
#include <cmath>

namespace laurelhall::scheduling {

namespace {

// Length of a bin: short enough to show a rush within half a second, long
// enough to hold several jobs.
constexpr Millis kBin{250};
// The current rate is taken over this many bins, the unfinished one included.
constexpr int64_t kRateBins = 3;
// A peak is a mean over this many bins: about as long as a host takes to move.
constexpr int64_t kPeakBins = 8;
// Bounds of the period in bins. Hosts cannot follow a period that is shorter
// than a few of their moves. Longer periods are not worth their memory: at the
// planned fleet size, these already take 480 bins for each of 68 services.
constexpr int64_t kMinPeriodBins = 12;
constexpr int64_t kMaxPeriodBins = 240;
constexpr int64_t kMaxBins = 2 * kMaxPeriodBins;
// A period is recognised once at least this many bins have repeated, with more
// than this correlation.
constexpr int64_t kMinOverlapBins = 12;
constexpr double kMinCorrelation = 0.6;

}  // namespace

int64_t DemandMeter::BinIndexAt(SteadyTime time) const {
  return std::chrono::floor<Millis>(time - *m_first_bin_at) / kBin;
}

void DemandMeter::RecordArrival(const std::string& service,
                                double work,
                                SteadyTime now) {
  if (work <= 0) {
    return;  // Only persistent tasks, which stay once they have come.
  }
  if (!m_first_bin_at) {
    m_first_bin_at = now;
  }
  int64_t bin = BinIndexAt(now);
  if (bin >= kMaxBins) {
    // Drops half of the history at once, so that the rest is rarely moved.
    for (auto& [name, bins] : m_bins_of) {
      const auto dropped =
          std::min<int64_t>(kMaxPeriodBins, static_cast<int64_t>(bins.size()));
      bins.erase(bins.begin(), bins.begin() + dropped);
    }
    *m_first_bin_at += kMaxPeriodBins * kBin;
    bin = std::min(BinIndexAt(now), kMaxBins - 1);
  }
  WorkBins& bins = m_bins_of[service];
  if (static_cast<int64_t>(bins.size()) <= bin) {
    bins.resize(static_cast<size_t>(bin) + 1);
  }
  bins[static_cast<size_t>(bin)] += work;
}

double DemandMeter::SumWork(const WorkBins& bins,
                            int64_t first,
                            int64_t last) const {
  double work = 0;
  const auto size = static_cast<int64_t>(bins.size());
  for (int64_t bin = std::max<int64_t>(0, first); bin <= last && bin < size;
       ++bin) {
    work += bins[static_cast<size_t>(bin)];
  }
  return work;
}

double DemandMeter::RecentDemand(const std::string& service,
                                 SteadyTime now) const {
  const auto found = m_bins_of.find(service);
  if (found == m_bins_of.end()) {
    return 0;
  }
  const int64_t bin = BinIndexAt(now);
  const int64_t first = bin - kRateBins + 1;
  const auto span = std::chrono::duration_cast<Millis>(
      now - (*m_first_bin_at + std::max<int64_t>(0, first) * kBin));
  return SumWork(found->second, first, bin) /
         static_cast<double>(std::max(span, kBin).count());
}

double DemandMeter::PeakDemand(const std::string& service) const {
  const auto found = m_bins_of.find(service);
  if (found == m_bins_of.end()) {
    return 0;
  }
  const auto size = static_cast<int64_t>(found->second.size());
  double peak = 0;
  double sum = 0;
  for (int64_t bin = 0; bin < size; ++bin) {
    sum += found->second[static_cast<size_t>(bin)];
    if (bin >= kPeakBins) {
      sum -= found->second[static_cast<size_t>(bin - kPeakBins)];
    }
    peak = std::max(peak, sum);
  }
  return peak / static_cast<double>((kPeakBins * kBin).count());
}

double DemandMeter::Expected(const std::string& service,
                             SteadyTime now,
                             Millis ahead) const {
  const auto found = m_bins_of.find(service);
  if (found == m_bins_of.end()) {
    return 0;
  }
  const double turn_demand =
      m_turn_forecast.ExpectedWork(service, BinIndexAt(now + ahead)) /
      static_cast<double>(kBin.count());
  const int64_t bin = BinIndexAt(now + ahead - m_period);
  if (m_period == Millis(0) || bin < 0) {
    return turn_demand;
  }
  return std::max(turn_demand, SumWork(found->second, bin - 1, bin + 1) /
                                   static_cast<double>(3 * kBin.count()));
}

Millis DemandMeter::turn_length() const {
  return m_turn_forecast.length() * kBin;
}

// The correlation of the arrivals with those `lag` bins earlier, over all
// services together.
double DemandMeter::Autocorrelation(int64_t lag, int64_t last) const {
  double product = 0;
  double now_square = 0;
  double then_square = 0;
  for (const auto& entry : m_bins_of) {
    const WorkBins& bins = entry.second;
    const auto work_at = [&bins](int64_t bin) {
      return bin < static_cast<int64_t>(bins.size())
                 ? bins[static_cast<size_t>(bin)]
                 : 0.0;
    };
    double mean = 0;
    for (int64_t bin = 0; bin <= last; ++bin) {
      mean += work_at(bin) / static_cast<double>(last + 1);
    }
    for (int64_t bin = lag; bin <= last; ++bin) {
      // Compares sums of two bins, because arrivals are few and shift a little
      // from one repetition to the next.
      const double now_work = work_at(bin) + work_at(bin - 1) - 2 * mean;
      const double then_work = work_at(bin - lag) +
                               (bin > lag ? work_at(bin - lag - 1) : 0) -
                               2 * mean;
      product += now_work * then_work;
      now_square += now_work * now_work;
      then_square += then_work * then_work;
    }
  }
  const double size = std::sqrt(now_square * then_square);
  return size <= 0 ? 0 : product / size;
}

void DemandMeter::Learn(SteadyTime now) {
  if (!m_first_bin_at) {
    return;
  }
  // The last full bin; the one after it is still being filled.
  const int64_t last = BinIndexAt(now) - 1;
  if (m_mechanisms.Has(Mechanism::kTurns)) {
    m_turn_forecast.Recompute(m_bins_of, last);
  }
  if (m_mechanisms.Has(Mechanism::kPeriod)) {
    LearnPeriod(last);
  }
}

void DemandMeter::LearnPeriod(int64_t last) {
  // At least a third of the history must be a repetition, as a few bins may
  // look alike by chance.
  const int64_t longest_lag =
      std::min({kMaxPeriodBins, last - kMinOverlapBins, last * 2 / 3});
  double best = kMinCorrelation;
  m_period = Millis(0);
  for (int64_t lag = kMinPeriodBins; lag <= longest_lag; ++lag) {
    const double correlation = Autocorrelation(lag, last);
    if (correlation > best) {
      best = correlation;
      m_period = lag * kBin;
    }
  }
}

}  // namespace laurelhall::scheduling
