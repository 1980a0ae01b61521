#pragma once

#include <string>
#include <vector>

#include "laurelhall/placement/placer.h"

namespace laurelhall::placement {

/// Explains the state of a job: why it is queued, where it runs or when it
/// ended. Each element is one sentence.
///
/// @param placer Provides the estimates, worker evidence and limits.
/// @param job_id Any id; for an unknown one the result says so.
/// @remarks Thread-safe while no other thread modifies the placer.
std::vector<std::string> ExplainJob(const model::Fleet& fleet,
                                    const Placer& placer,
                                    const std::string& job_id,
                                    WallTime now);

/// Same as above with a default Placer, which uses the declared sizes and run
/// times.
std::vector<std::string> ExplainJob(const model::Fleet& fleet,
                                    const std::string& job_id,
                                    WallTime now);

}  // namespace laurelhall::placement
