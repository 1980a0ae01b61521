#include <algorithm>

#include "laurelhall/base/decision_log.h"
#include "leadership_p.h"

namespace laurelhall::dispatch {

using scheduling::Job;
using scheduling::Mechanism;
using scheduling::PoolDemand;
using scheduling::PoolHost;
using scheduling::PoolMove;
using scheduling::TaskId;
using scheduling::Worker;

namespace {

constexpr Millis kMoveChoicePeriod{150};
// Interval at which the demand meter is updated.
constexpr Millis kDemandPeriod{250};
// Remaining run time assumed for a task that has exceeded its estimate.
constexpr Millis kMinTimeLeft{150};
constexpr Millis kReportPeriod{1'000};
// How long a peak of the total need is remembered; longer than the pauses of
// arrivals within a burst, which last a second or two.
constexpr Millis kPeakNeedPeriod{4'000};
// Hosts that may be away at a time: one in maintenance and one that has failed.
constexpr uint32_t kMaxHostsAway = 2;
// Hosts that are off send no announcements, so the list of hosts is read again
// at this interval.
constexpr Millis kListPeriod{10'000};
constexpr Millis kListRetry{1'000};
constexpr Millis kMoveRetry{200};
// Starts that were in flight when a host was chosen are committed after this.
constexpr Millis kMoveSettleTime{80};
// A move is given up if the host's short tasks have not ended after this.
constexpr Millis kMaxMoveDrainTime{2'500};
// A worker that was silent for this long, a poll and its retry, does not count
// for its pool, so that it is replaced before its lease runs out.
constexpr Millis kServingTimeout{3'000};
// A host that has not announced itself this long after its move is lost.
constexpr Millis kMoveTimeout{6'000};
// A host that is chosen now serves its new pool after a time between these two:
// it is drained, moved and polled for the first time.
constexpr Millis kMinMoveTime{1'600};
constexpr Millis kMaxMoveTime{2'600};
// Waiting work should start within this share of the time that its job has
// left; the work itself takes the rest.
constexpr double kQueueTimeShare = 0.5;
// The shortest time within which waiting work is planned to start.
constexpr Millis kMinQueueTime{400};
// Cores kept per core of work, for work that keeps arriving and for work that
// is already present. Arrivals within a burst vary, and a host that is idle in
// another pool costs the same. Of present work only the run times are unknown;
// the smaller factor lets a service release its hosts about 1 s sooner after a
// burst. The two factors together gain 0.02 of what callers pay for on days
// with bursts.
constexpr double kHeadroomArriving = 1.8;
constexpr double kHeadroomPresent = 1.2;
// Time within which waiting work is planned to start if it is too late anyway.
constexpr Millis kOverdueQueueTime{6'000};
// A chosen host takes no work until it serves its new pool. So only as many
// hosts are chosen as actions can soon be sent for: those in flight, and as
// many again that are ready when these are done. Without the bound 40 % of 350
// hosts were idle in bursts, for 3 s with a leader that kept up and for 14 s
// with one that lagged. Hosts that still run tasks are not bounded: a limit of
// a tenth of all hosts served callers worse in each of three runs, by 0.01 to
// 0.10.
constexpr size_t kActionsAhead = 2;

}  // namespace

bool Leadership::IsSparePool(const Ledger& ledger,
                             const std::string& pool) const {
  for (const auto& service : ledger.configuration().services) {
    if (service.name == pool) {
      return service.is_spare;
    }
  }
  return false;
}

void Leadership::AdvanceMoves(const Ledger& ledger) {
  const SteadyTime now = Now();
  if (now >= m_next_demand_update) {
    m_next_demand_update = now + kDemandPeriod;
    m_demand.Learn(now);
  }
  if (!m_is_listing && now >= m_next_list) {
    m_is_listing = true;
    ListHosts("");
  }
  UpdateInventory(ledger);
  for (auto& [host, track] : m_moves) {
    AdvanceMove(ledger, host, track);
  }
  std::vector<std::string> ended;
  for (const auto& [host, track] : m_moves) {
    if (IsMoveOver(ledger, host, track)) {
      ended.push_back(host);
    }
  }
  for (const std::string& host : ended) {
    m_moves.erase(host);
    // From now on, what the workers announce decides the host's state again.
    for (const std::string& life : ledger.WorkersOn(host)) {
      UpdateHostOf(*ledger.FindWorker(life));
    }
  }
  if (now >= m_next_move_choice && !m_inventory.empty()) {
    m_next_move_choice = now + kMoveChoicePeriod;
    ChooseMoves(ledger);
  }
}

bool Leadership::IsMoveOver(const Ledger& ledger,
                            const std::string& host,
                            const HostMove& track) {
  if (track.ordered_at == SteadyTime()) {
    return !track.is_act_under_way &&
           Now() - track.chosen_at > kMaxMoveDrainTime;
  }
  const Worker* worker = WorkerOn(ledger, host);
  const bool is_back =
      worker != nullptr && !track.incarnation_before.IsSame(*worker);
  // The end of its last incarnation must be committed, or the host would seem
  // to be in its old pool still.
  const bool is_parked =
      worker == nullptr && IsSparePool(ledger, m_inventory[host].pool);
  return is_back || is_parked || Now() - track.ordered_at > kMoveTimeout;
}

void Leadership::ListHosts(const std::string& page) {
  m_init.hosts->List(page, [weak = weak_from_this()](const HostPage& listed) {
    if (const auto self = weak.lock()) {
      self->OnListed(listed);
    }
  });
}

void Leadership::OnListed(const HostPage& page) {
  const SteadyTime now = Now();
  for (const HostInfo& info : page.hosts) {
    const bool is_new = !m_inventory.contains(info.host);
    HostState& state = m_inventory[info.host];
    if (m_moves.contains(info.host)) {
      continue;  // What this leader ordered is newer than the list.
    }
    if (is_new || state.pool != info.pool) {
      state.since = is_new ? SteadyTime() : now;
    }
    state.pool = info.pool;
    state.is_up = info.is_up;
    state.cores = static_cast<double>(info.capacity.millicores) / 1000;
  }
  if (page.is_ok && !page.next.empty()) {
    ListHosts(page.next);
    return;
  }
  m_inventory_version.reset();
  m_is_listing = false;
  m_next_list = now + (page.is_ok ? kListPeriod : kListRetry);
}

// Updates hosts from the announcements of their workers, which are newer than
// any list of hosts.
void Leadership::UpdateInventory(const Ledger& ledger) {
  const bool is_updated = ledger.FollowChangedWorkers(
      m_inventory_version, [&](const std::string& id) {
        const Worker* worker = ledger.FindWorker(id);
        if (worker != nullptr) {
          UpdateHostOf(*worker);
        }
      });
  if (is_updated) {
    return;
  }
  for (const auto& [id, worker] : ledger.workers()) {
    UpdateHostOf(worker);
  }
}

void Leadership::UpdateHostOf(const Worker& worker) {
  if (worker.info.host.empty()) {
    return;
  }
  const auto move = m_moves.find(worker.info.host);
  if (move != m_moves.end() && move->second.incarnation_before.IsSame(worker)) {
    return;
  }
  HostState& state = m_inventory[worker.info.host];
  if (state.pool != worker.info.service) {
    // A host that is seen for the first time may have been in its pool for long
    // and may move at once. Otherwise a new leader could use idle hosts for a
    // burst only after the minimum stay.
    state.since = state.pool.empty() ? SteadyTime() : Now();
    state.pool = worker.info.service;
  }
  state.is_up = true;
  state.cores = static_cast<double>(worker.info.capacity.millicores) / 1000;
}

std::map<std::string, Leadership::ServiceNeed> Leadership::NeededCores(
    const Ledger& ledger,
    PoolLoads* loads) const {
  const SteadyTime now = Now();
  std::map<std::string, ServiceNeed> needs;
  for (const auto& [id, open_job] : ledger.open_jobs()) {
    const Job& job = *open_job;
    if (job.is_over() || job.spec.is_timed) {
      continue;
    }
    const auto seen = m_job_seen_at.find(id);
    const auto waiting = m_planner.Waiting(
        ledger, job, seen == m_job_seen_at.end() ? now : seen->second, now);
    const Millis within =
        waiting.is_hopeless
            ? kOverdueQueueTime
            : std::max(kMinQueueTime, std::chrono::duration_cast<Millis>(
                                          waiting.left * kQueueTimeShare));
    needs[ledger.ServiceOf(job)].current +=
        waiting.core_milliseconds / static_cast<double>(within.count());
    if (loads != nullptr) {
      AddOpenWork(ledger, job, waiting, *loads);
    }
  }
  for (const auto& [id, worker] : ledger.workers()) {
    const auto persistent =
        static_cast<double>(worker.persistent_millicores) / 1000;
    ServiceNeed& need = needs[worker.info.service];
    need.persistent += persistent;
    need.current +=
        static_cast<double>(worker.used.millicores) / 1000 - persistent;
  }
  const bool has_headroom = m_init.mechanisms.Has(Mechanism::kHeadroom);
  const double present_headroom = has_headroom ? kHeadroomPresent : 1;
  const double arriving_headroom = has_headroom ? kHeadroomArriving : 1;
  for (const auto& service : ledger.configuration().services) {
    // The greater of present and arriving work, as present work was counted as
    // arriving before.
    ServiceNeed& need = needs[service.name];
    const double arriving = m_demand.RecentDemand(service.name, now);
    need.pressing = std::max(need.current * present_headroom, arriving);
    need.current =
        std::max(need.current * present_headroom, arriving * arriving_headroom);
    // The need at the time at which a host that is chosen now can serve.
    need.expected =
        arriving_headroom *
        std::max(m_demand.Expected(service.name, now, kMinMoveTime),
                 m_demand.Expected(service.name, now, kMaxMoveTime));
  }
  return needs;
}

// What the pools keep for their next rushes, their persistent tasks aside. Only
// where organisations have guaranteed rates, which hold from the first second
// of a rush on.
std::map<std::string, double> Leadership::FloorCores(
    const Ledger& ledger) const {
  if (!m_init.mechanisms.Has(Mechanism::kFloors) ||
      !ledger.configuration().identities) {
    return {};
  }
  std::vector<scheduling::RushHistory> histories;
  for (const auto& service : ledger.configuration().services) {
    if (!service.is_spare) {
      histories.push_back({service.name, m_demand.PeakDemand(service.name)});
    }
  }
  double all_cores = 0;
  for (const auto& [host, state] : m_inventory) {
    all_cores += state.cores;
  }
  return m_pool_floors.Compute(histories, all_cores, kMaxMoveTime);
}

Millis Leadership::EstimateDrainTime(const Ledger& ledger,
                                     const Worker& worker) const {
  Millis longest{0};
  const Job* last_job = nullptr;  // Tasks of a job are next to each other.
  for (const TaskId& id : worker.active) {
    if (last_job == nullptr || last_job->id != id.job) {
      last_job = ledger.FindJob(id.job);
    }
    const Job& job = *last_job;
    const Millis whole_run_time = m_planner.EstimatedRunTime(job, id.step);
    Millis run_so_far{0};
    for (const auto& active : job.tasks[job.IndexOf(id)].active) {
      const auto track = m_runs.find(RunRef{id, active.run});
      if (track != m_runs.end() && track->second.begun_at != SteadyTime()) {
        run_so_far = std::chrono::floor<Millis>(Now() - track->second.begun_at);
      }
    }
    longest =
        std::max(longest, std::max(kMinTimeLeft, whole_run_time - run_so_far));
  }
  return longest;
}

// By service, the number of hosts that its persistent tasks with a spread limit
// need, plus the hosts that may be away.
std::map<std::string, uint32_t> Leadership::MinHostsForPersistentTasks(
    const Ledger& ledger) {
  std::map<std::string, uint32_t> hosts;
  for (const auto& [id, open_job] : ledger.open_jobs()) {
    const Job& job = *open_job;
    if (job.is_over()) {
      continue;
    }
    for (const auto& step : job.spec.steps) {
      if (step.is_persistent && step.max_tasks_per_worker > 0 &&
          step.count > 0) {
        uint32_t& most = hosts[ledger.ServiceOf(job)];
        most = std::max(
            most, kMaxHostsAway + (step.count + step.max_tasks_per_worker - 1) /
                                      step.max_tasks_per_worker);
      }
    }
  }
  return hosts;
}

// Records the total need and returns its peak within kPeakNeedPeriod.
double Leadership::RecordPeakNeed(double cores) {
  const SteadyTime now = Now();
  while (!m_peak_needs.empty() && (m_peak_needs.back().second <= cores)) {
    m_peak_needs.pop_back();
  }
  m_peak_needs.emplace_back(now, cores);
  while (now - m_peak_needs.front().first > kPeakNeedPeriod) {
    m_peak_needs.pop_front();
  }
  return m_peak_needs.front().second;
}

// Whether a worker counts for its pool. It does not when it is draining, its
// lease has lapsed, or nothing was received from it for kServingTimeout plus
// this leader's own delay.
bool Leadership::Serves(const Worker& worker, const WorkerLink& link) const {
  // A new worker may not have been polled yet.
  const SteadyTime heard =
      link.is_reached ? link.last_contact : link.last_announced;
  return !worker.info.is_draining && !link.is_lapsed &&
         Now() - heard < kServingTimeout + LeaderDelay();
}

Millis Leadership::UpdateIdleTime(HostState& host, double busy_cores) const {
  if (busy_cores > 0) {
    host.idle_since = SteadyTime();
    return Millis(0);
  }
  if (host.idle_since == SteadyTime()) {
    host.idle_since = Now();
  }
  return std::chrono::floor<Millis>(Now() - host.idle_since);
}

scheduling::PoolMoveLimits Leadership::MakePoolWeights(
    const std::vector<PoolDemand>& pools) {
  double needed = 0;
  for (const PoolDemand& pool : pools) {
    needed += std::max(pool.needed_cores, pool.expected_cores);
  }
  const auto& mechanisms = m_init.mechanisms;
  scheduling::PoolMoveLimits weights;
  weights.min_active_cores = RecordPeakNeed(needed);
  weights.may_park = mechanisms.Has(Mechanism::kParking);
  if (!mechanisms.Has(Mechanism::kLeastStay)) {
    weights.min_stay = Millis(0);
  }
  if (!mechanisms.Has(Mechanism::kEmptyingLimit)) {
    weights.max_time_until_idle = kMaxMoveDrainTime;
  }
  return weights;
}

// How many more hosts may be chosen for a move now, by the bound that
// kActionsAhead sets.
size_t Leadership::MaxNewMoves(const Ledger& ledger) const {
  size_t ready = 0;
  for (const auto& [host, track] : m_moves) {
    const Worker* worker = WorkerOn(ledger, host);
    const bool is_empty = worker == nullptr || worker->active.empty();
    ready += track.ordered_at == SteadyTime() && is_empty ? 1 : 0;
  }
  const size_t most = kActionsAhead * m_init.hosts->max_concurrent_acts();
  return most > ready ? most - ready : 0;
}

void Leadership::ReportPool(const PoolDemand& pool,
                            const std::vector<PoolHost>& hosts) const {
  double cores = 0;
  double busy = 0;
  int movable = 0;
  for (const PoolHost& host : hosts) {
    if (host.service == pool.service) {
      cores += host.cores;
      busy += host.busy_cores;
      movable += host.is_movable ? 1 : 0;
    }
  }
  DecisionLog::Get().Write(
      DecisionLine("pools", "state")
          .With("service", pool.service)
          .With("needed_cores", static_cast<int64_t>(pool.needed_cores))
          .With("expected_cores", static_cast<int64_t>(pool.expected_cores))
          .With("floor_cores", static_cast<int64_t>(pool.floor_cores))
          .With("cores", static_cast<int64_t>(cores))
          .With("busy_cores", static_cast<int64_t>(busy))
          .With("movable_hosts", movable)
          .With("arriving_cores", static_cast<int64_t>(m_demand.RecentDemand(
                                      pool.service, Now())))
          .With("period_ms", m_demand.period())
          .With("turn_ms", m_demand.turn_length()));
}

void Leadership::ChooseMoves(const Ledger& ledger) {
  PoolLoads loads;
  const bool is_admission_on = IsAdmissionOn(ledger);
  const std::map<std::string, ServiceNeed> needs =
      NeededCores(ledger, is_admission_on ? &loads : nullptr);
  if (is_admission_on) {
    UpdateAdmission(ledger, std::move(loads));
  }
  const std::map<std::string, uint32_t> persistent =
      MinHostsForPersistentTasks(ledger);
  const std::map<std::string, double> floors = FloorCores(ledger);
  std::vector<PoolDemand> pools;
  std::set<std::string> spare_pools;
  for (const auto& service : ledger.configuration().services) {
    const ServiceNeed& need = needs.at(service.name);
    const auto hosts = persistent.find(service.name);
    const auto floor = floors.find(service.name);
    PoolDemand& pool = pools.emplace_back();
    pool.service = service.name;
    pool.is_spare = service.is_spare;
    pool.pressing_cores = need.pressing + need.persistent;
    pool.needed_cores = need.current + need.persistent;
    pool.expected_cores = need.expected + need.persistent;
    pool.min_hosts = hosts == persistent.end() ? 0 : hosts->second;
    pool.floor_cores =
        floor == floors.end() ? 0 : floor->second + need.persistent;
    if (service.is_spare) {
      spare_pools.insert(service.name);
    }
  }
  std::vector<PoolHost> hosts;
  hosts.reserve(m_inventory.size());
  // All three are in the order of hosts.
  HostCursor<HostMove> moves(m_moves);
  HostCursor<HostMaintenance> maintained(m_hosts);
  for (auto& [host, state] : m_inventory) {
    const HostMove* move = moves.Find(host);
    const bool is_evacuated =
        maintained.Find(host) != nullptr || move != nullptr;
    const auto& workers = ledger.WorkersOn(host);
    const WorkerLink* link =
        workers.empty() ? nullptr : &m_links.at(*workers.begin());
    const Worker* worker = link == nullptr ? nullptr : link->worker;
    const bool is_off = spare_pools.contains(state.pool);
    PoolHost& out = hosts.emplace_back();
    out.host = host;
    out.service = move == nullptr ? state.pool : move->to;
    out.cores = state.cores;
    out.since = state.since;
    if (worker != nullptr) {
      out.busy_cores = static_cast<double>(worker->used.millicores -
                                           worker->persistent_millicores) /
                       1000;
    }
    out.idle_for = UpdateIdleTime(state, out.busy_cores);
    const auto is_idle_worker = [&] {
      return worker != nullptr && worker->persistent_runs == 0 &&
             IsUsable(*worker, *link);
    };
    out.is_movable =
        state.is_up && !is_evacuated && (is_off || is_idle_worker());
    const bool counts_for_pool =
        worker == nullptr ? is_off || move != nullptr : Serves(*worker, *link);
    if (!state.is_up || !counts_for_pool) {
      out.cores = 0;  // Adds no capacity to its pool.
    }
  }
  const SteadyTime now = Now();
  if (now >= m_next_report) {
    m_next_report = now + kReportPeriod;
    for (const PoolDemand& pool : pools) {
      ReportPool(pool, hosts);
    }
  }
  scheduling::PoolMoveLimits weights = MakePoolWeights(pools);
  weights.max_moves = std::min(weights.max_moves, MaxNewMoves(ledger));
  const auto time_until_idle = [&](const PoolHost& host) {
    const Worker* worker = WorkerOn(ledger, host.host);
    return worker == nullptr ? Millis(0) : EstimateDrainTime(ledger, *worker);
  };
  for (const PoolMove& move :
       PlanMoves(pools, std::move(hosts), weights, now, time_until_idle)) {
    const std::string& from = m_inventory[move.host].pool;
    if (m_refused_moves.contains({move.host, move.to})) {
      continue;
    }
    HostMove& track = m_moves[move.host];
    track.to = move.to;
    track.chosen_at = now;
    const auto of = [&](const std::string& service) {
      const auto found = needs.find(service);
      return found == needs.end()
                 ? int64_t{0}
                 : static_cast<int64_t>(
                       std::max(found->second.current, found->second.expected));
    };
    DecisionLog::Get().Write(DecisionLine("pools", "move")
                                 .With("host", move.host)
                                 .With("from", from)
                                 .With("to", move.to)
                                 .With("needed_from", of(from))
                                 .With("needed_to", of(move.to))
                                 .With("period_ms", m_demand.period()));
  }
}

void Leadership::AdvanceMove(const Ledger& ledger,
                             const std::string& host,
                             HostMove& track) {
  const SteadyTime now = Now();
  if (track.ordered_at != SteadyTime() || track.is_act_under_way ||
      now < track.next_try || now - track.chosen_at < kMoveSettleTime) {
    return;
  }
  const auto& incarnations = ledger.WorkersOn(host);
  const bool is_empty = std::all_of(
      incarnations.begin(), incarnations.end(), [&](const std::string& life) {
        return ledger.FindWorker(life)->active.empty() &&
               !m_planner.HasReservationOn(life);
      });
  if (!is_empty) {
    return;
  }
  const Worker* worker = WorkerOn(ledger, host);
  track.BeginTry(worker, now);
  HostAct act = MakeHostAct(host);
  act.pool = track.to;
  RunUnderLeaderLease([this, act = std::move(act)] {
    m_init.hosts->Move(act, [weak = weak_from_this(),
                             host = act.host](HostActOutcome outcome) {
      if (const auto self = weak.lock()) {
        self->OnMoved(host, outcome);
      }
    });
  });
}

void Leadership::OnMoved(const std::string& host, HostActOutcome outcome) {
  const auto found = m_moves.find(host);
  if (found == m_moves.end()) {
    return;
  }
  HostMove& track = found->second;
  track.EndTry(outcome, Now() + kMoveRetry);
  DecisionLog::Get().Write(DecisionLine("pools", "moved")
                               .With("host", host)
                               .With("to", track.to)
                               .With("fence", m_term)
                               .With("outcome", HostActOutcomeName(outcome)));
  if (outcome == HostActOutcome::kDone) {
    track.ordered_at = Now();
    HostState& state = m_inventory[host];
    state.pool = track.to;
    state.since = Now();
    EndIncarnation(track.incarnation_before, scheduling::WorkerEndCause::kMoved,
                   "its host is moved");
    PlanSoon();
  } else if (outcome == HostActOutcome::kRefused) {
    m_refused_moves.insert({host, track.to});
    m_moves.erase(found);
  } else if (outcome == HostActOutcome::kBusy) {
    // Until its worker announces itself or the list of hosts says otherwise.
    m_inventory[host].is_up = false;
    m_next_list = std::min(m_next_list, Now() + kListRetry);
    m_moves.erase(found);
  }
}

}  // namespace laurelhall::dispatch
