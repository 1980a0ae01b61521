#pragma once

#include <memory>
#include <ostream>
#include <vector>

#include "laurelhall/model/fleet.h"
#include "laurelhall/placement/placer.h"
#include "laurelhall/planning/plan.h"
#include "laurelhall/report/replay.h"

namespace laurelhall::report {

/// A trace ends with a comment once it has this many bytes.
inline constexpr std::streamoff kMaxTraceBytes = 16 << 20;

/// Records what the leader decides on, as a trace that replays to the same
/// decisions.
///
/// @remarks Keeps the fleet as a replay of the trace has it, and writes only
///   what differs from that. A step that saw nothing new and decided nothing
///   is left out. Starts with the process, as the placer's memory does. Not
///   thread-safe.
class TraceRecorder {
 public:
  /// @param max_bytes Nothing is recorded once the trace is so long; the last
  ///   step may reach beyond it.
  explicit TraceRecorder(std::unique_ptr<std::ostream> out,
                         std::streamoff max_bytes = kMaxTraceBytes);

  /// Records what the placer took over from an earlier leader.
  void Loaded(const placement::PlacementMemory& memory, WallTime now);

  /// Records what the placer learned from a committed report.
  ///
  /// @param before The job as it was before the report.
  void Learned(const model::Job& before,
               const placement::JobReport& report,
               WallTime now);

  /// Records a placement step.
  void Placed(const model::Fleet& fleet,
              const placement::Observations& seen,
              const std::vector<placement::JobAction>& actions,
              WallTime now);

  /// Records a planning step.
  void Planned(const model::Fleet& fleet,
               const planning::StepInput& input,
               const planning::StepResult& result);

  /// Whether the trace has ended: full, or the wall clock was set back.
  bool is_ended() const { return m_is_ended; }

 private:
  bool Begin(WallTime now);
  bool WriteChanges(const model::Fleet& fleet, WallTime now);

  const std::unique_ptr<std::ostream> m_out;
  const std::streamoff m_max_bytes;
  TraceWriter m_writer;
  model::Fleet m_fleet;  // As a replay up to here has it.
  WallTime m_last{};
  bool m_is_ended = false;
};

}  // namespace laurelhall::report
