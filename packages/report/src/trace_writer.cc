#include "laurelhall/report/replay.h"

namespace laurelhall::report {

void TraceWriter::Forgot(WallTime at,
                         std::string_view kind,
                         const std::string& id) {
  Line(at, "event", "forget", {{"kind", kind}, {"id", id}});
}

void TraceWriter::Placed(WallTime at,
                         const std::vector<placement::JobAction>& actions,
                         const placement::Observations& seen) {
  Line(at, "event", "place", {{"seen", boost::json::value_from(seen)}});
  ExpectAll(at, "action", "actions", actions);
}

void TraceWriter::Planned(const planning::StepInput& input,
                          const planning::StepResult& result) {
  const WallTime at = input.now;
  Line(at, "event", "plan", {{"input", boost::json::value_from(input)}});
  std::vector<planning::Transition> transitions;
  for (const planning::Action& action : result.actions) {
    transitions.push_back(action.transition);
  }
  ExpectAll(at, "transition", "transitions", transitions);
  for (const model::Wave& wave : result.waves) {
    Line(at, "expect", "wave",
         {{"id", wave.id}, {"is", boost::json::value_from(wave)}});
  }
  for (const model::Rollout& rollout : result.rollouts) {
    Line(at, "expect", "rollout",
         {{"id", rollout.id}, {"is", boost::json::value_from(rollout)}});
  }
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
