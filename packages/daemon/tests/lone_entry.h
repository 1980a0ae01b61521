#pragma once

#include <boost/json.hpp>
#include <cstdlib>
#include <filesystem>
#include <memory>
#include <string>

#include "ports.h"
#include "process.h"

namespace laurelhall::scenario {

/// One entry daemon in a folder of its own; no control host listens where it
/// looks for one.
class LoneEntryFixture {
 protected:
  LoneEntryFixture() {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "laurelhall-entry-XXXXXX")
            .string();
    m_folder = mkdtemp(pattern.data());
  }

  ~LoneEntryFixture() {
    m_process.reset();
    std::filesystem::remove_all(m_folder);
  }

  std::string Settings(Millis drain_grace) const {
    namespace json = boost::json;
    const json::object addresses{{"inner", m_nobody.address()},
                                 {"jobs", m_jobs.address()},
                                 {"readiness", m_readiness.address()}};
    const json::object settings{
        {"cluster", "lone"},
        {"name", "entry"},
        {"availability_zone", "zone-1"},
        {"roles", json::array{"entry"}},
        {"io_threads", 1},
        {"drain_grace", std::to_string(drain_grace.count()) + "ms"},
        {"addresses", addresses},
        {"control", {{"seeds", json::array{m_nobody.address()}}}}};
    return json::serialize(settings);
  }

  std::filesystem::path settings_file() const {
    return m_folder / "entry.json";
  }
  std::filesystem::path log_file() const { return m_folder / "entry.log"; }

  /// Starts the daemon, which reads its settings file.
  void Start() {
    ProcessInit init;
    init.arguments = {LAURELHALL_DAEMON, "--settings",
                      settings_file().string()};
    init.output = log_file();
    init.errors = log_file();
    m_process = std::make_unique<Process>(init);
  }

  ReservedPort m_jobs;
  std::unique_ptr<Process> m_process;

 private:
  std::filesystem::path m_folder;
  ReservedPort m_readiness;
  ReservedPort m_nobody;
};

}  // namespace laurelhall::scenario
