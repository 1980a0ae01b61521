#pragma once

#include <atomic>
#include <boost/json.hpp>
#include <filesystem>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "laurelhall/net/http.h"
#include "ports.h"
#include "process.h"

namespace laurelhall::scenario {

/// The longest that any step waits for what it polls; no verdict on speed.
constexpr Millis kCap = std::chrono::seconds(40);
constexpr Millis kPollPeriod{50};

/// Calls a predicate until it holds or the cap has passed.
///
/// @returns Whether it held.
template <typename Predicate>
bool Poll(Predicate predicate) {
  const auto last = std::chrono::steady_clock::now() + kCap;
  while (!predicate()) {
    if (std::chrono::steady_clock::now() >= last) {
      return false;
    }
    std::this_thread::sleep_for(kPollPeriod);
  }
  return true;
}

struct ClusterInit {
  std::filesystem::path folder;
  int entry_hosts = 7;
  int control_hosts = 5;
  int zones = 4;
};

/// What an operator's request came to; status 0 when nobody answered.
struct Reply {
  int status = 0;
  boost::json::value body;
};

/// Real daemons, named entry-1, entry-2, ...; the first ones are control hosts
/// as well. Each has its settings file and data folder in one folder.
///
/// @remarks Processes are handled on one thread; Operate(), OperateAt() and
///   LocalStatus() may be called from any.
class Cluster {
 public:
  /// Writes the settings files and starts all daemons.
  explicit Cluster(const ClusterInit& init);

  std::vector<std::string> names() const;
  const std::string& caller_address(const std::string& name) const;
  std::vector<std::string> caller_addresses() const;
  std::filesystem::path folder() const { return m_init.folder; }

  void Start(const std::string& name);
  void Kill(const std::string& name);
  void Signal(const std::string& name, int signal_number);
  std::optional<int> WaitExit(const std::string& name);
  /// Kills it and removes its data folder.
  void LoseDisk(const std::string& name);
  bool IsRunning(const std::string& name);

  /// Syncs of so many control hosts' disks wait for this long; returns after.
  void StallDisks(int hosts, Millis time);

  /// The disk of a control host refuses changes, or takes them again.
  void RefuseWrites(const std::string& name, bool is_refusing);

  /// The volume of a control host is away: its data folder is an empty one that
  /// takes no writes.
  void DetachDisk(const std::string& name);
  void AttachDisk(const std::string& name);

  /// Cuts a daemon off from all others, or heals it: stall, refuse, none.
  void Cut(const std::string& name, const std::string& mode);

  /// Sends an operator's request to one daemon.
  Reply OperateAt(const std::string& name,
                  const std::string& method,
                  const std::string& target,
                  const boost::json::object& body = {}) const;

  /// Sends it to daemons in turn until one answers for the cluster.
  Reply Operate(const std::string& method,
                const std::string& target,
                const boost::json::object& body = {}) const;

  /// What a daemon says of itself; null when it doesn't answer.
  boost::json::value LocalStatus(const std::string& name) const;

  /// A daemon's page of metrics; empty when it doesn't answer.
  std::string Metrics(const std::string& name) const;

  /// The confirmed leader's name; empty when nobody can confirm one.
  std::string Leader() const;

 private:
  struct Daemon {
    ReservedPort inner;
    ReservedPort caller;
    ReservedPort operators;
    std::string zone;
    bool is_control = false;
    std::filesystem::path settings;
    std::unique_ptr<Process> process;
    /// No use asking: it is killed or frozen.
    std::atomic<bool> is_silent{false};
    std::atomic<bool> is_cut{false};
  };

  std::filesystem::path DataFolder(const std::string& name) const;
  std::filesystem::path DetachedFolder(const std::string& name) const;
  std::string GetLocal(const std::string& name,
                       const std::string& target) const;
  void WriteSettings(const std::string& name, const Daemon& daemon) const;
  boost::json::array Peers() const;
  Daemon& Find(const std::string& name);
  const Daemon& Find(const std::string& name) const;

  const ClusterInit m_init;
  std::map<std::string, std::unique_ptr<Daemon>> m_daemons;
};

}  // namespace laurelhall::scenario
