#pragma once

#include <optional>

#include "laurelhall/base/time.h"

namespace laurelhall::scheduling {

/// A time of a worker's own steady clock.
using WorkerTime = std::chrono::duration<int64_t, std::milli>;

/// Tracks a worker's clock and the lease that covers all of its runs.
///
/// @remarks Reads no clock itself; not thread-safe. In doubt, a lease counts as
///   not expired.
class WorkerClock {
 public:
  /// @param longest_lease The longest lease that a worker grants.
  /// @param since Leases that a previous leader requested end at most
  ///   `longest_lease` after this time, plus the allowances for messages that
  ///   are still on their way and for slow clocks.
  WorkerClock(Millis longest_lease, SteadyTime since);

  /// Processes the clock value of a reply that arrived at `now`.
  void Observe(WorkerTime clock, SteadyTime now);

  bool is_known() const { return m_clock.has_value(); }

  /// The current time of the worker's clock. Low by up to the time that the
  /// reply took to arrive.
  ///
  /// @pre is_known()
  WorkerTime Estimate(SteadyTime now) const;

  /// How long ago, at least, the worker's clock had the given value: zero if
  /// nothing is known to the contrary.
  Millis AgeOf(WorkerTime clock, SteadyTime now) const;

  /// The lease end to request now: `longest_lease` after `leading_at`, or a
  /// later end that was requested before. It counts as granted from this call
  /// on.
  ///
  /// @param leading_at The latest time at which this host was certainly the
  ///   leader. A later lease end must not be requested, because the next leader
  ///   relies on this bound.
  /// @pre is_known()
  WorkerTime Extend(SteadyTime leading_at);

  /// Whether every lease that may have been granted has certainly expired.
  bool HasSurelyLapsed(SteadyTime now) const;

  /// The earliest time at which HasSurelyLapsed() may hold, unless the clock is
  /// observed or the lease is extended before.
  SteadyTime LapsesAt() const;

 private:
  Millis m_longest_lease;
  SteadyTime m_previous_leases_end;
  std::optional<WorkerTime> m_clock;
  SteadyTime m_observed_at{};
  /// A time that the worker's clock had certainly reached at `m_reached_at`.
  /// Unlike `m_clock`, not set back by a reply that arrives late.
  WorkerTime m_reached{0};
  SteadyTime m_reached_at{};
  WorkerTime m_lease_end{0};
  WorkerTime m_requested_end{WorkerTime::min()};
};

}  // namespace laurelhall::scheduling
