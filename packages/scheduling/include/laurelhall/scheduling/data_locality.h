#pragma once

#include "laurelhall/scheduling/graph.h"

namespace laurelhall::scheduling {

inline constexpr double kDefaultRemoteDataFactor = 3;

/// How long a task waits at most for the rack of its data, or a gang for one
/// rack that takes all of it: as long as it would take longer elsewhere.
/// Thread-safe.
///
/// @param remote_data_factor How many times as long it takes elsewhere.
Millis LongestRackWait(const StepSpec& step, double remote_data_factor);

}  // namespace laurelhall::scheduling
