#pragma once

#include <cstddef>

#include "laurelhall/base/time.h"

namespace laurelhall::dispatch {

/// The result of an admitted request.
enum class AdmittedOutcome {
  kAnswered,
  kNotAnswered,  ///< It was sent and timed out.
  kNotSent,      ///< No leader was known, or it was lost.
  kCount,
};

/// An adaptive limit on the requests of one kind that an entry host has in
/// flight to the leader. It rises while answers are fast and falls when they
/// are late. Requests beyond the limit are refused at once, so that the leader
/// spends its time on requests that it can still answer in time.
///
/// @remarks Reads no clock. Not thread-safe.
class AdmissionLimit {
 public:
  bool MayEnter() const { return m_under_way < limit(); }

  /// Counts a request that is sent to the leader. The limit may be exceeded by
  /// a retry of a request that was admitted.
  void Enter() { ++m_under_way; }

  /// Ends a request that was counted and adapts the limit to its result.
  ///
  /// @param took The time until its answer, or until it timed out.
  /// @pre Enter() was called for it.
  void Leave(Millis took, AdmittedOutcome outcome, SteadyTime now);

  size_t under_way() const { return m_under_way; }
  size_t limit() const { return static_cast<size_t>(m_limit); }

 private:
  void Lower(double limit, SteadyTime now);

  /// The limit before the first answer.
  static constexpr double kInitialLimit = 8;

  double m_limit = kInitialLimit;
  size_t m_under_way = 0;
  double m_slow_start_end = 0;  ///< Below this limit it rises by one an answer.
  SteadyTime m_lowered_at{};
};

}  // namespace laurelhall::dispatch
