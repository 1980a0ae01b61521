#pragma once

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "laurelhall/placement/placer.h"

// A fake of the platform's workers on a virtual clock. It runs jobs under
// leases, reports the ends of runs, and reports their usage after a delay.
namespace laurelhall::placement {

// The actual usage, run time and outcome of a job, as opposed to what it
// declared.
struct ActualJob {
  model::Resources used;
  Millis run_time{0};
  bool fails = false;
};

struct WorkerInit {
  Millis usage_lag{10'000};
  Millis checkpoint_time{2'000};
  Millis stop_time{500};
  Millis time_to_fail{1'000};
  // A worker that is cut off from the leader ends its runs after this time.
  Millis lease_time{12'000};
};

class FakeWorkers {
 public:
  explicit FakeWorkers(WorkerInit init = {}) : m_init(init) {}

  model::Fleet fleet;  // The committed state.
  std::map<std::string, ActualJob> truth;
  std::set<std::string> bad;     // Workers on which every job fails.
  std::set<std::string> silent;  // Workers cut off from the leader.
  std::map<std::string, double>
      speed;         // Speed factor by worker; the default is 1.
  int rejected = 0;  // Actions whose expected lease was not the job's.
  std::map<std::string, int> starts;  // Number of started runs by worker.
  Millis work_lost{0};                // Run time not saved by a checkpoint.

  struct Run {
    uint64_t lease = 0;
    std::string host;
    WallTime started{};
    double work = 0;  // Milliseconds at full speed, earlier runs included.
    WallTime cut_off_at{};
  };
  // The current runs by job. Leases must prevent a second run of a job.
  std::map<std::string, std::vector<Run>> runs;

  void Submit(model::Job job, const ActualJob& actual) {
    truth[job.id] = actual;
    fleet.jobs[job.id] = std::move(job);
  }

  void Commit(const std::vector<JobAction>& actions, WallTime now) {
    for (const JobAction& action : actions) {
      model::Job& job = fleet.jobs.at(action.job);
      if (job.lease != action.expected_lease) {
        ++rejected;
        continue;
      }
      job = AfterAction(job, action, now);
      if (action.kind == JobActionKind::kStart && !silent.count(action.host)) {
        ++starts[action.host];
        runs[job.id].push_back({job.lease,
                                action.host,
                                now,
                                static_cast<double>(job.work_done.count()),
                                {}});
      }
    }
  }

  // Advances all runs by `by` and returns the reports of those that ended.
  std::vector<JobReport> Tick(WallTime now, Millis by) {
    std::vector<JobReport> reports;
    for (auto job_runs = runs.begin(); job_runs != runs.end();) {
      const model::Job& job = fleet.jobs.at(job_runs->first);
      std::erase_if(job_runs->second, [&](Run& run) {
        return Advance(job, run, now, by, reports);
      });
      job_runs =
          job_runs->second.empty() ? runs.erase(job_runs) : std::next(job_runs);
    }
    return reports;
  }

  // Returns the usage of runs that are at least `usage_lag` old.
  Observations Observe(WallTime now) {
    Observations seen;
    for (const auto& [id, job_runs] : runs) {
      for (const Run& run : job_runs) {
        if (now - run.started >= m_init.usage_lag && !silent.count(run.host)) {
          seen.usage[id] = {run.lease, truth.at(id).used,
                            Millis(static_cast<int64_t>(run.work))};
        }
      }
    }
    return seen;
  }

 private:
  // Advances one run and returns whether it has ended.
  bool Advance(const model::Job& job,
               Run& run,
               WallTime now,
               Millis by,
               std::vector<JobReport>& reports) {
    const ActualJob& actual = truth.at(job.id);
    const bool is_current = (job.state == model::JobState::kRunning ||
                             job.state == model::JobState::kCheckpointing) &&
                            job.lease == run.lease;
    if (silent.count(run.host)) {
      run.cut_off_at = run.cut_off_at == WallTime{} ? now : run.cut_off_at;
      const bool is_over = now >= run.cut_off_at + m_init.lease_time;
      work_lost += is_over ? UnsavedWork(job, run) : Millis(0);
      return is_over;
    }
    const auto speed_factor = speed.find(run.host);
    run.work += static_cast<double>(by.count()) * job.throttle *
                (speed_factor == speed.end() ? 1 : speed_factor->second);
    JobReport report{job.id,
                     run.lease,
                     run.host,
                     JobReportKind::kCount,
                     Millis(static_cast<int64_t>(run.work)),
                     actual.used,
                     {}};
    const Millis age = now - run.started;
    if ((bad.count(run.host) || actual.fails) && age >= m_init.time_to_fail) {
      report.kind = JobReportKind::kFailed;
      report.text = "exit status 1";
    } else if (run.work >= static_cast<double>(actual.run_time.count())) {
      report.kind = JobReportKind::kSucceeded;
      report.work_done = actual.run_time;
    } else if (!is_current ||
               (job.is_stopping && now >= job.state_since + m_init.stop_time)) {
      report.kind = JobReportKind::kStopped;
      work_lost += UnsavedWork(job, run);
    } else if (job.state == model::JobState::kCheckpointing &&
               now >= job.state_since + m_init.checkpoint_time) {
      report.kind = JobReportKind::kCheckpointed;
    }
    if (report.kind == JobReportKind::kCount) {
      return false;
    }
    reports.push_back(report);
    return true;
  }

  Millis UnsavedWork(const model::Job& job, const Run& run) const {
    return Millis(static_cast<int64_t>(run.work)) - job.work_done;
  }

  WorkerInit m_init;
};

}  // namespace laurelhall::placement
