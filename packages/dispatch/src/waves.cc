#include <algorithm>

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
// Hosts with persistent tasks are chosen before the others: only a few tasks of
// a step may leave at a time, which takes most of a wave if it begins late.
constexpr double kPersistentCost = -0.5;
// Hosts that are off are chosen first.
constexpr double kOffCost = -1;
// A host that was off before its maintenance announces nothing after it. It
// counts as done after this many maintenance periods.
constexpr double kOffReturnPeriods = 1.3;

}  // namespace

WorkerIncarnation IncarnationOf(const Worker* worker) {
  return worker == nullptr ? WorkerIncarnation()
                           : WorkerIncarnation{worker->info.id, worker->born};
}

const Worker* Leadership::WorkerOn(const Ledger& ledger,
                                   const std::string& host) const {
  const auto& workers = ledger.WorkersOn(host);
  return workers.empty() ? nullptr : ledger.FindWorker(*workers.begin());
}

void Leadership::AdvanceWaves(const Ledger& ledger, Records& records) {
  for (const auto& [number, wave] : ledger.waves()) {
    if (wave.is_done()) {
      continue;
    }
    ChooseHosts(ledger, wave);
    for (const auto& [host, stage] : wave.hosts) {
      const auto track = m_hosts.find(host);
      if (track != m_hosts.end() && track->second.wave == number) {
        AdvanceHost(ledger, wave, host, track->second, records);
      }
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
  int64_t hosts = 0;
  for (const auto& [host, stage] : wave.hosts) {
    hosts += stage == WaveStage::kDone ? 0 : 1;
  }
  const Millis each = m_init.bounds.maintenance + kMaintenanceOverhead;
  const int64_t wanted = 1 + hosts * each.count() / left.count();
  return static_cast<size_t>(
      std::min<int64_t>(wanted, wave.opened.most_at_once));
}

// Counts the hosts of a wave that this leader has chosen, and takes over those
// that an earlier leader ordered, as it isn't known whether that order was
// carried out.
size_t Leadership::AdoptOrderedHosts(const scheduling::WaveState& wave) {
  const uint64_t number = wave.opened.wave;
  size_t chosen = 0;
  for (const auto& [host, stage] : wave.hosts) {
    if (stage == WaveStage::kDone) {
      continue;
    }
    const auto track = m_hosts.find(host);
    if (track != m_hosts.end()) {
      chosen += track->second.wave == number ? 1 : 0;
    } else if (stage == WaveStage::kOrdered) {
      HostMaintenance& adopted = m_hosts[host];
      adopted.wave = number;
      adopted.chosen_at = Now();
      adopted.next_try = Now();
      // Whom that order meant is not known: what runs there now may have come
      // after it.
      adopted.may_be_carried_out = true;
      ++chosen;
    }
  }
  return chosen;
}

// Chooses hosts that are off first, then hosts with persistent tasks, then by
// the utilization of their pool and the number of their runs, lowest first.
void Leadership::ChooseHosts(const Ledger& ledger,
                             const scheduling::WaveState& wave) {
  const uint64_t number = wave.opened.wave;
  const size_t at_once = HostsAtOnce(wave);
  size_t chosen = AdoptOrderedHosts(wave);
  if (chosen >= at_once + kDrainedAhead) {
    return;
  }
  std::map<std::string, std::pair<double, double>> pools;  // Millicores, used.
  for (const auto& [id, worker] : ledger.workers()) {
    auto& [total, used] = pools[worker.info.service];
    total += static_cast<double>(worker.info.capacity.millicores);
    used += static_cast<double>(worker.used.millicores);
  }
  std::vector<std::pair<double, std::string>> waiting;
  for (const auto& [host, stage] : wave.hosts) {
    if (stage != WaveStage::kWaiting || IsBeingEvacuated(host) ||
        IsMaintenanceDeferred(host)) {
      continue;
    }
    const Worker* worker = WorkerOn(ledger, host);
    double cost = kOffCost;
    if (worker != nullptr && worker->persistent_runs > 0) {
      cost = kPersistentCost;
    } else if (worker != nullptr) {
      const auto& [total, used] = pools[worker->info.service];
      cost = used / std::max(1.0, total) +
             kRunCost * static_cast<double>(worker->active.size());
    }
    waiting.emplace_back(cost, host);
  }
  std::sort(waiting.begin(), waiting.end());
  for (const auto& [cost, host] : waiting) {
    if (chosen >= at_once + kDrainedAhead) {
      return;
    }
    HostMaintenance& track = m_hosts[host];
    track.wave = number;
    track.chosen_at = Now();
    track.next_try = Now();
    ++chosen;
    DecisionLog::Get().Write(
        DecisionLine("wave", "host-chosen")
            .With("wave", number)
            .With("host", host)
            .With("at_once", static_cast<int64_t>(at_once))
            .With("cost_percent", static_cast<int64_t>(cost * 100)));
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

// Counts the other hosts of a wave that may be down: all for which maintenance
// was ordered, by any leader and with any outcome, and which are not known to
// be back.
size_t Leadership::CountHostsDown(const scheduling::WaveState& wave,
                                  const std::string& besides) const {
  size_t down = 0;
  for (const auto& [host, stage] : wave.hosts) {
    const auto track = m_hosts.find(host);
    const bool is_under_way =
        track != m_hosts.end() && track->second.is_act_under_way;
    const bool may_be_down = stage == WaveStage::kOrdered || is_under_way;
    down += host != besides && may_be_down ? 1 : 0;
  }
  return down;
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
        const auto run = m_runs.find({id, active.run});
        if (active.worker != life || run == m_runs.end() ||
            run->second.is_stop_requested) {
          continue;
        }
        if (MayStopTask(ledger, id)) {
          RequestStop(run->first, run->second, StopReason::kMaintenance,
                      OthersUnavailable(ledger, id));
        } else {
          use.is_leave_blocked =
              use.is_leave_blocked || WaitsForUnplacedTasks(ledger, id);
        }
      }
    }
  }
  return use;
}

void Leadership::AdvanceHost(const Ledger& ledger,
                             const scheduling::WaveState& wave,
                             const std::string& host,
                             HostMaintenance& track,
                             Records& records) {
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
  // Short tasks may be cut off in the end. Persistent tasks never are: each is
  // stopped on its own, when enough tasks of its step are running.
  const bool may_cut_off =
      now - track.chosen_at > kMaxDrainTime && !use.has_persistent;
  const bool is_settled =
      now - track.chosen_at > kSettleTime &&
      (worker == nullptr || !m_planner.HasReservationOn(worker->info.id));
  if (!is_settled || (!use.is_empty && !may_cut_off) ||
      CountHostsDown(wave, host) >= wave.opened.most_at_once) {
    return;
  }
  if (!track.may_be_carried_out) {
    track.incarnation_before = IncarnationOf(worker);
    track.acted_at = now;
  }
  track.is_act_under_way = true;
  if (wave.hosts.at(host) == WaveStage::kOrdered) {
    Maintain(wave.opened.wave, host);
    return;
  }
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
  track.is_act_under_way = false;
  track.next_try = Now() + kActionRetry;
  track.may_be_carried_out =
      track.may_be_carried_out || outcome == HostActOutcome::kUnknown;
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
