#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "laurelhall/dispatch/dispatcher.h"
#include "laurelhall/scheduling/answer_time.h"
#include "laurelhall/scheduling/crash.h"
#include "laurelhall/scheduling/demand.h"
#include "laurelhall/scheduling/leader_lease.h"
#include "laurelhall/scheduling/planner.h"
#include "laurelhall/scheduling/pools.h"
#include "laurelhall/scheduling/worker_clock.h"
#include "pacing_p.h"

namespace laurelhall::dispatch {

/// How often what no event announces is looked for: silent workers, retries.
constexpr Millis kDispatchTick{50};

/// One start of one task.
struct RunKey {
  scheduling::TaskId task;
  uint32_t run = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads <=>.
  friend auto operator<=>(const RunKey&, const RunKey&) = default;
};

/// For the tables of runs: a look lists all that a worker runs, and a leader of
/// 350 workers finds some ten thousand runs a second there.
struct RunKeyHash {
  size_t operator()(const RunKey& key) const {
    // Odd factors, so that neighbours of one step part.
    size_t hash = std::hash<std::string>()(key.task.job);
    hash = hash * 31 + key.task.occurrence;
    hash = hash * 31 + key.task.step;
    hash = hash * 1'000'003 + key.task.index;
    return hash * 31 + key.run;
  }
};

/// How far the order to start a run is.
enum class StartStage {
  kUncertain,  ///< An earlier leader's; its worker has not told yet.
  kSending,
  kRetry,    ///< Goes out again when its time comes.
  kSettled,  ///< The worker has taken it, or will never.
  kBarring,  ///< Is stopped before anything else is done about it.
};

/// Why a run is to be stopped.
enum class StopReason : uint8_t {
  kDone,       ///< Another run of its task was.
  kCancelled,  ///< Its job was.
  kJobFailed,
  kWorkerLeaves,
  kMaintenance,
  kStandsStill,
  kStartNotAnswered,  ///< It may begin late, and is to run elsewhere.
  kCount,
};

/// A short name for a log line.
const char* StopReasonName(StopReason reason);

/// What this leader knows of an active run beyond what is committed.
struct RunTrack {
  std::string worker;
  StartStage start = StartStage::kUncertain;
  bool may_be_on_its_way = false;  ///< A start of it was never answered.
  SteadyTime next_try{};
  SteadyTime begun_at{};
  SteadyTime settled_at{};  ///< A look after this must list it.
  bool is_stop_wanted = false;
  StopReason stop_reason = StopReason::kDone;
  bool is_stop_under_way = false;
  bool is_stop_taken = false;
  uint32_t percent = 0;
  SteadyTime percent_since{};
  bool is_listed = false;
  bool is_proof_under_way = false;
  SteadyTime work_since{};  ///< Its start was answered, or it was listed.
  SteadyTime work_until{};  ///< When it was listed last.

  /// How long it was seen to run; zero for one that was never listed.
  Millis SeenAtWork() const {
    const auto seen = std::chrono::floor<Millis>(work_until - work_since);
    return is_listed ? std::max(seen, Millis(0)) : Millis(0);
  }
};

/// One life of a worker; others may have the same id.
struct WorkerLife {
  std::string id;  ///< Empty: none.
  WallTime born{};

  bool IsSame(const scheduling::Worker& worker) const {
    const bool is_known = born != WallTime() && worker.born != WallTime();
    return worker.info.id == id && (!is_known || worker.born == born);
  }
};

WorkerLife LifeOf(const scheduling::Worker* worker);

/// The newest word of a worker of which all is committed.
struct WorkerWord {
  WallTime born{};  ///< Of the life that said so; zero: not told.
  /// When, on its clock; zero: not told.
  scheduling::WorkerTime clock{0};

  /// Not of an earlier life than another word, nor of an earlier moment.
  bool IsNewerThan(const WorkerWord& other) const {
    return born != other.born ? born > other.born : clock >= other.clock;
  }
};

/// What this leader knows of a worker's life beyond what is committed.
struct WorkerLink {
  WorkerLink(Millis longest_lease, SteadyTime now)
      : clock(longest_lease, now) {}

