#include "laurelhall/storage/store_retry.h"

#include <algorithm>

namespace laurelhall::storage {
namespace {

// Longer than the shortest election: a host that comes back has forgotten which
// leader it trusted, and must not vote while that one may hold a lease.
constexpr Millis kFirstWait{700};
constexpr Millis kLongestWait{2'000};
constexpr int kMostTries = 8;  // Beyond, the wait is the longest anyway.
constexpr size_t kUnfitFailures = 3;
constexpr std::chrono::minutes kUnfitWindow{10};
constexpr std::chrono::minutes kUnfitOutage{1};

}  // namespace

Millis StoreRetry::Failed(SteadyTime now) {
  m_tries = static_cast<int>(RecentFailures(now));
  m_failed_at.push_back(now);
  if (m_failed_at.size() > kUnfitFailures) {
    m_failed_at.pop_front();
  }
  ++m_failures;
  m_is_failed = true;
  return NextWait();
}

Millis StoreRetry::StillFailed() {
  m_tries = std::min(m_tries + 1, kMostTries);
  return NextWait();
}

void StoreRetry::Opened() {
  m_is_failed = false;
}

bool StoreRetry::IsUnfit(SteadyTime now) const {
  const bool is_long_out =
      m_is_failed && now - m_failed_at.back() >= kUnfitOutage;
  return is_long_out || RecentFailures(now) >= kUnfitFailures;
}

// By half more each time, and by up to a quarter of that at random.
Millis StoreRetry::NextWait() {
  Millis wait = kFirstWait;
  for (int i = 0; i < m_tries; ++i) {
    wait = std::min(wait * 3 / 2, kLongestWait);
  }
  return wait + Millis(m_random() % static_cast<uint64_t>(wait.count() / 4));
}

size_t StoreRetry::RecentFailures(SteadyTime now) const {
  return static_cast<size_t>(
      std::count_if(m_failed_at.begin(), m_failed_at.end(),
                    [now](SteadyTime at) { return now - at < kUnfitWindow; }));
}

}  // namespace laurelhall::storage
