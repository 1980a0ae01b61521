#include <doctest/doctest.h>

#include <algorithm>

#include "laurelhall/placement/placer.h"

// The estimates and the worker evidence: memory bounds, saving and loading, and
// robustness against a few outliers.
namespace laurelhall::placement {
namespace {

constexpr WallTime kNow{Millis(1'000'000'000)};

struct MemoryFixture {
  Estimates m_estimates;
  WorkerEvidence m_evidence;

  static model::Job MakeJob(const std::string& id, const std::string& kind) {
    model::Job job;
    job.id = id;
    job.team = "t";
    job.kind = kind;
    job.declared = {2, 8, 0};
    job.declared_run_time = std::chrono::minutes(10);
    return job;
  }

  // Records a failure of the job on each worker in turn.
  void FailOn(model::Job job, const std::vector<std::string>& hosts) {
    for (const std::string& host : hosts) {
      m_evidence.NoteFailure(job, host, kNow);
      job.failed_on.push_back(host);
    }
  }
};

TEST_CASE_FIXTURE(MemoryFixture,
                  "Estimates, two outliers in a window, do not move it") {
  const model::Job job = MakeJob("j", "k");
  for (int i = 0; i < 16; ++i) {
    const bool is_outlier = i == 3 || i == 9;
    m_estimates.Learn(job, std::chrono::minutes(is_outlier ? 300 : 20),
                      {2, is_outlier ? 100.0 : 4.0, 0});
  }
  CHECK(m_estimates.ExpectedRunTime(job) == std::chrono::minutes(20));
  CHECK(m_estimates.ExpectedSize(job).memory_gb == doctest::Approx(4.4));
}

TEST_CASE_FIXTURE(MemoryFixture,
                  "Estimates, ratios are spread, takes a high one") {
  const model::Job job = MakeJob("j", "k");
  for (int i = 1; i <= 16; ++i) {
    m_estimates.Learn(job, std::chrono::minutes(i), {2, 8, 0});
  }
  CHECK(m_estimates.ExpectedRunTime(job) == std::chrono::minutes(12));
}

TEST_CASE_FIXTURE(MemoryFixture,
                  "Estimates, one ratio alone, the declared figure stands") {
  const model::Job job = MakeJob("j", "k");
  m_estimates.Learn(job, std::chrono::hours(5), {2, 8, 0});
  CHECK(m_estimates.ExpectedRunTime(job) == job.declared_run_time);
}

TEST_CASE_FIXTURE(MemoryFixture,
                  "Estimates, run over its estimate, expects more with age") {
  const model::Job job = MakeJob("j", "k");
  CHECK(m_estimates.Remaining(job, std::chrono::minutes(4)) ==
        std::chrono::minutes(6));
  CHECK(m_estimates.Remaining(job, std::chrono::minutes(100)) ==
        std::chrono::minutes(50));
}

TEST_CASE_FIXTURE(MemoryFixture,
                  "Estimates, more kinds than are kept, drops the oldest") {
  for (size_t i = 0; i < Estimates::kMaxKinds + 88; ++i) {
    m_estimates.Learn(MakeJob("j", "k" + std::to_string(i)),
                      std::chrono::minutes(1), {2, 8, 0});
  }
  const auto saved = m_estimates.Save();
  CHECK(saved.size() == Estimates::kMaxKinds);
  Estimates loaded;
  loaded.Load(saved);
  loaded.Learn(MakeJob("j", "one more"), std::chrono::minutes(1), {2, 8, 0});
  CHECK(loaded.Save().size() == Estimates::kMaxKinds);
  const auto is_oldest = [](const KindEstimates& kind) {
    return kind.kind == "k88";
  };
  CHECK(std::any_of(saved.begin(), saved.end(), is_oldest));
  const auto after = loaded.Save();
  CHECK(std::none_of(after.begin(), after.end(), is_oldest));
}

TEST_CASE_FIXTURE(MemoryFixture,
                  "WorkerEvidence, many kinds fail on two workers, excuses") {
  for (int i = 0; i < 6; ++i) {
    const std::string name = std::to_string(i);
    FailOn(MakeJob("j" + name, "k" + name), {"h0", "h1"});
  }
  CHECK(m_evidence.FaultScore("h0") == 0);
  CHECK(m_evidence.FaultScore("h1") == 0);
  CHECK_FALSE(m_evidence.IsInBackoff("h1", kNow));
}

TEST_CASE_FIXTURE(MemoryFixture,
                  "WorkerEvidence, failed there and ran elsewhere, set aside") {
  model::Job job = MakeJob("j0", "k");
  m_evidence.NoteFailure(job, "h0", kNow);
  job.failed_on = {"h0"};
  m_evidence.NoteSuccess(job, "h1", kNow);
  CHECK_FALSE(m_evidence.IsWorkerQuarantined("h0", kNow));
  m_evidence.NoteFailure(MakeJob("j1", "k"), "h0", kNow);
  CHECK(m_evidence.IsWorkerQuarantined("h0", kNow));
  WorkerEvidence loaded;
  loaded.Load(m_evidence.Save());
  CHECK(loaded.IsWorkerQuarantined("h0", kNow));
  CHECK_FALSE(loaded.IsWorkerQuarantined("h0", kNow + std::chrono::hours(1)));
  // After the quarantine one more failure starts a longer one.
  loaded.NoteFailure(MakeJob("j9", "k9"), "h0", kNow + std::chrono::hours(1));
  CHECK(loaded.IsWorkerQuarantined("h0", kNow + std::chrono::minutes(75)));
}

}  // namespace
}  // namespace laurelhall::placement
