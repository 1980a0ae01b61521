#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "laurelhall/base/timer_service.h"
#include "laurelhall/dispatch/ports.h"

namespace laurelhall::dispatch {

struct OrderRelayInit {
  using Answered = std::function<void(std::optional<std::string>)>;

  std::string name;  ///< Of this daemon.
  std::string availability_zone;
  TimerService* timers = nullptr;  ///< Calls back on the relay's thread.
  std::function<void(std::function<void()>)> post;  ///< To that thread.
  /// Sends one request to the leader. `done` may be called on any thread; it
  /// gets nullopt when there was no answer.
  std::function<
      void(const std::string& request, SteadyTime deadline, Answered done)>
      ask;
  WorkerPort* workers = nullptr;
  std::function<BootTime()> boot_now = BootClock::now;
};

/// Calls workers on behalf of the leader: requests orders from it, carries them
/// out at once and reports their results.
///
/// @remarks Used on one thread only. Makes no decisions and stores nothing: an
///   order carries the leader's term in its fence, and an order that is too old
///   is returned unsent. When a relay is lost, its orders count as unanswered.
class OrderRelay {
 public:
  explicit OrderRelay(const OrderRelayInit& init);
  ~OrderRelay();

  /// Requests no more orders; those in flight are finished and reported.
  void Leave();

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace laurelhall::dispatch
