#include "laurelhall/settings/tree.h"
#include "operations_p.h"

namespace laurelhall::operations {
namespace {

constexpr size_t kHistoryShown = 200;

Outcome GetSettings(const Request& request) {
  const std::string path = request.Query("path");
  const std::string text = request.machine.settings_tree();
  const uint64_t version = request.machine.settings_version();
  if (path.empty()) {
    return Answer(boost::json::object{{"version", version},
                                      {"tree", boost::json::parse(text)}});
  }
  const auto value = settings::Tree::Parse(text).Get(path);
  if (!value) {
    throw RequestError(404, path + ": not set here; see settings explain");
  }
  return Answer(boost::json::object{{"version", version},
                                    {"path", path},
                                    {"value", boost::json::parse(*value)}});
}

/// A JSON value of `changes` as the command holds it: its text, or none.
std::map<std::string, std::optional<std::string>> ReadChanges(
    const boost::json::object& body) {
  const auto* changes = body.if_contains("changes");
  if (changes == nullptr || !changes->is_object() ||
      changes->get_object().empty()) {
    throw RequestError(400, "changes: expected paths and values");
  }
  std::map<std::string, std::optional<std::string>> read;
  for (const auto& [path, value] : changes->get_object()) {
    read[path] =
        value.is_null()
            ? std::nullopt
            : std::optional<std::string>(boost::json::serialize(value));
  }
  return read;
}

Outcome SetSettings(const Request& request) {
  state::SettingsCommand command;
  command.request = request.Operator();
  command.changes = ReadChanges(request.body);
  command.expected_version = BodyValueOr<uint64_t>(
      request.body, "expected_version", request.machine.settings_version());
  if (request.is_dry_run()) {
    settings::Tree::Parse(request.machine.settings_tree())
        .With(command.changes);
    return Answer(boost::json::object{{"dry_run", true},
                                      {"changes", command.changes.size()}});
  }
  return Proposal(command);
}

Outcome History(const Request& request) {
  const uint64_t version = request.machine.settings_version();
  const uint64_t since = version > kHistoryShown ? version - kHistoryShown : 0;
  const auto records = request.machine.SettingsSince(since);
  return Answer(boost::json::value_from(
      records.value_or(std::vector<state::SettingsRecord>{})));
}

uint64_t QueryNumber(const Request& request, const std::string& name) {
  try {
    return std::stoull(request.Query(name));
  } catch (const std::exception&) {
    throw RequestError(400, name + ": expected a version");
  }
}

/// What changed after one version up to another, last value of each path.
Outcome Diff(const Request& request) {
  const uint64_t from = QueryNumber(request, "from");
  const uint64_t to = QueryNumber(request, "to");
  const auto records = request.machine.SettingsSince(from);
  if (!records) {
    throw RequestError(410, "from: older than the history kept");
  }
  std::map<std::string, std::optional<std::string>> changes;
  for (const state::SettingsRecord& record : *records) {
    if (record.version > to) {
      break;
    }
    for (const auto& [path, value] : record.changes) {
      changes[path] = value;
    }
  }
  return Answer(boost::json::value_from(changes));
}

Outcome Explain(const Request& request) {
  const std::string path = request.Query("path");
  boost::json::array origins;
  const auto tree = settings::Tree::Parse(request.machine.settings_tree());
  for (const settings::Origin& origin : tree.Explain(path)) {
    origins.push_back(boost::json::object{{"path", origin.path},
                                          {"value", origin.value},
                                          {"in_force", origin.is_in_force}});
  }
  return Answer(origins);
}

}  // namespace

std::vector<Route> SettingsRoutes() {
  return {{"GET", "settings", GetSettings},
          {"POST", "settings", SetSettings},
          {"GET", "settings/history", History},
          {"GET", "settings/diff", Diff},
          {"GET", "settings/explain", Explain}};
}

}  // namespace laurelhall::operations
