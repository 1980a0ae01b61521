#include <algorithm>
#include <deque>

#include "step_p.h"

namespace laurelhall::placement {
namespace {

using model::Priority;
using model::Resources;

// Weights of the terms that are added to the share of free room left on a host.
constexpr double kAcceleratorWasteWeight = 4;
constexpr double kRackSpreadWeight = 0.5;
constexpr double kZoneSpreadWeight = 0.25;
constexpr double kFailureScorePenalty = 1;

enum class Outcome { kStarted, kWaiting, kBlocked };

bool IsBlockedSize(const PoolState& pool, const QueuedJob& queued) {
  return std::any_of(pool.blocked.begin(), pool.blocked.end(),
                     [&queued](const BlockedSize& blocked) {
                       return Fits(blocked.declared, queued.job->declared) &&
                              Fits(blocked.size, queued.size);
                     });
}

double ShareOf(int part, int whole) {
  return whole == 0 ? 0 : static_cast<double>(part) / whole;
}

// Cost of a job on a host; lower is better. Best fit by the resource,
// processors or memory, of which the job takes the larger share: the less of it
// stays free, the lower the cost.
double PlacementCost(const Ledger& ledger,
                     const HostSlot& slot,
                     const QueuedJob& queued,
                     const Resources& size) {
  const Resources& capacity = slot.host->capacity;
  const Resources left = slot.available() - size;
  const double by_processors = size.processors / capacity.processors;
  const double by_memory =
      capacity.memory_gb > 0 ? size.memory_gb / capacity.memory_gb : 0;
  double score = by_processors >= by_memory
                     ? left.processors / capacity.processors
                     : left.memory_gb / capacity.memory_gb;
  if (capacity.accelerators > 0) {
    score += size.accelerators == 0 ? kAcceleratorWasteWeight
                                    : static_cast<double>(left.accelerators) /
                                          capacity.accelerators;
  }
  const int runs = ledger.TeamRuns(queued.team);
  score += kRackSpreadWeight *
           ShareOf(ledger.TeamRunsInRack(queued.team, slot.rack), runs);
  score += kZoneSpreadWeight *
           ShareOf(ledger.TeamRunsInZone(queued.team, slot.zone), runs);
  return score + kFailureScorePenalty * slot.failure_score;
}

int FindBestHost(const StepContext& context, const QueuedJob& queued) {
  const Ledger& ledger = context.ledger;
  int best = -1;
  double best_score = 0;
  for (const int index : ledger.pools[queued.pool].hosts) {
    const HostSlot& slot = ledger.hosts[index];
    if (!IsEligibleHost(slot, queued)) {
      continue;
    }
    const Resources size = ledger.SizeOn(slot, *queued.job, queued.size);
    if (!Fits(size, slot.available())) {
      continue;
    }
    const bool is_urgent = queued.job->priority == Priority::kUrgent;
    if (!is_urgent && !MayBackfill(context, slot, queued, size)) {
      continue;
    }
    const double score = PlacementCost(ledger, slot, queued, size);
    if (best < 0 || score < best_score) {
      best = index;
      best_score = score;
    }
  }
  return best;
}

void StartOn(StepContext& context,
             const QueuedJob& queued,
             int host,
             std::string reason) {
  HostSlot& slot = context.ledger.hosts[host];
  const Resources size = context.ledger.SizeOn(slot, *queued.job, queued.size);
  if (slot.reservation.has_value() &&
      (slot.reservation->excludes_short_jobs ||
       context.now + queued.remaining > slot.reservation->free_at)) {
    slot.reservation->spare = slot.reservation->spare - size;
  }
  JobAction action;
  action.job = queued.job->id;
  action.expected_lease = queued.job->lease;
  action.kind = JobActionKind::kStart;
  action.host = slot.host->id;
  action.reason = std::move(reason);
  action.reserved = size;
  context.actions.push_back(std::move(action));
  context.ledger.Start(host, queued.team, *queued.job, size);
  ++context.starts;
}

void RecordBlockedSize(StepContext& context, const QueuedJob& queued) {
  PoolState& pool = context.ledger.pools[queued.pool];
  // A job that failed on some hosts cannot use them, but other jobs of its size
  // may still fit there.
  if (queued.job->failed_on.empty() && !IsBlockedSize(pool, queued)) {
    pool.blocked.push_back({queued.job->declared, queued.size});
  }
}

Outcome TryMakeRoom(StepContext& context,
                    const QueuedJob& queued,
                    bool is_guaranteed) {
  const Room room = MakeRoom(context, queued, is_guaranteed);
  switch (room.result) {
    case RoomResult::kAvailableNow:
      StartOn(context, queued, room.host, "lower work was throttled for it");
      return Outcome::kStarted;
    case RoomResult::kWaiting:
      return Outcome::kWaiting;
    case RoomResult::kNone:
      break;
  }
  return Outcome::kBlocked;
}

Outcome TryPlace(StepContext& context,
                 const QueuedJob& queued,
                 bool is_guaranteed) {
  PoolState& pool = context.ledger.pools[queued.pool];
  if (!IsBlockedSize(pool, queued)) {
    const int host = FindBestHost(context, queued);
    if (host >= 0) {
      StartOn(context, queued, host,
              is_guaranteed ? "within its team's quota"
                            : "beyond its team's quota, on idle hosts");
      return Outcome::kStarted;
    }
    RecordBlockedSize(context, queued);
  }
  const bool is_urgent = queued.job->priority == Priority::kUrgent;
  if (is_urgent || (is_guaranteed && !context.fleet.quotas.empty())) {
    const Outcome outcome = TryMakeRoom(context, queued, is_guaranteed);
    if (outcome != Outcome::kBlocked) {
      return outcome;
    }
  }
  ReserveHost(context, queued);
  return Outcome::kBlocked;
}

bool IsGuaranteed(StepContext& context, const QueuedJob& queued) {
  return context.ledger.IsGuaranteed(context.ledger.teams[queued.team],
                                     *queued.job, queued.size);
}

bool MayBorrow(StepContext& context, const QueuedJob& queued) {
  return context.ledger.MayBorrow(context.ledger.teams[queued.team],
                                  queued.size);
}

// The share of its guarantee that a team uses, or of the whole fleet if it has
// no guarantee. The team with the smallest share goes first.
double ServedShare(const TeamUsage& team, const Resources& fleet) {
  const Resources& whole =
      team.quota != nullptr && team.quota->guaranteed.processors > 0
          ? team.quota->guaranteed
          : fleet;
  return DominantShare(team.total(), whole);
}

// Queued jobs of one rank that would exceed their teams' guarantees.
class BorrowingQueue {
 public:
  explicit BorrowingQueue(StepContext& context) : m_context(context) {
    for (const PoolState& pool : context.ledger.pools) {
      m_capacity = m_capacity + pool.capacity;
    }
  }

