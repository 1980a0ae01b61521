#include <random>

#include "machine_fixture.h"

namespace laurelhall::state {
namespace {

using model::Endpoint;
using model::EndpointState;

struct EndpointTableFixture : MachineFixture {
  ActResult Announce(const std::string& id,
                     uint64_t incarnation,
                     EndpointState state,
                     int slots = 8) {
    Endpoint endpoint;
    endpoint.id = id;
    endpoint.service = "estimates-a";
    endpoint.address = "10.0.0.7:80";
    endpoint.incarnation = incarnation;
    endpoint.state = state;
    endpoint.slots = slots;
    endpoint.state_since = m_now;
    return Act(EndpointCommand{endpoint});
  }

  // The endpoint as a reader that asks for everything sees it.
  std::optional<Endpoint> Find(const std::string& id) const {
    for (const Endpoint& endpoint : m_machine->EndpointsSince(0)) {
      if (endpoint.id == id) {
        return endpoint;
      }
    }
    return std::nullopt;
  }
};

TEST_CASE_FIXTURE(EndpointTableFixture,
                  "Endpoints, late announcements, change nothing") {
  CHECK(Announce("e", 5, EndpointState::kReady).is_accepted);
  const ActResult older = Announce("e", 4, EndpointState::kReady);
  CHECK_FALSE(older.is_accepted);
  CHECK(older.version == 5);
  CHECK_FALSE(Announce("e", 4, EndpointState::kLeaving).is_accepted);
  CHECK_FALSE(Announce("e", 4, EndpointState::kGone).is_accepted);
  CHECK(Announce("e", 5, EndpointState::kLeaving).is_accepted);
  const ActResult late = Announce("e", 5, EndpointState::kReady);
  CHECK_FALSE(late.is_accepted);
  CHECK(late.error == "endpoint e incarnation 5 is leaving and stays so");
  CHECK(Announce("e", 5, EndpointState::kGone).is_accepted);
  Reload();
  CHECK_FALSE(Announce("e", 5, EndpointState::kReady).is_accepted);
  CHECK(Announce("e", 5, EndpointState::kLeaving).is_accepted);
  CHECK(Find("e")->state == EndpointState::kGone);
  CHECK(Announce("e", 6, EndpointState::kReady).is_accepted);
  CHECK(Find("e")->state == EndpointState::kReady);
}

TEST_CASE_FIXTURE(EndpointTableFixture,
                  "Endpoints, silent then heard again, are ready again") {
  CHECK(Announce("e", 5, EndpointState::kReady).is_accepted);
  CHECK(Announce("e", 5, EndpointState::kGone).is_accepted);
  CHECK(Announce("e", 5, EndpointState::kReady).is_accepted);
  CHECK(Find("e")->state == EndpointState::kReady);
  CHECK(Announce("new", 1, EndpointState::kGone).is_accepted);
  CHECK_FALSE(Find("new").has_value());
  CHECK_FALSE(Announce("", 1, EndpointState::kReady).is_accepted);
  CHECK_FALSE(Announce("none", 1, EndpointState::kReady, 0).is_accepted);
}

TEST_CASE_FIXTURE(EndpointTableFixture,
                  "Endpoints, leaving heard before ready, stays leaving") {
  CHECK(Announce("e", 5, EndpointState::kLeaving).is_accepted);
  CHECK_FALSE(Announce("e", 5, EndpointState::kReady).is_accepted);
  CHECK(Find("e")->state == EndpointState::kLeaving);
}

TEST_CASE_FIXTURE(EndpointTableFixture,
                  "Endpoints, asked for changes, sends only transitions") {
  CHECK(Announce("a", 1, EndpointState::kReady).is_accepted);
  CHECK(Announce("b", 1, EndpointState::kReady).is_accepted);
  const uint64_t seen = m_machine->applied_index();
  CHECK(Announce("a", 1, EndpointState::kReady).is_accepted);  // A renewal.
  CHECK(m_machine->EndpointsSince(seen).empty());
  CHECK(Announce("a", 1, EndpointState::kReady, 4).is_accepted);
  CHECK(Announce("b", 1, EndpointState::kLeaving, 2).is_accepted);
  Reload();
  const std::vector<Endpoint> changed = m_machine->EndpointsSince(seen);
  REQUIRE(changed.size() == 2);
  CHECK(changed[0].slots == 4);
  CHECK(changed[1].state == EndpointState::kLeaving);
  CHECK(changed[1].slots == 8);  // Who leaves keeps its facts.
  CHECK(changed[1].changed_at_index == m_index);
}

TEST_CASE_FIXTURE(EndpointTableFixture,
                  "Endpoints, gone for the retention, are purged") {
  CHECK(Announce("e", 5, EndpointState::kReady).is_accepted);
  CHECK(Announce("e", 5, EndpointState::kGone).is_accepted);
  m_now += m_limits.gone_endpoint_retention - Millis(1);
  Expire();
  CHECK(Find("e")->state == EndpointState::kGone);
  m_now += Millis(1);
  Expire();
  CHECK_FALSE(Find("e").has_value());
}

TEST_CASE_FIXTURE(EndpointTableFixture,
                  "Endpoints, gone while a long run may go on, are known") {
  CHECK(Change("ana", "a1", 0, "pools", R"({"annex": {}})").is_accepted);
  CHECK(Change("ana", "a2", 1, "services",
               R"({"s": {"pools": ["annex"], "max_run_time": "2h"}})")
            .is_accepted);
  CHECK(Announce("e", 5, EndpointState::kReady).is_accepted);
  CHECK(Announce("e", 5, EndpointState::kGone).is_accepted);
  m_now += m_limits.gone_endpoint_retention + std::chrono::hours(2) - Millis(1);
  Expire();
  CHECK(Find("e").has_value());
  m_now += Millis(1);
  Expire();
  CHECK_FALSE(Find("e").has_value());
}

TEST_CASE("Endpoints, announcements crossed over seeds, never turn back") {
  for (uint64_t seed = 1; seed <= 60; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    EndpointTableFixture fixture;
    uint64_t newest = 0;
    uint64_t last_left = 0;
    std::map<std::string, Endpoint> view;  // Built from deltas alone.
    uint64_t seen = 0;
    for (int step = 0; step < 80; ++step) {
      const uint64_t incarnation = 1 + random() % (2 + step / 10);
      const auto state = static_cast<EndpointState>(random() % 3);
      const bool is_accepted =
          fixture.Announce("e", incarnation, state).is_accepted;
      CHECK(is_accepted ==
            (incarnation >= newest &&
             !(state == EndpointState::kReady && incarnation == last_left)));
      const bool is_recorded =
          is_accepted && (newest > 0 || state != EndpointState::kGone);
      newest = is_recorded ? incarnation : newest;
      if (is_accepted && state == EndpointState::kLeaving) {
        last_left = incarnation;
      }
      for (const Endpoint& endpoint : fixture.m_machine->EndpointsSince(seen)) {
        view[endpoint.id] = endpoint;
      }
      seen = fixture.m_machine->applied_index();
      const auto now = fixture.Find("e");
      REQUIRE(now.has_value() == view.contains("e"));
      if (now) {
        CHECK(view["e"].state == now->state);
        CHECK(now->incarnation == newest);
        CHECK_FALSE((now->state == EndpointState::kReady &&
                     now->incarnation == last_left));
      }
    }
  }
}

}  // namespace
}  // namespace laurelhall::state
