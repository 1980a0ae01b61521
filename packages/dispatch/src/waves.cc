#include <algorithm>

#include "laurelhall/base/decision_log.h"
#include "leadership_p.h"

namespace laurelhall::dispatch {

using scheduling::Job;
using scheduling::TaskId;
using scheduling::WaveStage;
using scheduling::Worker;

namespace {

constexpr Millis kActRetry{300};
constexpr Millis kSettles{80};
// A host that did not come back for so many times the usual counts as back, or
// one lost host would stop its wave for good.
constexpr int kLostAfterTimes = 3;
// How long short tasks may take to end before a host is taken down all the
// same: the longest usual ones last about four seconds.
constexpr Millis kLongestDrain{5'000};
// Hosts being emptied beside those that are down, so that the next is ready
// when one comes back.
constexpr size_t kPreparedAhead = 1;
// A persistent task that finds no place for so long has none: all that it may
// go to are being emptied, or are full.
constexpr Millis kNoPlace{500};
// A host that is given back to its service for such a task stays for so long:
// until the task is seen at work, and those that wait for it have left.
constexpr Millis kSpared{3'000};
// What a host is away for besides the maintenance itself: emptying before, an
// announcement and a look after.
constexpr Millis kAroundMaintenance{2'500};
// A wave is planned to be done so long before its time.
constexpr Millis kWaveReserve{4'000};
// Of a run on a host, in shares of its pool's use.
constexpr double kRunCost = 0.02;
// Hosts of persistent tasks come before the others: these tasks leave a few of
// a step at a time, which takes most of a wave where it begins late.
constexpr double kPersistentCost = -0.5;
constexpr double kOffCost = -1;
// A host that is off comes back without a word.
constexpr double kOffReturns = 1.3;

}  // namespace

WorkerLife LifeOf(const Worker* worker) {
  return worker == nullptr ? WorkerLife()
                           : WorkerLife{worker->info.id, worker->born};
}

const Worker* Leadership::WorkerOn(const Ledger& ledger,
                                   const std::string& host) const {
  const auto& workers = ledger.WorkersOn(host);
  return workers.empty() ? nullptr : ledger.FindWorker(*workers.begin());
}

void Leadership::StepWaves(const Ledger& ledger, Records& records) {
  for (const auto& [number, wave] : ledger.waves()) {
    if (wave.is_done()) {
      continue;
    }
    ChooseHosts(ledger, wave);
    for (const auto& [host, stage] : wave.hosts) {
      const auto track = m_hosts.find(host);
      if (track != m_hosts.end() && track->second.wave == number) {
        StepHost(ledger, wave, host, track->second, records);
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

// As many at once as it takes to be done in time, with some to spare; fewer
// hosts away leave more for callers.
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
  const Millis each = m_init.bounds.maintenance + kAroundMaintenance;
  const int64_t wanted = 1 + hosts * each.count() / left.count();
  return static_cast<size_t>(
      std::min<int64_t>(wanted, wave.opened.most_at_once));
}

// How many hosts of a wave are under way, with those that an earlier leader
// ordered: whether that was carried out is not known.
size_t Leadership::TakeOver(const scheduling::WaveState& wave) {
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
      m_hosts[host] = {number, Now(), false, Now(), {}, {}};
      ++chosen;
    }
  }
  return chosen;
}

// Hosts that are off first, then those with persistent tasks, then those of the
// pool that needs its hosts least, and of one pool those that do least.
void Leadership::ChooseHosts(const Ledger& ledger,
                             const scheduling::WaveState& wave) {
  const uint64_t number = wave.opened.wave;
  const size_t at_once = HostsAtOnce(wave);
  size_t chosen = TakeOver(wave);
  if (chosen >= at_once + kPreparedAhead) {
    return;
  }
  std::map<std::string, std::pair<double, double>> pools;  // Room, used.
  for (const auto& [id, worker] : ledger.workers()) {
    auto& [room, used] = pools[worker.info.service];
    room += static_cast<double>(worker.info.capacity.millicores);
    used += static_cast<double>(worker.used.millicores);
  }
  std::vector<std::pair<double, std::string>> waiting;
  for (const auto& [host, stage] : wave.hosts) {
    if (stage != WaveStage::kWaiting || IsEvacuated(host) || IsSpared(host)) {
      continue;
    }
    const Worker* worker = WorkerOn(ledger, host);
    double cost = kOffCost;
    if (worker != nullptr && worker->persistent_runs > 0) {
      cost = kPersistentCost;
    } else if (worker != nullptr) {
      const auto& [room, used] = pools[worker->info.service];
      cost = used / std::max(1.0, room) +
             kRunCost * static_cast<double>(worker->active.size());
    }
    waiting.emplace_back(cost, host);
  }
  std::sort(waiting.begin(), waiting.end());
  for (const auto& [cost, host] : waiting) {
    if (chosen >= at_once + kPreparedAhead) {
      return;
    }
    m_hosts[host] = {number, Now(), false, Now(), {}, {}};
    ++chosen;
    DecisionLog::Get().Write(
        DecisionLine("wave", "host-chosen")
            .With("wave", number)
            .With("host", host)
            .With("at_once", static_cast<int64_t>(at_once))
            .With("cost_percent", static_cast<int64_t>(cost * 100)));
  }
}

// Whether others of its step have no run: it waits for them, and they may be
// waiting for its host.
bool Leadership::WaitsForUnplaced(const Ledger& ledger, const TaskId& task) {
  const Job& job = *ledger.FindJob(task.job);
  const size_t first = job.IndexOf({task.job, task.occurrence, task.step, 0});
  const uint32_t count = job.spec.steps[task.step].count;
  return std::any_of(job.tasks.begin() + static_cast<ptrdiff_t>(first),
                     job.tasks.begin() + static_cast<ptrdiff_t>(first + count),
                     [](const auto& other) {
                       return other.active.empty() && !other.is_given_up;
                     });
}

bool Leadership::IsSpared(const std::string& host) const {
  return std::any_of(m_spared.begin(), m_spared.end(), [&](const auto& entry) {
    return entry.second.host == host && Now() < entry.second.until;
  });
}

// Gives a host that is being emptied back to its service, one at a time. Else a
// wave that takes all hosts of a service would keep a task that has left one of
// them from work, and the others from leaving.
bool Leadership::Spare(const std::string& host, const Worker& worker) {
  SparedHost& spared = m_spared[worker.info.service];
  if (Now() < spared.until) {
    return false;
  }
  spared = {host, Now() + kSpared};
  DecisionLog::Get().Write(
      DecisionLine("wave", "host-spared")
          .With("host", host)
          .With("service", worker.info.service)
          .With("why", "a persistent task finds no other place"));
  return true;
}

// Whether a wave will take a worker's host down: what lasts would have to leave
// it again.
bool Leadership::IsDueForMaintenance(const Ledger& ledger,
                                     const std::string& host) {
  return std::any_of(
      ledger.waves().begin(), ledger.waves().end(), [&host](const auto& entry) {
        const auto& hosts = entry.second.hosts;
        const auto found = hosts.find(host);
        return found != hosts.end() && found->second == WaveStage::kWaiting;
      });
}

// How many other hosts of a wave may be down: all that were ordered and are not
// known to be back, whatever came of the order and whoever gave it.
size_t Leadership::CountDown(const scheduling::WaveState& wave,
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

// Lets the persistent tasks of a host leave, as many as may be away, and tells
// what is left there, of whichever life.
Leadership::HostUse Leadership::EmptyHost(const Ledger& ledger,
                                          const std::string& host) {
  HostUse use;
  for (const std::string& life : ledger.WorkersOn(host)) {
    for (const TaskId& id : ledger.FindWorker(life)->active) {
      const Job& job = *ledger.FindJob(id.job);
      use.is_empty = false;
      if (!job.spec.steps[id.step].is_persistent) {
        continue;
      }
      // Also one that is to be stopped: until that is told it may be at work.
      use.has_persistent = true;
      for (const auto& active : job.tasks[job.IndexOf(id)].active) {
        const auto run = m_runs.find({id, active.run});
        if (active.worker != life || run == m_runs.end() ||
            run->second.is_stop_wanted) {
          continue;
        }
        if (MayTakeAway(ledger, id)) {
          WantStop(run->first, run->second, StopReason::kMaintenance,
                   OthersAway(ledger, id));
        } else {
          use.is_stuck = use.is_stuck || WaitsForUnplaced(ledger, id);
        }
      }
    }
  }
  return use;
}

void Leadership::StepHost(const Ledger& ledger,
                          const scheduling::WaveState& wave,
                          const std::string& host,
                          HostTrack& track,
                          Records& records) {
  const SteadyTime now = Now();
  const Worker* worker = WorkerOn(ledger, host);
  if (track.down_since != SteadyTime()) {
    const auto away = now - track.down_since;
    // A life that was not known when its host was taken down may announce
    // itself late: only one that came when the maintenance was over is new.
    const bool is_back = worker != nullptr &&
                         !track.life_before.IsSame(*worker) &&
                         away >= m_init.bounds.maintenance;
    const bool is_off_again =
        track.life_before.id.empty() &&
        away > std::chrono::duration_cast<Millis>(m_init.bounds.maintenance *
                                                  kOffReturns);
    const bool is_lost = away > kLostAfterTimes * m_init.bounds.maintenance;
    if (is_back || is_off_again || is_lost) {
      records.emplace_back(
          scheduling::WaveHostSet{wave.opened.wave, host, WaveStage::kDone});
    }
    return;
  }
  if (track.is_act_under_way || now < track.next_try) {
    return;
  }
  const HostUse use = EmptyHost(ledger, host);
  if (!use.is_stuck) {
    track.stuck_since = SteadyTime();
  } else if (track.stuck_since == SteadyTime()) {
    track.stuck_since = now;
  }
  if (use.is_stuck && now - track.stuck_since > kNoPlace &&
      Spare(host, *worker)) {
    m_hosts.erase(host);
    PlanSoon();
    return;
  }
  // Short work may be cut off in the end, persistent tasks never: each is
  // stopped by itself, when enough of its step are at work.
  const bool may_cut =
      now - track.chosen_at > kLongestDrain && !use.has_persistent;
  // Starts that were under way when it was chosen are committed by then.
  const bool is_settled =
      now - track.chosen_at > kSettles &&
      (worker == nullptr || !m_planner.HasPlanned(worker->info.id));
  if (!is_settled || (!use.is_empty && !may_cut) ||
      CountDown(wave, host) >= wave.opened.most_at_once) {
    return;
  }
  track.life_before = LifeOf(worker);
  track.is_act_under_way = true;
  track.acted_at = now;
  if (wave.hosts.at(host) == WaveStage::kOrdered) {
    Maintain(wave.opened.wave, host);
    return;
  }
  // Committed first, so that the next leader counts it as down.
  Commit({scheduling::WaveHostSet{wave.opened.wave, host, WaveStage::kOrdered}},
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
    return self != nullptr && self->IsSureToLead();
  };
  return act;
}

void Leadership::Maintain(uint64_t wave, const std::string& host) {
  HostAct act = MakeHostAct(host);
  act.wave = wave;
  WhenSure([this, act = std::move(act)] {
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
  HostTrack& track = found->second;
  track.is_act_under_way = false;
  track.next_try = Now() + kActRetry;
  if (outcome == HostActOutcome::kDone) {
    track.down_since = Now();
    // Its life has ended with the act.
    EndLife(track.life_before, "its host is maintained");
  } else if (outcome == HostActOutcome::kRefused) {
    // No such host any more: nothing is left to maintain.
    Commit({scheduling::WaveHostSet{wave, host, WaveStage::kDone}},
           [this](scheduling::CommitOutcome) { PlanSoon(); });
  }
}

}  // namespace laurelhall::dispatch
