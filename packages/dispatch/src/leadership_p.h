#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "laurelhall/base/decision_log.h"
#include "laurelhall/base/work_meter.h"
#include "laurelhall/dispatch/dispatcher.h"
#include "laurelhall/scheduling/admission.h"
#include "laurelhall/scheduling/answer_time.h"
#include "laurelhall/scheduling/crash.h"
#include "laurelhall/scheduling/demand.h"
#include "laurelhall/scheduling/leader_lease.h"
#include "laurelhall/scheduling/planner.h"
#include "laurelhall/scheduling/pool_floors.h"
#include "laurelhall/scheduling/pools.h"
#include "laurelhall/scheduling/wave_order.h"
#include "laurelhall/scheduling/worker_clock.h"
#include "pacing_p.h"
#include "path_times_p.h"
#include "work_report_p.h"
#include "worker_checks_p.h"

namespace laurelhall::dispatch {

/// Time between two ticks, which check for conditions that no event reports,
/// such as silent workers and due retries.
constexpr Millis kDispatchTick{50};

/// One start of one task.
struct RunKey {
  scheduling::TaskId task;
  uint32_t run = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads <=>.
  friend auto operator<=>(const RunKey&, const RunKey&) = default;
};

/// Finds a RunKey without a copy of the task's id.
struct RunRef {
  const scheduling::TaskId& task;
  uint32_t run = 0;
};

/// Hash for the tables of runs. Each hold call lists all runs of a worker, so a
/// leader of 350 workers looks up some ten thousand runs per second.
struct RunKeyHash {
  using is_transparent = void;

  size_t operator()(const RunKey& key) const {
    return (*this)(RunRef{key.task, key.run});
  }
  size_t operator()(const RunRef& key) const {
    // Odd factors, so that neighbouring tasks of a step get different hashes.
    size_t hash = std::hash<std::string>()(key.task.job);
    hash = hash * 31 + key.task.occurrence;
    hash = hash * 31 + key.task.step;
    hash = hash * 1'000'003 + key.task.index;
    return hash * 31 + key.run;
  }
};

/// Compares the numbers first, which differ for most runs.
struct RunKeyEqual {
  using is_transparent = void;

  template <typename A, typename B>
  bool operator()(const A& a, const B& b) const {
    return a.run == b.run && a.task.index == b.task.index &&
           a.task.step == b.task.step &&
           a.task.occurrence == b.task.occurrence && a.task.job == b.task.job;
  }
};

/// The stage of the order to start a run.
enum class StartStage {
  kUncertain,  ///< From an earlier leader; not confirmed by its worker yet.
  kSending,
  kRetry,    ///< To be sent again at `next_try`.
  kSettled,  ///< The worker accepted the start, or will never carry it out.
  kBarring,  ///< To be stopped first, so that a late start has no effect.
};

/// Why a run is to be stopped.
enum class StopReason : uint8_t {
  kDone,       ///< Another run of its task is done.
  kCancelled,  ///< Its job was cancelled.
  kJobFailed,
  kWorkerLeaves,
  kMaintenance,
  kStalled,           ///< Its progress has not changed for too long.
  kStartNotAnswered,  ///< It may begin late; its task is to run elsewhere.
  kCount,
};

/// The reason's name in log lines.
const char* StopReasonName(StopReason reason);

/// State of an active run that this leader holds in addition to the ledger.
struct RunTrack {
  std::string worker;
  StartStage start = StartStage::kUncertain;
  bool has_unanswered_start = false;  ///< A start order got no answer.
  SteadyTime next_try{};
  SteadyTime begun_at{};    ///< Start committed; zero: by an earlier leader.
  SteadyTime sent_at{};     ///< When its start was last sent.
  SteadyTime settled_at{};  ///< Hold calls sent later must list the run.
  bool is_stop_requested = false;
  StopReason stop_reason = StopReason::kDone;
  bool is_stop_in_flight = false;
  bool is_stop_acknowledged = false;  ///< The worker accepted the stop order.
  uint32_t percent = 0;               ///< Progress as last listed.
  SteadyTime percent_since{};
  bool is_listed = false;  ///< The worker has listed it as running.
  bool is_proof_pending = false;
  SteadyTime work_since{};  ///< When its start was answered or it was listed.
  SteadyTime work_until{};  ///< When it was listed last.

  /// How long it was observed running; zero if it was never listed.
  Millis SeenAtWork() const {
    const auto seen = std::chrono::floor<Millis>(work_until - work_since);
    return is_listed ? std::max(seen, Millis(0)) : Millis(0);
  }
};

/// One incarnation of a worker. A worker that restarts may keep its id.
struct WorkerIncarnation {
  std::string id;   ///< Empty: no worker.
  WallTime born{};  ///< When it began; zero: not known.

  bool IsSame(const scheduling::Worker& worker) const {
    const bool is_known = born != WallTime() && worker.born != WallTime();
    return worker.info.id == id && (!is_known || worker.born == born);
  }
};

/// @param worker Null: gives a WorkerIncarnation without an id.
WorkerIncarnation IncarnationOf(const scheduling::Worker* worker);

/// Identifies a report of a worker: the incarnation that sent it, and when.
struct ReportStamp {
  WallTime born{};  ///< When that incarnation began; zero: not reported.
  /// When it was sent, by the worker's clock; zero: not reported.
  scheduling::WorkerTime clock{0};

