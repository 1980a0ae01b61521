#include <algorithm>
#include <atomic>
#include <boost/asio/bind_executor.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <future>
#include <map>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>

#include "http_message_p.h"
#include "io_threads_p.h"
#include "laurelhall/net/call_gate.h"
#include "laurelhall/net/http.h"
#include "stream_p.h"

namespace laurelhall::net {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

// Above max_connections this many more may be told so before they are closed.
constexpr int kRefusingConnections = 64;
constexpr Millis kAcceptRetry{50};
// Until a connection whose time is over, but which has bytes that are not read
// yet, is looked at again. They are read first.
constexpr Millis kUnreadLook{10};
// Between two looks at what a server that is to end has left.
constexpr Millis kRestLook{5};
// Connections accepted in one go, before those that are open get their turn.
constexpr int kMostAccepted = 48;
// As many as the kernel lets wait (SOMAXCONN).
constexpr int kMostWaiting = 4096;

class ServerConnection;

// The open connections of one server, which keeps them alive.
class ConnectionSet {
 public:
  uint64_t Add(std::shared_ptr<ServerConnection> connection) {
    const std::lock_guard lock(m_mutex);
    if (!m_is_closed) {
      m_connections[m_next_id] = std::move(connection);
    }
    return m_next_id++;
  }

  void Remove(uint64_t id) {
    std::shared_ptr<ServerConnection> removed;  // Dropped without the lock.
    const std::lock_guard lock(m_mutex);
    const auto found = m_connections.find(id);
    if (found != m_connections.end()) {
      removed = std::move(found->second);
      m_connections.erase(found);
    }
  }

  /// Lets go of all, now and later.
  void Clear() {
    std::map<uint64_t, std::shared_ptr<ServerConnection>> dropped;
    const std::lock_guard lock(m_mutex);
    m_is_closed = true;
    dropped.swap(m_connections);
  }

  std::vector<std::shared_ptr<ServerConnection>> All() const {
    const std::lock_guard lock(m_mutex);
    std::vector<std::shared_ptr<ServerConnection>> all;
    for (const auto& [id, connection] : m_connections) {
      all.push_back(connection);
    }
    return all;
  }

 private:
  mutable std::mutex m_mutex;  // Guards the three below.
  bool m_is_closed = false;
  uint64_t m_next_id = 0;
  std::map<uint64_t, std::shared_ptr<ServerConnection>> m_connections;
};

// What connections share; outlives the server while one of them closes.
struct ServerShared {
  ServerShared(const HttpServerInit& server_init, HttpHandler& http_handler)
      : init(server_init), handler(http_handler) {}

