#include <random>

#include "laurelhall/budget/budget.h"
#include "laurelhall/planning/lifecycle.h"
#include "machine_fixture.h"

namespace laurelhall::state {
namespace {

using model::ActState;
using model::DrainReason;
using model::Host;
using model::HostEvent;
using model::HostState;

struct FleetTableFixture : MachineFixture {
  FleetTableFixture() {
    CHECK(Change("ana", "setup", 0, "pools",
                 R"({"annex": {}, "hall": {}, "big": {"host_processors": 64}})")
              .is_accepted);
  }

  ActResult Add(const std::string& id, const std::string& pool) {
    Host host;
    host.id = id;
    host.pool = pool;
    host.rack = "r1";
    host.capacity = {32, 128, 0};
    return Act(HostAddCommand{RequestOf("ana"), host});
  }

  ActResult Do(const std::string& id,
               HostEvent event,
               uint64_t epoch,
               DrainReason reason = DrainReason::kNone,
               const std::string& move_to = "",
               const std::string& act = "") {
    HostCommand command;
    command.request = RequestOf("ana");
    command.host = id;
    command.expected_epoch = epoch;
    command.event = event;
    command.drain_reason = reason;
    command.move_to = move_to;
    command.act = act;
    return Act(command);
  }

  Host HostOf(const std::string& id) const {
    return m_machine->fleet().hosts.at(id);
  }
};

TEST_CASE_FIXTURE(FleetTableFixture,
                  "Hosts, moved, change their pool in one transition") {
  CHECK(Add("h", "annex").version == 1);
  CHECK(Do("h", HostEvent::kJoin, 1).version == 2);
  CHECK(Do("h", HostEvent::kWarm, 2).version == 3);
  CHECK(Do("h", HostEvent::kDrain, 3, DrainReason::kMove, "hall", "move-1")
            .version == 4);
  CHECK(Do("h", HostEvent::kMovePool, 4).error.find("isn't allowed") !=
        std::string::npos);
  CHECK(Do("h", HostEvent::kConfirmEmpty, 4).version == 5);
  CHECK(HostOf("h").pool == "annex");
  CHECK(Do("h", HostEvent::kMovePool, 5, DrainReason::kNone, "annex").error ==
        "host h drained to move to \"hall\"");
  CHECK(Do("h", HostEvent::kMovePool, 5, DrainReason::kNone, "", "move-2")
            .error == "host h is held by move-1");
  CHECK(Do("h", HostEvent::kMovePool, 5, DrainReason::kNone, "hall", "move-1")
            .version == 6);
  CHECK(HostOf("h").pool == "hall");
}

TEST_CASE_FIXTURE(FleetTableFixture,
                  "Hosts, leaving their pool, close their endpoints at once") {
  const auto announce = [&](const std::string& id, const std::string& host) {
    model::Endpoint endpoint;
    endpoint.id = id;
    endpoint.host = host;
    endpoint.is_host_away = true;  // Not for an endpoint to say.
    CHECK(Act(EndpointCommand{endpoint}).is_accepted);
  };
  CHECK(Add("h", "annex").is_accepted);
  CHECK(Do("h", HostEvent::kJoin, 1).is_accepted);
  CHECK(Do("h", HostEvent::kWarm, 2).is_accepted);
  announce("e1", "h");
  announce("e2", "h");
  announce("other", "unknown");
  for (const model::Endpoint& endpoint : m_machine->EndpointsSince(0)) {
    CHECK(endpoint.is_open());
  }
  CHECK(Do("h", HostEvent::kDrain, 3, DrainReason::kOperator).is_accepted);
  const auto closed = m_machine->EndpointsSince(m_index - 1);
  REQUIRE(closed.size() == 2);
  CHECK_FALSE(closed[0].is_open());
  CHECK_FALSE(closed[1].is_open());
  announce("e3", "h");
  Reload();
  CHECK_FALSE(m_machine->EndpointsSince(m_index - 1).at(0).is_open());
  CHECK(Do("h", HostEvent::kCancelDrain, 4).is_accepted);
  const auto opened = m_machine->EndpointsSince(m_index - 1);
  REQUIRE(opened.size() == 3);
  CHECK(opened[2].is_open());
  CHECK(m_machine->EndpointsSince(0).size() == 4);
}

TEST_CASE_FIXTURE(FleetTableFixture,
                  "Hosts, pool asks for more meanwhile, don't join it") {
  CHECK(Add("h", "annex").is_accepted);
  CHECK(Do("h", HostEvent::kJoin, 1).is_accepted);
  CHECK(Do("h", HostEvent::kWarm, 2).is_accepted);
  CHECK(Do("h", HostEvent::kDrain, 3, DrainReason::kMove, "hall").is_accepted);
  CHECK(Do("h", HostEvent::kConfirmEmpty, 4).is_accepted);
  CHECK(Change("ana", "a2", 1, "pools.hall", std::nullopt).error ==
        "pools.hall: 1 hosts belong to it");
  CHECK(Change("ana", "a3", 1, "pools.hall.host_processors", "64").is_accepted);
  CHECK(Do("h", HostEvent::kMovePool, 5).error ==
        "host h offers less than pool hall asks for");
  CHECK(HostOf("h").pool == "annex");
}

TEST_CASE_FIXTURE(FleetTableFixture,
                  "Hosts, commands that don't fit, say what stands there") {
  CHECK(Add("h", "cellar").error == "unknown pool \"cellar\"");
  CHECK(Add("h", "big").error == "host h offers less than pool big asks for");
  CHECK(Add("h", "annex").is_accepted);
  CHECK(Add("h", "annex").version == 1);  // Facts again; no transition.
  CHECK(Add("h", "hall").error == "host h belongs to pool annex; move it");
  CHECK(Do("x", HostEvent::kJoin, 1).error == "unknown host \"x\"");
  CHECK(Do("h", HostEvent::kJoin, 3).error ==
        "host h is at epoch 1 in state kAnnounced, expected epoch 3");
  CHECK(Do("h", HostEvent::kCount, 1).error.find("isn't allowed") !=
        std::string::npos);
  CHECK(Do("h", HostEvent::kJoin, 1).is_accepted);
  CHECK(Do("h", HostEvent::kWarm, 2).is_accepted);
  CHECK(Do("h", HostEvent::kDrain, 3, DrainReason::kMove, "big").error ==
        "host h offers less than pool big asks for");
  CHECK(Do("h", HostEvent::kDrain, 3, DrainReason::kMove, "annex")
            .error.find("isn't allowed") != std::string::npos);
  CHECK(m_machine->Audit(1).front().act == "host.drain h");
}

struct BudgetFixture : FleetTableFixture {
  BudgetFixture() {
    CHECK(Change("ana", "service", 1, "services.quote",
                 R"({"pools": ["annex", "hall"], "min_available": 6,
                     "max_away_share": 0.4})")
              .is_accepted);
    for (int i = 0; i < 10; ++i) {
      const std::string id = "h" + std::to_string(i);
      Host host;
      host.id = id;
      host.pool = i % 2 == 0 ? "annex" : "hall";
      host.rack = "r" + std::to_string(i / 2);
      host.availability_zone = "z" + std::to_string(i / 4);
      host.capacity = {32, 128, 0};
      CHECK(Act(HostAddCommand{RequestOf("ana"), host}).is_accepted);
      CHECK(Do(id, HostEvent::kJoin, 1).is_accepted);
      CHECK(Do(id, HostEvent::kWarm, 2).is_accepted);
    }
  }

