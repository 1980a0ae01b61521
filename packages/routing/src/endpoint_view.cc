#include "endpoint_view_p.h"

#include <algorithm>

namespace laurelhall::routing {
namespace {

constexpr Millis kForgetAfter{std::chrono::minutes(10)};

}  // namespace

void EndpointView::Update(const model::Endpoint& endpoint,
                          SteadyTime confirmed_at) {
  const bool is_known = !m_endpoint.id.empty();
  if (is_known && endpoint.changed_at_index < m_endpoint.changed_at_index) {
    return;
  }
  if (!is_known || endpoint.incarnation != m_endpoint.incarnation) {
    *this = EndpointView{};
    m_alive_since = confirmed_at;
  }
  m_endpoint = endpoint;
  m_left_at = m_has_left ? m_left_at : confirmed_at;
  m_has_left |= endpoint.state != model::EndpointState::kReady;
  if (m_has_left && endpoint.state == model::EndpointState::kReady) {
    m_endpoint.state = model::EndpointState::kLeaving;
  }
  Confirm(confirmed_at);
}

void EndpointView::Confirm(SteadyTime at) {
  m_confirmed_at = std::max(m_confirmed_at, at);
}

bool EndpointView::IsOpen(SteadyTime now, Millis view_bound) const {
  return !m_has_left && !m_endpoint.is_host_away &&
         now - m_confirmed_at <= view_bound;
}

bool EndpointView::MayForget(SteadyTime now) const {
  return m_endpoint.state == model::EndpointState::kGone &&
         now - m_left_at > kForgetAfter;
}

bool EndpointView::IsOfThisLife(SteadyTime started_at) const {
  // Latencies come in whole milliseconds, cut off.
  return started_at + Millis{1} >= m_alive_since;
}

}  // namespace laurelhall::routing
