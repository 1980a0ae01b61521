#include "laurelhall/scheduling/worker_clock.h"

#include <algorithm>

namespace laurelhall::scheduling {

namespace {

// Minimum rate of a worker's clock relative to this host's, as specified by
// the makers of the workers.
constexpr double kMinClockRate = 0.98;
// Allowed for between the arrival of a call and the start of its lease.
constexpr Millis kLeaseMargin{100};
// How long a previous leader may still send after it lost its leadership: the
// longest election timeout of the log, after which it stops by itself.
constexpr Millis kPreviousLeaderSendTime{1'200};

Millis ScaleForSlowClock(Millis duration) {
  return std::chrono::duration_cast<Millis>(duration / kMinClockRate);
}

}  // namespace

WorkerClock::WorkerClock(Millis longest_lease, SteadyTime since)
    : m_longest_lease(longest_lease),
      m_previous_leases_end(since + kPreviousLeaderSendTime +
                            ScaleForSlowClock(longest_lease) + kLeaseMargin) {}

void WorkerClock::Observe(WorkerTime clock, SteadyTime now) {
  if (!m_clock) {
    // No lease that a previous leader requested ends later than this.
    m_lease_end = clock + m_longest_lease;
  }
  m_reached = clock + AgeOf(clock, now);
  m_reached_at = now;
  // The reply took time to arrive, so that the worker's clock is at or past
  // this value by now.
  m_clock = clock;
  m_observed_at = now;
}

WorkerTime WorkerClock::Estimate(SteadyTime now) const {
  return *m_clock + std::chrono::floor<Millis>(now - m_observed_at);
}

Millis WorkerClock::AgeOf(WorkerTime clock, SteadyTime now) const {
  if (!m_clock) {
    return Millis(0);
  }
  const auto passed =
      std::chrono::duration_cast<Millis>((now - m_reached_at) * kMinClockRate);
  return std::max(Millis(0), m_reached + passed - clock);
}

WorkerTime WorkerClock::Extend(SteadyTime leading_at) {
  m_requested_end =
      std::max(m_requested_end, Estimate(leading_at) + m_longest_lease);
  m_lease_end = std::max(m_lease_end, m_requested_end);
  return m_requested_end;
}

bool WorkerClock::HasSurelyLapsed(SteadyTime now) const {
  return m_clock ? now > LapsesAt() : now >= LapsesAt();
}

SteadyTime WorkerClock::LapsesAt() const {
  if (!m_clock) {
    return m_previous_leases_end;
  }
  const Millis left = m_lease_end - *m_clock;
  return m_observed_at + ScaleForSlowClock(left) + kLeaseMargin;
}

}  // namespace laurelhall::scheduling
