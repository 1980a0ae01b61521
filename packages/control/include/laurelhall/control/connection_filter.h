#pragma once

#include <map>
#include <mutex>
#include <string>

namespace laurelhall::control {

/// How the inner protocol treats one peer; a switch for tests of partitions.
enum class CutMode {
  kNone,
  kRefuse,  ///< Calls fail at once, as after a reset.
  kStall,   ///< Nothing goes out or is answered, as in a silent cut.
  kCount,
};

/// Cuts a process off from peers at the project's own socket layer.
///
/// @remarks Thread-safe. A peer is named by its inner address (control hosts)
///   or by its name (entry hosts); "*" stands for everyone not named.
class ConnectionFilter {
 public:
  /// Sets how one peer is treated from now on, in both directions.
  void Set(const std::string& peer, CutMode mode);

  /// Returns how a peer is treated now.
  CutMode Get(const std::string& peer) const;

 private:
  mutable std::mutex m_mutex;  // Guards m_modes.
  std::map<std::string, CutMode> m_modes;
};

}  // namespace laurelhall::control
