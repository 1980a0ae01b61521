#include <algorithm>

#include "duties_p.h"
#include "laurelhall/placement/placer.h"

namespace laurelhall::operations {
namespace {

constexpr const char* kLeaderName = "leader";
constexpr const char* kNoteName = "placement";
constexpr Millis kSavePeriod = std::chrono::minutes(1);
constexpr size_t kMaxNoteBytes = 900'000;
const std::string kNothingLearned =
    model::ToJsonText(placement::PlacementMemory{});

/// The memory as text, without the workers that failed longest ago if it is
/// too long for a note.
std::string MemoryText(placement::PlacementMemory memory) {
  std::string text = model::ToJsonText(memory);
  const auto is_later = [](const auto& a, const auto& b) {
    return a.last_failure > b.last_failure;
  };
  std::ranges::stable_sort(memory.workers, is_later);
  while (text.size() > kMaxNoteBytes && !memory.workers.empty()) {
    memory.workers.resize(memory.workers.size() / 2);
    text = model::ToJsonText(memory);
  }
  return text;
}

class JobDuty : public control::LeaderDuty {
 public:
  JobDuty(std::shared_ptr<JobBoard> board,
          std::shared_ptr<report::TraceRecorder> recorder)
      : m_board(std::move(board)), m_recorder(std::move(recorder)) {}

  std::vector<state::Command> Step(const state::Machine& machine,
                                   const control::LeaderView& view) override {
    const model::Fleet fleet = machine.fleet();
    Resume(machine);
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
    Save(machine, view.now, commands);
    return commands;
  }

 private:
  /// Takes over what another leader learned since this one last looked.
  void Resume(const state::Machine& machine) {
    const std::string note = machine.Note(kNoteName).value_or("");
    if (note == m_seen) {
      return;
    }
    m_seen = note;
    if (note != m_proposed && !note.empty()) {
      m_placer.Load(model::FromJsonText<placement::PlacementMemory>(note));
    }
  }

  /// Proposes to keep what was learned, when it differs from what is kept.
  void Save(const state::Machine& machine,
            WallTime now,
            std::vector<state::Command>& commands) {
    if (now < m_next_save) {
      return;
    }
    m_next_save = now + kSavePeriod;
    std::string text = MemoryText(m_placer.Save());
    if (text != machine.Note(kNoteName).value_or(kNothingLearned)) {
      m_proposed = text;
      commands.emplace_back(state::NoteCommand{kNoteName, std::move(text)});
    }
  }

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
  WallTime m_next_save{};
  std::string m_seen;      // The note as last read.
  std::string m_proposed;  // The note as last proposed here.
};

}  // namespace

std::unique_ptr<control::LeaderDuty> MakeJobDuty(
    std::shared_ptr<JobBoard> board,
    std::shared_ptr<report::TraceRecorder> recorder) {
  return std::make_unique<JobDuty>(std::move(board), std::move(recorder));
}

}  // namespace laurelhall::operations