  /// Whether it is from a later incarnation than the other one, or from the
  /// same incarnation and not earlier.
  bool IsNewerThan(const ReportStamp& other) const {
    return born != other.born ? born > other.born : clock >= other.clock;
  }
};

/// State of a worker's current incarnation that this leader holds in addition
/// to the ledger.
///
/// @remarks A hold call (WorkerPort::Hold) is a long poll of the worker: it can
///   extend the lease, and it returns the lists of running and ended runs.
struct WorkerLink {
  WorkerLink(Millis longest_lease, SteadyTime now)
      : clock(longest_lease, now) {}

  WorkerAddress address;
  WorkerSlot slot;
  /// Valid during a read of the ledger, once SyncWorkers() was called in it.
  const scheduling::Worker* worker = nullptr;
  scheduling::WorkerClock clock;
  WallTime born{};      ///< When the incarnation began; zero: not reported.
  uint64_t number = 1;  ///< Counts the incarnations of this id in this term.
  /// Counts, in this term, the incarnations of this id and the times that
  /// contact was lost: whoever answers after such a time may be the next
  /// incarnation, which must refuse what was sent before.
  uint64_t fence_number = 1;
  /// The crash of the previous incarnation is still to be recorded, with the
  /// first list of this one.
  bool is_restart_unassessed = false;
  /// When the previous incarnation was lost; none: it was never reached.
  std::optional<scheduling::LossTime> previous_loss;
  bool is_reached = false;          ///< A hold call was answered.
  bool is_lapse_under_way = false;  ///< WorkerLapsed is being committed.
  /// Its lease lapsed, and no hold call was answered since.
  bool is_lapsed = false;
  bool is_removal_under_way = false;   ///< IncarnationEnded is being committed.
  bool is_awaiting_first_list = true;  ///< Its first list is not committed yet.
  bool is_silent = false;              ///< The last hold call was not answered.
  /// A hold call is open, or the ends that it listed are being committed.
  bool is_hold_under_way = false;
  /// The last list may have omitted ends: the next one is asked for at once.
  bool has_more_ends = false;
  bool lists_ends = false;  ///< The last list named ended runs.
  /// A hold call beside that one is open: a renewal of the lease, or a repeated
  /// acknowledgement.
  bool is_renewal_under_way = false;
  SteadyTime next_hold{};
  SteadyTime next_renewal{};
  SteadyTime lease_start{};  ///< Start of the lease that was last requested.
  SteadyTime last_contact{};
  SteadyTime last_listed{};  ///< When it last listed its runs.
  /// When a hold call last showed that this incarnation runs; zero: since then,
  /// something has shown that it may have ended.
  SteadyTime confirmed_at{};
  SteadyTime first_contact{};
  SteadyTime last_announced{};
  /// Set after an order was not answered; cleared by any answer.
  SteadyTime suspect_until{};
  SteadyTime paused_until{};  ///< Set after it refused an order.
  /// When the first hold call since `last_contact` failed; zero: none did.
  SteadyTime lost_at{};
  /// Runs whose lease expired since the last list, or runs of the previous
  /// incarnation while `is_restart_unassessed` is set.
  std::vector<scheduling::LostRun> lapsed_runs;
  /// Newest report whose content is committed; none: nothing is known to be.
  std::optional<ReportStamp> last_report;
  /// The worker's clock at `m_reports_since`.
  scheduling::WorkerTime clock_at_reports_since{0};
  uint64_t ends_seen = 0;     ///< Number of the last end that is committed.
  uint64_t acknowledged = 0;  ///< Number in the last acknowledgement of ends.
  SteadyTime acknowledged_at{};  ///< When it was sent; zero: none was.
  /// Jobs with a failed run here since the last successful run.
  std::set<std::string> failed_jobs;
  SteadyTime doubtful_until{};
  Pacer pacer;
};

/// Whether runs may be started on a worker, or the first reason against it.
enum class Eligibility : uint8_t {
  kUsable,
  kNotReached,  ///< No hold call was answered yet.
  kSilent,      ///< The last hold call was not answered.
  kLapsed,      ///< Its lease expired, or that is being committed.
  kDraining,
  kSuspect,        ///< An order was not answered.
  kPaused,         ///< It refused an order.
  kStale,          ///< No recent contact, though no call has failed.
  kEvacuated,      ///< Its host is to be moved or maintained.
  kCapacityStale,  ///< Its committed capacity may be outdated.
  kCount,
};

/// The eligibility's name in log lines.
const char* EligibilityName(Eligibility eligibility);

/// Availability of the other tasks of a persistent step.
struct StepUnavailability {
  uint32_t away = 0;      ///< Tasks not known to be at work, for any reason.
  uint32_t may_miss = 0;  ///< Tasks of the step that may be away at once.
};

/// An order on a host that is repeated until it is answered.
struct RepeatedHostOrder {
  SteadyTime chosen_at{};
  bool is_act_under_way = false;
  SteadyTime next_try{};
  /// The incarnation that the order ends. It stays that of the first try that
  /// may have been carried out. Empty: none, or not known.
  WorkerIncarnation incarnation_before;
  bool may_be_carried_out = false;  ///< A try was not answered.
  SteadyTime acted_at{};  ///< When this leader sent that try; zero: not yet.