  WorkerAddress address;
  scheduling::WorkerClock clock;
  WallTime born{};           ///< Zero: not told.
  uint64_t number = 1;       ///< Of the lives that had this id in this term.
  bool is_unjudged = false;  ///< What its birth says of the runs before it.
  std::optional<scheduling::LossTime> loss_before;  ///< None: was not seen.
  bool is_reached = false;
  bool is_lapse_under_way = false;
  bool is_lapsed = false;
  bool is_gone_under_way = false;
  bool is_first_look = true;       ///< Nothing was planned on it yet.
  bool is_silent = false;          ///< The last look was not answered.
  bool is_hold_under_way = false;  ///< Or waits for its ends' commit.
  bool is_renewal_under_way = false;
  SteadyTime next_hold{};
  SteadyTime next_renewal{};
  SteadyTime leased_at{};  ///< From when the lease last asked for counts.
  SteadyTime last_contact{};
  SteadyTime last_listed{};  ///< When it last told what it runs.
  SteadyTime first_contact{};
  SteadyTime last_announced{};
  SteadyTime suspect_until{};  ///< An order was not answered; any word ends it.
  SteadyTime paused_until{};   ///< It turned an order down.
  SteadyTime lost_at{};        ///< First unanswered look since the last word.
  /// Since the last list, or of the life before.
  std::vector<scheduling::LostRun> lapsed_runs;
  std::optional<WorkerWord> word;  ///< None: this life was not heard yet.
  /// What its clock showed when this host began to lead, or woke up.
  scheduling::WorkerTime clock_at_begin{0};
  uint64_t ends_seen = 0;
  std::set<std::string> failed_jobs;  ///< Since the last task done here.
  SteadyTime doubtful_until{};
  Pacer pacer;
};

/// Whether a worker may be given work, or the first thing that forbids it.
enum class Fitness : uint8_t {
  kUsable,
  kNotReached,  ///< No look at it was answered yet.
  kSilent,      ///< The last look was not answered.
  kLapsed,      ///< Its lease ran out, or that is being committed.
  kDraining,
  kSuspect,       ///< An order was not answered.
  kPaused,        ///< It turned an order down.
  kStale,         ///< Not heard of lately, though no call has failed.
  kEvacuated,     ///< Its host is to move or to be maintained.
  kRoomNotHeard,  ///< What is committed of its room may be old.
  kCount,
};

/// A short name for a log line.
const char* FitnessName(Fitness fitness);

/// The other tasks of a persistent step.
struct StepAway {
  uint32_t away = 0;  ///< Not seen at work, whatever the cause.
  uint32_t may_miss = 0;
};

/// The progress of a host's maintenance, as this leader knows it.
struct HostMaintenance {
  uint64_t wave = 0;
  SteadyTime chosen_at{};
  bool is_act_under_way = false;
  SteadyTime next_try{};
  WorkerLife life_before;   ///< The incarnation that the maintenance ends.
  SteadyTime acted_at{};    ///< When this leader sent the order, or zero.
  SteadyTime down_since{};  ///< Zero until the order was carried out.
  /// Since when its tasks wait for others that find no place, or zero.
  SteadyTime blocked_since{};
};

/// A host whose maintenance is deferred, so that its service may use it.
struct DeferredHost {
  std::string host;
  SteadyTime until{};
};

/// A worker that went down lately.
struct LostLife {
  std::string rack;
  std::string host;
  scheduling::LossTime when;
};

/// The state of a host, as far as this leader knows.
struct HostState {
  std::string pool;
  bool is_up = false;
  double cores = 0;
  SteadyTime since{};  ///< When it joined its pool; zero if long ago.
};

/// The progress of a host's move to another pool.
struct HostMove {
  std::string to;
  SteadyTime chosen_at{};
  SteadyTime next_try{};
  SteadyTime ordered_at{};  ///< When it was moved; zero while it is drained.
  bool is_act_under_way = false;
  SteadyTime acted_at{};  ///< When the order was sent; zero: not yet.
  WorkerLife life_before;
};

/// The scheduling of one term of one leader.
///
/// @remarks On the dispatcher's one thread only. Ended by dropping it: what
///   then comes back from calls and commits is passed over.
class Leadership : public std::enable_shared_from_this<Leadership> {
 public:
  Leadership(const DispatcherInit& init,
             scheduling::ReplicatedLog& log,
             uint64_t term,
             DispatchCounters& counters);
  ~Leadership();

