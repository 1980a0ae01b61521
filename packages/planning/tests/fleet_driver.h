#pragma once

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "laurelhall/planning/controller.h"

// Applies what a planner plans to a fleet, with time, failures and races from
// a seed. It stands in for the replicated state and the platform; it makes no
// decision of its own.
namespace laurelhall::planning {

using Planner =
    std::function<StepResult(const model::Fleet&, const StepInput&)>;

struct DriverOptions {
  uint64_t seed = 1;
  Millis step{std::chrono::minutes(1)};
  Millis longest_drain{std::chrono::minutes(10)};
  Millis maintenance_time{std::chrono::minutes(20)};
  Millis longest_repair{std::chrono::hours(8)};
  bool checks_drains = true;  ///< As the replicated state does on commit.
  budget::BudgetPolicy budget;
};

/// What went by; violations by planned acts must stay at none.
struct DriverCounts {
  int planned_drains = 0;
  int planned_violations = 0;  ///< Budgets broken by a planned drain.
  int refused_fresh = 0;       ///< Drains of a fresh step that were refused.
  int refused_stale = 0;
  int cut_off = 0;  ///< Hosts stopped with something in flight.
  int moves = 0;
  int moves_back = 0;  ///< To the pool left within a day.
  int maintained = 0;
  int pool_changes_elsewhere = 0;
  int64_t service_short_steps = 0;  ///< Below min_available.
  int64_t pool_short_steps = 0;     ///< Below target.
};

class FleetDriver {
 public:
  FleetDriver(model::Fleet fleet, Planner planner, DriverOptions options);

  /// Lets one step of time go by: the platform, then the planner.
  void Step();
  void Run(Millis time);

  /// Plans on an older fleet, as a leader that was cut off would, and commits
  /// what is still accepted; then commits the same once more.
  void StepAsOldLeader(const model::Fleet& older, WallTime when);

  bool Apply(const Transition& transition);
  bool ApplyEvent(const std::string& host, model::HostEvent event);
  void Fail(const std::string& host, Millis repair_time);
  void FailRack(const std::string& rack, Millis repair_time);
  void FailZone(const std::string& zone, Millis repair_time);
  void FailRandomHost();
  void RepairAll();

  model::Fleet& fleet() { return m_fleet; }
  const DriverCounts& counts() const { return m_counts; }
  WallTime now() const { return m_now; }
  StepInput& input() { return m_input; }
  std::mt19937_64& random() { return m_random; }
  /// Hosts that something is always in flight on, or that never come back.
  std::set<std::string> m_never_empty;
  std::set<std::string> m_never_return;
  /// Versions that the platform installs, by host, as the planner asked.
  std::map<std::string, std::string> m_install;

 private:
  void RunPlatform();
  void ReturnIfDone(const model::Host& host);
  void UpdateInFlight(const model::Host& host);
  void Commit(const StepResult& result, const model::Fleet& seen, bool fresh);
  void CommitAction(const Action& action, bool fresh);
  void CountShortfalls();
  bool HoldsFor(const model::Host& host) const;
  Millis RandomUpTo(Millis most);

  model::Fleet m_fleet;
  Planner m_planner;
  DriverOptions m_options;
  std::mt19937_64 m_random;
  WallTime m_now{std::chrono::hours(24 * 365)};
  StepInput m_input;
  DriverCounts m_counts;
  std::map<std::string, WallTime> m_busy_until;
  std::map<std::string, WallTime> m_repaired_at;
};

}  // namespace laurelhall::planning
