#include "admission_limit_p.h"

#include <algorithm>

namespace laurelhall::dispatch {

namespace {

// Answers up to this time raise the limit. A leader that keeps up answers after
// a commit, within some tens of milliseconds.
constexpr Millis kFastAnswer{170};
// Later answers lower the limit; half of the request timeout.
constexpr Millis kLateAnswer{300};
// The limit is lowered at most once in this time, as answers to requests sent
// before a change don't show its effect.
constexpr Millis kLowerInterval{100};
constexpr double kLateFactor = 0.7;  // Factor for a late answer.
constexpr double kMinLimit = 1;
constexpr double kMaxLimit = 64;

}  // namespace

void AdmissionLimit::Leave(Millis took,
                           AdmittedOutcome outcome,
                           SteadyTime now) {
  const bool was_used = 2 * m_under_way >= limit();
  --m_under_way;
  if (outcome == AdmittedOutcome::kNotSent) {
    return;  // Says nothing about the leader's load.
  }
  if (outcome == AdmittedOutcome::kNotAnswered && took > kLateAnswer) {
    // The leader is gone, or busy with requests that have timed out; more
    // requests would delay it further.
    Lower(kMinLimit, now);
  } else if (outcome == AdmittedOutcome::kAnswered && took > kLateAnswer) {
    Lower(m_limit * kLateFactor, now);
  } else if (outcome == AdmittedOutcome::kAnswered && took <= kFastAnswer &&
             was_used) {
    // Rises by one per answer up to half of the limit that was last lowered,
    // then by one per round of answers.
    m_limit += m_limit < m_slow_start_end ? 1 : 1 / m_limit;
    m_limit = std::min(m_limit, kMaxLimit);
  }
}

void AdmissionLimit::Lower(double limit, SteadyTime now) {
  if (now - m_lowered_at < kLowerInterval) {
    return;
  }
  m_lowered_at = now;
  m_slow_start_end = m_limit > kMinLimit ? m_limit / 2 : m_slow_start_end;
  m_limit = std::max(limit, kMinLimit);
}

}  // namespace laurelhall::dispatch