  /// A try begins.
  ///
  /// @param worker Null: none is on the host.
  void BeginTry(const scheduling::Worker* worker, SteadyTime now);

  /// A try has ended; the next one may begin at `next`.
  void EndTry(HostActOutcome outcome, SteadyTime next);
};

/// The progress of a host's maintenance, as this leader knows it.
struct HostMaintenance : RepeatedHostOrder {
  uint64_t wave = 0;
  SteadyTime down_since{};  ///< Zero until the order was carried out.
  /// Since when its tasks wait for others that find no place, or zero.
  SteadyTime blocked_since{};
  /// It has been drained for longer than its short tasks may take.
  bool is_blocked = false;
};

/// What keeps a host of a wave that is being drained from being taken down.
enum class DrainGuard : uint8_t {
  kNone,
  kSettling,       ///< It was chosen just now.
  kTasksMissed,    ///< Too many tasks of a persistent task's step are away.
  kTasksLeave,     ///< Its tasks are ending or being stopped.
  kStartUnderWay,  ///< A start on it is being committed.
  kMostAtOnce,     ///< As many hosts of the wave as may be are down.
  kCount,
};

/// A host whose maintenance is deferred, so that its service may use it.
struct DeferredHost {
  std::string host;
  SteadyTime until{};
};

/// A worker that was lost recently.
struct LostWorker {
  std::string rack;
  std::string host;
  scheduling::LossTime loss;
};

/// The state of a host, as far as this leader knows.
struct HostState {
  std::string pool;
  bool is_up = false;
  double cores = 0;
  SteadyTime since{};       ///< When it joined its pool; zero if long ago.
  SteadyTime idle_since{};  ///< Without short work; zero: it has some.
};

/// The progress of a host's move to another pool.
struct HostMove : RepeatedHostOrder {
  std::string to;
  SteadyTime ordered_at{};  ///< When it was moved; zero while it is drained.
};

/// Finds hosts in a map by host, one after the other in its order, without a
/// search for each.
template <typename State>
class HostCursor {
 public:
  explicit HostCursor(const std::map<std::string, State>& states)
      : m_states(states), m_next(states.begin()) {}

  /// @param host Not before the host of the call before.
  /// @returns Null if the map doesn't have it.
  const State* Find(const std::string& host) {
    while (m_next != m_states.end() && m_next->first < host) {
      ++m_next;
    }
    return m_next != m_states.end() && m_next->first == host ? &m_next->second
                                                             : nullptr;
  }

 private:
  const std::map<std::string, State>& m_states;
  typename std::map<std::string, State>::const_iterator m_next;
};

/// Schedules jobs during one term of this control host as leader.
///
/// @remarks Used on the dispatcher's thread only. Destroy it to end the term:
///   answers to calls and commits that arrive later are ignored.
class Leadership : public std::enable_shared_from_this<Leadership> {
 public:
  Leadership(const DispatcherInit& init,
             scheduling::ReplicatedLog& log,
             uint64_t term,
             DispatchCounters& counters);
  ~Leadership();

  /// Does all periodic work that is due; to be called every kDispatchTick.
  void Tick();

  /// Schedules a planning pass. Calls that come before it share it.
  void PlanSoon();

  /// A worker announced itself.
  void OnAnnounced(const std::string& worker);

  /// Handles a report whose content is committed.
  void OnReportCommitted(const std::string& worker, const ReportStamp& report);

  /// Handles a report with changes that are not committed yet. Nothing is
  /// planned on the worker until they are.
  void OnReportPending(const std::string& worker, const ReportStamp& report);

  /// Changes whenever all workers have to report again.
  uint64_t report_epoch() const {
    return (m_term << kEpochPauseBits) + m_long_pauses;
  }

  /// Delay that this thread adds to a call, to be added to the call's timeout.
  /// A call is sent and its answer is read only when the thread's loop comes
  /// round. The tick lag is the time of a round beyond kDispatchTick; for lags
  /// of 100 ms or more, three lags are at least the two rounds that a call may
  /// wait. The bound keeps a pause of the whole process from delaying what
  /// waits for the timeout of a lost order.
  Millis LeaderDelay() const {
    return std::min(3 * m_tick_lag, kMaxLeaderDelay);
  }

  /// How long a batch takes to be committed, smoothed.
  Millis turn() const { return m_turn; }

  /// PlanInput::step_delay: an end is committed, then a start, and the start
  /// reaches its worker.
  Millis StepDelay() const { return 2 * m_turn + m_start_time; }

  /// Whether this host's processor is what starts wait for: steps take long,
  /// and neither disks nor workers alone are the reason.
  bool IsBusy() const {
    return StepDelay() > kBusyStepDelay &&
           std::min(m_turn, m_start_time) > kBusyAnswerTime;
  }

