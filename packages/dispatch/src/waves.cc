#include <algorithm>
#include <iterator>

#include "laurelhall/base/decision_log.h"
#include "leadership_p.h"

namespace laurelhall::dispatch {

using scheduling::Job;
using scheduling::TaskId;
using scheduling::WaveStage;
using scheduling::Worker;

namespace {

constexpr Millis kActionRetry{300};
// Starts that were in flight when a host was chosen are committed after this.
constexpr Millis kSettleTime{80};
// A host that has been away for this many maintenance periods counts as done,
// or one lost host would stop its wave for good.
constexpr int kLostAfterPeriods = 3;
// How long short tasks may take to end before their host is taken down all the
// same; the longest common ones run for about 4 s.
constexpr Millis kMaxDrainTime{5'000};
// Hosts that are drained in addition to those that are down, so that the next
// one is empty when one comes back.
constexpr size_t kDrainedAhead = 1;
constexpr Millis kChoicePeriod{100};
// After this time without a place for its tasks, a persistent step is taken to
// have none: all hosts that it may use are being drained or are full.
constexpr Millis kNoPlaceTimeout{500};
// How long the maintenance of a host is deferred for such a task: long enough
// for the task to be seen running, and for those that wait for it to leave
// their hosts.
constexpr Millis kDeferralTime{3'000};
// Time that a host is unavailable in addition to the maintenance itself: it is
// drained before, and announces itself and is polled after.
constexpr Millis kMaintenanceOverhead{2'500};
// A wave is planned to finish this long before the end of its duration.
constexpr Millis kWaveReserve{4'000};
// Cost of one run on a host, in the unit of its pool's utilization (0 to 1).
constexpr double kRunCost = 0.02;
// Hosts with persistent tasks that may all leave at once are chosen early: such
// a task needs time to start up elsewhere.
constexpr double kPersistentCost = -0.5;
// Hosts that are off are chosen first.
constexpr double kOffCost = -1;
// A host that was off before its maintenance announces nothing after it. It
// counts as done after this many maintenance periods.
constexpr double kOffReturnPeriods = 1.3;

constexpr const char* kDrainGuardNames[] = {
    "none",        "settling",        "persistent-tasks-missed",
    "tasks-leave", "start-under-way", "most-at-once"};
static_assert(std::size(kDrainGuardNames) ==
              static_cast<size_t>(DrainGuard::kCount));

}  // namespace

WorkerIncarnation IncarnationOf(const Worker* worker) {
  return worker == nullptr ? WorkerIncarnation()
                           : WorkerIncarnation{worker->info.id, worker->born};
}

void RepeatedHostOrder::BeginTry(const Worker* worker, SteadyTime now) {
  if (!may_be_carried_out) {
    incarnation_before = IncarnationOf(worker);
    acted_at = now;
  }
  is_act_under_way = true;
}

void RepeatedHostOrder::EndTry(HostActOutcome outcome, SteadyTime next) {
  is_act_under_way = false;
  next_try = next;
  may_be_carried_out =
      may_be_carried_out || outcome == HostActOutcome::kUnknown;
}

const Worker* Leadership::WorkerOn(const Ledger& ledger,
                                   const std::string& host) const {
  const auto& workers = ledger.WorkersOn(host);
  return workers.empty() ? nullptr : ledger.FindWorker(*workers.begin());
}

void Leadership::AdvanceWaves(const Ledger& ledger, Records& records) {
  const bool is_choice_due = Now() >= m_next_host_choice;
  if (is_choice_due) {
    m_next_host_choice = Now() + kChoicePeriod;
  }
  for (const auto& [number, wave] : ledger.waves()) {
    if (wave.is_done()) {
      continue;
    }
    AdoptOrderedHosts(wave);
    if (is_choice_due) {
      ChooseHosts(ledger, wave);
    }
    WaveProgress progress = ProgressOf(wave);
    for (const std::string& host : progress.tracked) {
      AdvanceHost(ledger, wave, host, progress.down, records);
    }
  }
  for (auto track = m_hosts.begin(); track != m_hosts.end();) {
    const auto wave = ledger.waves().find(track->second.wave);
    const bool is_over =
        wave == ledger.waves().end() ||
        wave->second.hosts.at(track->first) == WaveStage::kDone;
    track = is_over ? m_hosts.erase(track) : std::next(track);
  }
}

// How many hosts must be under maintenance at once for the wave to end in time,
// plus one. No more than that, as each host away is capacity that callers lack.
size_t Leadership::HostsAtOnce(const scheduling::WaveState& wave) const {
  const auto elapsed = std::max(
      Millis(0),
      std::chrono::duration_cast<Millis>(m_init.wall_now() - wave.opened.at));
  const Millis left =
      std::max(Millis(1), wave.opened.duration - elapsed - kWaveReserve);
  const auto hosts = static_cast<int64_t>(wave.hosts_left);
  const Millis each = m_init.bounds.maintenance + kMaintenanceOverhead;
  const int64_t wanted = 1 + hosts * each.count() / left.count();
  return static_cast<size_t>(
      std::min<int64_t>(wanted, wave.opened.most_at_once));
}

// Hosts that may be down are all for which maintenance was ordered, by any
// leader and with any outcome, and which are not known to be back.
Leadership::WaveProgress Leadership::ProgressOf(
    const scheduling::WaveState& wave) {
  WaveProgress progress;
  progress.down = wave.ordered.size();
  for (const auto& [host, track] : m_hosts) {
    ++m_counters.wave_host_visits;
    if (track.wave == wave.opened.wave) {
      progress.tracked.push_back(host);
    }
    const auto stage = wave.hosts.find(host);
    const bool is_counted =
        stage == wave.hosts.end() || stage->second == WaveStage::kOrdered;
    progress.down += track.is_act_under_way && !is_counted ? 1 : 0;
  }
  return progress;
}

HostMaintenance& Leadership::TrackHost(const scheduling::WaveState& wave,
                                       const std::string& host) {
  HostMaintenance& track = m_hosts[host];
  track.wave = wave.opened.wave;
  track.chosen_at = Now();
  track.next_try = Now();
  return track;
}

// Takes over the hosts of a wave that an earlier leader ordered, as it isn't
// known whether that order was carried out.
void Leadership::AdoptOrderedHosts(const scheduling::WaveState& wave) {
  for (const std::string& host : wave.ordered) {
    ++m_counters.wave_host_visits;
    if (!m_hosts.contains(host)) {
      HostMaintenance& adopted = TrackHost(wave, host);
      // Whom that order meant is not known: what runs there now may have come
      // after it.
      adopted.may_be_carried_out = true;
    }
  }
}

// The part of each pool's cores that is in use.
std::map<std::string, double> Leadership::PoolUtilizations() const {
  std::map<std::string, std::pair<double, double>> pools;  // Millicores, used.
  for (const auto& [id, link] : m_links) {
    const Worker& worker = *link.worker;
    auto& [total, used] = pools[worker.info.service];
    total += static_cast<double>(worker.info.capacity.millicores);
    used += static_cast<double>(worker.used.millicores);
  }
  std::map<std::string, double> utilizations;
  for (const auto& [service, pool] : pools) {
    utilizations[service] = pool.second / std::max(1.0, pool.first);
  }
  return utilizations;
}

// Adds the limited persistent tasks that run on a host to a wave's load.
void Leadership::AddPersistentTasks(const Ledger& ledger,
                                    const std::set<std::string>& workers,
                                    scheduling::WaveHost& host,
                                    scheduling::WaveLoad& load) const {
  for (const std::string& life : workers) {
    const Worker& worker = *m_links.at(life).worker;
    if (worker.persistent_runs == 0) {
      continue;
    }
    for (const TaskId& task : worker.active) {
      const auto& step = ledger.FindJob(task.job)->spec.steps[task.step];
      if (step.is_persistent && step.may_miss > 0) {
        host.steps.push_back({task.job, task.occurrence, task.step, 0});
        load.may_miss[host.steps.back()] = step.may_miss;
      }
    }
  }
}

scheduling::WaveLoad Leadership::LoadOf(const Ledger& ledger,
                                        const scheduling::WaveState& wave) {
  const std::map<std::string, double> utilizations = PoolUtilizations();
  scheduling::WaveLoad load;
  // All three are in the order of hosts.
  HostCursor<HostMaintenance> maintained(m_hosts);
  HostCursor<HostMove> moved(m_moves);
  for (const auto& [name, stage] : wave.hosts) {
    if (stage == WaveStage::kDone) {
      continue;
    }
    const HostMaintenance* track = maintained.Find(name);
    const bool is_chosen = track != nullptr && track->wave == wave.opened.wave;
    const bool is_waiting = stage == WaveStage::kWaiting && track == nullptr &&
                            moved.Find(name) == nullptr &&
                            !IsMaintenanceDeferred(name);
    if (!is_chosen && !is_waiting) {
      continue;
    }
    const std::set<std::string>& workers = ledger.WorkersOn(name);
    scheduling::WaveHost host{name, is_chosen, kOffCost, {}};
    host.is_blocked = is_chosen && track->is_blocked;
    AddPersistentTasks(ledger, workers, host, load);
    if (!workers.empty()) {
      const Worker& worker = *m_links.at(*workers.begin()).worker;
      const bool may_leave = worker.persistent_runs > 0 && host.steps.empty();
      host.cost =
          may_leave ? kPersistentCost
                    : utilizations.at(worker.info.service) +
                          kRunCost * static_cast<double>(worker.active.size());
    }
    load.hosts.push_back(std::move(host));
  }
  return load;
}

// Chooses the hosts to drain next. Of those without persistent tasks, hosts
// that are off come first, then by the utilization of their pool and the number
// of their runs, lowest first.
void Leadership::ChooseHosts(const Ledger& ledger,
                             const scheduling::WaveState& wave) {
  const size_t at_once = HostsAtOnce(wave);
  scheduling::WaveLoad load = LoadOf(ledger, wave);
  load.limit = at_once + kDrainedAhead;
  for (const std::string& host : scheduling::HostsToDrain(load)) {
    TrackHost(wave, host);
    DecisionLog::Get().Write(
        DecisionLine("wave", "host-chosen")
            .With("wave", wave.opened.wave)
            .With("host", host)
            .With("at_once", static_cast<int64_t>(at_once)));
  }
}

// Whether other tasks of a task's step have no run. The task may not leave
// before they run, and they may be waiting for its host.
bool Leadership::WaitsForUnplacedTasks(const Ledger& ledger,
                                       const TaskId& task) {
  const Job& job = *ledger.FindJob(task.job);
  const size_t first = job.IndexOf({task.job, task.occurrence, task.step, 0});
  const uint32_t count = job.spec.steps[task.step].count;
  return std::any_of(job.tasks.begin() + static_cast<ptrdiff_t>(first),
                     job.tasks.begin() + static_cast<ptrdiff_t>(first + count),
                     [](const auto& other) {
                       return other.active.empty() && !other.is_given_up;
                     });
}

bool Leadership::IsMaintenanceDeferred(const std::string& host) const {
  return std::any_of(
      m_deferred_hosts.begin(), m_deferred_hosts.end(), [&](const auto& entry) {
        return entry.second.host == host && Now() < entry.second.until;
      });
}

// Defers the maintenance of a host that is being drained, so that its service
// may use it again; one host of a service at a time. Without this, a wave over
// all hosts of a service would leave a task that has left its host without a
// place, and the other tasks of its step would not be allowed to leave theirs.
bool Leadership::DeferMaintenance(const std::string& host,
                                  const Worker& worker) {
  DeferredHost& deferred_host = m_deferred_hosts[worker.info.service];
  if (Now() < deferred_host.until) {
    return false;
  }
  deferred_host = {host, Now() + kDeferralTime};
  DecisionLog::Get().Write(
      DecisionLine("wave", "host-spared")
          .With("host", host)
          .With("service", worker.info.service)
          .With("why", "a persistent task finds no other place"));
  return true;
}

// Whether a wave will take a host down later. A persistent task placed there
// would have to move again.
bool Leadership::IsDueForMaintenance(const Ledger& ledger,
                                     const std::string& host) {
  return std::any_of(
      ledger.waves().begin(), ledger.waves().end(), [&host](const auto& entry) {
        const auto& hosts = entry.second.hosts;
        const auto found = hosts.find(host);
        return found != hosts.end() && found->second == WaveStage::kWaiting;
      });
}

// Stops the persistent tasks on a host as far as their steps may miss them, and
// returns what all incarnations of its worker still run.
Leadership::HostWorkload Leadership::DrainHost(const Ledger& ledger,
                                               const std::string& host) {
  HostWorkload use;
  for (const std::string& life : ledger.WorkersOn(host)) {
    for (const TaskId& id : ledger.FindWorker(life)->active) {
      const Job& job = *ledger.FindJob(id.job);
      use.is_empty = false;
      if (!job.spec.steps[id.step].is_persistent) {
        continue;
      }
      // Includes tasks that are being stopped: until their end is reported they
      // may be running.
      use.has_persistent = true;
      for (const auto& active : job.tasks[job.IndexOf(id)].active) {
        const auto run = m_runs.find(RunRef{id, active.run});
        if (active.worker != life || run == m_runs.end() ||
            run->second.is_stop_requested) {
          continue;
        }
        if (MayStopTask(ledger, id)) {
          RequestStop(run->first, run->second, StopReason::kMaintenance,
                      OthersUnavailable(ledger, id));
        } else {
          use.kept_task = id;
          use.is_leave_blocked =
              use.is_leave_blocked || WaitsForUnplacedTasks(ledger, id);
        }
      }
    }
  }
  return use;
}

// What keeps a host that is being drained from being taken down.
DrainGuard Leadership::DrainGuardOf(const scheduling::WaveState& wave,
                                    const std::string& host,
                                    const Worker* worker,
                                    const HostMaintenance& track,
                                    const HostWorkload& use,
                                    size_t hosts_down) const {
  const auto drained_for = Now() - track.chosen_at;
  if (drained_for <= kSettleTime) {
    return DrainGuard::kSettling;
  }
  if (worker != nullptr && m_planner.HasReservationOn(worker->info.id)) {
    return DrainGuard::kStartUnderWay;
  }
  // Short tasks may be cut off in the end. Persistent tasks never are: each is
  // stopped on its own, when enough tasks of its step are running.
  const bool may_cut_off = drained_for > kMaxDrainTime && !use.has_persistent;
  if (!use.is_empty && !may_cut_off) {
    return use.kept_task ? DrainGuard::kTasksMissed : DrainGuard::kTasksLeave;
  }
  const size_t others_down = hosts_down - wave.ordered.count(host);
  return others_down >= wave.opened.most_at_once ? DrainGuard::kMostAtOnce
                                                 : DrainGuard::kNone;
}

// Logs once what a host waits for that has been drained for longer than its
// short tasks may take.
void Leadership::LogBlockedDrain(const scheduling::WaveState& wave,
                                 const std::string& host,
                                 HostMaintenance& track,
                                 const HostWorkload& use,
                                 DrainGuard guard) const {
  const auto drained_for = Now() - track.chosen_at;
  if (track.is_blocked || drained_for <= kMaxDrainTime) {
    return;
  }
  track.is_blocked = true;
  DecisionLine line("wave", "host-blocked");
  line.With("wave", wave.opened.wave)
      .With("host", host)
      .With("drained_ms", std::chrono::floor<Millis>(drained_for))
      .With("why", kDrainGuardNames[static_cast<size_t>(guard)]);
  if (use.kept_task) {
    line.With("task", FormatTaskId(*use.kept_task));
  }
  DecisionLog::Get().Write(line);
}

void Leadership::AdvanceHost(const Ledger& ledger,
                             const scheduling::WaveState& wave,
                             const std::string& host,
                             size_t& hosts_down,
                             Records& records) {
  HostMaintenance& track = m_hosts.at(host);
  const SteadyTime now = Now();
  const Worker* worker = WorkerOn(ledger, host);
  if (track.down_since != SteadyTime()) {
    const auto away = now - track.down_since;
    // An incarnation from before the maintenance may announce itself late, so
    // only one that is there after the maintenance period counts as new.
    const bool is_back = worker != nullptr &&
                         !track.incarnation_before.IsSame(*worker) &&
                         away >= m_init.bounds.maintenance;
    const bool is_off_host_back =
        track.incarnation_before.id.empty() &&
        away > std::chrono::duration_cast<Millis>(m_init.bounds.maintenance *
                                                  kOffReturnPeriods);
    const bool is_lost = away > kLostAfterPeriods * m_init.bounds.maintenance;
    if (is_back || is_off_host_back || is_lost) {
      records.emplace_back(scheduling::WaveHostStageSet{wave.opened.wave, host,
                                                        WaveStage::kDone});
    }
    return;
  }
  if (track.is_act_under_way || now < track.next_try) {
    return;
  }
  const HostWorkload use = DrainHost(ledger, host);
  if (!use.is_leave_blocked) {
    track.blocked_since = SteadyTime();
  } else if (track.blocked_since == SteadyTime()) {
    track.blocked_since = now;
  }
  if (use.is_leave_blocked && now - track.blocked_since > kNoPlaceTimeout &&
      DeferMaintenance(host, *worker)) {
    m_hosts.erase(host);
    PlanSoon();
    return;
  }
  const DrainGuard guard =
      DrainGuardOf(wave, host, worker, track, use, hosts_down);
  if (guard != DrainGuard::kNone) {
    LogBlockedDrain(wave, host, track, use, guard);
    return;
  }
  track.BeginTry(worker, now);
  if (wave.hosts.at(host) == WaveStage::kOrdered) {
    Maintain(wave.opened.wave, host);
    return;
  }
  ++hosts_down;
  // Committed first, so that the next leader counts the host as down.
  Commit({scheduling::WaveHostStageSet{wave.opened.wave, host,
                                       WaveStage::kOrdered}},
         [this, number = wave.opened.wave,
          host](scheduling::CommitOutcome outcome) {
           if (outcome == scheduling::CommitOutcome::kCommitted) {
             Maintain(number, host);
           } else if (m_hosts.contains(host)) {
             m_hosts[host].is_act_under_way = false;
           }
         });
}

HostAct Leadership::MakeHostAct(const std::string& host) {
  HostAct act;
  act.host = host;
  act.holder = m_init.name;
  act.fence = m_term;
  act.may_send = [weak = weak_from_this()] {
    const auto self = weak.lock();
    return self != nullptr && self->HoldsLeaderLease();
  };
  return act;
}

void Leadership::Maintain(uint64_t wave, const std::string& host) {
  HostAct act = MakeHostAct(host);
  act.wave = wave;
  RunUnderLeaderLease([this, act = std::move(act)] {
    m_init.hosts->Maintain(act, [weak = weak_from_this(), wave = act.wave,
                                 host = act.host](HostActOutcome outcome) {
      if (const auto self = weak.lock()) {
        self->OnMaintained(wave, host, outcome);
      }
    });
  });
}

void Leadership::OnMaintained(uint64_t wave,
                              const std::string& host,
                              HostActOutcome outcome) {
  DecisionLog::Get().Write(DecisionLine("wave", "maintain")
                               .With("wave", wave)
                               .With("host", host)
                               .With("fence", m_term)
                               .With("outcome", HostActOutcomeName(outcome)));
  const auto found = m_hosts.find(host);
  if (found == m_hosts.end()) {
    return;
  }
  HostMaintenance& track = found->second;
  track.EndTry(outcome, Now() + kActionRetry);
  if (outcome == HostActOutcome::kDone) {
    track.down_since = Now();
    // Taking the host down ended the incarnation of its worker.
    EndIncarnation(track.incarnation_before,
                   scheduling::WorkerEndCause::kMaintained,
                   "its host is maintained");
  } else if (outcome == HostActOutcome::kRefused) {
    // The host no longer exists, so there is nothing to maintain.
    Commit({scheduling::WaveHostStageSet{wave, host, WaveStage::kDone}},
           [this](scheduling::CommitOutcome) { PlanSoon(); });
  }
}

}  // namespace laurelhall::dispatch
