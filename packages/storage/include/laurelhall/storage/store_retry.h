#pragma once

#include <cstdint>
#include <deque>
#include <random>

#include "laurelhall/base/time.h"

namespace laurelhall::storage {

/// When a store that failed is opened again, and whether its host is unfit.
///
/// @remarks Reads no clock. Not thread-safe.
class StoreRetry {
 public:
  /// @param seed Of the jitter; differs from host to host, so that those whose
  ///   disks fill at once do not come back in step.
  explicit StoreRetry(uint64_t seed) : m_random(seed) {}

  /// The open store failed, or could not be opened at the start.
  ///
  /// @returns The wait before it is to be opened.
  Millis Failed(SteadyTime now);

  /// It could not be opened again.
  ///
  /// @returns The wait before the next try.
  Millis StillFailed();

  /// It is open.
  void Opened();

  /// Whether the disk fails too often or for too long to be relied on.
  bool IsUnfit(SteadyTime now) const;

  bool is_failed() const { return m_is_failed; }
  uint64_t failures() const { return m_failures; }  ///< Since the start.

 private:
  Millis NextWait();
  size_t RecentFailures(SteadyTime now) const;

  std::mt19937_64 m_random;
  std::deque<SteadyTime> m_failed_at;  // The latest, as many as make it unfit.
  uint64_t m_failures = 0;
  int m_tries = 0;  // Grows the wait.
  bool m_is_failed = false;
};

}  // namespace laurelhall::storage
