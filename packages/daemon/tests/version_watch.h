#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>

#include "settings_operator.h"

namespace laurelhall::scenario {

/// Looks at every daemon's settings version all the time, and now and then
/// asks for the version in force. Thread-safe.
class VersionWatch {
 public:
  VersionWatch(const Cluster& cluster, const SettingsOperator& operators);
  ~VersionWatch();

  /// Each step back that was seen, in words; empty when there was none.
  std::string reversions() const;

  /// How many versions were looked at.
  int looks() const { return m_looks; }

 private:
  void Run();
  void LookAt(const std::string& name);
  void AskInForce();
  void AddReversion(const std::string& text);

  const Cluster& m_cluster;
  const SettingsOperator& m_operators;
  std::map<std::string, uint64_t> m_highest;  // The watching thread's alone.
  std::atomic<int> m_looks{0};
  std::atomic<bool> m_is_ending{false};
  mutable std::mutex m_mutex;  // Guards m_reversions.
  std::string m_reversions;
  std::thread m_thread;
};

}  // namespace laurelhall::scenario