  /// Decides whether a submitted job is accepted.
  scheduling::Admission& admission() { return m_admission; }
  /// Whether submitted jobs are to be decided on.
  bool IsAdmissionOn(const scheduling::Ledger& ledger) const;
  scheduling::JobForecast Forecast(const scheduling::JobSpec& spec,
                                   const scheduling::QueueSpec& queue) const {
    return m_planner.Forecast(spec, queue);
  }

  /// Counts the work of a refused job as demand, so that its pool grows.
  void CountRefusedDemand(const std::string& service, double work) {
    m_demand.RecordArrival(service, work, Now());
  }

  uint64_t term() const { return m_term; }
  const SchedulerStatus& scheduler_status() const { return m_scheduler_status; }

  /// Commits the record of a request in the next batch.
  ///
  /// @param done Called once, even if this leadership ends first.
  void CommitRequest(scheduling::Record record,
                     std::function<void(scheduling::CommitOutcome)> done);

  /// Confirms a read with the batch that is not handed to the log yet. Once the
  /// batch is committed in this term, no other leader can have committed
  /// anything before the read came, and the local ledger contains everything up
  /// to then.
  ///
  /// @param done Called once, even if this leadership ends first.
  /// @returns False if there is no such batch: the log must be asked instead.
  bool ConfirmWithBatch(std::function<void(bool is_sure)> done);

 private:
  using Records = std::vector<scheduling::Record>;
  using Ledger = scheduling::Ledger;
  using CommitDone = std::function<void(scheduling::CommitOutcome)>;

  SteadyTime Now() const { return m_init.timers->Now(); }
  /// The fencing token of orders to the worker's current incarnation. It is
  /// higher than those of all earlier incarnations and terms, and those from
  /// before contact was lost.
  uint64_t FenceOf(const WorkerLink& link) const {
    return m_init.mutations.is_fence_outdated
               ? 0
               : (m_term << kFenceNumberBits) +
                     std::min(link.fence_number, kMaxFenceNumber);
  }
  /// Adds the records to the next batch. `done` is called once, unless this
  /// leadership ends first.
  void Commit(Records records, CommitDone done);

  bool HoldsLeaderLease() const {
    return m_init.mutations.is_leadership_assumed ||
           m_leader_lease.IsHeld(m_init.boot_now());
  }

  /// The last time at which this host held the leader lease; now while it does.
  SteadyTime LeaderLeaseLastHeldAt() const {
    return m_init.mutations.is_leadership_assumed
               ? Now()
               : Now() - m_leader_lease.ExpiredFor(m_init.boot_now());
  }

  /// Runs an act with effects outside this process: at once while this host
  /// holds the leader lease, else in order as soon as a quorum has confirmed
  /// the lead. Acts that are still queued when this leadership ends are
  /// dropped.
  template <typename Act>
  void RunUnderLeaderLease(Act act) {
    if (m_waiting_acts.empty() && HoldsLeaderLease()) {
      act();
      return;
    }
    m_waiting_acts.push_back(std::move(act));
    ConfirmLeadership();
  }

  /// As above. An act that had to wait runs only if `is_still_due` returns true
  /// at that time.
  ///
  /// @param is_still_due Called outside of reads of the ledger, so it may read
  ///   the ledger itself.
  template <typename Act, typename IsStillDue>
  void RunUnderLeaderLease(Act act, IsStillDue is_still_due) {
    if (m_waiting_acts.empty() && HoldsLeaderLease()) {
      act();
      return;
    }
    RunUnderLeaderLease([act = std::move(act),
                         is_still_due = std::move(is_still_due)]() mutable {
      if (is_still_due()) {
        act();
      }
    });
  }
  void ConfirmLeadership();
  void OnLeadershipConfirmed(BootTime asked_at, bool is_confirmed);
  void FlushSoon();
  void PlanAndFlush();

  /// A part of each tick. It may add records to be committed.
  struct TickStep {
    Duty duty;
    void (Leadership::*run)(const Ledger& ledger, Records& records);
  };
  static const TickStep kTickSteps[];

  // leadership.cc: batches, planning, tracking of workers, runs and jobs.
  void SyncWithLedger(const Ledger& ledger, Records& records);
  void StopDueRuns(const Ledger& ledger, Records& records);
  void EndLostWorkers(const Ledger& ledger, Records& records);
  void StepMoves(const Ledger& ledger, Records&) { AdvanceMoves(ledger); }
  void ReportAndForget(const Ledger& ledger, Records& records);
  void StepOrders(const Ledger& ledger, Records&) { SendOrders(ledger); }
  void StepHolds(const Ledger&, Records&) { SendHolds(); }
  void SyncWorkers(const Ledger& ledger);
  void SyncWorker(const Ledger& ledger, const std::string& id);
  void SyncRuns(const Ledger& ledger);
  void SyncJobs(const Ledger& ledger);
  void SyncJob(const Ledger& ledger, const scheduling::Job& job);
  Millis AgeOf(const scheduling::Job& job) const;
  void MeasureLag();
  void PlanWithNextBatch();
  void PlanNow();
  void Flush();
  void CommitLapse(const Ledger& ledger,
                   const std::string& id,
                   WorkerLink& link);
  void RemoveIfSilent(const Ledger& ledger, WorkerLink& link, Records& records);
  SteadyTime NextCheck(const WorkerLink& link) const;
  void ForgetEndedJobs(const Ledger& ledger, Records& records);
  void ForgetEarlyCancels(const Ledger& ledger, Records& records);
  void Plan(const Ledger& ledger, std::vector<scheduling::RunStarted>& starts);
  void LogStarts(const std::vector<scheduling::RunStarted>& starts) const;
  void CommitStarts(const std::vector<scheduling::RunStarted>& starts);
  Eligibility EligibilityOf(const scheduling::Worker& worker,
                            const WorkerLink& link) const;
  /// Whether the worker's committed capacity agrees with a report sent since
  /// `m_reports_since`, or shortly before.
  /// @pre The link's clock is known.
  bool IsCapacityCurrent(const WorkerLink& link) const;
  /// Whether the last tick was longer ago than kMaxThreadPause.
  bool WasThreadPaused() const;
  /// Makes all workers report their capacities again.
  void DiscardReports();
  void ApplyReport(const std::string& id, WorkerLink& link);
  static bool IsReportOf(const WorkerLink& link, const ReportStamp& report);
  bool IsUsable(const scheduling::Worker& worker,
                const WorkerLink& link) const {
    return EligibilityOf(worker, link) == Eligibility::kUsable;
  }
  scheduling::WorkerStatus AssessWorker(const Ledger& ledger,
                                        const scheduling::Worker& worker) const;