  /// Looks for all that is due; to be called at each tick.
  void Tick();

  /// Lets starts be planned soon; calls that come together share one plan.
  void PlanSoon();

  /// A worker announced itself.
  void Announced(const std::string& worker);

  /// A worker has said what is committed of it.
  void Heard(const std::string& worker, const WorkerWord& word);

  /// A worker has said something that is still to be committed: until that is,
  /// nothing is planned there.
  void HeardNews(const std::string& worker, const WorkerWord& word);

  /// Another number when all workers are to be heard anew.
  uint64_t heard_epoch() const {
    return (m_term << kEpochPauseBits) + m_pauses;
  }

  /// A call is sent and its answer read when this thread comes round: the
  /// leader's own delay, not the worker's. A tick is late by what a round takes
  /// beyond the time between ticks; from 100 ms on three lags are two rounds.
  /// Bounded, so that a pause of the whole process does not hold up what waits
  /// behind an order that is lost.
  Millis OwnDelay() const { return std::min(3 * m_tick_lag, kMostOwnDelay); }

  uint64_t term() const { return m_term; }
  const DispatchSight& sight() const { return m_sight; }

  /// Commits what a request asks for, with what else is to be committed.
  ///
  /// @param done Called once, also after the end of this leadership.
  void CommitRequest(scheduling::Record record,
                     std::function<void(scheduling::CommitOutcome)> done);

  /// Lets a read wait for a batch that is still to be handed to the log. Once
  /// that is committed in this term, nothing newer can have been committed
  /// elsewhere before the read came, and the ledger here shows all until then.
  ///
  /// @param done Called once, also after the end of this leadership.
  /// @returns False when no batch waits: the log must be asked.
  bool ConfirmWithBatch(std::function<void(bool is_sure)> done);

 private:
  using Records = std::vector<scheduling::Record>;
  using Ledger = scheduling::Ledger;
  using CommitDone = std::function<void(scheduling::CommitOutcome)>;

  SteadyTime Now() const { return m_init.timers->Now(); }
  /// Of orders to one life of a worker: above those to all earlier ones.
  uint64_t FenceOf(const WorkerLink& link) const {
    return m_init.mutations.is_fence_old
               ? 0
               : (m_term << kFenceLifeBits) + link.number;
  }
  /// `done` comes once, unless this leadership ends before.
  void Commit(Records records, CommitDone done);

  bool IsSureToLead() const {
    return m_init.mutations.is_lead_assumed ||
           m_lease.IsHeld(m_init.boot_now());
  }

  /// The last moment at which this host was sure to lead; now, while it is.
  SteadyTime SureAt() const {
    return m_init.mutations.is_lead_assumed
               ? Now()
               : Now() - m_lease.OverFor(m_init.boot_now());
  }

  /// Runs an act that leaves the process: at once while this host is sure to
  /// lead, else in its turn as soon as a quorum has said so. What is queued
  /// when leadership ends is dropped.
  template <typename Act>
  void WhenSure(Act act) {
    if (m_waiting_acts.empty() && IsSureToLead()) {
      act();
      return;
    }
    m_waiting_acts.push_back(std::move(act));
    ConfirmLead();
  }

  /// As above; an act that had to wait is asked for again before it goes out.
  ///
  /// @param is_still_due May read the ledger, which is not being read then.
  template <typename Act, typename IsStillDue>
  void WhenSure(Act act, IsStillDue is_still_due) {
    if (m_waiting_acts.empty() && IsSureToLead()) {
      act();
      return;
    }
    WhenSure([act = std::move(act),
              is_still_due = std::move(is_still_due)]() mutable {
      if (is_still_due()) {
        act();
      }
    });
  }
  void ConfirmLead();
  void OnLeadConfirmed(BootTime asked_at, bool is_confirmed);
  void FlushSoon();

