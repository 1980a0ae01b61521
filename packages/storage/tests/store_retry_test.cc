#include <doctest/doctest.h>

#include <set>

#include "laurelhall/storage/store_retry.h"

namespace laurelhall::storage {
namespace {

constexpr Millis kShortestElection{600};
constexpr Millis kLongest{2'500};
constexpr std::chrono::minutes kWindow{10};

struct StoreRetryFixture {
  SteadyTime m_now{std::chrono::hours(1)};
  StoreRetry m_retry{7};
};

TEST_CASE_FIXTURE(StoreRetryFixture,
                  "StoreRetry, disk goes on refusing, waits grow to a bound") {
  Millis last = m_retry.Failed(m_now);
  CHECK(last > kShortestElection);
  const Millis first = last;
  for (int i = 0; i < 20; ++i) {
    last = m_retry.StillFailed();
    CHECK(last > kShortestElection);
    CHECK(last <= kLongest);
  }
  CHECK(last > 2 * first);
}

TEST_CASE_FIXTURE(StoreRetryFixture,
                  "StoreRetry, fails soon again, waits longer at once") {
  const Millis first = m_retry.Failed(m_now);
  m_retry.Opened();
  CHECK(m_retry.Failed(m_now + Seconds(1)) > first);
}

TEST_CASE("StoreRetry, hosts that fail at once, come back apart") {
  constexpr size_t kHosts = 20;
  std::set<Millis> waits;
  for (uint64_t host = 1; host <= kHosts; ++host) {
    waits.insert(StoreRetry(host).Failed(SteadyTime()));
  }
  CHECK(waits.size() > kHosts / 2);
}

TEST_CASE_FIXTURE(StoreRetryFixture,
                  "StoreRetry, third failure in ten minutes, unfit until they "
                  "are over") {
  for (int i = 0; i < 3; ++i) {
    CHECK_FALSE(m_retry.IsUnfit(m_now));
    m_now += Seconds(60);
    m_retry.Failed(m_now);
    m_retry.Opened();
  }
  CHECK(m_retry.failures() == 3);
  CHECK(m_retry.IsUnfit(m_now));
  CHECK(m_retry.IsUnfit(m_now + kWindow - Seconds(121)));
  CHECK_FALSE(m_retry.IsUnfit(m_now + kWindow));
}

TEST_CASE_FIXTURE(StoreRetryFixture,
                  "StoreRetry, refuses for a minute, unfit until it is open") {
  m_retry.Failed(m_now);
  CHECK_FALSE(m_retry.IsUnfit(m_now + Seconds(59)));
  CHECK(m_retry.IsUnfit(m_now + Seconds(60)));
  m_retry.Opened();
  CHECK_FALSE(m_retry.IsUnfit(m_now + Seconds(60)));
}

}  // namespace
}  // namespace laurelhall::storage
