#include <doctest/doctest.h>

#include "world_checks.h"

// Guards against leases of healthy workers that expire, and against orders that
// are sent too late, while the control hosts are slow or change leaders.
namespace laurelhall::dispatch {
namespace {

using scheduling::StepSpec;

class LeaseFixture {
 protected:
  LeaseFixture() {
    m_world.is_only_control_disturbed = true;
    m_world.AddWorkers(4);
    StepSpec step = Step(4);
    step.is_persistent = true;
    step.max_tasks_per_worker = 1;
    step.may_miss = 1;
    m_world.Submit("lasts", {step});
    m_world.Advance(Millis(3'000));
    REQUIRE(m_world.starts() == 4);
  }

  void CheckAllStillRun() const {
    CheckNoViolations(m_world);
    CHECK(m_world.starts() == 4);
  }

  World m_world{11};
};

TEST_CASE_FIXTURE(LeaseFixture,
                  "Dispatcher, quorum confirms slowly for 20 s, leases do "
                  "not expire") {
  m_world.SlowCommits(Millis(700));
  m_world.Advance(Millis(20'000));
  m_world.SlowCommits(Millis(5));
  m_world.Advance(Millis(10'000));
  CheckAllStillRun();
}

TEST_CASE_FIXTURE(LeaseFixture,
                  "Dispatcher, job cancelled while its starts wait for a "
                  "quorum, none is sent") {
  m_world.SlowCommits(Millis(700));
  m_world.SlowConfirmations(Millis(3'000));
  m_world.Submit("cancelled", {Step(4)});
  m_world.Advance(Millis(1'500));  // Starts are committed, but not sent.
  const uint64_t before = m_world.starts();
  m_world.Cancel("cancelled");
  m_world.SlowCommits(Millis(5));
  m_world.Advance(Millis(10'000));
  CHECK(before == 4);
  CHECK(m_world.starts() == before);
}

TEST_CASE_FIXTURE(
    LeaseFixture,
    "Dispatcher, commit of ends takes 8 s, leases do not expire") {
  m_world.Submit("short", {Step(4)});
  m_world.Advance(Millis(300));
  CHECK(m_world.starts() == 8);
  m_world.SlowCommits(Millis(8'000));
  m_world.SlowConfirmations(Millis(5));
  m_world.Advance(Millis(12'000));
  m_world.SlowCommits(Millis(5));
  m_world.Advance(Millis(10'000));
  CheckNoViolations(m_world);
  CHECK(m_world.starts() == 8);
  CHECK(m_world.StateOf("short") == scheduling::JobState::kSucceeded);
}

TEST_CASE_FIXTURE(LeaseFixture,
                  "Dispatcher, terms shorter than a hold call, leases do "
                  "not expire") {
  for (int change = 0; change < 15; ++change) {
    m_world.ElectOtherLeader(Millis(100));
    m_world.Advance(Millis(1'000));
  }
  m_world.Advance(Millis(10'000));
  CheckAllStillRun();
}

TEST_CASE_FIXTURE(LeaseFixture,
                  "Dispatcher, other task lost while a wave's stop waits for a "
                  "quorum, stop is not sent") {
  m_world.SlowConfirmations(Millis(5'400));
  m_world.Advance(Millis(800));
  m_world.OpenWave({"host-w0"});
  m_world.Advance(Millis(100));
  m_world.Crash("w1", Millis(0));
  m_world.Advance(Millis(4'400));
  m_world.SlowConfirmations(Millis(5));
  m_world.Advance(Millis(3'000));
  CheckNoViolations(m_world);
}

}  // namespace
}  // namespace laurelhall::dispatch
