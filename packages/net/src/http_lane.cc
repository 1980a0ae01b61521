#include "laurelhall/net/http_lane.h"

#include <utility>

#include "laurelhall/net/io_threads.h"

namespace laurelhall::net {

namespace {

// Of one answer: lists of some hundreds of tasks.
constexpr int64_t kMaxAnswerBytes = 4 << 20;

}  // namespace

std::shared_ptr<HttpLane> HttpLane::Make(IoThreads& threads,
                                         std::string address) {
  return std::shared_ptr<HttpLane>(new HttpLane(threads, std::move(address)));
}

void HttpLane::Send(HttpRequest request,
                    Millis timeout,
                    Done done,
                    std::function<bool()> may_send) {
  m_waiting.push_back(
      {std::move(request), timeout, std::move(done), std::move(may_send)});
  if (!m_is_busy) {
    Next();
  }
}

void HttpLane::Next() {
  if (m_waiting.empty()) {
    return;
  }
  m_is_busy = true;
  const Millis timeout = m_waiting.front().timeout;
  if (m_connection != nullptr && m_connection->is_reusable()) {
    SendFirst(timeout);
    return;
  }
  m_connection = HttpConnection::Make(m_threads, m_address);
  const SteadyTime begun = m_threads.timers().Now();
  m_connection->Connect(
      timeout, [self = shared_from_this(), begun, timeout](bool is_connected) {
        const auto taken =
            std::chrono::ceil<Millis>(self->m_threads.timers().Now() - begun);
        if (!is_connected || taken >= timeout || self->m_waiting.empty()) {
          HttpResult result;
          result.failure = HttpFailure::kConnect;
          self->m_connection.reset();
          self->Finish(std::move(result));
          return;
        }
        self->SendFirst(timeout - taken);
      });
}

void HttpLane::SendFirst(Millis left) {
  Waiting& first = m_waiting.front();
  m_connection->Send(std::move(first.request), left, kMaxAnswerBytes,
                     std::move(first.may_send),
                     [self = shared_from_this(),
                      begun = m_threads.timers().Now()](HttpResult result) {
                       result.took = std::chrono::floor<Millis>(
                           self->m_threads.timers().Now() - begun);
                       if (result.failure != HttpFailure::kNone &&
                           self->m_connection != nullptr) {
                         self->m_connection->Close();
                         self->m_connection.reset();
                       }
                       self->Finish(std::move(result));
                     });
}

void HttpLane::Finish(HttpResult result) {
  m_is_busy = false;
  if (m_waiting.empty()) {
    return;  // Closed meanwhile.
  }
  const Done done = std::move(m_waiting.front().done);
  m_waiting.pop_front();
  done(std::move(result));
  if (!m_is_busy) {
    Next();
  }
}

void HttpLane::Close() {
  if (m_connection != nullptr) {
    m_connection->Close();
    m_connection.reset();
  }
  const auto dropped = std::exchange(m_waiting, {});
  for (const Waiting& waiting : dropped) {
    HttpResult result;
    result.failure = HttpFailure::kBroken;
    result.may_have_sent = m_is_busy;
    m_threads.Post([done = waiting.done, result] { done(result); });
  }
}

}  // namespace laurelhall::net
