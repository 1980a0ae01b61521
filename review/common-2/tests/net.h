#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>

// Blocking HTTP/1.1 for the stand-ins of the review: a server with a thread for
// each connection, and a client with a connection for each call.
namespace review {

struct Message {
  std::string method;                          ///< Of a request.
  std::string target;                          ///< Of a request.
  int status = 0;                              ///< Of a response.
  std::map<std::string, std::string> headers;  ///< Names in lower case.
  std::string body;
};

/// Sends one request and waits for the answer; none without a whole answer in
/// time. `address` is IP:PORT on loopback.
std::optional<Message> Call(const std::string& address,
                            const Message& request,
                            int timeout_ms);

/// A request whose answer is not awaited.
class OpenCall {
 public:
  /// Connects and writes the whole request.
  OpenCall(const std::string& address, const Message& request);
  ~OpenCall();
  OpenCall(const OpenCall&) = delete;
  OpenCall& operator=(const OpenCall&) = delete;

  /// Waits for the answer; none without a whole one in time.
  std::optional<Message> Wait(int timeout_ms);
  /// Closes the connection, as a client that waits no longer.
  void Close();

 private:
  int m_socket = -1;
};

class Server {
 public:
  using Handler = std::function<Message(const Message&)>;

  /// Listens on IP:PORT.
  Server(const std::string& address, Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Stops listening and breaks off all connections, as a process that dies.
  void Stop();

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

/// Whether a server could listen on IP:PORT.
bool IsFree(const std::string& address);

/// Steady milliseconds.
long long NowMs();
void SleepMs(int time);

}  // namespace review
