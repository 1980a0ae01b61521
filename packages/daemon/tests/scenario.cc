#include "scenario.h"

#include <algorithm>
#include <csignal>
#include <iostream>
#include <iterator>
#include <sstream>
#include <stdexcept>

namespace laurelhall::scenario {
namespace {

std::string Join(const std::vector<std::string>& parts) {
  std::string text;
  for (const std::string& part : parts) {
    text += (text.empty() ? "" : ",") + part;
  }
  return text;
}

std::string WithNumber(std::string text, int64_t number) {
  const size_t mark = text.find('%');
  return mark == std::string::npos
             ? text
             : text.replace(mark, 1, std::to_string(number));
}

std::string TextOf(const Reply& reply) {
  return "status " + std::to_string(reply.status) + ", " +
         boost::json::serialize(reply.body);
}

bool IsResend(const Reply& reply) {
  return reply.status == 200 && reply.body.at("is_resend").as_bool();
}

}  // namespace

void Require(bool condition, const std::string& otherwise) {
  if (!condition) {
    throw std::runtime_error(otherwise);
  }
}

const Scenario::Row Scenario::kSteps[] = {
    {"cluster", &Scenario::StartCluster},
    {"settings", &Scenario::LoadSettings},
    {"set", &Scenario::Set},
    {"resend", &Scenario::Resend},
    {"race", &Scenario::Race},
    {"changes", &Scenario::Changes},
    {"wait-changes", &Scenario::WaitChanges},
    {"watch-versions", &Scenario::WatchVersions},
    {"host", &Scenario::Host},
    {"endpoint", &Scenario::StartEndpoint},
    {"leave", &Scenario::Leave},
    {"load", &Scenario::StartLoad},
    {"wait-load", &Scenario::WaitLoad},
    {"kill", &Scenario::Kill},
    {"freeze", &Scenario::Freeze},
    {"thaw", &Scenario::Thaw},
    {"restart", &Scenario::Restart},
    {"stop", &Scenario::Stop},
    {"lose-disk", &Scenario::LoseDisk},
    {"stall-disks", &Scenario::StallDisks},
    {"refuse-writes", &Scenario::RefuseWrites},
    {"accept-writes", &Scenario::AcceptWrites},
    {"detach-disk", &Scenario::DetachDisk},
    {"attach-disk", &Scenario::AttachDisk},
    {"cut", &Scenario::Cut},
    {"heal", &Scenario::Heal},
    {"wait", &Scenario::Wait},
    {"report", &Scenario::Report},
    {"expect", &Scenario::Expect},
};

Scenario::Scenario(std::filesystem::path folder)
    : m_folder(std::move(folder)) {}

// Clients first, then the daemons.
Scenario::~Scenario() {
  m_loads.clear();
  m_endpoints.clear();
  if (m_changing.joinable()) {
    m_changing.join();
  }
  m_watch.reset();
}

std::optional<Failure> Scenario::Run(const std::vector<Step>& steps) {
  for (const Step& step : steps) {
    Arguments arguments(step.words);
    try {
      Dispatch(std::begin(kSteps), std::end(kSteps), arguments);
    } catch (const std::exception& error) {
      return Failure{step.line, step.text + ": " + error.what()};
    }
  }
  return std::nullopt;
}

void Scenario::Dispatch(const Row* begin,
                        const Row* end,
                        Arguments& arguments) {
  const std::string name = arguments.Next("a step");
  const Row* row =
      std::find_if(begin, end, [&](const Row& at) { return name == at.name; });
  Require(row != end, "no such step: " + name);
  (this->*row->action)(arguments);
  arguments.Finish();
}

void Scenario::StartCluster(Arguments& arguments) {
  ClusterInit init;
  init.folder = m_folder;
  init.entry_hosts = static_cast<int>(arguments.NumberOption("entry", 7));
  init.control_hosts = static_cast<int>(arguments.NumberOption("control", 5));
  init.zones = static_cast<int>(arguments.NumberOption("zones", 4));
  m_cluster = std::make_unique<Cluster>(init);
  m_operator = std::make_unique<SettingsOperator>(*m_cluster);
}

void Scenario::LoadSettings(Arguments& arguments) {
  const auto file =
      std::filesystem::path(LAURELHALL_SOURCE) / arguments.Next("a file");
  const Reply reply = m_operator->Load(file.string());
  Require(reply.status == 200, TextOf(reply));
}

void Scenario::Set(Arguments& arguments) {
  SettingsChange change;
  if (const auto version = arguments.Option("expect-version")) {
    change.expected_version = std::stoull(*version);
  }
  change.request_id = arguments.Option("request", NewRequestId());
  const bool is_refusal_expected = arguments.Flag("refused");
  change.path = arguments.Next("a path");
  change.value = arguments.Next("a JSON value");
  const Reply reply = m_operator->Change(change);
  Require((reply.status == 409) == is_refusal_expected, TextOf(reply));
  Require(is_refusal_expected || reply.status == 200, TextOf(reply));
}

void Scenario::Resend(Arguments&) {
  const uint64_t version = m_operator->acknowledged();
  const Reply reply = m_operator->Change(m_operator->last());
  Require(IsResend(reply), "not recognised: " + TextOf(reply));
  Require(reply.body.at("version").to_number<uint64_t>() == version,
          "another version than the first time: " + TextOf(reply));
}

// All operators mean the same version; each asks another daemon.
void Scenario::Race(Arguments& arguments) {
  const int64_t count = arguments.NextNumber("how many operators");
  SettingsChange change;
  change.path = arguments.Next("a path");
  change.value = arguments.Next("a JSON value");
  change.expected_version = m_operator->acknowledged();
  std::atomic<int> accepted{0};
  std::atomic<int> refused{0};
  std::vector<std::thread> operators;
  for (int64_t n = 1; n <= count; ++n) {
    SettingsChange own = change;
    own.value = WithNumber(change.value, n);
    own.request_id = NewRequestId();
    own.operator_name = "operator-" + std::to_string(n);
    operators.emplace_back([&, own] {
      const int status = m_operator->Change(own).status;
      accepted += status == 200 ? 1 : 0;
      refused += status == 409 ? 1 : 0;
    });
  }
  for (std::thread& one : operators) {
    one.join();
  }
  Require(accepted == 1 && refused == count - 1,
          std::to_string(accepted) + " accepted, " + std::to_string(refused) +
              " refused");
}

void Scenario::Changes(Arguments& arguments) {
  const bool is_in_background =
      arguments.Flag("in") && arguments.Flag("background");
  const int64_t count = arguments.NextNumber("how many changes");
  SettingsChange change;
  change.path = arguments.Next("a path");
  change.value = arguments.Next("a JSON value");
  const std::string id = NewRequestId();
  m_changing = std::thread([this, change, count, id]() mutable {
    const std::string value = change.value;
    for (int64_t n = 1; n <= count && m_changing_failure.empty(); ++n) {
      change.value = WithNumber(value, n);
      change.request_id = id + "-" + std::to_string(n);
      try {
        const Reply reply = m_operator->Change(change);
        m_changing_failure = reply.status == 200 ? "" : TextOf(reply);
      } catch (const std::exception& error) {
        m_changing_failure = error.what();
      }
    }
  });
  if (!is_in_background) {
    WaitChanges(arguments);
  }
}

void Scenario::WaitChanges(Arguments&) {
  m_changing.join();
  Require(m_changing_failure.empty(), m_changing_failure);
}

void Scenario::WatchVersions(Arguments&) {
  m_watch = std::make_unique<VersionWatch>(cluster(), *m_operator);
}

void Scenario::Host(Arguments& arguments) {
  const std::string verb = arguments.Next("a verb");
  boost::json::object body{{"operator", "scenario"},
                           {"request_id", NewRequestId()}};
  std::string target = "/v1/hosts";
  if (verb == "add") {
    body["pool"] = arguments.Option("pool", "counter");
    body["rack"] = arguments.Option("rack", "rack-1");
    body["availability_zone"] = arguments.Option("zone", "mvd-1");
    body["processors"] = 32;
    body["memory_gb"] = 128;
    body["id"] = arguments.Next("a host");
  } else {
    target += "/" + arguments.Next("a host") + "/" + verb;
  }
  const Reply reply = cluster().Operate("POST", target, body);
  Require(reply.status == 200, TextOf(reply));
}

void Scenario::StartEndpoint(Arguments& arguments) {
  const std::string id = arguments.Next("an endpoint");
  m_journals[id] = m_folder / (id + ".journal");
  ProcessInit init;
  init.arguments = {LAURELHALL_STANDIN,
                    "--id",
                    id,
                    "--journal",
                    m_journals[id].string(),
                    "--announce",
                    Join(cluster().caller_addresses())};
  for (const char* name :
       {"service", "host", "zone", "delay", "slots", "vendor", "cut-answers",
        "swap-ids", "answer-bytes", "linger", "seed"}) {
    if (const auto value = arguments.Option(name)) {
      init.arguments.push_back(std::string("--") + name);
      init.arguments.push_back(*value);
    }
  }
  init.output = m_folder / (id + ".log");
  init.errors = init.output;
  m_endpoints[id] = std::make_unique<Process>(init);
}

void Scenario::Leave(Arguments& arguments) {
  const std::string id = arguments.Next("an endpoint");
  m_endpoints.at(id)->Signal(SIGTERM);
  const auto is_accepted = [&] {
    const auto lines = RunsAt(id);
    return std::any_of(lines.begin(), lines.end(), [](const JournalLine& line) {
      return line.event == "leaving";
    });
  };
  Require(Poll(is_accepted), "nobody accepted that it leaves");
}

void Scenario::StartLoad(Arguments& arguments) {
  const bool is_in_background =
      arguments.Flag("in") && arguments.Flag("background");
  const std::string name = arguments.Next("a name");
  const double rate = std::stod(arguments.Option("rate", "100"));
  const int64_t count = arguments.NumberOption("count", 100);
  const int64_t deadline = arguments.NumberOption("deadline", 5'000);
  Load& load = m_loads[name];
  load.answers = m_folder / (name + ".answers");
  load.most = Millis(static_cast<int64_t>(1'000 * count / rate) + deadline);
  ProcessInit init;
  init.arguments = {LAURELHALL_LOAD,
                    "--targets",
                    Join(Targets(arguments.Option("through", ""))),
                    "--organisations",
                    arguments.Option("organisations", "insurer-a"),
                    "--key-prefix",
                    arguments.Option("keys", name),
                    "--answers",
                    load.answers.string(),
                    "--rate",
                    std::to_string(rate),
                    "--count",
                    std::to_string(count),
                    "--verbose",
                    "--deadline",
                    std::to_string(deadline)};
  for (const char* option : {"service", "keyed", "resend", "resend-delay",
                             "seed", "priority", "body-bytes"}) {
    if (const auto value = arguments.Option(option)) {
      init.arguments.push_back(std::string("--") + option);
      init.arguments.push_back(*value);
    }
  }
  init.output = m_folder / (name + ".report");
  init.errors = init.output;
  load.process = std::make_unique<Process>(init);
  if (!is_in_background) {
    Require(load.process->WaitExit(load.most + kCap).has_value(),
            "the load does not end");
  }
}

void Scenario::WaitLoad(Arguments& arguments) {
  Load& load = m_loads.at(arguments.Next("a load"));
  Require(load.process->WaitExit(load.most + kCap).has_value(),
          "the load does not end");
}

void Scenario::Kill(Arguments& arguments) {
  cluster().Kill(NextHost(arguments));
}

void Scenario::Freeze(Arguments& arguments) {
  cluster().Signal(NextHost(arguments), SIGSTOP);
}

void Scenario::Thaw(Arguments& arguments) {
  cluster().Signal(NextHost(arguments), SIGCONT);
}

void Scenario::Restart(Arguments& arguments) {
  const std::string host = NextHost(arguments);
  cluster().Kill(host);
  cluster().Start(host);
}

void Scenario::Stop(Arguments& arguments) {
  cluster().Signal(NextHost(arguments), SIGTERM);
}

void Scenario::LoseDisk(Arguments& arguments) {
  const std::string host = NextHost(arguments);
  m_lost_ids[host] = ControlId(host);
  cluster().LoseDisk(host);
}

void Scenario::StallDisks(Arguments& arguments) {
  const int64_t hosts = arguments.NextNumber("how many control hosts");
  cluster().StallDisks(static_cast<int>(hosts),
                       Millis(arguments.NextNumber("ms")));
}

void Scenario::RefuseWrites(Arguments& arguments) {
  cluster().RefuseWrites(NextHost(arguments), true);
}

void Scenario::AcceptWrites(Arguments& arguments) {
  cluster().RefuseWrites(NextHost(arguments), false);
}

void Scenario::DetachDisk(Arguments& arguments) {
  cluster().DetachDisk(NextHost(arguments));
}

void Scenario::AttachDisk(Arguments& arguments) {
  cluster().AttachDisk(NextHost(arguments));
}

void Scenario::Cut(Arguments& arguments) {
  const std::string host = NextHost(arguments);
  cluster().Cut(host, arguments.Next("stall or refuse"));
}

void Scenario::Heal(Arguments& arguments) {
  cluster().Cut(NextHost(arguments), "none");
}

void Scenario::Wait(Arguments& arguments) {
  const Millis pause(arguments.NextNumber("ms"));
  std::this_thread::sleep_for(pause);
}

void Scenario::Report(Arguments&) {
  std::map<std::string, int> kinds;
  for (const AnswerLine& line : Answers("")) {
    ++kinds[line.kind];
  }
  std::cout << "keys run: " << RunsByKey(AllRuns()).size() << "; answers:";
  for (const auto& [kind, count] : kinds) {
    std::cout << ' ' << kind << ' ' << count;
  }
  std::cout << std::endl;
}

Cluster& Scenario::cluster() {
  Require(m_cluster != nullptr, "no cluster yet");
  return *m_cluster;
}

std::string Scenario::NextHost(Arguments& arguments) {
  const std::string word = arguments.Next("a daemon");
  if (word == "leader") {
    Require(Poll([&] { return !(m_last_host = cluster().Leader()).empty(); }),
            "nobody leads");
  } else if (word != "last") {
    m_last_host = word;
  }
  return m_last_host;
}

std::string Scenario::NewRequestId() {
  return "request-" + std::to_string(++m_request_count);
}

std::vector<std::string> Scenario::Targets(const std::string& names) {
  if (names.empty()) {
    return cluster().caller_addresses();
  }
  std::vector<std::string> addresses;
  std::istringstream stream(names);
  for (std::string name; std::getline(stream, name, ',');) {
    addresses.push_back(cluster().caller_address(name));
  }
  return addresses;
}

std::vector<JournalLine> Scenario::AllRuns() const {
  std::vector<JournalLine> all;
  for (const auto& [id, file] : m_journals) {
    const std::vector<JournalLine> lines = ReadJournal(file);
    all.insert(all.end(), lines.begin(), lines.end());
  }
  return all;
}

std::vector<JournalLine> Scenario::RunsAt(const std::string& endpoint) const {
  return ReadJournal(m_journals.at(endpoint));
}

std::vector<AnswerLine> Scenario::Answers(const std::string& load) const {
  std::vector<AnswerLine> all;
  for (const auto& [name, one] : m_loads) {
    if (load.empty() || load == name) {
      const std::vector<AnswerLine> lines = ReadAnswers(one.answers);
      all.insert(all.end(), lines.begin(), lines.end());
    }
  }
  return all;
}

}  // namespace laurelhall::scenario
