#include <algorithm>

#include "laurelhall/routing/selector.h"

namespace laurelhall::routing {
namespace {

/// First attempts whose unused retries are kept for a burst of failures.
constexpr double kKeptAttempts = 200;

}  // namespace

RetryBudget::RetryBudget(double ratio, double reserve)
    : m_ratio(ratio), m_reserve(reserve), m_balance(reserve) {}

void RetryBudget::FirstAttempt() {
  const double most = std::max(m_reserve, m_ratio * kKeptAttempts);
  m_balance = std::min(m_balance + m_ratio, most);
}

bool RetryBudget::TryRetry() {
  if (m_balance < 1) {
    return false;
  }
  m_balance -= 1;
  return true;
}

}  // namespace laurelhall::routing
