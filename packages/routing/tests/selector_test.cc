#include <doctest/doctest.h>

#include <map>

#include "laurelhall/routing/selector.h"

namespace laurelhall::routing {
namespace {

using model::EndpointState;
using std::chrono::seconds;

constexpr SteadyTime kStart = SteadyTime{} + seconds(1000);

class SelectorFixture {
 protected:
  SelectorFixture() { m_init.own_zone = "zone-0"; }

  /// Endpoints "0", "1", ... in zones in turn.
  void Start(int endpoints, int zones = 1) {
    m_selector = std::make_unique<Selector>(m_init);
    for (int i = 0; i < endpoints; ++i) {
      const std::string id = std::to_string(i);
      Update(id, 1, EndpointState::kReady, 1, i % zones);
      m_candidates.push_back({id, 8});
    }
  }

  void Update(const std::string& id,
              uint64_t incarnation,
              EndpointState state,
              uint64_t index,
              int zone = 0) {
    model::Endpoint endpoint;
    endpoint.id = id;
    endpoint.incarnation = incarnation;
    endpoint.state = state;
    endpoint.changed_at_index = index;
    endpoint.availability_zone = "zone-" + std::to_string(zone);
    m_selector->Update(endpoint, m_now);
  }

  /// Runs one request; every endpoint answers by the tables.
  std::string Run() {
    m_selector->ConfirmAll(m_now);
    const auto picked = m_selector->Pick(m_candidates, "", m_now);
    if (!picked) {
      return "";
    }
    m_selector->Started(*picked, m_now);
    const Millis latency =
        m_latencies.contains(*picked) ? m_latencies[*picked] : Millis{20};
    m_now += latency;
    m_selector->Finished(*picked, m_outcomes[*picked], latency, m_now);
    return *picked;
  }

  std::map<std::string, int> Run(int count) {
    std::map<std::string, int> picks;
    for (int i = 0; i < count; ++i) {
      picks[Run()]++;
    }
    return picks;
  }

  /// Fails until the endpoint is set aside.
  void FailOften(const std::string& id) {
    for (int i = 0; i < m_init.failures_to_eject; ++i) {
      m_selector->Started(id, m_now);
      m_selector->Finished(id, AttemptOutcome::kError, Millis{1}, m_now);
    }
  }