  // leadership.cc: workers and runs.
  void FollowWorkers(const Ledger& ledger);
  void FollowWorker(const Ledger& ledger, const std::string& id);
  void FollowRuns(const Ledger& ledger);
  void FollowJobs(const Ledger& ledger);
  Millis AgeOf(const scheduling::Job& job) const;
  void MeasureLag();
  void PlanNow();
  void Flush();
  void Lapse(const Ledger& ledger);
  void DropSilent(const Ledger& ledger, Records& records);
  void ForgetJobs(const Ledger& ledger, Records& records);
  void Plan(const Ledger& ledger, std::vector<scheduling::RunStarted>& starts);
  void TellStarts(const std::vector<scheduling::RunStarted>& starts) const;
  void CommitStarts(const std::vector<scheduling::RunStarted>& starts);
  Fitness FitnessOf(const scheduling::Worker& worker,
                    const WorkerLink& link) const;
  /// Whether what is committed of a worker's room is as it has told lately:
  /// since this host leads without a pause, or shortly before.
  /// @pre The link's clock is known.
  bool IsRoomHeard(const WorkerLink& link) const;
  /// Whether this thread has just come round after a long pause.
  bool HasStoodStill() const;
  /// All workers are to tell of their rooms anew.
  void ForgetRooms();
  void TakeWord(const std::string& id, WorkerLink& link);
  static bool IsWordOf(const WorkerLink& link, const WorkerWord& word);
  bool IsUsable(const scheduling::Worker& worker,
                const WorkerLink& link) const {
    return FitnessOf(worker, link) == Fitness::kUsable;
  }
  scheduling::WorkerOutlook LookAt(const Ledger& ledger,
                                   const scheduling::Worker& worker) const;

  // stops.cc: which runs are to end, and whether they may.
  static void WantStop(const RunKey& key,
                       RunTrack& track,
                       StopReason reason,
                       const std::optional<StepAway>& others = {});
  bool IsStillToStop(const Ledger& ledger,
                     const RunKey& key,
                     const RunTrack& track) const;
  void WantStops(const Ledger& ledger);
  void StopStalled(const Ledger& ledger);
  bool IsAtWork(const Ledger& ledger, const scheduling::TaskId& task) const;
  /// None for a task that ends by itself.
  std::optional<StepAway> OthersAway(const Ledger& ledger,
                                     const scheduling::TaskId& task) const;
  /// Whether a task may be stopped: of a persistent step, fewer others than may
  /// miss are away.
  bool MayTakeAway(const Ledger& ledger, const scheduling::TaskId& task) const;

  // reports.cc: what an engineer on call needs to tell causes apart.
  void Report(const Ledger& ledger);
  void ReportLoad(const Ledger& ledger);
  void ReportWorkers(const Ledger& ledger);
  void ReportWaits(const Ledger& ledger);
  static void ReportOrganisations(const Ledger& ledger);

