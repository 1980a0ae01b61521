#include "laurelhall/scheduling/demand.h"

#include <algorithm>
#include <cmath>

namespace laurelhall::scheduling {

namespace {

// Short enough to see a rush within half a second, long enough for some jobs.
constexpr Millis kBin{250};
// The rate is that of the last bins, the one under way included.
constexpr int64_t kRateBins = 3;
// Patterns shorter than a few moves of hosts cannot be followed, and longer
// ones are not worth the memory: at the coming size 68 services of 480 bins.
constexpr int64_t kShortestPeriod = 12;
constexpr int64_t kLongestPeriod = 240;
constexpr int64_t kMaxBins = 2 * kLongestPeriod;
// How much of a pattern must have come again before it is believed, and how
// much alike (as a correlation) the two must be.
constexpr int64_t kLeastOverlap = 12;
constexpr double kAlike = 0.6;

}  // namespace

int64_t DemandMeter::BinAt(SteadyTime time) const {
  return std::chrono::floor<Millis>(time - *m_begun_at) / kBin;
}

void DemandMeter::Arrived(const std::string& service,
                          double work,
                          SteadyTime now) {
  if (work <= 0) {
    return;  // Nothing but persistent tasks: they come and stay.
  }
  if (!m_begun_at) {
    m_begun_at = now;
  }
  int64_t bin = BinAt(now);
  if (bin >= kMaxBins) {
    // Half of the past is let go at once, so that it is rarely moved.
    for (auto& [name, bins] : m_bins) {
      const auto dropped =
          std::min<int64_t>(kLongestPeriod, static_cast<int64_t>(bins.size()));
      bins.erase(bins.begin(), bins.begin() + dropped);
    }
    *m_begun_at += kLongestPeriod * kBin;
    bin = std::min(BinAt(now), kMaxBins - 1);
  }
  WorkBins& bins = m_bins[service];
  if (static_cast<int64_t>(bins.size()) <= bin) {
    bins.resize(static_cast<size_t>(bin) + 1);
  }
  bins[static_cast<size_t>(bin)] += work;
}

double DemandMeter::WorkIn(const WorkBins& bins,
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

double DemandMeter::Rate(const std::string& service, SteadyTime now) const {
  const auto found = m_bins.find(service);
  if (found == m_bins.end()) {
    return 0;
  }
  const int64_t bin = BinAt(now);
  const int64_t first = bin - kRateBins + 1;
  const auto span = std::chrono::duration_cast<Millis>(
      now - (*m_begun_at + std::max<int64_t>(0, first) * kBin));
  return WorkIn(found->second, first, bin) /
         static_cast<double>(std::max(span, kBin).count());
}

double DemandMeter::Expected(const std::string& service,
                             SteadyTime now,
                             Millis ahead) const {
  const auto found = m_bins.find(service);
  if (found == m_bins.end()) {
    return 0;
  }
  const double in_turn = m_turns.Expected(service, BinAt(now + ahead)) /
                         static_cast<double>(kBin.count());
  const int64_t bin = BinAt(now + ahead - m_period);
  if (m_period == Millis(0) || bin < 0) {
    return in_turn;
  }
  return std::max(in_turn, WorkIn(found->second, bin - 1, bin + 1) /
                               static_cast<double>(3 * kBin.count()));
}

Millis DemandMeter::turn_length() const {
  return m_turns.length() * kBin;
}

// The correlation of what came with what came a lag before, over all services.
double DemandMeter::Likeness(int64_t lag, int64_t last) const {
  double product = 0;
  double now_square = 0;
  double then_square = 0;
  for (const auto& entry : m_bins) {
    const WorkBins& bins = entry.second;
    const auto at = [&bins](int64_t bin) {
      return bin < static_cast<int64_t>(bins.size())
                 ? bins[static_cast<size_t>(bin)]
                 : 0.0;
    };
    double mean = 0;
    for (int64_t bin = 0; bin <= last; ++bin) {
      mean += at(bin) / static_cast<double>(last + 1);
    }
    for (int64_t bin = lag; bin <= last; ++bin) {
      // Two bins together: arrivals are few and shift a little.
      const double now_work = at(bin) + at(bin - 1) - 2 * mean;
      const double then_work =
          at(bin - lag) + (bin > lag ? at(bin - lag - 1) : 0) - 2 * mean;
      product += now_work * then_work;
      now_square += now_work * now_work;
      then_square += then_work * then_work;
    }
  }
  const double size = std::sqrt(now_square * then_square);
  return size <= 0 ? 0 : product / size;
}

void DemandMeter::Learn(SteadyTime now) {
  if (!m_begun_at) {
    return;
  }
  // The bin under way is not whole yet.
  const int64_t last = BinAt(now) - 1;
  if (m_mechanisms.Has(Mechanism::kTurns)) {
    m_turns.Learn(m_bins, last);
  }
  if (m_mechanisms.Has(Mechanism::kPeriod)) {
    LearnPeriod(last);
  }
}

void DemandMeter::LearnPeriod(int64_t last) {
  // A third of what is known must bear it out: a few bins look alike anywhere.
  const int64_t longest =
      std::min({kLongestPeriod, last - kLeastOverlap, last * 2 / 3});
  double best = kAlike;
  m_period = Millis(0);
  for (int64_t lag = kShortestPeriod; lag <= longest; ++lag) {
    const double likeness = Likeness(lag, last);
    if (likeness > best) {
      best = likeness;
      m_period = lag * kBin;
    }
  }
}

}  // namespace laurelhall::scheduling
