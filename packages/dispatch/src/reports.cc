#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <utility>

#include "laurelhall/base/decision_log.h"
#include "leadership_p.h"

namespace laurelhall::dispatch {

using scheduling::Job;
using scheduling::StartDiagnosis;
using scheduling::Worker;

namespace {

// Time between two reports. Conditions that last for less show in the log lines
// of their tasks.
constexpr Millis kStatusLinesPeriod{1'000};
// A job is reported if it has nothing at work for longer. That is about twice
// the time of a start while the leader has enough processor time.
constexpr Millis kMinReportedWait{1'000};
// Waiting jobs reported each second, the longest waiting first. What holds them
// up holds up the others as well.
constexpr size_t kMaxReportedWaits = 4;
// Organisations reported each second, those with the most cores in use first.
constexpr size_t kMaxReportedOrganisations = 8;
// Organisations named for each full pool, those furthest from their parts
// first.
constexpr size_t kMaxReportedShares = 8;

constexpr const char* kEligibilityNames[] = {
    "usable",  "not_reached", "silent", "lapsed",    "draining",
    "suspect", "paused",      "stale",  "evacuated", "room_not_heard"};
static_assert(std::size(kEligibilityNames) ==
              static_cast<size_t>(Eligibility::kCount));

using EligibilityCounts =
    std::array<uint64_t, static_cast<size_t>(Eligibility::kCount)>;

// Formats as "NAME:HELD/PART", in thousandths of the pool.
std::string FormatShare(const scheduling::OrganisationShare& share) {
  const auto thousandths = [](double part) {
    return std::to_string(std::lround(part * 1'000));
  };
  return share.organisation + ":" + thousandths(share.used) + "/" +
         thousandths(share.part);
}

// The organisations that are beyond or below their parts.
std::string FormatShares(std::vector<scheduling::OrganisationShare> shares) {
  const auto gap = [](const scheduling::OrganisationShare& share) {
    return std::abs(share.used - share.part);
  };
  const size_t count = std::min(kMaxReportedShares, shares.size());
  std::partial_sort(
      shares.begin(), shares.begin() + static_cast<ptrdiff_t>(count),
      shares.end(),
      [&gap](const auto& a, const auto& b) { return gap(a) > gap(b); });
  std::string text;
  for (size_t index = 0; index < count; ++index) {
    text += (index == 0 ? "" : " ") + FormatShare(shares[index]);
  }
  return text;
}

// A zero count for each value of an enumeration.
template <typename Kind>
std::vector<NamedCount> ZeroCounts(const char* (*name)(Kind)) {
  std::vector<NamedCount> counts;
  for (size_t index = 0; index < static_cast<size_t>(Kind::kCount); ++index) {
    counts.push_back({name(static_cast<Kind>(index))});
  }
  return counts;
}

}  // namespace

const char* EligibilityName(Eligibility eligibility) {
  return kEligibilityNames[static_cast<size_t>(eligibility)];
}

void SchedulerStatus::Clear() {
  tick_lag = Millis(0);
  relays = 0;
  open_jobs = 0;
  waiting_jobs = 0;
  for (std::vector<NamedCount>* counts : {&workers, &waits}) {
    for (NamedCount& each : *counts) {
      each.count = 0;
    }
  }
}

void Leadership::Report(const Ledger& ledger) {
  const SteadyTime now = Now();
  if (now < m_next_status) {
    return;
  }
  m_next_status = now + kStatusLinesPeriod;
  ReportLoad(ledger);
  ReportPath();
  ReportWork();
  ReportWorkers(ledger);
  ReportWaits(ledger);
  ReportOrganisations(ledger);
  ReportShares();
}

// Shows whether the leader itself is the bottleneck.
void Leadership::ReportLoad(const Ledger& ledger) {
  m_scheduler_status.tick_lag = m_tick_lag;
  m_scheduler_status.open_jobs = ledger.open_jobs().size();
  DecisionLog::Get().Write(
      DecisionLine("dispatch", "load")
          .With("term", m_term)
          .With("tick_lag_ms", m_tick_lag)
          .With("plan_ms", m_plan_time)
          .With("plan_steps", m_planner.cost().steps)
          .With("plan_places", m_planner.cost().places)
          .With("order_timeout_ms", OrderTimeout())
          .With("waiting_acts", static_cast<uint64_t>(m_waiting_acts.size()))
          .With("batched_records", static_cast<uint64_t>(m_batch.size()))
          .With("open_jobs", static_cast<uint64_t>(ledger.open_jobs().size()))
          .With("runs", static_cast<uint64_t>(m_runs.size())));
}

// Shows what a task's end and the next start in its room wait for, and for
// whom the leader works.
void Leadership::ReportPath() {
  const PathTimes times = std::exchange(m_path_times, {});
  DecisionLog::Get().Write(
      DecisionLine("dispatch", "path")
          .With("batches", times.commit.count)
          .With("records", times.records)
          .With("largest_batch", times.largest_batch)
          .With("batch_wait_ms", times.batch_wait.Mean())
          .With("commit_ms", times.commit.Mean())
          .With("longest_commit_ms", times.commit.longest)
          .With("start_answer_ms", times.start.Mean())
          .With("longest_start_answer_ms", times.start.longest)
          .With("starts_on_time", times.starts_on_time)
          .With("starts_late", times.starts_late));
}

// Shows what the leader's processor time goes to.
void Leadership::ReportWork() {
  DecisionLog::Get().Write(m_work_report.NextLine());
}

// Counts the usable workers of each service, and the others by what excludes
// them.
void Leadership::ReportWorkers(const Ledger& ledger) {
  m_scheduler_status.workers = ZeroCounts<Eligibility>(EligibilityName);
  std::map<std::string, EligibilityCounts> services;
  for (const auto& [id, worker] : ledger.workers()) {
    const Eligibility eligibility = EligibilityOf(worker, m_links.at(id));
    ++services[worker.info.service][static_cast<size_t>(eligibility)];
    ++m_scheduler_status.workers[static_cast<size_t>(eligibility)].count;
  }
  for (const auto& [service, counts] : services) {
    DecisionLine line("dispatch", "workers");
    line.With("service", service);
    for (size_t index = 0; index < counts.size(); ++index) {
      if (counts[index] > 0) {
        line.With(EligibilityName(static_cast<Eligibility>(index)),
                  counts[index]);
      }
    }
    DecisionLog::Get().Write(line);
  }
}

// Shows the usage of organisations beside their caps.
void Leadership::ReportOrganisations(const Ledger& ledger) {
  std::vector<std::pair<int64_t, std::string>> busy;
  for (const auto& [name, in_use] : ledger.in_use()) {
    if (in_use.millicores > 0) {
      busy.emplace_back(in_use.millicores, name);
    }
  }
  const size_t reported_count =
      std::min(kMaxReportedOrganisations, busy.size());
  std::partial_sort(busy.begin(),
                    busy.begin() + static_cast<ptrdiff_t>(reported_count),
                    busy.end(), std::greater<>());
  for (size_t index = 0; index < reported_count; ++index) {
    const auto& [millicores, name] = busy[index];
    const scheduling::OrganisationSpec* spec = ledger.keys().Find(name);
    DecisionLine line("dispatch", "organisation");
    line.With("organisation", name).With("millicores", millicores);
    if (spec != nullptr) {
      line.With("cap_millicores", spec->cap.millicores)
          .With("weight", static_cast<int64_t>(spec->weight));
    }
    line.With("of", static_cast<uint64_t>(busy.size()));
    DecisionLog::Get().Write(line);
  }
}

// Shows how the last plan divided the pools that were full.
void Leadership::ReportShares() const {
  for (const auto& [service, pool] : m_planner.shares()) {
    if (!pool.is_divided()) {
      continue;
    }
    const std::vector<scheduling::OrganisationShare>& shares = pool.shares();
    const auto below = std::count_if(
        shares.begin(), shares.end(),
        [](const auto& share) { return share.used < share.part; });
    DecisionLog::Get().Write(
        DecisionLine("dispatch", "shares")
            .With("service", service)
            .With("wanted_millicores", pool.wanted().millicores)
            .With("below", static_cast<uint64_t>(below))
            .With("of", static_cast<uint64_t>(shares.size()))
            .With("held_of_part", FormatShares(shares)));
  }
}

// Shows open jobs that have nothing at work, and why.
void Leadership::ReportWaits(const Ledger& ledger) {
  const SteadyTime now = Now();
  std::vector<std::pair<SteadyTime, const Job*>> waiting;
  for (const auto& [id, open_job] : ledger.open_jobs()) {
    const Job& job = *open_job;
    const auto seen = m_job_seen_at.find(id);
    if (!job.is_over() && job.active_runs == 0 && seen != m_job_seen_at.end() &&
        now - seen->second > kMinReportedWait) {
      waiting.emplace_back(seen->second, &job);
    }
  }
  m_scheduler_status.waiting_jobs = waiting.size();
  m_scheduler_status.waits =
      ZeroCounts<scheduling::StartObstacle>(scheduling::StartObstacleName);
  const size_t reported_count = std::min(kMaxReportedWaits, waiting.size());
  std::partial_sort(waiting.begin(),
                    waiting.begin() + static_cast<ptrdiff_t>(reported_count),
                    waiting.end());
  for (size_t index = 0; index < reported_count; ++index) {
    const Job& job = *waiting[index].second;
    const auto outlook = m_planner.Explain(
        {ledger, now, m_init.wall_now(),
         [&](const Worker& worker) { return AssessWorker(ledger, worker); },
         m_job_seen_at},
        job);
    if (!outlook) {
      continue;
    }
    ++m_scheduler_status.waits[static_cast<size_t>(outlook->obstacle)].count;
    DecisionLog::Get().Write(
        DecisionLine("dispatch", "waits")
            .With("job", job.id)
            .With("service", ledger.ServiceOf(job))
            .With("step", outlook->step)
            .With("tasks", outlook->tasks)
            .With("age_ms",
                  std::chrono::floor<Millis>(now - waiting[index].first))
            .With("why", scheduling::StartObstacleName(outlook->obstacle))
            .With("workers", outlook->workers)
            .With("with_room", outlook->with_room)
            .With("of", static_cast<uint64_t>(waiting.size())));
  }
}

}  // namespace laurelhall::dispatch
