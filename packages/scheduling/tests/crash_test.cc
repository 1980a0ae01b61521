#include <doctest/doctest.h>

#include <map>
#include <set>

#include "laurelhall/scheduling/crash.h"
#include "laurelhall/scheduling/ledger.h"
#include "laurelhall/scheduling/planner.h"

namespace laurelhall::scheduling {
namespace {

TaskId TaskOfJob(const std::string& job) {
  return {job, 0, 0, 0};
}

std::map<std::string, Suspicion> Assess(const std::vector<LostRun>& runs,
                                        LossScope scope = LossScope::kWorker) {
  std::map<std::string, Suspicion> assessed;
  for (const CrashSuspect& suspect : AssessCrash(runs, scope)) {
    assessed[suspect.task.job] = suspect.suspicion;
  }
  return assessed;
}

LostRun RunObservedFor(const std::string& job, Millis observed_for) {
  return {TaskOfJob(job), true, observed_for, Millis::max(), true};
}

LostRun PersistentRun(const std::string& job, Millis observed_for) {
  LostRun run = RunObservedFor(job, observed_for);
  run.is_persistent = true;
  return run;
}

TEST_CASE("Crash, observed persistent run beside new ones, is excused") {
  const auto assessed = Assess({PersistentRun("persistent", Millis(900)),
                                RunObservedFor("older", Millis(900)),
                                RunObservedFor("new", Millis(0))});
  CHECK(assessed.at("persistent") == Suspicion::kExcused);
  CHECK(assessed.at("older") == Suspicion::kBystander);
  CHECK(assessed.at("new") == Suspicion::kSuspect);
}

TEST_CASE("Crash, observed persistent run without newer ones, is suspected") {
  const auto assessed = Assess({PersistentRun("persistent", Millis(900))});
  CHECK(assessed.at("persistent") == Suspicion::kSuspect);
}

TEST_CASE("Crash, run proven under an earlier leader, is cleared") {
  LostRun run = PersistentRun("persistent", Millis(0));
  run.is_proven = true;
  CHECK(Assess({run}, LossScope::kUnknown).at("persistent") ==
        Suspicion::kCleared);
}

TEST_CASE("Crash, new runs beside older ones, new ones are suspected") {
  const auto assessed =
      Assess({{TaskOfJob("new"), true, Millis(0), Millis::max(), true},
              {TaskOfJob("old"), true, Millis(900), Millis::max(), true},
              {TaskOfJob("long"), true, Millis(60'000), Millis::max(), true}});
  CHECK(assessed.at("new") == Suspicion::kSuspect);
  CHECK(assessed.at("old") == Suspicion::kBystander);
  CHECK(assessed.at("long") == Suspicion::kCleared);
}

TEST_CASE("Crash, no new run, older ones are suspected") {
  const auto assessed =
      Assess({{TaskOfJob("a"), true, Millis(900), Millis::max(), true},
              {TaskOfJob("b"), true, Millis(1'900), Millis::max(), true}});
  CHECK(assessed.at("a") == Suspicion::kSuspect);
  CHECK(assessed.at("b") == Suspicion::kSuspect);
}

TEST_CASE("Crash, right after the start, weighs more than a later one") {
  const auto prompt =
      Assess({{TaskOfJob("a"), true, Millis(0), Millis(20), true}});
  CHECK(prompt.at("a") == Suspicion::kPrompt);
  const auto later =
      Assess({{TaskOfJob("a"), true, Millis(0), Millis(400), true}});
  CHECK(later.at("a") == Suspicion::kSole);
}

LostRun RunOfGang(const std::string& job, uint32_t index) {
  LostRun run{{job, 0, 0, index}, true, Millis(0), Millis(20), true};
  run.is_in_gang = true;
  return run;
}

TEST_CASE("Crash, only runs of one gang, they count as a single run") {
  std::vector<LostRun> runs{RunOfGang("gang", 0), RunOfGang("gang", 1)};
  CHECK(Assess(runs).at("gang") == Suspicion::kPrompt);
  for (LostRun& run : runs) {
    run.max_time_since_start = Millis(400);
  }
  CHECK(Assess(runs).at("gang") == Suspicion::kSole);
}

TEST_CASE("Crash, gang beside another new run, both are only suspected") {
  LostRun other{TaskOfJob("other"), true, Millis(0), Millis(20), true};
  auto assessed = Assess({RunOfGang("gang", 0), RunOfGang("gang", 1), other});
  CHECK(assessed.at("gang") == Suspicion::kSuspect);
  CHECK(assessed.at("other") == Suspicion::kSuspect);
  other.has_started = false;
  assessed = Assess({RunOfGang("gang", 0), RunOfGang("gang", 1), other});
  CHECK(assessed.at("gang") == Suspicion::kSuspect);
}

TEST_CASE("Crash, gang beside an observed run, explains a prompt crash") {
  const auto assessed = Assess({RunOfGang("gang", 0), RunOfGang("gang", 1),
                                RunObservedFor("older", Millis(900))});
  CHECK(assessed.at("gang") == Suspicion::kPrompt);
  CHECK(assessed.at("older") == Suspicion::kBystander);
}

TEST_CASE("Crash, other runs cannot have started, the run is the sole one") {
  const auto assessed =
      Assess({{TaskOfJob("a"), true, Millis(0), Millis::max(), true},
              {TaskOfJob("unsent"), false, Millis(0)}});
  CHECK(assessed.at("a") == Suspicion::kSole);
  CHECK_FALSE(assessed.contains("unsent"));
}

TEST_CASE("Crash, start of the only run not confirmed, is a bystander") {
  const auto assessed = Assess({{TaskOfJob("a"), true, Millis(0), Millis(20)}});
  CHECK(assessed.at("a") == Suspicion::kBystander);
}

// Guards against sound jobs that are given up for workers which went down after
// the job's tasks had ended there.
TEST_CASE("Crash, run may have ended before the loss, is a bystander") {
  LostRun run = RunObservedFor("a", Millis(200));
  run.may_have_ended = true;
  const auto assessed = Assess({run, RunObservedFor("b", Millis(200))});
  CHECK(assessed.at("a") == Suspicion::kBystander);
  CHECK(assessed.at("b") == Suspicion::kSuspect);
}

TEST_CASE("Crash, whole rack is lost, nothing is suspected") {
  const auto assessed =
      Assess({{TaskOfJob("a"), true, Millis(0), Millis::max(), true}},
             LossScope::kRack);
  CHECK(assessed.at("a") == Suspicion::kBystander);
}

TEST_CASE("Crash, others are lost at the same time, run is only suspected") {
  const auto assessed =
      Assess({{TaskOfJob("a"), true, Millis(0), Millis::max(), true}},
             LossScope::kSeveral);
  CHECK(assessed.at("a") == Suspicion::kSuspect);
}

TEST_CASE("Crash, before the leader took over, nothing is suspected") {
  const auto assessed =
      Assess({{TaskOfJob("a"), true, Millis(0), Millis::max(), true}},
             LossScope::kUnknown);
  CHECK(assessed.at("a") == Suspicion::kBystander);
}

TEST_CASE("Crash, only run was observed for a while, is only suspected") {
  const auto assessed =
      Assess({{TaskOfJob("a"), true, Millis(1'800), Millis::max(), true}});
  CHECK(assessed.at("a") == Suspicion::kSuspect);
}

TEST_CASE("Crash, repeated, task is given up by number and blame") {
  const uint32_t suspect = BlameScore(Suspicion::kSuspect);
  const uint32_t sole = BlameScore(Suspicion::kSole);
  const uint32_t prompt = BlameScore(Suspicion::kPrompt);
  CHECK_FALSE(ShouldGiveUp(1, prompt, Suspicion::kPrompt, false));
  CHECK(ShouldGiveUp(2, suspect + prompt, Suspicion::kPrompt, false));
  CHECK_FALSE(ShouldGiveUp(2, suspect + sole, Suspicion::kSole, false));
  CHECK(ShouldGiveUp(2, sole + sole, Suspicion::kSole, false));
  CHECK_FALSE(ShouldGiveUp(4, 4 * suspect, Suspicion::kSuspect, false));
  CHECK(ShouldGiveUp(5, 0, Suspicion::kBystander, false));
  CHECK_FALSE(ShouldGiveUp(4, 4 * prompt, Suspicion::kPrompt, true));
  CHECK(ShouldGiveUp(5, 5 * prompt, Suspicion::kPrompt, true));
}

TEST_CASE("Crash, losses with overlapping intervals, may be simultaneous") {
  const auto at = [](int from, int to) {
    return LossTime{SteadyTime(Millis(from)), SteadyTime(Millis(to))};
  };
  CHECK(MayBeSimultaneous({at(0, 100), at(50, 200), at(90, 95)}));
  CHECK_FALSE(MayBeSimultaneous({at(0, 100), at(50, 200), at(101, 120)}));
}

constexpr Resources kCapacity{4'000, 16'000, 0};

class CrashLedgerFixture {
 protected:
  CrashLedgerFixture() {
    Configuration configuration;
    configuration.version = 1;
    configuration.queues.push_back(
        {"quotes", "q", "/q/", "teklif", 0, 2, 1.6, Millis(600)});
    configuration.services.push_back({"teklif", false, false});
    ledger.Apply(ConfigurationSet{configuration});
    for (const char* id : {"w1", "w2", "w3"}) {
      AddWorker(id);
    }
    Submit("a");
    Submit("b");
  }

  void AddWorker(const std::string& id) {
    WorkerInfo info;
    info.id = id;
    info.service = "teklif";
    info.host = "host-" + id;
    info.capacity = kCapacity;
    ledger.Apply(WorkerSeen{info});
  }

  void Submit(const std::string& id) {
    JobSpec spec;
    StepSpec step;
    step.count = 1;
    step.need = {1'000, 500, 0};
    step.estimate = Millis(500);
    spec.steps.push_back(step);
    ledger.Apply(JobAccepted{id, "quotes", "teklif", WallTime(), spec});
  }

  void Crash(const std::string& job,
             uint32_t run,
             const std::string& worker,
             Suspicion suspicion) {
    ledger.Apply(RunStarted{TaskOfJob(job), run, worker});
    ledger.Apply(WorkerCrashed{worker, {{TaskOfJob(job), suspicion}}});
    ledger.Apply(WorkerGone{worker});
    AddWorker(worker + "'");
  }

  std::map<std::string, std::string> Plan() {
    PlanInput input{ledger, SteadyTime(m_now), WallTime(),
                    [this](const Worker& worker) {
                      WorkerStatus outlook;
                      outlook.is_usable = true;
                      outlook.is_quarantined =
                          !worker.suspects.empty() && !m_is_settled;
                      outlook.all_runs_seen = m_is_settled;
                      return outlook;
                    },
                    m_seen_at};
    std::map<std::string, std::string> starts;
    for (const RunStarted& start : m_planner.Plan(input)) {
      ledger.Apply(start);
      m_planner.ReleaseReservation(start);
      starts[start.task.job] = start.worker;
    }
    return starts;
  }

  const Task& TaskOf(const std::string& job) const {
    return ledger.FindJob(job)->tasks[0];
  }

  Ledger ledger;
  Millis m_now{1'000};
  std::unordered_map<std::string, SteadyTime> m_seen_at;
  bool m_is_settled = false;

 private:
  Planner m_planner;
};

TEST_CASE_FIXTURE(CrashLedgerFixture,
                  "Ledger, workers crash while a task runs, its job fails") {
  Crash("a", 1, "w1", Suspicion::kSuspect);
  CHECK(TaskOf("a").IsSuspect());
  CHECK(ledger.FindJob("a")->state == JobState::kRunning);
  Crash("a", 2, "w2", Suspicion::kSole);
  CHECK(ledger.FindJob("a")->state == JobState::kRunning);
  Crash("a", 3, "w3", Suspicion::kSole);
  CHECK(ledger.FindJob("a")->state == JobState::kFailed);
  CHECK(ledger.FindJob("a")->active_runs == 0);
  CHECK(TaskOf("a").crashed == std::vector<std::string>{"w1", "w2", "w3"});
}

TEST_CASE_FIXTURE(CrashLedgerFixture,
                  "Ledger, member of a persistent gang is given up, the whole "
                  "gang is") {
  JobSpec spec;
  StepSpec step;
  step.count = 2;
  step.need = {1'000, 500, 0};
  step.is_gang = true;
  step.is_persistent = true;
  spec.steps.push_back(step);
  ledger.Apply(JobAccepted{"gang", "quotes", "teklif", WallTime(), spec});
  for (uint32_t run = 1; run <= kMaxCrashesPerTask; ++run) {
    CHECK(ledger.FindJob("gang")->state != JobState::kFailed);
    const std::string worker = "worker-" + std::to_string(run);
    AddWorker(worker);
    Crash("gang", run, worker, Suspicion::kSuspect);
  }
  CHECK(ledger.FindJob("gang")->state == JobState::kFailed);
  CHECK(ledger.FindJob("gang")->tasks[1].is_given_up);
}

TEST_CASE_FIXTURE(CrashLedgerFixture,
                  "Ledger, task is cleared by a crash, earlier crashes are "
                  "dropped") {
  Crash("a", 1, "w1", Suspicion::kSuspect);
  Crash("a", 2, "w2", Suspicion::kCleared);
  CHECK_FALSE(TaskOf("a").IsSuspect());
  CHECK(TaskOf("a").crashed.empty());
}

TEST_CASE_FIXTURE(
    CrashLedgerFixture,
    "Ledger, crash assessed after the lease expired, counts once") {
  ledger.Apply(RunStarted{TaskOfJob("a"), 1, "w1"});
  ledger.Apply(WorkerLapsed{"w1"});
  ledger.Apply(WorkerCrashed{"w1", {{TaskOfJob("a"), Suspicion::kSole}}});
  CHECK(TaskOf("a").crashed.size() == 1);
  // The same crash, reported again by the next leader.
  ledger.Apply(WorkerCrashed{"w1", {{TaskOfJob("a"), Suspicion::kSole}}});
  CHECK(TaskOf("a").crashed.size() == 1);
}

TEST_CASE_FIXTURE(CrashLedgerFixture,
                  "Ledger, saved and loaded, crashes still count") {
  Crash("a", 1, "w1", Suspicion::kSole);
  ledger.Apply(RunStarted{TaskOfJob("a"), 2, "w2"});
  ledger.Apply(RunStarted{TaskOfJob("b"), 1, "w3"});
  ledger.Apply(WorkerLapsed{"w3"});
  Ledger loaded;
  loaded.Load(ledger.Save());
  CHECK(loaded.Save() == ledger.Save());
  CHECK(loaded.FindWorker("w2")->suspects == std::set<TaskId>{TaskOfJob("a")});
  CHECK(loaded.FindWorker("w3")->lapsed == std::set<TaskId>{TaskOfJob("b")});
  loaded.Apply(WorkerCrashed{"w2", {{TaskOfJob("a"), Suspicion::kSole}}});
  CHECK(loaded.FindJob("a")->state == JobState::kFailed);
}

// The limit on crashes per task must also hold for runs whose worker ended
// without an assessment.
TEST_CASE_FIXTURE(CrashLedgerFixture,
                  "Ledger, worker ends without assessment, its runs count") {
  ledger.Apply(RunStarted{TaskOfJob("a"), 1, "w1"});
  ledger.Apply(WorkerCrashed{"w1", {}});
  ledger.Apply(IncarnationEnded{"w1", {}});
  CHECK(TaskOf("a").crashed == std::vector<std::string>{"w1"});
  CHECK(TaskOf("a").blame == 0);
}

TEST_CASE_FIXTURE(CrashLedgerFixture,
                  "Ledger, lease expires and worker ends without assessment, "
                  "its runs count once") {
  ledger.Apply(RunStarted{TaskOfJob("a"), 1, "w1"});
  ledger.Apply(WorkerLapsed{"w1"});
  ledger.Apply(IncarnationEnded{"w1", {}});
  CHECK(TaskOf("a").crashed.size() == 1);
  CHECK(TaskOf("a").unresolved_lapses == 0);
}

TEST_CASE_FIXTURE(
    CrashLedgerFixture,
    "Ledger, worker ends after an assessment, its runs count once") {
  Crash("a", 1, "w1", Suspicion::kSuspect);
  ledger.Apply(RunStarted{TaskOfJob("b"), 1, "w2"});
  ledger.Apply(WorkerCrashed{"w2", {{TaskOfJob("b"), Suspicion::kExcused}}});
  ledger.Apply(IncarnationEnded{"w2", {}});
  CHECK(TaskOf("a").crashed.size() == 1);
  CHECK(TaskOf("b").crashed.empty());
}

TEST_CASE_FIXTURE(CrashLedgerFixture,
                  "Ledger, worker announced its shutdown, no crash counts") {
  ledger.Apply(RunStarted{TaskOfJob("a"), 1, "w1"});
  ledger.Apply(WorkerLeft{"w1", {}});
  CHECK(TaskOf("a").crashed.empty());
  CHECK(TaskOf("a").active.empty());
  CHECK(ledger.FindWorker("w1") == nullptr);
}

TEST_CASE_FIXTURE(CrashLedgerFixture,
                  "Ledger, run proven, saved and loaded, no crash counts") {
  Crash("a", 1, "w1", Suspicion::kSuspect);
  ledger.Apply(RunStarted{TaskOfJob("a"), 2, "w2"});
  ledger.Apply(RunProven{TaskOfJob("a"), 2});
  CHECK(TaskOf("a").crashed.empty());
  Ledger loaded;
  loaded.Load(ledger.Save());
  CHECK(loaded.Save() == ledger.Save());
  loaded.Apply(IncarnationEnded{"w2", {}});
  CHECK(loaded.FindJob("a")->tasks[0].crashed.empty());
}

TEST_CASE("Records of proven runs and left workers, decoded, equal") {
  const auto records = DecodeRecords(EncodeRecords(
      {RunProven{{"a", 0, 1, 2}, 3}, WorkerLeft{"w1", WallTime(Millis(5))}}));
  const auto& proven = std::get<RunProven>(records.at(0));
  CHECK(proven.task == TaskId{"a", 0, 1, 2});
  CHECK(proven.run == 3);
  const auto& left = std::get<WorkerLeft>(records.at(1));
  CHECK(left.worker == "w1");
  CHECK(left.born == WallTime(Millis(5)));
}

// Written by the version before crashes were counted.
TEST_CASE("Ledger, snapshot without crashes, is loaded") {
  Ledger ledger;
  ledger.Load(
      "1 2:{}1 6:quotes1:q3:/q/6:teklif0 2 1600 600 1 6:teklif0 0 1 "
      "1:a6:quotes6:teklif0 0:1 2 1000 500 0 500 0 0 0 0 0 0 0 0:0:0 0:0 0 1 0 "
      "0 0 1 2 0 1 1 0 0:0:1 1 2:w10 0 0 0 0:0:0 2 1 1 2 1 "
      "2:w10:6:teklif0:6:host-10:0 4000 16000 0 0 0 1 2:w9");
  CHECK(ledger.FindJob("a")->active_runs == 1);
  CHECK(ledger.FindWorker("w1")->active.size() == 1);
  CHECK(ledger.FindWorker("w1")->suspects.empty());
  CHECK(ledger.IsGone("w9"));
}

TEST_CASE("Records, of the version before crashes were counted, decoded") {
  const auto records = DecodeRecords(
      "4 6 2:w10:6:teklif0:6:host-10:0 4000 16000 0 0 4 1:a0 0 0 1 2:w17 "
      "2:w18 2:w1");
  CHECK(records.size() == 4);
}

// Guards against a suspect that crashes a worker on which other tasks run.
TEST_CASE_FIXTURE(CrashLedgerFixture,
                  "Planner, suspect, starts on a worker without other tasks") {
  Crash("a", 1, "w1", Suspicion::kSuspect);
  for (int job = 0; job < 4; ++job) {
    Submit("other-" + std::to_string(job));
  }
  const auto starts = Plan();
  CHECK(starts.size() == 6);
  for (const auto& [job, worker] : starts) {
    CHECK((job == "a" || worker != starts.at("a")));
  }
}

TEST_CASE_FIXTURE(CrashLedgerFixture,
                  "Planner, suspect and no empty worker, one is vacated") {
  for (int job = 0; job < 4; ++job) {
    Submit("first-" + std::to_string(job));
  }
  ledger.Apply(RunStarted{TaskOfJob("b"), 1, "w1"});
  ledger.Apply(RunStarted{TaskOfJob("first-0"), 1, "w2"});
  ledger.Apply(RunStarted{TaskOfJob("first-1"), 1, "w3"});
  ledger.Apply(RunStarted{TaskOfJob("first-2"), 1, "w3"});
  ledger.Apply(RunStarted{TaskOfJob("first-3"), 1, "w1"});
  ledger.Apply(RunStarted{TaskOfJob("a"), 1, "w3"});
  ledger.Apply(WorkerCrashed{"w3", {{TaskOfJob("a"), Suspicion::kSuspect}}});
  ledger.Apply(RunEnded{TaskOfJob("a"), 1, "w3", RunEnd::kLapsed, {}});
  CHECK(Plan().empty());
  Submit("next");
  // The worker with the fewest tasks is vacated.
  CHECK(Plan().at("next") != "w2");
  ledger.Apply(RunEnded{TaskOfJob("first-0"), 1, "w2", RunEnd::kDone, {}});
  CHECK(Plan().at("a") == "w2");
  Submit("last");
  CHECK(Plan().at("last") != "w2");
}

TEST_CASE_FIXTURE(CrashLedgerFixture,
                  "Planner, suspect and no worker becomes empty, starts beside "
                  "other tasks") {
  for (const char* worker : {"w1", "w2", "w3"}) {
    Submit(std::string("long-") + worker);
    ledger.Apply(
        RunStarted{TaskOfJob(std::string("long-") + worker), 1, worker});
  }
  ledger.Apply(RunStarted{TaskOfJob("a"), 1, "w3"});
  ledger.Apply(WorkerCrashed{"w3", {{TaskOfJob("a"), Suspicion::kSuspect}}});
  ledger.Apply(RunEnded{TaskOfJob("a"), 1, "w3", RunEnd::kLapsed, {}});
  CHECK(Plan().size() == 1);  // Only "b".
  m_now += Millis(2'500);
  CHECK(Plan().size() == 1);
}

// Guards against a suspect that waits forever: hosts move to other pools one
// after the other, so that another worker has to be vacated each time.
TEST_CASE_FIXTURE(
    CrashLedgerFixture,
    "Planner, worker being vacated leaves, suspect does not wait longer") {
  for (const char* worker : {"w1", "w2", "w3"}) {
    Submit(std::string("long-") + worker);
    ledger.Apply(
        RunStarted{TaskOfJob(std::string("long-") + worker), 1, worker});
  }
  ledger.Apply(RunStarted{TaskOfJob("a"), 1, "w3"});
  ledger.Apply(WorkerCrashed{"w3", {{TaskOfJob("a"), Suspicion::kSuspect}}});
  ledger.Apply(RunEnded{TaskOfJob("a"), 1, "w3", RunEnd::kLapsed, {}});
  CHECK_FALSE(Plan().contains("a"));
  for (const char* leaving : {"w1", "w2"}) {
    m_now += Millis(1'100);
    WorkerInfo info = ledger.FindWorker(leaving)->info;
    info.is_draining = true;
    ledger.Apply(WorkerSeen{info});
    if (std::string(leaving) == "w1") {
      CHECK_FALSE(Plan().contains("a"));
    }
  }
  CHECK(Plan().at("a") == "w3");
}

// Guards against callers that time out: a crash leaves many suspects, and
// running them one by one on a single vacated worker takes too long.
TEST_CASE_FIXTURE(CrashLedgerFixture,
                  "Planner, many suspects wait, several workers are vacated") {
  for (int worker = 4; worker <= 12; ++worker) {
    AddWorker("w" + std::to_string(worker));
  }
  for (const auto& [id, worker] : ledger.workers()) {
    Submit("busy-" + id);
    ledger.Apply(RunStarted{TaskOfJob("busy-" + id), 1, id});
  }
  std::vector<CrashSuspect> suspects;
  AddWorker("lost");
  for (int job = 0; job < 12; ++job) {
    Submit("suspect-" + std::to_string(job));
    suspects.push_back(
        {TaskOfJob("suspect-" + std::to_string(job)), Suspicion::kSuspect});
    ledger.Apply(RunStarted{suspects.back().task, 1, "lost"});
  }
  ledger.Apply(WorkerCrashed{"lost", suspects});
  ledger.Apply(WorkerGone{"lost"});
  CHECK(Plan().size() == 2);  // "a" and "b".
  for (int job = 0; job < 40; ++job) {
    Submit("next-" + std::to_string(job));
  }
  std::set<std::string> used_workers;
  for (const auto& [job, worker] : Plan()) {
    used_workers.insert(worker);
  }
  CHECK(used_workers.size() == 12 - 4);  // A third is vacated.
}

// Guards against a worker that is filled with new tasks once it has run one of
// many suspects, so that another worker has to be vacated for the next one.
TEST_CASE_FIXTURE(CrashLedgerFixture,
                  "Planner, worker has run a suspect and others wait, gets no "
                  "new tasks") {
  // The suspects are late and have the lowest urgency.
  m_now += Millis(100'000);
  for (const char* worker : {"w1", "w3"}) {
    for (int job = 0; job < 4; ++job) {
      const std::string id = "long-" + std::to_string(job) + worker;
      Submit(id);
      ledger.Apply(RunStarted{TaskOfJob(id), 1, worker});
    }
  }
  ledger.Apply(RunStarted{TaskOfJob("a"), 1, "w2"});
  ledger.Apply(RunStarted{TaskOfJob("b"), 1, "w2"});
  AddWorker("lost");
  std::vector<CrashSuspect> suspects;
  for (int job = 0; job < 6; ++job) {
    Submit("suspect-" + std::to_string(job));
    m_seen_at["suspect-" + std::to_string(job)] = SteadyTime();
    suspects.push_back(
        {TaskOfJob("suspect-" + std::to_string(job)), Suspicion::kSuspect});
    ledger.Apply(RunStarted{suspects.back().task, 1, "lost"});
  }
  ledger.Apply(WorkerCrashed{"lost", suspects});
  ledger.Apply(WorkerGone{"lost"});
  CHECK(Plan().empty());
  ledger.Apply(RunEnded{TaskOfJob("a"), 1, "w2", RunEnd::kDone, {}});
  ledger.Apply(RunEnded{TaskOfJob("b"), 1, "w2", RunEnd::kDone, {}});
  CHECK(Plan().size() == 1);  // The first suspect, on w2.
  CHECK(Plan().empty());
  m_is_settled = true;
  Submit("next");
  m_seen_at["next"] = SteadyTime(m_now);
  const auto starts = Plan();
  CHECK(starts.size() == 1);
  CHECK_FALSE(starts.contains("next"));
}

// Guards against starvation: new tasks that are on time take every worker that
// becomes free, and suspects of late jobs never start.
TEST_CASE_FIXTURE(CrashLedgerFixture,
                  "Planner, suspect of a late job has waited long, precedes a "
                  "task that is on time") {
  m_now += Millis(100'000);
  for (const char* worker : {"w1", "w3"}) {
    for (int job = 0; job < 4; ++job) {
      const std::string id = "long-" + std::to_string(job) + worker;
      Submit(id);
      ledger.Apply(RunStarted{TaskOfJob(id), 1, worker});
    }
  }
  AddWorker("lost");
  std::vector<CrashSuspect> suspects;
  for (const char* job : {"a", "b"}) {
    m_seen_at[job] = SteadyTime();
    suspects.push_back({TaskOfJob(job), Suspicion::kSuspect});
    ledger.Apply(RunStarted{suspects.back().task, 1, "lost"});
  }
  ledger.Apply(WorkerCrashed{"lost", suspects});
  ledger.Apply(WorkerGone{"lost"});
  CHECK(Plan().size() == 1);  // On w2, as its only run.
  m_now += Millis(5'000);
  CHECK(Plan().empty());
  AddWorker("w4");
  Submit("next");
  m_seen_at["next"] = SteadyTime(m_now);
  const auto starts = Plan();
  CHECK(starts.size() == 1);
  CHECK_FALSE(starts.contains("next"));
}

// Guards against suspects that share a worker after a while and are all lost in
// the crash that one of them causes.
TEST_CASE_FIXTURE(CrashLedgerFixture,
                  "Planner, a suspect runs alone, other suspects wait for it") {
  Crash("a", 1, "w1", Suspicion::kSuspect);
  Crash("b", 1, "w2", Suspicion::kSuspect);
  for (const char* worker : {"w1'", "w2'"}) {
    Submit(std::string("long-") + worker);
    ledger.Apply(
        RunStarted{TaskOfJob(std::string("long-") + worker), 1, worker});
  }
  CHECK(Plan().size() == 1);  // On the third worker.
  m_now += Millis(2'500);
  CHECK(Plan().empty());
}

TEST_CASE_FIXTURE(CrashLedgerFixture,
                  "Planner, three workers crashed under a suspect, it never "
                  "starts beside other tasks") {
  Crash("a", 1, "w1", Suspicion::kBystander);
  Crash("a", 2, "w2", Suspicion::kBystander);
  Crash("a", 3, "w3", Suspicion::kBystander);
  for (const char* worker : {"w1'", "w2'", "w3'"}) {
    Submit(std::string("long-") + worker);
    ledger.Apply(
        RunStarted{TaskOfJob(std::string("long-") + worker), 1, worker});
  }
  const auto first = Plan();
  CHECK_FALSE(first.contains("a"));
  m_now += Millis(60'000);
  CHECK_FALSE(Plan().contains("a"));
  const std::string& worker = first.at("b");
  ledger.Apply(RunEnded{TaskOfJob("b"), 1, worker, RunEnd::kDone, {}});
  ledger.Apply(
      RunEnded{TaskOfJob("long-" + worker), 1, worker, RunEnd::kDone, {}});
  CHECK(Plan().at("a") == worker);
}

// Guards against a worker that is vacated for a suspect that may not run there,
// while the ones that it needs are filled again and again.
TEST_CASE_FIXTURE(CrashLedgerFixture,
                  "Planner, isolated suspect needs a label, a worker with it "
                  "is vacated") {
  WorkerInfo labelled = ledger.FindWorker("w3")->info;
  labelled.labels = {"ssd"};
  ledger.Apply(WorkerSeen{labelled});
  JobSpec spec;
  spec.steps = {ledger.FindJob("a")->spec.steps[0]};
  spec.steps[0].required_label = "ssd";
  ledger.Apply(JobAccepted{"near", "quotes", "teklif", WallTime(), spec});
  for (uint32_t run = 1; run <= 3; ++run) {
    const std::string lost = "lost-" + std::to_string(run);
    AddWorker(lost);
    Crash("near", run, lost, Suspicion::kBystander);
    ledger.Apply(WorkerGone{lost + "'"});
  }
  ledger.Apply(RunStarted{TaskOfJob("a"), 1, "w1"});
  ledger.Apply(RunStarted{TaskOfJob("b"), 1, "w2"});
  for (const char* job : {"long-1", "long-2", "long-3"}) {
    Submit(job);
    ledger.Apply(RunStarted{TaskOfJob(job), 1, "w3"});
  }
  CHECK_FALSE(Plan().contains("near"));
  // Tasks go to the fullest worker, unless it is being vacated.
  for (int job = 0; job < 4; ++job) {
    Submit("next-" + std::to_string(job));
  }
  for (const auto& [job, worker] : Plan()) {
    CHECK(worker != "w3");
  }
  for (const char* job : {"long-1", "long-2", "long-3"}) {
    ledger.Apply(RunEnded{TaskOfJob(job), 1, "w3", RunEnd::kDone, {}});
  }
  CHECK(Plan().at("near") == "w3");
}

// A persistent task serves users: it must not wait for an empty worker.
TEST_CASE_FIXTURE(CrashLedgerFixture,
                  "Planner, persistent suspect and no empty worker, starts "
                  "beside other tasks at once") {
  for (const char* worker : {"w1", "w2", "w3"}) {
    Submit(std::string("long-") + worker);
    ledger.Apply(
        RunStarted{TaskOfJob(std::string("long-") + worker), 1, worker});
  }
  JobSpec spec;
  StepSpec step;
  step.count = 1;
  step.need = {1'000, 500, 0};
  step.is_persistent = true;
  spec.steps.push_back(step);
  ledger.Apply(JobAccepted{"audit", "quotes", "teklif", WallTime(), spec});
  ledger.Apply(RunStarted{TaskOfJob("audit"), 1, "w3"});
  ledger.Apply(
      WorkerCrashed{"w3", {{TaskOfJob("audit"), Suspicion::kSuspect}}});
  ledger.Apply(RunEnded{TaskOfJob("audit"), 1, "w3", RunEnd::kLapsed, {}});
  CHECK(Plan().contains("audit"));
}

}  // namespace
}  // namespace laurelhall::scheduling
