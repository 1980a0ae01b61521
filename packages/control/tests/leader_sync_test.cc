#include "leader_sync_p.h"

#include <doctest/doctest.h>

#include "client_loop_p.h"

namespace laurelhall::control {
namespace {

// A leader's machine with two endpoints, and one entry host that syncs.
class LeaderSyncFixture {
 protected:
  LeaderSyncFixture() {
    Apply({Ready("e1"), Ready("e2")});
    m_sync = std::make_unique<LeaderSync>(m_machine, 3, m_index + 1, m_now);
  }

  static state::Command Ready(const std::string& id) {
    state::EndpointCommand command;
    command.endpoint.id = id;
    command.endpoint.service = "estimates";
    command.endpoint.address = "10.0.0.1:80";
    command.endpoint.incarnation = 1;
    return command;
  }

  void Apply(const std::vector<state::Command>& commands) {
    m_machine.Apply(++m_index, state::EncodeCommands(commands));
  }

  // Syncs every half second for a while; `renewed` keep renewing.
  void SyncFor(Millis duration, const std::vector<std::string>& renewed) {
    for (Millis passed{0}; passed < duration; passed += Millis(500)) {
      m_now += Millis(500);
      SyncQuestion question;
      question.entry = {"entry", 1};
      question.endpoints_index = m_index;
      for (const std::string& id : renewed) {
        question.renewals.push_back({id, 1});
      }
      m_answer = m_sync->Answer(question, m_index, m_now);
    }
  }

  // Endpoints that are to be declared gone now.
  std::vector<std::string> Gone() {
    std::vector<std::string> gone;
    for (const state::Command& command : m_sync->TakeDue(m_now, m_wall)) {
      if (const auto* endpoint =
              std::get_if<state::EndpointCommand>(&command)) {
        CHECK(endpoint->endpoint.state == model::EndpointState::kGone);
        gone.push_back(endpoint->endpoint.id);
      }
    }
    return gone;
  }

  state::Machine m_machine;
  uint64_t m_index = 0;
  SteadyTime m_now{std::chrono::hours(1)};
  WallTime m_wall{std::chrono::hours(1'000)};
  std::unique_ptr<LeaderSync> m_sync;
  SyncAnswer m_answer;
};

TEST_CASE_FIXTURE(LeaderSyncFixture,
                  "LeaderSync, endpoint silent, is gone after its time, once") {
  SyncFor(std::chrono::seconds(9), {"e1"});
  CHECK(Gone().empty());
  SyncFor(std::chrono::seconds(2), {"e1"});
  CHECK(Gone() == std::vector<std::string>{"e2"});
  CHECK(Gone().empty());
  CHECK(m_answer.endpoints.empty());
}

TEST_CASE_FIXTURE(LeaderSyncFixture,
                  "LeaderSync, grants renewed without a change, answers "
                  "nothing; the next leader wants all in full") {
  routing::RenewalSender sender;
  const auto renew = [&] {
    SyncQuestion question;
    question.entry = {"entry", 1};
    question.leases = sender.Next({{"e1", 0, 0, 0, 1}});
    m_answer = m_sync->Answer(question, m_index, m_now);
    return sender.Take(m_answer.leases);
  };
  REQUIRE(renew());
  CHECK(m_answer.leases.grants.changed.size() == 2);
  const auto renewed = renew();
  REQUIRE(renewed);
  CHECK(renewed->size() == 2);
  CHECK(m_answer.leases.grants.changed.empty());
  m_sync = std::make_unique<LeaderSync>(m_machine, 4, m_index + 1, m_now);
  CHECK(!renew());
  CHECK(m_answer.leases.is_full_wanted);
  CHECK(renew()->size() == 2);
}

TEST_CASE_FIXTURE(LeaderSyncFixture,
                  "LeaderSync, entry hosts silent, declares no endpoint gone") {
  SyncFor(std::chrono::seconds(9), {"e1", "e2"});
  m_now += std::chrono::seconds(30);
  CHECK(Gone().empty());
}

TEST_CASE_FIXTURE(LeaderSyncFixture,
                  "LeaderSync, burn of a past minute, is committed once") {
  SyncQuestion question;
  question.entry = {"entry", 1};
  question.burn = {{"estimates", m_wall, 5, 1, 0, 0},
                   {"estimates", m_wall + Seconds(20), 2, 0, 0, 0}};
  m_sync->Answer(question, m_index, m_now);
  CHECK(m_sync->TakeDue(m_now, m_wall + Seconds(30)).empty());
  const auto due = m_sync->TakeDue(m_now, m_wall + Seconds(61));
  REQUIRE(due.size() == 1);
  const auto& samples = std::get<state::BurnCommand>(due[0]).samples;
  REQUIRE(samples.size() == 1);
  CHECK(samples[0].good == 7);
  CHECK(samples[0].bad_failure == 1);
  CHECK(m_sync->TakeDue(m_now, m_wall + Seconds(61)).empty());
}

TEST_CASE_FIXTURE(LeaderSyncFixture,
                  "ViewKeeper, answers of a lagging host, never goes back") {
  state::SettingsCommand change;
  change.request = {"operator", "first", m_wall};
  change.changes["pools.annex.target_hosts"] = "4";
  Apply({change});
  SyncQuestion question;
  question.entry = {"entry", 1};
  const SyncAnswer newer = m_sync->Answer(question, m_index, m_now);
  SyncAnswer older = newer;
  older.settings_version = 0;
  older.settings_records.clear();
  SyncAnswer earlier = newer;
  --earlier.applied_index;

  ViewKeeper keeper;
  const auto view = keeper.Take(newer, m_now);
  REQUIRE(view);
  REQUIRE(view->config);
  CHECK(view->config->pools.at("annex").target_hosts == 4);
  CHECK(view->endpoints.size() == 2);
  CHECK_FALSE(keeper.Take(older, m_now));
  CHECK_FALSE(keeper.Take(earlier, m_now));
  CHECK(keeper.settings_version() == newer.settings_version);
  const auto same = keeper.Take(newer, m_now);
  REQUIRE(same);
  CHECK_FALSE(same->config);
}

}  // namespace
}  // namespace laurelhall::control
