#include "version_watch.h"

namespace laurelhall::scenario {

VersionWatch::VersionWatch(const Cluster& cluster,
                           const SettingsOperator& operators)
    : m_cluster(cluster), m_operators(operators), m_thread([this] { Run(); }) {}

VersionWatch::~VersionWatch() {
  m_is_ending = true;
  m_thread.join();
}

std::string VersionWatch::reversions() const {
  const std::lock_guard lock(m_mutex);
  return m_reversions;
}

void VersionWatch::Run() {
  while (!m_is_ending) {
    for (const std::string& name : m_cluster.names()) {
      LookAt(name);
    }
    AskInForce();
    std::this_thread::sleep_for(kPollPeriod);
  }
}

// A daemon that has just started holds no version yet; that is no step back.
void VersionWatch::LookAt(const std::string& name) {
  const boost::json::value status = m_cluster.LocalStatus(name);
  if (!status.is_object() || !status.as_object().contains("entry")) {
    return;
  }
  const auto version =
      status.at("entry").at("settings_version").to_number<uint64_t>();
  uint64_t& highest = m_highest[name];
  if (version != 0 && version < highest) {
    AddReversion(name + " went from " + std::to_string(highest) + " to " +
                 std::to_string(version));
  }
  highest = std::max(highest, version);
  ++m_looks;
}

// Whatever was acknowledged before the question must be in the answer.
void VersionWatch::AskInForce() {
  const uint64_t least = m_operators.acknowledged();
  const Reply reply = m_cluster.Operate("GET", "/v1/status");
  if (reply.status != 200) {
    return;
  }
  const auto version = reply.body.at("settings_version").to_number<uint64_t>();
  if (version < least) {
    AddReversion("version " + std::to_string(least) +
                 " was acknowledged, in force is " + std::to_string(version));
  }
}

void VersionWatch::AddReversion(const std::string& text) {
  const std::lock_guard lock(m_mutex);
  m_reversions += text + "; ";
}

}  // namespace laurelhall::scenario
