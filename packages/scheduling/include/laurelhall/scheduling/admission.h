#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "laurelhall/base/time.h"
#include "laurelhall/scheduling/weighted_shares.h"

// Decides whether a job is accepted, by what its pool can do in time and by its
// organisation's share of it.
namespace laurelhall::scheduling {

/// The short work (of tasks that end by themselves) of an organisation, in
/// core-milliseconds.
struct OpenWork {
  double weight = 0;    ///< The organisation's.
  double promised = 0;  ///< Of jobs within the guaranteed job rate.
  double excess = 0;    ///< Of jobs above it, which run behind all promised.

  double total() const { return promised + excess; }
};

/// Cores that a pool does not have yet.
struct ArrivingCores {
  double cores = 0;
  Millis in{0};  ///< Until they can be used.
};

/// A pool as measured by the leader.
struct PoolLoad {
  /// Most of its workers were reached. Until then, its capacity is not known.
  bool is_known = false;
  double usable_cores = 0;  ///< For short work, without persistent tasks.
  double busy_cores = 0;    ///< With short work.
  std::vector<ArrivingCores> arriving;
  double ready_work = 0;  ///< Work that could start and does not run yet.
  /// The open work by organisation, that of jobs of none under the empty name,
  /// without jobs that can't be of use any more. Running tasks count with the
  /// part that is left.
  std::unordered_map<std::string, OpenWork> open;
};

/// A job that an organisation submits.
struct AdmissionRequest {
  std::string job;
  std::string organisation;  ///< Empty: of none.
  double weight = 0;         ///< The organisation's.
  std::string pool;
  bool is_short = true;    ///< Neither timed nor with persistent tasks.
  bool is_excess = false;  ///< Above the organisation's guaranteed job rate.
  double work = 0;         ///< In core-milliseconds.
  Millis critical_path{0};
  Millis objective{0};  ///< From now until the job should be done.
};

enum class Verdict : uint8_t {
  kAdmitted,
  kBeyondShare,  ///< Its organisation's part does not cover its open work.
  kExcess,       ///< As above, for what is left after all promised work.
  kTooEarly,     ///< It was sent again before its retry-after time.
  kCount,
};

/// The verdict's name in log lines. Thread-safe.
const char* VerdictName(Verdict verdict);

struct Decision {
  Verdict verdict = Verdict::kAdmitted;
  Millis retry_after{0};  ///< With a refusal: when it is worth to come back.
  Millis slack{0};        ///< The time within which the job has to start.
  double ahead = 0;  ///< Work of its organisation that goes before the job.
  double part = 0;   ///< Work that the pool does for it within the slack.
  bool is_repeat = false;  ///< The job was refused before.

  bool is_admitted() const { return verdict == Verdict::kAdmitted; }
};

/// Admits jobs to pools.
///
/// @remarks Within a job's slack (its objective less its critical path and the
///   time that dispatching takes) a pool does a certain amount of work, which
///   is divided among the organisations by weighted max-min fairness. A job is
///   admitted if its organisation's part covers the open work that goes before
///   it. So what is admitted can start in time, and the rush of one
///   organisation takes nothing from the others.
///
///   A refused job is given a time to come back, later than those of all jobs
///   of its organisation that were refused before, at the rate at which the
///   organisation's work is done. From then on it goes before new jobs.
///
///   Not thread-safe. Its state need not survive: unknown is not full.
class Admission {
 public:
  /// Replaces the figures of a pool.
  void Update(const std::string& pool, PoolLoad load, SteadyTime now);

  /// Decides on a job. An admitted one counts as open until Settle().
  Decision Decide(const AdmissionRequest& request, SteadyTime now);

  /// The admitted job is committed, or will not be. From then on, its work is
  /// part of the pool's figures, or counts no more.
  void Settle(const AdmissionRequest& request, bool is_committed);

  /// Busy cores over usable cores of a pool while work waits.
  double EfficiencyOf(const std::string& pool) const;

 private:
  /// A refused job that may come back.
  struct Refused {
    SteadyTime back_at{};
    double work = 0;
    bool is_due = false;
  };

  /// An organisation in a pool.
  struct Claimant {
    double weight = 0;
    OpenWork uncommitted;    // Admitted, and not in the pool's figures yet.
    double recent_work = 0;  // Admitted promised work, decaying.
    SteadyTime recent_at{};
    SteadyTime next_return{};  // Of the next refused job.
    std::unordered_map<std::string, Refused> refused;  // By job.
    // Ids of refused jobs by the time to come back, before and after it.
    std::deque<std::pair<SteadyTime, std::string>> upcoming;
    std::deque<std::pair<SteadyTime, std::string>> due;
    double due_work = 0;
    double return_share = 0;  // Of refused jobs, those that came back.
  };

  struct Pool {
    PoolLoad load;
    double efficiency = 0;
    std::map<std::string, Claimant> claimants;  // By organisation.
  };

  static OpenWork OpenOf(const Pool& pool,
                         const std::string& organisation,
                         const Claimant& claimant);
  static double CapacityWithin(const Pool& pool, Millis slack);
  static double ArrivingWithin(const Claimant& claimant,
                               Millis slack,
                               SteadyTime now);
  static double PartOf(const Pool& pool,
                       const AdmissionRequest& request,
                       const Decision& decision,
                       SteadyTime now);
  static void AdvanceReturns(Claimant& claimant, SteadyTime now);
  static void ForgetRefusal(Claimant& claimant, const std::string& job);
  static void RecordReturn(Claimant& claimant, const std::string& job);
  static Millis Postpone(Claimant& claimant,
                         const AdmissionRequest& request,
                         const Decision& decision,
                         SteadyTime now);
  static void Admit(Claimant& claimant,
                    const AdmissionRequest& request,
                    SteadyTime now);

  std::unordered_map<std::string, Pool> m_pools;
};

}  // namespace laurelhall::scheduling
