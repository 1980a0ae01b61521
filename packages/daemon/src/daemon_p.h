#pragma once

#include <memory>

#include "laurelhall/settings/daemon_settings.h"

namespace laurelhall::storage {
class FileSystem;
}

namespace laurelhall::daemon {

/// One process: the roles of its settings file, wired together.
///
/// @remarks Made, run and ended on the main thread.
class Daemon {
 public:
  /// Starts all roles. @throws std::exception when one cannot start.
  ///
  /// @param files Holds the data folder and outlives this; null: the machine's.
  explicit Daemon(const settings::DaemonSettings& settings,
                  storage::FileSystem* files = nullptr);
  ~Daemon();

  /// Reads the settings file again; what may change at run time, the control
  /// hosts, is taken over. A file with findings changes nothing.
  void Reload(const std::string& file);

  /// Leaves the balancer, finishes what is in flight, returns when done or
  /// when the grace of the settings has run out. Open connections stay open and
  /// their requests are answered until the process ends, which it should now.
  ///
  /// @returns Whether all that was in flight has finished.
  bool Drain();

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace laurelhall::daemon