  // stops.cc: which runs are to be stopped, and whether they may be.
  void RequestStop(const RunKey& key,
                   RunTrack& track,
                   StopReason reason,
                   const std::optional<StepUnavailability>& others = {});
  bool IsStopStillAllowed(const Ledger& ledger,
                          const RunKey& key,
                          const RunTrack& track) const;
  /// Why a run is to be stopped; none if it isn't.
  std::optional<StopReason> StopReasonFor(const Ledger& ledger,
                                          const RunKey& key,
                                          const RunTrack& track) const;
  bool IsStalled(const scheduling::StepSpec& step, const RunTrack& track) const;
  void CheckRunsOfJob(const Ledger& ledger, const std::string& id);
  void CheckRunsOfDrainingWorker(const Ledger& ledger,
                                 const scheduling::Worker& worker);
  void RequestDueStops(const Ledger& ledger);
  bool IsAtWork(const Ledger& ledger, const scheduling::TaskId& task) const;
  /// None if the task's step is not persistent.
  std::optional<StepUnavailability> OthersUnavailable(
      const Ledger& ledger,
      const scheduling::TaskId& task) const;
  /// Whether a task may be stopped. In a persistent step with a limit, fewer
  /// than `may_miss` other tasks must be away.
  bool MayStopTask(const Ledger& ledger, const scheduling::TaskId& task) const;

  // reports.cc: log lines that show an engineer on call what holds up jobs.
  void Report(const Ledger& ledger);
  void ReportLoad(const Ledger& ledger);
  void ReportPath();
  void ReportWork();
  void ReportWorkers(const Ledger& ledger);
  void ReportWaits(const Ledger& ledger);
  static void ReportOrganisations(const Ledger& ledger);
  void ReportShares() const;

  // orders.cc: calls to workers.
  void SendOrders(const Ledger& ledger);
  void RepeatStart(const RunKey& key, RunTrack& track, SteadyTime next_try);
  void SendStart(const Ledger& ledger, const RunKey& key, RunTrack& track);
  bool DeferForUnknownCapacity(const scheduling::Job& job,
                               const RunKey& key,
                               RunTrack& track,
                               const WorkerLink& link);
  bool IsStartStillDue(const RunKey& key, uint64_t incarnation);
  bool ExceedsWorkerCapacity(const Ledger& ledger,
                             const scheduling::Job& job,
                             const RunKey& key,
                             const RunTrack& track) const;
  bool ExceedsOrganisationCap(const Ledger& ledger,
                              const scheduling::Job& job,
                              const RunKey& key,
                              const RunTrack& track) const;
  void OnStartReply(const RunKey& key,
                    uint64_t incarnation,
                    uint64_t fence,
                    const CallReply& reply);
  void GiveUpStart(const RunKey& key, RunTrack& track);
  void SendStop(const RunKey& key, RunTrack& track);
  bool IsStopStillDue(const RunKey& key);
  void OnStopReply(const RunKey& key,
                   uint64_t incarnation,
                   const CallReply& reply);
  void SendHolds();
  void SendDueHold(const std::string& id, WorkerLink& link);
  void SendHold(const std::string& worker,
                WorkerLink& link,
                Millis wait,
                bool may_be_delayed = false);
  void OnHoldReply(const std::string& worker,
                   uint64_t incarnation,
                   SteadyTime asked_at,
                   const HoldReply& reply);
  bool CheckIncarnation(const std::string& worker,
                        WorkerLink& link,
                        const HoldReply& reply);
  void ProcessRunLists(const std::string& worker,
                       SteadyTime asked_at,
                       const HoldReply& reply);
  void EndOlderWorkersOnHost(const Ledger& ledger,
                             const std::string& worker,
                             Records& records);
  void RecordEndedRuns(const Ledger& ledger,
                       const std::string& worker,
                       const HoldReply& reply,
                       Records& records);
  /// A run that a worker lists, and its task, which the ledger knows.
  struct ListedRun {
    const RunningRun* row = nullptr;
    const scheduling::Task* task = nullptr;
    const scheduling::StepSpec* step = nullptr;
    RunTrack* track = nullptr;  ///< Null: it isn't active on the worker.
  };
  /// Valid during one read of the ledger.
  using ListedRuns = std::vector<ListedRun>;

