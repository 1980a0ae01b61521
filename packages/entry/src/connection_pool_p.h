#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "laurelhall/net/http.h"

namespace laurelhall::entry {

/// Idle keep-alive connections to endpoints, by address. A run's connection
/// and the idle ones together stay within the slots held: a run takes an idle
/// one, or drops one before it opens its own.
///
/// @remarks Thread-safe.
class ConnectionPool {
 public:
  /// Takes an idle connection; null when there is none.
  std::shared_ptr<net::HttpConnection> Take(const std::string& address);

  /// Puts a connection back, unless it is not reusable.
  void Give(const std::string& address,
            std::shared_ptr<net::HttpConnection> connection);

  /// Closes idle connections beyond a number.
  void Trim(const std::string& address, size_t most);

 private:
  using Idle = std::vector<std::shared_ptr<net::HttpConnection>>;

  std::mutex m_mutex;  // Guards the one below.
  std::map<std::string, Idle> m_idle;
};

}  // namespace laurelhall::entry
