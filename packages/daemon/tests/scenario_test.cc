#include <doctest/doctest.h>

#include <cstdlib>
#include <filesystem>
#include <set>

#include "scenario.h"

namespace laurelhall::scenario {
namespace {

namespace fs = std::filesystem;

/// A folder of its own, kept when the scenario failed.
class ScenarioFixture {
 protected:
  void RunFile(const fs::path& file) {
    std::string pattern =
        (fs::temp_directory_path() / "laurelhall-XXXXXX").string();
    const fs::path folder = mkdtemp(pattern.data());
    std::optional<Failure> failure;
    {
      Scenario scenario(folder);
      failure = scenario.Run(ReadSteps(file));
    }
    if (!failure) {
      fs::remove_all(folder);
      return;
    }
    const std::string text = failure->text + " (see " + folder.string() + ")";
    ADD_FAIL_AT(file.c_str(), failure->line, text);
  }

  static std::set<fs::path> FilesOf(const fs::path& folder) {
    std::set<fs::path> files;
    for (const auto& entry : fs::directory_iterator(folder)) {
      if (entry.path().extension() == ".scenario") {
        files.insert(entry.path());
      }
    }
    return files;
  }
};

TEST_CASE_FIXTURE(ScenarioFixture, "Scenario, run against daemons, holds") {
  for (const fs::path& file : FilesOf(LAURELHALL_SCENARIOS)) {
    SUBCASE(file.stem().c_str()) {
      RunFile(file);
    }
  }
}

TEST_CASE_FIXTURE(ScenarioFixture, "Long scenario, when asked for, holds") {
  if (std::getenv("LAURELHALL_SOAK") == nullptr) {
    return;
  }
  for (const fs::path& file :
       FilesOf(fs::path(LAURELHALL_SCENARIOS) / "soak")) {
    SUBCASE(file.stem().c_str()) {
      RunFile(file);
    }
  }
}

}  // namespace
}  // namespace laurelhall::scenario
