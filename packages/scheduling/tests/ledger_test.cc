#include <doctest/doctest.h>

#include "laurelhall/scheduling/ledger.h"

namespace laurelhall::scheduling {
namespace {

constexpr const char* kJob = "5c0e7a21d94b36f8";

class LedgerFixture {
 protected:
  LedgerFixture() {
    Configuration configuration;
    configuration.version = 3;
    configuration.document = "{}";
    configuration.queues.push_back(
        {"quotes", "q.example", "/quotes/", "teklif", 0, 2, 1.6, Millis(600)});
    configuration.services.push_back({"teklif"});
    ledger.Apply(ConfigurationSet{configuration});
    for (const char* id : {"w1", "w2"}) {
      WorkerInfo info;
      info.id = id;
      info.address = std::string(id) + ":1";
      info.service = "teklif";
      info.capacity = {16'000, 64'000, 0};
      ledger.Apply(WorkerSeen{info});
    }
  }

  void Accept(std::vector<StepSpec> steps) {
    JobSpec spec;
    spec.payload = "photo";
    spec.steps = std::move(steps);
    ledger.Apply(JobAccepted{kJob, "quotes", "teklif", WallTime(), spec});
  }

  static StepSpec Step(uint32_t count, std::vector<uint32_t> depends_on = {}) {
    StepSpec step;
    step.count = count;
    step.need = {1'000, 500, 0};
    step.estimate = Millis(800);
    step.depends_on = std::move(depends_on);
    return step;
  }

  void Start(uint32_t step, uint32_t index, uint32_t run, const char* worker) {
    ledger.Apply(RunStarted{{kJob, 0, step, index}, run, worker});
  }

  void End(uint32_t step,
           uint32_t index,
           uint32_t run,
           const char* worker,
           RunEnd end,
           const char* checkpoint = "") {
    ledger.Apply(
        RunEnded{{kJob, 0, step, index}, run, worker, end, checkpoint});
  }

  const Job& job() const { return *ledger.FindJob(kJob); }

  Ledger ledger;
};

TEST_CASE_FIXTURE(LedgerFixture,
                  "Ledger, second start of an active task, ignored") {
  Accept({Step(1)});
  Start(0, 0, 1, "w1");
  Start(0, 0, 2, "w2");
  CHECK(job().active_runs == 1);
  CHECK(ledger.FindWorker("w2")->active.empty());
  CHECK(job().tasks[0].last_run == 1);
}

TEST_CASE_FIXTURE(LedgerFixture, "Ledger, start of a finished task, ignored") {
  Accept({Step(2)});
  Start(0, 0, 1, "w1");
  End(0, 0, 1, "w1", RunEnd::kDone);
  Start(0, 0, 2, "w2");
  CHECK(job().active_runs == 0);
  CHECK(job().tasks[0].is_done);
}

TEST_CASE_FIXTURE(LedgerFixture, "Ledger, late end of an older run, ignored") {
  Accept({Step(1)});
  Start(0, 0, 1, "w1");
  ledger.Apply(WorkerLapsed{"w1"});
  Start(0, 0, 2, "w2");
  End(0, 0, 1, "w1", RunEnd::kFailed);
  CHECK(job().tasks[0].failures == 0);
  CHECK(job().active_runs == 1);
}

TEST_CASE_FIXTURE(LedgerFixture,
                  "Ledger, run done before its lease lapsed, task is done") {
  Accept({Step(1)});
  Start(0, 0, 1, "w1");
  ledger.Apply(WorkerLapsed{"w1"});
  End(0, 0, 1, "w1", RunEnd::kDone);
  CHECK(job().state == JobState::kSucceeded);
}

TEST_CASE_FIXTURE(LedgerFixture,
                  "Ledger, job id accepted twice, first job is kept") {
  Accept({Step(1)});
  Accept({Step(5)});
  CHECK(job().tasks.size() == 1);
}

TEST_CASE_FIXTURE(LedgerFixture, "Ledger, last attempt fails, job fails") {
  Accept({Step(1)});
  Start(0, 0, 1, "w1");
  End(0, 0, 1, "w1", RunEnd::kFailed);
  CHECK(job().state == JobState::kRunning);
  Start(0, 0, 2, "w2");
  End(0, 0, 2, "w2", RunEnd::kFailed);
  CHECK(job().state == JobState::kFailed);
  CHECK(ledger.open_jobs().empty());
}

class GangLedgerFixture : public LedgerFixture {
 protected:
  GangLedgerFixture() {
    StepSpec gang = Step(2);
    gang.is_gang = true;
    Accept({gang});
    StartAll(1);
  }

