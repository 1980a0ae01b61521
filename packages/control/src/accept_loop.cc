#include "accept_loop_p.h"

#include <utility>

#include "laurelhall/base/log.h"

namespace laurelhall::control {

namespace {

constexpr Millis kAcceptPause = std::chrono::milliseconds(200);
// Connections accepted between two looks for input: many may wait at a time,
// and a peer's may be the last.
constexpr size_t kPerLook = 4;

}  // namespace

AcceptLoop::AcceptLoop(kj::Timer& timer,
                       kj::Own<kj::ConnectionReceiver> receiver,
                       Take take)
    : m_timer(timer),
      m_receiver(kj::mv(receiver)),
      m_take(std::move(take)),
      m_tasks(*this) {
  m_tasks.add(AcceptForEver());
}

void AcceptLoop::taskFailed(kj::Exception&& exception) {
  PartLog("control")->critical("No connection is accepted any more: {}.",
                               exception.getDescription().cStr());
}

// An accept may fail before it has returned a promise, when a connection waits
// already and there is no descriptor for it.
kj::Promise<void> AcceptLoop::AcceptForEver() {
  return kj::evalNow([this] { return m_receiver->accept(); })
      .then([this](kj::Own<kj::AsyncIoStream>&& stream) {
        m_take(kj::mv(stream));
        return ++m_accepted % kPerLook == 0 ? AfterLookForInput(m_timer)
                                            : kj::READY_NOW;
      })
      .catch_([this](kj::Exception&& exception) {
        // Such as no free descriptor: it passes, and peers must be served then.
        PartLog("control")->error("A connection cannot be accepted: {}.",
                                  exception.getDescription().cStr());
        return m_timer.afterDelay(ToKj(kAcceptPause));
      })
      .then([this] { return AcceptForEver(); });
}

}  // namespace laurelhall::control
