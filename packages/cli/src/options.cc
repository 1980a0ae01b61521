#include "options_p.h"

#include <array>
#include <cstdint>
#include <random>

// An argument may be JSON text: commas separate nothing.
#define CXXOPTS_VECTOR_DELIMITER '\0'
#include <cxxopts.hpp>

#include "errors_p.h"

namespace laurelhall::cli {
namespace {

constexpr const char* kWords = "words";
constexpr const char* kForce = "force";

struct OptionHelp {
  const char* name;
  const char* help;
};

/// Options that some verbs take; a verb's row says which.
constexpr std::array<OptionHelp, 18> kVerbOptions = {{
    {"expect", "version or epoch that must still be in force"},
    {"to", "pool that the host joins; of a trace, the last time"},
    {"from", "of a trace, the first time: 2026-08-17T20:28:04Z"},
    {"pool", "a pool"},
    {"team", "a team"},
    {"rack", "a rack"},
    {"zone", "an availability zone"},
    {"region", "a region"},
    {"processors", "processors of the host"},
    {"memory-gb", "memory of the host, GB"},
    {"accelerators", "accelerators of the host"},
    {"version", "software version"},
    {"previous", "version that a roll-back returns to"},
    {"bake", "how long each early stage of a roll-out is watched"},
    {"html", "file that the report is written to"},
    {"for", "how long to wait, for example 30s"},
    {"interval", "time between looks, for example 1s"},
    {"time-per-host", "expected time per host, for dry runs"},
}};

std::string RandomRequestId() {
  std::random_device device;
  std::string id;
  for (int i = 0; i < 16; ++i) {
    id += "0123456789abcdef"[device() % 16];
  }
  return id;
}

cxxopts::Options MakeOptions(const Defaults& defaults) {
  cxxopts::Options options("laurelhall");
  const auto text = [](const std::string& value) {
    return cxxopts::value<std::string>()->default_value(value);
  };
  options.add_options("global")(
      "server", "operators' address of a daemon (LAURELHALL_SERVER)",
      text(defaults.server),
      "IP:PORT")("token-file", "file that holds the operator's token", text(""),
                 "FILE")("output", "table or json", text("table"), "FORMAT")(
      "timeout", "longest wait for one answer", text("10s"), "TIME")(
      "dry-run", "show what would be done, change nothing")(
      "operator", "who asks, when no token says it",
      text(defaults.operator_name),
      "NAME")("request-id", "id under which a resend is recognised", text(""),
              "ID")("h,help", "show help");
  for (const OptionHelp& option : kVerbOptions) {
    options.add_options("verb")(option.name, option.help, text(""));
  }
  options.add_options("verb")(kForce, "take the host whatever the budgets say");
  options.add_options("words")(kWords, "",
                               cxxopts::value<std::vector<std::string>>());
  options.parse_positional({kWords});
  return options;
}

OutputFormat ParseOutput(const std::string& text) {
  if (text != "table" && text != "json") {
    throw UsageError("--output: expected table or json, not " + text);
  }
  return text == "json" ? OutputFormat::kJson : OutputFormat::kTable;
}

CommandLine Collect(const cxxopts::ParseResult& parsed) {
  CommandLine line;
  const auto text = [&](const char* name) {
    return parsed[name].as<std::string>();
  };
  line.server = text("server");
  line.token_file = text("token-file");
  line.operator_name = text("operator");
  line.request_id = text("request-id");
  if (line.request_id.empty()) {
    line.request_id = RandomRequestId();
  }
  line.output = ParseOutput(text("output"));
  line.timeout = ParseDuration(text("timeout"));
  line.is_dry_run = parsed.count("dry-run") > 0;
  line.is_help = parsed.count("help") > 0;
  if (parsed.count(kWords) > 0) {
    line.words = parsed[kWords].as<std::vector<std::string>>();
  }
  for (const OptionHelp& option : kVerbOptions) {
    if (parsed.count(option.name) > 0) {
      line.verb_options[option.name] = text(option.name);
    }
  }
  if (parsed.count(kForce) > 0) {
    line.verb_options[kForce] = "";
  }
  return line;
}

}  // namespace

CommandLine ParseCommandLine(const std::vector<std::string>& arguments,
                             const Defaults& defaults) {
  std::vector<const char*> pointers = {"laurelhall"};
  for (const std::string& argument : arguments) {
    pointers.push_back(argument.c_str());
  }
  try {
    cxxopts::Options options = MakeOptions(defaults);
    return Collect(
        options.parse(static_cast<int>(pointers.size()), pointers.data()));
  } catch (const cxxopts::exceptions::exception& error) {
    throw UsageError(error.what());
  } catch (const std::invalid_argument& error) {
    throw UsageError(std::string("--timeout: ") + error.what());
  }
}

std::string GlobalOptionsHelp() {
  return MakeOptions({}).help({"global"});
}

}  // namespace laurelhall::cli
