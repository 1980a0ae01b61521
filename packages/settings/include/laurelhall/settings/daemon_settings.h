#pragma once

#include <string>
#include <vector>

#include "laurelhall/base/finding.h"
#include "laurelhall/base/time.h"
#include "laurelhall/dispatch/dispatcher.h"

namespace laurelhall::settings {

/// A control host that this daemon knows from the start.
struct ControlPeer {
  std::string name;
  std::string address;  ///< "ip:port" of the inner protocol.
  std::string availability_zone;
};

/// TLS files of one listening side; all empty means plain TCP.
struct TlsFiles {
  std::string certificate_file;
  std::string key_file;
  std::string client_ca_file;
  std::string ca_file;
};

/// One daemon's own settings file.
struct DaemonSettings {
  std::string cluster = "laurelhall";
  std::string name;
  std::string region;
  std::string availability_zone;
  bool is_entry = false;
  bool is_control = false;
  std::string data_folder;     ///< Required of a control host.
  bool may_bootstrap = false;  ///< Its empty folder may start a cluster.
  std::string inner_address;   ///< Listens here for the inner protocol.
  /// Where others reach it, if a relay stands before it; empty: where it
  /// listens.
  std::string inner_reached_at;
  std::string caller_address;  ///< Callers and endpoints, behind the balancer.
  std::string operator_address;  ///< Health, metrics, operators.
  std::vector<ControlPeer> control_peers;
  std::string jobs_address;       ///< Entry: callers hand jobs in here.
  std::string readiness_address;  ///< Entry: the balancer asks here.
  /// Control: workers announce themselves, operators set the configuration.
  std::string scheduling_address;
  std::string metrics_address;  ///< Counters of the scheduling; empty: none.
  std::string hosts_address;    ///< Where acts on hosts are asked for.
  /// Scheduling addresses of some control hosts, in place of the peers: their
  /// inner port is the one of this file. Others are learned from them.
  std::vector<std::string> seeds;
  bool admits_newcomers = false;  ///< Control hosts join without an operator.
  bool guards_zones = true;       ///< Never a quorum that one zone's loss ends.
  /// Only the operator's own hosts are on these networks: no keys, no TLS.
  bool is_inner_trusted = false;
  bool is_scheduling_trusted = false;
  dispatch::DispatchBounds dispatch_bounds;
  scheduling::MechanismSet mechanisms;
  std::string cluster_key_file;  ///< Shared key of the inner protocol.
  std::string operator_tokens_file;
  TlsFiles inner_tls;
  TlsFiles caller_tls;
  /// TLS towards callers ends at the balancer, which alone reaches this host.
  bool is_caller_tls_at_balancer = false;
  TlsFiles operator_tls;
  bool allows_drills = false;  ///< Off loopback; on it they are allowed.
  std::string log_level = "info";
  std::string log_format = "text";
  int io_threads = 2;
  Millis drain_grace{
      std::chrono::seconds(30)};  ///< SIGTERM: in flight may finish.
  std::string trace_file;         ///< Records decisions for replay when set.
};

/// Whether a checked "ip:port" can be reached from other machines.
bool IsOffLoopback(const std::string& address);

/// Reads and checks a daemon's settings file.
///
/// @throws FindingsError with every finding and its place: unknown keys, bad
///   addresses, off-loopback without keys or TLS, a control host without a
///   folder.
DaemonSettings ReadDaemonSettings(const std::string& file);

/// Same, from text; `place` stands before each finding.
DaemonSettings ParseDaemonSettings(const std::string& text,
                                   const std::string& place);

}  // namespace laurelhall::settings
