// Guards against runs that are taken for lost because a worker lists its ended
// runs a part at a time: after a cut of 3 s more runs had ended than one answer
// lists, and those behind the first part were started again, though done.

#include <doctest/doctest.h>

#include "laurelhall/dispatch/request.h"
#include "world_checks.h"

namespace laurelhall::dispatch {
namespace {

constexpr uint32_t kTasks = 60;

class ManyEndsFixture {
 protected:
  explicit ManyEndsFixture(const RelayBounds& relays = {})
      : world(7, {}, relays) {
    world.capacity = {64'000, 256'000, 0};
    world.AddWorkers(2);
    for (const char* id : {"w0", "w1"}) {
      world.worker(id).max_listed_ends = 5;
    }
    world.Advance(Millis(1'000));
  }

  void CutBoth(bool is_cut) {
    world.Cut("w0", is_cut);
    world.Cut("w1", is_cut);
  }

  // The runs end behind the cut, which is shorter than the leases.
  void EndRunsBehindCut() {
    world.Submit("a", {Step(kTasks, {}, Millis(1'500))});
    world.Advance(Millis(1'000));
    REQUIRE(world.starts() == kTasks);
    CutBoth(true);
    world.Advance(Millis(2'000));
    CutBoth(false);
  }

  void CheckEachRanOnce() {
    CHECK(world.StateOf("a") == scheduling::JobState::kSucceeded);
    CHECK(world.starts() == kTasks);
    CheckNoViolations(world);
  }

  World world;
};

class RelayedManyEndsFixture : public ManyEndsFixture {
 protected:
  RelayedManyEndsFixture() : ManyEndsFixture({1, 1}) {
    world.AddRelays(3);
    world.Advance(Millis(4'000));
  }
};

TEST_CASE_FIXTURE(ManyEndsFixture,
                  "Dispatcher, more runs end than one answer lists, each runs "
                  "once") {
  EndRunsBehindCut();
  world.Advance(Millis(10'000));
  CheckEachRanOnce();
}

TEST_CASE_FIXTURE(RelayedManyEndsFixture,
                  "Dispatcher, more runs end than one answer lists, is told "
                  "through relays, each runs once") {
  const uint64_t before = world.relayed();
  EndRunsBehindCut();
  world.Advance(Millis(10'000));
  CHECK(world.relayed() > before);
  CheckEachRanOnce();
}

// A new leader does not know what the earlier one has sent.
TEST_CASE_FIXTURE(ManyEndsFixture,
                  "Dispatcher, leader changes while many ends wait, each runs "
                  "once") {
  EndRunsBehindCut();
  world.ChangeLeader(Millis(0));
  world.Advance(Millis(10'000));
  CheckEachRanOnce();
}

// At one list in 60 ms, the six lists of a worker would take 0.3 s.
TEST_CASE_FIXTURE(ManyEndsFixture,
                  "Dispatcher, list of ends is full, next one is asked for at "
                  "once") {
  EndRunsBehindCut();
  const auto& active = world.ledger().FindWorker("w0")->active;
  const size_t before = active.size();
  for (int step = 0; step < 200 && active.size() == before; ++step) {
    world.Advance(Millis(10));
  }
  world.Advance(Millis(150));
  CHECK(active.empty());
}

// Guards against runs that are never missed: the last part of a list ends the
// wait.
TEST_CASE_FIXTURE(ManyEndsFixture,
                  "Dispatcher, worker restarts after a full list, its runs are "
                  "started again") {
  world.Submit("a", {Step(kTasks, {}, Millis(1'500))});
  world.Advance(Millis(1'000));
  world.CrashAndRestart("w0", Millis(200));
  world.Advance(Millis(10'000));
  CHECK(world.StateOf("a") == scheduling::JobState::kSucceeded);
  CHECK(world.starts() > kTasks);
}

TEST_CASE("RelayOrders, a list may omit ends, is told behind the results") {
  RelayOrders orders;
  orders.results.resize(3);
  for (uint64_t number = 0; number < 3; ++number) {
    orders.results[number].number = 7 + number;
  }
  const std::string without = scheduling::Encode(Request(orders));
  orders.results[1].reply.may_omit_ends = true;
  const std::string with = scheduling::Encode(Request(orders));
  CHECK(with.starts_with(without));  // As earlier versions write it.
  const auto read = std::get<RelayOrders>(scheduling::Decode<Request>(with));
  REQUIRE(read.results.size() == 3);
  CHECK_FALSE(read.results[0].reply.may_omit_ends);
  CHECK(read.results[1].reply.may_omit_ends);
  CHECK_FALSE(read.results[2].reply.may_omit_ends);
  const auto earlier =
      std::get<RelayOrders>(scheduling::Decode<Request>(without));
  CHECK_FALSE(earlier.results[1].reply.may_omit_ends);
}

}  // namespace
}  // namespace laurelhall::dispatch
