#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "laurelhall/scheduling/record.h"

// Determines which hosts of a wave are drained next. Persistent tasks leave
// their hosts a few at a time, so hosts with them may wait long for their turn,
// while all others can be drained at once.
namespace laurelhall::scheduling {

/// A host of a wave whose maintenance is not done.
struct WaveHost {
  std::string host;
  bool is_chosen = false;  ///< It is being drained, or it is down.
  /// What the service loses without it. Of the hosts without persistent tasks
  /// those of lower cost are drained first.
  double cost = 0;
  /// The step of each of its persistent tasks, as the id of the step's first
  /// task. Only of steps that limit how many of their tasks may be missed.
  std::vector<TaskId> steps;
  /// It is chosen and has waited long for its persistent tasks to leave.
  bool is_blocked = false;
};

/// What the choice of hosts is made from.
struct WaveLoad {
  std::vector<WaveHost> hosts;
  /// How many tasks of a step may be missed at a time, by the first task of the
  /// step. Not 0.
  std::map<TaskId, uint32_t> may_miss;
  /// How many hosts may be drained or be down at a time, without those that
  /// still run persistent tasks; and as many with persistent tasks, without
  /// those that are blocked.
  size_t limit = 0;
};

/// Returns the hosts to drain now in addition to those that are chosen, in
/// order. Thread-safe.
///
/// @remarks Of the hosts with persistent tasks it chooses as many as keep each
///   step busy: as many tasks as may be missed, and one more. The step that
///   needs most time to leave all of its hosts goes first. These hosts take no
///   place of the others, since they may have to wait for each other.
std::vector<std::string> HostsToDrain(const WaveLoad& load);

}  // namespace laurelhall::scheduling
