#pragma once

#include <kj/async.h>
#include <kj/timer.h>

#include <cstddef>
#include <deque>

namespace laurelhall::control {

/// Shares a loop between what its callers ask and its own work. Between two
/// looks for input only so many reads of callers' connections, most of them a
/// message each, are taken up; the others wait in the order in which they came.
///
/// @remarks A loop looks for input, for other threads' tasks and for due timers
///   only when it has nothing left to run, and then takes a few of the
///   connections that are ready. Without a bound the messages of peers and the
///   disk's word would wait behind those of all callers. On the loop's thread
///   only.
class TurnGate final : private kj::TaskSet::ErrorHandler {
 public:
  explicit TurnGate(kj::Timer& timer) : m_timer(timer), m_tasks(*this) {}

  /// Done when the caller's turn has come: at once while few ask.
  ///
  /// @remarks Dropping the promise gives the turn to the next one.
  kj::Promise<void> Enter();

  /// How many wait for their turn.
  size_t waiting() const { return m_waiting.size(); }

 private:
  void taskFailed(kj::Exception&& exception) override;
  void RefillLater();
  void Refill();

  /// A few milliseconds of a slow processor, so that a peer's message waits no
  /// longer than that.
  static constexpr size_t kPerTurn = 8;

  kj::Timer& m_timer;
  size_t m_left = kPerTurn;
  bool m_is_refill_due = false;
  std::deque<kj::Own<kj::PromiseFulfiller<void>>> m_waiting;
  kj::TaskSet m_tasks;
};

}  // namespace laurelhall::control
