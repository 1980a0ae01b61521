// Guards against starting a task that crashes each of its workers again and
// again. A run that ends with its worker ends as lapsed, which counts towards
// no limit, and the crashed workers were not counted by task. So such tasks
// were started every three seconds for good, and kept 31 of the 38 workers of a
// service down with all their other runs.

#include <doctest/doctest.h>

#include "world_checks.h"

namespace laurelhall::dispatch {
namespace {

using scheduling::JobState;

scheduling::StepSpec Tasks(uint32_t count) {
  return Step(count, {}, Millis(800));
}

// Six workers. The task of the job "culprit" crashes each worker that starts it
// 10 ms after the start. The other jobs fill about half of the capacity.
class CrashLoopFixture {
 protected:
  CrashLoopFixture() {
    world.AddWorkers(6);
    world.Advance(Millis(500));
    world.crashing["culprit.0.0.0"] = Millis(10);
  }

  void SubmitBystanders(int jobs) {
    for (int job = 0; job < jobs; ++job) {
      m_bystanders.push_back("job-" + std::to_string(m_bystanders.size()));
      world.Submit(m_bystanders.back(), {Tasks(4)});
    }
  }

  void CheckBystandersSucceeded() const {
    for (const std::string& id : m_bystanders) {
      CHECK_MESSAGE(world.StateOf(id) == JobState::kSucceeded, id);
    }
  }

  World world{7};

