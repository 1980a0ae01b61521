#pragma once

#include <string>
#include <vector>

#include "laurelhall/planning/plan.h"

// Maintenance waves: drain, confirm empty, stop, return, warm up.
namespace laurelhall::planning {

struct WaveStep {
  std::vector<Action> actions;
  model::Wave wave;
};

/// Makes a wave over all hosts of some pools, ordered by failure domain.
///
/// @remarks Thread-safe. Hosts of one zone, and in it of one rack, go one
///   after the other, so that a domain's loss hits hosts that are away
///   already; all pools go at once.
model::Wave PlanWave(const model::Fleet& fleet,
                     std::string id,
                     std::vector<std::string> pools,
                     WallTime now);

/// Works out what a wave does next.
///
/// @param fleet The committed state; the wave's progress is read from its
///   hosts, so that a step may be lost, repeated or made by another leader.
/// @param wave The wave as committed.
/// @param budget Counted on `fleet`; the hosts that are to drain are taken
///   from it.
/// @returns The actions, fenced by epochs, and the wave as it now stands.
/// @remarks A wave without `finish_by` goes as fast as the budgets allow. One
///   with time to spare keeps its pools at their targets, or takes one host at
///   a time where there is no reserve. Not thread-safe for one budget; else
///   thread-safe.
WaveStep StepWave(const model::Fleet& fleet,
                  const model::Wave& wave,
                  budget::Budget& budget,
                  const StepInput& input,
                  const PlanningPolicy& policy = {});

/// Starts the waves that keep every host within its pool's period.
///
/// @returns A new wave `period-POOL-DAY` for each pool that has hosts due and
///   no wave under way; at most one for a pool and day, so that two leaders
///   make the same one. A halted one holds up its pool until it is resolved.
/// @remarks Thread-safe. A host goes as late as leaves a daily quota enough
///   for those that are due after it, so that none is done much more often
///   than its period asks; one near its end goes without quota.
std::vector<model::Wave> ScheduleWaves(const model::Fleet& fleet,
                                       const StepInput& input,
                                       const PlanningPolicy& policy = {});

/// The least time in which the hosts of some pools can be done: for each
/// service its hosts × time per host ÷ the hosts that may be away at once.
///
/// @remarks Thread-safe. Zero concurrency gives Millis::max().
Millis WaveLowerBound(const model::Fleet& fleet,
                      const std::vector<std::string>& pools,
                      Millis time_per_host,
                      const PlanningPolicy& policy = {});

}  // namespace laurelhall::planning
