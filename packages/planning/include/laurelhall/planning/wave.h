#pragma once

#include <string>
#include <vector>

#include "laurelhall/planning/plan.h"

// Maintenance waves. Each host is drained, confirmed empty, stopped for
// maintenance, returned and warmed up.
namespace laurelhall::planning {

struct WaveStep {
  std::vector<Action> actions;
  model::Wave wave;
};

/// Creates a wave over all hosts of some pools, ordered by failure domain.
///
/// @remarks Thread-safe. Hosts of one zone, and within it of one rack, are
///   next to each other in the order, so that the loss of a domain is likely
///   to hit hosts that are away already. All pools are maintained in parallel.
model::Wave PlanWave(const model::Fleet& fleet,
                     std::string id,
                     std::vector<std::string> pools,
                     WallTime now);

/// Plans a wave's next step.
///
/// @param fleet The committed state. The wave's progress is derived from its
///   hosts, so a step may be lost, repeated or planned by another leader.
/// @param wave The wave as committed.
/// @param budget Evaluated on `fleet`; the hosts to drain are taken from it.
/// @returns The actions, fenced by host epochs, and the updated wave.
/// @remarks A wave without `finish_by` drains hosts as fast as the budgets
///   allow. One with time to spare keeps its pools at their target sizes, or
///   drains one host at a time in pools without spare hosts. Thread-safe unless
///   calls share a budget.
WaveStep StepWave(const model::Fleet& fleet,
                  const model::Wave& wave,
                  budget::Budget& budget,
                  const StepInput& input,
                  const PlanningPolicy& policy = {});

/// Creates the periodic waves that keep every host within the maintenance
/// period of its pool.
///
/// @returns A new wave `period-POOL-DAY` for each pool that has due hosts and
///   no unfinished wave. There is at most one per pool and day, so that two
///   leaders create the same one. A halted periodic wave blocks further ones
///   for its pool until it is resolved.
/// @remarks Thread-safe. Each host is maintained as late as the daily quota
///   allows without delaying the hosts that are due after it, so that none is
///   maintained much more often than its period asks. A host near the end of
///   its period is included regardless of the quota.
std::vector<model::Wave> ScheduleWaves(const model::Fleet& fleet,
                                       const StepInput& input,
                                       const PlanningPolicy& policy = {});

/// Returns a lower bound on the time to maintain all hosts of some pools: the
/// largest over the services of hosts × time per host ÷ the hosts that may be
/// away at once.
///
/// @remarks Thread-safe. Returns Millis::max() if a service lets no host be
///   away.
Millis WaveLowerBound(const model::Fleet& fleet,
                      const std::vector<std::string>& pools,
                      Millis time_per_host,
                      const PlanningPolicy& policy = {});

}  // namespace laurelhall::planning
