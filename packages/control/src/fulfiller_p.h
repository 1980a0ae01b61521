#pragma once

#include <kj/async.h>

#include <memory>
#include <thread>
#include <utility>

#include "loop_thread_p.h"

namespace laurelhall::control {

/// A promise's fulfiller in a form that std::function can hold. It may be
/// copied and dropped on any thread, and is called on the loop's alone.
///
/// @remarks A promise and its fulfiller point at each other without a lock. So
///   the fulfiller is destroyed on the loop's thread, too: the last copy may be
///   dropped elsewhere just as the loop cancels the promise. Where the mailbox
///   is closed by then, the loop's promises are gone, and any thread will do.
/// @pre Called on the loop's thread.
template <typename T>
auto MakeFulfiller(std::shared_ptr<Mailbox> mailbox,
                   kj::Own<kj::PromiseFulfiller<T>> fulfiller) {
  using Owner = kj::Own<kj::PromiseFulfiller<T>>;
  const auto release = [mailbox = std::move(mailbox),
                        loop = std::this_thread::get_id()](Owner* dropped) {
    std::shared_ptr<Owner> owner(dropped);
    if (std::this_thread::get_id() != loop) {
      mailbox->Post([owner = std::move(owner)] {});
    }
  };
  std::shared_ptr<Owner> shared(new Owner(kj::mv(fulfiller)), release);
  return [shared](T value) { (*shared)->fulfill(kj::mv(value)); };
}

}  // namespace laurelhall::control
