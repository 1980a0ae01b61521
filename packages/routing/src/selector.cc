#include "laurelhall/routing/selector.h"

#include <algorithm>
#include <map>
#include <random>
#include <utility>

#include "endpoint_view_p.h"

namespace laurelhall::routing {
namespace {

/// Latency assumed while nothing is known at all, in milliseconds.
constexpr double kFirstGuess = 10;

/// An endpoint that was not tried lately counts as this much of the mean.
constexpr double kOptimism = 0.5;

/// A failure counts as this many times the service's mean latency.
constexpr double kFailurePenalty = 10;
constexpr double kLeastPenalty = 100;  ///< Milliseconds.

/// Another zone's endpoint must score below this share of the own zone's.
constexpr double kOtherZoneFactor = 0.8;

bool IsFailure(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kError ||
         outcome == AttemptOutcome::kRefused ||
         outcome == AttemptOutcome::kTimeout;
}

}  // namespace

class Selector::Impl {
 public:
  explicit Impl(const SelectorInit& init) : m_init(init), m_random(init.seed) {}

  void Update(const model::Endpoint& endpoint, SteadyTime confirmed_at) {
    m_views[endpoint.id].Update(endpoint, confirmed_at);
  }

  void ConfirmAll(SteadyTime confirmed_at) {
    for (auto& [id, view] : m_views) {
      view.Confirm(confirmed_at);
    }
    std::erase_if(m_views, [&](const auto& item) {
      return item.second.MayForget(confirmed_at);
    });
  }

  void ConfirmOne(const std::string& endpoint,
                  uint64_t incarnation,
                  SteadyTime at) {
    EndpointView* view = FindView(endpoint);
    if (view != nullptr && view->endpoint().incarnation == incarnation) {
      view->Confirm(at);
    }
  }

  std::optional<std::string> Pick(const std::vector<Candidate>& candidates,
                                  const std::string& avoid,
                                  SteadyTime now,
                                  bool may_probe) {
    Choice own;
    Choice other;
    for (const Candidate& candidate : candidates) {
      const EndpointView* view = FindView(candidate.endpoint);
      if (view == nullptr || candidate.free_slots <= 0 ||
          candidate.endpoint == avoid || !MayTake(*view, now)) {
        continue;
      }
      const bool is_probe = view->health().IsSetAside(now);
      if (is_probe && may_probe && avoid.empty()) {
        return candidate.endpoint;
      }
      if (!is_probe) {
        const auto& zone = view->endpoint().availability_zone;
        (zone == m_init.own_zone ? own : other).push_back(view);
      }
    }
    const EndpointView* best = Better(own, other, now);
    return best == nullptr ? std::nullopt : std::optional(best->endpoint().id);
  }

  void Started(const std::string& endpoint) {
    if (EndpointView* view = FindView(endpoint)) {
      view->Started();
    }
  }

  void FinishedByTime(const std::string& endpoint,
                      AttemptOutcome outcome,
                      Millis latency,
                      SteadyTime now) {
    EndpointView* view = FindView(endpoint);
    if (view != nullptr && view->IsOfThisLife(now - latency)) {
      Take(*view, outcome, latency, now);
    }
  }

  void Finished(const std::string& endpoint,
                uint64_t incarnation,
                AttemptOutcome outcome,
                Millis latency,
                SteadyTime now) {
    EndpointView* view = FindView(endpoint);
    if (view != nullptr && view->endpoint().incarnation == incarnation) {
      Take(*view, outcome, latency, now);
    }
  }

  std::vector<model::Endpoint> Usable(SteadyTime now) const {
    std::vector<model::Endpoint> usable;
    for (const auto& [id, view] : m_views) {
      if (IsOpen(view, now) && !view.health().IsSetAside(now)) {
        usable.push_back(view.endpoint());
      }
    }
    return usable;
  }

  bool MaySend(const std::string& endpoint, SteadyTime now) const {
    const EndpointView* view = FindView(endpoint);
    if (view == nullptr || !IsOpen(*view, now)) {
      return false;
    }
    const bool is_probed =
        view->health().InFlightLimit(now) > 0 && view->in_flight() > 0;
    return is_probed || !view->health().IsSetAside(now);
  }

  std::optional<model::Endpoint> Find(const std::string& endpoint) const {
    const EndpointView* view = FindView(endpoint);
    return view == nullptr ? std::nullopt : std::optional(view->endpoint());
  }

  std::vector<std::string> Ids() const {
    std::vector<std::string> ids;
    ids.reserve(m_views.size());
    for (const auto& [id, view] : m_views) {
      ids.push_back(id);
    }
    return ids;
  }

  int EjectedCount(SteadyTime now) const {
    return static_cast<int>(std::ranges::count_if(m_views, [&](auto& item) {
      return IsOpen(item.second, now) && item.second.health().IsSetAside(now);
    }));
  }

 private:
  using Choice = std::vector<const EndpointView*>;

  const EndpointView* FindView(const std::string& endpoint) const {
    const auto it = m_views.find(endpoint);
    return it == m_views.end() ? nullptr : &it->second;
  }

