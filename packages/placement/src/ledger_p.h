#pragma once

#include <array>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "laurelhall/placement/placer.h"
#include "work_p.h"

// What a step knows of hosts, runs and teams, with what it has decided so far.
// Rebuilt from the committed fleet in every step, so that a new leader needs
// nothing else.
namespace laurelhall::placement {

inline constexpr size_t kPriorityCount =
    static_cast<size_t>(model::Priority::kCount);

inline size_t PriorityRank(const model::Job& job) {
  return static_cast<size_t>(job.priority);
}

// A run that holds a part of its host.
struct Run {
  const model::Job* job = nullptr;
  const JobUsage* usage = nullptr;  // Null when none was reported.
  int host = 0;
  int team = 0;
  model::Resources held;  // What it takes of its host.
  double throttle = 1;
  // Copied from the job, so that a pass over all runs stays off the jobs.
  WallTime started{};
  double committed_throttle = 1;
  bool is_checkpointing = false;  // As committed.
  bool is_releasing = false;
  bool is_borrowed = false;  // Beyond its team's guarantee.
};

// The room on a host that a blocked job waits for.
struct Reservation {
  const model::Job* job = nullptr;
  WallTime free_at{};      // When its room is expected.
  model::Resources spare;  // What stays free beside it.
  bool excludes_short_jobs =
      false;  // It has starved: only the spare room is given.
};

struct HostSlot {
  const model::Host* host = nullptr;
  bool is_open = false;             // Takes new work.
  bool last_run_succeeded = false;  // Its last run here succeeded.
  int failure_score = 0;            // What speaks against it.
  int rack = 0;
  int zone = 0;
  int starts = 0;  // In this step.
  int max_starts = 0;
  int max_urgent_starts = 0;
  model::Resources free;       // May be below zero when runs use more.
  model::Resources releasing;  // Held by runs that were told to end.
  model::Resources claimed;    // Of free and coming, by jobs that wait for it.
  bool has_urgent_claim = false;
  std::vector<int> runs;
  std::optional<Reservation> reservation;

  model::Resources available() const;  // To start in now.
  model::Resources expected() const;   // Once runs told to end are gone.
};

struct TeamUse {
  std::string_view name;
  const model::Quota* quota = nullptr;
  std::array<model::Resources, kPriorityCount> usage_by_rank;  // By priority.
  bool has_borrowed_marks = false;  // Its borrowed runs are marked.
  std::vector<int> runs;

  model::Resources UsageUpToRank(size_t rank) const;
  model::Resources total() const { return UsageUpToRank(kPriorityCount - 1); }
};

// A size that found no room in a pool; sizes at least as large need no look.
struct BlockedSize {
  model::Resources declared;
  model::Resources size;
};

// The same for room that could not be made by ending other runs.
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
  model::Resources held_by_starved;  // Held by runs that had waited too long.
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
  std::vector<TeamUse> teams;
  std::vector<PoolState> pools;
  std::vector<const model::Job*> queued_jobs;
  std::vector<const model::Job*>
      jobs_on_missing_hosts;  // Their worker is not in service.

  int FindHost(std::string_view id) const;
  int FindPool(std::string_view name) const;
  int FindTeam(std::string_view name);

  // What a job is expected to take on a host; a correction never makes it
  // larger than a host that holds what it declares.
  model::Resources SizeOn(const HostSlot& slot,
                          const model::Job& job,
                          const model::Resources& size) const;

  // Whether a job of this size runs within its team's guarantee.
  bool IsGuaranteed(const TeamUse& team,
                    const model::Job& job,
                    const model::Resources& size) const;
  bool MayBorrow(const TeamUse& team, const model::Resources& size) const;

  // Marks a team's runs beyond its guarantee: least urgent and latest first.
  void MarkBorrowed(TeamUse& team);

  void Start(int host,
             int team,
             const model::Job& job,
             const model::Resources& size);
  void Throttle(int run, double throttle);
  void Release(int run);

  // Runs of a team in a rack and an availability zone, for spreading.
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
