#include "session_p.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <sstream>
#include <string_view>
#include <utility>

#include "laurelhall/base/finding.h"
#include "laurelhall/report/replay.h"
#include "table_p.h"

namespace laurelhall::cli {
namespace {

constexpr std::string_view kFirstArgument = "{0}";
constexpr Millis kWatchInterval = std::chrono::seconds(2);
constexpr Millis kWaitInterval = std::chrono::milliseconds(500);
constexpr Millis kWaitTimeout = std::chrono::seconds(60);
constexpr Millis kWatchTimeout = std::chrono::hours(24);

bool IsArgument(const Field& field) {
  const std::string_view source = field.source;
  return source.find_first_not_of("0123456789") == std::string_view::npos;
}

/// The member's text; empty when there is none.
std::string TextOf(const boost::json::value& value, std::string_view member) {
  const boost::json::value* found =
      value.is_object() ? value.get_object().if_contains(member) : nullptr;
  return found != nullptr && found->is_string()
             ? std::string(found->get_string())
             : std::string();
}

uint64_t NumberOf(const boost::json::value& value, std::string_view member) {
  const boost::json::value* found =
      value.is_object() ? value.get_object().if_contains(member) : nullptr;
  boost::json::error_code error;
  return found != nullptr ? found->to_number<uint64_t>(error) : 0;
}

boost::json::value ParseNumber(const Field& field, const std::string& text) {
  boost::json::error_code error;
  boost::json::value value = boost::json::parse(text, error);
  if (error || !value.is_number()) {
    throw UsageError(std::string(field.source) + ": expected a number, not " +
                     text);
  }
  return value;
}

/// Who does not yet report a settings version; empty when all do.
std::string Laggards(const boost::json::value& status, uint64_t version) {
  std::string names;
  if (NumberOf(status, "settings_version") < version) {
    names = "the leader";
  }
  const boost::json::value* daemons =
      status.is_object() ? status.get_object().if_contains("daemons") : nullptr;
  if (daemons == nullptr || !daemons->is_array()) {
    return "(the status names no daemons)";
  }
  for (const boost::json::value& daemon : daemons->get_array()) {
    if (NumberOf(daemon, "settings_version") < version) {
      names += (names.empty() ? "" : ", ") + TextOf(daemon, "name");
    }
  }
  return names;
}

std::string ReadFile(const std::string& file) {
  std::ifstream stream(file);
  if (!stream) {
    throw UsageError(file + ": cannot be read");
  }
  std::stringstream text;
  text << stream.rdbuf();
  return text.str();
}

boost::json::object ReadObjectFile(const std::string& file) {
  boost::json::error_code error;
  boost::json::value value = boost::json::parse(ReadFile(file), error);
  if (error || !value.is_object()) {
    throw UsageError(file + ": expected a JSON object");
  }
  return std::move(value.get_object());
}

}  // namespace

Session::Session(const Verb& verb,
                 CommandLine line,
                 const Environment& environment)
    : m_verb(verb),
      m_line(std::move(line)),
      m_arguments(
          m_line.words.begin() + static_cast<std::ptrdiff_t>(WordCount(verb)),
          m_line.words.end()),
      m_environment(environment),
      m_client(m_line, environment.fetch, environment.sleep) {
  CheckArguments();
  CheckOptions();
}

void Session::CheckArguments() const {
  if (m_arguments.size() < m_verb.min_arguments ||
      m_arguments.size() > m_verb.max_arguments) {
    throw UsageError(std::string("expected: laurelhall ") + m_verb.name + " " +
                     m_verb.arguments);
  }
  if (m_line.is_dry_run && std::string_view(m_verb.method) != "POST") {
    throw UsageError(std::string("--dry-run: ") + m_verb.name +
                     " changes nothing");
  }
}

/// Whether the verb takes an option.
bool Session::IsOption(std::string_view name) const {
  return std::any_of(
             m_verb.fields.begin(), m_verb.fields.end(),
             [&](const Field& field) { return name == field.source; }) ||
         std::any_of(m_verb.options.begin(), m_verb.options.end(),
                     [&](const char* option) { return name == option; });
}

void Session::CheckOptions() const {
  FindingList findings;
  for (const auto& [name, value] : m_line.verb_options) {
    if (!IsOption(name)) {
      findings.Add("--" + name, std::string("not an option of ") + m_verb.name);
    }
  }
  for (const Field& field : m_verb.fields) {
    if (field.is_required && Source(field) == nullptr) {
      findings.Add(std::string("--") + field.source, "is missing");
    }
  }
  findings.ThrowIfAny();
}

/// The text that a field is made of; null when it is not given.
const std::string* Session::Source(const Field& field) const {
  if (IsArgument(field)) {
    const size_t number = std::stoul(field.source);
    return number < m_arguments.size() ? &m_arguments[number] : nullptr;
  }
  const auto found = m_line.verb_options.find(field.source);
  return found == m_line.verb_options.end() ? nullptr : &found->second;
}

boost::json::value Session::FieldValue(const Field& field,
                                       const std::string& text) const {
  switch (field.type) {
    case FieldType::kNumber:
      return ParseNumber(field, text);
    case FieldType::kMillis:
      return ParseDuration(text).count();
    case FieldType::kFlag:
      return true;
    case FieldType::kList: {
      boost::json::array list;
      for (size_t i = std::stoul(field.source); i < m_arguments.size(); ++i) {
        list.emplace_back(m_arguments[i]);
      }
      return list;
    }
    default:
      return boost::json::value(text);
  }
}

boost::json::object Session::Fields() const {
  boost::json::object members;
  for (const Field& field : m_verb.fields) {
    if (const std::string* text = Source(field)) {
      members[field.member] = FieldValue(field, *text);
    }
  }
  return members;
}

boost::json::value Session::Body() const {
  if (std::string_view(m_verb.method) != "POST") {
    return nullptr;
  }
  boost::json::object body = Fields();
  body["operator"] = m_line.operator_name;
  body["request_id"] = m_line.request_id;
  if (m_line.is_dry_run) {
    body["dry_run"] = true;
  }
  if (m_verb.add_to_body != nullptr) {
    (this->*m_verb.add_to_body)(body);
  }
  return body;
}

/// The path with its arguments; a GET carries its fields as the query.
std::string Session::Target() const {
  std::string target = m_verb.path;
  const size_t place = target.find(kFirstArgument);
  if (place != std::string::npos) {
    target.replace(place, kFirstArgument.size(),
                   EncodeUrlPart(m_arguments.front()));
  }
  if (std::string_view(m_verb.method) == "GET") {
    char separator = '?';
    for (const Field& field : m_verb.fields) {
      if (const std::string* text = Source(field)) {
        target +=
            separator + std::string(field.member) + "=" + EncodeUrlPart(*text);
        separator = '&';
      }
    }
  }
  return target;
}

void Session::Print(const boost::json::value& value) const {
  if (m_line.output == OutputFormat::kJson) {
    m_environment.out << boost::json::serialize(value) << '\n';
    return;
  }
  m_environment.out << RenderTable(value, m_verb.columns,
                                   m_environment.is_terminal);
}

void Session::CallOnce() const {
  Print(m_client.CallJson(m_verb.method, Target(), Body()));
}

void Session::WriteReport() const {
  const auto file = m_line.verb_options.find("html");
  if (file == m_line.verb_options.end()) {
    CallOnce();
    return;
  }
  const std::string page =
      m_client.Call(m_verb.method, Target() + "?format=html", nullptr);
  std::ofstream stream(file->second);
  stream << page;
  stream.close();
  if (!stream) {
    throw UsageError(file->second + ": cannot be written");
  }
}

/// Prints a wave or roll-out whenever it changes, until it ends.
void Session::WatchAct() const {
  const Millis interval = DurationOption("interval", kWatchInterval);
  const Millis timeout = DurationOption("for", kWatchTimeout);
  boost::json::value shown;
  for (Millis waited{0}; waited <= timeout; waited += interval) {
    const boost::json::value act = m_client.CallJson("GET", Target());
    if (act != shown) {
      Print(boost::json::array{act});
      m_environment.out.flush();
      shown = act;
    }
    const std::string state = TextOf(act, "state");
    if (state == "kDone") {
      return;
    }
    if (state == "kHalted" || state == "kCancelled") {
      throw RefusedError("ended: " + TextOf(act, "reason"));
    }
    m_environment.sleep(interval);
  }
  throw RefusedError("not ended after " + FormatDuration(timeout));
}

void Session::WaitForSettings() const {
  const auto version =
      ParseNumber({"", "VERSION"}, m_arguments.front()).to_number<uint64_t>();
  const Millis interval = DurationOption("interval", kWaitInterval);
  const Millis timeout = DurationOption("for", kWaitTimeout);
  boost::json::value status;
  for (Millis waited{0}; waited <= timeout; waited += interval) {
    status = m_client.CallJson("GET", Target());
    if (Laggards(status, version).empty()) {
      m_environment.out << "version " << version << " is in force everywhere\n";
      return;
    }
    m_environment.sleep(interval);
  }
  throw RefusedError("version " + std::to_string(version) +
                     " is not in force at: " + Laggards(status, version));
}

void Session::PrintCompletion() const {
  m_environment.out << BashCompletion();
}

void Session::ReplayTrace() const {
  const std::string& file = m_arguments.front();
  std::ifstream trace(file);
  if (!trace) {
    throw UsageError(file + ": cannot be read");
  }
  const report::ReplayResult result = report::Replay(trace, file);
  for (const Finding& failure : result.failures) {
    m_environment.out << failure.place << ": " << failure.text << '\n';
  }
  if (result.steps + result.expectations == 0) {
    throw UsageError(file + ": not a trace, it asks for nothing");
  }
  m_environment.out << file << ": " << result.lines << " lines, "
                    << result.steps << " steps, " << result.expectations
                    << " expectations, " << result.failures.size()
                    << " failures\n";
  if (!result.failures.empty()) {
    throw MismatchError(file + " does not hold");
  }
}

/// Reads each PATH=JSON, and reports all that are none together.
void Session::AddChanges(boost::json::object& body) const {
  FindingList findings;
  boost::json::object changes;
  for (const std::string& argument : m_arguments) {
    const size_t equals = argument.find('=');
    const std::string path = argument.substr(0, equals);
    boost::json::error_code error;
    const boost::json::value value = boost::json::parse(
        equals == std::string::npos ? "" : argument.substr(equals + 1), error);
    if (error || path.empty()) {
      findings.Add(argument, "expected PATH=JSON, texts in quotes: '\"2m\"'");
    }
    changes[path] = value;
  }
  findings.ThrowIfAny();
  body["changes"] = changes;
}

void Session::AddRemovals(boost::json::object& body) const {
  boost::json::object changes;
  for (const std::string& path : m_arguments) {
    changes[path] = nullptr;
  }
  body["changes"] = changes;
}

namespace {

/// The tree in a file: alone, or as `settings get --output json` prints it.
boost::json::object ReadTreeFile(const std::string& file) {
  boost::json::object read = ReadObjectFile(file);
  const boost::json::value* tree = read.if_contains("tree");
  return tree != nullptr && tree->is_object() ? tree->get_object() : read;
}

}  // namespace

/// Each named node of the file becomes one change, so that nodes which the
/// file does not name stay as they are.
void Session::AddTreeFile(boost::json::object& body) const {
  boost::json::object changes;
  for (const auto& [section, nodes] : ReadTreeFile(m_arguments.front())) {
    if (!nodes.is_object()) {
      throw UsageError(std::string(section) + ": expected an object");
    }
    for (const auto& [name, node] : nodes.get_object()) {
      changes[std::string(section) + "." + std::string(name)] = node;
    }
  }
  body["changes"] = changes;
}

void Session::AddJobFile(boost::json::object& body) const {
  for (const auto& member : ReadObjectFile(m_arguments.front())) {
    body[member.key()] = member.value();
  }
}

Millis Session::DurationOption(const char* name, Millis fallback) const {
  const auto found = m_line.verb_options.find(name);
  return found == m_line.verb_options.end() ? fallback
                                            : ParseDuration(found->second);
}

namespace {

ExitCode Help(const CommandLine& line, const Environment& environment) {
  const Verb* verb = FindVerb(line.words);
  environment.out << (verb != nullptr ? VerbHelp(*verb) : OverviewHelp());
  return ExitCode::kDone;
}

/// Runs a verb; on an open outcome says how to resend.
ExitCode RunVerb(const Verb& verb,
                 const CommandLine& line,
                 const Environment& environment) {
  try {
    Session(verb, line, environment).Run();
    return ExitCode::kDone;
  } catch (const NoAnswerError& error) {
    environment.err << "laurelhall: no answer: " << error.what() << '\n';
    if (std::string_view(verb.method) == "POST") {
      environment.err << "laurelhall: the outcome is not known; resend with "
                         "--request-id "
                      << line.request_id << '\n';
    }
    return ExitCode::kNoAnswer;
  }
}

}  // namespace

ExitCode RunCommandLine(const std::vector<std::string>& arguments,
                        const Environment& environment) {
  try {
    const CommandLine line = ParseCommandLine(arguments, environment.defaults);
    if (line.is_help || line.words.empty()) {
      return Help(line, environment);
    }
    const Verb* verb = FindVerb(line.words);
    if (verb == nullptr) {
      throw UsageError("no such verb: " + line.words.front() +
                       "; see laurelhall --help");
    }
    return RunVerb(*verb, line, environment);
  } catch (const RefusedError& error) {
    environment.err << "laurelhall: refused: " << error.what() << '\n';
    return ExitCode::kRefused;
  } catch (const MismatchError& error) {
    environment.err << "laurelhall: " << error.what() << '\n';
    return ExitCode::kRefused;
  } catch (const NotFoundError& error) {
    environment.err << "laurelhall: " << error.what() << '\n';
    return ExitCode::kRefused;
  } catch (const std::exception& error) {
    environment.err << "laurelhall: " << error.what() << '\n';
    return ExitCode::kUsage;
  }
}

}  // namespace laurelhall::cli
