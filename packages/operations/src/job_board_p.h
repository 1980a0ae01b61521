#pragma once

#include <deque>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "laurelhall/placement/placer.h"

namespace laurelhall::operations {

/// What workers reported and the placer has not yet learned from.
///
/// @remarks Thread-safe. Soft state of the leader: usage comes again with the
///   next report, and what was learned is kept in the replicated notes.
class JobBoard {
 public:
  /// Most reports kept until the next step; older ones are then dropped.
  static constexpr size_t kMaxPending = 10'000;

  /// A committed report of how a run ended.
  struct Ended {
    model::Job before;
    placement::JobReport report;
  };

  void NoteUsage(const std::string& job, const placement::JobUsage& usage);
  void NoteEnded(Ended ended);

  placement::Observations usage() const;
  std::vector<Ended> TakeEnded();

  /// Forgets usage of jobs that do not run any more.
  void Retain(const std::map<std::string, model::Job>& jobs);

 private:
  mutable std::mutex m_mutex;  // Guards all below.
  placement::Observations m_usage;
  std::deque<Ended> m_ended;
};

}  // namespace laurelhall::operations
