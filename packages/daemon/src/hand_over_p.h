#pragma once

#include <functional>

#include "laurelhall/control/control_host.h"

namespace laurelhall::daemon {

/// Makes a control host step down and waits a little until it no longer leads.
///
/// @param is_leading Called on the caller's thread, several times.
/// @returns Whether it still leads.
/// @pre Not called on one of the host's threads.
bool HandOverLeadership(control::ControlHost& host,
                        const std::function<bool()>& is_leading);

}  // namespace laurelhall::daemon
