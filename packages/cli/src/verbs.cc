#include <algorithm>
#include <set>
#include <string_view>

#include "options_p.h"
#include "session_p.h"
#include "verb_p.h"

namespace laurelhall::cli {
namespace {

constexpr size_t kMany = 10'000;

using enum FieldType;

const std::vector<std::string> kWaveColumns = {
    "id", "state", "pools", "pending", "active", "done", "given_up", "reason"};
const std::vector<std::string> kRolloutColumns = {
    "id",      "service", "version", "state", "stage",
    "pending", "active",  "done",    "reason"};

const Field kExpectedEpoch = {"expected_epoch", "expect", kNumber};

std::vector<Verb> SettingsVerbs() {
  return {
      {"settings get",
       "[PATH]",
       0,
       1,
       "shows the tree or one value set in it",
       "settings get pools.annex.drain_timeout",
       "GET",
       "/v1/settings",
       {{"path", "0"}},
       {},
       &Session::CallOnce},
      {"settings set",
       "PATH=JSON...",
       1,
       kMany,
       "changes values, all or none",
       "settings set pools.annex.warm_up='\"2m\"' --expect 41",
       "POST",
       "/v1/settings",
       {{"expected_version", "expect", kNumber}},
       {},
       &Session::CallOnce,
       &Session::AddChanges},
      {"settings unset",
       "PATH...",
       1,
       kMany,
       "removes values, so that the parent's show again",
       "settings unset pools.annex.warm_up",
       "POST",
       "/v1/settings",
       {{"expected_version", "expect", kNumber}},
       {},
       &Session::CallOnce,
       &Session::AddRemovals},
      {"settings diff",
       "FROM TO",
       2,
       2,
       "shows what changed between versions",
       "settings diff 40 41",
       "GET",
       "/v1/settings/diff",
       {{"from", "0"}, {"to", "1"}},
       {},
       &Session::CallOnce},
      {"settings history",
       "",
       0,
       0,
       "shows who changed what",
       "settings history",
       "GET",
       "/v1/settings/history",
       {},
       {},
       &Session::CallOnce},
      {"settings explain",
       "PATH",
       1,
       1,
       "shows where a value comes from",
       "settings explain services.quote.requests.default_deadline",
       "GET",
       "/v1/settings/explain",
       {{"path", "0"}},
       {},
       &Session::CallOnce},
      {"settings wait",
       "VERSION",
       1,
       1,
       "waits until a version is in force everywhere, or names who lags",
       "settings wait 42 --for 30s",
       "GET",
       "/v1/status",
       {},
       {},
       &Session::WaitForSettings,
       nullptr,
       {"for", "interval"}},
  };
}

std::vector<Verb> HostVerbs() {
  return {
      {"pool list",
       "",
       0,
       0,
       "lists pools and their hosts by state",
       "pool list",
       "GET",
       "/v1/pools",
       {},
       {},
       &Session::CallOnce},
      {"service list",
       "",
       0,
       0,
       "lists services and their budgets",
       "service list",
       "GET",
       "/v1/services",
       {},
       {},
       &Session::CallOnce},
      {"host list",
       "",
       0,
       0,
       "lists hosts",
       "host list --pool annex",
       "GET",
       "/v1/hosts",
       {{"pool", "pool"}},
       {"id", "pool", "availability_zone", "rack", "state", "drain_reason",
        "act", "version", "epoch"},
       &Session::CallOnce},
      {"host show",
       "ID",
       1,
       1,
       "shows one host",
       "host show w-17",
       "GET",
       "/v1/hosts/{0}",
       {},
       {},
       &Session::CallOnce},
      {"host add",
       "ID",
       1,
       1,
       "makes a host known in a pool",
       "host add w-17 --pool annex --rack r4 --zone z1 --processors 32 "
       "--memory-gb 128",
       "POST",
       "/v1/hosts",
       {{"id", "0"},
        {"pool", "pool", kText, true},
        {"rack", "rack", kText, true},
        {"availability_zone", "zone", kText, true},
        {"region", "region"},
        {"processors", "processors", kNumber},
        {"memory_gb", "memory-gb", kNumber},
        {"accelerators", "accelerators", kNumber}},
       {},
       &Session::CallOnce},
      {"host join",
       "ID",
       1,
       1,
       "takes an announced host into its pool",
       "host join w-17",
       "POST",
       "/v1/hosts/{0}/join",
       {kExpectedEpoch},
       {},
       &Session::CallOnce},
      {"host drain",
       "ID",
       1,
       1,
       "lets a host take no new work",
       "host drain w-17 --dry-run",
       "POST",
       "/v1/hosts/{0}/drain",
       {kExpectedEpoch},
       {},
       &Session::CallOnce},
      {"host undrain",
       "ID",
       1,
       1,
       "takes a drain back",
       "host undrain w-17 --expect 9",
       "POST",
       "/v1/hosts/{0}/undrain",
       {kExpectedEpoch},
       {},
       &Session::CallOnce},
      {"host move",
       "ID",
       1,
       1,
       "drains a host and moves it to another pool",
       "host move w-17 --to counter",
       "POST",
       "/v1/hosts/{0}/move",
       {{"to", "to", kText, true}, kExpectedEpoch},
       {},
       &Session::CallOnce},
      {"host return",
       "ID",
       1,
       1,
       "says that a host is back",
       "host return w-17 --version 2.4",
       "POST",
       "/v1/hosts/{0}/return",
       {{"version", "version"}, kExpectedEpoch},
       {},
       &Session::CallOnce},
      {"host fail",
       "ID",
       1,
       1,
       "counts a host as failed",
       "host fail w-17",
       "POST",
       "/v1/hosts/{0}/fail",
       {kExpectedEpoch},
       {},
       &Session::CallOnce},
      {"host retire",
       "ID",
       1,
       1,
       "takes a host out for good",
       "host retire w-17",
       "POST",
       "/v1/hosts/{0}/retire",
       {kExpectedEpoch},
       {},
       &Session::CallOnce},
  };
}

std::vector<Verb> ActVerbs() {
  return {
      {"wave start",
       "ID POOL...",
       2,
       kMany,
       "starts a maintenance wave",
       "wave start may annex counter --dry-run",
       "POST",
       "/v1/waves",
       {{"id", "0"},
        {"pools", "1", kList},
        {"time_per_host_ms", "time-per-host", kMillis}},
       {},
       &Session::CallOnce},
      {"wave list",
       "",
       0,
       0,
       "lists waves",
       "wave list",
       "GET",
       "/v1/waves",
       {},
       kWaveColumns,
       &Session::CallOnce},
      {"wave watch",
       "ID",
       1,
       1,
       "follows a wave to its end",
       "wave watch may --interval 5s",
       "GET",
       "/v1/waves/{0}",
       {},
       kWaveColumns,
       &Session::WatchAct,
       nullptr,
       {"for", "interval"}},
      {"wave pause",
       "ID",
       1,
       1,
       "starts no more hosts",
       "wave pause may",
       "POST",
       "/v1/waves/{0}/pause",
       {},
       {},
       &Session::CallOnce},
      {"wave resume",
       "ID",
       1,
       1,
       "goes on",
       "wave resume may",
       "POST",
       "/v1/waves/{0}/resume",
       {},
       {},
       &Session::CallOnce},
      {"wave cancel",
       "ID",
       1,
       1,
       "ends a wave early",
       "wave cancel may",
       "POST",
       "/v1/waves/{0}/cancel",
       {},
       {},
       &Session::CallOnce},
      {"rollout start",
       "ID SERVICE",
       2,
       2,
       "starts a roll-out of a version",
       "rollout start q7 quote --version 2.4 --previous 2.3",
       "POST",
       "/v1/rollouts",
       {{"id", "0"},
        {"service", "1"},
        {"version", "version", kText, true},
        {"previous_version", "previous"}},
       {},
       &Session::CallOnce},
      {"rollout list",
       "",
       0,
       0,
       "lists roll-outs",
       "rollout list",
       "GET",
       "/v1/rollouts",
       {},
       kRolloutColumns,
       &Session::CallOnce},
      {"rollout watch",
       "ID",
       1,
       1,
       "follows a roll-out to its end",
       "rollout watch q7",
       "GET",
       "/v1/rollouts/{0}",
       {},
       kRolloutColumns,
       &Session::WatchAct,
       nullptr,
       {"for", "interval"}},
      {"rollout halt",
       "ID",
       1,
       1,
       "stops a roll-out where it stands",
       "rollout halt q7",
       "POST",
       "/v1/rollouts/{0}/halt",
       {},
       {},
       &Session::CallOnce},
  };
}

std::vector<Verb> OtherVerbs() {
  return {
      {"status",
       "",
       0,
       0,
       "shows the control hosts and their leader",
       "status",
       "GET",
       "/v1/status",
       {},
       {},
       &Session::CallOnce},
      {"job submit",
       "FILE",
       1,
       1,
       "submits the job that a JSON file holds",
       "job submit night.json --dry-run",
       "POST",
       "/v1/jobs",
       {},
       {},
       &Session::CallOnce,
       &Session::AddJobFile},
      {"job list",
       "",
       0,
       0,
       "lists jobs",
       "job list --team branch-4",
       "GET",
       "/v1/jobs",
       {{"team", "team"}},
       {"id", "team", "pool", "priority", "state", "host", "deadline",
        "reason"},
       &Session::CallOnce},
      {"job cancel",
       "ID",
       1,
       1,
       "cancels a job",
       "job cancel night-3",
       "POST",
       "/v1/jobs/{0}/cancel",
       {},
       {},
       &Session::CallOnce},
      {"budget list",
       "",
       0,
       0,
       "lists what is left of each budget",
       "budget list",
       "GET",
       "/v1/budgets",
       {},
       {},
       &Session::CallOnce},
      {"control status",
       "",
       0,
       0,
       "shows the control hosts",
       "control status",
       "GET",
       "/v1/status",
       {},
       {},
       &Session::CallOnce},
      {"control repair",
       "NAME",
       1,
       1,
       "takes in a control host that lost its disk",
       "control repair entry-3",
       "POST",
       "/v1/control/repair",
       {{"name", "0"}},
       {},
       &Session::CallOnce},
      {"control transfer",
       "NAME",
       1,
       1,
       "hands leadership over",
       "control transfer entry-2",
       "POST",
       "/v1/control/transfer",
       {{"name", "0"}},
       {},
       &Session::CallOnce},
      {"report burn",
       "",
       0,
       0,
       "shows the burn of each service",
       "report burn --html burn.html",
       "GET",
       "/v1/report/burn",
       {},
       {},
       &Session::WriteReport,
       nullptr,
       {"html"}},
      {"explain host",
       "ID",
       1,
       1,
       "says why a host is where it is",
       "explain host w-17",
       "GET",
       "/v1/explain/host/{0}",
       {},
       {},
       &Session::CallOnce},
      {"explain job",
       "ID",
       1,
       1,
       "says why a job waits or runs where it does",
       "explain job night-3",
       "GET",
       "/v1/explain/job/{0}",
       {},
       {},
       &Session::CallOnce},
      {"audit",
       "",
       0,
       0,
       "shows who did what",
       "audit",
       "GET",
       "/v1/audit",
       {},
       {},
       &Session::CallOnce},
      {"completion bash",
       "",
       0,
       0,
       "prints a script for bash",
       "completion bash > /etc/bash_completion.d/laurelhall",
       "",
       "",
       {},
       {},
       &Session::PrintCompletion},
  };
}

std::vector<Verb> AllVerbs() {
  std::vector<Verb> verbs;
  for (const auto& rows :
       {SettingsVerbs(), HostVerbs(), ActVerbs(), OtherVerbs()}) {
    verbs.insert(verbs.end(), rows.begin(), rows.end());
  }
  return verbs;
}

std::string FirstWord(const Verb& verb) {
  const std::string_view name = verb.name;
  return std::string(name.substr(0, name.find(' ')));
}

}  // namespace

const std::vector<Verb>& Verbs() {
  static const std::vector<Verb> verbs = AllVerbs();
  return verbs;
}

size_t WordCount(const Verb& verb) {
  const std::string_view name = verb.name;
  return 1 + static_cast<size_t>(std::count(name.begin(), name.end(), ' '));
}

const Verb* FindVerb(const std::vector<std::string>& words) {
  for (const Verb& verb : Verbs()) {
    std::string name;
    for (size_t i = 0; i < std::min(WordCount(verb), words.size()); ++i) {
      name += (i == 0 ? "" : " ") + words[i];
    }
    if (name == verb.name) {
      return &verb;
    }
  }
  return nullptr;
}

std::string VerbHelp(const Verb& verb) {
  std::string text = "laurelhall " + std::string(verb.name) + " " +
                     verb.arguments + "\n  " + verb.summary + "\n\nOptions:";
  for (const Field& field : verb.fields) {
    const std::string_view source = field.source;
    if (source.find_first_not_of("0123456789") != std::string_view::npos) {
      text += " --" + std::string(source);
      text += field.is_required ? " (required)" : "";
    }
  }
  for (const char* option : verb.options) {
    text += std::string(" --") + option;
  }
  return text + " and those of all verbs\n\nExample:\n  laurelhall " +
         verb.example + "\n";
}

std::string OverviewHelp() {
  std::string text = "laurelhall VERB [ARGUMENTS] [OPTIONS]\n\n";
  for (const Verb& verb : Verbs()) {
    std::string synopsis =
        "  " + std::string(verb.name) + " " + std::string(verb.arguments);
    synopsis.resize(std::max<size_t>(synopsis.size() + 1, 30), ' ');
    text += synopsis + verb.summary + "\n";
  }
  return text + "\nlaurelhall VERB --help shows an example.\n" +
         GlobalOptionsHelp() +
         "\nExit codes: 0 done, 1 refused, 2 bad usage or input, 3 no answer "
         "(resend with the same --request-id)\n";
}

std::string BashCompletion() {
  std::set<std::string> firsts;
  std::string cases;
  for (const Verb& verb : Verbs()) {
    const std::string first = FirstWord(verb);
    if (!firsts.insert(first).second || WordCount(verb) == 1) {
      continue;
    }
    cases += "    " + first + ") words=\"";
    for (const Verb& other : Verbs()) {
      if (FirstWord(other) == first) {
        cases += std::string(other.name).substr(first.size() + 1) + " ";
      }
    }
    cases += "\" ;;\n";
  }
  std::string all;
  for (const std::string& first : firsts) {
    all += first + " ";
  }
  return "_laurelhall() {\n  local words=\"" + all +
         "\"\n  if [ \"$COMP_CWORD\" -eq 2 ]; then\n    words=\"\"\n"
         "    case \"${COMP_WORDS[1]}\" in\n" +
         cases +
         "    esac\n  elif [ \"$COMP_CWORD\" -gt 2 ]; then\n    words=\"\"\n"
         "  fi\n  COMPREPLY=($(compgen -W \"$words\" -- "
         "\"${COMP_WORDS[COMP_CWORD]}\"))\n}\n"
         "complete -o default -F _laurelhall laurelhall\n";
}

}  // namespace laurelhall::cli
