#include "laurelhall/placement/placer.h"

#include <doctest/doctest.h>

#include <random>

#include "fake_workers.h"
#include "laurelhall/placement/drain_cost.h"
#include "laurelhall/placement/explain.h"
#include "laurelhall/placement/submission.h"
#include "placement_p.h"

namespace laurelhall::placement {
namespace {

using model::HostState;
using model::Job;
using model::JobState;
using model::Priority;
using model::Resources;

constexpr Millis kStep{500};
constexpr Millis kUrgentBound{7'200};
constexpr WallTime kStartTime{Millis(1'000'000'000)};

struct PlacerFixture {
  FakeWorkers m_workers;
  Placer m_placer;
  WallTime m_now = kStartTime;
  Millis m_longest_urgent_wait{0};
  int m_next_job = 0;

  PlacerFixture() { m_workers.fleet.pools["p"].name = "p"; }

  void AddHosts(int count, Resources capacity, const std::string& prefix) {
    for (int i = 0; i < count; ++i) {
      model::Host host;
      host.id = prefix + std::to_string(i);
      host.pool = "p";
      host.rack = prefix + "r" + std::to_string(i / 4);
      host.availability_zone = "z" + std::to_string(i / 4 % 3);
      host.capacity = capacity;
      host.state = HostState::kInPool;
      m_workers.fleet.hosts[host.id] = host;
    }
  }

  // Submits a job whose actual usage and run time equal the declared ones. A
  // test may change either before the first step.
  Job& Submit(const std::string& team,
              Priority priority,
              Resources size,
              Millis run_time) {
    Job job;
    job.id = "j" + std::to_string(1000 + m_next_job++);
    job.team = team;
    job.pool = "p";
    job.priority = priority;
    job.declared = size;
    job.declared_run_time = run_time;
    job.submitted = m_now;
    job.deadline = m_now + std::chrono::hours(12);
    m_workers.Submit(job, {size, run_time, false});
    return m_workers.fleet.jobs[job.id];
  }

  Job& FindJob(const std::string& id) { return m_workers.fleet.jobs.at(id); }

  void SetQuota(const std::string& team,
                Resources guaranteed,
                bool may_borrow) {
    m_workers.fleet.quotas[team] = {team, guaranteed, may_borrow};
  }

  std::vector<JobAction> Step() {
    const Observations seen = m_workers.Observe(m_now);
    const auto actions = m_placer.Step(m_workers.fleet, seen, m_now);
    REQUIRE(m_placer.Step(m_workers.fleet, seen, m_now) == actions);
    m_workers.Commit(actions, m_now);
    CheckCapacity();
    CheckSingleRuns();
    m_now += kStep;
    for (const JobReport& report : m_workers.Tick(m_now, kStep)) {
      CommitReport(report);
    }
    UpdateLongestUrgentWait();
    return actions;
  }

  void Run(Millis time) {
    for (const WallTime end = m_now + time; m_now < end;) {
      Step();
    }
  }

  void CommitReport(const JobReport& report) {
    Job& job = FindJob(report.job);
    if (const auto next = AfterReport(job, report, m_now)) {
      if (IsRunning(job)) {
        m_placer.Learn(job, report, m_now);
      }
      job = *next;
    }
  }

  // The resources reserved on a host never exceed its capacity.
  void CheckCapacity() {
    std::map<std::string, Resources> held;
    for (const auto& [id, job] : m_workers.fleet.jobs) {
      if (!job.host.empty() && IsRunning(job)) {
        Resources part = job.reserved;
        part.processors *= job.throttle;
        held[job.host] = held[job.host] + part;
      }
    }
    const bool all_fit =
        std::all_of(held.begin(), held.end(), [this](const auto& entry) {
          return Fits(entry.second,
                      m_workers.fleet.hosts.at(entry.first).capacity);
        });
    REQUIRE(all_fit);
  }

  // No job has two runs at the same time, also after workers were cut off and
  // runs were stopped or restarted.
  void CheckSingleRuns() {
    const bool all_single =
        std::all_of(m_workers.runs.begin(), m_workers.runs.end(),
                    [](const auto& entry) { return entry.second.size() == 1; });
    REQUIRE(all_single);
  }

  void UpdateLongestUrgentWait() {
    for (const auto& [id, job] : m_workers.fleet.jobs) {
      if (job.priority == Priority::kUrgent && job.state == JobState::kQueued &&
          job.attempts == 0) {
        m_longest_urgent_wait =
            std::max(m_longest_urgent_wait, m_now - job.submitted);
      }
    }
  }

  int Count(JobState state) const {
    return static_cast<int>(std::count_if(
        m_workers.fleet.jobs.begin(), m_workers.fleet.jobs.end(),
        [state](const auto& entry) { return entry.second.state == state; }));
  }

  double RunningProcessors(const std::string& team) const {
    double sum = 0;
    for (const auto& [id, job] : m_workers.fleet.jobs) {
      if (job.team == team && IsRunning(job) &&
          job.state == JobState::kRunning && !job.is_stopping) {
        sum += job.reserved.processors;
      }
    }
    return sum;
  }
};

constexpr Resources kWorker{32, 128, 0};

TEST_CASE_FIXTURE(PlacerFixture,
                  "CheckSubmission, job that can never run, says why") {
  AddHosts(4, kWorker, "h");
  SetQuota("small", {4, 16, 0}, false);
  Job job;
  job.team = "t";
  job.pool = "p";
  job.declared = {8, 32, 0};
  job.declared_run_time = std::chrono::hours(1);
  job.submitted = m_now;
  job.deadline = m_now + std::chrono::hours(2);
  CHECK_FALSE(CheckSubmission(m_workers.fleet, job).has_value());

  const auto reason_with = [&](auto change) {
    Job changed = job;
    change(changed);
    return CheckSubmission(m_workers.fleet, changed).value_or("");
  };
  const auto has = [](const std::string& text, const char* part) {
    return text.find(part) != std::string::npos;
  };
  CHECK(has(reason_with([](Job& j) { j.declared.accelerators = 1; }),
            "the most a host has is 32 processors, 128 GB and 0"));
  CHECK(has(reason_with([](Job& j) { j.pool = "q"; }), "no pool q"));
  CHECK(has(reason_with([&](Job& j) { j.deadline = m_now + Millis(1); }),
            "before its run time of 1h"));
  CHECK(has(reason_with([](Job& j) { j.team = "small"; }), "may not borrow"));
  CHECK(has(reason_with([](Job& j) { j.declared.processors = 0; }), "ask for"));
  CHECK(has(reason_with([](Job& j) { j.declared_run_time = {}; }), "run time"));
}

TEST_CASE_FIXTURE(PlacerFixture,
                  "Placer, processors short, throttles and starts at once") {
  AddHosts(2, kWorker, "h");
  for (int i = 0; i < 8; ++i) {
    Submit("t", Priority::kBatch, {8, 8, 0}, std::chrono::hours(2));
  }
  Run(Millis(2'000));
  REQUIRE(Count(JobState::kRunning) == 8);
  const std::string urgent =
      Submit("t", Priority::kUrgent, {6, 8, 0}, std::chrono::minutes(1)).id;
  Step();
  CHECK(FindJob(urgent).state == JobState::kRunning);
  CHECK(Count(JobState::kRunning) == 9);
  Run(std::chrono::minutes(2));
  for (const auto& [id, job] : m_workers.fleet.jobs) {
    CHECK(job.throttle == 1);
  }
}

TEST_CASE_FIXTURE(PlacerFixture,
                  "Placer, memory short, ends the run that loses least work") {
  AddHosts(1, kWorker, "h");
  std::vector<std::string> batch;
  for (int i = 0; i < 4; ++i) {
    batch.push_back(
        Submit("t", Priority::kBatch, {4, 32, 0}, std::chrono::hours(2)).id);
    Run(std::chrono::minutes(1));
  }
  SUBCASE("no run can checkpoint") {
    Submit("t", Priority::kUrgent, {4, 30, 0}, std::chrono::minutes(1));
    Run(kUrgentBound);
    CHECK(FindJob(batch[3]).attempts == 1);
    CHECK(FindJob(batch[3]).state == JobState::kQueued);
  }
  SUBCASE("the oldest run can checkpoint") {
    FindJob(batch[0]).can_checkpoint = true;
    Submit("t", Priority::kUrgent, {4, 30, 0}, std::chrono::minutes(1));
    Run(kUrgentBound);
    CHECK(FindJob(batch[0]).state == JobState::kQueued);
    CHECK(FindJob(batch[0]).work_done > std::chrono::minutes(4));
    CHECK(m_workers.work_lost == Millis(0));
  }
  CHECK(m_longest_urgent_wait < kUrgentBound);
  CHECK(Count(JobState::kRunning) == 4);
}

TEST_CASE_FIXTURE(
    PlacerFixture,
    "Placer, worker does not end its run, urgent starts in time") {
  WorkerInit init;
  SUBCASE("checkpoints take a minute") {
    init.checkpoint_time = std::chrono::minutes(1);
  }
  SUBCASE("the worker is cut off and nobody has noticed") {
    m_workers.silent = {"h0"};
  }
  const auto silent = m_workers.silent;
  m_workers = FakeWorkers(init);
  m_workers.fleet.pools["p"].name = "p";
  AddHosts(2, kWorker, "h");
  for (int i = 0; i < 8; ++i) {
    Submit("t", Priority::kBatch, {4, 32, 0}, std::chrono::hours(2))
        .can_checkpoint = true;
  }
  Run(std::chrono::minutes(1));
  m_workers.silent = silent;
  Submit("t", Priority::kUrgent, {4, 30, 0}, std::chrono::minutes(1));
  Run(kUrgentBound);
  CHECK(Count(JobState::kRunning) + Count(JobState::kCheckpointing) == 8);
  CHECK(m_longest_urgent_wait < kUrgentBound);
}

TEST_CASE_FIXTURE(PlacerFixture,
                  "Placer, owner wants its quota back, has it within bound") {
  AddHosts(4, kWorker, "h");
  SetQuota("a", {64, 256, 0}, true);
  SetQuota("b", {64, 256, 0}, true);
  for (int i = 0; i < 32; ++i) {
    Submit("a", Priority::kStandard, {4, 16, 0}, std::chrono::hours(3))
        .can_checkpoint = i % 2 == 0;
  }
  Run(std::chrono::minutes(2));
  CHECK(RunningProcessors("a") == 128);
  for (int i = 0; i < 16; ++i) {
    Submit("b", Priority::kBatch, {4, 16, 0}, std::chrono::hours(3));
  }
  const PlacerInit& init = m_placer.init();
  Run(Millis(10'000));
  CHECK(m_workers.work_lost == Millis(0));
  CHECK(RunningProcessors("b") > 0);
  Run(init.reclaim_timeout + init.checkpoint_timeout + init.lease_timeout -
      Millis(10'000));
  CHECK(RunningProcessors("b") == 64);
  CHECK(RunningProcessors("a") == 64);
}

TEST_CASE_FIXTURE(PlacerFixture,
                  "Placer, team may not borrow, stays within its quota") {
  AddHosts(2, kWorker, "h");
  SetQuota("a", {16, 64, 0}, false);
  for (int i = 0; i < 10; ++i) {
    Submit("a", Priority::kBatch, {4, 16, 0}, std::chrono::hours(1));
  }
  Run(Millis(5'000));
  CHECK(RunningProcessors("a") == 16);
  const std::string urgent =
      Submit("a", Priority::kUrgent, {4, 16, 0}, std::chrono::hours(1)).id;
  Run(Millis(5'000));
  CHECK(FindJob(urgent).state == JobState::kRunning);
  CHECK(RunningProcessors("a") == 16);
}

TEST_CASE_FIXTURE(
    PlacerFixture,
    "Placer, worker fails everything, set aside after few tries") {
  AddHosts(10, kWorker, "h");
  m_workers.bad = {"h0"};
  for (int i = 0; i < 400; ++i) {
    Submit("t", Priority::kStandard, {2, 8, 0}, std::chrono::minutes(1)).kind =
        "k" + std::to_string(i % 2);
  }
  Run(std::chrono::minutes(9));
  const int tries = m_workers.starts["h0"];
  CHECK(tries <= 6);
  CHECK(m_placer.evidence().IsWorkerQuarantined("h0", m_now));
  CHECK(Count(JobState::kSucceeded) == 400);
  Run(std::chrono::minutes(10));
  for (int i = 0; i < 400; ++i) {
    Submit("t", Priority::kStandard, {2, 8, 0}, std::chrono::minutes(1));
  }
  m_workers.bad.clear();
  Run(std::chrono::minutes(9));
  CHECK(m_workers.starts["h0"] > tries);
  CHECK(Count(JobState::kSucceeded) == 800);
}

TEST_CASE_FIXTURE(PlacerFixture,
                  "Placer, job fails everywhere, failed and no worker blamed") {
  AddHosts(10, kWorker, "h");
  for (int i = 0; i < 60; ++i) {
    Job& job =
        Submit("t", Priority::kStandard, {2, 8, 0}, std::chrono::minutes(1));
    job.kind = "broken";
    m_workers.truth[job.id].fails = true;
  }
  Run(std::chrono::minutes(10));
  CHECK(Count(JobState::kFailed) == 60);
  const Job& first = m_workers.fleet.jobs.begin()->second;
  CHECK(first.failed_on.size() == 3);
  CHECK(first.reason.find("exit status 1") != std::string::npos);
  for (const auto& [id, host] : m_workers.fleet.hosts) {
    CHECK_FALSE(m_placer.evidence().IsWorkerQuarantined(id, m_now));
  }
}

TEST_CASE_FIXTURE(PlacerFixture,
                  "Placer, host drains, checkpoints before it is empty") {
  AddHosts(2, kWorker, "h");
  Job& job =
      Submit("t", Priority::kStandard, {4, 16, 0}, std::chrono::hours(1));
  job.can_checkpoint = true;
  const std::string saved = job.id;
  Run(std::chrono::minutes(5));
  const std::string from = FindJob(saved).host;
  m_workers.fleet.hosts[from].state = HostState::kDraining;
  m_workers.fleet.hosts[from].state_since = m_now;
  Run(Millis(10'000));
  CHECK(FindJob(saved).state == JobState::kRunning);
  CHECK(FindJob(saved).host != from);
  CHECK(FindJob(saved).work_done > std::chrono::minutes(4));
  CHECK(m_workers.work_lost == Millis(0));
}

TEST_CASE_FIXTURE(PlacerFixture,
                  "Placer, host cut off, restarts only after the lease") {
  AddHosts(2, kWorker, "h");
  const std::string id =
      Submit("t", Priority::kStandard, {4, 16, 0}, std::chrono::hours(1)).id;
  Run(Millis(2'000));
  const std::string from = FindJob(id).host;
  const JobReport late{
      id, FindJob(id).lease, from, JobReportKind::kSucceeded, {}, {}, {}};
  m_workers.silent = {from};
  m_workers.fleet.hosts[from].state = HostState::kFailed;
  m_workers.fleet.hosts[from].state_since = m_now;
  Run(Millis(14'000));
  CHECK(FindJob(id).host == from);
  Run(Millis(3'000));
  CHECK(FindJob(id).host != from);
  CHECK(FindJob(id).state == JobState::kRunning);
  CHECK_FALSE(AfterReport(FindJob(id), late, m_now).has_value());
  JobReport of_old_lease = late;
  of_old_lease.host = FindJob(id).host;
  CHECK_FALSE(AfterReport(FindJob(id), of_old_lease, m_now).has_value());
}

TEST_CASE_FIXTURE(PlacerFixture,
                  "Placer, big job blocked, small ones fill in, none starves") {
  AddHosts(2, kWorker, "h");
  for (int i = 0; i < 16; ++i) {
    Submit("t", Priority::kStandard, {4, 4, 0}, std::chrono::minutes(10));
  }
  Run(Millis(10'000));
  const std::string big =
      Submit("t", Priority::kStandard, {32, 64, 0}, std::chrono::minutes(30))
          .id;
  FindJob(big).deadline = m_now + std::chrono::minutes(50);
  double busy = 0;
  int steps = 0;
  while (FindJob(big).attempts == 0 && steps < 7'200) {
    if (steps % 30 == 0) {
      // Every third small job runs three times as long as it declares.
      Job& small =
          Submit("t", Priority::kStandard, {4, 4, 0}, std::chrono::minutes(5));
      m_workers.truth[small.id].run_time *= steps % 90 == 0 ? 3 : 1;
    }
    Step();
    busy += RunningProcessors("t");
    ++steps;
  }
  CHECK(FindJob(big).attempts == 1);
  CHECK(FindJob(big).started - FindJob(big).submitted <
        std::chrono::minutes(40));
  CHECK(busy / steps > 28);
}

TEST_CASE_FIXTURE(PlacerFixture,
                  "Placer, job overruns tenfold, starved neighbour starts") {
  AddHosts(1, kWorker, "h");
  Job& overrun =
      Submit("t", Priority::kBatch, {16, 16, 0}, std::chrono::minutes(10));
  m_workers.truth[overrun.id].run_time = std::chrono::hours(40);
  overrun.can_checkpoint = true;
  Run(Millis(1'000));
  const std::string big =
      Submit("t", Priority::kBatch, {32, 64, 0}, std::chrono::minutes(10)).id;
  Run(std::chrono::minutes(80));
  CHECK(FindJob(big).state == JobState::kSucceeded);
}

TEST_CASE_FIXTURE(
    PlacerFixture,
    "Placer, sizes misdeclared tenfold, learns and stays within") {
  AddHosts(8, kWorker, "h");
  for (int i = 0; i < 300; ++i) {
    Job& job =
        Submit("t", Priority::kStandard, {1, 4, 0}, std::chrono::minutes(1));
    job.kind = i % 2 == 0 ? "large" : "small";
    ActualJob& actual = m_workers.truth[job.id];
    const double factor = i % 2 == 0 ? 10 : 0.1;
    actual.used = {1 * factor, 4 * factor, 0};
    actual.run_time = i % 2 == 0 ? Millis(600'000) : Millis(6'000);
    job.can_checkpoint = true;
  }
  Run(std::chrono::hours(2));
  CHECK(Count(JobState::kSucceeded) > 250);
  Job like;
  like.team = "t";
  like.kind = "large";
  like.declared = {1, 4, 0};
  like.declared_run_time = std::chrono::minutes(1);
  const Estimates& estimates = m_placer.estimates();
  CHECK(estimates.ExpectedSize(like).memory_gb == doctest::Approx(44));
  CHECK(estimates.ExpectedRunTime(like) == std::chrono::minutes(10));
  like.kind = "small";
  CHECK(estimates.ExpectedSize(like).memory_gb == doctest::Approx(0.44));
}

TEST_CASE_FIXTURE(
    PlacerFixture,
    "Placer, run uses more memory than its host has, ended once") {
  AddHosts(1, kWorker, "h");
  Submit("t", Priority::kStandard, {4, 100, 0}, std::chrono::hours(1));
  Run(Millis(1'000));
  Job& greedy =
      Submit("t", Priority::kStandard, {4, 10, 0}, std::chrono::minutes(10));
  const std::string id = greedy.id;
  Run(Millis(1'000));
  Observations seen;
  seen.usage[id] = {FindJob(id).lease - 1, {4, 60, 0}, {}};
  CHECK(m_placer.Step(m_workers.fleet, seen, m_now).empty());
  seen.usage[id].lease = FindJob(id).lease;
  CHECK(m_placer.Step(m_workers.fleet, seen, m_now).size() == 1);
  m_workers.truth[id].used = {4, 60, 0};
  Run(std::chrono::minutes(5));
  CHECK(FindJob(id).attempts == 1);
  CHECK(FindJob(id).peak.memory_gb == 60);
  CHECK(FindJob(id).state == JobState::kQueued);
}

TEST_CASE_FIXTURE(PlacerFixture,
                  "Placer, wave of cancellations, no action is needed") {
  AddHosts(4, kWorker, "h");
  for (int i = 0; i < 2'000; ++i) {
    Submit("t", Priority::kBatch, {2, 8, 0}, std::chrono::hours(1));
  }
  Run(Millis(40'000));
  REQUIRE(Count(JobState::kRunning) == 64);
  Submit("t", Priority::kUrgent, {1, 0, 0}, std::chrono::minutes(1));
  const auto decided = m_placer.Step(m_workers.fleet, {}, m_now);
  REQUIRE_FALSE(decided.empty());
  for (auto& [id, job] : m_workers.fleet.jobs) {
    job = AfterCancel(job, m_now, "cancelled by its caller");
  }
  // Actions decided before the cancellation are rejected by their lease.
  m_workers.Commit(decided, m_now);
  CHECK(m_workers.rejected == static_cast<int>(decided.size()));
  CHECK(Count(JobState::kCancelled) == 2'001);
  CHECK(Step().empty());
  CHECK(m_workers.runs.empty());
  CHECK(Step().empty());
  CHECK(HostsByDrainCost(m_workers.fleet, "p", m_now).front().jobs == 0);
}

TEST_CASE_FIXTURE(
    PlacerFixture,
    "ComputeDrainCost, runs with and without checkpoints, told apart") {
  AddHosts(2, kWorker, "h");
  Submit("t", Priority::kStandard, {32, 16, 0}, std::chrono::hours(1))
      .can_checkpoint = true;
  Submit("t", Priority::kStandard, {32, 16, 0}, std::chrono::hours(1));
  Run(std::chrono::minutes(1));
  const auto costs = HostsByDrainCost(m_workers.fleet, "p", m_now);
  REQUIRE(costs.size() == 2);
  CHECK(costs[0].work_lost == Millis(0));
  CHECK(costs[0].work_moved == Millis(60'000 * 32));
  CHECK(costs[1].work_lost == Millis(60'000 * 32));
  CHECK(ComputeDrainCost(m_workers.fleet, costs[1].host, m_now) == costs[1]);
}

TEST_CASE_FIXTURE(PlacerFixture,
                  "ExplainJob, waiting and running jobs, says why") {
  AddHosts(1, kWorker, "h");
  const std::string runs =
      Submit("t", Priority::kStandard, {30, 16, 0}, std::chrono::hours(1)).id;
  const std::string waits =
      Submit("t", Priority::kStandard, {30, 16, 0}, std::chrono::hours(1)).id;
  Run(Millis(1'000));
  const auto explain = [this](const std::string& id) {
    std::string text;
    for (const auto& line : ExplainJob(m_workers.fleet, m_placer, id, m_now)) {
      text += line + "\n";
    }
    return text;
  };
  CHECK(explain(runs).find("It runs on h0") != std::string::npos);
  CHECK(explain(waits).find("0 have room for it") != std::string::npos);
  CHECK(explain("none") == "There is no job none.\n");
}

// Combines faults at random from a seed: misdeclared sizes, failing workers,
// cut-off and draining hosts, waves of cancellations, and every minute a new
// leader that has only the fleet and the saved memory.
struct ScheduleFixture : PlacerFixture {
  std::mt19937_64 m_random;

  int RandomBelow(int below) {
    return static_cast<int>(m_random() % static_cast<uint64_t>(below));
  }

  void SubmitSome() {
    const int kind = RandomBelow(10);
    const Priority priority = kind == 0  ? Priority::kUrgent
                              : kind < 5 ? Priority::kStandard
                                         : Priority::kBatch;
    const bool is_urgent = priority == Priority::kUrgent;
    const Resources size{1.0 + RandomBelow(8), 4.0 + RandomBelow(24),
                         RandomBelow(8) == 0 && !is_urgent ? 1 : 0};
    const std::string team = RandomBelow(2) == 0 ? "a" : "b";
    Job& job = Submit(
        team, priority, size,
        is_urgent ? Millis(5'000) : Millis(60'000 + RandomBelow(300'000)));
    job.kind = "k" + std::to_string(RandomBelow(5));
    job.can_checkpoint = RandomBelow(2) == 0;
    ActualJob& actual = m_workers.truth[job.id];
    actual.fails = RandomBelow(50) == 0 && !is_urgent;
    if (RandomBelow(5) == 0 && !is_urgent) {
      actual.used = {size.processors * 3, size.memory_gb * 0.2,
                     size.accelerators};
      actual.run_time *= 10;
    }
  }

  model::Host& AnyHost() {
    auto host = m_workers.fleet.hosts.begin();
    std::advance(host,
                 RandomBelow(static_cast<int>(m_workers.fleet.hosts.size())));
    return host->second;
  }

  void ChangeHost() {
    model::Host& host = AnyHost();
    const bool is_in = host.state == HostState::kInPool;
    host.state = !is_in                ? HostState::kInPool
                 : RandomBelow(2) == 0 ? HostState::kDraining
                                       : HostState::kFailed;
    host.state_since = m_now;
    if (host.state == HostState::kFailed) {
      m_workers.silent.insert(host.id);
    } else if (m_workers.silent.count(host.id)) {
      // The host returns only after its leases have expired and its jobs were
      // requeued.
      host.state = HostState::kFailed;
      host.state_since = kStartTime;
      Step();
      m_workers.silent.erase(host.id);
      host.state = HostState::kInPool;
    }
  }

  void CancelSome() {
    for (auto& [id, job] : m_workers.fleet.jobs) {
      if (RandomBelow(4) == 0) {
        job = AfterCancel(job, m_now, "cancelled");
      }
    }
  }

  void ChangeLeader() {
    const std::string saved = model::ToJsonText(m_placer.Save());
    m_placer = Placer();
    m_placer.Load(model::FromJsonText<PlacementMemory>(saved));
  }
};

TEST_CASE_FIXTURE(ScheduleFixture,
                  "Placer, seeded schedules of faults, keeps its invariants") {
  for (const uint64_t seed : {1, 2, 3, 4, 5, 6, 7, 8}) {
    CAPTURE(seed);
    m_random.seed(seed);
    m_workers = FakeWorkers();
    m_placer = Placer();
    m_now = kStartTime;
    m_longest_urgent_wait = Millis(0);
    m_workers.fleet.pools["p"].name = "p";
    AddHosts(9, kWorker, "h");
    AddHosts(3, {32, 128, 4}, "x");
    SetQuota("a", {192, 700, 6}, true);
    SetQuota("b", {192, 700, 6}, true);
    m_workers.bad = {"h3"};
    for (int step = 0; step < 2'400; ++step) {
      if (RandomBelow(4) == 0) {
        SubmitSome();
      }
      if (step % 400 == 300) {
        ChangeHost();
      }
      if (step % 1'000 == 700) {
        CancelSome();
      }
      if (step % 120 == 0) {
        ChangeLeader();
      }
      Step();
    }
    for (auto& [id, host] : m_workers.fleet.hosts) {
      host.state = HostState::kInPool;
    }
    m_workers.silent.clear();
    Run(std::chrono::hours(2));
    CHECK(Count(JobState::kQueued) == 0);
    CHECK(Count(JobState::kRunning) == 0);
    CHECK(m_longest_urgent_wait <= kUrgentBound);
    CHECK(m_workers.starts["h3"] <= 30);
  }
}

}  // namespace
}  // namespace laurelhall::placement
