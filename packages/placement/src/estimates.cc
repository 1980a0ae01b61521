#include "laurelhall/placement/estimates.h"

#include <algorithm>
#include <cmath>

namespace laurelhall::placement {
namespace {

constexpr float kMinRatio = 1.0F / 32;
constexpr float kMaxRatio = 32;
// A list with fewer ratios than this is filled up with 1, the declared value.
constexpr size_t kMinRatioCount = 3;
constexpr double kOverrunRemainingShare = 0.5;
// Factor on the estimated memory for the runs above the quantile: many small
// underestimates on one host would add up to more memory than it has.
constexpr double kMemoryHeadroom = 1.1;

// Indexed by RatioKind. Memory uses a high quantile because a run with too
// little memory is lost. Run time uses the 0.75 quantile because a job that
// starts too late misses its deadline.
constexpr std::array<double, static_cast<size_t>(RatioKind::kCount)> kQuantile =
    {0.75, 0.75, 0.9};

size_t IndexOf(RatioKind kind) {
  return static_cast<size_t>(kind);
}

float QuantileOf(const std::vector<float>& ratios, double quantile) {
  std::vector<float> sorted = ratios;
  while (sorted.size() < kMinRatioCount) {
    sorted.push_back(1);
  }
  std::sort(sorted.begin(), sorted.end());
  const double rank = quantile * static_cast<double>(sorted.size() - 1);
  return sorted[static_cast<size_t>(std::floor(rank))];
}

// Adds no headroom beyond the declared memory unless the estimate exceeds it.
double WithMemoryHeadroom(double ratio) {
  return ratio > 1 ? ratio * kMemoryHeadroom
                   : std::min(1.0, ratio * kMemoryHeadroom);
}

}  // namespace

void Estimates::Learn(const model::Job& job,
                      Millis work,
                      const model::Resources& peak) {
  Window& window = m_windows[Key(job.team, job.kind)];
  window.last_used = ++m_last_sequence;
  AddRatio(window, RatioKind::kRunTime, static_cast<double>(work.count()),
           static_cast<double>(job.declared_run_time.count()));
  AddRatio(window, RatioKind::kProcessors, peak.processors,
           job.declared.processors);
  AddRatio(window, RatioKind::kMemory, peak.memory_gb, job.declared.memory_gb);
  if (m_windows.size() > kMaxKinds) {
    EvictLeastRecentlyUpdated();
  }
}

void Estimates::AddRatio(Window& window,
                         RatioKind kind,
                         double measured,
                         double declared) {
  if (measured <= 0 || declared <= 0) {
    return;
  }
  std::vector<float>& ratios = window.ratios[IndexOf(kind)];
  ratios.push_back(std::clamp(static_cast<float>(measured / declared),
                              kMinRatio, kMaxRatio));
  if (ratios.size() > kWindowSize) {
    ratios.erase(ratios.begin());
  }
  window.quantile[IndexOf(kind)] = QuantileOf(ratios, kQuantile[IndexOf(kind)]);
}

void Estimates::EvictLeastRecentlyUpdated() {
  m_windows.erase(std::min_element(
      m_windows.begin(), m_windows.end(), [](const auto& a, const auto& b) {
        return a.second.last_used < b.second.last_used;
      }));
}

const Estimates::Window* Estimates::FindWindow(const model::Job& job) const {
  const auto found = m_windows.find(KeyView(job.team, job.kind));
  return found == m_windows.end() ? nullptr : &found->second;
}

Millis Estimates::ExpectedRunTime(const model::Job& job) const {
  const Window* window = FindWindow(job);
  if (window == nullptr) {
    return job.declared_run_time;
  }
  const double ratio = window->quantile[IndexOf(RatioKind::kRunTime)];
  return Millis(
      std::llround(static_cast<double>(job.declared_run_time.count()) * ratio));
}

model::Resources Estimates::ExpectedSize(const model::Job& job) const {
  model::Resources size = job.declared;
  if (const Window* window = FindWindow(job)) {
    size.processors *= window->quantile[IndexOf(RatioKind::kProcessors)];
    size.memory_gb *=
        WithMemoryHeadroom(window->quantile[IndexOf(RatioKind::kMemory)]);
  }
  // The peak of the job's own earlier runs is a lower bound.
  size.memory_gb = std::max(size.memory_gb, job.peak.memory_gb);
  return size;
}

Millis Estimates::Remaining(const model::Job& job, Millis work) const {
  const Millis until_estimate = ExpectedRunTime(job) - work;
  const Millis after_overrun(
      std::llround(static_cast<double>(work.count()) * kOverrunRemainingShare));
  return until_estimate > Millis(0) ? until_estimate
                                    : std::max(after_overrun, Millis(1));
}

std::vector<KindEstimates> Estimates::Save() const {
  std::vector<KindEstimates> saved;
  saved.reserve(m_windows.size());
  for (const auto& [key, window] : m_windows) {
    saved.push_back(
        {key.first, key.second, window.ratios[IndexOf(RatioKind::kRunTime)],
         window.ratios[IndexOf(RatioKind::kProcessors)],
         window.ratios[IndexOf(RatioKind::kMemory)], window.last_used});
  }
  return saved;
}

void Estimates::Load(const std::vector<KindEstimates>& saved) {
  m_windows.clear();
  m_last_sequence = 0;
  for (const KindEstimates& kind : saved) {
    Window& window = m_windows[Key(kind.team, kind.kind)];
    window.ratios = {kind.run_time, kind.processors, kind.memory};
    for (size_t i = 0; i < window.ratios.size(); ++i) {
      window.quantile[i] = QuantileOf(window.ratios[i], kQuantile[i]);
    }
    window.last_used = kind.last_used;
    m_last_sequence = std::max(m_last_sequence, kind.last_used);
  }
}

}  // namespace laurelhall::placement
