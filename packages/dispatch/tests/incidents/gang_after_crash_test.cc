// Guards against a gang that never runs again after one of its workers has
// crashed. Each lost member became a suspect that wanted an empty worker of its
// own, and all members start together: a gang with more members than there were
// workers waited for good beside idle ones.

#include <doctest/doctest.h>

#include "world_checks.h"

namespace laurelhall::dispatch {
namespace {

using scheduling::JobState;

scheduling::StepSpec Gang(uint32_t count, int64_t millicores) {
  scheduling::StepSpec gang = Step(count, {}, Millis(3'000));
  gang.need = {millicores, 500, 0};
  gang.is_gang = true;
  return gang;
}

// Workers of 32 processors.
class GangFixture {
 protected:
  void AddWorkers(int count) {
    world.capacity = {32'000, 64'000, 0};
    for (int worker = 0; worker < count; ++worker) {
      world.AddWorker("host-" + std::to_string(worker));
    }
    world.Advance(Millis(500));
  }

  /// Waits until the gang runs, crashes all of its workers a second later, and
  /// replaces them after another second.
  void CrashUnder(const std::string& job) {
    for (int wait = 0; wait < 150 && WorkersOf(job).empty(); ++wait) {
      world.Advance(Millis(100));
    }
    world.Advance(Millis(1'000));
    const std::set<std::string> workers = WorkersOf(job);
    REQUIRE_FALSE(workers.empty());
    for (const std::string& worker : workers) {
      world.Crash(worker, Millis(1'000));
    }
    world.Advance(Millis(500));
  }

  std::set<std::string> WorkersOf(const std::string& job) const {
    std::set<std::string> workers;
    const scheduling::Job* found = world.ledger().FindJob(job);
    for (size_t index = 0; found != nullptr && index < found->tasks.size();
         ++index) {
      for (const auto& run : found->tasks[index].active) {
        workers.insert(run.worker);
      }
    }
    return workers;
  }

  World world{11};
};

TEST_CASE_FIXTURE(GangFixture,
                  "Dispatcher, gang lost with its only worker, runs again and "
                  "succeeds") {
  AddWorkers(9);
  world.Submit("gang", {Gang(16, 2'000)});
  CrashUnder("gang");
  world.Advance(Millis(12'000));
  CHECK(world.StateOf("gang") == JobState::kSucceeded);
  CheckNoViolations(world);
}

TEST_CASE_FIXTURE(GangFixture,
                  "Dispatcher, gang lost on two of three workers, runs again "
                  "and succeeds") {
  AddWorkers(3);
  world.Submit("gang", {Gang(4, 9'000)});
  CrashUnder("gang");
  world.Advance(Millis(12'000));
  CHECK(world.StateOf("gang") == JobState::kSucceeded);
  CheckNoViolations(world);
}

TEST_CASE_FIXTURE(GangFixture,
                  "Dispatcher, leader restarts after each crash under a gang, "
                  "the gang runs again and succeeds") {
  AddWorkers(9);
  world.Submit("gang", {Gang(16, 2'000)});
  for (int crash = 0; crash < 2; ++crash) {
    CrashUnder("gang");
    world.RestartControlHosts();
    world.Advance(Millis(2'000));
  }
  world.Advance(Millis(15'000));
  CHECK(world.StateOf("gang") == JobState::kSucceeded);
  CheckNoViolations(world);
}

// One member crashes its worker at each start. All members run on one worker:
// simulated members don't wait for each other, and one that ends as done
// stands for the gang.
TEST_CASE_FIXTURE(GangFixture,
                  "Dispatcher, member of a gang crashes its workers, the gang "
                  "is given up and others succeed") {
  AddWorkers(9);
  world.crashing["gang.0.0.5"] = Millis(10);
  world.Submit("gang", {Gang(16, 2'000)});
  world.Advance(Millis(100));
  std::vector<std::string> others;
  for (int round = 0; round < 20; ++round) {
    others.push_back("job-" + std::to_string(round));
    world.Submit(others.back(), {Step(6)});
    world.Advance(Millis(1'000));
    if (round == 3) {
      world.RestartControlHosts();
    }
  }
  world.Advance(Millis(10'000));
  CHECK(world.StateOf("gang") == JobState::kFailed);
  CHECK(world.CrashesOf("gang.0.0.5") <= 4);
  for (const std::string& id : others) {
    CHECK_MESSAGE(world.StateOf(id) == JobState::kSucceeded, id);
    CHECK_MESSAGE(world.MaxWorkersLostUnder(id) <= 1, id);
  }
  CheckNoViolations(world);
}

}  // namespace
}  // namespace laurelhall::dispatch
