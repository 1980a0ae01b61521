// Guards against choosing more hosts for a move than actions can be sent for.
// Symptoms, on fleets of 350 hosts: accepted jobs had no running task while
// workers were idle, a persistent task had no place for 14 s, and short jobs
// were served late.
// Sequence: in a burst the leader chose up to 80 hosts per second for a move.
// Actions on hosts were sent one after the other, each after two rounds of the
// leader's thread: about ten per second when it lacked processor time.
// Cause: a chosen host takes no work, and nothing bounded how many hosts were
// chosen and waited for their action: 40 % of the fleet for up to 14 s.
// Evidence: `dispatch workers` lines with up to 163 of 349 hosts "evacuated" in
// each second in which jobs waited, and a median of 8.4 s from `pools move` to
// `pools moved` on control hosts with 0.20 cores; 1.7 s with 0.35.

#include <doctest/doctest.h>

#include <algorithm>

#include "world_checks.h"

namespace laurelhall::dispatch {
namespace {

// 60 idle hosts of one service, and a burst of another service that needs more
// than all of them. Actions take 100 ms each, 10 per second, as on a busy
// leader.
class BurstBesideIdleHostsFixture {
 protected:
  BurstBesideIdleHostsFixture() {
    scheduling::Configuration two;
    two.version = 2;
    two.document = "{}";
    two.queues.push_back(
        {"quotes", "q", "/q/", "teklif", 0, 3, 1.6, Millis(600)});
    two.services.push_back({"teklif"});
    two.services.push_back({"enerji"});
    world.Configure(two);
    world.AddWorkers(3);
    for (int host = 0; host < 60; ++host) {
      world.AddWorker("idle-" + std::to_string(host), "enerji");
    }
    world.Advance(Millis(10'000));
    world.SlowHostActions(Millis(100));
    world.Submit("rush", {Tasks(600)});
    world.Advance(Millis(1'000));
  }

  static scheduling::StepSpec Tasks(uint32_t count) {
    scheduling::StepSpec step;
    step.count = count;
    step.need = {1'000, 500, 0};
    step.estimate = Millis(800);
    return step;
  }

  World world{7};
};

// By then 10 hosts have moved and 20 may be chosen for a move, so 30 hosts of
// four cores are left for the 100 tasks.
TEST_CASE_FIXTURE(BurstBesideIdleHostsFixture,
                  "Moves, actions wait for each other, hosts keep working") {
  REQUIRE(world.moved().size() >= 5);
  world.Submit("b", {Tasks(100)}, "enerji");
  world.Advance(Millis(300));
  CHECK(world.ledger().FindJob("b")->active_runs == 100);
}

TEST_CASE_FIXTURE(BurstBesideIdleHostsFixture,
                  "Moves, actions wait for each other, the burst is served") {
  world.Advance(Millis(20'000));
  CHECK(world.StateOf("rush") == scheduling::JobState::kSucceeded);
  CHECK(world.moved().size() >= 20);
  CheckNoViolations(world);
}

TEST_CASE_FIXTURE(
    BurstBesideIdleHostsFixture,
    "Moves, actions wait for each other, a persistent task starts") {
  scheduling::StepSpec step = Tasks(20);
  step.is_persistent = true;
  step.max_tasks_per_worker = 1;
  world.Submit("p", {step}, "enerji");
  world.Advance(Millis(500));
  CHECK(world.ledger().FindJob("p")->active_runs == 20);
}

}  // namespace
}  // namespace laurelhall::dispatch
