#pragma once

#include <kj/async-io.h>

#include <functional>

#include "loop_thread_p.h"

namespace laurelhall::control {

/// Accepts connections for as long as it lives, whatever an accept fails with.
///
/// @remarks On the loop's thread only.
class AcceptLoop final : private kj::TaskSet::ErrorHandler {
 public:
  using Take = std::function<void(kj::Own<kj::AsyncIoStream>)>;

  /// @param take Called for each connection.
  AcceptLoop(kj::Timer& timer,
             kj::Own<kj::ConnectionReceiver> receiver,
             Take take);

 private:
  void taskFailed(kj::Exception&& exception) override;
  kj::Promise<void> AcceptForEver();

  kj::Timer& m_timer;
  kj::Own<kj::ConnectionReceiver> m_receiver;
  Take m_take;
  size_t m_accepted = 0;
  kj::TaskSet m_tasks;
};

}  // namespace laurelhall::control
