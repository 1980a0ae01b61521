#include "turn_gate_p.h"

#include <utility>

#include "laurelhall/base/log.h"
#include "loop_thread_p.h"

namespace laurelhall::control {

void TurnGate::taskFailed(kj::Exception&& exception) {
  PartLog("control")->error("A turn of the loop failed: {}.",
                            exception.getDescription().cStr());
}

kj::Promise<void> TurnGate::Enter() {
  RefillLater();
  if (m_left > 0 && m_waiting.empty()) {
    --m_left;
    return kj::READY_NOW;
  }
  auto pair = kj::newPromiseAndFulfiller<void>();
  m_waiting.push_back(kj::mv(pair.fulfiller));
  return kj::mv(pair.promise);
}

void TurnGate::RefillLater() {
  if (m_is_refill_due) {
    return;
  }
  m_is_refill_due = true;
  m_tasks.add(AfterLookForInput(m_timer).then([this] {
    m_is_refill_due = false;
    Refill();
  }));
}

void TurnGate::Refill() {
  m_left = kPerTurn;
  while (m_left > 0 && !m_waiting.empty()) {
    auto next = kj::mv(m_waiting.front());
    m_waiting.pop_front();
    if (next->isWaiting()) {
      --m_left;
      next->fulfill();
    }
  }
  if (m_left < kPerTurn) {
    RefillLater();
  }
}

}  // namespace laurelhall::control
