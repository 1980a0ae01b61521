#include <atomic>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <future>
#include <optional>
#include <stdexcept>
#include <utility>

#include "http_message_p.h"
#include "io_threads_p.h"
#include "laurelhall/net/http.h"
#include "laurelhall/net/io_threads.h"
#include "stream_p.h"

namespace laurelhall::net {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

// Of Fetch(): its caller waits for one answer, not for many.
constexpr int64_t kMaxFetchedBytes = 256LL << 20;

// How long the end of a write may come after the whole answer. Some threads of
// a busy machine take up one event later than another; an endpoint that reads
// no more of a request never lets it end.
constexpr Millis kWriteEnd{250};

Millis TimeLeft(SteadyTime deadline) {
  const auto left = deadline - std::chrono::steady_clock::now();
  return std::max(Millis(0), std::chrono::duration_cast<Millis>(left));
}

// All members but the atomic are touched on the strand alone. Pending reads
// hold the stream and only a weak pointer to the connection, so that dropping
// an idle connection closes it; a running call holds the connection.
class ClientConnection : public HttpConnection {
 public:
  ClientConnection(IoThreads& threads,
                   std::string address,
                   std::shared_ptr<TlsContext> tls)
      : m_context(threads.impl().context),
        m_strand(asio::make_strand(m_context)),
        m_timer(m_strand),
        m_address(std::move(address)),
        m_tls(std::move(tls)) {}

  ~ClientConnection() override {
    if (m_stream != nullptr) {
      asio::post(m_strand, [stream = m_stream] { stream->Close(); });
    }
  }

  void Connect(Millis timeout, std::function<void(bool)> done) override {
    asio::post(m_strand, [self = Self(), timeout, done = std::move(done)] {
      self->StartConnect(timeout, done);
    });
  }

  void Send(HttpRequest request,
            Millis timeout,
            int64_t max_answer_bytes,
            std::function<bool()> before_write,
            std::function<void(HttpResult)> done) override {
    asio::post(m_strand,
               [self = Self(), request = std::move(request), timeout,
                max_answer_bytes, before_write = std::move(before_write),
                done = std::move(done)]() mutable {
                 self->StartCall(std::move(request), timeout, max_answer_bytes,
                                 before_write, std::move(done));
               });
  }

  bool is_reusable() const override { return m_is_reusable; }

  void Close() override {
    asio::post(m_strand, [self = Self()] { self->End(HttpFailure::kBroken); });
  }

 private:
  // One request under way.
  struct Call {
    Call(int64_t max_answer_bytes, bool is_head)
        : decoder(max_answer_bytes, is_head) {}

    ResponseDecoder decoder;
    bool has_written = false;
    std::function<void(HttpResult)> done;
    std::shared_ptr<ClientConnection> self;
  };

  // A request that waits for the write of the one before to end.
  struct NextCall {
    HttpRequest request;
    SteadyTime deadline;
    int64_t max_answer_bytes;
    std::function<bool()> before_write;
    std::function<void(HttpResult)> done;
  };

  std::shared_ptr<ClientConnection> Self() {
    return std::static_pointer_cast<ClientConnection>(shared_from_this());
  }

  // A wait outlives the calls that end in time and serves the later ones, which
  // spares each call to set and cancel one.
  void StartTimer(Millis timeout, HttpFailure failure) {
    m_deadline = std::chrono::steady_clock::now() + timeout;
    m_failure_if_late = failure;
    if (!m_is_timer_set || m_timer.expiry() > *m_deadline) {
      SetTimer();
    }
  }

  void StopTimer() { m_deadline.reset(); }

  void SetTimer() {
    m_is_timer_set = true;
    m_timer.expires_at(*m_deadline);
    m_timer.async_wait([weak = weak_from_this()](ErrorCode error) {
      const auto self = std::static_pointer_cast<ClientConnection>(weak.lock());
      if (!error && self != nullptr) {
        self->OnTimer();
      }
    });
  }

  void OnTimer() {
    m_is_timer_set = false;
    if (!m_deadline) {
      return;
    }
    if (*m_deadline <= std::chrono::steady_clock::now()) {
      End(m_failure_if_late);
    } else {
      SetTimer();
    }
  }

