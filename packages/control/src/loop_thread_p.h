#pragma once

#include <kj/async-io.h>

#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

#include "laurelhall/base/time.h"

namespace laurelhall::control {

class InnerTls;

/// The way into a KJ loop from other threads.
class Mailbox {
 public:
  /// Runs a task on the loop, soon. No effect once closed. Thread-safe.
  void Post(std::function<void()> task);

  /// Runs tasks for ever. On the loop's thread only.
  kj::Promise<void> Run();

  /// Drops waiting tasks and takes no more. Thread-safe.
  void Close();

 private:
  using Wake = kj::Own<kj::CrossThreadPromiseFulfiller<void>>;

  std::mutex m_mutex;  // Guards all below.
  bool m_is_closed = false;
  std::deque<std::function<void()>> m_tasks;
  kj::Maybe<Wake> m_wake;  // Set while the loop sleeps.
};

/// What parts on a loop need of it.
struct LoopContext {
  kj::Network& network;
  kj::Timer& timer;
  std::shared_ptr<Mailbox> mailbox;
  InnerTls* tls = nullptr;  ///< Null: connections are plain.
};

/// A thread with a KJ loop of its own.
class LoopThread {
 public:
  /// Runs on the new thread and returns when `stop` is done; what it makes
  /// lives and dies on that thread.
  using Main = std::function<
      void(kj::AsyncIoContext& io, LoopContext& loop, kj::Promise<void> stop)>;

  explicit LoopThread(Main main);

  /// Stops and joins; not to be called on the loop itself.
  ~LoopThread() noexcept;

  LoopThread(const LoopThread&) = delete;
  LoopThread& operator=(const LoopThread&) = delete;

  Mailbox& mailbox() { return *m_mailbox; }

 private:
  void Run(const Main& main);

  std::shared_ptr<Mailbox> m_mailbox = std::make_shared<Mailbox>();
  kj::Own<kj::PromiseFulfiller<void>> m_stop;  // On the loop's thread only.
  std::thread m_thread;
};

/// Runs a task every `period`, for ever, whatever it throws. On the loop's
/// thread only; ends when the promise is dropped.
kj::Promise<void> RunEvery(kj::Timer& timer,
                           Millis period,
                           std::function<void()> task);

/// Done after the loop's next look for input: a timer that is due already fires
/// then, not before. On the loop's thread only.
inline kj::Promise<void> AfterLookForInput(kj::Timer& timer) {
  return timer.afterDelay(0 * kj::NANOSECONDS);
}

/// Turns a duration into KJ's.
inline kj::Duration ToKj(Millis duration) {
  return duration.count() * kj::MILLISECONDS;
}

}  // namespace laurelhall::control