  SelectorInit m_init;
  SteadyTime m_now = kStart;
  std::unique_ptr<Selector> m_selector;
  std::vector<Selector::Candidate> m_candidates;
  std::map<std::string, Millis> m_latencies;
  std::map<std::string, AttemptOutcome> m_outcomes;
};

}  // namespace

TEST_CASE_FIXTURE(SelectorFixture,
                  "Selector, one endpoint slow, gets less but is tried again") {
  Start(4);
  m_latencies["0"] = Millis{100};
  auto picks = Run(1000);
  CHECK(picks["0"] < 100);
  CHECK(picks["0"] > 0);
  m_latencies["0"] = Millis{20};
  Run(2000);
  picks = Run(1000);
  CHECK(picks["0"] > 150);
}

TEST_CASE_FIXTURE(SelectorFixture,
                  "Selector, endpoint fails fast and may not be set aside, "
                  "does not attract") {
  m_init.max_ejected_share = 0;
  Start(4);
  m_latencies["0"] = Millis{1};
  m_outcomes["0"] = AttemptOutcome::kError;
  const auto picks = Run(2000);
  CHECK(m_selector->EjectedCount(m_now) == 0);
  CHECK(picks.at("0") < 40);
}

TEST_CASE_FIXTURE(SelectorFixture,
                  "Selector, endpoint fails in a row, is set aside") {
  Start(4);
  FailOften("0");
  CHECK(m_selector->EjectedCount(m_now) == 1);
  CHECK(m_selector->Usable(m_now).size() == 3);
  CHECK_FALSE(m_selector->MaySend("0", m_now));
}

TEST_CASE_FIXTURE(SelectorFixture,
                  "Selector, time set aside is over, probes one at a time and "
                  "ramps up") {
  Start(2);
  FailOften("0");
  CHECK(m_selector->EjectedCount(m_now) == 1);
  m_now += m_init.ejection_base;
  m_selector->ConfirmAll(m_now);
  CHECK(m_selector->Pick(m_candidates, "", m_now, false) == "1");
  CHECK(m_selector->Pick(m_candidates, "1", m_now) == std::nullopt);
  REQUIRE(m_selector->Pick(m_candidates, "", m_now) == "0");
  m_selector->Started("0", m_now);
  CHECK(m_selector->MaySend("0", m_now));
  CHECK(m_selector->Pick(m_candidates, "", m_now) == "1");
  m_selector->Finished("0", AttemptOutcome::kOk, Millis{0}, m_now);
  CHECK(m_selector->EjectedCount(m_now) == 1);
  Run(1000);
  CHECK(m_selector->EjectedCount(m_now) == 0);
  const auto picks = Run(1000);
  CHECK(picks.at("0") > 400);
}

TEST_CASE_FIXTURE(SelectorFixture,
                  "Selector, set aside again and again, the time grows") {
  Start(2);
  FailOften("0");
  Millis time = m_init.ejection_base;
  for (int i = 0; i < 10; ++i) {
    m_now += time - Millis{1};
    m_selector->ConfirmAll(m_now);
    CHECK_FALSE(m_selector->Pick(m_candidates, "", m_now) == "0");
    m_now += Millis{1};
    CHECK(m_selector->Pick(m_candidates, "", m_now) == "0");
    m_selector->Finished("0", AttemptOutcome::kError, Millis{0}, m_now);
    time = std::min(time * 2, m_init.ejection_max);
  }
}

TEST_CASE_FIXTURE(SelectorFixture,
                  "Selector, nearly all fail, no more than the share is set "
                  "aside") {
  Start(10);
  for (int i = 0; i < 9; ++i) {
    m_outcomes[std::to_string(i)] = AttemptOutcome::kTimeout;
  }
  for (int i = 0; i < 2000; ++i) {
    CHECK_FALSE(Run().empty());
    CHECK(m_selector->EjectedCount(m_now) <= 5);
  }
}

TEST_CASE_FIXTURE(SelectorFixture,
                  "Selector, view not confirmed, endpoint gets nothing until "
                  "it is") {
  Start(1);
  const SteadyTime later = m_now + m_init.view_bound + Millis{1};
  CHECK(m_selector->MaySend("0", m_now + m_init.view_bound));
  CHECK_FALSE(m_selector->MaySend("0", later));
  CHECK_FALSE(m_selector->Pick(m_candidates, "", later));
  m_selector->ConfirmOne("0", 2, later);
  CHECK_FALSE(m_selector->MaySend("0", later));
  m_selector->ConfirmOne("0", 1, later);
  CHECK(m_selector->MaySend("0", later));
}

TEST_CASE_FIXTURE(SelectorFixture,
                  "Selector, endpoint leaves, stays closed for that "
                  "incarnation") {
  Start(1);
  Update("0", 1, EndpointState::kLeaving, 5);
  Update("0", 1, EndpointState::kReady, 4);  // Late.
  CHECK_FALSE(m_selector->MaySend("0", m_now));
  Update("0", 1, EndpointState::kReady, 6);
  m_selector->ConfirmAll(m_now);
  m_selector->ConfirmOne("0", 1, m_now);
  CHECK_FALSE(m_selector->MaySend("0", m_now));
  CHECK(m_selector->Find("0")->state == EndpointState::kLeaving);
  Update("0", 2, EndpointState::kReady, 7);
  CHECK(m_selector->MaySend("0", m_now));
}

TEST_CASE_FIXTURE(SelectorFixture,
                  "Selector, endpoint is gone, is remembered for ten minutes") {
  Start(1);
  Update("0", 1, EndpointState::kGone, 5);
  m_selector->ConfirmAll(m_now + seconds(600));
  CHECK(m_selector->Find("0"));
  m_selector->ConfirmAll(m_now + seconds(601));
  CHECK_FALSE(m_selector->Find("0"));
}

TEST_CASE_FIXTURE(SelectorFixture,
                  "Selector, outcomes of an older incarnation, are ignored") {
  Start(2);
  for (int i = 0; i < 8; ++i) {
    m_selector->Started("0", m_now);
  }
  m_now += seconds(2);
  Update("0", 2, EndpointState::kReady, 9);
  m_now += seconds(1);
  m_selector->ConfirmAll(m_now);
  m_selector->Started("0", m_now);
  for (int i = 0; i < 8; ++i) {
    m_selector->Finished("0", AttemptOutcome::kError, seconds(3), m_now);
    m_selector->Finished("0", 1, AttemptOutcome::kError, Millis{1}, m_now);
  }
  CHECK(m_selector->EjectedCount(m_now) == 0);
  for (int i = 0; i < m_init.failures_to_eject; ++i) {
    m_selector->Finished("0", 2, AttemptOutcome::kError, Millis{1}, m_now);
  }
  CHECK(m_selector->EjectedCount(m_now) == 1);
}

TEST_CASE_FIXTURE(SelectorFixture,
                  "Selector, zones equally fast, prefers the own one; slower, "
                  "does not") {
  Start(4, 2);
  auto picks = Run(500);
  CHECK(picks["0"] + picks["2"] > 400);
  m_latencies["0"] = m_latencies["2"] = Millis{60};
  Run(100);
  picks = Run(500);
  CHECK(picks["1"] + picks["3"] > 400);
}

TEST_CASE("RetryBudget, all attempts fail, retries stay in proportion") {
  RetryBudget budget(0.1);
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.FirstAttempt();
    while (budget.TryRetry()) {
      retries++;
    }
  }
  CHECK(retries >= 100);
  CHECK(retries <= 103);
}

}  // namespace laurelhall::routing