  /// Counted here anew, without the budget package.
  int Available() const {
    int available = 0;
    for (const auto& [id, host] : m_machine->fleet().hosts) {
      available += host.state == HostState::kInPool;
    }
    return available;
  }
};

TEST_CASE_FIXTURE(BudgetFixture,
                  "Drains, budget spent, are refused unless forced") {
  // Ten hosts, two to a rack: two may go, and a rack besides.
  CHECK(Do("h0", HostEvent::kDrain, 3, DrainReason::kOperator).is_accepted);
  CHECK(
      Do("h1", HostEvent::kDrain, 3, DrainReason::kMove, "annex").is_accepted);
  CHECK(Do("h2", HostEvent::kDrain, 3, DrainReason::kMaintenance).error ==
        "host h2 may not drain now: quote: kRackLoss");
  HostCommand forced;
  forced.request = RequestOf("ana", "f1");
  forced.host = "h2";
  forced.expected_epoch = 3;
  forced.event = HostEvent::kDrain;
  forced.drain_reason = DrainReason::kOperator;
  forced.force = true;
  CHECK(Act(forced).is_accepted);
  CHECK(m_machine->Audit(1).front().act == "host.drain h2 forced");
  CHECK(Available() == 7);
}

TEST_CASE_FIXTURE(BudgetFixture,
                  "Hosts, holding a job, are neither stopped nor given one") {
  model::Job job;
  job.id = "j";
  job.pool = "annex";
  const auto put = [&](std::optional<uint64_t> expected) {
    return Act(JobCommand{RequestOf("ana"), expected, job});
  };
  CHECK(put(std::nullopt).is_accepted);
  CHECK(Do("h0", HostEvent::kDrain, 3, DrainReason::kOperator).is_accepted);
  job.state = model::JobState::kRunning;
  job.lease = 1;
  job.host = "h0";
  CHECK(put(0).error == "host h0 is kDraining: nothing starts there");
  job.host = "h2";
  CHECK(put(0).is_accepted);
  CHECK(Do("h2", HostEvent::kDrain, 3, DrainReason::kOperator).is_accepted);
  CHECK(Do("h2", HostEvent::kConfirmEmpty, 4).error ==
        "host h2 still holds job j");
  job.host.clear();
  CHECK(put(1).is_accepted);
  CHECK(Do("h2", HostEvent::kConfirmEmpty, 4).is_accepted);
}

/// Operators and leaders plan drains, each fine on the state that it saw, and
/// commit them in any order.
TEST_CASE("Drains, of racing planners over seeds, keep the budget together") {
  int refused = 0;
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    BudgetFixture fixture;
    for (int round = 0; round < 30; ++round) {
      const model::Fleet seen = fixture.m_machine->fleet();
      for (int planner = 0; planner < 4; ++planner) {
        const std::string id = "h" + std::to_string(random() % 10);
        const Host& host = seen.hosts.at(id);
        const bool may = budget::MayDrain(seen, id).is_allowed();
        const auto event = host.state == HostState::kInPool
                               ? HostEvent::kDrain
                               : HostEvent::kCancelDrain;
        if (event == HostEvent::kDrain && !may) {
          continue;
        }
        const ActResult result =
            fixture.Do(id, event, host.epoch, DrainReason::kMaintenance);
        refused += event == HostEvent::kDrain && !result.is_accepted;
        CHECK(fixture.Available() >= 8);
      }
    }
  }
  CHECK(refused > 20);
}

