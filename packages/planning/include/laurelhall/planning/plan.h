#pragma once

#include <map>
#include <string>
#include <vector>

#include "laurelhall/budget/budget.h"
#include "laurelhall/model/fleet.h"
#include "laurelhall/planning/lifecycle.h"

// The inputs of planning besides the fleet, its policy and its results.
namespace laurelhall::planning {

/// A planned transition of one host.
struct Action {
  Transition transition;
  std::string why;  ///< The reason, in one line for operators.
};

/// Counts of the requests that a host answered since it last became capacity.
struct HostOutcomes {
  int64_t good = 0;  ///< Requests that succeeded.
  int64_t bad = 0;   ///< Requests that failed.
};
BOOST_DESCRIBE_STRUCT(HostOutcomes, (), (good, bad))

/// Observations of the fleet that aren't in the replicated state.
struct StepInput {
  WallTime now{};
  /// Requests and jobs in flight, by host id. A host without an entry isn't
  /// known to be empty, and is never stopped.
  std::map<std::string, int> in_flight;
  budget::BurnByService burn;
  std::map<std::string, HostOutcomes> outcomes;  ///< By host id.
};
BOOST_DESCRIBE_STRUCT(StepInput, (), (now, in_flight, burn, outcomes))

/// Limits and waiting times of planning.
struct PlanningPolicy {
  budget::BudgetPolicy budget;

  /// A host that is in maintenance for longer halts its wave or roll-out.
  Millis return_timeout{std::chrono::hours(1)};
  /// A wave or roll-out gives up a host after this many drains that didn't
  /// empty it.
  int max_drain_tries = 3;
  /// While a rack or zone is down, waves and roll-outs that it affects wait at
  /// least until no host there has failed for this time.
  Millis domain_settle_time{std::chrono::minutes(5)};
  /// A rack or zone counts as down if at least this many of its hosts have
  /// failed and these are more than half of its hosts.
  int min_failures_of_down_domain = 2;

  /// Share of the pool's maintenance period over which the maintenance of its
  /// hosts is spread; sets the daily quota.
  double schedule_spread_share = 0.75;
  /// Share of the period after a host's maintenance in which it isn't scheduled
  /// again.
  double schedule_min_gap_share = 0.5;
  /// Share of the period, at its end, in which a host is scheduled regardless
  /// of the daily quota.
  double schedule_urgent_share = 0.125;

  /// Time for which the new version is observed after each of the roll-out's
  /// first stages, unless the roll-out sets its own.
  Millis stage_bake_time{std::chrono::minutes(5)};
  /// Requests that a version's hosts must have answered before its error share
  /// is compared.
  int64_t min_compared_requests = 50;
  /// The new version is rolled back if its error share exceeds that of the old
  /// version times error_ratio, plus error_margin: by default twice the old
  /// share plus a hundredth.
  double error_ratio = 2;
  double error_margin = 0.01;

  /// A failed host may come back and isn't replaced before this time, unless a
  /// service of its pool is out of budget.
  Millis replacement_delay{std::chrono::minutes(10)};
  /// A host that changed its pool isn't moved again before this time.
  Millis move_cooldown{std::chrono::hours(24)};
};

/// The waves and roll-outs that a step changed, and the actions to commit in
/// their order.
struct StepResult {
  std::vector<Action> actions;
  std::vector<model::Wave> waves;
  std::vector<model::Rollout> rollouts;
};

}  // namespace laurelhall::planning
