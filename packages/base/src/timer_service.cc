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
  const auto found = m_subscriptions.find(timer.index);
  if (found != m_subscriptions.end()) {
    m_order.erase({found->second.due, timer.index});
    m_subscriptions.erase(found);
  }
}

void ManualTimerService::Advance(Millis by) {
  std::unique_lock lock(m_mutex);
  const SteadyTime target = m_now + by;
  while (!m_order.empty() && m_order.begin()->first <= target) {
    const auto [due, index] = *m_order.begin();
    m_order.erase(m_order.begin());
    m_now = std::max(m_now, due);
    const SteadyTime now = m_now;
    const auto next = m_subscriptions.find(index);
    Callback callback = next->second.callback;
    if (next->second.period.count() > 0) {
      next->second.due += next->second.period;
      m_order.emplace(next->second.due, index);
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
  m_order.emplace(m_now + delay, timer.index);
  return timer;
}

}  // namespace laurelhall