  void StartAll(uint32_t run) {
    Start(0, 0, run, "w1");
    Start(0, 1, run, "w2");
  }

  void EndAll(uint32_t run, RunEnd first, RunEnd second) {
    End(0, 0, run, "w1", first);
    End(0, 1, run, "w2", second);
  }

  uint32_t failures() const { return job().tasks[0].failures; }
};

// Guards against ends that are counted where runs are meant: a gang both of
// whose tasks failed in one run was failed after half of its attempts.
TEST_CASE_FIXTURE(GangLedgerFixture,
                  "Ledger, all members of a gang fail in one run, one attempt "
                  "is counted") {
  EndAll(1, RunEnd::kFailed, RunEnd::kFailed);
  CHECK(failures() == 1);
  CHECK(job().state == JobState::kRunning);
  CHECK(job().tasks[0].failed_on == "w1");
  CHECK(job().tasks[1].failed_on == "w2");
  StartAll(2);
  EndAll(2, RunEnd::kGangBroken, RunEnd::kFailed);
  CHECK(job().state == JobState::kFailed);
}

TEST_CASE_FIXTURE(GangLedgerFixture,
                  "Ledger, members of a gang fail in any order, the count is "
                  "the same") {
  End(0, 1, 1, "w2", RunEnd::kFailed);
  End(0, 1, 1, "w2", RunEnd::kFailed);  // Reported again.
  CHECK(failures() == 1);
  SUBCASE("the other one fails too") {
    End(0, 0, 1, "w1", RunEnd::kFailed);
  }
  SUBCASE("the other one is stopped") {
    End(0, 0, 1, "w1", RunEnd::kStopped);
  }
  SUBCASE("the other one lapses and its failure comes after the next start") {
    ledger.Apply(WorkerLapsed{"w1"});
    StartAll(2);
    End(0, 0, 1, "w1", RunEnd::kFailed);
    CHECK(failures() == 1);
    ledger.Apply(WorkerLapsed{"w1"});
    ledger.Apply(WorkerLapsed{"w2"});
  }
  CHECK(failures() == 1);
  CHECK(job().state == JobState::kRunning);
  StartAll(3);
  End(0, 0, 3, "w1", RunEnd::kFailed);
  CHECK(job().state == JobState::kFailed);
}

// Guards against a second count after a change of hosts between two reports.
TEST_CASE_FIXTURE(GangLedgerFixture,
                  "Ledger, snapshot between two failures of one run, one "
                  "attempt is counted") {
  End(0, 0, 1, "w1", RunEnd::kFailed);
  Ledger loaded;
  loaded.Load(ledger.Save());
  CHECK(loaded.Save() == ledger.Save());
  ledger = std::move(loaded);
  End(0, 1, 1, "w2", RunEnd::kFailed);
  CHECK(failures() == 1);
  CHECK(job().state == JobState::kRunning);
}

class EarlyCancelFixture : public LedgerFixture {
 protected:
  void CancelEarly(const std::string& job,
                   const std::string& organisation = "") {
    ledger.Apply(JobCancelledEarly{job, "quotes", organisation});
  }