  void StartConnect(Millis timeout, const std::function<void(bool)>& done) {
    tcp::endpoint endpoint;
    try {
      endpoint = ParseAddress(m_address);
    } catch (const std::system_error&) {
      done(false);
      return;
    }
    m_on_connected = done;
    StartTimer(timeout, HttpFailure::kConnect);
    m_socket.emplace(m_strand);
    m_socket->async_connect(endpoint,
                            [self = Self(), endpoint](ErrorCode error) {
                              self->OnTcpConnected(error, endpoint);
                            });
  }

  void OnTcpConnected(ErrorCode error, const tcp::endpoint& endpoint) {
    if (error || m_on_connected == nullptr) {
      End(HttpFailure::kConnect);
      return;
    }
    m_stream = MakeStream(std::move(*m_socket), m_strand, m_tls,
                          endpoint.address().to_string());
    m_socket.reset();
    m_stream->Handshake([self = Self()](ErrorCode failed) {
      if (failed || self->m_on_connected == nullptr) {
        self->End(HttpFailure::kConnect);
        return;
      }
      self->StopTimer();
      self->m_is_open = true;
      self->m_is_reusable = true;
      self->Read();
      std::exchange(self->m_on_connected, nullptr)(true);
    });
  }

  void StartCall(HttpRequest request,
                 Millis timeout,
                 int64_t max_answer_bytes,
                 const std::function<bool()>& before_write,
                 std::function<void(HttpResult)> done) {
    if (!m_is_open || m_call != nullptr || m_next_call != nullptr) {
      done({HttpFailure::kConnect, false, {}});
      return;
    }
    m_is_reusable = false;
    if (m_is_answered_early) {
      const SteadyTime deadline = std::chrono::steady_clock::now() + timeout;
      m_next_call = std::make_unique<NextCall>(
          NextCall{std::move(request), deadline, max_answer_bytes, before_write,
                   std::move(done)});
      if (deadline < *m_deadline) {
        StartTimer(timeout, HttpFailure::kConnect);
      }
      return;
    }
    m_call = std::make_unique<Call>(max_answer_bytes, request.method == "HEAD");
    m_call->done = std::move(done);
    m_call->self = Self();
    StartTimer(timeout, HttpFailure::kTimeout);
    std::string head = EncodeRequestHead(request, m_address);
    if (before_write != nullptr && !before_write()) {
      // Nothing was sent, so the connection is as good as before.
      StopTimer();
      m_is_reusable = true;
      FinishCall({HttpFailure::kConnect, false, {}});
      return;
    }
    m_call->has_written = true;
    m_is_writing = true;
    m_stream->Write(
        std::move(head), std::move(request.body),
        [self = Self()](ErrorCode error) { self->OnWritten(error); });
  }

  void OnWritten(ErrorCode error) {
    m_is_writing = false;
    // An answer may still be read: the endpoint may have refused the rest of
    // the body. Reading finds the end.
    m_is_write_failed = bool(error);
    if (!std::exchange(m_is_answered_early, false)) {
      return;
    }
    if (error) {
      End(HttpFailure::kConnect);
      return;
    }
    StopTimer();
    Read();
    if (const auto next = std::exchange(m_next_call, nullptr)) {
      StartCall(std::move(next->request), TimeLeft(next->deadline),
                next->max_answer_bytes, next->before_write,
                std::move(next->done));
    }
  }

  void Read() {
    m_stream->Read([weak = weak_from_this()](ErrorCode error,
                                             std::string_view bytes) {
      const auto self = std::static_pointer_cast<ClientConnection>(weak.lock());
      if (self != nullptr) {
        self->OnRead(error, bytes);
      }
    });
  }

  void OnRead(ErrorCode error, std::string_view bytes) {
    // Bytes that nobody asked for belong to no request of this connection.
    if (error || m_call == nullptr || !m_call->has_written) {
      End(HttpFailure::kBroken);
      return;
    }
    m_bytes.append(bytes);
    const DecodeStep step = m_call->decoder.Feed(m_bytes);
    if (step == DecodeStep::kBad) {
      End(m_call->decoder.is_too_large() ? HttpFailure::kTooLarge
                                         : HttpFailure::kBroken);
    } else if (step == DecodeStep::kDone) {
      FinishAnswer();
    } else {
      Read();
    }
  }

