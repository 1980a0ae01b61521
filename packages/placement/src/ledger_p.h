#pragma once

#include <array>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "laurelhall/placement/placer.h"
#include "work_p.h"

// The resources of hosts, runs and teams during a step, updated with the
// step's own decisions. Rebuilt from the committed fleet in every step, so that
// a new leader needs no other state.
namespace laurelhall::placement {

inline constexpr size_t kPriorityCount =
    static_cast<size_t>(model::Priority::kCount);

inline size_t PriorityRank(const model::Job& job) {
  return static_cast<size_t>(job.priority);
}

// A run that holds resources of its host.
struct Run {
  const model::Job* job = nullptr;
  const JobUsage* usage = nullptr;  // Null when none was reported.
  int host = 0;
  int team = 0;
  model::Resources held;  // Taken from the host's capacity.
  double throttle = 1;
  // Copied from the job, so that a pass over all runs need not read the jobs.
  WallTime started{};
  double committed_throttle = 1;
  bool is_checkpointing = false;  // As committed.
  bool is_releasing = false;
  bool is_borrowed = false;  // Exceeds its team's guarantee.
};

// Room on a host that is kept for a blocked job.
struct Reservation {
  const model::Job* job = nullptr;
  WallTime free_at{};      // When the room is expected.
  model::Resources spare;  // Expected to stay free beside the job.
  // Set for a starved job: only jobs that fit in `spare` may start, however
  // short they are.
  bool excludes_short_jobs = false;
};

struct HostSlot {
  const model::Host* host = nullptr;
  bool accepts_work = false;        // Accepts new runs.
  bool last_run_succeeded = false;  // As far as this leader saw.
  int failure_score = 0;  // WorkerEvidence::Score(): 0 without failures.
  int rack = 0;
  int zone = 0;
  int starts = 0;  // In this step.
  int max_starts = 0;
  int max_urgent_starts = 0;
  model::Resources free;       // May be below zero when runs use more.
  model::Resources releasing;  // Held by runs told to end, expected soon.
  // The part of free and releasing that jobs waiting for it have claimed.
  model::Resources claimed;
  bool has_urgent_claim = false;
  std::vector<int> runs;
  std::optional<Reservation> reservation;

  // Room for a start now.
  model::Resources available() const;
  // Room once the runs that were told to end have ended.
  model::Resources expected() const;
};

struct TeamUsage {
  std::string_view name;
  const model::Quota* quota = nullptr;
  // Indexed by PriorityRank().
  std::array<model::Resources, kPriorityCount> usage_by_rank;
  bool has_borrowed_marks = false;  // MarkBorrowed() was called.
  std::vector<int> runs;

  model::Resources UsageUpToRank(size_t rank) const;
  model::Resources total() const { return UsageUpToRank(kPriorityCount - 1); }
};

// A job size for which a pool had no room. Jobs at least as large are not tried
// again in the step.
struct BlockedSize {
  model::Resources declared;
  model::Resources size;
};

// A job size for which no room could be made by throttling or ending runs, for
// jobs of the same team, rank and guarantee.
struct BlockedPreemption {
  BlockedSize size;
  int team = 0;
  size_t rank = 0;
  bool is_guaranteed = false;
};

struct PoolState {
  std::string_view name;
  std::vector<int> hosts;
  model::Resources capacity;
  // Held by runs that had waited longer than starvation_age.
  model::Resources held_by_starved;
  std::vector<BlockedSize> blocked;
  std::vector<BlockedPreemption> blocked_preemptions;
  int reservations = 0;
  int preempt_failures = 0;
};

class Ledger {
 public:
  Ledger(const model::Fleet& fleet,
         const Observations& observations,
         const WorkerEvidence& evidence,
         const PlacerInit& init,
         WallTime now);

  std::vector<HostSlot> hosts;
  std::vector<Run> runs;
  std::vector<TeamUsage> teams;
  std::vector<PoolState> pools;
  std::vector<const model::Job*> queued_jobs;
  // Running jobs whose host is not in the fleet.
  std::vector<const model::Job*> jobs_on_missing_hosts;

  int FindHost(std::string_view id) const;
  int FindPool(std::string_view name) const;
  int FindTeam(std::string_view name);

  // The estimated size of a job on a host. If the declared size fits the host's
  // capacity, the estimate is limited to that capacity.
  model::Resources SizeOn(const HostSlot& slot,
                          const model::Job& job,
                          const model::Resources& size) const;

  // Whether a job of this size would run within its team's guarantee.
  bool IsGuaranteed(const TeamUsage& team,
                    const model::Job& job,
                    const model::Resources& size) const;
  bool MayBorrow(const TeamUsage& team, const model::Resources& size) const;

  // Marks the team's runs that exceed its guarantee, which covers the most
  // urgent runs first and among these the earliest started. Does nothing if
  // called again.
  void MarkBorrowed(TeamUsage& team);

  void Start(int host,
             int team,
             const model::Job& job,
             const model::Resources& size);
  void Throttle(int run, double throttle);
  void Release(int run);

  // Numbers of a team's runs, used to spread them over racks and availability
  // zones.
  int TeamRunsInRack(int team, int rack) const;
  int TeamRunsInZone(int team, int zone) const;
  int TeamRuns(int team) const;

 private:
  void AddHosts(const WorkerEvidence& evidence);
  void CloseFailingHosts(const WorkerEvidence& evidence, WallTime now);
  void LimitStarts(HostSlot& slot, WallTime now) const;
  void AddJobs(const Observations& observations, WallTime now);
  void AddRun(const model::Job& job, const JobUsage* usage, WallTime now);
  void AddStarvedUsage(const model::Job& job, const Run& run);
  bool HoldsResources(const model::Job& job, WallTime now) const;
  bool IsExpectedToEnd(const model::Job& job, WallTime now) const;
  void AddTeamRuns(int team, const HostSlot& slot, int delta);

  const model::Fleet& m_fleet;
  const PlacerInit& m_init;
  const bool m_has_quotas;
  std::unordered_map<std::string_view, int> m_host_index;
  std::unordered_map<std::string_view, int> m_pool_index;
  std::unordered_map<std::string_view, int> m_team_index;
  std::unordered_map<std::string_view, int> m_rack_index;
  std::unordered_map<std::string_view, int> m_zone_index;
  std::vector<std::vector<int>> m_team_racks;
  std::vector<std::vector<int>> m_team_zones;
  std::vector<int> m_team_runs;
};

}  // namespace laurelhall::placement
