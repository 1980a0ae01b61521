#include <algorithm>

#include "laurelhall/base/decision_log.h"
#include "leadership_p.h"

namespace laurelhall::dispatch {

using scheduling::Job;
using scheduling::Mechanism;
using scheduling::PoolHost;
using scheduling::PoolMove;
using scheduling::PoolNeed;
using scheduling::TaskId;
using scheduling::Worker;

namespace {

constexpr Millis kChoicePeriod{150};
// One stretch of the meter.
constexpr Millis kLearnPeriod{250};
// What a task that has outrun its estimate is taken to need still.
constexpr Millis kLeastLeft{150};
constexpr Millis kReportPeriod{1'000};
// Within a rush, arrivals pause for a second or two.
constexpr Millis kHoldNeed{4'000};
// One is maintained and one has failed.
constexpr uint32_t kHostsAway = 2;
// Hosts that are off announce nothing: their list is read again now and then.
constexpr Millis kListPeriod{10'000};
constexpr Millis kListRetry{1'000};
constexpr Millis kActRetry{200};
// Starts that were under way when a host was chosen are committed by then.
constexpr Millis kSettles{80};
// Short work that has not ended by then keeps its host where it is.
constexpr Millis kLongestEmptying{2'500};
// A worker that was silent for so long does not count for its pool, so that its
// place is taken before its lease is over: a look and its retry.
constexpr Millis kNotServing{3'000};
// A host that was moved and did not announce itself for so long is lost.
constexpr Millis kLostOnTheWay{6'000};
// How far ahead a host that is chosen now will serve: its emptying, its move
// and its first look.
constexpr Millis kSoonest{1'600};
constexpr Millis kLatest{2'600};
// Waiting work is to be under way within this share of the time that its job
// has left, for the work itself takes the rest; what is too late anyway when
// there is room.
constexpr double kShareOfTimeLeft = 0.5;
constexpr Millis kClearSoonest{400};
// Cores kept for each core of work. Arrivals within a rush vary, and a host
// that stands idle elsewhere costs the same; what is here is known but for its
// run times, so that a service whose rush is over lets its hosts go about a
// second sooner. Together worth 0.02 of what callers pay for on days of rushes.
constexpr double kHeadroomArriving = 1.8;
constexpr double kHeadroomHere = 1.2;
constexpr Millis kClearHopeless{6'000};
// A chosen host takes no work until it serves elsewhere, so only as many are
// chosen as acts can soon go out for: those under way and as many again that
// are ready when these are done. Without the bound 40 % of 350 hosts stood idle
// in rushes, for 3 s with a leader in time and 14 s with one that was behind.
// Hosts whose last work has to end are not bounded: with a tenth of all hosts
// at most callers were served worse in each of three plays, by 0.01 to 0.10.
constexpr size_t kActsAhead = 2;

}  // namespace

bool Leadership::IsSpare(const Ledger& ledger, const std::string& pool) const {
  for (const auto& service : ledger.configuration().services) {
    if (service.name == pool) {
      return service.is_spare;
    }
  }
  return false;
}

void Leadership::StepMoves(const Ledger& ledger) {
  const SteadyTime now = Now();
  if (now >= m_next_learn) {
    m_next_learn = now + kLearnPeriod;
    m_demand.Learn(now);
  }
  if (!m_is_listing && now >= m_next_list) {
    m_is_listing = true;
    ListHosts("");
  }
  FollowHosts(ledger);
  for (auto& [host, track] : m_moves) {
    StepMove(ledger, host, track);
  }
  std::vector<std::string> ended;
  for (const auto& [host, track] : m_moves) {
    if (IsMoveOver(ledger, host, track)) {
      ended.push_back(host);
    }
  }
  for (const std::string& host : ended) {
    m_moves.erase(host);
    // What its worker says counts again.
    for (const std::string& life : ledger.WorkersOn(host)) {
      FollowHostOf(*ledger.FindWorker(life));
    }
  }
  if (now >= m_next_choice && !m_inventory.empty()) {
    m_next_choice = now + kChoicePeriod;
    ChooseMoves(ledger);
  }
}

bool Leadership::IsMoveOver(const Ledger& ledger,
                            const std::string& host,
                            const MoveTrack& track) {
  if (track.ordered_at == SteadyTime()) {
    return !track.is_act_under_way &&
           Now() - track.chosen_at > kLongestEmptying;
  }
  const Worker* worker = WorkerOn(ledger, host);
  const bool is_back = worker != nullptr && !track.life_before.IsSame(*worker);
  // Its last life must be known to be over, or it seems still to be there.
  const bool is_parked =
      worker == nullptr && IsSpare(ledger, m_inventory[host].pool);
  return is_back || is_parked || Now() - track.ordered_at > kLostOnTheWay;
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
      continue;  // What this leader ordered is newer.
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
  m_followed_hosts.reset();
  m_is_listing = false;
  m_next_list = now + (page.is_ok ? kListPeriod : kListRetry);
}

// What workers say of their hosts is newer than any list.
void Leadership::FollowHosts(const Ledger& ledger) {
  if (m_followed_hosts == ledger.workers_version()) {
    return;
  }
  const auto before = std::exchange(m_followed_hosts, ledger.workers_version());
  const bool is_told =
      before && ledger.VisitChangedWorkers(*before, [&](const std::string& id) {
        const Worker* worker = ledger.FindWorker(id);
        if (worker != nullptr) {
          FollowHostOf(*worker);
        }
      });
  if (is_told) {
    return;
  }
  for (const auto& [id, worker] : ledger.workers()) {
    FollowHostOf(worker);
  }
}

void Leadership::FollowHostOf(const Worker& worker) {
  if (worker.info.host.empty()) {
    return;
  }
  const auto move = m_moves.find(worker.info.host);
  if (move != m_moves.end() && move->second.life_before.IsSame(worker)) {
    return;
  }
  HostState& state = m_inventory[worker.info.host];
  if (state.pool != worker.info.service) {
    // One that is seen for the first time may long have been there: it may
    // move at once, or a new leader would serve a rush by what is idle only
    // after the least stay.
    state.since = state.pool.empty() ? SteadyTime() : Now();
    state.pool = worker.info.service;
  }
  state.is_up = true;
  state.cores = static_cast<double>(worker.info.capacity.millicores) / 1000;
}

std::map<std::string, Leadership::ServiceNeed> Leadership::NeededCores(
    const Ledger& ledger) const {
  const SteadyTime now = Now();
  std::map<std::string, ServiceNeed> needs;
  for (const std::string& id : ledger.open_jobs()) {
    const Job& job = *ledger.FindJob(id);
    if (job.is_over() || job.spec.is_timed) {
      continue;
    }
    const auto seen = m_seen_at.find(id);
    const auto waiting = m_planner.Waiting(
        ledger, job, seen == m_seen_at.end() ? now : seen->second, now);
    const Millis within =
        waiting.is_hopeless
            ? kClearHopeless
            : std::max(kClearSoonest, std::chrono::duration_cast<Millis>(
                                          waiting.left * kShareOfTimeLeft));
    needs[ledger.ServiceOf(job)].now +=
        waiting.core_millis / static_cast<double>(within.count());
  }
  for (const auto& [id, worker] : ledger.workers()) {
    const auto persistent =
        static_cast<double>(worker.persistent_millicores) / 1000;
    ServiceNeed& need = needs[worker.info.service];
    need.persistent += persistent;
    need.now += static_cast<double>(worker.used.millicores) / 1000 - persistent;
  }
  const bool has_headroom = m_init.mechanisms.Has(Mechanism::kHeadroom);
  const double here = has_headroom ? kHeadroomHere : 1;
  const double arriving = has_headroom ? kHeadroomArriving : 1;
  for (const auto& service : ledger.configuration().services) {
    // Work that is here and work that keeps coming: the greater of the two,
    // as what is here was counted when it came.
    ServiceNeed& need = needs[service.name];
    need.now =
        std::max(need.now * here, m_demand.Rate(service.name, now) * arriving);
    // When a host that is chosen now could serve.
    need.soon =
        arriving * std::max(m_demand.Expected(service.name, now, kSoonest),
                            m_demand.Expected(service.name, now, kLatest));
  }
  return needs;
}

Millis Leadership::EmptiesIn(const Ledger& ledger, const Worker& worker) const {
  Millis longest{0};
  for (const TaskId& id : worker.active) {
    const Job& job = *ledger.FindJob(id.job);
    const Millis whole = m_planner.RunTimeOf(job, id.step);
    Millis gone{0};
    for (const auto& active : job.tasks[job.IndexOf(id)].active) {
      const auto track = m_runs.find({id, active.run});
      if (track != m_runs.end() && track->second.begun_at != SteadyTime()) {
        gone = std::chrono::floor<Millis>(Now() - track->second.begun_at);
      }
    }
    longest = std::max(longest, std::max(kLeastLeft, whole - gone));
  }
  return longest;
}

// By service, as many hosts as the persistent tasks that must stand apart need,
// and those that may be away at the time.
std::map<std::string, uint32_t> Leadership::HostsForPersistent(
    const Ledger& ledger) {
  std::map<std::string, uint32_t> hosts;
  for (const std::string& id : ledger.open_jobs()) {
    const Job& job = *ledger.FindJob(id);
    if (job.is_over()) {
      continue;
    }
    for (const auto& step : job.spec.steps) {
      if (step.is_persistent && step.spread_limit > 0 && step.count > 0) {
        uint32_t& most = hosts[ledger.ServiceOf(job)];
        most =
            std::max(most, kHostsAway + (step.count + step.spread_limit - 1) /
                                            step.spread_limit);
      }
    }
  }
  return hosts;
}

// The greatest need of the last seconds.
double Leadership::HoldNeed(double cores) {
  const SteadyTime now = Now();
  while (!m_peaks.empty() && (m_peaks.back().second <= cores)) {
    m_peaks.pop_back();
  }
  m_peaks.emplace_back(now, cores);
  while (now - m_peaks.front().first > kHoldNeed) {
    m_peaks.pop_front();
  }
  return m_peaks.front().second;
}

// Whether a worker can be counted on for its pool: not one that leaves, nor one
// that was not heard of for longer than a slow moment lasts.
bool Leadership::Serves(const Worker& worker) const {
  const WorkerLink& link = m_links.at(worker.info.id);
  // One that has just come may not have been looked at yet.
  const SteadyTime heard =
      link.is_reached ? link.last_contact : link.last_announced;
  return !worker.info.is_draining && !link.is_lapsed &&
         Now() - heard < kNotServing + OwnDelay();
}

Millis Leadership::IdleFor(const std::string& host, double busy_cores) {
  if (busy_cores > 0) {
    m_idle_since.erase(host);
    return Millis(0);
  }
  const SteadyTime since = m_idle_since.try_emplace(host, Now()).first->second;
  return std::chrono::floor<Millis>(Now() - since);
}

scheduling::PoolWeights Leadership::WeighPools(
    const std::vector<PoolNeed>& pools) {
  double needed = 0;
  for (const PoolNeed& pool : pools) {
    needed += std::max(pool.needed_cores, pool.expected_cores);
  }
  const auto& mechanisms = m_init.mechanisms;
  scheduling::PoolWeights weights;
  weights.held_cores = HoldNeed(needed);
  weights.may_park = mechanisms.Has(Mechanism::kParking);
  if (!mechanisms.Has(Mechanism::kLeastStay)) {
    weights.least_stay = Millis(0);
  }
  if (!mechanisms.Has(Mechanism::kEmptyingLimit)) {
    weights.longest_emptying = kLongestEmptying;
  }
  return weights;
}

// How many more hosts may be set aside now: as many as acts can soon go out
// for.
size_t Leadership::MostMoves(const Ledger& ledger) const {
  size_t ready = 0;
  for (const auto& [host, track] : m_moves) {
    const Worker* worker = WorkerOn(ledger, host);
    const bool is_empty = worker == nullptr || worker->active.empty();
    ready += track.ordered_at == SteadyTime() && is_empty ? 1 : 0;
  }
  const size_t most = kActsAhead * m_init.hosts->acts_at_once();
  return most > ready ? most - ready : 0;
}

void Leadership::ReportPool(const PoolNeed& pool,
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
          .With("cores", static_cast<int64_t>(cores))
          .With("busy_cores", static_cast<int64_t>(busy))
          .With("movable_hosts", movable)
          .With("arriving_cores",
                static_cast<int64_t>(m_demand.Rate(pool.service, Now())))
          .With("period_ms", m_demand.period())
          .With("turn_ms", m_demand.turn_length()));
}

void Leadership::ChooseMoves(const Ledger& ledger) {
  const std::map<std::string, ServiceNeed> needs = NeededCores(ledger);
  const std::map<std::string, uint32_t> persistent = HostsForPersistent(ledger);
  std::vector<PoolNeed> pools;
  for (const auto& service : ledger.configuration().services) {
    const ServiceNeed& need = needs.at(service.name);
    const auto hosts = persistent.find(service.name);
    pools.push_back({service.name, service.is_spare, need.now + need.persistent,
                     need.soon + need.persistent,
                     hosts == persistent.end() ? 0 : hosts->second});
  }
  std::vector<PoolHost> hosts;
  for (const auto& [host, state] : m_inventory) {
    const auto move = m_moves.find(host);
    const Worker* worker = WorkerOn(ledger, host);
    const bool is_off = IsSpare(ledger, state.pool);
    PoolHost& out = hosts.emplace_back();
    out.host = host;
    out.service = move == m_moves.end() ? state.pool : move->second.to;
    out.cores = state.cores;
    out.since = state.since;
    if (worker != nullptr) {
      out.busy_cores = static_cast<double>(worker->used.millicores -
                                           worker->persistent_millicores) /
                       1000;
    }
    out.idle_for = IdleFor(host, out.busy_cores);
    const bool is_idle_worker =
        worker != nullptr && IsUsable(*worker, m_links.at(worker->info.id)) &&
        worker->persistent_runs == 0;
    out.is_movable =
        state.is_up && !IsEvacuated(host) && (is_off || is_idle_worker);
    if (worker != nullptr && out.is_movable) {
      out.empties_in = EmptiesIn(ledger, *worker);
    }
    const bool is_served =
        worker == nullptr ? is_off || move != m_moves.end() : Serves(*worker);
    if (!state.is_up || !is_served) {
      out.cores = 0;  // Serves nobody where it is.
    }
  }
  const SteadyTime now = Now();
  if (now >= m_next_report) {
    m_next_report = now + kReportPeriod;
    for (const PoolNeed& pool : pools) {
      ReportPool(pool, hosts);
    }
  }
  scheduling::PoolWeights weights = WeighPools(pools);
  weights.most_moves = std::min(weights.most_moves, MostMoves(ledger));
  for (const PoolMove& move :
       PlanMoves(pools, std::move(hosts), weights, now)) {
    const std::string& from = m_inventory[move.host].pool;
    if (m_refused_moves.contains({move.host, move.to})) {
      continue;
    }
    MoveTrack& track = m_moves[move.host];
    track.to = move.to;
    track.chosen_at = now;
    const auto of = [&](const std::string& service) {
      const auto found = needs.find(service);
      return found == needs.end() ? int64_t{0}
                                  : static_cast<int64_t>(std::max(
                                        found->second.now, found->second.soon));
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

void Leadership::StepMove(const Ledger& ledger,
                          const std::string& host,
                          MoveTrack& track) {
  const SteadyTime now = Now();
  if (track.ordered_at != SteadyTime() || track.is_act_under_way ||
      now < track.next_try || now - track.chosen_at < kSettles) {
    return;
  }
  const auto& lives = ledger.WorkersOn(host);
  const bool is_empty =
      std::all_of(lives.begin(), lives.end(), [&](const std::string& life) {
        return ledger.FindWorker(life)->active.empty() &&
               !m_planner.HasPlanned(life);
      });
  if (!is_empty) {
    return;
  }
  const Worker* worker = WorkerOn(ledger, host);
  track.life_before = LifeOf(worker);
  track.is_act_under_way = true;
  track.acted_at = now;
  HostAct act = MakeHostAct(host);
  act.pool = track.to;
  WhenSure([this, act = std::move(act)] {
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
  MoveTrack& track = found->second;
  track.is_act_under_way = false;
  track.next_try = Now() + kActRetry;
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
    EndLife(track.life_before, "its host is moved");
    PlanSoon();
  } else if (outcome == HostActOutcome::kRefused) {
    m_refused_moves.insert({host, track.to});
    m_moves.erase(found);
  } else if (outcome == HostActOutcome::kBusy) {
    m_inventory[host].is_up = false;  // Until it or the list says otherwise.
    m_next_list = std::min(m_next_list, Now() + kListRetry);
    m_moves.erase(found);
  }
}

}  // namespace laurelhall::dispatch