  EndpointView* FindView(const std::string& endpoint) {
    const auto it = m_views.find(endpoint);
    return it == m_views.end() ? nullptr : &it->second;
  }

  bool IsOpen(const EndpointView& view, SteadyTime now) const {
    return view.IsOpen(now, m_init.view_bound);
  }

  bool MayTake(const EndpointView& view, SteadyTime now) const {
    return IsOpen(view, now) &&
           view.in_flight() < view.health().InFlightLimit(now);
  }

  double Score(const EndpointView& view, SteadyTime now) const {
    const double mean = m_mean.At(now, kFirstGuess);
    return view.latency.At(now, mean * kOptimism) * (view.in_flight() + 1);
  }

  /// The better one of two at random; null of none.
  const EndpointView* BetterOfTwo(Choice& choice, SteadyTime now) {
    if (choice.empty()) {
      return nullptr;
    }
    for (size_t i = 0; i < std::min<size_t>(choice.size(), 2); ++i) {
      std::uniform_int_distribution<size_t> any(i, choice.size() - 1);
      std::swap(choice[i], choice[any(m_random)]);
    }
    if (choice.size() == 1) {
      return choice[0];
    }
    const bool is_first = Score(*choice[0], now) <= Score(*choice[1], now);
    return choice[is_first ? 0 : 1];
  }

  const EndpointView* Better(Choice& own, Choice& other, SteadyTime now) {
    const EndpointView* near = BetterOfTwo(own, now);
    const EndpointView* far = BetterOfTwo(other, now);
    if (near == nullptr || far == nullptr) {
      return near == nullptr ? far : near;
    }
    return Score(*far, now) < Score(*near, now) * kOtherZoneFactor ? far : near;
  }

  void Take(EndpointView& view,
            AttemptOutcome outcome,
            Millis latency,
            SteadyTime now) {
    view.Ended();
    if (outcome == AttemptOutcome::kCancelled) {
      return;
    }
    const bool is_failure = IsFailure(outcome);
    auto millis = static_cast<double>(std::max(latency, Millis{1}).count());
    if (is_failure) {
      const double mean = m_mean.At(now, kFirstGuess);
      millis = std::max({millis, mean * kFailurePenalty, kLeastPenalty});
    } else {
      m_mean.Add(millis, now);
    }
    view.latency.Add(millis, now);
    if (view.health().Take(is_failure, m_init, now) && MayEject(view, now)) {
      view.health().Eject(m_init, now);
    }
  }

  /// Whether one more may be set aside. When nearly all fail the fault is
  /// elsewhere, and emptying the service would not help.
  bool MayEject(const EndpointView& view, SteadyTime now) const {
    if (view.health().IsSetAside(now)) {
      return true;  // It counts already.
    }
    const auto open = std::ranges::count_if(
        m_views, [&](auto& item) { return IsOpen(item.second, now); });
    const double most = m_init.max_ejected_share * static_cast<double>(open);
    return EjectedCount(now) + 1 <= most;
  }

  const SelectorInit m_init;
  std::mt19937_64 m_random;
  std::map<std::string, EndpointView> m_views;
  LatencyEstimate m_mean;  ///< Of successes, over the service.
};

Selector::Selector(const SelectorInit& init)
    : m_impl(std::make_unique<Impl>(init)) {}

Selector::~Selector() = default;

void Selector::Update(const model::Endpoint& endpoint,
                      SteadyTime confirmed_at) {
  m_impl->Update(endpoint, confirmed_at);
}

void Selector::ConfirmAll(SteadyTime confirmed_at) {
  m_impl->ConfirmAll(confirmed_at);
}

void Selector::ConfirmOne(const std::string& endpoint,
                          uint64_t incarnation,
                          SteadyTime at) {
  m_impl->ConfirmOne(endpoint, incarnation, at);
}

std::optional<std::string> Selector::Pick(
    const std::vector<Candidate>& candidates,
    const std::string& avoid,
    SteadyTime now,
    bool may_probe) {
  return m_impl->Pick(candidates, avoid, now, may_probe);
}

void Selector::Started(const std::string& endpoint, SteadyTime /*now*/) {
  m_impl->Started(endpoint);
}

void Selector::Finished(const std::string& endpoint,
                        AttemptOutcome outcome,
                        Millis latency,
                        SteadyTime now) {
  m_impl->FinishedByTime(endpoint, outcome, latency, now);
}

void Selector::Finished(const std::string& endpoint,
                        uint64_t incarnation,
                        AttemptOutcome outcome,
                        Millis latency,
                        SteadyTime now) {
  m_impl->Finished(endpoint, incarnation, outcome, latency, now);
}

std::vector<model::Endpoint> Selector::Usable(SteadyTime now) const {
  return m_impl->Usable(now);
}

bool Selector::MaySend(const std::string& endpoint, SteadyTime now) const {
  return m_impl->MaySend(endpoint, now);
}

std::optional<model::Endpoint> Selector::Find(
    const std::string& endpoint) const {
  return m_impl->Find(endpoint);
}

std::vector<std::string> Selector::Ids() const {
  return m_impl->Ids();
}

int Selector::EjectedCount(SteadyTime now) const {
  return m_impl->EjectedCount(now);
}

}  // namespace laurelhall::routing
