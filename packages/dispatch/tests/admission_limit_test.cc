#include "admission_limit_p.h"

#include <doctest/doctest.h>

#include <deque>
#include <map>
#include <random>
#include <vector>

#include "world.h"

namespace laurelhall::dispatch {
namespace {

// A model of callers that send requests to entry hosts, which forward them to a
// leader that answers kAnswersPerSecond requests per second in order of
// arrival. It advances in steps of 1 ms.
class OverloadModel {
 public:
  static constexpr int kHosts = 300;
  static constexpr int kAnswersPerSecond = 1'000;
  static constexpr Millis kRequestTimeout{600};

  OverloadModel(uint64_t seed, bool has_limit)
      : m_random(seed), m_has_limit(has_limit), m_limits(kHosts) {}

  // Returns the requests answered in time as a share of those that could have
  // been answered.
  double Play(Millis time, double per_second) {
    int in_time = 0;
    int asked = 0;
    for (Millis passed{0}; passed < time; passed += Millis(1)) {
      m_now += Millis(1);
      std::poisson_distribution<int> arrivals(per_second / 1'000);
      for (int left = arrivals(m_random); left > 0; --left) {
        Ask();
        ++asked;
      }
      TimeOut();
      in_time += Answer();
    }
    const double most =
        static_cast<double>(time.count()) * kAnswersPerSecond / 1'000;
    return in_time / std::min<double>(asked, most);
  }

  int refused() const { return m_refused; }

 private:
  struct PendingRequest {
    int host = 0;
    SteadyTime requested_at{};
    bool is_timed_out = false;
  };

  void Ask() {
    const int host =
        std::uniform_int_distribution<int>(0, kHosts - 1)(m_random);
    AdmissionLimit& limit = m_limits[static_cast<size_t>(host)];
    if (m_has_limit && !limit.MayEnter()) {
      ++m_refused;
      return;
    }
    limit.Enter();
    m_queue.push_back({host, m_now});
  }

  void Leave(const PendingRequest& pending_request, AdmittedOutcome outcome) {
    if (m_has_limit) {
      m_limits[static_cast<size_t>(pending_request.host)].Leave(
          std::chrono::floor<Millis>(m_now - pending_request.requested_at),
          outcome, m_now);
    }
  }

  void TimeOut() {
    for (PendingRequest& pending_request : m_queue) {
      if (!pending_request.is_timed_out &&
          m_now - pending_request.requested_at >= kRequestTimeout) {
        pending_request.is_timed_out = true;
        Leave(pending_request, AdmittedOutcome::kNotAnswered);
      }
    }
  }

  // A request that has timed out costs the leader as much as any other.
  int Answer() {
    int in_time = 0;
    m_budget = std::min(m_budget + kAnswersPerSecond / 1'000.0, 10.0);
    while (m_budget >= 1 && !m_queue.empty()) {
      m_budget -= 1;
      if (!m_queue.front().is_timed_out) {
        Leave(m_queue.front(), AdmittedOutcome::kAnswered);
        ++in_time;
      }
      m_queue.pop_front();
    }
    return in_time;
  }

  std::mt19937_64 m_random;
  const bool m_has_limit;
  std::vector<AdmissionLimit> m_limits;
  std::deque<PendingRequest> m_queue;
  SteadyTime m_now{};
  double m_budget = 0;
  int m_refused = 0;
};

TEST_CASE("AdmissionLimit, answers are fast, limit rises") {
  AdmissionLimit limit;
  const size_t before = limit.limit();
  SteadyTime now{};
  for (int round = 0; round < 100; ++round) {
    while (limit.MayEnter()) {
      limit.Enter();
    }
    now += Millis(50);
    while (limit.under_way() > 0) {
      limit.Leave(Millis(50), AdmittedOutcome::kAnswered, now);
    }
  }
  CHECK(limit.limit() > 2 * before);
}

TEST_CASE("AdmissionLimit, answers to few requests are fast, limit stays") {
  AdmissionLimit limit;
  const size_t before = limit.limit();
  for (int request = 0; request < 1'000; ++request) {
    REQUIRE(limit.MayEnter());
    limit.Enter();
    limit.Leave(Millis(50), AdmittedOutcome::kAnswered,
                SteadyTime(Millis(request)));
  }
  CHECK(limit.limit() == before);
}

TEST_CASE("AdmissionLimit, requests time out, one at a time is admitted") {
  AdmissionLimit limit;
  SteadyTime now{};
  for (int round = 0; round < 20; ++round) {
    now += Millis(600);
    REQUIRE(limit.MayEnter());
    limit.Enter();
    limit.Leave(Millis(600), AdmittedOutcome::kNotAnswered, now);
  }
  CHECK(limit.limit() == 1);
  CHECK(limit.MayEnter());
  limit.Enter();
  CHECK_FALSE(limit.MayEnter());
}

TEST_CASE(
    "AdmissionLimit, disks are slow and one answer is lost, limit rises "
    "again") {
  AdmissionLimit limit;
  SteadyTime now{Millis(10'000)};
  limit.Enter();
  limit.Leave(Millis(600), AdmittedOutcome::kNotAnswered, now);
  const size_t lowered = limit.limit();
  // An idle leader whose quorum's disks take 160 ms to sync.
  for (int round = 0; round < 100; ++round) {
    now += Millis(160);
    while (limit.MayEnter()) {
      limit.Enter();
    }
    while (limit.under_way() > 0) {
      limit.Leave(Millis(160), AdmittedOutcome::kAnswered, now);
    }
  }
  CHECK(limit.limit() > lowered);
}

// Requests that wait while leaders change don't show that a leader is busy.
TEST_CASE("AdmissionLimit, no leader is known, limit stays") {
  AdmissionLimit limit;
  const size_t before = limit.limit();
  for (int request = 0; request < 20; ++request) {
    REQUIRE(limit.MayEnter());
    limit.Enter();
    limit.Leave(Millis(1'200), AdmittedOutcome::kNotSent,
                SteadyTime(Seconds(request)));
  }
  CHECK(limit.limit() == before);
}

// Under a multiple of the leader's capacity at least 90 % of that capacity is
// answered in time, and so is the load after the overload has ended.
TEST_CASE("AdmissionLimit, overload, throughput stays") {
  for (const uint64_t seed : SeedsToRun(10)) {
    for (const double times : {0.5, 0.9, 2.0, 5.0, 20.0}) {
      OverloadModel model(seed, true);
      const double asked = times * OverloadModel::kAnswersPerSecond;
      model.Play(Seconds(4), asked);
      const double served = model.Play(Seconds(5), asked);
      CHECK_MESSAGE(served >= 0.9, "seed ", seed, ", ", times, " times");
      model.Play(Seconds(2), 500);
      CHECK(model.Play(Seconds(2), 500) >= 0.9);
    }
  }
}

TEST_CASE("AdmissionLimit, not used, throughput falls under overload") {
  OverloadModel model(1, false);
  model.Play(Seconds(2), 2 * OverloadModel::kAnswersPerSecond);
  CHECK(model.Play(Seconds(5), 2 * OverloadModel::kAnswersPerSecond) < 0.5);
}

}  // namespace
}  // namespace laurelhall::dispatch