 private:
  std::vector<std::string> m_bystanders;
};

// Guards against an endless crash loop.
TEST_CASE_FIXTURE(CrashLoopFixture,
                  "Dispatcher, task crashes its workers, its job is given up "
                  "and others succeed") {
  for (int round = 0; round < 20; ++round) {
    SubmitBystanders(2);
    if (round == 2) {
      world.Submit("culprit", {Tasks(1)});
    }
    world.Advance(Millis(1'000));
  }
  world.Advance(Millis(10'000));
  CHECK(world.StateOf("culprit") == JobState::kFailed);
  CHECK(world.StartsOf("culprit.0.0.0") <= 5);
  CheckBystandersSucceeded();
  CheckNoViolations(world);
}

// Guards against losing the count of crashes when the leader changes or all
// control hosts restart.
TEST_CASE_FIXTURE(CrashLoopFixture,
                  "Dispatcher, leaders change between crashes, job is given "
                  "up") {
  SubmitBystanders(4);
  world.Submit("culprit", {Tasks(1)});
  for (int change = 0; change < 8; ++change) {
    world.Advance(Millis(2'000));
    if (change % 2 == 0) {
      world.ChangeLeader(Millis(500));
    } else {
      world.RestartControlHosts();
    }
  }
  world.Advance(Millis(20'000));
  CHECK(world.StateOf("culprit") == JobState::kFailed);
  CHECK(world.StartsOf("culprit.0.0.0") <= 5);
  CheckBystandersSucceeded();
  CheckNoViolations(world);
}

// Guards against missing a crash that shows only after the lease has expired,
// since the worker is back later than that.
TEST_CASE_FIXTURE(CrashLoopFixture,
                  "Dispatcher, worker is back after its lease expired, crash "
                  "counts") {
  world.crash_pause = Millis(9'000);
  SubmitBystanders(2);
  world.Submit("culprit", {Tasks(1)});
  world.Advance(Millis(60'000));
  CHECK(world.StateOf("culprit") == JobState::kFailed);
  CHECK(world.StartsOf("culprit.0.0.0") <= 5);
  CheckBystandersSucceeded();
  CheckNoViolations(world);
}

// Guards against blaming newer runs beside a task that works for a while before
// it crashes its worker.
TEST_CASE_FIXTURE(
    CrashLoopFixture,
    "Dispatcher, task crashes its workers after a while, job is given up") {
  world.crashing["culprit.0.0.0"] = Millis(1'500);
  scheduling::StepSpec slow = Tasks(1);
  slow.estimate = Millis(4'000);
  world.Submit("culprit", {slow});
  for (int round = 0; round < 40; ++round) {
    SubmitBystanders(2);
    world.Advance(Millis(700));
  }
  world.Advance(Millis(20'000));
  CHECK(world.StateOf("culprit") == JobState::kFailed);
  CHECK(world.StartsOf("culprit.0.0.0") <= 5);
  CheckBystandersSucceeded();
  CheckNoViolations(world);
}

// Guards against giving up tasks that merely ran beside crashes.
TEST_CASE_FIXTURE(CrashLoopFixture,
                  "Dispatcher, tasks beside two crashes, succeed") {
  SubmitBystanders(3);
  world.Advance(Millis(100));
  for (int crash = 0; crash < 2; ++crash) {
    for (int host = 0; host < 6; ++host) {
      world.Crash(world.LiveWorkerOn("host-w" + std::to_string(host)),
                  Millis(3'000));
      world.Advance(Millis(700));
    }
  }
  world.Advance(Millis(20'000));
  CheckBystandersSucceeded();
  CheckNoViolations(world);
}

TEST_CASE_FIXTURE(
    CrashLoopFixture,
    "Dispatcher, persistent tasks beside eight crashes, keep running") {
  scheduling::StepSpec step = Tasks(3);
  step.is_persistent = true;
  world.Submit("audit", {step});
  for (int crash = 0; crash < 8; ++crash) {
    world.Advance(Millis(12'000));
    const scheduling::Job& job = *world.ledger().FindJob("audit");
    for (const scheduling::Task& task : job.tasks) {
      REQUIRE(task.active.size() == 1);
    }
    world.Crash(job.tasks[0].active[0].worker, Millis(3'000));
  }
  world.Advance(Millis(10'000));
  CHECK(world.StateOf("audit") == JobState::kRunning);
  CHECK(world.ledger().FindJob("audit")->active_runs == 3);
  CheckNoViolations(world);
}

// Eight workers in two racks. The jobs of the tests need whole workers.
class LostRackFixture {
 protected:
  LostRackFixture() {
    for (int worker = 0; worker < 8; ++worker) {
      world.AddWorker("host-" + std::to_string(worker), "teklif",
                      worker < 4 ? "rack-1" : "rack-2");
    }
    world.Advance(Millis(500));
  }

  void LoseRack(int first, Millis back_in) {
    for (int worker = first; worker < first + 4; ++worker) {
      world.Crash(world.LiveWorkerOn("host-" + std::to_string(worker)),
                  back_in);
    }
  }

  World world{7};
};

// Guards against blaming the tasks on a rack for the loss of the rack.
TEST_CASE_FIXTURE(LostRackFixture,
                  "Dispatcher, racks are lost twice, all jobs succeed") {
  for (int job = 0; job < 8; ++job) {
    scheduling::StepSpec whole = Tasks(1);
    whole.need = {4'000, 16'000, 0};
    whole.estimate = Millis(5'000);
    world.Submit("job-" + std::to_string(job), {whole});
  }
  for (int loss = 0; loss < 2; ++loss) {
    world.Advance(Millis(600));
    LoseRack(0, Millis(4'000));
    world.Advance(Millis(4'500));
    LoseRack(4, Millis(4'000));
    world.Advance(Millis(4'500));
  }
  world.Advance(Millis(40'000));
  for (int job = 0; job < 8; ++job) {
    const std::string id = "job-" + std::to_string(job);
    CHECK_MESSAGE(world.StateOf(id) == JobState::kSucceeded, id);
  }
  CheckNoViolations(world);
}

// Guards against missing the loss of a rack because its workers come back one
// after another while an older incarnation of one is still in the ledger.
TEST_CASE_FIXTURE(LostRackFixture,
                  "Dispatcher, workers of a lost rack come back one by one, "
                  "all jobs succeed") {
  for (int job = 0; job < 4; ++job) {
    scheduling::StepSpec whole = Tasks(1);
    whole.need = {4'000, 16'000, 0};
    whole.estimate = Millis(3'000);
    world.Submit("job-" + std::to_string(job), {whole});
  }
  for (int loss = 0; loss < 6; ++loss) {
    world.Advance(Millis(300));
    const int first = loss % 2 == 0 ? 0 : 4;
    for (int worker = first; worker < first + 4; ++worker) {
      world.Crash(world.LiveWorkerOn("host-" + std::to_string(worker)),
                  Millis(3'000 + 70 * worker));
    }
    world.Advance(Millis(3'500));
  }
  world.Advance(Millis(40'000));
  for (int job = 0; job < 4; ++job) {
    const std::string id = "job-" + std::to_string(job);
    CHECK_MESSAGE(world.StateOf(id) == JobState::kSucceeded, id);
  }
}

// Guards against losing the workers of a pool to many tasks that each crash one
// worker after another, all during one load peak.
TEST_CASE("Dispatcher, many tasks crash their workers, other jobs succeed") {
  World world(7);
  for (int worker = 0; worker < 24; ++worker) {
    world.AddWorker("host-" + std::to_string(worker), "teklif",
                    "rack-" + std::to_string(worker / 4));
  }
  world.Advance(Millis(500));
  int jobs = 0;
  for (int round = 0; round < 30; ++round) {
    for (int job = 0; job < 10; ++job) {
      world.Submit("job-" + std::to_string(jobs++), {Tasks(4)});
    }
    if (round < 12) {
      const std::string id = "culprit-" + std::to_string(round);
      world.crashing[id + ".0.0.0"] = Millis(10);
      world.Submit(id, {Tasks(1)});
    }
    world.Advance(Millis(500));
  }
  world.Advance(Millis(20'000));
  uint64_t crashes = 0;
  for (int culprit = 0; culprit < 12; ++culprit) {
    const std::string id = "culprit-" + std::to_string(culprit);
    CHECK_MESSAGE(world.StateOf(id) == JobState::kFailed, id);
    crashes += world.CrashesOf(id + ".0.0.0");
  }
  CHECK(crashes <= 36);
  for (int job = 0; job < jobs; ++job) {
    const std::string id = "job-" + std::to_string(job);
    CHECK_MESSAGE(world.StateOf(id) == JobState::kSucceeded, id);
  }
  CheckNoViolations(world);
}

}  // namespace
}  // namespace laurelhall::dispatch
