#pragma once

#include <istream>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "laurelhall/base/finding.h"
#include "laurelhall/model/json.h"
#include "laurelhall/placement/placer.h"
#include "laurelhall/planning/plan.h"

// Recorded traces of decisions, as JSON lines. A line has "at" (milliseconds)
// and either "event", which changes the fleet or asks for a decision, or
// "expect", which states its outcome. docs/TRACES.md lists them.
namespace laurelhall::report {

/// What came of a replay.
struct ReplayResult {
  int lines = 0;
  int steps = 0;  ///< Decisions asked for.
  int expectations = 0;
  std::vector<Finding> failures;  ///< At `trace:line`.
};

/// Replays a trace through placement and planning on a virtual clock.
///
/// @param trace The lines; an empty one, or one that starts with `#`, is
///   passed over.
/// @param name How to call the trace in a failure's place.
/// @remarks The same trace gives the same result. A line that can't be read is
///   a failure, and the rest is replayed. Thread-safe for different streams.
ReplayResult Replay(std::istream& trace, const std::string& name);

/// Writes the trace that Replay() reads.
///
/// @remarks Not thread-safe.
class TraceWriter {
 public:
  /// @param out Must outlive the writer.
  explicit TraceWriter(std::ostream& out) : m_out(out) {}

  /// Records a described value that changed: "host", "job", "report" and so
  /// on.
  template <typename T>
  void Event(WallTime at, std::string_view event, const T& value) {
    Line(at, "event", event, {{event, boost::json::value_from(value)}});
  }

  /// Records that a value of a kind is gone.
  void Forgot(WallTime at, std::string_view kind, const std::string& id);

  /// Records a placement step: asks for it, and states all its actions.
  ///
  /// @param seen What the step saw besides the fleet.
  void Placed(WallTime at,
              const std::vector<placement::JobAction>& actions,
              const placement::Observations& seen = {});

  /// Records a planning step with its input, and states all its outcomes.
  void Planned(const planning::StepInput& input,
               const planning::StepResult& result);

 private:
  /// States every value, and how many there are.
  template <typename T>
  void ExpectAll(WallTime at,
                 std::string_view one,
                 std::string_view all,
                 const std::vector<T>& values) {
    for (const T& value : values) {
      Line(at, "expect", one, {{"is", boost::json::value_from(value)}});
    }
    Line(at, "expect", all, {{"count", values.size()}});
  }

  void Line(WallTime at,
            std::string_view verb,
            std::string_view what,
            boost::json::object rest);

  std::ostream& m_out;
};

}  // namespace laurelhall::report
