#pragma once

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "laurelhall/planning/controller.h"

// Simulates the replicated state and the platform for tests of a planner:
// applies the planner's actions to a fleet while time passes, with random drain
// times, repair times and failures from a seed. It makes no planning decisions.
namespace laurelhall::planning {

using Planner =
    std::function<StepResult(const model::Fleet&, const StepInput&)>;

/// The times of drains and repairs are random, up to their maximum.
struct DriverOptions {
  uint64_t seed = 1;
  Millis step{std::chrono::minutes(1)};  ///< Time that Step() advances.
  Millis max_drain_time{std::chrono::minutes(10)};
  Millis maintenance_time{std::chrono::minutes(20)};
  Millis max_repair_time{std::chrono::hours(8)};
  /// Whether a drain is checked against the budgets again on commit, as the
  /// replicated state does.
  bool rechecks_drains = true;
  budget::BudgetPolicy budget;
};

/// Counts over the whole run. planned_budget_violations must stay at zero.
struct DriverCounts {
  int planned_drains = 0;             ///< Planned drains that were committed.
  int planned_budget_violations = 0;  ///< Budgets broken by a planned drain.
  /// Drains refused on commit though planned on the current fleet.
  int refused_current_drains = 0;
  /// Drains refused on commit that were planned on an older fleet.
  int refused_stale_drains = 0;
  int cut_off = 0;  ///< Hosts stopped with requests or jobs in flight.
  int moves = 0;
  int moves_back_within_day =
      0;               ///< Moves to the pool that the host left within a day.
  int maintained = 0;  ///< Hosts that returned from maintenance.
  /// Transitions other than MovePool that changed a host's pool.
  int pool_changes_outside_moves = 0;
  /// Steps in which a service was below min_available, over all services.
  int64_t service_short_steps = 0;
  /// Steps in which a pool was below its target, over all pools.
  int64_t pool_short_steps = 0;
};

class FleetDriver {
 public:
  FleetDriver(model::Fleet fleet, Planner planner, DriverOptions options);

  /// Advances time by one step: simulates the platform, then plans and commits.
  void Step();
  /// Repeats Step() until `time` has passed.
  void Run(Millis time);

  /// Plans on an older fleet, as a leader that was partitioned would, and
  /// commits the result twice, as far as it is still accepted.
  void StepAsStaleLeader(const model::Fleet& stale_fleet, WallTime stale_time);

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
  /// Hosts that never become empty during a drain.
  std::set<std::string> m_never_empty;
  /// Hosts that don't return from maintenance or from a failure.
  std::set<std::string> m_never_return;
  /// Versions that the platform installs during maintenance, by host id, as the
  /// planner requested.
  std::map<std::string, std::string> m_versions_to_install;

 private:
  void SimulatePlatform();
  void ReturnIfDone(const model::Host& host);
  void UpdateInFlight(const model::Host& host);
  void Commit(const StepResult& result,
              const model::Fleet& planned_on,
              bool is_current);
  void CommitAction(const Action& action, bool is_current);
  void CountShortfalls();
  bool BudgetsHold(const model::Host& host) const;
  Millis RandomUpTo(Millis max_duration);

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
