#pragma once

#include "endpoint_health_p.h"
#include "latency_estimate_p.h"
#include "laurelhall/model/endpoint.h"

namespace laurelhall::routing {

/// What one entry host knows of one endpoint.
///
/// @remarks Not thread-safe.
class EndpointView {
 public:
  /// Takes in a transition, unless it is an older one.
  void Update(const model::Endpoint& endpoint, SteadyTime confirmed_at);

  void Confirm(SteadyTime at);

  const model::Endpoint& endpoint() const { return m_endpoint; }
  EndpointHealth& health() { return m_health; }
  const EndpointHealth& health() const { return m_health; }

  /// Ready, and confirmed within the bound.
  bool IsOpen(SteadyTime now, Millis view_bound) const;

  /// Gone for longer than a transition can be delayed: it may be forgotten.
  bool MayForget(SteadyTime now) const;

  /// Whether the attempt belongs to the present incarnation.
  bool IsOfThisLife(SteadyTime started_at) const;

  void Started() { m_in_flight++; }
  void Ended() { m_in_flight -= m_in_flight > 0 ? 1 : 0; }
  int in_flight() const { return m_in_flight; }

  LatencyEstimate latency;

 private:
  model::Endpoint m_endpoint;
  bool m_has_left = false;  ///< In this incarnation; it stays so.
  SteadyTime m_left_at{};
  SteadyTime m_confirmed_at{};
  SteadyTime m_alive_since{};  ///< When its incarnation was taken in.
  int m_in_flight = 0;
  EndpointHealth m_health;
};

}  // namespace laurelhall::routing
