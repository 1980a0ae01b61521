#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "laurelhall/base/time.h"

// HTTP/1.1 for callers, endpoints and operators, on Boost.Beast, which stays
// out of this header.
namespace laurelhall::net {

class IoThreads;

struct HttpHeaders {
  std::vector<std::pair<std::string, std::string>> fields;

  /// Returns the first value of a field, by name in any case; empty if none.
  std::string_view Get(std::string_view name) const;
  void Set(std::string_view name, std::string value);
};

struct HttpRequest {
  std::string method = "GET";
  std::string target = "/";
  HttpHeaders headers;
  std::string body;
  std::string peer;         ///< Server side: "ip:port" of the other end.
  std::string client_name;  ///< Server side: common name of its certificate.
};

struct HttpResponse {
  int status = 200;
  HttpHeaders headers;
  std::string body;
};

/// One request at the server, until it is answered or its caller is gone.
///
/// @remarks Thread-safe. Dropping it unanswered closes the connection.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  virtual const HttpRequest& request() const = 0;

  /// Answers; only the first call counts.
  virtual void Respond(HttpResponse response) = 0;

  /// Calls back once if the caller closes before the answer; at once if it
  /// has already.
  virtual void OnGone(std::function<void()> callback) = 0;
};

/// Tables of files for TLS; empty means plain TCP.
struct TlsInit {
  std::string certificate_file;
  std::string key_file;
  std::string client_ca_file;  ///< Server: ask clients for a certificate.
  std::string ca_file;         ///< Client: whom to trust.

  bool is_on() const { return !certificate_file.empty() || !ca_file.empty(); }
};

/// What the host of a server supplies.
class HttpHandler {
 public:
  virtual ~HttpHandler() = default;

  /// The largest body taken for this head; asked before the body is read.
  virtual int64_t MaxBodyBytes(const HttpRequest& head) = 0;

  /// A whole request is here. Called on one of the IoThreads.
  virtual void OnRequest(std::shared_ptr<HttpExchange> exchange) = 0;
};

struct HttpServerInit {
  std::string address = "127.0.0.1:0";  ///< Port 0: the kernel picks.
  TlsInit tls;
  int max_connections = 4096;
  int max_header_bytes = 16 << 10;
  Millis header_timeout{std::chrono::seconds(10)};  ///< For a whole header.
  Millis body_timeout{std::chrono::seconds(60)};
  Millis idle_timeout{std::chrono::seconds(75)};
};

/// What a server still has before it.
struct ServerRest {
  bool is_listening = false;
  int busy = 0;  ///< Connections with a request or an answer on its way.
  int idle = 0;  ///< Connections on which nothing has come.
};

/// Listens, reads requests with strict limits, and hands them on.
///
/// @remarks Thread-safe.
class HttpServer {
 public:
  /// @throws std::system_error when the address cannot be listened on.
  HttpServer(IoThreads& threads,
             const HttpServerInit& init,
             HttpHandler& handler);
  ~HttpServer();

  /// The address with the port that was picked.
  std::string address() const;
  int connection_count() const;

  /// Goes on as before, but ends each connection with its next answer, so that
  /// callers go elsewhere.
  void CloseAfterAnswers();

  /// Stops listening, once the connections that wait already are accepted. What
  /// comes on open ones is still answered; each ends with its next answer.
  void Drain();

  /// Looks at the sockets themselves, so that what a busy thread has not read
  /// yet counts as come.
  ///
  /// @pre The IoThreads run, and the caller is not one of them.
  ServerRest Rest() const;

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

/// Drains servers and waits until nothing is left to answer, so that the
/// process can end without cutting a request off. It should end at once then:
/// what comes on a connection that is still open is answered by nobody.
///
/// @param idle_stay How long connections on which nothing comes are waited for:
///   callers that ask meanwhile hear that theirs ends.
/// @param end When to give up on what is left.
/// @returns Whether all was answered.
/// @pre The IoThreads of the servers run, and the caller is not one of them.
bool FinishServers(const std::vector<HttpServer*>& servers,
                   Millis idle_stay,
                   SteadyTime end);

enum class HttpFailure {
  kNone,
  kConnect,  ///< No connection: not one byte was sent.
  kBroken,   ///< The connection ended or the answer was malformed or cut.
  kTimeout,
  kTooLarge,
  kCount,
};

struct HttpResult {
  HttpFailure failure = HttpFailure::kNone;
  bool may_have_sent = false;  ///< A byte may have reached the other side.
  HttpResponse response;       ///< Whole, when failure is kNone.
  Millis took{0};              ///< Of a lane: from the request's turn on.
};

/// One connection to an endpoint; one request at a time.
///
/// @remarks Thread-safe. Callbacks run on one of the IoThreads.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
 public:
  static std::shared_ptr<HttpConnection> Make(IoThreads& threads,
                                              std::string address,
                                              const TlsInit& tls = {});
  virtual ~HttpConnection() = default;

  /// Connects; calls back with whether it did within the timeout.
  virtual void Connect(Millis timeout, std::function<void(bool)> done) = 0;

  /// Sends a request and reads the whole answer.
  ///
  /// @param before_write Asked right before the first byte is handed to the
  ///   kernel, on the same thread; false ends the call with nothing sent.
  virtual void Send(HttpRequest request,
                    Millis timeout,
                    int64_t max_answer_bytes,
                    std::function<bool()> before_write,
                    std::function<void(HttpResult)> done) = 0;

  /// Whether the connection may carry another request.
  virtual bool is_reusable() const = 0;

  /// Closes at once; a running call ends with kBroken, and what of its request
  /// is still under way does not arrive any more.
  virtual void Close() = 0;
};

/// Sends one request and waits for the answer; for the command line.
///
/// @throws std::runtime_error when there is no answer within the timeout.
HttpResponse Fetch(const std::string& address,
                   const HttpRequest& request,
                   Millis timeout,
                   const TlsInit& tls = {});

}  // namespace laurelhall::net
