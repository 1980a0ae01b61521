#include <doctest/doctest.h>
#include <sys/stat.h>

#include <csignal>
#include <fstream>
#include <iterator>
#include <thread>

#include "lone_entry.h"

namespace laurelhall::scenario {
namespace {

constexpr Millis kGrace = std::chrono::seconds(8);
constexpr Millis kStops = std::chrono::seconds(20);
constexpr Millis kEndsBySignal{500};
constexpr Millis kLogLook{10};

/// A daemon that reads its settings from a pipe, so that a test can hold it
/// there from the moment that it has begun.
class SettingsPipeFixture : protected LoneEntryFixture {
 protected:
  SettingsPipeFixture() {
    REQUIRE(mkfifo(settings_file().c_str(), 0600) == 0);
    Start();
  }

  /// Whether the daemon writes this text while it runs.
  bool ComesToLog(const std::string& text) {
    while (m_process->is_running()) {
      std::ifstream log(log_file());
      const std::string lines(std::istreambuf_iterator<char>(log), {});
      if (lines.find(text) != std::string::npos) {
        return true;
      }
      std::this_thread::sleep_for(kLogLook);
    }
    return false;
  }
};

}  // namespace

// Guards against a daemon that is ended by a signal of its operator which comes
// before it has read its settings.
TEST_CASE_FIXTURE(SettingsPipeFixture,
                  "Daemon, told to reload while it reads its settings, runs "
                  "and reloads") {
  {
    std::ofstream writer(settings_file());  // Open once the daemon reads.
    m_process->Signal(SIGHUP);
    REQUIRE_FALSE(m_process->WaitExit(kEndsBySignal).has_value());
    writer << Settings(kGrace);
  }
  REQUIRE(ComesToLog(" runs."));
  std::ofstream(settings_file()) << Settings(kGrace);  // Read by the reload.
  CHECK(ComesToLog("knows 1 control hosts by its settings"));
  m_process->Signal(SIGTERM);
  CHECK(m_process->WaitExit(kStops) == 0);
}

}  // namespace laurelhall::scenario
