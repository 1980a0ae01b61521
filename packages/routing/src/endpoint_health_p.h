#pragma once

#include "laurelhall/base/time.h"
#include "laurelhall/routing/selector.h"

namespace laurelhall::routing {

/// Whether an endpoint is set aside for its failures.
enum class HealthState {
  kHealthy,
  kEjected,  ///< Gets nothing until its time is over.
  kProbing,  ///< Gets one request at a time.
  kRamping,  ///< Takes up work step by step.
  kCount,
};

/// Failures of one endpoint and what follows from them.
///
/// kHealthy --failures--> kEjected --time--> kProbing --successes--> kRamping
/// --time--> kHealthy; a failure in kProbing or kRamping leads back to
/// kEjected for twice the time.
///
/// @remarks Not thread-safe.
class EndpointHealth {
 public:
  /// Takes in an outcome.
  ///
  /// @returns Whether failures call for ejection; the caller decides by the
  ///   share of the service that is set aside already.
  bool Take(bool is_failure, const SelectorInit& init, SteadyTime now);

  /// Sets the endpoint aside, longer each time.
  void Eject(const SelectorInit& init, SteadyTime now);

  HealthState StateAt(SteadyTime now) const;

  /// Set aside now: ejected or on probe.
  bool IsSetAside(SteadyTime now) const;

  /// Requests that may be in flight at once, by state.
  int InFlightLimit(SteadyTime now) const;

 private:
  void Count(bool is_failure, SteadyTime now);
  bool HasFailed(const SelectorInit& init) const;
  void Recover(SteadyTime now);

  HealthState m_state = HealthState::kHealthy;
  SteadyTime m_since{};          ///< Of kRamping.
  SteadyTime m_ejected_until{};  ///< Of kEjected.
  int m_ejections = 0;           ///< Recent ones; the next lasts longer.
  int m_consecutive_failures = 0;
  int m_probe_successes = 0;
  double m_samples = 0;   ///< Halved at the end of each window.
  double m_failures = 0;  ///< Among `m_samples`.
  SteadyTime m_window_start{};
};

}  // namespace laurelhall::routing
