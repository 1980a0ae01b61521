#include <atomic>
#include <boost/json.hpp>
#include <limits>
#include <random>
#include <thread>

#include "machine_fixture.h"

namespace laurelhall::state {
namespace {

model::Endpoint EndpointNamed(const std::string& id) {
  model::Endpoint endpoint;
  endpoint.id = id;
  return endpoint;
}

model::Wave WaveOver(const std::string& pool) {
  model::Wave wave;
  wave.id = "w";
  wave.pools = {pool};
  return wave;
}

model::Rollout RolloutOf(const std::string& service) {
  model::Rollout rollout;
  rollout.id = "r";
  rollout.service = service;
  return rollout;
}

// One command of each kind, with some value in it.
std::vector<Command> OneOfEach() {
  const OperatorRequest request{"ana", "id-1", WallTime(Millis(5))};
  model::Host host;
  host.id = "h";
  host.capacity = {1.5, 2.25, 3};
  HostCommand host_command;
  host_command.request = request;
  host_command.event = HostEvent::kFail;
  model::Job job;
  job.id = "j";
  job.work_done = Millis(77);
  return {ClaimCommand{{"o", "s", "\xff\x01"}, "d", {"e", UINT64_MAX}, "r"},
          CompleteCommand{{"o", "s", "k"}, "r", true, {200, "t", {"\0\xfe"}}},
          ReleaseCommand{{"o", "s", "k"}, "r"},
          AbandonCommand{{"o", "s", "k"}, "r"},
          EndpointCommand{EndpointNamed("e")},
          SettingsCommand{request, 3, {{"a.b", "1"}, {"c", std::nullopt}}},
          HostAddCommand{request, host},
          host_command,
          WaveCommand{request, model::ActState::kPaused, WaveOver("annex")},
          RolloutCommand{request, std::nullopt, RolloutOf("s")},
          JobCommand{request, 9, job},
          BurnCommand{{{"s", WallTime(Millis(60'000)), 1, 2, 3, 4}}},
          ExpireCommand{WallTime(Millis(8))},
          SessionCommand{{"e", 3}, SessionState::kLost, {}, 7, false},
          NoteCommand{"n", "t"},
          ControlCommand{request, "repair h"},
          ScheduleCommand{"1 8 2:w1"}};
}

TEST_CASE("Commands, one of each kind, decode as they were") {
  const std::vector<Command> commands = OneOfEach();
  REQUIRE(commands.size() == std::variant_size_v<Command>);
  const std::string payload = EncodeCommands(commands);
  const std::vector<Command> decoded = DecodeCommands(payload);
  REQUIRE(decoded.size() == commands.size());
  for (size_t i = 0; i < decoded.size(); ++i) {
    CHECK(decoded[i].index() == i);
  }
  CHECK(EncodeCommands(decoded) == payload);
}

TEST_CASE("Commands, of the scheduling alone, decode as they were") {
  const std::vector<Command> commands{ScheduleCommand{"1 8 2:w1"},
                                      ScheduleCommand{"quote \" and 4:text"}};
  const std::vector<Command> decoded = DecodeCommands(EncodeCommands(commands));
  REQUIRE(decoded.size() == 2);
  CHECK(std::get<ScheduleCommand>(decoded[1]).records ==
        std::get<ScheduleCommand>(commands[1]).records);
}

TEST_CASE("Machine, scheduling records, applied, saved and loaded") {
  scheduling::WorkerInfo info;
  info.id = "w1";
  info.service = "teklif";
  Machine machine;
  machine.Apply(1, EncodeCommands({ScheduleCommand{scheduling::EncodeRecords(
                       {scheduling::WorkerSeen{info}})}}));
  // A batch that cannot be decoded is refused whole, on each replica alike.
  const auto results =
      machine.Apply(2, EncodeCommands({ScheduleCommand{"1 8 9:w2"}}));
  CHECK_FALSE(std::get<ActResult>(results.at(0)).is_accepted);
  Machine loaded;
  loaded.Load(machine.Save());
  CHECK(loaded.Digest() == machine.Digest());
  loaded.ReadSchedule([](const scheduling::Ledger& ledger) {
    CHECK(ledger.workers().size() == 1);
  });
}

TEST_CASE("Commands, members missing or added, keep what is known") {
  const std::vector<Command> commands = DecodeCommands(
      R"([{"kind":4,"value":{"endpoint":{"id":"e","hue":1}}},{"kind":7,
          "value":{"host":"h","event":"kDrain"}}])");
  CHECK(std::get<EndpointCommand>(commands.at(0)).endpoint.slots == 8);
  CHECK(std::get<HostCommand>(commands.at(1)).event == HostEvent::kDrain);
}

TEST_CASE("Commands, text that is none, throws") {
  for (const char* text :
       {"", "{}", "[1]", "[{}]", R"([{"kind":17,"value":{}}])", "!", "!1 ",
        "!1 9:short", "!1 2:abc", R"([{"kind":-1,"value":{}}])",
        R"([{"kind":0,"value":3}])",
        R"([{"kind":7,"value":{"event":"kExplode"}}])",
        R"([{"kind":12,"value":{"now":"soon"}}])",
        R"([{"kind":13,"value":{"state":"kAsleep"}}])"}) {
    CAPTURE(text);
    CHECK_THROWS_AS(DecodeCommands(text), std::exception);
  }
}

TEST_CASE("Commands, numbers that JSON lacks, are refused before the log") {
  model::Job job;
  job.throttle = std::numeric_limits<double>::quiet_NaN();
  CHECK_THROWS_AS(EncodeCommands({JobCommand{{}, std::nullopt, job}}),
                  std::invalid_argument);
}

TEST_CASE("Commands, bytes altered at random, throw or apply, never harm") {
  const std::string payload = EncodeCommands(OneOfEach());
  std::mt19937_64 random(21);
  Machine machine;
  uint64_t index = 0;
  int decoded = 0;
  for (int round = 0; round < 4000; ++round) {
    std::string altered = payload;
    for (uint64_t i = 0; i <= random() % 3; ++i) {
      altered[random() % altered.size()] = static_cast<char>(random());
    }
    std::vector<Command> commands;
    try {
      commands = DecodeCommands(altered);
    } catch (const std::exception&) {
      continue;
    }
    ++decoded;
    // What can be read can be written, and applied by every replica.
    CHECK(machine.Apply(++index, EncodeCommands(commands)).size() ==
          commands.size());
  }
  CHECK(decoded > 100);
}

struct FullMachineFixture : MachineFixture {
  // Something in every table.
  FullMachineFixture() {
    CHECK(Change("ana", "a1", 0, "pools", R"({"annex": {}})").is_accepted);
    CHECK(Change("ana", "a2", 1, "services", R"({"s": {"pools": ["annex"]}})")
              .is_accepted);
    for (const std::string key : {"open", "done", "old", "free"}) {
      const Millis keep = key == "old" ? Millis(1) : kRetention;
      Claim({{"o", "s", key}, "d", {"e", 1}, "r", m_now, m_now + keep});
    }
    CHECK(Act(CompleteCommand{{"o", "s", "done"}, "r", true, {200, "t", {"b"}}})
              .is_accepted);
    CHECK(Act(AbandonCommand{{"o", "s", "old"}, "r"}).is_accepted);
    CHECK(Act(ReleaseCommand{{"o", "s", "free"}, "r"}).is_accepted);
    CHECK(Act(EndpointCommand{EndpointNamed("e")}).is_accepted);
    model::Host host;
    host.id = "h";
    host.pool = "annex";
    CHECK(Act(HostAddCommand{RequestOf("ana"), host}).is_accepted);
    CHECK(Act(WaveCommand{RequestOf("ana"), std::nullopt, WaveOver("annex")})
              .is_accepted);
    CHECK(Act(RolloutCommand{RequestOf("ana"), std::nullopt, RolloutOf("s")})
              .is_accepted);
    model::Job job;
    job.id = "j";
    job.pool = "annex";
    CHECK(Act(JobCommand{RequestOf("ana"), std::nullopt, job}).is_accepted);
    CHECK(Act(BurnCommand{{{"s", m_now, 1, 2, 3, 4}, {"s", m_now, 1, 0, 0, 0}}})
              .is_accepted);
    CHECK_FALSE(Act(BurnCommand{{{"unknown", m_now, 1}}}).is_accepted);
    m_now += std::chrono::minutes(5);
    Expire();
  }
};

TEST_CASE_FIXTURE(FullMachineFixture,
                  "Machine, saved and loaded, is the same state") {
  const std::string snapshot = m_machine->Save();
  for (const char* table :
       {"head", "claim", "claim_tombstone", "claim_released", "endpoint",
        "settings", "settings_record", "host", "wave", "rollout", "job",
        "request", "audit", "burn"}) {
    CAPTURE(table);
    CHECK(snapshot.find("{\"t\":\"" + std::string(table) + "\",") !=
          std::string::npos);
  }
  Machine loaded(m_limits);
  loaded.Load(snapshot);
  CHECK(loaded.Save() == snapshot);
  CHECK(loaded.Digest() == m_replica->Digest());
  CHECK(loaded.applied_index() == m_index);
  CHECK(loaded.settings_version() == 2);
  CHECK(loaded.Burn("s", m_now - std::chrono::hours(1)).at(0).good == 2);
  CHECK(loaded.FindClaim({"o", "s", "done"})->answer.body.data == "b");
  CHECK(loaded.FindClaim({"o", "s", "old"})->verdict ==
        ClaimVerdict::kOutcomeUnknown);
}

TEST_CASE_FIXTURE(FullMachineFixture,
                  "Machine, snapshot altered or cut, throws and stays") {
  const uint64_t before = m_machine->Digest();
  const std::string snapshot = m_machine->Save();
  for (size_t at = 0; at < snapshot.size(); at += 97) {
    std::string altered = snapshot;
    altered[at] = static_cast<char>(altered[at] ^ 1);
    CHECK_THROWS_AS(m_machine->Load(altered), std::exception);
    CHECK_THROWS_AS(m_machine->Load(snapshot.substr(0, at)), std::exception);
  }
  const size_t last_record = snapshot.rfind("{\"t\":\"end\"");
  CHECK_THROWS_AS(m_machine->Load(snapshot.substr(0, last_record)),
                  std::exception);
  CHECK(m_machine->Digest() == before);
}

// Guards against a count of records that nobody compared.
TEST_CASE_FIXTURE(FullMachineFixture,
                  "Machine, any byte of a snapshot's last line altered, "
                  "throws") {
  const std::string snapshot = m_machine->Save();
  const size_t last_line = snapshot.rfind("{\"t\":\"end\"");
  for (size_t at = last_line; at < snapshot.size(); ++at) {
    std::string altered = snapshot;
    altered[at] = static_cast<char>(altered[at] ^ 1);
    CAPTURE(altered.substr(last_line));
    CHECK_THROWS_AS(m_machine->Load(altered), std::exception);
  }
}

TEST_CASE_FIXTURE(FullMachineFixture,
                  "Machine, entry applied twice or unreadable, throws") {
  const uint64_t before = m_machine->Digest();
  const std::string payload = EncodeCommands({ExpireCommand{m_now}});
  CHECK_THROWS_AS(m_machine->Apply(m_index, payload), std::logic_error);
  CHECK_THROWS_AS(m_machine->Apply(m_index + 1, "["), std::exception);
  CHECK(m_machine->Digest() == before);
  CHECK(m_machine->applied_index() == m_index);
}

TEST_CASE("BurnHistory, past its minutes, drops the oldest") {
  MachineLimits limits;
  limits.max_burn_minutes = 3;
  MachineFixture fixture(limits);
  CHECK(fixture.Change("ana", "a", 0, "services", R"({"s": {}})").is_accepted);
  for (int minute = 0; minute < 5; ++minute) {
    const WallTime at = fixture.m_now + std::chrono::minutes(minute);
    CHECK(fixture.Act(BurnCommand{{{"s", at, minute}}}).is_accepted);
  }
  const auto samples = fixture.m_machine->Burn("s", WallTime());
  REQUIRE(samples.size() == 3);
  CHECK(samples.front().good == 2);
  fixture.m_now += std::chrono::minutes(7);
  fixture.Expire();
  CHECK(fixture.m_machine->Burn("s", WallTime()).size() == 1);
}

TEST_CASE_FIXTURE(FullMachineFixture,
                  "Machine, read while it applies, never shows less") {
  std::atomic<bool> is_over{false};
  std::atomic<int> faults{0};
  const auto read = [&] {
    uint64_t version = 0;
    while (!is_over) {
      const uint64_t seen = m_machine->applied_index();
      const uint64_t now = m_machine->config()->version;
      const model::Fleet fleet = m_machine->fleet();
      const bool is_whole =
          now >= version && fleet.hosts.size() == 1 &&
          !m_machine->EndpointsSince(0).empty() &&
          m_machine->FindClaim({"o", "s", "done"}).has_value() &&
          m_machine->applied_index() >= seen;
      faults += is_whole ? 0 : 1;
      version = now;
    }
  };
  std::thread first(read);
  std::thread second(read);
  for (uint64_t version = 2; version < 202; ++version) {
    Change("ana", std::to_string(version), version, "weights.buffer",
           std::to_string(version));
    Claim({{"o", "s", std::to_string(version)}, "d", {"e", 1}, "r"});
    if (version % 50 == 0) {
      m_machine->Load(m_machine->Save());
    }
  }
  is_over = true;
  first.join();
  second.join();
  CHECK(faults == 0);
  CHECK(m_machine->Digest() == m_replica->Digest());
}

TEST_CASE("Notes, beyond their bounds, are refused and survive a snapshot") {
  MachineLimits limits;
  limits.max_notes = 2;
  limits.max_note_bytes = 4;
  MachineFixture fixture(limits);
  const auto put = [&](const std::string& name, const std::string& text) {
    return fixture.Act(NoteCommand{name, text}).is_accepted;
  };
  CHECK(put("a", "1234"));
  CHECK_FALSE(put("a", "12345"));
  CHECK_FALSE(put("", "1"));
  CHECK_FALSE(put(std::string(MachineLimits::kMaxNoteName + 1, 'n'), "1"));
  CHECK(put("b", "1"));
  CHECK_FALSE(put("c", "1"));
  CHECK(put("b", ""));
  CHECK(put("c", "1"));
  fixture.Reload();
  CHECK(fixture.m_machine->Note("a") == "1234");
  CHECK_FALSE(fixture.m_machine->Note("b"));
}

TEST_CASE_FIXTURE(MachineFixture,
                  "Requests, told by a digest, are answered as the first") {
  OperatorRequest request = RequestOf("ana", "r1");
  request.digest = "7";
  CHECK(Act(SettingsCommand{request, 0, {{"pools", "{\"annex\": {}}"}}})
            .version == 1);
  // The same request, made into a command on a later state.
  const ActResult again =
      Act(SettingsCommand{request, 1, {{"pools", "{\"annex\": {}}"}}});
  CHECK(again.is_resend);
  CHECK(again.version == 1);
  Reload();
  CHECK(m_machine->FindRequest(request)->version == 1);
  CHECK_FALSE(m_machine->FindRequest(RequestOf("ana", "r2")));
  request.digest = "8";
  CHECK_THROWS_AS(m_machine->FindRequest(request), std::invalid_argument);
  CHECK_FALSE(Act(SettingsCommand{request, 1, {}}).is_accepted);
}

}  // namespace
}  // namespace laurelhall::state
