#pragma once

#include <cstdint>
#include <string>

#include "laurelhall/consensus/node.h"

namespace laurelhall::consensus {

/// Runs one schedule of faults that follows from the seed alone.
///
/// @returns What was violated; empty when nothing was.
std::string RunSchedule(uint64_t seed, const Mutations& mutations);

}  // namespace laurelhall::consensus
