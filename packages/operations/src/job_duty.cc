#include "duties_p.h"
#include "laurelhall/placement/placer.h"

namespace laurelhall::operations {
namespace {

constexpr const char* kLeaderName = "leader";

class JobDuty : public control::LeaderDuty {
 public:
  JobDuty(std::shared_ptr<JobBoard> board,
          std::shared_ptr<report::TraceRecorder> recorder)
      : m_board(std::move(board)), m_recorder(std::move(recorder)) {}

  std::vector<state::Command> Step(const state::Machine& machine,
                                   const control::LeaderView& view) override {
    const model::Fleet fleet = machine.fleet();
    Learn(view.now);
    m_board->Retain(fleet.jobs);
    std::vector<state::Command> commands;
    const placement::Observations seen = m_board->usage();
    const auto actions = m_placer.Step(fleet, seen, view.now);
    if (m_recorder != nullptr) {
      m_recorder->Placed(fleet, seen, actions, view.now);
    }
    for (const placement::JobAction& action : actions) {
      state::JobCommand command;
      command.request = {kLeaderName, "", view.now};
      command.expected_lease = action.expected_lease;
      command.job =
          placement::AfterAction(fleet.jobs.at(action.job), action, view.now);
      commands.emplace_back(std::move(command));
    }
    return commands;
  }

 private:
  void Learn(WallTime now) {
    for (const JobBoard::Ended& ended : m_board->TakeEnded()) {
      m_placer.Learn(ended.before, ended.report, now);
      if (m_recorder != nullptr) {
        m_recorder->Learned(ended.before, ended.report, now);
      }
    }
  }

  const std::shared_ptr<JobBoard> m_board;
  const std::shared_ptr<report::TraceRecorder> m_recorder;  // Null: none.
  placement::Placer m_placer;
};

}  // namespace

std::unique_ptr<control::LeaderDuty> MakeJobDuty(
    std::shared_ptr<JobBoard> board,
    std::shared_ptr<report::TraceRecorder> recorder) {
  return std::make_unique<JobDuty>(std::move(board), std::move(recorder));
}

}  // namespace laurelhall::operations
