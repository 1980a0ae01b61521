#pragma once

#include <atomic>
#include <csignal>
#include <thread>

#include "laurelhall/base/time.h"
#include "refusing_disk.h"

namespace laurelhall::scenario {

/// Files whose syncs take the time that the test gives them, not what the
/// machine's disk takes beside whatever else runs there: none, but from
/// SIGUSR1 on until SIGUSR2. What is written is kept when the process is
/// killed, not when the machine loses power. Changes are refused as by
/// RefusingDisk.
///
/// @remarks One a process, made before other threads are.
class StandinDisk : public storage::HookedFiles {
 public:
  static constexpr int kStall = SIGUSR1;
  static constexpr int kResume = SIGUSR2;

  StandinDisk()
      : HookedFiles(
            [](storage::File&, const Path& path) {
              CheckAccepted(path);
              while (s_is_stalled) {
                std::this_thread::sleep_for(kLook);
              }
            },
            CheckAccepted) {
    std::signal(kStall, [](int) { s_is_stalled = true; });
    std::signal(kResume, [](int) { s_is_stalled = false; });
  }

  void SyncFolder(const Path&) override {}

 private:
  static constexpr Millis kLook{5};
  static inline std::atomic<bool> s_is_stalled{false};
};

}  // namespace laurelhall::scenario