  ListedRuns UpdateRunningRuns(const Ledger& ledger,
                               const std::string& worker,
                               const HoldReply& reply);
  void EndMissingRuns(const Ledger& ledger,
                      const std::string& worker,
                      SteadyTime asked_at,
                      const HoldReply& reply,
                      const ListedRuns& listed,
                      Records& records);
  void PaceFillingTasks(WorkerLink& link, const ListedRuns& listed);
  void SendPace(const PaceOrder& order);
  void LearnFromEndedRun(const Ledger& ledger,
                         WorkerLink& link,
                         const EndedRun& ended,
                         const RunTrack* track);
  void CommitEndedRuns(const std::string& worker,
                       uint64_t last_end,
                       Records records);
  void EndIncarnation(const WorkerIncarnation& incarnation,
                      scheduling::WorkerEndCause cause,
                      const char* why);
  void EndReplacedIncarnation(const std::string& worker);

  // crashes.cc: lost workers and their runs.
  void EndWorker(const Ledger& ledger,
                 const scheduling::Worker& worker,
                 scheduling::WorkerEndCause cause,
                 const char* why,
                 Records& records,
                 const std::string& new_life = "");
  bool IsPlannedShutdown(const scheduling::Worker& worker) const;
  bool MayHaveLeft(const Ledger& ledger,
                   const scheduling::Worker& worker) const;
  std::vector<scheduling::CrashSuspect> ClassifySuspects(
      const Ledger& ledger,
      const scheduling::Worker& worker,
      const std::vector<scheduling::LostRun>& runs,
      scheduling::LossScope scope) const;
  static void AddProvenRuns(const ListedRuns& listed, Records& records);
  template <typename Visitor>
  void VisitRuns(const Ledger& ledger,
                 const scheduling::Worker& worker,
                 Visitor visit) const;
  std::vector<scheduling::LostRun> LostRuns(
      const Ledger& ledger,
      const scheduling::Worker& worker) const;
  scheduling::LossTime LossTimeOf(const WorkerLink& link) const;
  scheduling::LossScope LossScopeOf(
      const Ledger& ledger,
      const scheduling::Worker& worker,
      const std::optional<scheduling::LossTime>& loss) const;
  void RecordCrash(const Ledger& ledger,
                   const scheduling::Worker& worker,
                   const std::vector<scheduling::LostRun>& runs,
                   const std::optional<scheduling::LossTime>& loss,
                   Records& records);
  void AddAcknowledgement(const WorkerLink& link, DecisionLine& line) const;
  void BeginIncarnation(const Ledger& ledger,
                        const std::string& worker,
                        WorkerLink& link,
                        WallTime born);
  static std::vector<scheduling::LostRun> OutlivedRuns(
      const Ledger& ledger,
      const scheduling::Worker& worker);
  void RecordPreviousCrash(const Ledger& ledger,
                           const scheduling::Worker& worker,
                           const HoldReply& reply,
                           Records& records);
  void LogSuspects(const Ledger& ledger,
                   const scheduling::WorkerCrashed& crash);
  void LogLostRuns(const Ledger& ledger,
                   const scheduling::Worker& worker,
                   const char* how) const;
  static Millis MinRunTime(const WorkerLink& link, const RunTrack& track);
  bool IsSeenAtWork(const Ledger& ledger,
                    const scheduling::Worker& worker,
                    const scheduling::TaskId& id) const;
  bool IsQuarantined(const Ledger& ledger,
                     const scheduling::Worker& worker) const;
  bool AreRunsSeenAtWork(const Ledger& ledger,
                         const scheduling::Worker& worker) const;
  HoldOrder MakeHoldOrder(WorkerLink& link, Millis wait);
  bool IsConfirmed(const WorkerLink& link) const;
  bool HasStalled() const;
  void Confirm(WorkerLink& link,
               SteadyTime asked_at,
               const HoldReply& reply) const;
  static void DoubtAfter(CallOutcome outcome, WorkerLink& link);
  void RecordReply(WorkerLink& link, const CallReply& reply);
  void ConfirmByClock(WorkerLink& link, const CallReply& reply) const;
  bool MayAcknowledge(const WorkerLink& link) const;
  void AcknowledgeAgain(const std::string& worker,
                        WorkerLink& link,
                        const HoldReply& reply);
  void SendBesideHold(const std::string& worker,
                      WorkerLink& link,
                      HoldOrder order);
  bool MayExtendLease(const WorkerLink& link) const;
  bool IsLeaseExtensionDue(const WorkerLink& link) const;
  bool IsSeparateRenewalDue(const WorkerLink& link) const;
  void RenewLease(const std::string& worker, WorkerLink& link);
  void OnLeaseRenewalReply(const std::string& worker,
                           uint64_t incarnation,
                           SteadyTime asked_at,
                           const HoldReply& reply);
  void RecordContact(WorkerLink& link,
                     std::optional<scheduling::WorkerTime> clock);
  /// Whether this thread is short of processor time, so that ticks come late.
  bool IsTickLagHigh() const { return m_tick_lag > kHighTickLag; }
  Millis OrderTimeout() const {
    return m_order_answer_time.Timeout() + LeaderDelay();
  }
  void LearnAnswerTime(const CallReply& reply) {
    if (reply.outcome < CallOutcome::kNotReached) {
      m_order_answer_time.Observe(reply.took);
    }
  }

