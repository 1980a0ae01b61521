#include "laurelhall/placement/estimates.h"

#include <algorithm>
#include <cmath>

namespace laurelhall::placement {
namespace {

constexpr float kMinRatio = 1.0F / 32;
constexpr float kMaxRatio = 32;
// With fewer ratios than this, the declared figure stands in for the rest.
constexpr size_t kPriorWeight = 3;
constexpr double kOverrunShare = 0.5;
// Room over the learned memory, for the runs beyond the quantile: many small
// misses on one host would add up to more than it has.
constexpr double kMemoryHeadroom = 1.1;

// Sizes are taken high, since too little memory costs a run; run times at
// three quarters, since a late start costs a deadline.
constexpr std::array<double, static_cast<size_t>(RatioKind::kCount)> kQuantile =
    {0.75, 0.75, 0.9};

size_t IndexOf(RatioKind kind) {
  return static_cast<size_t>(kind);
}

float QuantileOf(const std::vector<float>& ratios, double quantile) {
  std::vector<float> sorted = ratios;
  while (sorted.size() < kPriorWeight) {
    sorted.push_back(1);
  }
  std::sort(sorted.begin(), sorted.end());
  const double place = quantile * static_cast<double>(sorted.size() - 1);
  return sorted[static_cast<size_t>(std::floor(place))];
}

// A job that keeps to what it declares gets no more than that.
double WithHeadroom(double ratio) {
  return ratio > 1 ? ratio * kMemoryHeadroom
                   : std::min(1.0, ratio * kMemoryHeadroom);
}

}  // namespace

void Estimates::Learn(const model::Job& job,
                      Millis work,
                      const model::Resources& peak) {
  Window& window = m_windows[Key(job.team, job.kind)];
  window.last_used = ++m_uses;
  Add(window, RatioKind::kRunTime, static_cast<double>(work.count()),
      static_cast<double>(job.declared_run_time.count()));
  Add(window, RatioKind::kProcessors, peak.processors, job.declared.processors);
  Add(window, RatioKind::kMemory, peak.memory_gb, job.declared.memory_gb);
  if (m_windows.size() > kMaxKinds) {
    DropOldest();
  }
}

void Estimates::Add(Window& window,
                    RatioKind kind,
                    double seen,
                    double declared) {
  if (seen <= 0 || declared <= 0) {
    return;
  }
  std::vector<float>& ratios = window.ratios[IndexOf(kind)];
  ratios.push_back(
      std::clamp(static_cast<float>(seen / declared), kMinRatio, kMaxRatio));
  if (ratios.size() > kWindow) {
    ratios.erase(ratios.begin());
  }
  window.quantile[IndexOf(kind)] = QuantileOf(ratios, kQuantile[IndexOf(kind)]);
}

void Estimates::DropOldest() {
  m_windows.erase(std::min_element(
      m_windows.begin(), m_windows.end(), [](const auto& a, const auto& b) {
        return a.second.last_used < b.second.last_used;
      }));
}

const Estimates::Window* Estimates::Find(const model::Job& job) const {
  const auto found = m_windows.find(KeyView(job.team, job.kind));
  return found == m_windows.end() ? nullptr : &found->second;
}

Millis Estimates::RunTime(const model::Job& job) const {
  const Window* window = Find(job);
  if (window == nullptr) {
    return job.declared_run_time;
  }
  const double ratio = window->quantile[IndexOf(RatioKind::kRunTime)];
  return Millis(
      std::llround(static_cast<double>(job.declared_run_time.count()) * ratio));
}

model::Resources Estimates::Size(const model::Job& job) const {
  model::Resources size = job.declared;
  if (const Window* window = Find(job)) {
    size.processors *= window->quantile[IndexOf(RatioKind::kProcessors)];
    size.memory_gb *=
        WithHeadroom(window->quantile[IndexOf(RatioKind::kMemory)]);
  }
  // Its own earlier run says more than its kind does.
  size.memory_gb = std::max(size.memory_gb, job.peak.memory_gb);
  return size;
}

Millis Estimates::Remaining(const model::Job& job, Millis work) const {
  const Millis by_estimate = RunTime(job) - work;
  const Millis by_age(
      std::llround(static_cast<double>(work.count()) * kOverrunShare));
  return by_estimate > Millis(0) ? by_estimate : std::max(by_age, Millis(1));
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
  m_uses = 0;
  for (const KindEstimates& kind : saved) {
    Window& window = m_windows[Key(kind.team, kind.kind)];
    window.ratios = {kind.run_time, kind.processors, kind.memory};
    for (size_t i = 0; i < window.ratios.size(); ++i) {
      window.quantile[i] = QuantileOf(window.ratios[i], kQuantile[i]);
    }
    window.last_used = kind.last_used;
    m_uses = std::max(m_uses, kind.last_used);
  }
}

}  // namespace laurelhall::placement
