#include "ledger_p.h"

#include <algorithm>
#include <tuple>

namespace laurelhall::placement {
namespace {

using model::Host;
using model::HostState;
using model::Job;
using model::Resources;

// Largest share of a pool's hosts that may be closed after failures. If more of
// them fail, the cause is likely not the hosts.
constexpr double kMaxSetAsideShare = 0.2;
// A run that has lasted this long counts in favour of its worker.
constexpr Millis kMinHealthyRunAge{10'000};

int FindOrAddIndex(std::unordered_map<std::string_view, int>& index,
                   std::string_view name) {
  return index.try_emplace(name, static_cast<int>(index.size())).first->second;
}

int Find(const std::unordered_map<std::string_view, int>& index,
         std::string_view name) {
  const auto found = index.find(name);
  return found == index.end() ? -1 : found->second;
}

// A run that uses more than was reserved holds what it uses. A throttled run
// holds only its share of the reserved processors, since throttling takes back
// those used beyond it.
Resources HeldResources(const Job& job, const JobUsage* usage) {
  Resources held = job.reserved;
  held.processors *= job.throttle;
  if (usage == nullptr) {
    return held;
  }
  held.memory_gb = std::max(held.memory_gb, usage->used.memory_gb);
  if (job.throttle >= 1) {
    held.processors = std::max(held.processors, usage->used.processors);
  }
  return held;
}

int& GrowToElement(std::vector<int>& cells, int index) {
  if (static_cast<size_t>(index) >= cells.size()) {
    cells.resize(static_cast<size_t>(index) + 1);
  }
  return cells[static_cast<size_t>(index)];
}

int CountAt(const std::vector<int>& cells, int index) {
  return static_cast<size_t>(index) < cells.size()
             ? cells[static_cast<size_t>(index)]
             : 0;
}

}  // namespace

Resources HostSlot::available() const {
  return free - claimed;
}

Resources HostSlot::expected() const {
  return free + releasing - claimed;
}

Resources TeamUsage::UsageUpToRank(size_t rank) const {
  Resources sum;
  for (size_t i = 0; i <= rank; ++i) {
    sum = sum + usage_by_rank[i];
  }
  return sum;
}

Ledger::Ledger(const model::Fleet& fleet,
               const Observations& observations,
               const WorkerEvidence& evidence,
               const PlacerInit& init,
               WallTime now)
    : m_fleet(fleet), m_init(init), m_has_quotas(!fleet.quotas.empty()) {
  AddHosts(evidence);
  CloseFailingHosts(evidence, now);
  AddJobs(observations, now);
  for (HostSlot& slot : hosts) {
    LimitStarts(slot, now);
  }
}

// Limits the starts on a worker whose last run did not succeed or that has
// failures, so that a worker on which jobs fail fast does not receive the whole
// queue. Each run that has lasted long enough raises the limit by one, each
// younger run lowers it by one.
void Ledger::LimitStarts(HostSlot& slot, WallTime now) const {
  slot.max_starts = m_init.max_starts_per_host;
  slot.max_urgent_starts =
      slot.failure_score > 0 ? 1 : m_init.max_starts_per_host;
  if (slot.last_run_succeeded && slot.failure_score == 0) {
    return;
  }
  int allowed = slot.failure_score > 0 ? 1 : m_init.max_starts_per_host;
  for (const int index : slot.runs) {
    const WallTime started = runs[static_cast<size_t>(index)].started;
    allowed += now - started >= kMinHealthyRunAge ? 1 : -1;
  }
  slot.max_starts = std::clamp(allowed, 0, m_init.max_starts_per_host);
}

void Ledger::AddHosts(const WorkerEvidence& evidence) {
  hosts.reserve(m_fleet.hosts.size());
  m_host_index.reserve(m_fleet.hosts.size());
  for (const auto& [id, host] : m_fleet.hosts) {
    HostSlot slot;
    slot.host = &host;
    slot.free = host.capacity;
    slot.rack = FindOrAddIndex(m_rack_index, host.rack);
    slot.zone = FindOrAddIndex(m_zone_index, host.availability_zone);
    slot.failure_score = evidence.FaultScore(id);
    slot.accepts_work = host.state == HostState::kInPool;
    slot.last_run_succeeded = evidence.SucceededSinceFailure(id);
    const int index = static_cast<int>(hosts.size());
    m_host_index.emplace(id, index);
    hosts.push_back(std::move(slot));
    if (host.state == HostState::kRetired) {
      continue;
    }
    const int pool = FindOrAddIndex(m_pool_index, host.pool);
    if (static_cast<size_t>(pool) == pools.size()) {
      pools.emplace_back().name = host.pool;
    }
    PoolState& use = pools[static_cast<size_t>(pool)];
    use.hosts.push_back(index);
    use.capacity = use.capacity + host.capacity;
  }
}

// Closes the hosts that are set aside or paused after a failure, up to a share
// of each pool (at least one host): first those that were set aside first.
void Ledger::CloseFailingHosts(const WorkerEvidence& evidence, WallTime now) {
  for (PoolState& pool : pools) {
    std::vector<std::pair<WallTime, int>> aside;
    for (const int index : pool.hosts) {
      const Host& host = *hosts[static_cast<size_t>(index)].host;
      if (evidence.IsWorkerQuarantined(host.id, now)) {
        aside.emplace_back(evidence.Find(host.id)->set_aside_at, index);
      } else if (evidence.IsInBackoff(host.id, now)) {
        // Sorts after all hosts that are set aside.
        aside.emplace_back(now + kMinHealthyRunAge, index);
      }
    }
    const auto share = static_cast<size_t>(
        static_cast<double>(pool.hosts.size()) * kMaxSetAsideShare);
    const size_t limit = std::max<size_t>(1, share);
    std::sort(aside.begin(), aside.end());
    aside.resize(std::min(aside.size(), limit));
    for (const auto& [at, index] : aside) {
      hosts[static_cast<size_t>(index)].accepts_work = false;
    }
  }
}

// Jobs and usage are both ordered by job id, so that one pass merges them.
void Ledger::AddJobs(const Observations& observations, WallTime now) {
  auto usage = observations.usage.begin();
  const auto end = observations.usage.end();
  for (const auto& [id, job] : m_fleet.jobs) {
    if (job.state == model::JobState::kQueued) {
      queued_jobs.push_back(&job);
      continue;
    }
    if (job.host.empty()) {
      continue;
    }
    while (usage != end && usage->first < id) {
      ++usage;
    }
    const bool has_usage =
        usage != end && usage->first == id && usage->second.lease == job.lease;
    AddRun(job, has_usage ? &usage->second : nullptr, now);
  }
}

void Ledger::AddRun(const Job& job, const JobUsage* usage, WallTime now) {
  const int host = FindHost(job.host);
  if (host < 0) {
    if (IsRunning(job)) {
      jobs_on_missing_hosts.push_back(&job);
    }
    return;
  }
  if (!HoldsResources(job, now)) {
    return;
  }
  HostSlot& slot = hosts[static_cast<size_t>(host)];
  Run run;
  run.job = &job;
  run.usage = usage;
  run.host = host;
  run.team = FindTeam(job.team);
  run.held = HeldResources(job, usage);
  run.throttle = job.throttle;
  run.started = job.started;
  run.committed_throttle = job.throttle;
  run.is_checkpointing =
      job.state == model::JobState::kCheckpointing && !job.is_stopping;
  run.is_releasing = !IsRunning(job) || IsReleasing(job);
  const int index = static_cast<int>(runs.size());
  slot.free = slot.free - run.held;
  slot.runs.push_back(index);
  if (!run.is_releasing) {
    TeamUsage& team = teams[static_cast<size_t>(run.team)];
    team.usage_by_rank[PriorityRank(job)] =
        team.usage_by_rank[PriorityRank(job)] + job.reserved;
    team.runs.push_back(index);
    AddTeamRuns(run.team, slot, 1);
    AddStarvedUsage(job, run);
  } else if (IsExpectedToEnd(job, now)) {
    slot.releasing = slot.releasing + run.held;
  } else {
    // A worker that did not confirm in time gets no new work until it does.
    slot.accepts_work = false;
  }
  runs.push_back(run);
}

void Ledger::AddStarvedUsage(const Job& job, const Run& run) {
  if (job.started - job.submitted <= m_init.starvation_age) {
    return;
  }
  const int pool = FindPool(job.pool);
  if (pool >= 0) {
    PoolState& use = pools[static_cast<size_t>(pool)];
    use.held_by_starved = use.held_by_starved + run.held;
  }
}

// The run of an ended job keeps its resources until its worker confirms, or
// until the lease timeout has passed.
bool Ledger::HoldsResources(const Job& job, WallTime now) const {
  return IsRunning(job) || now < job.state_since + m_init.lease_timeout;
}

// Whether the worker's confirmation may still be expected: a stop's within its
// timeout, a checkpoint's within the sum of both timeouts.
bool Ledger::IsExpectedToEnd(const Job& job, WallTime now) const {
  const bool is_checkpoint = IsRunning(job) && !job.is_stopping;
  const Millis bound = is_checkpoint
                           ? m_init.checkpoint_timeout + m_init.stop_timeout
                           : m_init.stop_timeout;
  return now <= job.state_since + bound;
}

int Ledger::FindHost(std::string_view id) const {
  return Find(m_host_index, id);
}

int Ledger::FindPool(std::string_view name) const {
  return Find(m_pool_index, name);
}

int Ledger::FindTeam(std::string_view name) {
  const int index = FindOrAddIndex(m_team_index, name);
  if (static_cast<size_t>(index) == teams.size()) {
    TeamUsage& team = teams.emplace_back();
    team.name = name;
    const auto quota = m_fleet.quotas.find(std::string(name));
    team.quota = quota == m_fleet.quotas.end() ? nullptr : &quota->second;
    m_team_racks.emplace_back();
    m_team_zones.emplace_back();
    m_team_runs.push_back(0);
  }
  return index;
}

Resources Ledger::SizeOn(const HostSlot& slot,
                         const Job& job,
                         const Resources& size) const {
  return Fits(job.declared, slot.host->capacity)
             ? Min(size, slot.host->capacity)
             : size;
}

bool Ledger::IsGuaranteed(const TeamUsage& team,
                          const Job& job,
                          const Resources& size) const {
  if (!m_has_quotas) {
    return true;
  }
  if (team.quota == nullptr) {
    return false;
  }
  // A job whose declared size fits the guarantee must not exceed it only
  // because its estimated size is larger.
  const Resources& guaranteed = team.quota->guaranteed;
  const Resources need =
      Fits(job.declared, guaranteed) ? Min(size, guaranteed) : size;
  return Fits(team.UsageUpToRank(PriorityRank(job)) + need, guaranteed);
}

bool Ledger::MayBorrow(const TeamUsage& team, const Resources& size) const {
  if (!m_has_quotas || team.quota == nullptr || team.quota->may_borrow) {
    return true;
  }
  return Fits(team.total() + Min(size, team.quota->guaranteed),
              team.quota->guaranteed);
}

void Ledger::MarkBorrowed(TeamUsage& team) {
  if (team.has_borrowed_marks || !m_has_quotas) {
    return;
  }
  team.has_borrowed_marks = true;
  const Resources guaranteed =
      team.quota == nullptr ? Resources{} : team.quota->guaranteed;
  if (Fits(team.total(), guaranteed)) {
    return;
  }
  std::vector<int> order = team.runs;
  std::sort(order.begin(), order.end(), [this](int a, int b) {
    const Job& x = *runs[static_cast<size_t>(a)].job;
    const Job& y = *runs[static_cast<size_t>(b)].job;
    return std::tie(x.priority, x.started, x.id) <
           std::tie(y.priority, y.started, y.id);
  });
  Resources sum;
  for (const int index : order) {
    Run& run = runs[static_cast<size_t>(index)];
    if (run.is_releasing) {
      continue;
    }
    sum = sum + run.job->reserved;
    run.is_borrowed = !Fits(sum, guaranteed);
  }
}

void Ledger::Start(int host, int team, const Job& job, const Resources& size) {
  HostSlot& slot = hosts[static_cast<size_t>(host)];
  slot.free = slot.free - size;
  ++slot.starts;
  TeamUsage& use = teams[static_cast<size_t>(team)];
  use.usage_by_rank[PriorityRank(job)] =
      use.usage_by_rank[PriorityRank(job)] + size;
  AddTeamRuns(team, slot, 1);
}

void Ledger::Throttle(int run_index, double throttle) {
  Run& run = runs[static_cast<size_t>(run_index)];
  HostSlot& slot = hosts[static_cast<size_t>(run.host)];
  const double before = run.held.processors;
  run.throttle = throttle;
  run.held.processors = run.job->reserved.processors * throttle;
  slot.free.processors += before - run.held.processors;
}

void Ledger::Release(int run_index) {
  Run& run = runs[static_cast<size_t>(run_index)];
  HostSlot& slot = hosts[static_cast<size_t>(run.host)];
  run.is_releasing = true;
  slot.releasing = slot.releasing + run.held;
  TeamUsage& team = teams[static_cast<size_t>(run.team)];
  Resources& use = team.usage_by_rank[PriorityRank(*run.job)];
  use = use - run.job->reserved;
  AddTeamRuns(run.team, slot, -1);
}

void Ledger::AddTeamRuns(int team, const HostSlot& slot, int delta) {
  const auto index = static_cast<size_t>(team);
  GrowToElement(m_team_racks[index], slot.rack) += delta;
  GrowToElement(m_team_zones[index], slot.zone) += delta;
  m_team_runs[index] += delta;
}

int Ledger::TeamRunsInRack(int team, int rack) const {
  return CountAt(m_team_racks[static_cast<size_t>(team)], rack);
}

int Ledger::TeamRunsInZone(int team, int zone) const {
  return CountAt(m_team_zones[static_cast<size_t>(team)], zone);
}

int Ledger::TeamRuns(int team) const {
  return m_team_runs[static_cast<size_t>(team)];
}

}  // namespace laurelhall::placement
