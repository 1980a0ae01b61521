#pragma once

#include <deque>
#include <functional>
#include <mutex>
#include <utility>

namespace laurelhall::entry {

/// Runs functions one at a time, in order, on whichever thread brings them.
///
/// @remarks Thread-safe. A function posted while another runs waits for it;
///   no lock is held while one runs.
class Serial {
 public:
  void Post(std::function<void()> function) {
    {
      const std::lock_guard lock(m_mutex);
      m_waiting.push_back(std::move(function));
      if (m_is_running) {
        return;
      }
      m_is_running = true;
    }
    while (std::function<void()> next = Next()) {
      next();
    }
  }

 private:
  std::function<void()> Next() {
    const std::lock_guard lock(m_mutex);
    if (m_waiting.empty()) {
      m_is_running = false;
      return nullptr;
    }
    std::function<void()> next = std::move(m_waiting.front());
    m_waiting.pop_front();
    return next;
  }

  std::mutex m_mutex;  // Guards the two below.
  bool m_is_running = false;
  std::deque<std::function<void()>> m_waiting;
};

}  // namespace laurelhall::entry
