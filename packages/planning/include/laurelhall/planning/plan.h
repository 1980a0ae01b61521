#pragma once

#include <map>
#include <string>
#include <vector>

#include "laurelhall/budget/budget.h"
#include "laurelhall/model/fleet.h"
#include "laurelhall/planning/lifecycle.h"

// What planning is given besides the fleet, and what it answers.
namespace laurelhall::planning {

/// A planned transition and why it is planned, in one line for operators.
struct Action {
  Transition transition;
  std::string why;
};

/// Requests that a host answered since it last became capacity.
struct HostOutcomes {
  int64_t good = 0;
  int64_t bad = 0;
};
BOOST_DESCRIBE_STRUCT(HostOutcomes, (), (good, bad))

/// What is seen of the fleet beside the replicated state.
struct StepInput {
  WallTime now{};
  /// Requests and jobs in flight by host. A host that isn't in it isn't known
  /// to be empty, and is never stopped.
  std::map<std::string, int> in_flight;
  budget::BurnByService burn;
  std::map<std::string, HostOutcomes> outcomes;
};
BOOST_DESCRIBE_STRUCT(StepInput, (), (now, in_flight, burn, outcomes))

/// The bounds that planning works within.
struct PlanningPolicy {
  budget::BudgetPolicy budget;

  /// A host in maintenance for longer halts its wave or roll-out.
  Millis return_timeout{std::chrono::hours(1)};
  /// Drains of one host that come to nothing before it is given up.
  int max_drain_tries = 3;
  /// After a rack or zone has gone, acts there wait until nothing has failed
  /// for so long.
  Millis settle{std::chrono::minutes(5)};
  /// A domain is down when more than half of its hosts, and so many, failed.
  int domain_down_hosts = 2;

  /// Share of the period over which a pool's maintenance is spread.
  double schedule_spread = 0.75;
  /// Share of the period that a host is left alone after its maintenance.
  double schedule_rest = 0.5;
  /// Share of the period before its end in which a host goes without quota.
  double schedule_lead = 0.125;

  /// Each of the roll-out's first stages is watched for so long.
  Millis stage_bake{std::chrono::minutes(5)};
  /// Requests of hosts with the new version before they are compared.
  int64_t compare_requests = 50;
  /// Error share of the new version at which it is rolled back: over twice
  /// that of the old one and a hundredth.
  double error_ratio = 2;
  double error_margin = 0.01;

  /// A failed host that may yet come back isn't replaced for so long, unless
  /// its service is out of budget.
  Millis move_patience{std::chrono::minutes(10)};
  /// A host that changed its pool stays there for so long.
  Millis move_cooldown{std::chrono::hours(24)};
};

/// Waves and roll-outs that changed, and the actions, in the order to commit.
struct StepResult {
  std::vector<Action> actions;
  std::vector<model::Wave> waves;
  std::vector<model::Rollout> rollouts;
};

}  // namespace laurelhall::planning
