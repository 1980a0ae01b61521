#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "laurelhall/control/control_host.h"

namespace laurelhall::operations {

/// What a control host needs of this package: the operators' API, and what the
/// leader does about waves, roll-outs, moves and jobs.
struct Operations {
  std::unique_ptr<control::OperatorService> service;
  std::vector<std::unique_ptr<control::LeaderDuty>> duties;
};

/// Makes both for one control host; they share what workers reported.
///
/// @param trace_file Where the leader's decisions are recorded for replay, up
///   to report::kMaxTraceBytes; the file of an earlier process is kept beside
///   it, with `.1` after its name. Empty: nowhere.
/// @param clock The wall clock of operators' requests; called on the thread
///   that handles them.
/// @throws FindingsError when the file can't be written.
Operations MakeOperations(const std::string& trace_file = "",
                          std::function<WallTime()> clock = WallNow);

}  // namespace laurelhall::operations
