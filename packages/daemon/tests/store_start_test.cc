// A control host whose data folder can't be used when it starts waits for it in
// the same process, and ends when it is told to.

#include <doctest/doctest.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "cluster.h"

namespace laurelhall::scenario {
namespace {

namespace fs = std::filesystem;

class StoreStartFixture {
 protected:
  StoreStartFixture() {
    std::string pattern =
        (fs::temp_directory_path() / "laurelhall-store-XXXXXX").string();
    m_folder = mkdtemp(pattern.data());
    ClusterInit init;
    init.folder = m_folder;
    init.entry_hosts = 1;
    init.control_hosts = 1;
    init.zones = 1;
    m_cluster = std::make_unique<Cluster>(init);
    m_name = m_cluster->names().front();
    REQUIRE(Poll([&] { return m_cluster->Leader() == m_name; }));
    m_identity = Identity();
    m_cluster->Kill(m_name);
    // The folder is there, but out of reach behind a file of its name.
    fs::rename(data(), m_folder / "away");
    std::ofstream(data()) << "no folder";
    m_cluster->Start(m_name);
    REQUIRE(Poll([&] { return Log().find("next try in") != Log().npos; }));
  }
  ~StoreStartFixture() {
    m_cluster.reset();
    fs::remove_all(m_folder);
  }

  fs::path data() const { return m_folder / "data" / m_name; }

  std::string Identity() const {
    const boost::json::value status = m_cluster->LocalStatus(m_name);
    const boost::json::value* id =
        status.is_object() ? status.as_object().if_contains("control")
                           : nullptr;
    return id == nullptr ? "" : std::string(id->at("id").as_string());
  }

  std::string Log() const {
    std::ifstream file(m_folder / (m_name + ".log"));
    return {std::istreambuf_iterator<char>(file), {}};
  }

  fs::path m_folder;
  std::unique_ptr<Cluster> m_cluster;
  std::string m_name;
  std::string m_identity;
};

TEST_CASE_FIXTURE(StoreStartFixture,
                  "Daemon, data folder can't be used at first, starts from it "
                  "once it can") {
  CHECK(m_cluster->IsRunning(m_name));
  fs::remove(data());
  fs::rename(m_folder / "away", data());
  REQUIRE(Poll([&] { return m_cluster->Leader() == m_name; }));
  CHECK(Identity() == m_identity);
}

TEST_CASE_FIXTURE(StoreStartFixture,
                  "Daemon, data folder can't be used, ends when told to") {
  m_cluster->Signal(m_name, SIGTERM);
  CHECK(m_cluster->WaitExit(m_name) == 0);
}

}  // namespace
}  // namespace laurelhall::scenario