  // orders.cc: calls to workers.
  void SendOrders(const Ledger& ledger);
  void SendStart(const Ledger& ledger, const RunKey& key, RunTrack& track);
  bool HoldsBackForRoom(const scheduling::Job& job,
                        const RunKey& key,
                        RunTrack& track,
                        const WorkerLink& link);
  bool IsStillToStart(const RunKey& key, uint64_t life);
  bool IsOverRoom(const Ledger& ledger,
                  const scheduling::Job& job,
                  const RunKey& key,
                  const RunTrack& track) const;
  bool IsOverCap(const Ledger& ledger,
                 const scheduling::Job& job,
                 const RunKey& key,
                 const RunTrack& track) const;
  void OnStarted(const RunKey& key, uint64_t life, const CallReply& reply);
  void OnStartRefused(const RunKey& key, RunTrack& track);
  void SendStop(const RunKey& key, RunTrack& track);
  bool IsStopStillDue(const RunKey& key);
  void OnStopped(const RunKey& key, uint64_t life, const CallReply& reply);
  void SendHolds(const Ledger& ledger);
  void SendHold(const std::string& worker, WorkerLink& link, Millis wait);
  void OnHeld(const std::string& worker,
              uint64_t life,
              SteadyTime asked_at,
              const HoldReply& reply);
  bool IsOfThisLife(const std::string& worker,
                    WorkerLink& link,
                    const HoldReply& reply);
  void TakeLists(const std::string& worker,
                 SteadyTime asked_at,
                 const HoldReply& reply);
  void DropOlderLives(const Ledger& ledger,
                      const std::string& worker,
                      Records& records);
  void TakeEnds(const Ledger& ledger,
                const std::string& worker,
                const HoldReply& reply,
                Records& records);
  void TakeRunning(const Ledger& ledger,
                   const std::string& worker,
                   const HoldReply& reply);
  void FindMissing(const Ledger& ledger,
                   const std::string& worker,
                   SteadyTime asked_at,
                   const HoldReply& reply,
                   Records& records);
  void Pace(const Ledger& ledger, WorkerLink& link, const HoldReply& reply);
  void SendPace(const PaceOrder& order);
  void Weigh(const Ledger& ledger,
             WorkerLink& link,
             const EndedRun& ended,
             const RunTrack* track);
  void CommitEnds(const std::string& worker, uint64_t seen, Records records);
  void EndLife(const WorkerLife& life, const char* why);
  void EndAnswering(const std::string& worker);

  // crashes.cc: workers that end.
  void EndWorker(const Ledger& ledger,
                 const scheduling::Worker& worker,
                 const char* why,
                 Records& records,
                 const std::string& new_life = "");
  bool IsTakenDown(const scheduling::Worker& worker) const;
  bool MayHaveLeft(const Ledger& ledger,
                   const scheduling::Worker& worker) const;
  std::vector<scheduling::CrashSuspect> Judge(
      const Ledger& ledger,
      const scheduling::Worker& worker,
      const std::vector<scheduling::LostRun>& runs,
      scheduling::LossScope scope) const;
  void ProveRuns(const Ledger& ledger,
                 const HoldReply& reply,
                 Records& records);
  template <typename Visitor>
  void VisitRuns(const Ledger& ledger,
                 const scheduling::Worker& worker,
                 Visitor visit) const;
  std::vector<scheduling::LostRun> LostRuns(
      const Ledger& ledger,
      const scheduling::Worker& worker) const;
  scheduling::LossTime WhenLost(const WorkerLink& link) const;
  scheduling::LossScope ScopeOf(
      const Ledger& ledger,
      const scheduling::Worker& worker,
      const std::optional<scheduling::LossTime>& seen) const;
  void Blame(const Ledger& ledger,
             const scheduling::Worker& worker,
             const std::vector<scheduling::LostRun>& runs,
             const std::optional<scheduling::LossTime>& when,
             Records& records);
  void BeginLife(const Ledger& ledger,
                 const std::string& worker,
                 WorkerLink& link,
                 WallTime born);
  static std::vector<scheduling::LostRun> OutlivedRuns(
      const Ledger& ledger,
      const scheduling::Worker& worker);
  void BlameForBirth(const Ledger& ledger,
                     const scheduling::Worker& worker,
                     const HoldReply& reply,
                     Records& records);
  void TellSuspects(const Ledger& ledger,
                    const scheduling::WorkerCrashed& crash);
  void TellLostRuns(const Ledger& ledger,
                    const scheduling::Worker& worker,
                    const char* how) const;
  static Millis WithoutEnd(const WorkerLink& link, const RunTrack& track);
  bool IsSeenAtWork(const Ledger& ledger,
                    const scheduling::Worker& worker,
                    const scheduling::TaskId& id) const;
  bool IsQuarantined(const Ledger& ledger,
                     const scheduling::Worker& worker) const;
  bool IsSettled(const Ledger& ledger, const scheduling::Worker& worker) const;
  HoldOrder MakeHold(WorkerLink& link, Millis wait);
  bool MayLease(const WorkerLink& link) const;
  bool IsLeaseDue(const WorkerLink& link) const;
  bool IsRenewalDue(const WorkerLink& link) const;
  void RenewLease(const std::string& worker, WorkerLink& link);
  void OnLeaseRenewed(const std::string& worker,
                      uint64_t life,
                      const HoldReply& reply);
  void Contact(WorkerLink& link, std::optional<scheduling::WorkerTime> clock);
  /// Whether this thread is short of processor time: its ticks come late.
  bool IsBehind() const { return m_tick_lag > kBehind; }
  Millis OrderTimeout() const { return m_order_time.Timeout() + OwnDelay(); }
  void LearnAnswerTime(const CallReply& reply) {
    if (reply.outcome < CallOutcome::kNotReached) {
      m_order_time.Observe(reply.took);
    }
  }

