#pragma once

#include <sys/types.h>

#include <filesystem>
#include <optional>
#include <string>
#include <vector>

#include "laurelhall/base/time.h"

namespace laurelhall::scenario {

struct ProcessInit {
  std::vector<std::string> arguments;  ///< The program's path first.
  std::filesystem::path output;        ///< Standard output is appended here.
  std::filesystem::path errors;        ///< Standard error is appended here.
};

/// A child process, ended by its id at the latest with this object.
///
/// @remarks Not thread-safe. The child also ends when this process dies.
class Process {
 public:
  /// @throws std::system_error when it cannot be started.
  explicit Process(const ProcessInit& init);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /// Sends a signal; no effect once it has ended.
  void Signal(int signal_number);

  /// Ends it by SIGKILL, also when it is stopped, and reaps it.
  void Kill();

  /// Waits for its end.
  ///
  /// @returns The exit code, minus the signal if one ended it, none when it
  ///   still runs after the timeout.
  std::optional<int> WaitExit(Millis timeout);

  bool is_running();

 private:
  void Reap(int options);

  pid_t m_pid = -1;
  std::optional<int> m_exit_code;
};

}  // namespace laurelhall::scenario
