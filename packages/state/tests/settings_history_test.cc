#include <algorithm>
#include <random>

#include "laurelhall/settings/tree.h"
#include "machine_fixture.h"

namespace laurelhall::state {
namespace {

struct SettingsHistoryFixture : MachineFixture {
  using MachineFixture::MachineFixture;

  ActResult Weigh(const std::string& name,
                  const std::string& id,
                  uint64_t expected_version,
                  uint64_t weight) {
    return Change(name, id, expected_version, "weights.buffer",
                  std::to_string(weight));
  }
};

TEST_CASE_FIXTURE(SettingsHistoryFixture,
                  "Settings, two operators on one version, one wins") {
  const ActResult first = Weigh("ana", "a1", 0, 2);
  CHECK(first.is_accepted);
  CHECK(first.version == 1);
  const ActResult second = Weigh("luis", "l1", 0, 5);
  CHECK_FALSE(second.is_accepted);
  CHECK(second.version == 1);
  CHECK(second.error ==
        "expected version 0, in force is 1; since then: weights.buffer by ana "
        "(version 1)");
  CHECK(m_machine->config()->weights.buffer == 2);
  CHECK(m_machine->config()->version == 1);
  CHECK(Weigh("luis", "l2", 9, 5).error == "expected version 9, in force is 1");
}

TEST_CASE_FIXTURE(SettingsHistoryFixture,
                  "Settings, bad change, says each place and keeps the tree") {
  CHECK(Weigh("ana", "a1", 0, 2).is_accepted);
  const std::string before = m_machine->settings_tree();
  const ActResult refused = Act(SettingsCommand{
      RequestOf("ana", "a2"),
      1,
      {{"pools.annex.drain_timeout", "30"}, {"weights.buffer", "\"much\""}}});
  CHECK_FALSE(refused.is_accepted);
  CHECK(refused.error ==
        "pools.annex.drain_timeout: expected a duration such as \"30s\"\n"
        "weights.buffer: expected a number");
  CHECK(m_machine->settings_tree() == before);
  CHECK(m_machine->settings_version() == 1);
}

TEST_CASE_FIXTURE(SettingsHistoryFixture,
                  "Settings, resent after 500 changes, repeats the answer") {
  CHECK(Weigh("ana", "a1", 0, 2).version == 1);
  CHECK_FALSE(Weigh("luis", "l1", 0, 7).is_accepted);
  for (uint64_t version = 1; version <= 500; ++version) {
    REQUIRE(Weigh("carla", "c" + std::to_string(version), version, version % 9)
                .is_accepted);
  }
  Reload();
  m_now += Seconds(30);
  const ActResult resent = Weigh("ana", "a1", 0, 2);
  CHECK(resent.is_accepted);
  CHECK(resent.is_resend);
  CHECK(resent.version == 1);
  const ActResult refused = Weigh("luis", "l1", 0, 7);
  CHECK(refused.is_resend);
  CHECK_FALSE(refused.is_accepted);
  CHECK(refused.error.find("weights.buffer by ana") != std::string::npos);
  CHECK(m_machine->settings_version() == 501);
  // The id is an operator's own, and stands for one command.
  CHECK(Weigh("luis", "a1", 501, 3).version == 502);
  CHECK(Weigh("ana", "a1", 502, 3).error ==
        "request id a1 was used with another command");
  CHECK(m_machine->Audit(2).front().outcome ==
        "refused: request id a1 was used with another command");
}

TEST_CASE_FIXTURE(SettingsHistoryFixture,
                  "Settings, resent without a version, repeats the answer") {
  SettingsCommand command{RequestOf("ana", "a1"), 0, {{"weights.buffer", "2"}}};
  command.request.digest = 77;
  CHECK(Act(command).version == 1);
  // The leader filled in the version that is in force by now.
  command.expected_version = 1;
  CHECK(Act(command).is_resend);
  command.request.digest = 78;
  CHECK_FALSE(Act(command).is_accepted);
}

TEST_CASE_FIXTURE(SettingsHistoryFixture,
                  "Settings, memory past its age, takes a resend as new") {
  CHECK(Weigh("ana", "a1", 0, 2).is_accepted);
  m_now += m_limits.remember_requests - Millis(1);
  Expire();
  CHECK(Weigh("ana", "a1", 0, 2).is_resend);
  m_now += Millis(1);
  Expire();
  // It is still fenced by the version that it names.
  const ActResult late = Weigh("ana", "a1", 0, 2);
  CHECK_FALSE(late.is_resend);
  CHECK_FALSE(late.is_accepted);
}

TEST_CASE("Settings, bounds reached, history and memory drop the oldest") {
  MachineLimits limits;
  limits.max_settings_history = 10;
  limits.max_remembered_requests = 4;
  limits.max_audit_records = 6;
  SettingsHistoryFixture fixture(limits);
  for (uint64_t version = 0; version < 30; ++version) {
    CHECK(fixture.Weigh("ana", std::to_string(version), version, version)
              .is_accepted);
  }
  const Machine& machine = *fixture.m_machine;
  CHECK(machine.SettingsSince(19) == std::nullopt);
  REQUIRE(machine.SettingsSince(20).has_value());
  CHECK(machine.SettingsSince(20)->size() == 10);
  CHECK(machine.SettingsSince(28)->front().version == 29);
  CHECK(machine.SettingsSince(30)->empty());
  CHECK(machine.Audit(100).size() == 6);
  CHECK(fixture.Weigh("ana", "26", 26, 26).is_resend);
  CHECK_FALSE(fixture.Weigh("ana", "25", 25, 25).is_resend);
}

TEST_CASE_FIXTURE(SettingsHistoryFixture,
                  "Settings, pool with hosts removed, is refused") {
  CHECK(Change("ana", "a1", 0, "pools", R"({"annex": {}, "hall": {}})")
            .is_accepted);
  model::Host host;
  host.id = "h1";
  host.pool = "annex";
  CHECK(Act(HostAddCommand{RequestOf("ana"), host}).is_accepted);
  CHECK(Change("ana", "a2", 1, "pools.annex", std::nullopt).error ==
        "pools.annex: 1 hosts belong to it");
  CHECK(Change("ana", "a3", 1, "pools.hall", std::nullopt).is_accepted);
}

/// Operators that race with equal versions and resend after lost answers.
TEST_CASE("Settings, races over many seeds, each version has one change") {
  for (uint64_t seed = 1; seed <= 60; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    SettingsHistoryFixture fixture;
    std::vector<SettingsCommand> sent;
    std::vector<ActResult> first_answers;
    for (int step = 0; step < 60; ++step) {
      if (random() % 8 == 0) {
        fixture.Reload();
      }
      if (!sent.empty() && random() % 3 == 0) {
        const size_t which = random() % sent.size();
        const ActResult again = fixture.Act(sent[which]);
        CHECK(again.is_resend);
        CHECK(again.is_accepted == first_answers[which].is_accepted);
        CHECK(again.version == first_answers[which].version);
        continue;
      }
      const uint64_t version = fixture.m_machine->settings_version();
      const uint64_t lag = std::min<uint64_t>(version, random() % 3);
      const std::string id = std::to_string(step);
      const std::string name = "operator-" + std::to_string(random() % 4);
      sent.push_back({fixture.RequestOf(name, id),
                      version - lag,
                      {{"weights.buffer", std::to_string(step)}}});
      first_answers.push_back(fixture.Act(sent.back()));
      CHECK(first_answers.back().is_accepted == (lag == 0));
      CHECK(fixture.m_machine->settings_version() == version + (lag == 0));
    }
    // Replaying the history gives the tree in force.
    settings::Tree tree;
    const auto records = *fixture.m_machine->SettingsSince(0);
    CHECK(records.size() == fixture.m_machine->settings_version());
    for (const SettingsRecord& record : records) {
      tree = tree.With(record.changes);
    }
    CHECK(tree.Text() == fixture.m_machine->settings_tree());
  }
}

}  // namespace
}  // namespace laurelhall::state