  // waves.cc: maintenance.
  void StepWaves(const Ledger& ledger, Records& records);
  size_t AdoptOrderedHosts(const scheduling::WaveState& wave);
  static bool IsDueForMaintenance(const Ledger& ledger,
                                  const std::string& host);
  size_t HostsAtOnce(const scheduling::WaveState& wave) const;
  void ChooseHosts(const Ledger& ledger, const scheduling::WaveState& wave);
  size_t CountHostsDown(const scheduling::WaveState& wave,
                        const std::string& besides) const;
  /// What runs on a host that is chosen for maintenance.
  struct HostWorkload {
    bool is_empty = true;
    bool has_persistent = false;
    /// Its tasks may not leave before tasks of their step that have no place.
    bool is_leave_blocked = false;
  };
  HostWorkload DrainHost(const Ledger& ledger, const std::string& host);
  void AdvanceHost(const Ledger& ledger,
                   const scheduling::WaveState& wave,
                   const std::string& host,
                   HostMaintenance& track,
                   Records& records);
  void Maintain(uint64_t wave, const std::string& host);
  void OnMaintained(uint64_t wave,
                    const std::string& host,
                    HostActOutcome outcome);
  static bool WaitsForUnplacedTasks(const Ledger& ledger,
                                    const scheduling::TaskId& task);
  bool IsMaintenanceDeferred(const std::string& host) const;
  bool DeferMaintenance(const std::string& host,
                        const scheduling::Worker& worker);

  /// Makes an action on a host, sent only while this host surely leads.
  HostAct MakeHostAct(const std::string& host);

  // moves.cc: hosts between pools.
  void StepMoves(const Ledger& ledger);
  void UpdateInventory(const Ledger& ledger);
  void UpdateHostOf(const scheduling::Worker& worker);
  bool IsMoveOver(const Ledger& ledger,
                  const std::string& host,
                  const HostMove& track);
  void ListHosts(const std::string& page);
  void OnListed(const HostPage& page);
  void ChooseMoves(const Ledger& ledger);
  static std::map<std::string, uint32_t> MinHostsForPersistentTasks(
      const Ledger& ledger);
  double RecordPeakNeed(double cores);
  bool Serves(const scheduling::Worker& worker) const;
  Millis UpdateIdleTime(const std::string& host, double busy_cores);
  Millis EstimateDrainTime(const Ledger& ledger,
                           const scheduling::Worker& worker) const;
  void ReportPool(const scheduling::PoolNeed& pool,
                  const std::vector<scheduling::PoolHost>& hosts) const;
  /// Cores that a service needs for present and arriving short work, for
  /// short work that is expected, and for its persistent tasks.
  struct ServiceNeed {
    double current = 0;
    double expected = 0;
    double persistent = 0;
  };
  std::map<std::string, ServiceNeed> NeededCores(const Ledger& ledger) const;
  scheduling::PoolWeights MakePoolWeights(
      const std::vector<scheduling::PoolNeed>& pools);
  size_t MaxNewMoves(const Ledger& ledger) const;
  void AdvanceMove(const Ledger& ledger,
                   const std::string& host,
                   HostMove& track);
  void OnMoved(const std::string& host, HostActOutcome outcome);
  bool IsSparePool(const Ledger& ledger, const std::string& pool) const;

