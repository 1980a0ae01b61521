#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <optional>

#include "world.h"

// Random schedules in which jobs with labels and gangs, cancels that come
// before their submissions and queues that are dropped meet workers that fail
// all tasks, crashes and changes of leaders.
namespace laurelhall::dispatch {
namespace {

using scheduling::JobState;
using scheduling::StepSpec;
using scheduling::TaskId;

constexpr uint32_t kAttemptsOfQuotes = 3;
constexpr uint32_t kAttemptsOfReports = 2;
// Once nothing is disturbed any more, every job ends within this time: it has
// at most three attempts, each of which may wait 2 s, at two steps.
constexpr Millis kBound{20'000};

class PromiseSchedule {
 public:
  explicit PromiseSchedule(uint64_t seed) : m_world(seed) {
    for (const char* rack : {"r1", "r1", "r1", "r2", "r2", "r3"}) {
      m_world.AddWorker("host-" + std::to_string(m_hosts++), "teklif", rack);
    }
    m_queues = m_world.ledger().configuration().queues;
    m_queues.push_back({"reports", "q", "/r/", "teklif", 1, kAttemptsOfReports,
                        1.6, Millis(600)});
    Configure();
    FillWorkers();
  }

  std::vector<std::string> Play() {
    for (int round = 0; round < 30; ++round) {
      SubmitOrCancel();
      DisturbWorkers();
      DisturbControl();
      if (Pick(0, 4) == 0) {
        m_has_reports = !m_has_reports;
        Configure();
      }
      m_world.Advance(Millis(Pick(50, 900)));
    }
    m_world.failing_workers.clear();
    m_has_reports = true;
    Configure();
    m_world.Advance(kBound);
    CheckJobs();
    return m_violations;
  }

 private:
  struct Submitted {
    TaskId first_task;
    uint32_t max_attempts = 0;
    bool is_cancelled_before = false;  // Acknowledged before its submission.
    bool is_cancelled = false;
    bool is_failing = false;
    bool is_accepted = false;
  };

  int Pick(int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(m_world.random());
  }

  // Sends a request and waits for its answer as long as a caller does; none if
  // it does not come.
  std::optional<Outcome> Ask(Request request) {
    const auto outcome = std::make_shared<std::optional<Outcome>>();
    m_world.Send(std::move(request),
                 [outcome](const Reply& reply) { *outcome = reply.outcome; });
    for (int wait = 0; wait < 30 && !*outcome; ++wait) {
      m_world.Advance(Millis(50));
    }
    return *outcome;
  }

  void Configure() {
    scheduling::Configuration next = m_world.ledger().configuration();
    ++next.version;
    next.queues = m_queues;
    next.queues.resize(m_has_reports ? 2 : 1);
    m_world.Configure(next);
  }

  // Tasks that last leave room for three others on the workers of a rack, the
  // most that a gang needs.
  void FillWorkers() {
    const bool is_larger_rack = Pick(0, 1) == 0;
    StepSpec step = Step(static_cast<uint32_t>(Pick(2, 4)));
    step.is_persistent = true;
    step.need.millicores = (is_larger_rack ? Pick(2, 3) : 2) * 1'000;
    step.required_label = is_larger_rack ? "r1" : "r2";
    step.max_tasks_per_worker = 1;
    m_world.Submit("lasts", {step});
    m_world.Advance(Millis(1'000));
  }

  StepSpec PickStep() {
    StepSpec step =
        Step(static_cast<uint32_t>(Pick(1, 3)), {}, Millis(Pick(2, 9) * 100));
    const int label = Pick(0, 5);
    step.required_label = label == 0 ? "" : "r" + std::to_string(1 + label % 3);
    step.is_gang = Pick(0, 2) == 0;
    return step;
  }

  void SubmitOrCancel() {
    const std::string id = "job-" + std::to_string(m_jobs.size());
    const bool is_report = m_has_reports && Pick(0, 1) == 0;
    const std::string path = (is_report ? "/r/" : "/q/") + id;
    Submitted& job = m_jobs[id];
    job.first_task = {id, 0, 0, 0};
    job.max_attempts = is_report ? kAttemptsOfReports : kAttemptsOfQuotes;
    m_world.max_attempts_of[id] = job.max_attempts;
    if (Pick(0, 4) == 0) {
      job.is_failing = true;
      m_world.failing_jobs.insert(id);
    }
    scheduling::JobSpec spec;
    spec.steps = {PickStep()};
    if (Pick(0, 2) == 0) {
      spec.steps.push_back(PickStep());
      spec.steps.back().depends_on = {0};
    }
    const bool is_late = Pick(0, 3) == 0;
    if (is_late) {
      const auto outcome = Ask(CancelJob{"q", path, id, ""});
      job.is_cancelled_before =
          outcome == Outcome::kNoJob || outcome == Outcome::kOk;
      m_world.Advance(Millis(Pick(0, 1'500)));
    }
    job.is_accepted = Ask(SubmitJob{"q", path, id, spec, ""}) == Outcome::kOk;
    if (!is_late && Pick(0, 7) == 0) {
      job.is_cancelled = Ask(CancelJob{"q", path, id, ""}) == Outcome::kOk;
    }
  }

  void DisturbWorkers() {
    const std::string host = "host-" + std::to_string(Pick(0, m_hosts - 1));
    const std::string worker = m_world.LiveWorkerOn(host);
    if (Pick(0, 3) == 0) {
      m_world.failing_workers.clear();
    }
    if (worker.empty()) {
      return;
    }
    switch (Pick(0, 9)) {
      case 0:
      case 1:
        m_world.failing_workers.insert(worker);
        break;
      case 2:
        m_world.Crash(worker, Millis(Pick(300, 2'000)));
        break;
      default:
        break;
    }
  }

  void DisturbControl() {
    switch (Pick(0, 11)) {
      case 0:
        m_world.ChangeLeader(Millis(Pick(0, 1'100)));
        break;
      case 1:
        m_world.ElectOtherLeader(Millis(Pick(0, 600)));
        break;
      case 2:
        m_world.RestartControlHosts();
        break;
      case 3:
        m_world.FreezeLeader(Millis(Pick(1'000, 3'000)), Millis(Pick(0, 200)));
        break;
      default:
        break;
    }
  }

  void CheckJobs() {
    m_violations = m_world.violations();
    for (const auto& [id, job] : m_jobs) {
      const scheduling::Job* known = m_world.ledger().FindJob(id);
      if (known == nullptr) {
        AddIf(job.is_accepted, id + " was accepted and is not known");
        continue;
      }
      AddIf(!known->is_over(), id + " does not end");
      uint64_t starts = 0;
      size_t failed_runs = 0;
      size_t most_crashes = 0;
      for (size_t index = 0; index < known->tasks.size(); ++index) {
        const TaskId task = known->IdOf(index);
        starts += m_world.StartsOf(FormatTaskId(task));
        failed_runs = std::max(failed_runs, m_world.FailedRunsOf(task));
        most_crashes =
            std::max(most_crashes, known->tasks[index].crashed.size());
      }
      AddIf(job.is_cancelled_before && starts > 0,
            id + " is started after its cancel");
      AddIf(job.is_cancelled && !known->is_over(),
            id + " was cancelled and goes on");
      AddIf(known->state == JobState::kFailed && most_crashes == 0 &&
                failed_runs < job.max_attempts,
            id + " is failed after " + std::to_string(failed_runs) + " of " +
                std::to_string(job.max_attempts) + " attempts");
      AddIf(job.is_failing && known->state == JobState::kSucceeded,
            id + " succeeds though all of its runs fail");
    }
  }

  void AddIf(bool is_broken, const std::string& text) {
    if (is_broken) {
      m_violations.push_back(text);
    }
  }

  World m_world;
  int m_hosts = 0;
  bool m_has_reports = true;
  std::vector<scheduling::QueueSpec> m_queues;
  std::map<std::string, Submitted> m_jobs;
  std::vector<std::string> m_violations;
};

// Guards the promises to callers together: a job ends, with its attempts and no
// more, and an acknowledged cancel holds.
TEST_CASE(
    "Dispatcher, seeded labels, gangs, early cancels and dropped queues under "
    "failures, every promise to callers is kept") {
  for (const uint64_t seed : SeedsToRun(40)) {
    for (const std::string& violation : PromiseSchedule(seed).Play()) {
      FAIL_CHECK("seed ", seed, ": ", violation);
    }
  }
}

}  // namespace
}  // namespace laurelhall::dispatch
