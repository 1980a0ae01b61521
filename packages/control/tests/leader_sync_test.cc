#include "leader_sync_p.h"

#include <doctest/doctest.h>

#include "client_loop_p.h"
#include "command_stamp_p.h"

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

  void Apply(std::vector<state::Command> commands) {
    StampCommands(commands, m_machine.config().get(), m_wall);
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
  state::SessionCommand open;
  open.entry = {"entry", 1};
  Apply({open});
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

// Entry hosts that hold slots, and leaders that follow each other.
class SessionFixture : public LeaderSyncFixture {
 protected:
  // One sync; what it proposes is committed when `is_committed`.
  void Sync(const std::string& name, bool is_committed = true) {
    SyncQuestion question;
    question.entry = {name, 1};
    question.endpoints_index = m_index;
    question.leases =
        m_senders[name].Next(m_holders[name].Report({{"e1", 1}, {"e2", 1}}));
    question.renewals = {{"e1", 1}, {"e2", 1}};
    m_answer = m_sync->Answer(question, m_index, m_now);
    m_grants = m_senders[name].Take(m_answer.leases);
    if (m_grants) {
      m_holders[name].Update(*m_grants, m_now);
    }
    const auto opened = m_sync->TakeOpenedSessions();
    if (is_committed && !opened.empty()) {
      Apply(opened);
    }
  }

  // Every half second all of these sync, and what is due is committed.
  void SyncAll(Millis duration, const std::vector<std::string>& names) {
    for (Millis passed{0}; passed < duration; passed += Millis(500)) {
      m_now += Millis(500);
      m_wall += Millis(500);
      for (const std::string& name : names) {
        Sync(name);
      }
      const auto due = m_sync->TakeDue(m_now, m_wall);
      if (!due.empty()) {
        Apply(due);
      }
    }
  }

  void ChangeLeader() {
    m_sync =
        std::make_unique<LeaderSync>(m_machine, ++m_term, m_index + 1, m_now);
  }

  void CloseEndpoints() {
    for (const std::string id : {"e1", "e2"}) {
      auto leaving = std::get<state::EndpointCommand>(Ready(id));
      leaving.endpoint.state = model::EndpointState::kLeaving;
      Apply({leaving});
    }
  }

  int SlotsOut() { return m_sync->SlotsOutByHost(m_now)[""]; }

  bool IsOpen(const std::string& name) {
    const auto session = m_machine.FindSession({name, 1});
    REQUIRE(session);
    return session->state == state::SessionState::kOpen;
  }

  uint64_t m_term = 3;
  std::map<std::string, routing::GrantHolder> m_holders;
  std::map<std::string, routing::RenewalSender> m_senders;
  std::optional<std::vector<routing::SlotGrant>> m_grants;  // As answered last.
};

TEST_CASE_FIXTURE(SessionFixture,
                  "Sessions, first sync, lends nothing before the session is "
                  "committed") {
  Sync("one", false);
  CHECK_FALSE(m_grants);
  CHECK_FALSE(m_machine.FindSession({"one", 1}));
  m_now += Seconds(2);
  Sync("one");
  CHECK_FALSE(m_grants);
  Sync("one");
  CHECK((m_grants && m_grants->size() == 2));
}

TEST_CASE_FIXTURE(SessionFixture,
                  "Sessions, one falls silent, is lost after its time, then "
                  "holds nothing, and opens again when it is back") {
  SyncAll(Seconds(20), {"one", "two"});
  SyncAll(Millis(14'000), {"one"});
  CHECK(IsOpen("two"));
  SyncAll(Seconds(2), {"one"});
  CHECK_FALSE(IsOpen("two"));
  CHECK(m_machine.FindSession({"two", 1})->may_hold_slots);
  SyncAll(std::chrono::minutes(6), {"one"});
  REQUIRE(m_machine.FindSession({"two", 1}));
  CHECK_FALSE(m_machine.FindSession({"two", 1})->may_hold_slots);
  Sync("two");
  CHECK_FALSE(m_grants);
  SyncAll(Seconds(20), {"one", "two"});
  CHECK(IsOpen("two"));
  CHECK(m_machine.FindSession({"two", 1})->may_hold_slots);
  CHECK((m_grants && m_grants->size() == 2));
}

TEST_CASE_FIXTURE(SessionFixture,
                  "Sessions, loss proposed and not yet committed, lends "
                  "nothing to the one that is back") {
  SyncAll(Seconds(20), {"one", "two"});
  SyncAll(Seconds(14), {"one"});
  m_now += Seconds(1);
  Sync("one");
  const auto due = m_sync->TakeDue(m_now, m_wall);
  REQUIRE(due.size() == 1);
  Sync("two");
  CHECK(IsOpen("two"));
  CHECK_FALSE(m_grants);
  Apply(due);
  SyncAll(Seconds(3), {"one", "two"});
  CHECK(IsOpen("two"));
  CHECK((m_grants && m_grants->size() == 2));
}

TEST_CASE_FIXTURE(SessionFixture,
                  "Sessions, all were cut off, the first one back loses no "
                  "other") {
  SyncAll(Seconds(20), {"one", "two"});
  m_now += Seconds(30);
  SyncAll(Seconds(10), {"one"});
  CHECK(IsOpen("two"));
  SyncAll(Seconds(10), {"one"});
  CHECK_FALSE(IsOpen("two"));
}

TEST_CASE_FIXTURE(SessionFixture,
                  "Sessions, leader changes while an endpoint drains, no slot "
                  "is out once all have reported") {
  SyncAll(Seconds(20), {"one", "two"});
  CHECK(SlotsOut() == 16);
  CloseEndpoints();
  SyncAll(Seconds(3), {"one", "two"});
  CHECK(SlotsOut() == 0);
  ChangeLeader();
  SyncAll(Seconds(3), {"one"});
  CHECK(SlotsOut() == 16);  // Nobody knows what the other one runs.
  SyncAll(Seconds(3), {"one", "two"});
  CHECK(SlotsOut() == 0);
  // One that died is waited for as long as a run of it may go on.
  ChangeLeader();
  SyncAll(std::chrono::minutes(5), {"one"});
  CHECK(SlotsOut() == 16);
  SyncAll(Seconds(30), {"one"});
  CHECK(SlotsOut() == 0);
  // That is committed: the next leader need not wait for it again.
  ChangeLeader();
  SyncAll(Seconds(3), {"one"});
  CHECK(SlotsOut() == 0);
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
