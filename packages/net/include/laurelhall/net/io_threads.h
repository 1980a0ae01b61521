#pragma once

#include <functional>
#include <memory>

#include "laurelhall/base/timer_service.h"

namespace laurelhall::net {

/// A few threads that run one Asio context, and the timer service on it.
///
/// @remarks Thread-safe. The destructor stops and joins the threads.
class IoThreads {
 public:
  explicit IoThreads(int thread_count);
  ~IoThreads();

  /// Runs a function on one of the threads, soon.
  void Post(std::function<void()> function);

  TimerService& timers();

  /// The Asio context behind it, for this package's own .cc files.
  struct Impl;
  Impl& impl() { return *m_impl; }

 private:
  std::unique_ptr<Impl> m_impl;
};

}  // namespace laurelhall::net
