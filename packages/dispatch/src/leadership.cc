#include "leadership_p.h"

#include <algorithm>

#include "laurelhall/base/decision_log.h"

namespace laurelhall::dispatch {

using scheduling::CommitOutcome;
using scheduling::Job;
using scheduling::RunEnd;
using scheduling::RunStarted;
using scheduling::Worker;

namespace {

// What comes within this time is planned together; a caller's time to wait is
// counted in hundreds of milliseconds.
constexpr Millis kPumpDelay{3};
// A worker that was not heard of for longer is given no new work: a look that
// waits two seconds, and its way.
constexpr Millis kFreshContact{2'600};
// A worker neither reached nor announced for so long has left without a word:
// ten announcements at their usual pace.
constexpr Millis kSilentIsGone{15'000};
constexpr Millis kForgetPeriod{5'000};
// A task whose progress stands still for so long, and twice its estimate, is
// started again elsewhere.
constexpr Millis kStalled{2'500};

}  // namespace

Leadership::Leadership(const DispatcherInit& init,
                       scheduling::ReplicatedLog& log,
                       uint64_t term,
                       DispatchCounters& counters)
    : m_init(init),
      m_log(log),
      m_term(term),
      m_begun_at(init.timers->Now()),
      m_counters(counters) {}

void Leadership::Commit(Records records,
                        std::function<void(CommitOutcome)> done) {
  m_log.Commit(std::move(records),
               [weak = weak_from_this(), post = m_init.post,
                done = std::move(done)](CommitOutcome outcome) {
                 post([weak, done, outcome] {
                   if (const auto self = weak.lock()) {
                     done(outcome);
                   }
                 });
               });
}

void Leadership::PumpSoon() {
  if (m_is_pump_due) {
    return;
  }
  m_is_pump_due = true;
  m_init.timers->SubscribeOnce(kPumpDelay,
                               [weak = weak_from_this()](SteadyTime) {
                                 if (const auto self = weak.lock()) {
                                   self->m_is_pump_due = false;
                                   self->Pump();
                                 }
                               });
}

void Leadership::Pump() {
  Records records;
  std::vector<RunStarted> starts;
  m_log.Read([&](const Ledger& ledger) {
    FollowWorkers(ledger);
    FollowRuns(ledger);
    WantStops(ledger);
    StopStalled(ledger);
    Lapse(ledger, records);
    DropSilent(ledger, records);
    StepWaves(ledger, records);
    ForgetJobs(ledger, records);
    SendOrders(ledger);
    SendHolds(ledger);
    Plan(ledger, starts);
  });
  if (!records.empty()) {
    Commit(std::move(records), [this](CommitOutcome) { PumpSoon(); });
  }
  CommitStarts(starts);
}

void Leadership::Announced(const std::string& worker) {
  const auto link = m_links.find(worker);
  if (link != m_links.end()) {
    link->second.last_announced = Now();
  } else {
    PumpSoon();
  }
}

void Leadership::FollowWorkers(const Ledger& ledger) {
  for (auto link = m_links.begin(); link != m_links.end();) {
    if (ledger.FindWorker(link->first) != nullptr) {
      ++link;
      continue;
    }
    m_init.workers->Forget(link->second.address);
    link = m_links.erase(link);
  }
  for (const auto& [id, worker] : ledger.workers()) {
    const auto [link, is_new] = m_links.try_emplace(
        id, m_init.bounds.longest_lease, m_begun_at);
    if (is_new) {
      link->second.last_announced = Now();
    }
    link->second.address = {id, worker.info.address};
  }
}

// Every committed run is tracked; those of an earlier leader are uncertain.
void Leadership::FollowRuns(const Ledger& ledger) {
  for (auto run = m_runs.begin(); run != m_runs.end();) {
    const Job* job = ledger.FindJob(run->first.task.job);
    bool is_active = false;
    if (job != nullptr) {
      for (const auto& active :
           job->tasks[job->IndexOf(run->first.task)].active) {
        is_active = is_active || (active.run == run->first.run &&
                                  active.worker == run->second.worker);
      }
    }
    run = is_active ? std::next(run) : m_runs.erase(run);
  }
  for (const auto& [id, worker] : ledger.workers()) {
    for (const scheduling::TaskId& task : worker.active) {
      const Job& job = *ledger.FindJob(task.job);
      for (const auto& active : job.tasks[job.IndexOf(task)].active) {
        if (active.worker == id) {
          RunTrack& track = m_runs[{task, active.run}];
          track.worker = id;
        }
      }
    }
  }
  for (const std::string& id : ledger.open_jobs()) {
    m_seen_at.try_emplace(id, Now());
  }
}

void Leadership::WantStops(const Ledger& ledger) {
  for (auto& [key, track] : m_runs) {
    if (track.is_stop_wanted) {
      continue;
    }
    const Job& job = *ledger.FindJob(key.task.job);
    const size_t index = job.IndexOf(key.task);
    const Worker* worker = ledger.FindWorker(track.worker);
    const bool is_needless = job.is_over() || job.tasks[index].is_done;
    const bool is_leaving = worker != nullptr && worker->info.is_draining &&
                            job.StepOf(index).is_persistent;
    if (is_needless || is_leaving) {
      track.is_stop_wanted = true;
      DecisionLog::Get().Write(DecisionLine("dispatch", "stop")
                                   .With("task", FormatTaskId(key.task))
                                   .With("run", key.run)
                                   .With("worker", track.worker)
                                   .With("why", is_needless ? "not-needed"
                                                            : "worker-leaves"));
    }
  }
}

void Leadership::StopStalled(const Ledger& ledger) {
  const SteadyTime now = Now();
  for (auto& [key, track] : m_runs) {
    if (track.is_stop_wanted || !track.is_listed || track.percent >= 100) {
      continue;
    }
    const Job& job = *ledger.FindJob(key.task.job);
    const scheduling::StepSpec& step = job.StepOf(job.IndexOf(key.task));
    const auto link = m_links.find(track.worker);
    const bool is_seen = link != m_links.end() &&
                         link->second.last_contact - track.percent_since >=
                             std::max<SteadyTime::duration>(
                                 kStalled, 2 * step.estimate);
    if (!is_seen || step.is_gang || step.is_filling) {
      continue;
    }
    track.is_stop_wanted = true;
    link->second.doubtful_until = now + kSilentIsGone;
    DecisionLog::Get().Write(DecisionLine("dispatch", "stop")
                                 .With("task", FormatTaskId(key.task))
                                 .With("run", key.run)
                                 .With("worker", track.worker)
                                 .With("percent", track.percent)
                                 .With("why", "stands-still"));
  }
}

void Leadership::Lapse(const Ledger& ledger, Records& records) {
  const SteadyTime now = Now();
  for (auto& [id, link] : m_links) {
    const Worker* worker = ledger.FindWorker(id);
    if (worker == nullptr || worker->active.empty() ||
        !link.clock.HasSurelyLapsed(now)) {
      link.is_lapse_under_way = false;
      continue;
    }
    if (link.is_lapse_under_way) {
      continue;
    }
    link.is_lapse_under_way = true;
    link.is_lapsed = true;
    ++m_counters.lapses;
    records.emplace_back(scheduling::WorkerLapsed{id});
    DecisionLog::Get().Write(
        DecisionLine("dispatch", "worker-lapsed")
            .With("worker", id)
            .With("silent_ms",
                  std::chrono::floor<Millis>(now - link.last_contact))
            .With("runs", static_cast<int64_t>(worker->active.size())));
  }
}

void Leadership::DropSilent(const Ledger& ledger, Records& records) {
  const SteadyTime now = Now();
  for (auto& [id, link] : m_links) {
    const Worker* worker = ledger.FindWorker(id);
    const SteadyTime heard =
        std::max({link.last_contact, link.last_announced, m_begun_at});
    if (worker != nullptr && worker->active.empty() &&
        !link.is_gone_under_way && now - heard > kSilentIsGone) {
      link.is_gone_under_way = true;
      records.emplace_back(scheduling::WorkerGone{id});
      DecisionLog::Get().Write(
          DecisionLine("dispatch", "worker-gone")
              .With("worker", id)
              .With("why", "silent")
              .With("silent_ms", std::chrono::floor<Millis>(now - heard)));
    }
  }
}

void Leadership::ForgetJobs(const Ledger& ledger, Records& records) {
  const SteadyTime now = Now();
  if (now < m_next_forget) {
    return;
  }
  m_next_forget = now + kForgetPeriod;
  scheduling::JobsForgotten forgotten;
  for (const auto& [id, job] : ledger.jobs()) {
    if (!job.is_over() || job.active_runs > 0) {
      continue;
    }
    m_seen_at.erase(id);
    const SteadyTime over = m_over_at.try_emplace(id, now).first->second;
    if (now - over > m_init.bounds.job_memory) {
      forgotten.ids.push_back(id);
      m_over_at.erase(id);
    }
  }
  if (!forgotten.ids.empty()) {
    records.emplace_back(std::move(forgotten));
  }
}

bool Leadership::IsUsable(const Worker& worker, const WorkerLink& link) const {
  const SteadyTime now = Now();
  return link.is_reached && !link.is_lapsed && link.clock.is_known() &&
         !worker.info.is_draining && now >= link.suspect_until &&
         now - link.last_contact < kFreshContact &&
         !IsEvacuated(worker.info.host);
}

void Leadership::Plan(const Ledger& ledger, std::vector<RunStarted>& starts) {
  std::map<std::string, scheduling::WorkerOutlook> outlooks;
  const SteadyTime now = Now();
  for (const auto& [id, worker] : ledger.workers()) {
    const WorkerLink& link = m_links.at(id);
    outlooks[id] = {IsUsable(worker, link), now < link.doubtful_until};
  }
  starts = m_planner.Plan(
      {ledger, now, m_init.wall_now(), outlooks, m_seen_at});
}

void Leadership::CommitStarts(const std::vector<RunStarted>& starts) {
  if (starts.empty()) {
    return;
  }
  Records records(starts.begin(), starts.end());
  Commit(std::move(records), [this, starts](CommitOutcome outcome) {
    for (const RunStarted& start : starts) {
      m_planner.Settled(start);
    }
    if (outcome != CommitOutcome::kCommitted) {
      return;
    }
    m_log.Read([&](const Ledger& ledger) {
      FollowRuns(ledger);
      for (const RunStarted& start : starts) {
        const RunKey key{start.task, start.run};
        const auto track = m_runs.find(key);
        if (track != m_runs.end() && track->second.worker == start.worker) {
          track->second.begun_at = Now();
          SendStart(ledger, key, track->second);
        }
      }
    });
  });
}

}  // namespace laurelhall::dispatch