  // waves.cc: maintenance.
  void AdvanceWaves(const Ledger& ledger, Records& records);
  /// The hosts of a wave that are under way.
  struct WaveProgress {
    std::vector<std::string> tracked;  ///< This leader drains or ordered them.
    size_t down = 0;                   ///< Hosts of the wave that may be down.
  };
  WaveProgress ProgressOf(const scheduling::WaveState& wave);
  HostMaintenance& TrackHost(const scheduling::WaveState& wave,
                             const std::string& host);
  void AdoptOrderedHosts(const scheduling::WaveState& wave);
  static bool IsDueForMaintenance(const Ledger& ledger,
                                  const std::string& host);
  size_t HostsAtOnce(const scheduling::WaveState& wave) const;
  std::map<std::string, double> PoolUtilizations() const;
  void AddPersistentTasks(const Ledger& ledger,
                          const std::set<std::string>& workers,
                          scheduling::WaveHost& host,
                          scheduling::WaveLoad& load) const;
  scheduling::WaveLoad LoadOf(const Ledger& ledger,
                              const scheduling::WaveState& wave);
  void ChooseHosts(const Ledger& ledger, const scheduling::WaveState& wave);
  /// What runs on a host that is chosen for maintenance.
  struct HostWorkload {
    bool is_empty = true;
    bool has_persistent = false;
    /// Its tasks may not leave before tasks of their step that have no place.
    bool is_leave_blocked = false;
    /// A task that may not leave now, as too many of its step are away.
    std::optional<scheduling::TaskId> kept_task;
  };
  HostWorkload DrainHost(const Ledger& ledger, const std::string& host);
  DrainGuard DrainGuardOf(const scheduling::WaveState& wave,
                          const std::string& host,
                          const scheduling::Worker* worker,
                          const HostMaintenance& track,
                          const HostWorkload& use,
                          size_t hosts_down) const;
  void LogBlockedDrain(const scheduling::WaveState& wave,
                       const std::string& host,
                       HostMaintenance& track,
                       const HostWorkload& use,
                       DrainGuard guard) const;
  void AdvanceHost(const Ledger& ledger,
                   const scheduling::WaveState& wave,
                   const std::string& host,
                   size_t& hosts_down,
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
  void AdvanceMoves(const Ledger& ledger);
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
  bool Serves(const scheduling::Worker& worker, const WorkerLink& link) const;
  Millis UpdateIdleTime(HostState& host, double busy_cores) const;
  Millis EstimateDrainTime(const Ledger& ledger,
                           const scheduling::Worker& worker) const;
  void ReportPool(const scheduling::PoolDemand& pool,
                  const std::vector<scheduling::PoolHost>& hosts) const;
  /// Cores that a service needs for present and arriving short work, for
  /// short work that is expected, and for its persistent tasks.
  struct ServiceNeed {
    double pressing = 0;  // As current, without headroom.
    double current = 0;
    double expected = 0;
    double persistent = 0;
  };
  using PoolLoads = std::map<std::string, scheduling::PoolLoad>;  // By service.
  /// @param loads Gets the open work of each service, if it is not null.
  std::map<std::string, ServiceNeed> NeededCores(const Ledger& ledger,
                                                 PoolLoads* loads) const;
  std::map<std::string, double> FloorCores(const Ledger& ledger) const;
  scheduling::PoolMoveLimits MakePoolWeights(
      const std::vector<scheduling::PoolDemand>& pools);
  size_t MaxNewMoves(const Ledger& ledger) const;
  void AdvanceMove(const Ledger& ledger,
                   const std::string& host,
                   HostMove& track);
  void OnMoved(const std::string& host, HostActOutcome outcome);
  bool IsSparePool(const Ledger& ledger, const std::string& pool) const;

  // pool_loads.cc: the load of pools, for admission.
  static void AddOpenWork(const Ledger& ledger,
                          const scheduling::Job& job,
                          const scheduling::PendingWork& pending,
                          PoolLoads& loads);
  void UpdateAdmission(const Ledger& ledger, PoolLoads loads);

  const scheduling::Worker* WorkerOn(const Ledger& ledger,
                                     const std::string& host) const;
  bool IsBeingEvacuated(const std::string& host) const {
    return m_hosts.contains(host) || m_moves.contains(host);
  }

  DispatcherInit m_init;
  scheduling::ReplicatedLog& m_log;
  const uint64_t m_term;
  const SteadyTime m_begun_at;
  // Reports sent later were received by this leader. Reset after long pauses.
  SteadyTime m_reports_since;
  DispatchCounters& m_counters;
  scheduling::LeaderLease m_leader_lease;
  bool m_is_confirming_leadership = false;
  std::deque<std::function<void()>> m_waiting_acts;
  scheduling::AnswerTime m_order_answer_time;
  scheduling::Planner m_planner;
  std::unordered_map<std::string, WorkerLink> m_links;  // By worker.
  WorkerChecks m_checks;
  std::vector<WorkerChecks::Entry*> m_due_workers;  // Used within a tick only.
  /// The newest report by worker id. It may be from an incarnation that is not
  /// in the ledger yet.
  std::unordered_map<std::string, ReportStamp> m_reports;
  /// What the next link to a removed worker's id continues from.
  struct LastIncarnation {
    uint64_t number = 0;
    uint64_t fence_number = 0;
  };
  std::unordered_map<std::string, LastIncarnation> m_last_incarnations;
  std::optional<uint64_t> m_workers_revision;  // As of m_links.
  std::optional<uint64_t> m_jobs_version;      // As of m_job_seen_at.
  // The version of the ledger's workers that m_inventory includes.
  std::optional<uint64_t> m_inventory_version;
  using Runs = std::unordered_map<RunKey, RunTrack, RunKeyHash, RunKeyEqual>;
  /// The track of a run; a new one if it has none.
  RunTrack& TrackOf(const scheduling::TaskId& task, uint32_t run);
  Runs m_runs;
  using RunKeys = std::unordered_set<RunKey, RunKeyHash, RunKeyEqual>;
  /// Runs for which something has happened that may be a reason to stop them.
  RunKeys m_runs_to_check;
  /// Runs with an order that waits to be sent again, or for the first time.
  RunKeys m_runs_to_order;
  // The version of the ledger's runs to stop that m_runs_to_check includes.
  std::optional<uint64_t> m_stops_version;
  std::deque<LostWorker> m_lost_workers;                      // Oldest first.
  std::unordered_map<std::string, SteadyTime> m_job_seen_at;  // By open job.
  std::map<std::string, SteadyTime> m_job_over_at;            // By ended job.
  /// When this leader first saw each job that has an early cancel.
  std::unordered_map<std::string, SteadyTime> m_early_cancels_seen_at;
  std::map<std::string, HostMaintenance> m_hosts;        // Under maintenance.
  std::map<std::string, DeferredHost> m_deferred_hosts;  // By service.
  std::map<std::string, HostMove> m_moves;               // By host.
  std::map<std::string, HostState> m_inventory;          // By host.
  std::set<std::pair<std::string, std::string>> m_refused_moves;
  scheduling::DemandMeter m_demand;
  scheduling::Admission m_admission;
  scheduling::PoolFloors m_pool_floors;
  /// Falling peaks of the cores that all services need, oldest first.
  std::deque<std::pair<SteadyTime, double>> m_peak_needs;
  SteadyTime m_next_demand_update{};
  SteadyTime m_next_move_choice{};
  SteadyTime m_next_host_choice{};  // Of the hosts of waves.
  SteadyTime m_next_report{};
  SteadyTime m_next_list{};
  bool m_is_listing = false;
  SteadyTime m_next_forget{};
  SteadyTime m_next_run_sync{};
  SteadyTime m_next_stops{};
  SteadyTime m_next_status{};
  SchedulerStatus m_scheduler_status;  // As in the last report lines.
  // A quarter of the time that short jobs can wait.
  static constexpr Millis kBusyStepDelay{150};
  // Longer than commits and workers' answers take on a leader with processor
  // time left.
  static constexpr Millis kBusyAnswerTime{30};
  // A lease is renewed once a third of it has passed.
  static constexpr int kLeaseRenewalDivisor = 3;
  // Above this tick lag, a third of the time between ticks, the leader makes
  // fewer and larger calls: a hold call then brings the ends of 60 ms instead
  // of a single end.
  static constexpr Millis kHighTickLag{15};
  // Two rounds of a thread's loop on a fifth of a core, which take up to 0.35 s
  // each.
  static constexpr Millis kMaxLeaderDelay{700};

  static constexpr int kEpochPauseBits = 16;

  uint64_t m_long_pauses = 0;  // Pauses above kMaxThreadPause.
  SteadyTime m_last_tick{};
  /// Answers to calls made before this may have waited for this thread.
  SteadyTime m_stalled_until{};
  Millis m_tick_lag{0};  // Smoothed.
  SteadyTime m_last_plan{};
  Millis m_plan_time{0};  // Duration of the last planning pass.
  bool m_is_plan_due = false;
  /// A plan is due and is made right before the next batch goes to the log.
  bool m_is_plan_waiting = false;
  bool m_is_flush_due = false;
  bool m_is_batch_under_way = false;
  SteadyTime m_batch_begun_at{};  // When its first record came.
  Millis m_turn{0};               // See turn().
  Millis m_start_time{0};  // From a start's order to its answer, smoothed.
  PathTimes m_path_times;  // Since the last report.
  WorkReport m_work_report;
  Records m_batch;  // To be committed together.
  std::vector<CommitDone> m_batch_done;
  // These are called even if this leadership ends first.
  std::vector<CommitDone> m_batch_requests;
  std::vector<std::function<void(bool)>> m_batch_reads;
};

}  // namespace laurelhall::dispatch
