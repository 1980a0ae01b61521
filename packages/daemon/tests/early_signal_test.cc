#include <doctest/doctest.h>
#include <sys/stat.h>

#include <boost/json.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>
#include <thread>

#include "ports.h"
#include "process.h"

namespace laurelhall::scenario {
namespace {

namespace fs = std::filesystem;
namespace json = boost::json;

constexpr Millis kStops = std::chrono::seconds(20);
constexpr Millis kEndsBySignal{500};
constexpr Millis kLogLook{10};

/// A daemon that reads its settings from a pipe, so that a test knows when it
/// has begun and holds it there.
class SettingsPipeFixture {
 protected:
  SettingsPipeFixture() {
    std::string pattern =
        (fs::temp_directory_path() / "laurelhall-pipe-XXXXXX").string();
    m_folder = mkdtemp(pattern.data());
    m_pipe = m_folder / "entry.json";
    REQUIRE(mkfifo(m_pipe.c_str(), 0600) == 0);
    ProcessInit init;
    init.arguments = {LAURELHALL_DAEMON, "--settings", m_pipe.string()};
    init.output = m_folder / "entry.log";
    init.errors = init.output;
    m_process = std::make_unique<Process>(init);
  }

  ~SettingsPipeFixture() {
    m_process->Kill();
    fs::remove_all(m_folder);
  }

  std::string Settings() const {
    const json::object addresses{{"inner", m_nobody.address()},
                                 {"jobs", m_jobs.address()},
                                 {"readiness", m_readiness.address()}};
    const json::object settings{
        {"cluster", "pipe"},
        {"name", "entry"},
        {"availability_zone", "zone-1"},
        {"roles", json::array{"entry"}},
        {"io_threads", 1},
        {"drain_grace", "8s"},
        {"addresses", addresses},
        {"control", {{"seeds", json::array{m_nobody.address()}}}}};
    return json::serialize(settings);
  }

  /// Whether the daemon writes this text while it runs.
  bool ComesToLog(const std::string& text) {
    while (m_process->is_running()) {
      std::ifstream log(m_folder / "entry.log");
      const std::string lines(std::istreambuf_iterator<char>(log), {});
      if (lines.find(text) != std::string::npos) {
        return true;
      }
      std::this_thread::sleep_for(kLogLook);
    }
    return false;
  }

  fs::path m_folder;
  fs::path m_pipe;
  std::unique_ptr<Process> m_process;

 private:
  ReservedPort m_nobody;
  ReservedPort m_jobs;
  ReservedPort m_readiness;
};

}  // namespace

// Guards against a daemon that is ended by a signal of its operator which comes
// before it has read its settings.
TEST_CASE_FIXTURE(SettingsPipeFixture,
                  "Daemon, told to reload while it reads its settings, runs "
                  "and reloads") {
  {
    std::ofstream writer(m_pipe);  // Open once the daemon reads.
    m_process->Signal(SIGHUP);
    REQUIRE_FALSE(m_process->WaitExit(kEndsBySignal).has_value());
    writer << Settings();
  }
  REQUIRE(ComesToLog(" runs."));
  std::ofstream(m_pipe) << Settings();  // Read by the reload.
  CHECK(ComesToLog("knows 1 control hosts by its settings"));
  m_process->Signal(SIGTERM);
  CHECK(m_process->WaitExit(kStops) == 0);
}

}  // namespace laurelhall::scenario