// Mostly an event that the lifecycle allows, and seldom a failure.
HostEvent LikelyEvent(const Host& host, std::mt19937_64& random) {
  auto event = HostEvent::kFail;
  for (int tries = 0; tries < 6; ++tries) {
    event = static_cast<HostEvent>(random() %
                                   static_cast<size_t>(HostEvent::kRetire));
    const bool is_rare =
        event == HostEvent::kFail || event == HostEvent::kCancelDrain;
    if (!is_rare &&
        planning::NextState(host.state, event, DrainReason::kMove)) {
      break;
    }
  }
  return event;
}

/// Controllers that act on epochs they read a while ago.
TEST_CASE("Hosts, racing controllers over seeds, keep one pool each") {
  int moves = 0;
  for (uint64_t seed = 1; seed <= 40; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    FleetTableFixture fixture;
    const std::vector<std::string> pools{"annex", "hall", "big", "cellar"};
    const std::vector<std::string> ids{"h0", "h1", "h2"};
    std::map<std::string, Host> before;
    for (const std::string& id : ids) {
      CHECK(fixture.Add(id, pools[random() % 2]).is_accepted);
      before[id] = fixture.HostOf(id);
    }
    for (int step = 0; step < 250; ++step) {
      const std::string& id = ids[random() % ids.size()];
      const Host& known = before[id];
      const uint64_t epoch = known.epoch - (random() % 4 == 0 ? 1 : 0);
      const HostEvent event = LikelyEvent(known, random);
      const auto reason = static_cast<DrainReason>(random() % 3);
      const bool is_move = event == HostEvent::kMovePool;
      const std::string target = is_move && random() % 2 == 0
                                     ? known.move_to
                                     : pools[random() % pools.size()];
      const bool is_refresh = random() % 10 == 0;
      const ActResult result =
          is_refresh ? fixture.Add(id, target)
                     : fixture.Do(id, event, epoch, reason, target);
      if (random() % 20 == 0) {
        fixture.Reload();
      }
      const model::Fleet fleet = fixture.m_machine->fleet();
      CHECK(fleet.hosts.size() == ids.size());
      const Host& after = fleet.hosts.at(id);
      const bool is_transition = result.is_accepted && !is_refresh;
      CHECK(after.epoch == known.epoch + (is_transition ? 1 : 0));
      CHECK(!(is_transition && epoch != known.epoch));
      CHECK(fleet.pools.contains(after.pool));
      CHECK(after.pool != "big");
      if (after.pool != known.pool) {
        ++moves;
        CHECK(is_transition);
        CHECK(event == HostEvent::kMovePool);
        CHECK(known.state == HostState::kDrained);
        CHECK(after.pool == known.move_to);
      }
      before[id] = after;
    }
    CHECK(fixture.m_machine->Digest() == fixture.m_replica->Digest());
  }
  CHECK(moves > 20);
}