  const HttpServerInit init;
  HttpHandler& handler;  // Called through the gate only.
  CallGate gate;
  ConnectionSet connections;
  std::atomic<bool> is_closing_after_answers{false};
  std::atomic<int> connection_count{0};  // But for those that linger.
  std::atomic<int> lingering_count{0};
};

// One connection of a caller. All members are touched on its strand alone.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(std::shared_ptr<ServerShared> shared,
                   std::shared_ptr<Stream> stream,
                   std::string peer)
      : m_shared(std::move(shared)),
        m_stream(std::move(stream)),
        m_timer(m_stream->strand()),
        m_peer(std::move(peer)) {
    ++m_shared->connection_count;
  }
  ~ServerConnection() {
    --(m_is_lingering ? m_shared->lingering_count : m_shared->connection_count);
  }

  Strand strand() const { return m_stream->strand(); }

  void Start(bool is_refused) {
    m_id = m_shared->connections.Add(shared_from_this());
    StartTimer(m_shared->init.header_timeout);
    m_stream->Handshake(
        [self = shared_from_this(), is_refused](ErrorCode error) {
          if (error) {
            self->Close();
          } else if (is_refused) {
            self->Refuse({503, "too many connections"});
          } else {
            self->m_client_name = self->m_stream->PeerCommonName();
            self->NextRequest();
            self->Read();
          }
        });
  }

  void Respond(HttpResponse response) {
    if (m_phase != Phase::kRunning) {
      return;
    }
    const bool keep_alive = m_decoder->keep_alive() && !m_is_eof &&
                            !m_shared->is_closing_after_answers;
    WriteResponse(std::move(response), keep_alive);
  }

  void OnGone(std::function<void()> callback) {
    if (m_phase == Phase::kClosed || m_is_eof) {
      callback();
    } else if (m_phase == Phase::kRunning) {
      m_on_gone = std::move(callback);
    }
  }

  // Whether a request has come, also one that was not read for want of time, or
  // its answer may still be on its way.
  bool IsBusy() const {
    const bool is_quiet = m_phase == Phase::kIdle || m_phase == Phase::kClosed;
    return !is_quiet || m_stream->HasUnread();
  }

  void Close() {
    if (m_phase == Phase::kClosed) {
      return;
    }
    End();
    m_stream->Close();
    TellGone();
  }

 private:
  enum class Phase {
    kIdle,  // No byte of the next request yet.
    kHeader,
    kBody,
    kRunning,  // The handler has it.
    kWriting,
    kLingering,  // Answered for the last time; until the caller closes, too.
    kClosed,
  };

  void End() {
    m_phase = Phase::kClosed;
    m_timer.cancel();
    m_shared->connections.Remove(m_id);
  }

  void StartTimer(Millis timeout) {
    m_has_looked_again = false;
    SetTimer(timeout);
  }

  void SetTimer(Millis timeout) {
    m_timer.expires_after(timeout);
    m_timer.async_wait([weak = weak_from_this()](ErrorCode error) {
      const auto self = weak.lock();
      if (!error && self != nullptr) {
        self->OnTimeout();
      }
    });
  }

  void OnTimeout() {
    // A later deadline may have replaced the one that was already queued.
    if (m_timer.expiry() > std::chrono::steady_clock::now()) {
      return;
    }
    if (IsReading() && !m_has_looked_again && m_stream->HasUnread()) {
      // The delay is this thread's, not the caller's: what came in time counts.
      m_has_looked_again = true;
      SetTimer(kUnreadLook);
    } else if (m_phase == Phase::kHeader || m_phase == Phase::kBody) {
      Refuse({408, "the request did not arrive in time"});
    } else if (m_phase != Phase::kRunning && m_phase != Phase::kLingering) {
      Close();
    }
  }

  bool IsReading() const {
    return m_phase == Phase::kIdle || m_phase == Phase::kHeader ||
           m_phase == Phase::kBody;
  }

  // A connection that was told that it stays is never ended by draining: a
  // request may be on its way, and is answered as the last one.
  void NextRequest() {
    m_decoder.emplace(static_cast<size_t>(m_shared->init.max_header_bytes));
    m_phase = Phase::kIdle;
    StartTimer(m_shared->init.idle_timeout);
  }

  // One read is pending at all times, so that a caller that goes away while
  // its request runs is seen; it pauses only when too much has come unasked.
  void Read() {
    if (m_is_reading || m_is_eof || m_phase == Phase::kClosed) {
      return;
    }
    m_is_reading = true;
    m_stream->Read(
        [self = shared_from_this()](ErrorCode error, std::string_view bytes) {
          self->m_is_reading = false;
          self->OnRead(error, bytes);
        });
  }

  void OnRead(ErrorCode error, std::string_view bytes) {
    if (m_phase == Phase::kClosed || m_phase == Phase::kLingering) {
      return;
    }
    if (error) {
      OnReadEnd(error);
      return;
    }
    m_bytes.append(bytes);
    if (m_phase == Phase::kIdle) {
      m_phase = Phase::kHeader;
      StartTimer(m_shared->init.header_timeout);
    }
    Decode();
    const auto limit = static_cast<size_t>(m_shared->init.max_header_bytes);
    if (m_phase != Phase::kRunning || m_bytes.size() <= limit) {
      Read();
    }
  }

  void OnReadEnd(ErrorCode error) {
    if (m_phase == Phase::kRunning && error == asio::error::eof) {
      // It may have closed one way only: an answer is still tried.
      m_is_eof = true;
      TellGone();
    } else if (m_phase == Phase::kWriting && error == asio::error::eof) {
      m_is_eof = true;
    } else {
      Close();
    }
  }

  void TellGone() {
    if (auto callback = std::exchange(m_on_gone, nullptr)) {
      callback();
    }
  }

  void Decode() {
    while (m_phase == Phase::kHeader || m_phase == Phase::kBody) {
      const DecodeStep step = m_decoder->Feed(m_bytes);
      if (step == DecodeStep::kNeedMore) {
        return;
      }
      if (step == DecodeStep::kBad) {
        Refuse(m_decoder->error());
      } else if (step == DecodeStep::kDone) {
        Run();
      } else {
        OnHead();
      }
    }
  }

  void OnHead() {
    HttpRequest& head = m_decoder->request();
    head.peer = m_peer;
    head.client_name = m_client_name;
    int64_t limit = 0;
    const bool is_open = m_shared->gate.Enter(
        [&] { limit = m_shared->handler.MaxBodyBytes(head); });
    if (!is_open) {
      Close();
      return;
    }
    const DecodeStep step = m_decoder->AllowBody(limit);
    if (step == DecodeStep::kBad) {
      Refuse(m_decoder->error());
    } else if (step == DecodeStep::kDone) {
      Run();
    } else {
      m_phase = Phase::kBody;
      StartTimer(m_shared->init.body_timeout);
      WriteContinue();
    }
  }

  void WriteContinue() {
    if (!m_decoder->expects_continue() || !m_bytes.empty()) {
      return;
    }
    m_is_writing_continue = true;
    m_stream->Write(
        "HTTP/1.1 100 Continue\r\n\r\n", {},
        [self = shared_from_this()](ErrorCode) {
          self->m_is_writing_continue = false;
          if (auto later = std::exchange(self->m_after_continue, nullptr)) {
            later();
          }
        });
  }

  void Run();

  void Refuse(const RequestError& error) {
    WriteResponse(ProblemResponse(error), false);
  }

  void WriteResponse(HttpResponse response, bool keep_alive) {
    m_phase = Phase::kWriting;
    m_on_gone = nullptr;
    const bool is_head =
        m_decoder.has_value() && m_decoder->request().method == "HEAD";
    std::string head = EncodeResponseHead(response, keep_alive);
    auto write = [self = shared_from_this(), head = std::move(head),
                  body = is_head ? std::string() : std::move(response.body),
                  keep_alive] { self->Write(head, body, keep_alive); };
    StartTimer(m_shared->init.body_timeout);
    if (m_is_writing_continue) {
      m_after_continue = std::move(write);
    } else {
      write();
    }
  }

  void Write(const std::string& head,
             const std::string& body,
             bool keep_alive) {
    m_stream->Write(head, body,
                    [self = shared_from_this(), keep_alive](ErrorCode error) {
                      self->OnWritten(error, keep_alive);
                    });
  }

  void OnWritten(ErrorCode error, bool keep_alive) {
    if (m_phase == Phase::kClosed) {
      return;
    }
    if (error) {
      Close();
    } else if (!keep_alive || m_is_eof) {
      Linger();
    } else {
      NextRequest();
      Continue();
    }
  }

  // Stays among the open ones: a process that ended now could reset the answer.
  void Linger() {
    m_phase = Phase::kLingering;
    m_is_lingering = true;
    ++m_shared->lingering_count;
    --m_shared->connection_count;  // Its place is free for the next caller.
    m_timer.cancel();
    m_stream->CloseGracefully([weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->End();
      }
    });
  }

  // Takes up bytes of the next request that came before the answer.
  void Continue() {
    if (m_phase != Phase::kIdle) {
      return;
    }
    if (!m_bytes.empty()) {
      m_phase = Phase::kHeader;
      StartTimer(m_shared->init.header_timeout);
      Decode();
    }
    Read();
  }

  std::shared_ptr<ServerShared> m_shared;
  std::shared_ptr<Stream> m_stream;
  asio::steady_timer m_timer;
  uint64_t m_id = 0;
  std::string m_peer;
  std::string m_client_name;
  Phase m_phase = Phase::kIdle;
  bool m_is_reading = false;
  bool m_is_eof = false;
  bool m_is_lingering = false;  // Since the last answer.
  bool m_has_looked_again = false;
  bool m_is_writing_continue = false;
  std::function<void()> m_after_continue;
  std::function<void()> m_on_gone;
  std::string m_bytes;  // Read and not decoded yet.
  std::optional<RequestDecoder> m_decoder;
};

