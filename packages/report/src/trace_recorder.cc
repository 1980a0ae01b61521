#include "laurelhall/report/trace_recorder.h"

#include <string>
#include <utility>

#include "fleet_copy_p.h"

namespace laurelhall::report {
namespace {

template <typename T>
bool IsSame(const T& a, const T& b) {
  return boost::json::value_from(a) == boost::json::value_from(b);
}

/// Writes what a table gained, changed and lost. Returns whether it did.
template <typename Table>
bool WriteTable(TraceWriter& writer,
                WallTime at,
                std::string_view kind,
                Table& known,
                const Table& seen) {
  bool is_changed = false;
  for (const auto& [id, value] : seen) {
    const auto found = known.find(id);
    if (found == known.end() || !IsSame(found->second, value)) {
      writer.Event(at, kind, value);
      is_changed = true;
    }
  }
  for (const auto& [id, value] : known) {
    if (!seen.contains(id)) {
      writer.Forgot(at, kind, id);
      is_changed = true;
    }
  }
  known = seen;
  return is_changed;
}

}  // namespace

TraceRecorder::TraceRecorder(std::unique_ptr<std::ostream> out,
                             std::streamoff max_bytes)
    : m_out(std::move(out)), m_max_bytes(max_bytes), m_writer(*m_out) {}

/// Returns whether this moment is still recorded.
bool TraceRecorder::Begin(WallTime now) {
  if (m_is_ended) {
    return false;
  }
  if (now < m_last) {
    *m_out << "# Ended: the clock was set back.\n" << std::flush;
    m_is_ended = true;
  } else if (m_out->tellp() >= m_max_bytes) {
    *m_out << "# Ended: the trace is full.\n" << std::flush;
    m_is_ended = true;
  }
  m_last = now;
  return !m_is_ended;
}

bool TraceRecorder::WriteChanges(const model::Fleet& fleet, WallTime now) {
  bool is_changed = false;
  if (!IsSame(m_fleet.weights, fleet.weights)) {
    m_writer.Event(now, "weights", fleet.weights);
    m_fleet.weights = fleet.weights;
    is_changed = true;
  }
  ForEachTable(m_fleet, [&](std::string_view kind, auto& known) {
    ForEachTable(fleet, [&](std::string_view other, const auto& seen) {
      if constexpr (std::is_same_v<std::decay_t<decltype(known)>,
                                   std::decay_t<decltype(seen)>>) {
        is_changed |=
            kind == other && WriteTable(m_writer, now, kind, known, seen);
      }
    });
  });
  return is_changed;
}

void TraceRecorder::Loaded(const placement::PlacementMemory& memory,
                           WallTime now) {
  if (Begin(now)) {
    m_writer.Event(now, "memory", memory);
  }
}

void TraceRecorder::Learned(const model::Job& before,
                            const placement::JobReport& report,
                            WallTime now) {
  if (!Begin(now)) {
    return;
  }
  const auto found = m_fleet.jobs.find(before.id);
  if (found == m_fleet.jobs.end() || !IsSame(found->second, before)) {
    m_writer.Event(now, "job", before);
  }
  m_writer.Event(now, "report", report);
  m_fleet.jobs[before.id] =
      placement::AfterReport(before, report, now).value_or(before);
}

void TraceRecorder::Placed(const model::Fleet& fleet,
                           const placement::Observations& seen,
                           const std::vector<placement::JobAction>& actions,
                           WallTime now) {
  if (!Begin(now)) {
    return;
  }
  const bool is_changed = WriteChanges(fleet, now);
  if (is_changed || !actions.empty()) {
    m_writer.Placed(now, actions, seen);
    ApplyPlacement(m_fleet, actions, now);
    m_out->flush();
  }
}

void TraceRecorder::Planned(const model::Fleet& fleet,
                            const planning::StepInput& input,
                            const planning::StepResult& result) {
  if (!Begin(input.now)) {
    return;
  }
  const bool is_changed = WriteChanges(fleet, input.now);
  if (is_changed || !result.actions.empty() || !result.waves.empty() ||
      !result.rollouts.empty()) {
    m_writer.Planned(input, result);
    ApplyPlan(m_fleet, result, input.now);
    m_out->flush();
  }
}

}  // namespace laurelhall::report
