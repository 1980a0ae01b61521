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
  TimerService* timers = nullptr;  ///< Its callbacks come on the one thread.
  std::function<void(std::function<void()>)> post;  ///< To that thread.
  /// Asks the leader once; its answer, or none, may come on any thread.
  std::function<
      void(const std::string& request, SteadyTime deadline, Answered done)>
      ask;
  WorkerPort* workers = nullptr;
  std::function<BootTime()> boot_now = BootClock::now;
};

/// Makes calls to workers in the leader's name: asks the leader for orders,
/// carries them out at once, and brings back what became of them.
///
/// @remarks On the one thread only. Decides nothing and keeps nothing: an order
///   carries the leader's term as fence, and one that lay here for too long is
///   given back unsent. An order in the hands of a relay that is lost is an
///   order without an answer.
class OrderRelay {
 public:
  explicit OrderRelay(const OrderRelayInit& init);
  ~OrderRelay();

  /// Asks for no more orders; those under way are finished and told.
  void Leave();

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace laurelhall::dispatch