// Holds its connection weakly: it may be kept for longer than the server.
class Exchange : public HttpExchange {
 public:
  Exchange(const std::shared_ptr<ServerConnection>& connection,
           HttpRequest request)
      : m_connection(connection), m_request(std::move(request)) {}

  ~Exchange() override {
    if (!m_is_answered.exchange(true)) {
      OnStrand([](ServerConnection& open) { open.Close(); });
    }
  }

  const HttpRequest& request() const override { return m_request; }

  void Respond(HttpResponse response) override {
    if (!m_is_answered.exchange(true)) {
      OnStrand(
          [response = std::move(response)](ServerConnection& open) mutable {
            open.Respond(std::move(response));
          });
    }
  }

  void OnGone(std::function<void()> callback) override {
    const bool is_open =
        OnStrand([callback](ServerConnection& open) { open.OnGone(callback); });
    if (!is_open) {
      callback();
    }
  }

 private:
  template <typename Act>
  bool OnStrand(Act act) {
    auto connection = m_connection.lock();
    if (connection == nullptr) {
      return false;
    }
    const Strand strand = connection->strand();
    asio::dispatch(strand,
                   [connection = std::move(connection),
                    act = std::move(act)]() mutable { act(*connection); });
    return true;
  }

  std::weak_ptr<ServerConnection> m_connection;
  HttpRequest m_request;
  std::atomic<bool> m_is_answered{false};
};

