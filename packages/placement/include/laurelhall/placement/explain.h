#pragma once

#include <string>
#include <vector>

#include "laurelhall/placement/placer.h"

namespace laurelhall::placement {

/// Says why a job is where it is, or why it waits, one sentence a line.
///
/// @param placer Whose estimates and bounds decide.
/// @param job_id Any id; an unknown one is said to be unknown.
/// @remarks Thread-safe while nobody changes the placer.
std::vector<std::string> ExplainJob(const model::Fleet& fleet,
                                    const Placer& placer,
                                    const std::string& job_id,
                                    WallTime now);

/// The same with declared figures alone, where no placer is at hand.
std::vector<std::string> ExplainJob(const model::Fleet& fleet,
                                    const std::string& job_id,
                                    WallTime now);

}  // namespace laurelhall::placement