  JobState StateAfterAccept(const std::string& organisation = "") {
    JobSpec spec;
    spec.steps = {Step(1)};
    ledger.Apply(OrganisationJobAccepted{
        {kJob, "quotes", "teklif", WallTime(), spec}, organisation});
    return job().state;
  }
};

// Guards against a cancel that is acknowledged and then forgotten: the job's
// submission was delayed, and all of it ran.
TEST_CASE_FIXTURE(EarlyCancelFixture,
                  "Ledger, job accepted after its cancel, is cancelled") {
  CancelEarly(kJob);
  SUBCASE("in the same ledger") {}
  SUBCASE("in a loaded one") {
    Ledger loaded;
    loaded.Load(ledger.Save());
    CHECK(loaded.Save() == ledger.Save());
    ledger = std::move(loaded);
  }
  SUBCASE("after others were forgotten") {
    CancelEarly("another");
    ledger.Apply(EarlyCancelsForgotten{{"another"}});
  }
  CHECK(StateAfterAccept() == JobState::kCancelled);
  CHECK(ledger.open_jobs().empty());
  CHECK(ledger.CountQueued("quotes") == 0);
  Start(0, 0, 1, "w1");
  CHECK(job().active_runs == 0);
}

TEST_CASE_FIXTURE(EarlyCancelFixture,
                  "Ledger, early cancel forgotten, job runs") {
  CancelEarly(kJob);
  CancelEarly(kJob, "insurer-a");
  ledger.Apply(EarlyCancelsForgotten{{kJob}});
  CHECK(ledger.EarlyCancels().empty());
  CHECK(StateAfterAccept() == JobState::kQueued);
}

TEST_CASE_FIXTURE(EarlyCancelFixture,
                  "Ledger, early cancel of another organisation, job runs") {
  CancelEarly(kJob, "insurer-b");
  CancelEarly(kJob);
  CHECK(StateAfterAccept("insurer-a") == JobState::kQueued);
  CancelEarly(kJob, "insurer-b");
  CHECK(job().state == JobState::kQueued);
  CancelEarly(kJob, "insurer-a");
  CHECK(job().state == JobState::kCancelled);
}

// Anyone with access to the queue may cancel a job that has no organisation.
TEST_CASE_FIXTURE(EarlyCancelFixture,
                  "Ledger, early cancel by an organisation, job without one is "
                  "cancelled") {
  CancelEarly(kJob, "insurer-b");
  CHECK(StateAfterAccept() == JobState::kCancelled);
}

// Guards against a caller that fills the ledger, or takes the room of others.
TEST_CASE_FIXTURE(EarlyCancelFixture,
                  "Ledger, early cancels of one caller, are limited") {
  for (size_t cancel = 0; cancel <= kMaxEarlyCancelsPerCaller; ++cancel) {
    CancelEarly("job-" + std::to_string(cancel), "insurer-a");
  }
  CHECK(ledger.EarlyCancels().size() == kMaxEarlyCancelsPerCaller);
  CHECK_FALSE(ledger.HasRoomForEarlyCancel("quotes", "insurer-a"));
  CHECK_FALSE(ledger.HasRoomForEarlyCancel("reports", "insurer-a"));
  CHECK(ledger.HasRoomForEarlyCancel("quotes", "insurer-b"));
  CHECK(ledger.HasRoomForEarlyCancel("quotes", ""));
  ledger.Apply(EarlyCancelsForgotten{{"job-7"}});
  CHECK(ledger.HasRoomForEarlyCancel("quotes", "insurer-a"));
}

TEST_CASE_FIXTURE(EarlyCancelFixture,
                  "Ledger, early cancels of many callers, are limited") {
  for (size_t cancel = 0; cancel <= kMaxEarlyCancels; ++cancel) {
    CancelEarly("job-" + std::to_string(cancel),
                "insurer-" + std::to_string(cancel % 20));
  }
  CHECK(ledger.EarlyCancels().size() == kMaxEarlyCancels);
}

TEST_CASE("Records of early cancels, decoded, equal") {
  const auto records = DecodeRecords(
      EncodeRecords({JobCancelledEarly{kJob, "quotes", "insurer-a"},
                     EarlyCancelsForgotten{{kJob, "b"}}}));
  const auto& cancel = std::get<JobCancelledEarly>(records.at(0));
  CHECK(cancel.id == kJob);
  CHECK(cancel.queue == "quotes");
  CHECK(cancel.organisation == "insurer-a");
  CHECK(std::get<EarlyCancelsForgotten>(records.at(1)).jobs ==
        std::vector<std::string>{kJob, "b"});
}

class DroppedQueueFixture : public LedgerFixture {
 protected:
  DroppedQueueFixture() { Accept({Step(1)}); }

