#pragma once

#include <condition_variable>
#include <mutex>

namespace laurelhall::net {

/// Lets calls into something through until it goes away.
///
/// @remarks Thread-safe. No lock is held during a call.
class CallGate {
 public:
  /// Makes a call, unless the gate is closed.
  ///
  /// @returns Whether it was made.
  template <typename Call>
  bool Enter(Call call) {
    {
      const std::lock_guard lock(m_mutex);
      if (m_is_closed) {
        return false;
      }
      ++m_calls;
    }
    call();
    const std::lock_guard lock(m_mutex);
    --m_calls;
    m_idle.notify_all();
    return true;
  }

  /// Lets no more calls through, and waits for those under way.
  ///
  /// @pre Not called from within a call.
  void Close() {
    std::unique_lock lock(m_mutex);
    m_is_closed = true;
    m_idle.wait(lock, [this] { return m_calls == 0; });
  }

 private:
  std::mutex m_mutex;  // Guards the two below.
  bool m_is_closed = false;
  int m_calls = 0;
  std::condition_variable m_idle;
};

}  // namespace laurelhall::net