  const scheduling::Worker* WorkerOn(const Ledger& ledger,
                                     const std::string& host) const;
  bool IsEvacuated(const std::string& host) const {
    return m_hosts.contains(host) || m_moves.contains(host);
  }

  DispatcherInit m_init;
  scheduling::ReplicatedLog& m_log;
  const uint64_t m_term;
  const SteadyTime m_begun_at;
  SteadyTime m_rooms_since;  // Words from here on are this leader's own.
  DispatchCounters& m_counters;
  scheduling::LeaderLease m_lease;
  bool m_is_confirming_lead = false;
  std::deque<std::function<void()>> m_waiting_acts;
  scheduling::AnswerTime m_order_time;  // Of orders to workers.
  scheduling::Planner m_planner;
  std::unordered_map<std::string, WorkerLink> m_links;  // By worker.
  /// The newest word of each id, which may be of a life to come.
  std::unordered_map<std::string, WorkerWord> m_words;
  /// Of ids whose link was dropped: the number of their last life.
  std::unordered_map<std::string, uint64_t> m_last_lives;
  std::optional<uint64_t> m_followed_workers;  // The ledger's version of them.
  // The version of the ledger's workers that m_inventory includes.
  std::optional<uint64_t> m_inventory_version;
  std::unordered_map<RunKey, RunTrack, RunKeyHash> m_runs;
  std::deque<LostLife> m_lost_lives;                      // Oldest first.
  std::unordered_map<std::string, SteadyTime> m_seen_at;  // By open job.
  std::map<std::string, SteadyTime> m_over_at;            // By ended job.
  std::map<std::string, HostMaintenance> m_hosts;         // Under maintenance.
  std::map<std::string, DeferredHost> m_deferred_hosts;   // By service.
  std::map<std::string, HostMove> m_moves;                // By host.
  std::map<std::string, HostState> m_inventory;           // By host.
  std::set<std::pair<std::string, std::string>> m_refused_moves;
  scheduling::DemandMeter m_demand;
  /// Falling peaks of the cores that all services need, oldest first.
  std::deque<std::pair<SteadyTime, double>> m_peak_needs;
  std::map<std::string, SteadyTime>
      m_idle_since;  // By host without short work.
  SteadyTime m_next_demand_update{};
  SteadyTime m_next_move_choice{};
  SteadyTime m_next_report{};
  SteadyTime m_next_list{};
  bool m_is_listing = false;
  SteadyTime m_next_forget{};
  SteadyTime m_next_follow{};
  SteadyTime m_next_stops{};
  SteadyTime m_next_sight{};
  DispatchSight m_sight;  // As the last lines told it.
  // Above this lag of a tick the leader does fewer, larger things: a third of
  // the time between ticks. A look then brings the ends of 60 ms, not of one.
  static constexpr Millis kBehind{15};
  // Two rounds of the longest that a fifth of a core was seen to have, 0.35 s.
  static constexpr Millis kMostOwnDelay{700};

  static constexpr int kEpochPauseBits = 16;

  uint64_t m_pauses = 0;  // Of this thread, so long that rooms were forgotten.
  SteadyTime m_last_tick{};
  Millis m_tick_lag{0};  // Smoothed.
  SteadyTime m_last_plan{};
  Millis m_plan_time{0};  // That the last plan took.
  bool m_is_plan_due = false;
  bool m_is_flush_due = false;
  bool m_is_batch_under_way = false;
  Records m_batch;  // Waits for others to be committed with.
  std::vector<CommitDone> m_batch_done;
  std::vector<CommitDone> m_batch_requests;  // Answered whatever happens.
  std::vector<std::function<void(bool)>> m_batch_reads;  // As these.
};

}  // namespace laurelhall::dispatch
