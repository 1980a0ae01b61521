#include "burn_p.h"
#include "duties_p.h"
#include "laurelhall/planning/controller.h"

namespace laurelhall::operations {

budget::BurnByService BurnOfServices(const state::Machine& machine,
                                     const model::Fleet& fleet,
                                     WallTime now) {
  budget::BurnByService burn;
  for (const auto& [name, service] : fleet.services) {
    const auto samples = machine.Burn(name, now - service.objective_window);
    burn[name] = budget::ComputeBurn(service, samples, now);
  }
  return burn;
}

namespace {

constexpr const char* kLeaderName = "leader";

state::HostCommand CommandOf(const planning::Transition& transition,
                             WallTime now) {
  state::HostCommand command;
  command.request = {kLeaderName, "", now};
  command.host = transition.host;
  command.expected_epoch = transition.expected_epoch;
  command.event = transition.event;
  command.drain_reason = transition.drain_reason;
  command.move_to = transition.move_to;
  command.act = transition.act;
  command.version = transition.version;
  return command;
}

/// Fences a changed act by the state that it was planned on.
template <typename Command, typename Act>
Command ActCommand(const std::map<std::string, Act>& known,
                   Act act,
                   Act Command::*member,
                   WallTime now) {
  Command command;
  command.request = {kLeaderName, "", now};
  const auto found = known.find(act.id);
  if (found != known.end()) {
    command.expected_state = found->second.state;
  }
  command.*member = std::move(act);
  return command;
}

class FleetDuty : public control::LeaderDuty {
 public:
  FleetDuty(std::shared_ptr<InFlightBoard> in_flight,
            std::shared_ptr<report::TraceRecorder> recorder)
      : m_in_flight(std::move(in_flight)), m_recorder(std::move(recorder)) {}

  std::vector<state::Command> Step(const state::Machine& machine,
                                   const control::LeaderView& view) override {
    const model::Fleet fleet = machine.fleet();
    const planning::StepInput input = InputOf(machine, fleet, view);
    m_in_flight->Set(input.in_flight);
    planning::StepResult step = m_controller.Step(fleet, input);
    if (m_recorder != nullptr) {
      m_recorder->Planned(fleet, input, step);
    }
    std::vector<state::Command> commands;
    for (model::Wave& wave : step.waves) {
      commands.emplace_back(ActCommand(fleet.waves, std::move(wave),
                                       &state::WaveCommand::wave, view.now));
    }
    for (model::Rollout& rollout : step.rollouts) {
      commands.emplace_back(ActCommand(fleet.rollouts, std::move(rollout),
                                       &state::RolloutCommand::rollout,
                                       view.now));
    }
    for (const planning::Action& action : step.actions) {
      commands.emplace_back(CommandOf(action.transition, view.now));
    }
    return commands;
  }

 private:
  static planning::StepInput InputOf(const state::Machine& machine,
                                     const model::Fleet& fleet,
                                     const control::LeaderView& view) {
    planning::StepInput input;
    input.now = view.now;
    input.burn = BurnOfServices(machine, fleet, view.now);
    // Every host is in the map: one without endpoints or jobs is empty.
    for (const auto& [id, host] : fleet.hosts) {
      input.in_flight[id] = 0;
    }
    for (const auto& [host, slots] : view.slots_out_by_host) {
      input.in_flight[host] += slots;
    }
    for (const auto& [id, job] : fleet.jobs) {
      if (!job.host.empty()) {
        ++input.in_flight[job.host];
      }
    }
    return input;
  }

  const std::shared_ptr<InFlightBoard> m_in_flight;
  const std::shared_ptr<report::TraceRecorder> m_recorder;  // Null: none.
  planning::FleetController m_controller;
};

}  // namespace

std::unique_ptr<control::LeaderDuty> MakeFleetDuty(
    std::shared_ptr<InFlightBoard> in_flight,
    std::shared_ptr<report::TraceRecorder> recorder) {
  return std::make_unique<FleetDuty>(std::move(in_flight), std::move(recorder));
}

}  // namespace laurelhall::operations
