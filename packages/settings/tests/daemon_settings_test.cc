#include <doctest/doctest.h>

#include <set>

#include "laurelhall/settings/daemon_settings.h"

namespace laurelhall::settings {
namespace {

// One line each, so that a failure shows which differ.
std::string Lines(const std::set<std::string>& lines) {
  std::string text;
  for (const std::string& line : lines) {
    text += line + "\n";
  }
  return text;
}

struct DaemonSettingsFixture {
  static std::set<std::string> FindingsOf(const std::string& text) {
    std::set<std::string> lines;
    try {
      ParseDaemonSettings(text, "d.json");
    } catch (const FindingsError& error) {
      for (const Finding& finding : error.findings()) {
        lines.insert(finding.place + ": " + finding.text);
      }
    }
    return lines;
  }

  // A whole file with these addresses and keys.
  static std::string With(const std::string& inner,
                          const std::string& operators,
                          const std::string& keys,
                          const std::string& tls = "",
                          const std::string& caller = "127.0.0.1:80") {
    return R"({"name": "e1", "availability_zone": "z1", "roles": ["entry"],
      "addresses": {"inner": ")" +
           inner + R"(", "caller": ")" + caller + R"(", "operator": ")" +
           operators + R"("}, "tls": {)" + tls + R"(}, "keys": {)" + keys +
           R"(}, "control": {"peers": [{"name": "c1", "address": "127.0.0.1:71",
            "availability_zone": "z1"}]}})";
  }
};

TEST_CASE_FIXTURE(DaemonSettingsFixture,
                  "ReadDaemonSettings, the example, reads all of it") {
  const DaemonSettings settings = ReadDaemonSettings(
      LAURELHALL_SOURCE_DIR "/examples/montevideo/entry-1.json");
  CHECK(settings.cluster == "montevideo");
  CHECK(settings.is_entry);
  CHECK(settings.is_control);
  CHECK(settings.may_bootstrap);
  CHECK(settings.data_folder == "data/entry-1");
  CHECK(settings.operator_address == "127.0.0.1:9101");
  REQUIRE(settings.control_peers.size() == 5);
  CHECK(settings.control_peers[4].name == "entry-5");
  CHECK(settings.control_peers[4].availability_zone == "mvd-1");
  CHECK(settings.drain_grace == Seconds(30));
  CHECK(settings.log_level == "info");
}

TEST_CASE_FIXTURE(DaemonSettingsFixture,
                  "ReadDaemonSettings, the trusted example, has no findings") {
  const DaemonSettings settings =
      ReadDaemonSettings(LAURELHALL_SOURCE_DIR "/examples/trusted/daemon.json");
  CHECK(IsOffLoopback(settings.inner_address));
  CHECK_FALSE(settings.inner_tls.ca_file.empty());
  CHECK_FALSE(settings.is_caller_tls_at_balancer);
  CHECK_FALSE(settings.allows_drills);
}

TEST_CASE_FIXTURE(DaemonSettingsFixture,
                  "ReadDaemonSettings, no such file, says which") {
  CHECK_THROWS_WITH_AS(ReadDaemonSettings("/nowhere/d.json"),
                       "/nowhere/d.json: expected a readable file",
                       FindingsError);
}

