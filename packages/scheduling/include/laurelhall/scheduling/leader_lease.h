#pragma once

#include "laurelhall/base/time.h"

namespace laurelhall::scheduling {

/// The time for which a leader may act after a quorum has confirmed it.
///
/// @remarks Has no side effects beyond its own state; not thread-safe. A voter
///   that heard a leader grants nobody else a vote for the minimum election
///   timeout. For that long after a request that a quorum answered, no other
///   leader can have given an order. The lease counts from the time of the
///   request on the boot clock, so that a process that was frozen or suspended
///   meanwhile finds its lease expired before it acts.
class LeaderLease {
 public:
  /// @param length Must be shorter than the minimum election timeout.
  explicit LeaderLease(Millis length) : m_length(length) {}

  /// Extends the lease, since a quorum answered the request sent at `asked_at`.
  void Renew(BootTime asked_at) {
    m_asked_at = asked_at > m_asked_at ? asked_at : m_asked_at;
  }

  bool IsHeld(BootTime now) const { return now - m_asked_at < m_length; }

  /// How long ago the lease expired; zero while it is held.
  Millis ExpiredFor(BootTime now) const {
    const auto expired_for =
        std::chrono::ceil<Millis>(now - m_asked_at) - m_length;
    return expired_for > Millis(0) ? expired_for : Millis(0);
  }

  /// Whether half of the lease has passed, when it is to be renewed so that it
  /// does not expire between two acts.
  bool NeedsRenewal(BootTime now) const {
    return now - m_asked_at >= m_length / 2;
  }

 private:
  Millis m_length;
  // Until the first renewal: longer ago than the length of any lease.
  BootTime m_asked_at{-std::chrono::hours(1)};
};

}  // namespace laurelhall::scheduling
