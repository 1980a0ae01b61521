#pragma once

#include <functional>
#include <mutex>
#include <set>
#include <unordered_map>
#include <utility>

#include "laurelhall/base/handle.h"
#include "laurelhall/base/time.h"

namespace laurelhall {

using TimerHandle = Handle<struct TimerTag>;

/// Calls subscribers when their time has come; parts never sleep by themselves.
///
/// @remarks Thread-safe. Callbacks run on the service's own executor, never
///   inside Subscribe() or Cancel(); they must not block.
class TimerService {
 public:
  using Callback = std::function<void(SteadyTime now)>;

  virtual ~TimerService() = default;

  virtual SteadyTime Now() const = 0;

  /// Calls back every `period` until cancelled.
  virtual TimerHandle SubscribeEvery(Millis period, Callback callback) = 0;

  /// Calls back once after `delay`.
  virtual TimerHandle SubscribeOnce(Millis delay, Callback callback) = 0;

  /// Ends a subscription; no effect on an ended or invalid one.
  virtual void Cancel(TimerHandle timer) = 0;
};

/// A timer service on a virtual clock, for tests and replay.
class ManualTimerService : public TimerService {
 public:
  SteadyTime Now() const override;
  TimerHandle SubscribeEvery(Millis period, Callback callback) override;
  TimerHandle SubscribeOnce(Millis delay, Callback callback) override;
  void Cancel(TimerHandle timer) override;

  /// Moves the clock on, running in order the callbacks that come due.
  void Advance(Millis by);

 private:
  struct Subscription {
    SteadyTime due;
    Millis period;
    Callback callback;
  };

  TimerHandle Add(Millis delay, Millis period, Callback callback);

  mutable std::mutex m_mutex;  // Guards all below.
  SteadyTime m_now{std::chrono::hours(1)};
  uint32_t m_next_index = 0;
  std::unordered_map<uint32_t, Subscription> m_subscriptions;
  std::set<std::pair<SteadyTime, uint32_t>> m_order;  // Due, then index.
};

}  // namespace laurelhall
