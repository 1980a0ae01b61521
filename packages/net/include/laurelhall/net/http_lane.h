#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "laurelhall/net/http.h"

namespace laurelhall::net {

/// Requests to one address, one after the other over a connection that is kept.
///
/// @remarks For one of the IoThreads, of which there must be but one. After a
///   request without an answer the connection is dropped: what came over it
///   later could not be told from the next answer.
class HttpLane : public std::enable_shared_from_this<HttpLane> {
 public:
  using Done = std::function<void(HttpResult)>;

  static std::shared_ptr<HttpLane> Make(IoThreads& threads,
                                        std::string address);

  /// Queues a request.
  ///
  /// @param timeout From when its turn comes, connecting included.
  /// @param done Called once, later.
  /// @param may_send Asked right before the request is written, if given; a
  ///   request that it refuses fails with nothing sent.
  void Send(HttpRequest request,
            Millis timeout,
            Done done,
            std::function<bool()> may_send = nullptr);

  /// Ends the connection; what waits or runs fails.
  void Close();

  /// Requests that wait or are under way.
  size_t length() const { return m_waiting.size(); }

 private:
  struct Waiting {
    HttpRequest request;
    Millis timeout{0};
    Done done;
    std::function<bool()> may_send;
  };

  HttpLane(IoThreads& threads, std::string address)
      : m_threads(threads), m_address(std::move(address)) {}

  void Next();
  void SendFirst(Millis left);
  void Finish(HttpResult result);

  IoThreads& m_threads;
  const std::string m_address;
  std::shared_ptr<HttpConnection> m_connection;
  std::deque<Waiting> m_waiting;  // The first is under way when m_is_busy.
  bool m_is_busy = false;
};

}  // namespace laurelhall::net
