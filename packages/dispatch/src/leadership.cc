#include "leadership_p.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "laurelhall/base/decision_log.h"
#include "laurelhall/base/work_meter.h"

namespace laurelhall::dispatch {

using scheduling::CommitOutcome;
using scheduling::Job;
using scheduling::Mechanism;
using scheduling::RunEnd;
using scheduling::RunStarted;
using scheduling::Worker;

namespace {

// Triggers within this time share one planning pass. The delay is small beside
// the hundreds of milliseconds that callers wait.
constexpr Millis kPlanDelay{3};
// A planning pass visits all open jobs. To bound its cost, the time between the
// starts of two passes is at least kPlanPauseFactor times the duration of the
// first, limited to the range from kMinPlanPause to kMaxPlanPause. On a host
// with a third of a core, passes of 5 ms every 12 ms would leave no time to
// send the orders.
constexpr Millis kMinPlanPause{12};
constexpr int kPlanPauseFactor = 6;
constexpr Millis kMaxPlanPause{60};
// Records that come within this time are committed together. A step of a job
// takes three commits, so its caller waits 30 ms longer, of some seconds.
constexpr Millis kBatchDelay{10};
// Time between two comparisons of all tracked runs with the ledger.
constexpr Millis kRunSyncPeriod{500};
// Time between two searches of all runs for those to stop. The tasks of a
// cancelled job may run on for seconds, so tenths of a second do not matter.
constexpr Millis kStopsPeriod{150};
// A worker without contact for longer gets no new work. A hold call waits up to
// two seconds; the rest is for its transfer.
constexpr Millis kMaxContactAge{2'600};
// A worker without runs is removed after this time without contact or
// announcement: ten announcements at their usual rate.
constexpr Millis kSilenceTimeout{15'000};
constexpr Millis kForgetPeriod{5'000};
// Longest time between two checks of a worker.
constexpr Millis kMaxCheckPause{1'000};
// A report sent before m_reports_since counts as current for this time: two
// announcements at their slowest rate.
constexpr Millis kMaxEarlierReportAge{3'000};
// During a longer pause of the leader's thread, an announcement of each worker
// may have been missed.
constexpr Millis kMaxThreadPause{1'000};
// Jobs first seen within this time after the start of the term count as taken
// over from an earlier leader.
constexpr Millis kTakeoverTime{300};
// Limit on the age of a job that an earlier leader accepted. Jobs that have
// waited for so long are all equally late, and a clock may be set wrong.
constexpr Millis kMaxInheritedAge{60'000};

}  // namespace

Leadership::Leadership(const DispatcherInit& init,
                       scheduling::ReplicatedLog& log,
                       uint64_t term,
                       DispatchCounters& counters)
    : m_init(init),
      m_log(log),
      m_term(term),
      m_begun_at(init.timers->Now()),
      m_reports_since(m_begun_at),
      m_counters(counters),
      m_leader_lease(init.bounds.leader_lease),
      m_planner(init.mechanisms, init.bounds.remote_data_factor),
      m_demand(init.mechanisms) {}

void Leadership::ConfirmLeadership() {
  if (m_is_confirming_leadership) {
    return;
  }
  m_is_confirming_leadership = true;
  m_log.Confirm([weak = weak_from_this(), post = m_init.post,
                 asked_at = m_init.boot_now()](bool is_confirmed) {
    post([weak, asked_at, is_confirmed] {
      if (const auto self = weak.lock()) {
        self->OnLeadershipConfirmed(asked_at, is_confirmed);
      }
    });
  });
}

void Leadership::OnLeadershipConfirmed(BootTime asked_at, bool is_confirmed) {
  m_is_confirming_leadership = false;
  if (is_confirmed) {
    m_leader_lease.Renew(asked_at);
  }
  while (!m_waiting_acts.empty() && HoldsLeaderLease()) {
    const auto act = std::move(m_waiting_acts.front());
    m_waiting_acts.pop_front();
    act();
  }
}

// Each batch costs every control host a message, a disk sync and some wake-ups.
// So records that come within kBatchDelay share a batch, and records that come
// while a batch is being committed wait for the next one.
void Leadership::Commit(Records records, CommitDone done) {
  std::move(records.begin(), records.end(), std::back_inserter(m_batch));
  m_batch_done.push_back(std::move(done));
  FlushSoon();
}

void Leadership::CommitRequest(scheduling::Record record, CommitDone done) {
  m_batch.push_back(std::move(record));
  m_batch_requests.push_back(std::move(done));
  FlushSoon();
}

bool Leadership::ConfirmWithBatch(std::function<void(bool is_sure)> done) {
  if (m_batch.empty()) {
    return false;
  }
  m_batch_reads.push_back(std::move(done));
  return true;
}

void Leadership::FlushSoon() {
  if (m_batch_begun_at == SteadyTime() && !m_batch.empty()) {
    m_batch_begun_at = Now();
  }
  if (m_is_flush_due || m_is_batch_under_way ||
      (m_batch.empty() && !m_is_plan_waiting)) {
    return;
  }
  m_is_flush_due = true;
  m_init.timers->SubscribeOnce(kBatchDelay,
                               [weak = weak_from_this()](SteadyTime) {
                                 if (const auto self = weak.lock()) {
                                   self->PlanAndFlush();
                                 }
                               });
}

void Leadership::PlanAndFlush() {
  if (std::exchange(m_is_plan_waiting, false)) {
    PlanNow();  // Schedules no flush of its own, as this one is still due.
  }
  m_is_flush_due = false;
  if (!m_batch.empty()) {
    Flush();
  }
}

void Leadership::Flush() {
  const DutyTimer timer(Duty::kBatch);
  m_is_batch_under_way = true;
  const SteadyTime flushed_at = Now();
  m_path_times.batch_wait.Add(std::chrono::floor<Millis>(
      flushed_at - std::exchange(m_batch_begun_at, SteadyTime())));
  m_path_times.records += m_batch.size();
  m_path_times.largest_batch =
      std::max<uint64_t>(m_path_times.largest_batch, m_batch.size());
  auto waiting =
      std::make_shared<decltype(m_batch_done)>(std::exchange(m_batch_done, {}));
  auto requests = std::make_shared<decltype(m_batch_requests)>(
      std::exchange(m_batch_requests, {}));
  auto reads = std::make_shared<decltype(m_batch_reads)>(
      std::exchange(m_batch_reads, {}));
  m_log.Commit(
      m_term, std::exchange(m_batch, {}),
      [weak = weak_from_this(), post = m_init.post, waiting, requests, reads,
       asked_at = m_init.boot_now(), flushed_at](CommitOutcome outcome) {
        post([weak, waiting, requests, reads, asked_at, flushed_at, outcome] {
          for (const CommitDone& done : *requests) {
            done(outcome);
          }
          for (const auto& read : *reads) {
            read(outcome == CommitOutcome::kCommitted);
          }
          const auto self = weak.lock();
          if (self == nullptr) {
            return;
          }
          const DutyTimer timer(Duty::kBatch);
          if (outcome == CommitOutcome::kCommitted) {
            self->m_leader_lease.Renew(asked_at);
          }
          self->m_is_batch_under_way = false;
          const auto taken =
              std::chrono::floor<Millis>(self->Now() - flushed_at);
          self->m_turn = (3 * self->m_turn + taken) / 4;
          self->m_path_times.commit.Add(taken);
          for (const CommitDone& done : *waiting) {
            done(outcome);
          }
          self->FlushSoon();
        });
      });
}

Leadership::~Leadership() {
  // The records that were not handed to the log will never be committed.
  for (const CommitDone& done : m_batch_requests) {
    done(CommitOutcome::kRefused);
  }
  for (const auto& read : m_batch_reads) {
    read(false);
  }
}

void Leadership::PlanSoon() {
  if (m_is_plan_due) {
    return;
  }
  m_is_plan_due = true;
  const auto elapsed = std::chrono::floor<Millis>(Now() - m_last_plan);
  const Millis pause =
      std::clamp(kPlanPauseFactor * m_plan_time, kMinPlanPause, kMaxPlanPause);
  const Millis delay = std::max(kPlanDelay, pause - elapsed);
  m_init.timers->SubscribeOnce(delay, [weak = weak_from_this()](SteadyTime) {
    if (const auto self = weak.lock()) {
      self->m_is_plan_due = false;
      self->PlanWithNextBatch();
    }
  });
}

// Starts that are planned before their batch is handed to the log are not
// committed sooner, but what comes meanwhile could not go before them, and
// would need a plan of its own.
void Leadership::PlanWithNextBatch() {
  m_is_plan_waiting = true;
  FlushSoon();
}

void Leadership::PlanNow() {
  const DutyTimer timer(Duty::kPlan);
  m_last_plan = Now();
  std::vector<RunStarted> starts;
  m_log.Read([&](const Ledger& ledger) {
    SyncWorkers(ledger);
    SyncJobs(ledger);
    Plan(ledger, starts);
  });
  m_plan_time = std::chrono::floor<Millis>(Now() - m_last_plan);
  CommitStarts(starts);
}

// Smooths the tick lag. A higher value is taken over by half, so that the lag
// of several ticks counts and that of a single one hardly does. The smoothed
// value falls by at most half of the elapsed time: after a delay, ticks come in
// quick succession, and their number must not make the lag vanish.
void Leadership::MeasureLag() {
  const SteadyTime now = Now();
  if (WasThreadPaused()) {
    DiscardReports();
  }
  if (HasStalled()) {
    m_stalled_until = now;
  }
  if (m_last_tick != SteadyTime()) {
    const auto taken = std::chrono::floor<Millis>(now - m_last_tick);
    const Millis late = std::max(Millis(0), taken - kDispatchTick);
    m_tick_lag = late > m_tick_lag ? (m_tick_lag + late) / 2
                                   : std::max(late, m_tick_lag - taken / 2);
  }
  m_last_tick = now;
}

constexpr Leadership::TickStep Leadership::kTickSteps[] = {
    {Duty::kTickSync, &Leadership::SyncWithLedger},
    {Duty::kTickStops, &Leadership::StopDueRuns},
    {Duty::kTickLeases, &Leadership::EndLostWorkers},
    {Duty::kTickWaves, &Leadership::AdvanceWaves},
    {Duty::kTickMoves, &Leadership::StepMoves},
    {Duty::kTickReport, &Leadership::ReportAndForget},
    {Duty::kTickOrders, &Leadership::StepOrders},
    {Duty::kTickHolds, &Leadership::StepHolds}};

void Leadership::SyncWithLedger(const Ledger& ledger, Records&) {
  SyncWorkers(ledger);
  SyncJobs(ledger);
  if (Now() >= m_next_run_sync) {
    m_next_run_sync = Now() + kRunSyncPeriod;
    SyncRuns(ledger);
  }
}

void Leadership::StopDueRuns(const Ledger& ledger, Records&) {
  if (Now() >= m_next_stops) {
    m_next_stops = Now() + kStopsPeriod;
    RequestDueStops(ledger);
  }
}

void Leadership::EndLostWorkers(const Ledger& ledger, Records& records) {
  const SteadyTime now = Now();
  m_due_workers = m_checks.Due(now);
  m_counters.worker_visits += m_due_workers.size();
  for (auto* entry : m_due_workers) {
    CommitLapse(ledger, entry->first, entry->second);
    RemoveIfSilent(ledger, entry->second, records);
  }
}

void Leadership::ReportAndForget(const Ledger& ledger, Records& records) {
  Report(ledger);
  ForgetEndedJobs(ledger, records);
}

void Leadership::Tick() {
  MeasureLag();
  // Also while acts wait: after the process was frozen or suspended, none of
  // them is run before a quorum has confirmed the lead.
  if (m_leader_lease.NeedsRenewal(m_init.boot_now()) ||
      !m_waiting_acts.empty()) {
    ConfirmLeadership();
  }
  Records records;
  m_log.Read([&](const Ledger& ledger) {
    for (const TickStep& step : kTickSteps) {
      const DutyTimer timer(step.duty);
      (this->*step.run)(ledger, records);
    }
  });
  if (!records.empty()) {
    Commit(std::move(records), [this](CommitOutcome) { PlanSoon(); });
  }
  PlanSoon();
}

void Leadership::OnAnnounced(const std::string& worker) {
  const auto link = m_links.find(worker);
  if (link != m_links.end()) {
    link->second.last_announced = Now();
  }
}

void Leadership::OnReportCommitted(const std::string& worker,
                                   const ReportStamp& report) {
  const auto [known, is_first] = m_reports.try_emplace(worker, report);
  if (!is_first && !report.IsNewerThan(known->second)) {
    return;
  }
  known->second = report;
  const auto link = m_links.find(worker);
  if (link != m_links.end() && IsReportOf(link->second, report)) {
    link->second.last_report = report;
  }
}

void Leadership::OnReportPending(const std::string& worker,
                                 const ReportStamp& report) {
  const auto link = m_links.find(worker);
  if (link == m_links.end()) {
    return;
  }
  if (report.born > link->second.born) {
    link->second.confirmed_at = SteadyTime();
  }
  if (link->second.last_report &&
      report.IsNewerThan(*link->second.last_report)) {
    link->second.last_report.reset();
    m_reports.erase(worker);
  }
}

bool Leadership::IsReportOf(const WorkerLink& link, const ReportStamp& report) {
  return report.born == WallTime() || link.born == WallTime() ||
         report.born == link.born;
}

bool Leadership::WasThreadPaused() const {
  return m_last_tick != SteadyTime() && Now() - m_last_tick > kMaxThreadPause;
}

// Reports from before the pause may be outdated, like those to an earlier
// leader. Those that came during the pause are not read yet, or their senders
// gave up waiting.
void Leadership::DiscardReports() {
  ++m_long_pauses;
  m_reports_since = Now();
  for (auto& [id, link] : m_links) {
    link.last_report.reset();
    if (link.clock.is_known()) {
      link.clock_at_reports_since = link.clock.Estimate(m_reports_since);
    }
  }
  m_reports.clear();
  DecisionLog::Get().Write(
      DecisionLine("dispatch", "rooms-forgotten")
          .With("pause_ms", std::chrono::floor<Millis>(Now() - m_last_tick))
          .With("workers", static_cast<uint64_t>(m_links.size())));
}

// The age of a report is measured by the worker's clock, so that a report which
// was read or delivered late counts from when it was sent. A report without a
// clock counts as just sent.
bool Leadership::IsCapacityCurrent(const WorkerLink& link) const {
  if (m_init.mutations.is_capacity_age_ignored) {
    return true;
  }
  if (!link.last_report || WasThreadPaused()) {
    return false;
  }
  const ReportStamp& report = *link.last_report;
  if (report.clock == scheduling::WorkerTime(0) ||
      report.clock >= link.clock_at_reports_since) {
    return true;
  }
  return link.clock.Estimate(Now()) - report.clock < kMaxEarlierReportAge;
}

void Leadership::SyncWorkers(const Ledger& ledger) {
  const bool are_changes_known = ledger.FollowChangedWorkers(
      m_workers_revision,
      [&](const std::string& id) { SyncWorker(ledger, id); });
  if (are_changes_known) {
    return;
  }
  std::vector<std::string> removed;
  for (const auto& [id, link] : m_links) {
    if (ledger.FindWorker(id) == nullptr) {
      removed.push_back(id);
    }
  }
  for (const std::string& id : removed) {
    SyncWorker(ledger, id);
  }
  for (const auto& [id, worker] : ledger.workers()) {
    SyncWorker(ledger, id);
  }
}

void Leadership::SyncWorker(const Ledger& ledger, const std::string& id) {
  const Worker* worker = ledger.FindWorker(id);
  if (worker == nullptr) {
    const auto link = m_links.find(id);
    if (link != m_links.end()) {
      m_init.workers->Forget(link->second.address);
      m_last_incarnations[id] = {link->second.number,
                                 link->second.fence_number};
      m_checks.Remove(link->second.slot);
      m_links.erase(link);
    }
    m_reports.erase(id);
    return;
  }
  const auto [found, is_new] =
      m_links.try_emplace(id, m_init.bounds.longest_lease, m_begun_at);
  WorkerLink& link = found->second;
  link.worker = worker;
  if (is_new) {
    link.slot = m_checks.Add(*found);
    link.last_announced = Now();
    link.born = worker->born;
    const auto last = m_last_incarnations.find(id);
    if (last != m_last_incarnations.end()) {
      link.number = last->second.number + 1;
      link.fence_number = last->second.fence_number + 1;
    }
  } else if (link.born == WallTime()) {
    link.born = worker->born;
  } else if (worker->born > link.born &&
             !m_init.mutations.is_incarnation_ignored) {
    BeginIncarnation(ledger, id, link, worker->born);
  }
  link.address = {id, worker->info.address, worker->info.availability_zone};
  m_checks.CheckSoon(link.slot);
  CheckRunsOfDrainingWorker(ledger, *worker);
  ApplyReport(id, link);
}

// A report may come before its sender's incarnation is in the ledger here.
void Leadership::ApplyReport(const std::string& id, WorkerLink& link) {
  const auto report = m_reports.find(id);
  if (!link.last_report && report != m_reports.end() &&
      IsReportOf(link, report->second)) {
    link.last_report = report->second;
  }
}

RunTrack& Leadership::TrackOf(const scheduling::TaskId& task, uint32_t run) {
  const auto found = m_runs.find(RunRef{task, run});
  if (found != m_runs.end()) {
    return found->second;
  }
  m_runs_to_check.insert({task, run});
  return m_runs[{task, run}];
}

// Tracks every committed active run. A run that an earlier leader started
// begins as StartStage::kUncertain.
void Leadership::SyncRuns(const Ledger& ledger) {
  for (auto run = m_runs.begin(); run != m_runs.end();) {
    const auto& [key, track] = *run;
    const bool is_active = ledger.IsActive(key.task, key.run, track.worker);
    run = is_active ? std::next(run) : m_runs.erase(run);
  }
  for (const auto& [id, worker] : ledger.workers()) {
    for (const scheduling::TaskId& task : worker.active) {
      const Job& job = *ledger.FindJob(task.job);
      for (const auto& active : job.tasks[job.IndexOf(task)].active) {
        if (active.worker == id) {
          RunTrack& track = TrackOf(task, active.run);
          track.worker = id;
        }
      }
    }
  }
}

// Uses the wall clock, which may jump. The age only affects the order in which
// jobs are served.
Millis Leadership::AgeOf(const Job& job) const {
  const Millis age =
      std::chrono::floor<Millis>(m_init.wall_now() - job.accepted_at);
  return std::clamp(age, Millis(0), kMaxInheritedAge);
}

void Leadership::SyncJobs(const Ledger& ledger) {
  const auto& open_jobs = ledger.open_jobs();
  const bool are_new_known =
      ledger.FollowNewJobs(m_jobs_version, [&](const std::string& id) {
        const auto found = open_jobs.find(id);
        if (found != open_jobs.end()) {
          SyncJob(ledger, *found->second);
        }
      });
  if (are_new_known) {
    return;
  }
  for (const auto& [id, job] : open_jobs) {
    SyncJob(ledger, *job);
  }
}

void Leadership::SyncJob(const Ledger& ledger, const Job& job) {
  const SteadyTime now = Now();
  if (!m_job_seen_at.try_emplace(job.id, now - AgeOf(job)).second) {
    return;
  }
  // Jobs accepted by an earlier leader arrived over a longer time, so they do
  // not count as demand that arrives now.
  if (now - m_begun_at > kTakeoverTime) {
    m_demand.RecordArrival(ledger.ServiceOf(job), m_planner.EstimatedWork(job),
                           now);
  }
  if (!job.has_persistent_tasks() && !job.spec.is_timed) {
    m_pool_floors.RecordSlack(ledger.ServiceOf(job),
                              m_planner.Slack(ledger, job));
  }
}

void Leadership::CommitLapse(const Ledger& ledger,
                             const std::string& id,
                             WorkerLink& link) {
  const SteadyTime now = Now();
  const Worker& worker = *link.worker;
  const bool is_over = m_init.mutations.is_lease_ignored
                           ? link.is_silent
                           : link.clock.HasSurelyLapsed(now);
  if (worker.active.empty() || !is_over || link.is_lapse_under_way) {
    return;
  }
  // Nothing is started there until the lapse is committed, even if the worker
  // answers by then: the lapse would end new runs in the ledger as well.
  link.is_lapse_under_way = true;
  link.is_lapsed = true;
  ++m_counters.lapses;
  DecisionLog::Get().Write(
      DecisionLine("dispatch", "worker-lapsed")
          .With("worker", id)
          .With("silent_ms",
                std::chrono::floor<Millis>(now - link.last_contact))
          .With("runs", static_cast<int64_t>(worker.active.size())));
  LogLostRuns(ledger, worker, "lapsed");
  link.lapsed_runs = LostRuns(ledger, worker);
  Commit({scheduling::WorkerLapsed{id}}, [this, id](CommitOutcome) {
    const auto found = m_links.find(id);
    if (found != m_links.end()) {
      found->second.is_lapse_under_way = false;
      m_checks.CheckSoon(found->second.slot);
    }
    PlanSoon();
  });
}

void Leadership::RemoveIfSilent(const Ledger& ledger,
                                WorkerLink& link,
                                Records& records) {
  const SteadyTime last_heard =
      std::max({link.last_contact, link.last_announced, m_begun_at});
  if (link.worker->active.empty() && !link.is_removal_under_way &&
      Now() - last_heard > kSilenceTimeout) {
    EndWorker(ledger, *link.worker, scheduling::WorkerEndCause::kSilent,
              "silent", records);
  }
}

// When a call, a renewal or a lapse comes due if nothing happens before. Each
// event that changes that makes the worker due at once. A worker is visited
// once in kMaxCheckPause in any case, which is soon enough for its removal.
SteadyTime Leadership::NextCheck(const WorkerLink& link) const {
  SteadyTime next = Now() + kMaxCheckPause;
  if (!link.is_hold_under_way) {
    next = std::min(next, link.next_hold);
  }
  if (!link.worker->active.empty()) {
    if (!link.is_lapse_under_way) {
      next = std::min(next, link.clock.LapsesAt());
    }
    if (link.is_hold_under_way && !link.is_renewal_under_way) {
      const SteadyTime renewal_due =
          link.lease_start + m_init.bounds.longest_lease / kLeaseRenewalDivisor;
      next = std::min(next, std::max(link.next_renewal, renewal_due));
    }
  }
  return next;
}

void Leadership::ForgetEndedJobs(const Ledger& ledger, Records& records) {
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
    const auto seen = m_job_seen_at.find(id);
    if (seen != m_job_seen_at.end()) {
      DecisionLog::Get().Write(
          DecisionLine("dispatch", "job-over", LineClass::kRequest)
              .With("job", id)
              .With("state", JobStateName(job.state))
              .With("within_ms",
                    std::chrono::floor<Millis>(now - seen->second)));
      m_job_seen_at.erase(seen);
    }
    const SteadyTime over_since =
        m_job_over_at.try_emplace(id, now).first->second;
    if (now - over_since > m_init.bounds.job_memory) {
      forgotten.ids.push_back(id);
      m_job_over_at.erase(id);
    }
  }
  if (!forgotten.ids.empty()) {
    records.emplace_back(std::move(forgotten));
  }
  ForgetEarlyCancels(ledger, records);
}

// A submission that is delayed for longer counts as a new one, like one that
// comes after its job was forgotten.
void Leadership::ForgetEarlyCancels(const Ledger& ledger, Records& records) {
  const SteadyTime now = Now();
  scheduling::EarlyCancelsForgotten forgotten;
  std::unordered_map<std::string, SteadyTime> seen;
  for (const std::string& job : ledger.EarlyCancels()) {
    const auto before = m_early_cancels_seen_at.find(job);
    const SteadyTime since =
        before == m_early_cancels_seen_at.end() ? now : before->second;
    seen.emplace(job, since);
    if (now - since > m_init.bounds.job_memory) {
      forgotten.jobs.push_back(job);
    }
  }
  m_early_cancels_seen_at = std::move(seen);
  if (!forgotten.jobs.empty()) {
    records.emplace_back(std::move(forgotten));
  }
}

Eligibility Leadership::EligibilityOf(const Worker& worker,
                                      const WorkerLink& link) const {
  const SteadyTime now = Now();
  if (!link.is_reached || !link.clock.is_known()) {
    return Eligibility::kNotReached;
  }
  if (link.is_silent) {
    return Eligibility::kSilent;
  }
  if (link.is_lapsed || link.is_lapse_under_way) {
    return Eligibility::kLapsed;
  }
  if (worker.info.is_draining) {
    return Eligibility::kDraining;
  }
  if (IsBeingEvacuated(worker.info.host)) {
    return Eligibility::kEvacuated;
  }
  if (now < link.suspect_until) {
    return Eligibility::kSuspect;
  }
  if (now < link.paused_until) {
    return Eligibility::kPaused;
  }
  if (!IsCapacityCurrent(link)) {
    return Eligibility::kCapacityStale;
  }
  const bool is_stale =
      now - link.last_contact >= kMaxContactAge + LeaderDelay();
  return is_stale ? Eligibility::kStale : Eligibility::kUsable;
}

scheduling::WorkerStatus Leadership::AssessWorker(const Ledger& ledger,
                                                  const Worker& worker) const {
  const WorkerLink& link = m_links.at(worker.info.id);
  const bool is_doubtful =
      m_init.mechanisms.Has(Mechanism::kDoubt) && Now() < link.doubtful_until;
  return {
      IsUsable(worker, link), is_doubtful,
      IsDueForMaintenance(ledger, worker.info.host),
      IsQuarantined(ledger, worker),
      worker.active.size() <= worker.suspects.size() + worker.persistent_runs &&
          AreRunsSeenAtWork(ledger, worker)};
}

void Leadership::Plan(const Ledger& ledger, std::vector<RunStarted>& starts) {
  starts = m_planner.Plan(
      {ledger, Now(), m_init.wall_now(),
       [&](const Worker& worker) { return AssessWorker(ledger, worker); },
       m_job_seen_at, StepDelay(), IsBusy()});
  m_path_times.starts_on_time += m_planner.cost().starts_on_time;
  m_path_times.starts_late += m_planner.cost().starts_late;
  for (const scheduling::RiskyStart& risky : m_planner.risky_starts()) {
    DecisionLog::Get().Write(DecisionLine("dispatch", "last-attempt")
                                 .With("task", FormatTaskId(risky.start.task))
                                 .With("run", risky.start.run)
                                 .With("worker", risky.start.worker)
                                 .With("waited_ms", risky.waited)
                                 .With("why", "no other worker takes it"));
  }
}

// Writes one line per step of a plan, not one per task.
void Leadership::LogStarts(const std::vector<RunStarted>& starts) const {
  const auto is_same_step = [](const RunStarted& a, const RunStarted& b) {
    return a.task.job == b.task.job && a.task.occurrence == b.task.occurrence &&
           a.task.step == b.task.step;
  };
  for (size_t first = 0; first < starts.size();) {
    size_t next = first + 1;
    while (next < starts.size() && is_same_step(starts[first], starts[next])) {
      ++next;
    }
    const RunStarted& start = starts[first];
    const auto seen = m_job_seen_at.find(start.task.job);
    const SteadyTime since = seen == m_job_seen_at.end() ? Now() : seen->second;
    DecisionLog::Get().Write(
        DecisionLine("dispatch", "starts", LineClass::kTask)
            .With("job", start.task.job)
            .With("step", start.task.step)
            .With("tasks", static_cast<uint64_t>(next - first))
            .With("run", start.run)
            .With("first_worker", start.worker)
            .With("age_ms", std::chrono::floor<Millis>(Now() - since))
            .With("term", m_term));
    first = next;
  }
}

void Leadership::CommitStarts(const std::vector<RunStarted>& starts) {
  if (starts.empty()) {
    return;
  }
  LogStarts(starts);
  Records records(starts.begin(), starts.end());
  Commit(std::move(records), [this, starts](CommitOutcome outcome) {
    for (const RunStarted& start : starts) {
      m_planner.ReleaseReservation(start);
    }
    if (outcome != CommitOutcome::kCommitted) {
      return;
    }
    m_log.Read([&](const Ledger& ledger) {
      for (const RunStarted& start : starts) {
        if (!ledger.IsActive(start.task, start.run, start.worker)) {
          continue;  // It no longer fitted when the record was applied.
        }
        const RunKey key{start.task, start.run};
        RunTrack& track = m_runs[key];
        track.worker = start.worker;
        track.begun_at = Now();
        if (StopReasonFor(ledger, key, track)) {
          m_runs_to_check.insert(key);
        }
        SendStart(ledger, key, track);
        const auto link = m_links.find(start.worker);
        if (link != m_links.end()) {
          m_checks.CheckSoon(link->second.slot);  // It needs a lease now.
        }
      }
    });
  });
}

}  // namespace laurelhall::dispatch
