#pragma once

#include <string>

#include "laurelhall/control/control_host.h"
#include "laurelhall/entry/entry_host.h"

namespace laurelhall::daemon {

/// What a daemon exposes on its metrics page; null for a role it has not.
struct MetricsSource {
  const entry::EntryHost* entry = nullptr;
  const control::ControlHost* control = nullptr;
};

/// Writes the metrics page in the Prometheus text format.
///
/// @remarks Labels are bounded: services from the settings, problem kinds and
///   reasons from closed enums; no keys and no callers' text. Thread-safe.
std::string MetricsPage(const MetricsSource& source);

}  // namespace laurelhall::daemon
