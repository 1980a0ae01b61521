#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "laurelhall/net/http_lane.h"

namespace laurelhall::net {

/// Requests to one address over a few connections, so that one slow answer
/// holds up a share of the others and not all of them.
///
/// @remarks As HttpLane.
class HttpLanes {
 public:
  /// @param most Connections at most.
  /// @param depth A further connection is opened only when each other one has
  ///   so many requests, as opening it takes as long as two of them.
  /// @pre most > 0 and depth > 0
  HttpLanes(IoThreads& threads, std::string address, size_t most, size_t depth)
      : m_threads(threads),
        m_address(std::move(address)),
        m_most(most),
        m_depth(depth) {}

  /// As HttpLane::Send(). Requests may overtake each other.
  void Send(HttpRequest request,
            Millis timeout,
            HttpLane::Done done,
            std::function<bool()> may_send = nullptr);

  /// Ends all connections; what waits or runs fails.
  void Close();

 private:
  HttpLane& Shortest();

  IoThreads& m_threads;
  const std::string m_address;
  const size_t m_most;
  const size_t m_depth;
  std::vector<std::shared_ptr<HttpLane>> m_lanes;
};

}  // namespace laurelhall::net
