#pragma once

#include <chrono>
#include <string>
#include <string_view>

namespace laurelhall {

using Millis = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

/// A point on the monotonic clock of this process; never sent to another one.
using SteadyTime = std::chrono::steady_clock::time_point;

/// A point on the wall clock, used in replicated state and in reports.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

/// A clock that never jumps and goes on while the machine is suspended, as the
/// steady one does not.
struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;

  /// Thread-safe.
  static time_point now() noexcept;
};

/// A point on the boot clock of this machine; never sent to another one.
using BootTime = BootClock::time_point;

/// Returns the wall clock's time in milliseconds. Thread-safe.
WallTime WallNow();

/// Parses a duration such as "250ms", "1.5s", "5m", "2h", "28d" or "1m30s".
///
/// @param text The text; no spaces, no sign.
/// @returns The duration.
/// @throws std::invalid_argument when the text is none, or overflows.
/// @remarks Thread-safe.
Millis ParseDuration(std::string_view text);

/// Writes a duration the way ParseDuration() reads it. Thread-safe.
std::string FormatDuration(Millis duration);

/// Writes a wall time as RFC 3339 in UTC with milliseconds. Thread-safe.
std::string FormatWallTime(WallTime time);

}  // namespace laurelhall
