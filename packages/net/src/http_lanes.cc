#include "laurelhall/net/http_lanes.h"

#include <algorithm>
#include <utility>

namespace laurelhall::net {

HttpLane& HttpLanes::Shortest() {
  const auto shortest = std::min_element(
      m_lanes.begin(), m_lanes.end(),
      [](const auto& a, const auto& b) { return a->length() < b->length(); });
  const bool is_short =
      shortest != m_lanes.end() && (*shortest)->length() < m_depth;
  if (is_short || m_lanes.size() == m_most) {
    return **shortest;
  }
  return *m_lanes.emplace_back(HttpLane::Make(m_threads, m_address));
}

void HttpLanes::Send(HttpRequest request,
                     Millis timeout,
                     HttpLane::Done done,
                     std::function<bool()> may_send) {
  Shortest().Send(std::move(request), timeout, std::move(done),
                  std::move(may_send));
}

void HttpLanes::Close() {
  for (const auto& lane : m_lanes) {
    lane->Close();
  }
  m_lanes.clear();
}

}  // namespace laurelhall::net
