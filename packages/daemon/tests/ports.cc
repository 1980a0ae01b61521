#include "ports.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>

namespace laurelhall::scenario {
namespace {

void Check(int result, const char* what) {
  if (result < 0) {
    throw std::system_error(errno, std::generic_category(), what);
  }
}

}  // namespace

// Bound, never listening. SO_REUSEADDR is set after the bind: so no other
// socket is given this port by chance, and a server that asks for it gets it.
ReservedPort::ReservedPort()
    : m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  Check(m_socket, "socket");
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  auto* any = reinterpret_cast<sockaddr*>(&address);
  socklen_t size = sizeof(address);
  Check(bind(m_socket, any, size), "bind");
  Check(getsockname(m_socket, any, &size), "getsockname");
  const int on = 1;
  Check(setsockopt(m_socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)),
        "SO_REUSEADDR");
  m_address = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

ReservedPort::~ReservedPort() {
  close(m_socket);
}

}  // namespace laurelhall::scenario
