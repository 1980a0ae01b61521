#include <algorithm>

#include "laurelhall/base/decision_log.h"
#include "leadership_p.h"

namespace laurelhall::dispatch {

using scheduling::CrashSuspect;
using scheduling::Job;
using scheduling::LossTime;
using scheduling::LostRun;
using scheduling::Suspicion;
using scheduling::Task;
using scheduling::Worker;

namespace {

// A lost worker says something of the others of its rack for so long.
constexpr Millis kLossMemory{15'000};

}  // namespace

// Commits the end of a worker's life, and before it what that says of the tasks
// that ran there.
void Leadership::EndWorker(const Ledger& ledger,
                           const std::string& worker,
                           const char* why,
                           Records& records,
                           const std::string& new_life) {
  WorkerLink& link = m_links.at(worker);
  link.is_gone_under_way = true;
  const Worker* known = ledger.FindWorker(worker);
  const size_t runs = known == nullptr ? 0 : known->active.size();
  DecisionLine line("dispatch", "worker-gone");
  line.With("worker", worker).With("why", why);
  if (!new_life.empty()) {
    line.With("new_life", new_life);
  }
  line.With("runs", static_cast<uint64_t>(runs));
  DecisionLog::Get().Write(line);
  if (known != nullptr) {
    TellLostRuns(*known, "worker-gone");
    Blame(ledger, *known, records);
  }
  records.emplace_back(scheduling::WorkerGone{worker});
}

// Whether its host was taken down, or it said that it would leave.
bool Leadership::IsEndedByUs(const Ledger& ledger, const Worker& worker) const {
  const std::string& host = worker.info.host;
  const auto maintained = m_hosts.find(host);
  const bool is_maintained = maintained != m_hosts.end() &&
                             (maintained->second.is_act_under_way ||
                              maintained->second.down_since != SteadyTime());
  const auto moved = m_moves.find(host);
  const bool is_moved =
      moved != m_moves.end() && (moved->second.is_act_under_way ||
                                 moved->second.ordered_at != SteadyTime());
  const auto& lives = ledger.WorkersOn(host);
  const bool has_changed_pool =
      std::any_of(lives.begin(), lives.end(), [&](const std::string& life) {
        return ledger.FindWorker(life)->info.service != worker.info.service;
      });
  return worker.info.is_draining || is_maintained || is_moved ||
         has_changed_pool;
}

// What was at work there, and what its lease had run out on before.
std::vector<LostRun> Leadership::LostRuns(const Worker& worker) const {
  const WorkerLink& link = m_links.at(worker.info.id);
  std::vector<LostRun> runs = link.lapsed_runs;
  if (runs.empty() && !link.is_reached) {
    // They lapsed under an earlier leader, which knew more of them.
    for (const scheduling::TaskId& task : worker.lapsed) {
      runs.push_back({task});
    }
  }
  for (const auto& [key, track] : m_runs) {
    if (track.worker != worker.info.id || !worker.active.contains(key.task)) {
      continue;
    }
    const bool may_have_started =
        track.start != StartStage::kRetry || track.may_be_on_its_way;
    runs.push_back({key.task, may_have_started, track.SeenAtWork()});
  }
  return runs;
}

LossTime Leadership::WhenLost(const WorkerLink& link) const {
  const bool is_noticed = link.lost_at != SteadyTime();
  return {link.last_contact, is_noticed ? link.lost_at : Now()};
}

// Whether all of its rack, more than itself, may have been lost at the moment
// that it was.
bool Leadership::IsRackLost(const Ledger& ledger,
                            const Worker& worker,
                            const WorkerLink& link) const {
  const std::string& rack = worker.info.rack;
  if (rack.empty()) {
    return false;
  }
  std::vector<LossTime> losses{WhenLost(link)};
  std::set<std::string> lost_hosts{worker.info.host};
  for (const LostLife& life : m_lost_lives) {
    if (life.rack == rack && lost_hosts.insert(life.host).second) {
      losses.push_back(life.when);
    }
  }
  for (const auto& [id, other] : ledger.workers()) {
    if (other.info.rack != rack || lost_hosts.contains(other.info.host)) {
      continue;
    }
    const WorkerLink& its_link = m_links.at(id);
    if (!its_link.is_silent) {
      return false;
    }
    lost_hosts.insert(other.info.host);
    losses.push_back(WhenLost(its_link));
  }
  return losses.size() > 1 && scheduling::MayBeOneMoment(losses);
}

void Leadership::Blame(const Ledger& ledger,
                       const Worker& worker,
                       Records& records) {
  if (IsEndedByUs(ledger, worker)) {
    return;
  }
  ++m_counters.crashes;
  const WorkerLink& link = m_links.at(worker.info.id);
  const bool is_widespread = IsRackLost(ledger, worker, link);
  while (!m_lost_lives.empty() &&
         Now() - m_lost_lives.front().when.lost_by > kLossMemory) {
    m_lost_lives.pop_front();
  }
  m_lost_lives.push_back({worker.info.rack, worker.info.host, WhenLost(link)});
  scheduling::WorkerCrashed crash;
  crash.worker = worker.info.id;
  crash.suspects = scheduling::JudgeCrash(LostRuns(worker), is_widespread);
  if (crash.suspects.empty()) {
    return;
  }
  TellSuspects(ledger, crash);
  records.emplace_back(std::move(crash));
}

void Leadership::TellSuspects(const Ledger& ledger,
                              const scheduling::WorkerCrashed& crash) {
  for (const CrashSuspect& suspect : crash.suspects) {
    const Job* job = ledger.FindJob(suspect.task.job);
    if (job == nullptr || job->is_over()) {
      continue;
    }
    const Task& task = job->tasks[job->IndexOf(suspect.task)];
    std::string workers;
    for (const std::string& worker : task.crashed) {
      workers += worker + ' ';
    }
    workers += crash.worker;
    const size_t crashes = task.crashed.size() + 1;
    const bool is_given_up = suspect.suspicion != Suspicion::kCleared &&
                             scheduling::IsGivenUp(crashes, suspect.suspicion);
    m_counters.given_up += is_given_up ? 1 : 0;
    DecisionLog::Get().Write(
        DecisionLine("dispatch", is_given_up ? "give-up" : "suspect",
                     is_given_up ? LineClass::kDecision : LineClass::kTask)
            .With("job", job->id)
            .With("task", FormatTaskId(suspect.task))
            .With("suspicion", SuspicionName(suspect.suspicion))
            .With("crashes", static_cast<uint64_t>(crashes))
            .With("workers_down", workers)
            .With("why", "workers went down under it"));
  }
}

// What ran on a worker to the end of its life, or of its lease.
void Leadership::TellLostRuns(const Worker& worker, const char* how) const {
  for (const auto& [key, track] : m_runs) {
    if (track.worker != worker.info.id || !worker.active.contains(key.task)) {
      continue;
    }
    DecisionLog::Get().Write(DecisionLine("dispatch", "end", LineClass::kTask)
                                 .With("task", FormatTaskId(key.task))
                                 .With("run", key.run)
                                 .With("worker", worker.info.id)
                                 .With("how", how)
                                 .With("seen_at_work_ms", track.SeenAtWork()));
  }
}

// Until all suspects there have been seen at work.
bool Leadership::IsQuarantined(const Ledger& ledger,
                               const Worker& worker) const {
  return std::any_of(
      worker.suspects.begin(), worker.suspects.end(),
      [&](const scheduling::TaskId& id) {
        const Job& job = *ledger.FindJob(id.job);
        const auto& active = job.tasks[job.IndexOf(id)].active;
        return std::any_of(active.begin(), active.end(), [&](const auto& run) {
          const auto track = m_runs.find({id, run.run});
          return run.worker == worker.info.id &&
                 (track == m_runs.end() ||
                  track->second.SeenAtWork() < scheduling::kSeenAtWork);
        });
      });
}

}  // namespace laurelhall::dispatch
