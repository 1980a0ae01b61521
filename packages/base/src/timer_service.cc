#include "laurelhall/base/timer_service.h"

#include <algorithm>
#include <utility>

namespace laurelhall {

SteadyTime ManualTimerService::Now() const {
  const std::lock_guard lock(m_mutex);
  return m_now;
}

TimerHandle ManualTimerService::SubscribeEvery(Millis period,
                                               Callback callback) {
  return Add(period, std::max(period, Millis(1)), std::move(callback));
}

TimerHandle ManualTimerService::SubscribeOnce(Millis delay, Callback callback) {
  return Add(delay, Millis(0), std::move(callback));
}

void ManualTimerService::Cancel(TimerHandle timer) {
  const std::lock_guard lock(m_mutex);
  m_subscriptions.erase(timer.index);
}

void ManualTimerService::Advance(Millis by) {
  std::unique_lock lock(m_mutex);
  const SteadyTime target = m_now + by;
  while (true) {
    const auto next =
        std::min_element(m_subscriptions.begin(), m_subscriptions.end(),
                         [](const auto& a, const auto& b) {
                           return a.second.due < b.second.due;
                         });
    if (next == m_subscriptions.end() || next->second.due > target) {
      break;
    }
    m_now = std::max(m_now, next->second.due);
    const SteadyTime now = m_now;
    Callback callback = next->second.callback;
    if (next->second.period.count() > 0) {
      next->second.due += next->second.period;
    } else {
      m_subscriptions.erase(next);
    }
    // The callback may subscribe or cancel, so the lock is not held.
    lock.unlock();
    callback(now);
    lock.lock();
  }
  m_now = target;
}

TimerHandle ManualTimerService::Add(Millis delay,
                                    Millis period,
                                    Callback callback) {
  const std::lock_guard lock(m_mutex);
  const TimerHandle timer{m_next_index++};
  m_subscriptions[timer.index] = {m_now + delay, period, std::move(callback)};
  return timer;
}

}  // namespace laurelhall
