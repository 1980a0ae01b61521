#pragma once

#include "laurelhall/budget/burn.h"
#include "laurelhall/state/machine.h"

namespace laurelhall::operations {

/// The burn of each service from the recorded history. Thread-safe.
budget::BurnByService BurnOfServices(const state::Machine& machine,
                                     const model::Fleet& fleet,
                                     WallTime now);

}  // namespace laurelhall::operations