  void Add(const QueuedJob* queued) {
    const auto team = static_cast<size_t>(queued->team);
    if (team >= m_waiting.size()) {
      m_waiting.resize(team + 1);
    }
    m_waiting[team].push_back(queued);
  }

  // Tries all jobs, each time the next job of the team with the smallest served
  // share.
  void Place() {
    for (int team = NextTeam(); team >= 0; team = NextTeam()) {
      const QueuedJob& queued = *m_waiting[team].front();
      m_waiting[team].pop_front();
      if (m_context.starts < m_context.init.max_starts &&
          MayBorrow(m_context, queued)) {
        TryPlace(m_context, queued, false);
      }
    }
  }

 private:
  int NextTeam() const {
    int best = -1;
    double best_served = 0;
    for (size_t i = 0; i < m_waiting.size(); ++i) {
      if (m_waiting[i].empty()) {
        continue;
      }
      const double served = ServedShare(m_context.ledger.teams[i], m_capacity);
      if (best < 0 || served < best_served) {
        best = static_cast<int>(i);
        best_served = served;
      }
    }
    return best;
  }

  StepContext& m_context;
  Resources m_capacity;
  std::vector<std::deque<const QueuedJob*>> m_waiting;
};

}  // namespace

bool IsEligibleHost(const HostSlot& slot, const QueuedJob& queued) {
  // Urgent work need not wait until a run on the worker has succeeded.
  const bool is_urgent = queued.job->priority == Priority::kUrgent;
  const int max_starts = is_urgent ? slot.max_urgent_starts : slot.max_starts;
  if (!slot.accepts_work || slot.starts >= max_starts ||
      !Fits(queued.job->declared, slot.host->capacity)) {
    return false;
  }
  const auto& failed_on = queued.job->failed_on;
  return std::find(failed_on.begin(), failed_on.end(), slot.host->id) ==
         failed_on.end();
}

// First places the jobs within their teams' guarantees, in the order of
// admission; then, rank by rank, the jobs that borrow.
void PlaceQueue(StepContext& context) {
  const std::vector<QueuedJob> queue = OrderQueue(context);
  std::array<std::vector<const QueuedJob*>, kPriorityCount> borrowing;
  for (const QueuedJob& queued : queue) {
    if (context.starts >= context.init.max_starts) {
      return;
    }
    if (!IsGuaranteed(context, queued)) {
      borrowing[queued.rank].push_back(&queued);
    } else if (MayBorrow(context, queued) || MakeQuotaRoom(context, queued)) {
      TryPlace(context, queued, true);
    }
  }
  for (const std::vector<const QueuedJob*>& rank : borrowing) {
    BorrowingQueue borrowing_queue(context);
    for (const QueuedJob* queued : rank) {
      borrowing_queue.Add(queued);
    }
    borrowing_queue.Place();
  }
}

}  // namespace laurelhall::placement