TEST_CASE_FIXTURE(DaemonSettingsFixture,
                  "ParseDaemonSettings, many faults, finds all at once") {
  const std::set<std::string> expected{
      "d.json: name: expected a name",
      "d.json: availability_zone: expected a text",
      "d.json: availability_zone: expected a name",
      "d.json: roles[1]: expected \"entry\" or \"control\"",
      "d.json: adresses: unknown key",
      "d.json: addresses.caller: expected an IP number and port such as "
      "\"127.0.0.1:7101\"",
      "d.json: addresses.inner: expected an IP number and port such as "
      "\"127.0.0.1:7101\"",
      "d.json: addresses.operator: expected an IP number and port such as "
      "\"127.0.0.1:7101\"",
      "d.json: control.peers[0].port: unknown key",
      "d.json: control.peers[0].address: expected an IP number and port such "
      "as \"127.0.0.1:7101\"",
      "d.json: control.peers[0].availability_zone: expected a name",
      "d.json: control.peers[1]: expected an object",
      "d.json: control.data_folder: expected a folder: a control host keeps "
      "its state there",
      "d.json: log.level: expected trace, debug, info, warning, error or off",
      "d.json: log.colour: unknown key",
      "d.json: tls: expected an object",
      "d.json: io_threads: expected a whole number from 1 to 64",
      "d.json: drain_grace: expected a duration such as \"30s\""};
  CHECK(Lines(FindingsOf(R"({"availability_zone": 4, "adresses": {},
    "roles": ["control", "king", "entry"], "tls": [], "io_threads": 0,
    "addresses": {"caller": "localhost:80", "inner": "127.0.0.1:99999",
                  "operator": "127.0.0.1"},
    "control": {"peers": [{"name": "c", "address": "127.0.0.1:0", "port": 1}, 2]},
    "log": {"level": "loud", "colour": 1}, "drain_grace": "30"})")) ==
        Lines(expected));
}

TEST_CASE_FIXTURE(
    DaemonSettingsFixture,
    "ParseDaemonSettings, addresses off loopback, asks for keys") {
  CHECK(FindingsOf(With("127.0.0.1:0", "[::1]:90", "")).empty());
  CHECK(FindingsOf(With("10.0.0.4:71", "127.9.9.9:90", "")) ==
        std::set<std::string>{
            "d.json: keys.cluster_key_file: expected a file: the inner "
            "protocol leaves loopback",
            "d.json: tls.inner: expected files: the inner protocol leaves "
            "loopback"});
  CHECK(FindingsOf(With("127.0.0.1:71", "0.0.0.0:90", "")) ==
        std::set<std::string>{
            "d.json: keys.operator_tokens_file: expected a file: operators "
            "are served off loopback",
            "d.json: tls.operator.certificate_file: expected a file: tokens "
            "go off loopback"});
  CHECK(FindingsOf(With("10.0.0.4:71", "[fd00::1]:90",
                        R"("cluster_key_file": "k",
                           "operator_tokens_file": "t")",
                        R"("inner": {"certificate_file": "c", "key_file": "k",
                                     "ca_file": "a"},
                           "operator": {"certificate_file": "c",
                                        "key_file": "k"})"))
            .empty());
}

TEST_CASE_FIXTURE(
    DaemonSettingsFixture,
    "ParseDaemonSettings, callers off loopback, asks for TLS or balancer") {
  const auto with = [](const std::string& caller_tls) {
    return With("127.0.0.1:71", "127.0.0.1:90", "",
                R"("caller": {)" + caller_tls + "}", "0.0.0.0:80");
  };
  const std::set<std::string> expected{
      "d.json: tls.caller.certificate_file: expected a file, or "
      "terminated_by_balancer: callers come from off loopback"};
  CHECK(FindingsOf(with("")) == expected);
  CHECK(FindingsOf(with(R"("terminated_by_balancer": false)")) == expected);
  CHECK(FindingsOf(with(R"("terminated_by_balancer": true)")).empty());
  CHECK(
      FindingsOf(with(R"("certificate_file": "c", "key_file": "k")")).empty());
}

TEST_CASE_FIXTURE(DaemonSettingsFixture,
                  "ParseDaemonSettings, inner TLS in part, asks for the rest") {
  CHECK(FindingsOf(With("127.0.0.1:71", "127.0.0.1:90", "",
                        R"("inner": {"certificate_file": "c",
                                     "key_file": "k"})")) ==
        std::set<std::string>{"d.json: tls.inner: expected certificate_file, "
                              "key_file and ca_file together"});
}

TEST_CASE_FIXTURE(DaemonSettingsFixture,
                  "ParseDaemonSettings, text that is no object, says so") {
  CHECK(FindingsOf("[1]") ==
        std::set<std::string>{"d.json: expected a JSON object"});
  CHECK(FindingsOf("{").size() == 1);
}

