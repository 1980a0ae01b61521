#pragma once

#include <vector>

#include "laurelhall/model/config.h"
#include "laurelhall/state/command.h"

namespace laurelhall::control {

/// Stamps the leader's wall time into commands that need one and have none.
///
/// @param config May be null: claims are then kept for the default time.
void StampCommands(std::vector<state::Command>& commands,
                   const model::Config* config,
                   WallTime now);

}  // namespace laurelhall::control