  void FinishAnswer() {
    StopTimer();
    const bool may_go_on =
        m_call->decoder.keep_alive() && m_bytes.empty() && !m_is_write_failed;
    HttpResult result{HttpFailure::kNone, true,
                      std::move(m_call->decoder.response())};
    if (may_go_on && m_is_writing) {
      // The end of the write is often only not known here yet: the next call
      // waits for it, rather than for a new connection.
      m_is_reusable = true;
      m_is_answered_early = true;
      StartTimer(kWriteEnd, HttpFailure::kConnect);
    } else if (may_go_on) {
      m_is_reusable = true;
      Read();
    } else {
      CloseStream();
    }
    FinishCall(std::move(result));
  }

  void FinishCall(HttpResult result) {
    const std::unique_ptr<Call> ended = std::move(m_call);
    ended->done(std::move(result));
  }

  void End(HttpFailure failure) {
    StopTimer();
    // A request that was given up must not come to the endpoint later, when its
    // caller may long have done something else.
    const bool is_given_up = m_call != nullptr && m_call->has_written;
    if (is_given_up && m_stream != nullptr) {
      m_stream->Reset();
    }
    CloseStream();
    if (m_on_connected != nullptr) {
      std::exchange(m_on_connected, nullptr)(false);
    }
    if (const auto next = std::exchange(m_next_call, nullptr)) {
      next->done({HttpFailure::kConnect, false, {}});
    }
    if (m_call != nullptr) {
      FinishCall({failure, m_call->has_written, {}});
    }
  }

  void CloseStream() {
    m_is_answered_early = false;
    m_is_open = false;
    m_is_reusable = false;
    if (m_socket.has_value()) {
      ErrorCode ignored;
      m_socket->close(ignored);
    }
    if (m_stream != nullptr) {
      m_stream->Close();
    }
  }

  asio::io_context& m_context;
  Strand m_strand;
  asio::steady_timer m_timer;
  bool m_is_timer_set = false;
  std::optional<SteadyTime> m_deadline;  // Of what is under way.
  HttpFailure m_failure_if_late = HttpFailure::kTimeout;
  std::string m_address;
  std::shared_ptr<TlsContext> m_tls;
  std::optional<tcp::socket> m_socket;  // Until it is connected.
  std::shared_ptr<Stream> m_stream;
  std::function<void(bool)> m_on_connected;
  bool m_is_open = false;
  bool m_is_writing = false;
  bool m_is_write_failed = false;
  std::string m_bytes;
  std::unique_ptr<Call> m_call;
  // The last answer was whole before its request's write was known to be over.
  bool m_is_answered_early = false;
  std::unique_ptr<NextCall> m_next_call;
  std::atomic<bool> m_is_reusable{false};
};

}  // namespace

std::shared_ptr<HttpConnection> HttpConnection::Make(IoThreads& threads,
                                                     std::string address,
                                                     const TlsInit& tls) {
  return std::make_shared<ClientConnection>(
      threads, std::move(address),
      TlsContext::Make(tls, TlsContext::Side::kClient));
}

HttpResponse Fetch(const std::string& address,
                   const HttpRequest& request,
                   Millis timeout,
                   const TlsInit& tls) {
  const SteadyTime deadline = std::chrono::steady_clock::now() + timeout;
  IoThreads threads(1);
  const auto connection = HttpConnection::Make(threads, address, tls);
  // Shared, because a promise must outlive its set_value().
  const auto connected = std::make_shared<std::promise<bool>>();
  connection->Connect(timeout,
                      [connected](bool is_up) { connected->set_value(is_up); });
  if (!connected->get_future().get()) {
    throw std::runtime_error("no connection to " + address);
  }
  const auto answered = std::make_shared<std::promise<HttpResult>>();
  connection->Send(request, TimeLeft(deadline), kMaxFetchedBytes, nullptr,
                   [answered](HttpResult result) {
                     answered->set_value(std::move(result));
                   });
  HttpResult result = answered->get_future().get();
  if (result.failure != HttpFailure::kNone) {
    throw std::runtime_error("no whole answer from " + address);
  }
  return std::move(result.response);
}

}  // namespace laurelhall::net
