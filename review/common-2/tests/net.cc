#include "net.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <stdexcept>
#include <thread>
#include <utility>

namespace review {

namespace {

sockaddr_in Parse(const std::string& address) {
  const size_t colon = address.find(':');
  sockaddr_in parsed{};
  parsed.sin_family = AF_INET;
  parsed.sin_port =
      htons(static_cast<uint16_t>(std::stoi(address.substr(colon + 1))));
  if (inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr) !=
      1) {
    throw std::runtime_error("bad address " + address);
  }
  return parsed;
}

int Connect(const std::string& address) {
  const sockaddr_in peer = Parse(address);
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval limit{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&peer), sizeof peer) != 0) {
    close(fd);
    return -1;
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

bool WriteAll(int fd, const std::string& text) {
  size_t done = 0;
  while (done < text.size()) {
    const ssize_t sent =
        send(fd, text.data() + done, text.size() - done, MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    done += static_cast<size_t>(sent);
  }
  return true;
}

// Appends what comes; false at the end, on an error or after `end_ms`.
bool ReadSome(int fd, std::string& bytes, long long end_ms) {
  pollfd wait{fd, POLLIN, 0};
  const long long left = end_ms < 0 ? -1 : std::max(0LL, end_ms - NowMs());
  if (poll(&wait, 1, static_cast<int>(left)) <= 0) {
    return false;
  }
  char part[16384];
  const ssize_t count = recv(fd, part, sizeof part, 0);
  if (count <= 0) {
    return false;
  }
  bytes.append(part, static_cast<size_t>(count));
  return true;
}

// Takes one message off the front of `bytes`, reading as much as it needs.
std::optional<Message> ReadMessage(int fd,
                                   std::string& bytes,
                                   long long end_ms) {
  size_t head_end = 0;
  while ((head_end = bytes.find("\r\n\r\n")) == std::string::npos) {
    if (!ReadSome(fd, bytes, end_ms)) {
      return std::nullopt;
    }
  }
  Message message;
  const std::string head = bytes.substr(0, head_end + 2);
  const std::string first = head.substr(0, head.find("\r\n"));
  const size_t space = first.find(' ');
  if (first.rfind("HTTP/", 0) == 0) {
    message.status = std::stoi(first.substr(space + 1));
  } else {
    message.method = first.substr(0, space);
    message.target =
        first.substr(space + 1, first.find(' ', space + 1) - space - 1);
  }
  for (size_t at = first.size() + 2; at < head.size();) {
    const size_t end = head.find("\r\n", at);
    const size_t colon = head.find(':', at);
    if (colon < end) {
      std::string name = head.substr(at, colon - at);
      std::transform(name.begin(), name.end(), name.begin(),
                     [](unsigned char c) { return std::tolower(c); });
      const size_t value = head.find_first_not_of(' ', colon + 1);
      message.headers[name] = head.substr(value, end - value);
    }
    at = end + 2;
  }
  const auto length = message.headers.find("content-length");
  const size_t size =
      length == message.headers.end() ? 0 : std::stoul(length->second);
  while (bytes.size() < head_end + 4 + size) {
    if (!ReadSome(fd, bytes, end_ms)) {
      return std::nullopt;
    }
  }
  message.body = bytes.substr(head_end + 4, size);
  bytes.erase(0, head_end + 4 + size);
  return message;
}

std::string EncodeRequest(const Message& request, const std::string& address) {
  std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
  if (request.headers.count("host") == 0) {
    text += "Host: " + address + "\r\n";
  }
  for (const auto& [name, value] : request.headers) {
    text += name + ": " + value + "\r\n";
  }
  return text + "Content-Type: application/json\r\nContent-Length: " +
         std::to_string(request.body.size()) + "\r\n\r\n" + request.body;
}

}  // namespace

long long NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

void SleepMs(int time) {
  std::this_thread::sleep_for(std::chrono::milliseconds(time));
}

OpenCall::OpenCall(const std::string& address, const Message& request)
    : m_socket(Connect(address)) {
  if (m_socket >= 0 && !WriteAll(m_socket, EncodeRequest(request, address))) {
    Close();
  }
}

OpenCall::~OpenCall() {
  Close();
}

std::optional<Message> OpenCall::Wait(int timeout_ms) {
  std::string bytes;
  return m_socket < 0 ? std::nullopt
                      : ReadMessage(m_socket, bytes, NowMs() + timeout_ms);
}

void OpenCall::Close() {
  if (m_socket >= 0) {
    close(m_socket);
    m_socket = -1;
  }
}

std::optional<Message> Call(const std::string& address,
                            const Message& request,
                            int timeout_ms) {
  return OpenCall(address, request).Wait(timeout_ms);
}

bool IsFree(const std::string& address) {
  const sockaddr_in own = Parse(address);
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const bool is_free =
      bind(fd, reinterpret_cast<const sockaddr*>(&own), sizeof own) == 0;
  close(fd);
  return is_free;
}

struct Server::State {
  Handler handler;
  int listener = -1;
  std::mutex mutex;
  bool is_stopped = false;
  std::set<int> open;

  static void Serve(const std::shared_ptr<State>& state, int fd) {
    std::string bytes;
    while (const auto request = ReadMessage(fd, bytes, -1)) {
      const Message answer = state->handler(*request);
      {
        const std::lock_guard lock(state->mutex);
        if (state->is_stopped || answer.status == 0) {
          break;
        }
      }
      if (!WriteAll(fd, "HTTP/1.1 " + std::to_string(answer.status) +
                            " X\r\nContent-Type: application/json\r\n"
                            "Content-Length: " +
                            std::to_string(answer.body.size()) + "\r\n\r\n" +
                            answer.body)) {
        break;
      }
    }
    const std::lock_guard lock(state->mutex);
    state->open.erase(fd);
    close(fd);
  }
};

Server::Server(const std::string& address, Handler handler)
    : m_state(std::make_shared<State>()) {
  m_state->handler = std::move(handler);
  const sockaddr_in own = Parse(address);
  m_state->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(m_state->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind(m_state->listener, reinterpret_cast<const sockaddr*>(&own),
           sizeof own) != 0 ||
      listen(m_state->listener, 128) != 0) {
    throw std::runtime_error("cannot listen on " + address);
  }
  std::thread([state = m_state] {
    for (;;) {
      pollfd wait{state->listener, POLLIN, 0};
      poll(&wait, 1, 50);
      const std::lock_guard lock(state->mutex);
      if (state->is_stopped) {
        close(state->listener);
        return;
      }
      if ((wait.revents & POLLIN) == 0) {
        continue;
      }
      const int fd = accept4(state->listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd >= 0) {
        const int nodelay = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &nodelay, sizeof nodelay);
        state->open.insert(fd);
        std::thread(State::Serve, state, fd).detach();
      }
    }
  }).detach();
}

// The handler may be gone once this returns.
Server::~Server() {
  Stop();
  for (;;) {
    {
      const std::lock_guard lock(m_state->mutex);
      if (m_state->open.empty()) {
        return;
      }
    }
    SleepMs(1);
  }
}

void Server::Stop() {
  const std::lock_guard lock(m_state->mutex);
  if (!std::exchange(m_state->is_stopped, true)) {
    for (const int fd : m_state->open) {
      shutdown(fd, SHUT_RDWR);
    }
  }
}

}  // namespace review
