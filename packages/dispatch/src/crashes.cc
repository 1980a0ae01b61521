#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "laurelhall/base/decision_log.h"
#include "leadership_p.h"

namespace laurelhall::dispatch {

using scheduling::CrashSuspect;
using scheduling::Job;
using scheduling::LossScope;
using scheduling::LossTime;
using scheduling::LostRun;
using scheduling::Suspicion;
using scheduling::Task;
using scheduling::Worker;

namespace {

// For this time a lost worker is considered when the next losses are judged.
constexpr Millis kLossRetention{15'000};
// Workers whose loss is noticed within this time of each other count as lost
// together.
constexpr Millis kSimultaneousLoss{60};
// Other workers lost together with one, for LossScope::kSeveral.
constexpr size_t kMinOthersLostTogether = 2;

}  // namespace

// Visits the tracked runs that are active on a worker. They are found by the
// worker's tasks in the ledger: most workers that end have none, and a search
// of all runs for each host that moves would cost hosts times runs.
template <typename Visitor>
void Leadership::VisitRuns(const Ledger& ledger,
                           const Worker& worker,
                           Visitor visit) const {
  for (const scheduling::TaskId& id : worker.active) {
    const Job& job = *ledger.FindJob(id.job);
    for (const auto& active : job.tasks[job.IndexOf(id)].active) {
      const auto run = m_runs.find(RunRef{id, active.run});
      if (active.worker == worker.info.id && run != m_runs.end() &&
          run->second.worker == worker.info.id) {
        visit(run->first, run->second);
      }
    }
  }
}

// Adds the records that end a worker's incarnation: first the crash with its
// suspected tasks, then the end itself.
void Leadership::EndWorker(const Ledger& ledger,
                           const Worker& worker,
                           scheduling::WorkerEndCause cause,
                           const char* why,
                           Records& records,
                           const std::string& new_life) {
  WorkerLink& link = m_links.at(worker.info.id);
  link.is_removal_under_way = true;
  DecisionLine line("dispatch", "worker-gone");
  line.With("worker", worker.info.id).With("why", why);
  if (!new_life.empty()) {
    line.With("new_life", new_life);
  }
  line.With("runs", static_cast<uint64_t>(worker.active.size()));
  AddAcknowledgement(link, line);
  DecisionLog::Get().Write(line);
  LogLostRuns(ledger, worker, "worker-gone");
  RecordCrash(ledger, worker, LostRuns(ledger, worker),
              link.is_reached ? std::optional(LossTimeOf(link)) : std::nullopt,
              records);
  records.emplace_back(
      scheduling::WorkerEnded{worker.info.id, link.born, cause});
}

// Adds when ends were last acknowledged to an incarnation, and up to which
// number. After a restart, this shows whether the number may have reached the
// next incarnation.
void Leadership::AddAcknowledgement(const WorkerLink& link,
                                    DecisionLine& line) const {
  if (link.acknowledged_at != SteadyTime()) {
    line.With("acknowledged", link.acknowledged)
        .With("acknowledged_ms_ago",
              std::chrono::floor<Millis>(Now() - link.acknowledged_at));
  }
}

// Replaces the link of a worker that has restarted. Its clock, its lease and
// the ends acknowledged to it belong to one incarnation. Orders to the new one
// have a higher fence, so that no order meant for the previous incarnation is
// carried out after the first of them.
void Leadership::BeginIncarnation(const Ledger& ledger,
                                  const std::string& worker,
                                  WorkerLink& link,
                                  WallTime born) {
  const Worker* known = ledger.FindWorker(worker);
  DecisionLine line("dispatch", "worker-reborn");
  line.With("worker", worker)
      .With("born_ms", born.time_since_epoch().count())
      .With("before_ms", link.born.time_since_epoch().count())
      .With("ends_seen", link.ends_seen)
      .With("runs", known == nullptr
                        ? uint64_t{0}
                        : static_cast<uint64_t>(known->active.size()));
  AddAcknowledgement(link, line);
  DecisionLog::Get().Write(line);
  WorkerLink next(m_init.bounds.longest_lease, Now());
  next.address = link.address;
  next.slot = link.slot;
  next.worker = link.worker;
  next.born = born;
  next.number = link.number + 1;
  next.fence_number = link.fence_number + 1;
  next.last_announced = Now();
  next.is_lapse_under_way = link.is_lapse_under_way;
  next.is_restart_unassessed = true;
  if (link.is_reached) {
    next.previous_loss = LossTimeOf(link);
  }
  if (known != nullptr) {
    next.lapsed_runs = LostRuns(ledger, *known);
  }
  for (auto& [key, track] : m_runs) {
    if (track.worker == worker) {
      track.start = StartStage::kSettled;
      track.settled_at = Now();
      track.has_unanswered_start = false;
      track.is_stop_in_flight = false;
      track.is_stop_acknowledged = false;
      m_runs_to_order.insert(key);
    }
  }
  m_init.workers->Forget(link.address);
  link = std::move(next);
  m_checks.CheckSoon(link.slot);
}

// Runs of the previous incarnation that the new one does not list were lost
// with it. Their crash is recorded once, with the first list of the new
// incarnation.
void Leadership::RecordPreviousCrash(const Ledger& ledger,
                                     const Worker& worker,
                                     const HoldReply& reply,
                                     Records& records) {
  WorkerLink& link = m_links.at(worker.info.id);
  const bool is_seen = std::exchange(link.is_restart_unassessed, false);
  if (!is_seen && !worker.is_restart_unassessed) {
    return;
  }
  std::vector<LostRun> lost = is_seen ? std::exchange(link.lapsed_runs, {})
                                      : OutlivedRuns(ledger, worker);
  std::erase_if(lost, [&reply](const LostRun& run) {
    const auto is_same_task = [&run](const auto& row) {
      return row.task == run.task;
    };
    return std::any_of(reply.running.begin(), reply.running.end(),
                       is_same_task) ||
           std::any_of(reply.ended.begin(), reply.ended.end(), is_same_task);
  });
  RecordCrash(ledger, worker, lost, link.previous_loss, records);
}

// Runs lost in a restart that an earlier leader saw, but whose crash it did not
// record.
std::vector<LostRun> Leadership::OutlivedRuns(const Ledger& ledger,
                                              const Worker& worker) {
  std::vector<LostRun> runs;
  runs.reserve(worker.active.size() + worker.lapsed.size());
  for (const scheduling::TaskId& id : worker.active) {
    const Job& job = *ledger.FindJob(id.job);
    const auto& active = job.tasks[job.IndexOf(id)].active;
    const bool is_of_earlier_incarnation =
        std::any_of(active.begin(), active.end(), [&](const auto& run) {
          return run.is_of_earlier_incarnation && run.worker == worker.info.id;
        });
    if (is_of_earlier_incarnation) {
      runs.push_back({id});
    }
  }
  for (const scheduling::TaskId& id : worker.lapsed) {
    runs.push_back({id});
  }
  return runs;
}

// Whether this leader's maintenance or move took the worker's host down before
// the worker was found lost.
bool Leadership::IsPlannedShutdown(const Worker& worker) const {
  const SteadyTime lost_at = m_links.at(worker.info.id).lost_at;
  const auto is_ended_by = [&](const WorkerIncarnation& life,
                               SteadyTime acted_at) {
    return acted_at != SteadyTime() && life.IsSame(worker) &&
           (lost_at == SteadyTime() || lost_at >= acted_at);
  };
  const auto maintained = m_hosts.find(worker.info.host);
  const auto moved = m_moves.find(worker.info.host);
  return (maintained != m_hosts.end() &&
          is_ended_by(maintained->second.incarnation_before,
                      maintained->second.acted_at)) ||
         (moved != m_moves.end() &&
          is_ended_by(moved->second.incarnation_before,
                      moved->second.acted_at));
}

// Whether the worker announced that it is draining, or its host now serves
// another service, whoever moved it. The worker may still have crashed before.
bool Leadership::MayHaveLeft(const Ledger& ledger, const Worker& worker) const {
  const auto& lives = ledger.WorkersOn(worker.info.host);
  return worker.info.is_draining ||
         std::any_of(lives.begin(), lives.end(), [&](const std::string& life) {
           return ledger.FindWorker(life)->info.service != worker.info.service;
         });
}

std::vector<CrashSuspect> Leadership::ClassifySuspects(
    const Ledger& ledger,
    const Worker& worker,
    const std::vector<LostRun>& runs,
    LossScope scope) const {
  const bool is_planned = IsPlannedShutdown(worker);
  const bool may_have_left = MayHaveLeft(ledger, worker);
  std::vector<LostRun> open;
  std::vector<CrashSuspect> suspects;
  for (const LostRun& run : runs) {
    const bool is_at_work =
        run.observed_run_time >= scheduling::kMinObservedRunTime;
    if (!run.may_have_started || is_planned || (may_have_left && is_at_work)) {
      suspects.push_back({run.task, Suspicion::kExcused});
    } else {
      open.push_back(run);
    }
  }
  const auto judged = scheduling::AssessCrash(open, scope);
  suspects.insert(suspects.end(), judged.begin(), judged.end());
  return suspects;
}

// Records that listed runs have worked for long, so that the next leader knows
// it too. Only persistent runs, which run beside others all day, and runs of
// tasks with crashes need it.
void Leadership::AddProvenRuns(const ListedRuns& listed, Records& records) {
  for (const ListedRun& run : listed) {
    const bool is_due = run.track != nullptr && !run.track->is_proof_pending &&
                        run.track->SeenAtWork() >= scheduling::kProvenRunTime &&
                        (run.step->is_persistent || !run.task->crashed.empty());
    if (is_due) {
      run.track->is_proof_pending = true;
      records.emplace_back(scheduling::RunProven{run.row->task, run.row->run});
    }
  }
}

// The runs active on the worker, and those whose lease expired there before.
std::vector<LostRun> Leadership::LostRuns(const Ledger& ledger,
                                          const Worker& worker) const {
  const WorkerLink& link = m_links.at(worker.info.id);
  const LossTime loss = LossTimeOf(link);
  std::vector<LostRun> runs = link.lapsed_runs;
  if (runs.empty() && !link.is_reached) {
    // They lapsed under an earlier leader, so nothing more is known of them
    // here.
    for (const scheduling::TaskId& task : worker.lapsed) {
      runs.push_back({task});
    }
  }
  VisitRuns(ledger, worker, [&](const RunKey& key, const RunTrack& track) {
    const bool is_in_runs =
        std::any_of(runs.begin(), runs.end(),
                    [&key](const auto& run) { return run.task == key.task; });
    if (is_in_runs) {
      return;
    }
    const bool may_have_started =
        track.start != StartStage::kRetry || track.has_unanswered_start;
    const bool is_own_start = track.begun_at != SteadyTime();
    LostRun& run = runs.emplace_back();
    run.task = key.task;
    run.may_have_started = may_have_started;
    run.observed_run_time =
        std::max(track.SeenAtWork(), MinRunTime(link, track));
    run.max_time_since_start =
        is_own_start
            ? std::chrono::floor<Millis>(loss.lost_before - track.begun_at)
            : Millis::max();
    run.has_started = track.work_since != SteadyTime();
    const Job& job = *ledger.FindJob(key.task.job);
    run.is_persistent = job.spec.steps[key.task.step].is_persistent;
    run.is_in_gang = job.spec.steps[key.task.step].is_gang;
    const SteadyTime expected_end =
        track.work_since + m_planner.EstimatedRunTime(job, key.task.step);
    run.may_have_ended = run.has_started && !run.is_persistent &&
                         expected_end > loss.alive_until &&
                         expected_end <= loss.lost_before;
    const auto& active = job.tasks[job.IndexOf(key.task)].active;
    run.is_proven =
        std::any_of(active.begin(), active.end(), [&key](const auto& each) {
          return each.run == key.run && each.is_proven;
        });
  });
  return runs;
}

LossTime Leadership::LossTimeOf(const WorkerLink& link) const {
  const bool is_noticed = link.lost_at != SteadyTime();
  return {link.last_contact, is_noticed ? link.lost_at : Now()};
}

// Determines what else was lost with a worker. Counts the hosts lost within
// kLossRetention and those that are silent now, even if another incarnation
// answers there since.
LossScope Leadership::LossScopeOf(const Ledger& ledger,
                                  const Worker& worker,
                                  const std::optional<LossTime>& loss) const {
  if (!loss) {
    return LossScope::kUnknown;
  }
  const LossTime& own_loss = *loss;
  const std::string& rack = worker.info.rack;
  std::map<std::string, LossTime> lost_hosts{{worker.info.host, own_loss}};
  size_t together = 0;
  const auto add = [&](const std::string& other_rack, const std::string& host,
                       const LossTime& other_loss) {
    if (host == worker.info.host) {
      return;
    }
    const auto apart = other_loss.lost_before - own_loss.lost_before;
    together += std::chrono::abs(apart) <= kSimultaneousLoss ? 1 : 0;
    if (other_rack == rack) {
      lost_hosts.emplace(host, other_loss);
    }
  };
  for (const LostWorker& lost : m_lost_workers) {
    add(lost.rack, lost.host, lost.loss);
  }
  for (const auto& [id, other] : ledger.workers()) {
    const WorkerLink& other_link = m_links.at(id);
    if (other_link.is_silent && !other_link.is_removal_under_way) {
      add(other.info.rack, other.info.host, LossTimeOf(other_link));
    }
  }
  const bool is_rack_whole = std::all_of(
      ledger.workers().begin(), ledger.workers().end(), [&](const auto& entry) {
        const scheduling::WorkerInfo& info = entry.second.info;
        return info.rack != rack || lost_hosts.contains(info.host);
      });
  std::vector<LossTime> of_rack;
  of_rack.reserve(lost_hosts.size());
  for (const auto& [host, other_loss] : lost_hosts) {
    of_rack.push_back(other_loss);
  }
  if (!rack.empty() && of_rack.size() > 1 && is_rack_whole &&
      scheduling::MayBeSimultaneous(of_rack)) {
    return LossScope::kRack;
  }
  return together >= kMinOthersLostTogether ? LossScope::kSeveral
                                            : LossScope::kWorker;
}

void Leadership::RecordCrash(const Ledger& ledger,
                             const Worker& worker,
                             const std::vector<LostRun>& runs,
                             const std::optional<LossTime>& loss,
                             Records& records) {
  scheduling::WorkerCrashed crash;
  crash.worker = worker.info.id;
  if (IsPlannedShutdown(worker)) {
    crash.suspects =
        ClassifySuspects(ledger, worker, runs, LossScope::kUnknown);
    records.emplace_back(std::move(crash));
    return;
  }
  ++m_counters.crashes;
  const LossScope scope = LossScopeOf(ledger, worker, loss);
  while (!m_lost_workers.empty() &&
         Now() - m_lost_workers.front().loss.lost_before > kLossRetention) {
    m_lost_workers.pop_front();
  }
  if (loss) {
    m_lost_workers.push_back({worker.info.rack, worker.info.host, *loss});
  }
  crash.suspects = ClassifySuspects(ledger, worker, runs, scope);
  DecisionLog::Get().Write(
      DecisionLine("dispatch", "worker-crashed")
          .With("worker", crash.worker)
          .With("lost_with_it", LossScopeName(scope))
          .With("runs", static_cast<uint64_t>(crash.suspects.size())));
  LogSuspects(ledger, crash);
  records.emplace_back(std::move(crash));
}

void Leadership::LogSuspects(const Ledger& ledger,
                             const scheduling::WorkerCrashed& crash) {
  for (const CrashSuspect& suspect : crash.suspects) {
    const Job* job = ledger.FindJob(suspect.task.job);
    if (job == nullptr || job->is_over() ||
        suspect.suspicion == Suspicion::kExcused) {
      continue;
    }
    const Task& task = job->tasks[job->IndexOf(suspect.task)];
    std::string workers;
    for (const std::string& worker : task.crashed) {
      workers += worker + ' ';
    }
    workers += crash.worker;
    const size_t crashes = task.crashed.size() + 1;
    const uint32_t blame =
        task.blame + scheduling::BlameScore(suspect.suspicion);
    const bool is_given_up =
        suspect.suspicion != Suspicion::kCleared &&
        scheduling::ShouldGiveUp(
            crashes, blame, suspect.suspicion,
            job->spec.steps[suspect.task.step].is_persistent);
    m_counters.given_up += is_given_up ? 1 : 0;
    DecisionLog::Get().Write(
        DecisionLine("dispatch", is_given_up ? "give-up" : "suspect",
                     is_given_up ? LineClass::kDecision : LineClass::kTask)
            .With("job", job->id)
            .With("task", FormatTaskId(suspect.task))
            .With("gives_up", job->has_persistent_tasks() ? "task" : "job")
            .With("suspicion", SuspicionName(suspect.suspicion))
            .With("crashes", static_cast<uint64_t>(crashes))
            .With("workers_down", workers)
            .With("why", "workers went down under it"));
  }
}

// Logs the runs that end with a worker's incarnation or lease.
void Leadership::LogLostRuns(const Ledger& ledger,
                             const Worker& worker,
                             const char* how) const {
  VisitRuns(ledger, worker, [&](const RunKey& key, const RunTrack& track) {
    DecisionLog::Get().Write(DecisionLine("dispatch", "end", LineClass::kTask)
                                 .With("task", FormatTaskId(key.task))
                                 .With("run", key.run)
                                 .With("worker", worker.info.id)
                                 .With("how", how)
                                 .With("seen_at_work_ms", track.SeenAtWork()));
  });
}

// The time that a run has lasted at least. Workers report an end at once, so a
// run without a reported end was still running at the worker's last contact.
Millis Leadership::MinRunTime(const WorkerLink& link, const RunTrack& track) {
  const bool has_started = track.work_since != SteadyTime();
  return has_started
             ? std::max(Millis(0), std::chrono::floor<Millis>(
                                       link.last_contact - track.work_since))
             : Millis(0);
}

// A hold call stays open for up to seconds. While it is open, the worker has
// not crashed, so runs that started before still run.
bool Leadership::IsSeenAtWork(const Ledger& ledger,
                              const Worker& worker,
                              const scheduling::TaskId& id) const {
  const WorkerLink& link = m_links.at(worker.info.id);
  const bool is_healthy = !link.is_silent && link.lost_at == SteadyTime();
  const auto is_at_work = [&](const RunTrack& track) {
    const bool has_lasted =
        track.work_since != SteadyTime() &&
        Now() - track.work_since >= scheduling::kMinObservedRunTime;
    return track.SeenAtWork() >= scheduling::kMinObservedRunTime ||
           (is_healthy && has_lasted);
  };
  const Job& job = *ledger.FindJob(id.job);
  const auto& active = job.tasks[job.IndexOf(id)].active;
  return std::all_of(active.begin(), active.end(), [&](const auto& run) {
    const auto track = m_runs.find(RunRef{id, run.run});
    return run.worker != worker.info.id ||
           (track != m_runs.end() && is_at_work(track->second));
  });
}

// Whether other tasks are kept off a worker: until all suspects there have been
// seen at work, and isolated tasks that are not persistent have ended.
bool Leadership::IsQuarantined(const Ledger& ledger,
                               const Worker& worker) const {
  return std::any_of(worker.suspects.begin(), worker.suspects.end(),
                     [&](const scheduling::TaskId& id) {
                       const Job& job = *ledger.FindJob(id.job);
                       const size_t index = job.IndexOf(id);
                       const bool is_isolated =
                           job.IsIsolated(index) &&
                           !job.StepOf(index).is_persistent;
                       return is_isolated || !IsSeenAtWork(ledger, worker, id);
                     });
}

// Called only for workers with nothing but suspects and persistent runs.
bool Leadership::AreRunsSeenAtWork(const Ledger& ledger,
                                   const Worker& worker) const {
  return std::all_of(worker.active.begin(), worker.active.end(),
                     [&](const scheduling::TaskId& id) {
                       return IsSeenAtWork(ledger, worker, id);
                     });
}

}  // namespace laurelhall::dispatch
