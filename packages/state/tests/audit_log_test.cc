#include "machine_fixture.h"

namespace laurelhall::state {
namespace {

TEST_CASE_FIXTURE(MachineFixture,
                  "AuditLog, each kind of act, holds it accepted or refused") {
  const auto as = [this](auto command, const std::string& id) {
    command.request = RequestOf("ana", id);
    return Command(command);
  };
  const std::vector<Command> acts{
      as(SettingsCommand{}, "r0"), as(HostAddCommand{}, "r1"),
      as(HostCommand{}, "r2"),     as(WaveCommand{}, "r3"),
      as(RolloutCommand{}, "r4"),  as(JobCommand{}, "r5"),
      as(ControlCommand{}, "r6")};
  for (size_t i = 0; i < acts.size(); ++i) {
    const ActResult result = Act(acts[i]);
    CAPTURE(i);
    const std::vector<AuditRecord> records = m_machine->Audit(100);
    REQUIRE(records.size() == i + 1);
    CHECK(records.front().request.operator_name == "ana");
    CHECK(records.front().request.request_id == "r" + std::to_string(i));
    CHECK(records.front().request.at == m_now);
    CHECK(records.front().index == m_index);
    CHECK(records.front().outcome ==
          (result.is_accepted ? "accepted" : "refused: " + result.error));
  }
}

}  // namespace
}  // namespace laurelhall::state
