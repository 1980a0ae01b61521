// Guards against an order on a host that ends the wrong worker. The answers to
// a maintenance are lost, the host comes back meanwhile, and the answer to a
// repeated order ended the worker that it came back with, which was never used
// again.

#include <doctest/doctest.h>

#include "three_workers_fixture.h"

namespace laurelhall::dispatch {
namespace {

using scheduling::JobState;

using LostHostAnswersFixture = ThreeWorkersFixture;

TEST_CASE_FIXTURE(LostHostAnswersFixture,
                  "Wave, answers are lost until the host is back, its next "
                  "worker is used") {
  world.lost_host_answers = 4;
  world.OpenWave({"host-w0"});
  world.Advance(Millis(12'000));
  CHECK(world.lost_host_answers == 0);
  CHECK(world.maintained().size() == 1);
  CHECK(world.ledger().waves().at(1).is_done());
  CHECK(IsUsed("w3"));
  CheckNoViolations(world);
}

TEST_CASE_FIXTURE(LostHostAnswersFixture,
                  "Wave, answers are lost and the worker keeps its id, its "
                  "next incarnation is used") {
  world.keeps_worker_ids = true;
  world.lost_host_answers = 4;
  world.OpenWave({"host-w0"});
  world.Advance(Millis(12'000));
  CHECK(world.ledger().waves().at(1).is_done());
  CHECK(IsUsed("w0"));
  CheckNoViolations(world);
}

TEST_CASE_FIXTURE(LostHostAnswersFixture,
                  "Wave, leader changes after a lost answer, the host's next "
                  "worker is used") {
  world.lost_host_answers = 1;
  world.OpenWave({"host-w0"});
  for (int step = 0; step < 500 && world.maintained().empty(); ++step) {
    world.Advance(Millis(10));
  }
  REQUIRE(world.maintained().size() == 1);
  world.Advance(Millis(2'100));
  world.ChangeLeader(Millis(0));
  world.Advance(Millis(12'000));
  CHECK(world.ledger().waves().at(1).is_done());
  CHECK(IsUsed("w3"));
  CheckNoViolations(world);
}

// A move that was carried out brings a worker to the host's next pool.
TEST_CASE_FIXTURE(
    LostHostAnswersFixture,
    "Moves, answers are lost until the hosts are back, their next "
    "workers are kept") {
  scheduling::Configuration two = world.ledger().configuration();
  ++two.version;
  two.services.push_back({"enerji"});
  world.Configure(two);
  // The hosts' next workers come first in the order of ids: w10 before w3.
  for (int host = 0; host < 7; ++host) {
    world.AddWorker("other-" + std::to_string(host), "enerji");
  }
  world.Advance(Millis(10'000));
  world.ChangeLeader(Millis(0));
  world.lost_host_answers = 6;
  world.Submit("a", {Step(80)});
  world.Advance(Millis(12'000));
  CHECK(world.lost_host_answers == 0);
  REQUIRE(!world.moved().empty());
  for (const auto& [host, pool] : world.moved()) {
    CAPTURE(host);
    CHECK_FALSE(world.LiveWorkerOn(host).empty());
  }
  CheckNoViolations(world);
}

TEST_CASE_FIXTURE(LostHostAnswersFixture,
                  "Wave, an answer is lost once, the host is done and its "
                  "worker before is gone") {
  world.lost_host_answers = 1;
  world.OpenWave({"host-w0"});
  world.Advance(Millis(12'000));
  CHECK(world.ledger().waves().at(1).is_done());
  CHECK(world.ledger().FindWorker("w0") == nullptr);
  CHECK(world.ledger().EndCauseOf("w0") ==
        scheduling::WorkerEndCause::kMaintained);
}

}  // namespace
}  // namespace laurelhall::dispatch