TEST_CASE_FIXTURE(FleetTableFixture,
                  "Waves, replaced by two controllers, follow their fence") {
  model::Wave wave;
  wave.id = "w1";
  wave.pools = {"annex"};
  const auto put = [&](std::optional<ActState> expected, ActState state) {
    wave.state = state;
    return Act(WaveCommand{RequestOf("ana"), expected, wave});
  };
  CHECK(put(ActState::kRunning, ActState::kRunning).error ==
        "wave w1 is not known");
  CHECK(put(std::nullopt, ActState::kRunning).is_accepted);
  CHECK(put(std::nullopt, ActState::kRunning).error ==
        "wave w1 is there already");
  CHECK(put(ActState::kRunning, ActState::kPaused).is_accepted);
  CHECK(put(ActState::kRunning, ActState::kDone).error ==
        "wave w1 is at kPaused, expected kRunning");
  CHECK(put(ActState::kPaused, ActState::kCancelled).is_accepted);
  CHECK(put(ActState::kCancelled, ActState::kRunning).error ==
        "w1 is kCancelled and stays so");
  wave = {};
  wave.id = "w2";
  wave.pools = {"cellar"};
  CHECK(put(std::nullopt, ActState::kRunning).error ==
        "unknown pool \"cellar\"");
  CHECK(Act(RolloutCommand{RequestOf("ana"), std::nullopt, {}}).error ==
        "unknown service \"\"");
  m_now += m_limits.finished_retention;
  Expire();
  CHECK(m_machine->fleet().waves.empty());
}

TEST_CASE_FIXTURE(FleetTableFixture,
                  "Waves, held by an operator, are not released by a leader") {
  model::Wave wave;
  wave.id = "w1";
  wave.pools = {"annex"};
  wave.state = ActState::kPaused;
  CHECK(Act(WaveCommand{RequestOf("leader"), std::nullopt, wave}).is_accepted);
  wave.is_held = true;
  CHECK(Act(WaveCommand{RequestOf("ana", "p1"), ActState::kPaused, wave})
            .is_accepted);
  wave.is_held = false;
  wave.state = ActState::kRunning;
  CHECK(Act(WaveCommand{RequestOf("leader"), ActState::kPaused, wave}).error ==
        "w1 is held or resumed by an operator alone");
  CHECK(Act(WaveCommand{RequestOf("ana", "p2"), ActState::kPaused, wave})
            .is_accepted);
}

TEST_CASE_FIXTURE(FleetTableFixture,
                  "Jobs, replaced under an old lease, stay as they are") {
  model::Job job;
  job.id = "j1";
  job.pool = "annex";
  const auto put = [&](std::optional<uint64_t> expected, uint64_t lease,
                       model::JobState state) {
    job.lease = lease;
    job.state = state;
    return Act(JobCommand{RequestOf("ana"), expected, job});
  };
  using model::JobState;
  CHECK(put(std::nullopt, 0, JobState::kQueued).is_accepted);
  CHECK(put(0, 1, JobState::kRunning).version == 1);
  CHECK(put(1, 2, JobState::kRunning).version == 2);
  const ActResult late = put(1, 1, JobState::kSucceeded);
  CHECK(late.error == "job j1 is at 2, expected 1");
  CHECK(late.version == 2);
  CHECK_FALSE(put(2, 1, JobState::kQueued).is_accepted);
  CHECK(put(2, 2, JobState::kSucceeded).is_accepted);
  CHECK(put(2, 3, JobState::kRunning).error ==
        "job j1 is kSucceeded and stays so");
  Reload();
  CHECK(m_machine->fleet().jobs.at("j1").state == JobState::kSucceeded);
}

}  // namespace
}  // namespace laurelhall::state
