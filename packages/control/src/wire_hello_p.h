#pragma once

#include "bootstrap_p.h"
#include "laurelhall.capnp.h"

namespace laurelhall::control {

void WriteHello(const HostHello& hello, proto::Hello::Builder out);

/// Throws std::invalid_argument on a malformed membership.
HostHello ReadHello(proto::Hello::Reader in);

}  // namespace laurelhall::control
