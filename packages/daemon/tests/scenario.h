#pragma once

#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "cluster.h"
#include "evidence.h"
#include "settings_operator.h"
#include "step.h"
#include "version_watch.h"

namespace laurelhall::scenario {

/// Where a scenario failed.
struct Failure {
  int line = 0;
  std::string text;
};

/// Runs the steps of one scenario file against real processes.
///
/// @remarks Not thread-safe. All that it started ends with it.
class Scenario {
 public:
  /// @param folder An empty folder for settings, logs and data.
  explicit Scenario(std::filesystem::path folder);
  ~Scenario();

  /// Runs the steps up to the first that fails; none when all hold.
  std::optional<Failure> Run(const std::vector<Step>& steps);

 private:
  using Action = void (Scenario::*)(Arguments&);
  struct Row {
    const char* name;
    Action action;
  };
  struct Load {
    std::unique_ptr<Process> process;
    std::filesystem::path answers;
    Millis most{0};  ///< Longest that it may take.
  };

  static const Row kSteps[];
  static const Row kExpectations[];

  void Dispatch(const Row* begin, const Row* end, Arguments& arguments);

  // The steps, by the first word.
  void StartCluster(Arguments& arguments);
  void LoadSettings(Arguments& arguments);
  void Set(Arguments& arguments);
  void Resend(Arguments& arguments);
  void Race(Arguments& arguments);
  void Changes(Arguments& arguments);
  void WaitChanges(Arguments& arguments);
  void WatchVersions(Arguments& arguments);
  void Host(Arguments& arguments);
  void StartEndpoint(Arguments& arguments);
  void Leave(Arguments& arguments);
  void StartLoad(Arguments& arguments);
  void WaitLoad(Arguments& arguments);
  void Kill(Arguments& arguments);
  void Freeze(Arguments& arguments);
  void Thaw(Arguments& arguments);
  void Restart(Arguments& arguments);
  void Stop(Arguments& arguments);
  void LoseDisk(Arguments& arguments);
  void StallDisks(Arguments& arguments);
  void RefuseWrites(Arguments& arguments);
  void AcceptWrites(Arguments& arguments);
  void DetachDisk(Arguments& arguments);
  void AttachDisk(Arguments& arguments);
  void Cut(Arguments& arguments);
  void Heal(Arguments& arguments);
  void Wait(Arguments& arguments);
  void Report(Arguments& arguments);
  void Expect(Arguments& arguments);

  // What "expect" knows, by the second word.
  void ExpectLeader(Arguments& arguments);
  void ExpectMetric(Arguments& arguments);
  void ExpectRunsPerKey(Arguments& arguments);
  void ExpectMaxConcurrent(Arguments& arguments);
  void ExpectWrong(Arguments& arguments);
  void ExpectOk(Arguments& arguments);
  void ExpectKinds(Arguments& arguments);
  void ExpectNoRunFor(Arguments& arguments);
  void ExpectSettingsVersion(Arguments& arguments);
  void ExpectNoReversion(Arguments& arguments);
  void ExpectChangesKept(Arguments& arguments);
  void ExpectAnswer(Arguments& arguments);
  void ExpectHost(Arguments& arguments);
  void ExpectIdle(Arguments& arguments);
  void ExpectNoStart(Arguments& arguments);
  void ExpectNoLateStart(Arguments& arguments);
  void ExpectExit(Arguments& arguments);
  void ExpectCaughtUp(Arguments& arguments);
  void ExpectVoter(Arguments& arguments);
  void ExpectNewIdentity(Arguments& arguments);
  void ExpectStore(Arguments& arguments);
  void ExpectStartWaits(Arguments& arguments);

  Cluster& cluster();
  /// Resolves "leader" (who leads now) and "last" (who was meant last).
  std::string NextHost(Arguments& arguments);
  std::string NewRequestId();
  std::vector<std::string> Targets(const std::string& names);
  std::vector<JournalLine> AllRuns() const;
  std::vector<JournalLine> RunsAt(const std::string& endpoint) const;
  /// Of one load, or of all of them when no name is given.
  std::vector<AnswerLine> Answers(const std::string& load) const;
  double MetricAt(const std::string& host, const std::string& name);
  double SumOfMetric(const std::string& name);
  double LeastOfMetric(const std::string& name);
  std::string ControlId(const std::string& host);

  const std::filesystem::path m_folder;
  std::unique_ptr<Cluster> m_cluster;
  std::unique_ptr<SettingsOperator> m_operator;
  std::unique_ptr<VersionWatch> m_watch;
  std::map<std::string, std::unique_ptr<Process>> m_endpoints;
  std::map<std::string, std::filesystem::path> m_journals;
  std::map<std::string, Load> m_loads;
  std::map<std::string, size_t> m_lines_when_idle;
  std::map<std::string, std::string> m_lost_ids;
  std::string m_last_host;
  int m_request_count = 0;
  std::thread m_changing;
  std::string m_changing_failure;  // Written by m_changing until joined.
};

/// @throws std::runtime_error unless the condition holds.
void Require(bool condition, const std::string& otherwise);

}  // namespace laurelhall::scenario
