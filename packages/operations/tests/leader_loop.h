#pragma once

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "laurelhall/operations/operations.h"
#include "laurelhall/placement/job_action.h"
#include "laurelhall/state/machine.h"

namespace laurelhall::operations {

/// What went by; the first four must stay at none.
struct LoopCounts {
  int broken_budgets = 0;  ///< By a drain that nobody forced.
  int cut_off = 0;         ///< Hosts stopped or moved with something in flight.
  int odd_pool_changes = 0;
  int doubled_runs = 0;  ///< Jobs started while a worker still ran them.
  int drains = 0;
  int refused_drains = 0;
  int stops = 0;
  int moves = 0;
  int job_runs = 0;
  int leaders = 0;

  LoopCounts& operator+=(const LoopCounts& other);
};

/// The replicated state, the leader's duties, operators, workers and the
/// platform under a virtual clock: no sockets, all from one seed.
class LeaderLoop {
 public:
  explicit LeaderLoop(uint64_t seed);

  /// One step of time: hosts come back, requests end, workers report.
  void Platform();
  /// One step of the duties, committed in a seeded order: some are lost, some
  /// come twice, some only steps later.
  void Leader(int step);
  /// A new leader with new duties, which knows only the replicated state.
  void ChangeLeader();
  /// One act of an operator, at random, sometimes sent twice.
  void Operators();
  void FailSome();
  /// Ends all that only operators can end, and all faults.
  void Settle();
  void SubmitJob();
  void FailAllOn(const std::string& host) { m_failing.insert(host); }

  control::OperatorReply Send(const std::string& method,
                              const std::string& path,
                              const std::string& body);
  bool Chance(int one_in) { return m_random() % one_in == 0; }
  model::Fleet fleet() const { return m_machine.fleet(); }
  std::optional<std::string> Note(const std::string& name) const {
    return m_machine.Note(name);
  }
  const LoopCounts& counts() const { return m_counts; }

 private:
  struct Run {
    uint64_t lease = 0;
    WallTime ends{};
  };

  void AddFleet();
  std::vector<state::Result> Commit(const state::Command& command);
  void Judge(const state::HostCommand& command,
             const model::Fleet& before,
             bool is_accepted);
  bool HoldsBudgets(const model::Fleet& fleet, const model::Host& host) const;
  int InFlight(const model::Fleet& fleet, const std::string& host) const;
  void ReturnHosts(const model::Fleet& fleet);
  void EndRequests(const model::Fleet& fleet);
  void RunJobs(const model::Fleet& fleet);
  void Report(const model::Job& job, const std::string& kind);
  void Post(const std::string& path, const std::string& members = "");
  std::string AnyHost() { return "h" + std::to_string(m_random() % kHosts); }

  static constexpr int kHosts = 24;
  static constexpr Millis kStep = std::chrono::seconds(20);

  std::mt19937_64 m_random;
  WallTime m_now{std::chrono::hours(500'000)};
  state::Machine m_machine;
  uint64_t m_index = 0;
  Operations m_leader;
  std::vector<std::pair<int, state::Command>> m_late;  // By step when due.
  std::map<std::string, WallTime> m_busy_until;        // Requests, by host.
  std::map<std::string, WallTime> m_repaired_at;
  std::map<std::string, Run> m_runs;  // By job.
  std::set<std::string> m_failing;    // Workers that fail all they start.
  bool m_is_calm = false;
  int m_requests = 0;
  LoopCounts m_counts;
};

}  // namespace laurelhall::operations