void ServerConnection::Run() {
  m_phase = Phase::kRunning;
  m_timer.cancel();
  auto exchange = std::make_shared<Exchange>(shared_from_this(),
                                             std::move(m_decoder->request()));
  // The method is needed once more, for the answer to HEAD.
  m_decoder->request().method = exchange->request().method;
  m_shared->gate.Enter(
      [&] { m_shared->handler.OnRequest(std::move(exchange)); });
}

// Counts what the connections of one look say; done when the last is dropped.
class RestCount {
 public:
  explicit RestCount(ServerRest rest) : m_rest(rest) {}
  RestCount(const RestCount&) = delete;
  RestCount& operator=(const RestCount&) = delete;
  ~RestCount() { m_done.set_value(m_rest); }

  std::future<ServerRest> done() { return m_done.get_future(); }

  void Add(bool is_busy) {
    const std::lock_guard lock(m_mutex);
    ++(is_busy ? m_rest.busy : m_rest.idle);
  }

 private:
  std::mutex m_mutex;  // Guards the rest.
  ServerRest m_rest;
  std::promise<ServerRest> m_done;
};

}  // namespace

class HttpServer::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(IoThreads& threads, const HttpServerInit& init, HttpHandler& handler)
      : m_context(threads.impl().context),
        m_strand(asio::make_strand(m_context)),
        m_acceptor(m_strand),
        m_retry(m_strand),
        m_tls(TlsContext::Make(init.tls, TlsContext::Side::kServer)),
        m_shared(std::make_shared<ServerShared>(init, handler)) {
    Listen(ParseAddress(init.address));
  }

  void Start() {
    asio::post(m_strand, [self = shared_from_this()] { self->Accept(); });
  }

  const std::string& address() const { return m_address; }
  int connection_count() const { return m_shared->connection_count; }

  void CloseAfterAnswers() { m_shared->is_closing_after_answers = true; }

  void Drain() {
    m_shared->is_closing_after_answers = true;
    asio::post(m_strand, [self = shared_from_this()] { self->EndListening(); });
  }

  ServerRest Rest() {
    // Shared, because a promise must outlive its set_value().
    const auto begun =
        std::make_shared<std::promise<std::future<ServerRest>>>();
    asio::post(m_strand, [self = shared_from_this(), begun] {
      begun->set_value(self->CountRest());
    });
    return begun->get_future().get().get();
  }

  void Stop() {
    m_shared->is_closing_after_answers = true;
    asio::post(m_strand, [self = shared_from_this()] {
      self->m_is_stopped = true;
      self->CloseListener();
    });
    ForEachConnection([](ServerConnection& open) { open.Close(); });
    m_shared->connections.Clear();
    m_shared->gate.Close();
  }

 private:
  void Listen(const tcp::endpoint& endpoint) {
    m_acceptor.open(endpoint.protocol());
    m_acceptor.set_option(tcp::acceptor::reuse_address(true));
    m_acceptor.bind(endpoint);
    m_acceptor.listen();
    m_acceptor.non_blocking(true);
    m_address = FormatAddress(m_acceptor.local_endpoint());
  }

  // Accepts what waits first: the kernel resets what a closed listener leaves.
  void EndListening() {
    if (!m_acceptor.is_open()) {
      return;
    }
    m_is_ending = true;
    if (AcceptWaiting(kMostWaiting)) {
      CloseListener();
    } else {
      RetryLater();
    }
  }

  void CloseListener() {
    ErrorCode ignored;
    m_acceptor.close(ignored);
    m_retry.cancel();
  }

  std::future<ServerRest> CountRest() {
    const auto connections = m_shared->connections.All();
    ServerRest rest;
    rest.is_listening = m_acceptor.is_open();
    // Those that are not in the set are about to begin, or to be let go of.
    const int open = m_shared->connection_count + m_shared->lingering_count;
    rest.busy = std::max(0, open - static_cast<int>(connections.size()));
    const auto count = std::make_shared<RestCount>(rest);
    std::future<ServerRest> done = count->done();
    for (const auto& connection : connections) {
      asio::post(connection->strand(),
                 [connection, count] { count->Add(connection->IsBusy()); });
    }
    return done;
  }

  void ForEachConnection(const std::function<void(ServerConnection&)>& act) {
    for (const auto& connection : m_shared->connections.All()) {
      asio::post(connection->strand(), [connection, act] { act(*connection); });
    }
  }

  void Accept() {
    Strand strand = asio::make_strand(m_context);
    m_acceptor.async_accept(strand, [self = shared_from_this(), strand](
                                        ErrorCode error, tcp::socket socket) {
      self->OnAccept(error, strand, std::move(socket));
    });
  }

  // A connection that was accepted is served, also when the listener has been
  // closed meanwhile.
  void OnAccept(ErrorCode error, const Strand& strand, tcp::socket socket) {
    if (!error && !m_is_stopped) {
      StartConnection(strand, std::move(socket));
    }
    if (!m_acceptor.is_open()) {
      return;
    }
    if (error) {
      RetryLater();
      return;
    }
    AcceptWaiting(kMostAccepted);
    Accept();
  }

  // Out of descriptors, mostly: connections that end give them back.
  void RetryLater() {
    m_retry.expires_after(kAcceptRetry);
    m_retry.async_wait([self = shared_from_this()](ErrorCode cancelled) {
      if (cancelled) {
        return;
      }
      if (self->m_is_ending) {
        self->EndListening();
      } else {
        self->Accept();
      }
    });
  }

  // Takes the connections that wait already: each accept by itself would take a
  // round of a busy thread, and callers that were not answered meanwhile leave
  // theirs behind, to be accepted before those of callers that still wait.
  // Returns whether none is left, or `most` were taken.
  bool AcceptWaiting(int most) {
    for (int taken = 0; taken < most; ++taken) {
      const Strand strand = asio::make_strand(m_context);
      ErrorCode error;
      tcp::socket socket = m_acceptor.accept(strand, error);
      if (error) {
        // What else it may be shows with the next one.
        return error == asio::error::would_block ||
               error == asio::error::try_again;
      }
      StartConnection(strand, std::move(socket));
    }
    return true;
  }

  void StartConnection(const Strand& strand, tcp::socket socket) {
    const int open = m_shared->connection_count;
    const int most = m_shared->init.max_connections;
    ErrorCode error;
    const tcp::endpoint peer = socket.remote_endpoint(error);
    if (error || open >= most + kRefusingConnections) {
      return;
    }
    if (m_tls != nullptr) {
      m_tls = m_tls->Renewed();
    }
    auto connection = std::make_shared<ServerConnection>(
        m_shared, MakeStream(std::move(socket), strand, m_tls, {}),
        FormatAddress(peer));
    asio::post(strand, [connection, is_refused = open >= most] {
      connection->Start(is_refused);
    });
  }

  asio::io_context& m_context;
  Strand m_strand;
  tcp::acceptor m_acceptor;           // On the strand alone.
  asio::steady_timer m_retry;         // On the strand alone.
  bool m_is_ending = false;           // On the strand alone.
  bool m_is_stopped = false;          // On the strand alone.
  std::shared_ptr<TlsContext> m_tls;  // On the strand alone.
  std::shared_ptr<ServerShared> m_shared;
  std::string m_address;
};

