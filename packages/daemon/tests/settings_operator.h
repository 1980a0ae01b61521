#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <string>

#include "cluster.h"

namespace laurelhall::scenario {

struct SettingsChange {
  std::string path;
  std::string value;  ///< JSON.
  std::optional<uint64_t> expected_version;
  std::string request_id;
  std::string operator_name = "scenario";
};

/// Changes settings and remembers what was acknowledged. Thread-safe.
class SettingsOperator {
 public:
  explicit SettingsOperator(const Cluster& cluster) : m_cluster(cluster) {}

  /// Sends a change until its outcome is known.
  ///
  /// @throws std::runtime_error when it isn't within the cap.
  Reply Change(const SettingsChange& change);

  /// Sets all that a settings file holds.
  Reply Load(const std::string& file);

  /// The highest version that was acknowledged.
  uint64_t acknowledged() const { return m_acknowledged; }

  /// The last change sent, for a resend.
  SettingsChange last() const;

  /// Reads the history and compares.
  ///
  /// @returns Acknowledged changes that it lacks or holds otherwise, in words.
  std::string FindLost() const;

 private:
  Reply Send(const boost::json::object& body);

  const Cluster& m_cluster;
  std::atomic<uint64_t> m_acknowledged{0};
  mutable std::mutex m_mutex;  // Guards the two below.
  std::map<uint64_t, SettingsChange> m_changes;
  SettingsChange m_last;
};

}  // namespace laurelhall::scenario
