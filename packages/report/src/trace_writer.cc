#include "laurelhall/report/replay.h"

namespace laurelhall::report {

void TraceWriter::Placed(WallTime at,
                         const std::vector<placement::JobAction>& actions) {
  Line(at, "event", "place", {});
  for (const placement::JobAction& action : actions) {
    Line(at, "expect", "action", {{"is", boost::json::value_from(action)}});
  }
  Line(at, "expect", "actions", {{"count", actions.size()}});
}

void TraceWriter::Line(WallTime at,
                       std::string_view verb,
                       std::string_view what,
                       boost::json::object rest) {
  boost::json::object line;
  line["at"] = at.time_since_epoch().count();
  line[verb] = what;
  for (auto& member : rest) {
    line[member.key()] = std::move(member.value());
  }
  m_out << boost::json::serialize(line) << "\n";
}

}  // namespace laurelhall::report