HttpServer::HttpServer(IoThreads& threads,
                       const HttpServerInit& init,
                       HttpHandler& handler)
    : m_impl(std::make_shared<Impl>(threads, init, handler)) {
  m_impl->Start();
}

HttpServer::~HttpServer() {
  m_impl->Stop();
}

std::string HttpServer::address() const {
  return m_impl->address();
}

int HttpServer::connection_count() const {
  return m_impl->connection_count();
}

void HttpServer::CloseAfterAnswers() {
  m_impl->CloseAfterAnswers();
}

void HttpServer::Drain() {
  m_impl->Drain();
}

ServerRest HttpServer::Rest() const {
  return m_impl->Rest();
}

bool FinishServers(const std::vector<HttpServer*>& servers,
                   Millis idle_stay,
                   SteadyTime end) {
  for (HttpServer* server : servers) {
    server->Drain();
  }
  const SteadyTime idle_end = std::chrono::steady_clock::now() + idle_stay;
  for (;;) {
    const SteadyTime now = std::chrono::steady_clock::now();
    const bool may_leave_idle = now >= idle_end;
    const bool is_done =
        std::all_of(servers.begin(), servers.end(), [&](HttpServer* server) {
          const ServerRest rest = server->Rest();
          return !rest.is_listening && rest.busy == 0 &&
                 (rest.idle == 0 || may_leave_idle);
        });
    if (is_done || now >= end) {
      return is_done;
    }
    std::this_thread::sleep_for(kRestLook);
  }
}

}  // namespace laurelhall::net