  // Sets the next version of the configuration.
  void Configure(const std::vector<QueueSpec>& queues) {
    Configuration next = ledger.configuration();
    ++next.version;
    next.queues = queues;
    ledger.Apply(ConfigurationSet{next});
  }

  static QueueSpec Queue(uint32_t max_attempts) {
    return {"quotes", "q.example",  "/quotes/", "teklif",
            0,        max_attempts, 1.6,        Millis(600)};
  }

  void Fail(uint32_t run) {
    Start(0, 0, run, "w1");
    End(0, 0, run, "w1", RunEnd::kFailed);
  }

  void Reload() {
    Ledger loaded;
    loaded.Load(ledger.Save());
    CHECK(loaded.Save() == ledger.Save());
    ledger = std::move(loaded);
  }
};

// Guards against a job without a limit of attempts: a task that always fails
// was started again and again once its queue was out of the configuration.
TEST_CASE_FIXTURE(DroppedQueueFixture,
                  "Ledger, queue dropped, its limit of attempts holds") {
  Start(0, 0, 1, "w1");
  Configure({});
  SUBCASE("in the same ledger") {}
  SUBCASE("in a loaded one") {
    Reload();
  }
  SUBCASE("after further changes") {
    Configure({});
    Configure({{"other", "o.example", "/", "teklif"}});
    Reload();
  }
  End(0, 0, 1, "w1", RunEnd::kFailed);
  CHECK(job().state == JobState::kRunning);
  Fail(2);
  CHECK(job().state == JobState::kFailed);
}

TEST_CASE_FIXTURE(DroppedQueueFixture,
                  "Ledger, queue dropped, its job keeps all of its terms") {
  Configure({});
  const QueueSpec* queue = ledger.QueueOf(job());
  REQUIRE(queue != nullptr);
  CHECK(queue->max_attempts == 2);
  CHECK(queue->stretch == doctest::Approx(1.6));
  CHECK(queue->target_latency == Millis(600));
}

TEST_CASE_FIXTURE(DroppedQueueFixture,
                  "Ledger, queue moved and then dropped, the job stays with "
                  "its last service") {
  QueueSpec moved = Queue(2);
  moved.service = "kabin";
  Configure({moved});
  Configure({});
  Reload();
  CHECK(ledger.ServiceOf(job()) == "kabin");
}

// Guards against an acceptance that was under way when the queue was dropped.
TEST_CASE_FIXTURE(DroppedQueueFixture,
                  "Ledger, job accepted right after its queue was dropped, the "
                  "limit of attempts holds") {
  Configure({});
  JobSpec spec;
  spec.steps = {Step(1)};
  ledger.Apply(JobAccepted{"late", "quotes", "teklif", WallTime(), spec});
  REQUIRE(ledger.QueueOf(*ledger.FindJob("late")) != nullptr);
  CHECK(ledger.QueueOf(*ledger.FindJob("late"))->max_attempts == 2);
}

TEST_CASE_FIXTURE(DroppedQueueFixture,
                  "Ledger, dropped queue is back, its new terms are in force") {
  Configure({});
  Fail(1);
  Configure({Queue(3)});
  Fail(2);
  CHECK(job().state == JobState::kRunning);
  Fail(3);
  CHECK(job().state == JobState::kFailed);
}

// Guards against a start after the last attempt that the configuration grants.
TEST_CASE_FIXTURE(DroppedQueueFixture,
                  "Ledger, attempts lowered to those used up, job fails") {
  Configure({Queue(3)});
  Fail(1);
  SUBCASE("while nothing runs") {
    Configure({Queue(1)});
    CHECK(job().state == JobState::kFailed);
  }
  SUBCASE("once the run at work has ended") {
    Start(0, 0, 2, "w2");
    Configure({Queue(1)});
    CHECK(job().state == JobState::kRunning);
    ledger.Apply(WorkerLapsed{"w2"});
    CHECK(job().state == JobState::kFailed);
  }
  SUBCASE("unless the run at work is done") {
    Start(0, 0, 2, "w2");
    Configure({Queue(1)});
    End(0, 0, 2, "w2", RunEnd::kDone);
    CHECK(job().state == JobState::kSucceeded);
  }
}

TEST_CASE_FIXTURE(DroppedQueueFixture,
                  "Ledger, dropped queue without open jobs, is forgotten") {
  Fail(1);
  Fail(2);
  Configure({});
  CHECK(ledger.Save().find("/quotes/") != std::string::npos);
  Configure({});
  CHECK(ledger.Save().find("/quotes/") == std::string::npos);
}

// Callers know a queue by its host and prefix, not by its name.
TEST_CASE_FIXTURE(DroppedQueueFixture,
                  "Ledger, queue renamed, its waiting jobs are counted") {
  QueueSpec renamed = Queue(2);
  renamed.name = "estimates";
  Configure({renamed, {"other", "o.example", "/quotes/", "teklif"}});
  CHECK(ledger.CountQueued("estimates") == 1);
  CHECK(ledger.CountQueued("other") == 0);
}

// Snapshots of earlier versions don't hold the terms of dropped queues.
TEST_CASE_FIXTURE(DroppedQueueFixture,
                  "Ledger, dropped queue in a snapshot of an earlier version, "
                  "attempts are limited") {
  Configure({});
  std::string text = ledger.Save();
  const std::string added_field =
      "1 6:quotes9:q.example8:/quotes/6:teklif0 2 1600 600 ";
  REQUIRE(text.ends_with(added_field));
  text.resize(text.size() - added_field.size());
  // No failures of gangs, no early cancels.
  REQUIRE(text.ends_with("0 0 "));
  text.resize(text.size() - 4);
  Ledger loaded;
  loaded.Load(text);
  ledger = std::move(loaded);
  REQUIRE(ledger.QueueOf(job()) == nullptr);
  CHECK(ledger.ServiceOf(job()) == "teklif");
  Fail(1);
  CHECK(job().state == JobState::kRunning);
  Fail(2);
  CHECK(job().state == JobState::kFailed);
}

TEST_CASE_FIXTURE(LedgerFixture,
                  "Ledger, lapsed and stopped runs, not counted as failures") {
  Accept({Step(1)});
  Start(0, 0, 1, "w1");
  ledger.Apply(WorkerLapsed{"w1"});
  Start(0, 0, 2, "w1");
  End(0, 0, 2, "w1", RunEnd::kStopped, "half");
  CHECK(job().tasks[0].failures == 0);
  CHECK(job().tasks[0].checkpoint == "half");
}

TEST_CASE_FIXTURE(LedgerFixture,
                  "Ledger, step with a dependency, opens when that is done") {
  Accept({Step(1), Step(1, {0})});
  CHECK_FALSE(job().IsStepReady(0, 1));
  Start(0, 0, 1, "w1");
  End(0, 0, 1, "w1", RunEnd::kDone);
  CHECK(job().IsStepReady(0, 1));
}

TEST_CASE_FIXTURE(LedgerFixture,
                  "Ledger, member of a gang done, whole gang is done") {
  StepSpec gang = Step(3);
  gang.is_gang = true;
  Accept({gang});
  for (uint32_t index = 0; index < 3; ++index) {
    Start(0, index, 1, "w1");
  }
  End(0, 1, 1, "w1", RunEnd::kDone);
  CHECK(job().state == JobState::kSucceeded);
  // Active runs hold their resources until their end is applied.
  CHECK(ledger.FindWorker("w1")->used.millicores == 2'000);
  CHECK(ledger.open_jobs().size() == 1);
  End(0, 0, 1, "w1", RunEnd::kDone);
  End(0, 2, 1, "w1", RunEnd::kDone);
  CHECK(ledger.open_jobs().empty());
}

TEST_CASE_FIXTURE(LedgerFixture,
                  "Ledger, best-effort task, uses memory and no processors") {
  StepSpec best_effort = Step(1);
  best_effort.is_best_effort = true;
  Accept({best_effort});
  Start(0, 0, 1, "w1");
  CHECK(ledger.FindWorker("w1")->used == Resources{0, 500, 0});
}

TEST_CASE_FIXTURE(LedgerFixture,
                  "Ledger, late announcement without draining, still drains") {
  WorkerInfo info = ledger.FindWorker("w1")->info;
  info.is_draining = true;
  ledger.Apply(WorkerSeen{info});
  info.is_draining = false;
  ledger.Apply(WorkerSeen{info});
  CHECK(ledger.FindWorker("w1")->info.is_draining);
}

TEST_CASE_FIXTURE(LedgerFixture,
                  "Ledger, announcement of an ended worker, ignored") {
  const WorkerInfo info = ledger.FindWorker("w1")->info;
  ledger.Apply(WorkerGone{"w1"});
  ledger.Apply(WorkerSeen{info});
  CHECK(ledger.FindWorker("w1") == nullptr);
}

class EndedWorkerFixture : public LedgerFixture {
 protected:
  EndedWorkerFixture() { Announce("w8", "h8", 4); }

  void Announce(const std::string& id,
                const std::string& host,
                uint64_t sequence,
                WallTime born = WallTime(Millis(20))) {
    WorkerInfo info = ledger.FindWorker("w1")->info;
    info.id = id;
    info.host = host;
    ledger.Apply(WorkerAnnounced{info, sequence, born});
  }

  void End(WorkerEndCause cause, WallTime born = WallTime(Millis(20))) {
    ledger.Apply(WorkerEnded{"w8", born, cause});
    REQUIRE(ledger.FindWorker("w8") == nullptr);
  }

  bool IsKnown(const std::string& id) {
    return ledger.FindWorker(id) != nullptr;
  }
};

TEST_CASE_FIXTURE(EndedWorkerFixture,
                  "Ledger, silent worker announces itself again, is known") {
  End(WorkerEndCause::kSilent);
  CHECK(ledger.EndCauseOf("w8") == WorkerEndCause::kSilent);
  Announce("w8", "h8", 5);
  CHECK(IsKnown("w8"));
  CHECK(ledger.EndCauseOf("w8") == std::nullopt);
  CHECK(ledger.FindWorker("w8")->earlier_incarnations == 0);
}

TEST_CASE_FIXTURE(EndedWorkerFixture,
                  "Ledger, announcement from before the silence, ignored") {
  End(WorkerEndCause::kSilent);
  Announce("w8", "h8", 3);
  CHECK_FALSE(IsKnown("w8"));
  Announce("w8", "h8", 9, WallTime(Millis(10)));  // An earlier incarnation.
  CHECK_FALSE(IsKnown("w8"));
}

TEST_CASE_FIXTURE(EndedWorkerFixture,
                  "Ledger, worker ended for another cause, stays ended") {
  for (const auto cause : {WorkerEndCause::kUnknown, WorkerEndCause::kReplaced,
                           WorkerEndCause::kMaintained, WorkerEndCause::kMoved,
                           WorkerEndCause::kLeft}) {
    CAPTURE(WorkerEndCauseName(cause));
    Announce("w8", "h8", 4);
    End(cause);
    Announce("w8", "h8", 5);
    CHECK_FALSE(IsKnown("w8"));
    // For the next cause.
    Announce("w8", "h8", 1, WallTime(Millis(21)));
    CHECK(IsKnown("w8"));
    ledger = Ledger();
    WorkerInfo info;
    info.id = "w1";
    ledger.Apply(WorkerSeen{info});
  }
}

TEST_CASE_FIXTURE(EndedWorkerFixture,
                  "Ledger, another worker registered on the host of a silent "
                  "one, stays ended") {
  End(WorkerEndCause::kSilent);
  Announce("w9", "h8", 1, WallTime(Millis(30)));
  CHECK(ledger.EndCauseOf("w8") == WorkerEndCause::kReplaced);
  Announce("w8", "h8", 5);
  CHECK_FALSE(IsKnown("w8"));
}

TEST_CASE_FIXTURE(EndedWorkerFixture,
                  "Ledger, earlier worker of the host of a silent one comes "
                  "late, may come back") {
  End(WorkerEndCause::kSilent);
  Announce("w7", "h8", 1, WallTime(Millis(10)));
  Announce("w9", "h9", 1, WallTime(Millis(30)));  // On another host.
  Announce("w8", "h8", 5);
  CHECK(IsKnown("w8"));
}

TEST_CASE_FIXTURE(EndedWorkerFixture,
                  "Ledger, silent worker is then known to have ended, stays "
                  "ended") {
  End(WorkerEndCause::kSilent);
  End(WorkerEndCause::kMaintained);
  Announce("w8", "h8", 5);
  CHECK_FALSE(IsKnown("w8"));
}

TEST_CASE_FIXTURE(EndedWorkerFixture,
                  "Ledger, worker without a start time falls silent, is known "
                  "again") {
  Announce("w7", "h7", 2, WallTime());
  ledger.Apply(WorkerEnded{"w7", WallTime(), WorkerEndCause::kSilent});
  Announce("w7", "h7", 1, WallTime());
  CHECK_FALSE(IsKnown("w7"));
  Announce("w7", "h7", 3, WallTime());
  CHECK(IsKnown("w7"));
}

TEST_CASE_FIXTURE(EndedWorkerFixture,
                  "Ledger, causes of ends saved and loaded, kept") {
  End(WorkerEndCause::kSilent);
  Ledger loaded;
  loaded.Load(ledger.Save());
  CHECK(loaded.Save() == ledger.Save());
  CHECK(loaded.EndCauseOf("w8") == WorkerEndCause::kSilent);
  CHECK(loaded.IsGone("w8", WallTime(Millis(20)), 3));
  CHECK_FALSE(loaded.IsGone("w8", WallTime(Millis(20)), 5));
}

TEST_CASE_FIXTURE(EndedWorkerFixture,
                  "Ledger, snapshot of an earlier version, its ended workers "
                  "stay ended") {
  ledger.Apply(IncarnationEnded{"w8", WallTime(Millis(20))});
  std::string text = ledger.Save();
  // No causes are known, no failures of gangs, no early cancels, no dropped
  // queues.
  const std::string added_fields = "0 0 0 0 ";
  REQUIRE(text.ends_with(added_fields));
  text.resize(text.size() - added_fields.size());
  Ledger loaded;
  loaded.Load(text);
  CHECK(loaded.IsGone("w8", WallTime(Millis(20)), 5));
  CHECK(loaded.Save() == ledger.Save());
}

TEST_CASE("Records, end of a worker with its cause, encoded and decoded") {
  const auto records = DecodeRecords(EncodeRecords(
      {WorkerEnded{"w1", WallTime(Millis(5)), WorkerEndCause::kMoved}}));
  const auto& ended = std::get<WorkerEnded>(records.at(0));
  CHECK(ended.worker == "w1");
  CHECK(ended.born == WallTime(Millis(5)));
  CHECK(ended.cause == WorkerEndCause::kMoved);
}

TEST_CASE_FIXTURE(LedgerFixture,
                  "Ledger, configuration of an equal version, ignored") {
  Configuration other;
  other.version = 3;
  other.document = "other";
  ledger.Apply(ConfigurationSet{other});
  CHECK(ledger.configuration().document == "{}");
  other.version = 4;
  ledger.Apply(ConfigurationSet{other});
  CHECK(ledger.configuration().document == "other");
}

TEST_CASE_FIXTURE(
    LedgerFixture,
    "Ledger, job cancelled with an active run, open until it ends") {
  Accept({Step(2)});
  Start(0, 0, 1, "w1");
  ledger.Apply(JobCancelled{kJob});
  CHECK(ledger.open_jobs().size() == 1);
  Start(0, 1, 1, "w2");
  CHECK(job().active_runs == 1);
  End(0, 0, 1, "w1", RunEnd::kStopped);
  CHECK(ledger.open_jobs().empty());
  CHECK(job().state == JobState::kCancelled);
}

TEST_CASE_FIXTURE(LedgerFixture, "Ledger, saved and loaded, equal") {
  StepSpec persistent = Step(2);
  persistent.is_persistent = true;
  Accept({Step(2), persistent});
  Start(0, 0, 1, "w1");
  Start(1, 1, 1, "w2");
  End(0, 0, 1, "w1", RunEnd::kDone, "state");
  ledger.Apply(WaveOpened{7, {"h1", "h2"}, Millis(20'000), 1, WallTime()});
  ledger.Apply(WaveHostStageSet{7, "h1", WaveStage::kOrdered});
  ledger.Apply(WorkerGone{"w9"});
  Ledger loaded;
  loaded.Load(ledger.Save());
  CHECK(loaded.Save() == ledger.Save());
  CHECK(loaded.FindWorker("w2")->used == ledger.FindWorker("w2")->used);
  CHECK(loaded.FindWorker("w2")->persistent_runs == 1);
  CHECK(loaded.IsGone("w9"));
  CHECK(loaded.waves().at(7).hosts.at("h1") == WaveStage::kOrdered);
}

TEST_CASE_FIXTURE(LedgerFixture,
                  "Ledger, jobs without a started task, counted by queue") {
  Accept({Step(2)});
  CHECK(ledger.CountQueued("quotes") == 1);
  CHECK(ledger.CountQueued("other") == 0);
  Ledger loaded;
  loaded.Load(ledger.Save());
  CHECK(loaded.CountQueued("quotes") == 1);
  Start(0, 0, 1, "w1");
  CHECK(ledger.CountQueued("quotes") == 0);
  End(0, 0, 1, "w1", RunEnd::kLapsed);
  CHECK(ledger.CountQueued("quotes") == 0);
}

TEST_CASE_FIXTURE(LedgerFixture,
                  "Ledger, workers changed since a version, visited in order") {
  const uint64_t before = ledger.workers_version();
  WorkerInfo info = ledger.FindWorker("w1")->info;
  info.is_draining = true;
  ledger.Apply(WorkerSeen{info});
  ledger.Apply(WorkerGone{"w2"});
  std::vector<std::string> changed;
  const auto collect = [&](const std::string& id) { changed.push_back(id); };
  CHECK(ledger.VisitChangedWorkers(before, collect));
  CHECK(changed == std::vector<std::string>{"w1", "w2"});
  changed.clear();
  CHECK(ledger.VisitChangedWorkers(ledger.workers_version(), collect));
  CHECK(changed.empty());
  const uint64_t saved_at = ledger.workers_version();
  ledger.Load(ledger.Save());
  CHECK_FALSE(ledger.VisitChangedWorkers(saved_at, collect));
  for (int change = 0; change < 300; ++change) {
    ledger.Apply(WorkerSeen{info});
  }
  CHECK_FALSE(ledger.VisitChangedWorkers(saved_at + 1, collect));
}

TEST_CASE_FIXTURE(LedgerFixture,
                  "Ledger, job cancelled before its first start, not queued") {
  Accept({Step(1)});
  ledger.Apply(JobCancelled{kJob});
  CHECK(ledger.CountQueued("quotes") == 0);
}

TEST_CASE("Records, truncated at any position, rejected") {
  JobSpec spec;
  spec.steps.emplace_back().count = 3;
  const std::string text =
      EncodeRecords({JobAccepted{kJob, "quotes", "teklif", WallTime(), spec},
                     WaveHostStageSet{7, "h1", WaveStage::kDone}});
  CHECK(DecodeRecords(text).size() == 2);
  for (size_t size = 0; size < text.size(); ++size) {
    CHECK_THROWS_AS(DecodeRecords(text.substr(0, size)), CodecError);
  }
}

TEST_CASE("Task id, formatted and parsed, equal; other texts, none") {
  const TaskId task{kJob, 2, 1, 17};
  CHECK(FormatTaskId(task) == "5c0e7a21d94b36f8.2.1.17");
  CHECK(ParseTaskId(FormatTaskId(task)) == task);
  for (const char* text : {"", "a.1.2", "a.1.2.3.4", "a.1.2.x", "a.1.2."}) {
    CHECK_FALSE(ParseTaskId(text));
  }
}

TEST_CASE("Queue, several prefixes match, longest one is found") {
  Configuration configuration;
  configuration.queues.push_back({"short", "h", "/a/"});
  configuration.queues.push_back({"long", "h", "/a/b/"});
  CHECK(FindQueue(configuration, "h", "/a/b/x")->name == "long");
  CHECK(FindQueue(configuration, "h", "/a/c")->name == "short");
  CHECK(FindQueue(configuration, "other", "/a/c") == nullptr);
}

}  // namespace
}  // namespace laurelhall::scheduling
