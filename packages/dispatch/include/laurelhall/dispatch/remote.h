#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "laurelhall/base/timer_service.h"
#include "laurelhall/dispatch/request.h"
#include "laurelhall/scheduling/log_service.h"

namespace laurelhall::dispatch {

/// Sends an encoded request to the leader, with retries until its deadline.
/// Calls `done` once, on any thread, with the answer; with nullopt when there
/// was none, and then whether the request may have been carried out.
using AskLeader = std::function<void(
    scheduling::LeaderRequest request,
    std::function<void(std::optional<std::string>, bool may_have_run)> done)>;

struct RemoteInit {
  TimerService* timers = nullptr;  ///< Calls back on the scheduler's thread.
  std::function<void(std::function<void()>)> post;  ///< To that thread.
  AskLeader ask;
  /// How long a caller waits for a leader before it is told to retry later:
  /// enough for an election and for the new leader to read its log.
  Millis patience{1'500};
  std::function<BootTime()> boot_now = BootClock::now;
};

/// An entry host's access to the scheduler of the leader, wherever that runs.
///
/// @remarks Used on one thread only.
class RemoteScheduler {
 public:
  explicit RemoteScheduler(const RemoteInit& init);
  ~RemoteScheduler();

  /// Sends a request to the leader.
  ///
  /// A submission may have waited unread while this process was suspended: that
  /// counts against its deadline, and one whose deadline has passed is refused.
  ///
  /// @param time_left Until the caller's deadline, if the request was read as
  ///   soon as it arrived. `done` is called as soon as the request is given up,
  ///   with kUnknown only when the request may have been carried out.
  void Ask(Request request, Millis time_left, ReplyDone done);

  /// Whether a leader has answered within the last 2.5 s, or this object was
  /// created within that time.
  bool is_connected() const;

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace laurelhall::dispatch
