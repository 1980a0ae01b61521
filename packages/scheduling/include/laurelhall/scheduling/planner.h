#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "laurelhall/scheduling/ledger.h"

namespace laurelhall::scheduling {

/// What the leader sees of a worker beyond what is committed.
struct WorkerOutlook {
  bool is_usable = false;   ///< Reached lately, stays, and may be given work.
  bool is_doubtful = false;  ///< Lately failed what others do well.
};

/// What a plan is made from.
struct PlanInput {
  const Ledger& ledger;
  SteadyTime now{};
  WallTime wall{};
  const std::map<std::string, WorkerOutlook>& workers;
  /// When the leader first saw a job; its time counts from there.
  const std::map<std::string, SteadyTime>& seen_at;
};

/// Decides which tasks start where.
///
/// @remarks Pure but for what it learns; not thread-safe. Remembers what it
///   planned until it is told what came of it, so that nothing is planned
///   twice while it is being committed.
class Planner {
 public:
  /// The starts to commit now, in order. Reserves them.
  std::vector<RunStarted> Plan(const PlanInput& input);

  /// A planned start is applied, or will never be.
  void Settled(const RunStarted& start);

  /// A task of a queue took this long from start to end.
  void Learn(const std::string& queue, Millis estimate, Millis taken);

  /// Forgets all reservations: another leader may have followed.
  void Reset();

 private:
  struct Candidate;
  class Placement;

  std::vector<Candidate> Gather(const PlanInput& input) const;
  void GatherStep(const PlanInput& input,
                  const Job& job,
                  uint32_t occurrence,
                  uint32_t step,
                  std::vector<Candidate>& out) const;
  double RunTimeRatio(const std::string& queue) const;

  std::set<TaskId> m_reserved;
  std::map<std::string, Resources> m_reserved_room;  // By worker.
  std::map<std::pair<TaskId, uint32_t>, Resources> m_reserved_steps;  // By run.
  std::map<std::string, double> m_ratio;  // Taken over estimated, by queue.
};

/// The longest chain of estimated work of one occurrence that is not done.
Millis RemainingChain(const Job& job, uint32_t occurrence);

}  // namespace laurelhall::scheduling
