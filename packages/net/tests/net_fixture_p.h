#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "laurelhall/net/http.h"
#include "laurelhall/net/io_threads.h"

namespace laurelhall::net {

/// How long a test waits for what must come; never a measure of speed.
constexpr Millis kTestWait{10'000};

/// A flag that one thread raises and another waits for.
class Signal {
 public:
  void Raise() {
    const std::lock_guard lock(m_mutex);
    m_is_raised = true;
    m_condition.notify_all();
  }
  void Lower() {
    const std::lock_guard lock(m_mutex);
    m_is_raised = false;
  }
  bool Wait() {
    std::unique_lock lock(m_mutex);
    return m_condition.wait_for(lock, kTestWait,
                                [this] { return m_is_raised; });
  }

 private:
  std::mutex m_mutex;
  std::condition_variable m_condition;
  bool m_is_raised = false;
};

/// A blocking TCP socket, for bytes that no library would send.
class RawSocket {
 public:
  static RawSocket ConnectTo(const std::string& address) {
    const size_t colon = address.rfind(':');
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port =
        htons(static_cast<uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
    RawSocket made(socket(AF_INET, SOCK_STREAM, 0));
    connect(made.m_fd, reinterpret_cast<sockaddr*>(&to), sizeof(to));
    return made;
  }

  explicit RawSocket(int fd) : m_fd(fd) {
    const timeval wait{kTestWait.count() / 1000, 0};
    setsockopt(m_fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
  }
  RawSocket(RawSocket&& other) noexcept : m_fd(std::exchange(other.m_fd, -1)) {}
  RawSocket(const RawSocket&) = delete;
  RawSocket& operator=(const RawSocket&) = delete;
  RawSocket& operator=(RawSocket&&) = delete;
  ~RawSocket() { Close(); }

  void Close() {
    if (m_fd >= 0) {
      close(std::exchange(m_fd, -1));
    }
  }

  void Write(std::string_view bytes) const {
    while (!bytes.empty()) {
      const ssize_t sent = send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (sent <= 0) {
        return;
      }
      bytes.remove_prefix(static_cast<size_t>(sent));
    }
  }

  /// Reads until `end` stands in what was read, or the other side closes.
  std::string ReadUntil(std::string_view end) const {
    std::string bytes;
    size_t searched = 0;
    char buffer[4096];
    while (end.empty() || bytes.find(end, searched) == std::string::npos) {
      searched = bytes.size() - std::min(bytes.size(), end.size());
      const ssize_t count = recv(m_fd, buffer, sizeof(buffer), 0);
      if (count <= 0) {
        m_is_reset = count < 0 && errno == ECONNRESET;
        break;
      }
      bytes.append(buffer, static_cast<size_t>(count));
    }
    return bytes;
  }
  std::string ReadAll() const { return ReadUntil({}); }

  /// Bytes that have come and are not read yet.
  size_t Unread() const {
    int count = 0;
    ioctl(m_fd, FIONREAD, &count);
    return static_cast<size_t>(count);
  }

  /// Whether reading has come to a reset by the other side.
  bool is_reset() const { return m_is_reset; }

 private:
  int m_fd;
  mutable bool m_is_reset = false;
};

/// A listening socket that plays an endpoint byte by byte.
class RawListener {
 public:
  RawListener() : m_fd(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    bind(m_fd, reinterpret_cast<sockaddr*>(&at), sizeof(at));
    listen(m_fd, 16);
    socklen_t length = sizeof(at);
    getsockname(m_fd, reinterpret_cast<sockaddr*>(&at), &length);
    m_address = "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
  }
  RawListener(const RawListener&) = delete;
  RawListener& operator=(const RawListener&) = delete;
  ~RawListener() { close(m_fd); }

  const std::string& address() const { return m_address; }
  RawSocket Accept() const { return RawSocket(accept(m_fd, nullptr, nullptr)); }

 private:
  int m_fd;
  std::string m_address;
};

/// A handler made of a function.
class FunctionHandler : public HttpHandler {
 public:
  using Function = std::function<void(std::shared_ptr<HttpExchange>)>;

  explicit FunctionHandler(Function function)
      : m_function(std::move(function)) {}

  int64_t MaxBodyBytes(const HttpRequest&) override { return 1000; }
  void OnRequest(std::shared_ptr<HttpExchange> exchange) override {
    m_function(std::move(exchange));
  }

 private:
  Function m_function;
};

}  // namespace laurelhall::net