constexpr const char* kControlFile = R"({"name": "10.1.0.9:7060",
  "availability_zone": "z1", "roles": ["control"],
  "addresses": {"inner": "10.1.0.9:7060", "scheduling": "10.1.0.9:8623",
    "hosts": "10.2.0.1:80", "metrics": "10.1.0.9:9464"},
  "control": {"data_folder": "d", "admits_newcomers": true,
    "guards_zones": false, "seeds": ["10.1.0.11:8623", "10.2.0.25:8623"]},
  "scheduling": {"longest_lease": "6s", "maintenance": "2s"})";

TEST_CASE_FIXTURE(DaemonSettingsFixture,
                  "ParseDaemonSettings, seeds given, stand for their peers") {
  const DaemonSettings settings = ParseDaemonSettings(
      std::string(kControlFile) +
          R"(, "trusted_network": {"inner": true, "scheduling": true}})",
      "d.json");
  REQUIRE(settings.control_peers.size() == 2);
  CHECK(settings.control_peers[1].address == "10.2.0.25:7060");
  CHECK(settings.control_peers[1].name == "10.2.0.25:7060");
  CHECK(settings.admits_newcomers);
  CHECK_FALSE(settings.guards_zones);
  CHECK(settings.dispatch_bounds.longest_lease == Millis(6'000));
}

TEST_CASE_FIXTURE(
    DaemonSettingsFixture,
    "ParseDaemonSettings, relay before the inner address, asks for keys") {
  const auto of_relay = [this](const std::string& relay) {
    std::string text = With("127.0.0.1:71", "127.0.0.1:90", "");
    const std::string key = R"("addresses": {)";
    text.insert(text.find(key) + key.size(),
                R"("inner_reached_at": ")" + relay + R"(", )");
    return text;
  };
  CHECK(ParseDaemonSettings(of_relay("127.0.0.1:72"), "d.json")
            .inner_reached_at == "127.0.0.1:72");
  CHECK(FindingsOf(of_relay("10.0.0.4:72")).size() == 2);
}

TEST_CASE_FIXTURE(
    DaemonSettingsFixture,
    "ParseDaemonSettings, remote data factor, a number of at least 1") {
  const auto with_factor = [](const std::string& factor) {
    std::string text = kControlFile;
    text.insert(text.rfind('}'), ", \"remote_data_factor\": " + factor);
    return text +
           R"(, "trusted_network": {"inner": true, "scheduling": true}})";
  };
  const auto factor_of = [](const std::string& text) {
    return ParseDaemonSettings(text, "d.json")
        .dispatch_bounds.remote_data_factor;
  };
  CHECK(factor_of(with_factor("1.5")) == 1.5);
  CHECK(factor_of(with_factor("2")) == 2);
  CHECK(FindingsOf(with_factor("0.9")).size() == 1);
  CHECK(FindingsOf(with_factor("\"2\"")).size() == 1);
}

TEST_CASE_FIXTURE(
    DaemonSettingsFixture,
    "ParseDaemonSettings, mechanisms left out, named ones alone") {
  using scheduling::Mechanism;
  const std::string trusted =
      R"(, "trusted_network": {"inner": true, "scheduling": true}})";
  const auto with = [&](const std::string& without) {
    std::string file = kControlFile;
    file.insert(file.rfind('}'), R"(, "without": )" + without);
    return file + trusted;
  };
  const auto settings =
      ParseDaemonSettings(with(R"(["turns", "last-call"])"), "d.json");
  CHECK_FALSE(settings.mechanisms.Has(Mechanism::kTurns));
  CHECK_FALSE(settings.mechanisms.Has(Mechanism::kLastCall));
  CHECK(settings.mechanisms.Has(Mechanism::kPacing));
  CHECK(FindingsOf(with(R"(["turns", "luck"])")) ==
        std::set<std::string>{"d.json: scheduling.without[1]: expected the "
                              "name of a mechanism"});
}

TEST_CASE_FIXTURE(
    DaemonSettingsFixture,
    "ParseDaemonSettings, off loopback and not trusted, refused") {
  const auto findings = FindingsOf(std::string(kControlFile) + "}");
  CHECK(findings.size() == 4);
  CHECK(findings.contains(
      "d.json: trusted_network.scheduling: expected true: 10.1.0.9:8623 is "
      "served off loopback"));
}

}  // namespace
}  // namespace laurelhall::settings
