#include "settings_operator.h"

#include <fstream>
#include <sstream>
#include <stdexcept>

namespace laurelhall::scenario {
namespace {

namespace json = boost::json;

bool IsKnown(const Reply& reply) {
  return reply.status == 200 || (reply.status >= 400 && reply.status < 500);
}

json::object BodyOf(const SettingsChange& change) {
  json::object body{{"operator", change.operator_name},
                    {"request_id", change.request_id},
                    {"changes", {{change.path, json::parse(change.value)}}}};
  if (change.expected_version) {
    body["expected_version"] = *change.expected_version;
  }
  return body;
}

}  // namespace

Reply SettingsOperator::Send(const json::object& body) {
  Reply reply;
  const bool is_known = Poll([&] {
    reply = m_cluster.Operate("POST", "/v1/settings", body);
    return IsKnown(reply);
  });
  if (!is_known) {
    throw std::runtime_error("no outcome: " + json::serialize(reply.body));
  }
  return reply;
}

Reply SettingsOperator::Change(const SettingsChange& change) {
  Reply reply = Send(BodyOf(change));
  const std::lock_guard lock(m_mutex);
  m_last = change;
  if (reply.status == 200) {
    const auto version = reply.body.at("version").to_number<uint64_t>();
    m_changes[version] = change;
    m_acknowledged = std::max(m_acknowledged.load(), version);
  }
  return reply;
}

Reply SettingsOperator::Load(const std::string& file) {
  std::ifstream stream(file);
  std::ostringstream text;
  text << stream.rdbuf();
  json::object changes;
  const json::value tree = json::parse(text.str());
  for (const auto& [section, nodes] : tree.as_object()) {
    for (const auto& [name, node] : nodes.as_object()) {
      changes[std::string(section) + "." + std::string(name)] = node;
    }
  }
  Reply reply = Send({{"operator", "scenario"},
                      {"request_id", "load " + file},
                      {"changes", changes}});
  if (reply.status == 200) {
    m_acknowledged = reply.body.at("version").to_number<uint64_t>();
  }
  return reply;
}

SettingsChange SettingsOperator::last() const {
  const std::lock_guard lock(m_mutex);
  return m_last;
}

std::string SettingsOperator::FindLost() const {
  Reply reply;
  if (!Poll([&] {
        reply = m_cluster.Operate("GET", "/v1/settings/history");
        return reply.status == 200;
      })) {
    return "no history to be had";
  }
  std::map<uint64_t, json::value> held;
  for (const json::value& record : reply.body.as_array()) {
    held[record.at("version").to_number<uint64_t>()] =
        record.at("request").at("request_id");
  }
  const std::lock_guard lock(m_mutex);
  std::string lost;
  for (const auto& [version, change] : m_changes) {
    // Only the latest ones are shown.
    const bool is_shown = !held.empty() && version >= held.begin()->first;
    if (is_shown && held[version] != json::value(change.request_id)) {
      lost += "version " + std::to_string(version) + " of " +
              change.request_id + "; ";
    }
  }
  return held.empty() && !m_changes.empty() ? "the whole history" : lost;
}

}  // namespace laurelhall::scenario
