#pragma once

#include <string>

namespace laurelhall::scenario {

/// A port of 127.0.0.1 that the kernel picked and gives to nobody else while
/// this object lives, but for a server that asks for it by number.
class ReservedPort {
 public:
  /// @throws std::system_error when the kernel has none.
  ReservedPort();
  ~ReservedPort();
  ReservedPort(const ReservedPort&) = delete;
  ReservedPort& operator=(const ReservedPort&) = delete;

  /// "127.0.0.1:port".
  const std::string& address() const { return m_address; }

 private:
  int m_socket = -1;
  std::string m_address;
};

}  // namespace laurelhall::scenario
