#include <algorithm>

#include "laurelhall/base/decision_log.h"
#include "laurelhall/base/work_meter.h"
#include "leadership_p.h"

namespace laurelhall::dispatch {

using scheduling::CommitOutcome;
using scheduling::Job;
using scheduling::RunEnd;
using scheduling::Task;
using scheduling::Worker;
using scheduling::WorkerEndCause;

namespace {

// How long a hold call to an idle worker waits for a run to end. The longest
// wait that workers allow, so that an idle worker costs half a request a
// second.
constexpr Millis kIdleHoldWait{2'000};
constexpr Millis kBusyHoldWait{1'000};
// On a worker that is paced: the pacer sees each change in time, since a
// reported load covers half a second. On a worker that tests crash suspects: it
// is soon free again.
constexpr Millis kPacedHoldWait{500};
// Between two hold calls to one worker, so that runs that end at about the
// same time are reported together.
constexpr Millis kHoldInterval{60};
constexpr Millis kHoldRetryDelay{200};
// How long an answer to a hold call may take beyond the requested wait.
constexpr Millis kHoldAnswerMargin{600};
constexpr Millis kOrderRetryDelay{100};
// How long a start waits for its worker to report its capacity before its task
// is planned elsewhere.
constexpr Millis kCapacityReportTimeout{2'000};
// How long a worker gets no new work after it left an order unanswered. An
// answer to any other call ends this early: otherwise, where every worker
// leaves a few orders unanswered, all would be without work most of the time.
constexpr Millis kSuspectTime{800};
// How long a worker gets no new work after it refused a start: about the run
// time of one short task.
constexpr Millis kRefusalPause{300};
constexpr Millis kNoTicketDelay{2'000};
// A worker is doubtful once tasks of this many different jobs have failed there
// with no task done in between.
constexpr size_t kDoubtfulFailedJobs = 3;
constexpr Millis kDoubtfulTime{6'000};

const Task* FindTask(const scheduling::Ledger& ledger,
                     const scheduling::TaskId& id,
                     const Job** job) {
  *job = ledger.FindJob(id.job);
  if (*job == nullptr || !(*job)->Holds(id)) {
    return nullptr;
  }
  return &(*job)->tasks[(*job)->IndexOf(id)];
}

bool IsActiveOn(const Task& task, uint32_t run, const std::string& worker) {
  return std::any_of(task.active.begin(), task.active.end(),
                     [&](const scheduling::ActiveRun& active) {
                       return active.run == run && active.worker == worker;
                     });
}

// Compares the numbers first, which differ for most tasks of a list.
bool IsSameTask(const scheduling::TaskId& a, const scheduling::TaskId& b) {
  return a.index == b.index && a.step == b.step &&
         a.occurrence == b.occurrence && a.job == b.job;
}

template <typename Rows>
bool ContainsRun(const Rows& rows,
                 const scheduling::TaskId& task,
                 uint32_t run) {
  return std::any_of(rows.begin(), rows.end(), [&](const auto& row) {
    return row.run == run && IsSameTask(row.task, task);
  });
}

}  // namespace

void Leadership::SendOrders(const Ledger& ledger) {
  const SteadyTime now = Now();
  m_counters.run_visits += m_runs_to_order.size();
  // Sending an order may add to the runs that are left.
  for (const RunKey& key : std::exchange(m_runs_to_order, {})) {
    const auto found = m_runs.find(key);
    if (found == m_runs.end()) {
      continue;
    }
    RunTrack& track = found->second;
    const bool is_stop_due = track.is_stop_requested &&
                             !track.is_stop_acknowledged &&
                             !track.is_stop_in_flight;
    const bool is_start_due =
        track.start == StartStage::kRetry && !track.is_stop_requested;
    if (!is_stop_due && !is_start_due) {
      continue;
    }
    const bool may_send =
        now >= track.next_try &&
        (is_start_due || IsStopStillAllowed(ledger, key, track));
    if (!may_send) {
      m_runs_to_order.insert(key);
    } else if (is_start_due) {
      SendStart(ledger, key, track);
    } else {
      SendStop(key, track);
    }
  }
}

// --- Starts -----------------------------------------------------------------

void Leadership::RepeatStart(const RunKey& key,
                             RunTrack& track,
                             SteadyTime next_try) {
  track.start = StartStage::kRetry;
  track.next_try = next_try;
  m_runs_to_order.insert(key);
}

void Leadership::SendStart(const Ledger& ledger,
                           const RunKey& key,
                           RunTrack& track) {
  // The worker's lease may have lapsed, so the task may run elsewhere by now.
  if (!ledger.IsActive(key.task, key.run, track.worker)) {
    track.start = StartStage::kSettled;
    track.settled_at = Now();
    return;
  }
  const auto link = m_links.find(track.worker);
  const Job* job = ledger.FindJob(key.task.job);
  if (link == m_links.end() || job == nullptr || link->second.is_silent ||
      link->second.is_lapse_under_way || !link->second.clock.is_known()) {
    RepeatStart(key, track, Now() + kOrderRetryDelay);
    return;
  }
  if (DeferForUnknownCapacity(*job, key, track, link->second)) {
    return;
  }
  if (ExceedsWorkerCapacity(ledger, *job, key, track) ||
      ExceedsOrganisationCap(ledger, *job, key, track)) {
    GiveUpStart(key, track);
    return;
  }
  track.start = StartStage::kSending;
  track.sent_at = Now();
  StartOrder order;
  order.worker = link->second.address;
  order.task = key.task;
  order.run = key.run;
  order.payload = job->spec.payload;
  order.checkpoint = job->tasks[job->IndexOf(key.task)].checkpoint;
  order.fence = FenceOf(link->second);
  order.timeout = OrderTimeout();
  ++m_counters.starts;
  const uint64_t incarnation = link->second.number;
  const uint64_t fence = order.fence;
  const auto send = [this, key, incarnation, fence, order]() mutable {
    order.lease_end =
        m_links.at(order.worker.id).clock.Extend(LeaderLeaseLastHeldAt());
    m_init.workers->Start(
        std::move(order), [weak = weak_from_this(), key, incarnation,
                           fence](const CallReply& reply) {
          if (const auto self = weak.lock()) {
            self->LearnAnswerTime(reply);
            self->OnStartReply(key, incarnation, fence, reply);
          }
        });
  };
  RunUnderLeaderLease(send, [this, key, incarnation] {
    return IsStartStillDue(key, incarnation);
  });
}

// Called when a delayed start is about to be sent, which may be seconds after
// it was due: by then its run may be over, its task may run elsewhere, or its
// job may be cancelled. A start that is no longer due is checked again at the
// next tick.
bool Leadership::IsStartStillDue(const RunKey& key, uint64_t incarnation) {
  const auto found = m_runs.find(key);
  if (found == m_runs.end() || found->second.start != StartStage::kSending) {
    return false;
  }
  RunTrack& track = found->second;
  const auto link = m_links.find(track.worker);
  bool is_due = link != m_links.end() && link->second.number == incarnation &&
                !link->second.is_silent && !link->second.is_lapse_under_way &&
                !track.is_stop_requested;
  m_log.Read([&](const Ledger& ledger) {
    const Job* job = ledger.FindJob(key.task.job);
    is_due = is_due && job != nullptr && !job->is_over() &&
             ledger.IsActive(key.task, key.run, track.worker);
  });
  if (!is_due) {
    RepeatStart(key, track, Now());
  }
  return is_due;
}

// Whether a start is deferred, or given up after kCapacityReportTimeout, since
// its worker has not reported its capacity lately. A run that the worker
// already lists takes no further capacity.
bool Leadership::DeferForUnknownCapacity(const Job& job,
                                         const RunKey& key,
                                         RunTrack& track,
                                         const WorkerLink& link) {
  const bool takes_room =
      scheduling::ReservedResources(job.spec.steps[key.task.step]) !=
      scheduling::Resources();
  if (track.is_listed || !takes_room || IsCapacityCurrent(link)) {
    return false;
  }
  if (Now() - std::max(m_reports_since, link.first_contact) >
      kCapacityReportTimeout) {
    GiveUpStart(key, track);
    return true;
  }
  RepeatStart(key, track, Now() + kOrderRetryDelay);
  return true;
}

// Whether the worker's capacity has shrunk since the start was planned, so that
// its runs no longer fit.
bool Leadership::ExceedsWorkerCapacity(const Ledger& ledger,
                                       const Job& job,
                                       const RunKey& key,
                                       const RunTrack& track) const {
  const Worker* worker = ledger.FindWorker(track.worker);
  const scheduling::Resources need =
      scheduling::ReservedResources(job.spec.steps[key.task.step]);
  return worker != nullptr && !track.is_listed &&
         need != scheduling::Resources() &&
         !scheduling::Fits(worker->used, worker->info.capacity);
}

// Whether the organisation's cap was lowered since the start was planned and
// would now be exceeded. A planned start may take seconds to be sent.
bool Leadership::ExceedsOrganisationCap(const Ledger& ledger,
                                        const Job& job,
                                        const RunKey& key,
                                        const RunTrack& track) const {
  if (job.organisation.empty() || track.is_listed ||
      m_init.mutations.is_cap_checked_for_plans_only) {
    return false;
  }
  const scheduling::Resources& need = job.spec.steps[key.task.step].need;
  scheduling::Resources adjustment;
  // The ledger already counts this run.
  scheduling::Subtract(adjustment, need);
  return !ledger.IsWithinCapOf(job.organisation, adjustment, need);
}

void Leadership::OnStartReply(const RunKey& key,
                              uint64_t incarnation,
                              uint64_t fence,
                              const CallReply& reply) {
  const DutyTimer timer(Duty::kWorkerResult);
  const auto found = m_runs.find(key);
  if (found == m_runs.end()) {
    return;
  }
  RunTrack& track = found->second;
  const auto link = m_links.find(track.worker);
  if (link != m_links.end() && link->second.number != incarnation) {
    return;  // For an earlier incarnation; the lists of this one decide.
  }
  const auto taken = std::chrono::floor<Millis>(Now() - track.sent_at);
  m_start_time = (15 * m_start_time + taken) / 16;
  m_path_times.start.Add(taken);
  if (reply.outcome != CallOutcome::kDone) {
    DecisionLog::Get().Write(
        DecisionLine("dispatch", "start", LineClass::kTask)
            .With("task", FormatTaskId(key.task))
            .With("run", key.run)
            .With("worker", track.worker)
            .With("term", m_term)
            .With("outcome", CallOutcomeName(reply.outcome)));
  }
  if (link != m_links.end()) {
    RecordReply(link->second, reply);
  }
  switch (reply.outcome) {
    case CallOutcome::kDone:
    case CallOutcome::kOldRun:
      track.start = StartStage::kSettled;
      track.settled_at = Now();
      track.percent_since = Now();
      track.work_since = Now();
      break;
    case CallOutcome::kOtherIncarnation:
      EndReplacedIncarnation(track.worker);
      break;
    case CallOutcome::kFenced:
      // A later leader continues from the committed state, unless the fence of
      // this one was raised while the order was under way.
      if (link != m_links.end() && fence < FenceOf(link->second)) {
        RepeatStart(key, track, Now());
      }
      break;
    case CallOutcome::kUnknown:
      ++m_counters.unknown_calls;
      track.has_unanswered_start = true;
      // A listed run has started. A run whose stop was taken is barred there,
      // so a start that arrives late has no effect.
      if (!track.is_listed && !track.is_stop_acknowledged) {
        RepeatStart(key, track, Now() + kOrderRetryDelay);
      }
      if (link != m_links.end()) {
        link->second.suspect_until = Now() + kSuspectTime;
      }
      break;
    case CallOutcome::kNotReached:
      if (link != m_links.end()) {
        link->second.suspect_until = Now() + kSuspectTime;
      }
      if (track.has_unanswered_start &&
          !m_init.mutations.is_unanswered_start_forgotten) {
        // Says nothing about the earlier order, so the start is repeated unless
        // the run is listed or barred by a stop that was taken meanwhile.
        RepeatStart(key, track, Now() + kOrderRetryDelay);
        if (track.is_listed || track.is_stop_acknowledged) {
          track.start = StartStage::kSettled;
        }
      } else {
        GiveUpStart(key, track);
      }
      break;
    case CallOutcome::kNoTicket:
      // Which workers may run the job is unknown, so the job is deferred rather
      // than tried on another worker at once.
      m_planner.Defer(key.task.job, Now() + kNoTicketDelay);
      GiveUpStart(key, track);
      break;
    default:
      // The worker has less capacity than reported, or is unhealthy: others are
      // preferred.
      if (link != m_links.end()) {
        link->second.paused_until = Now() + kRefusalPause;
      }
      GiveUpStart(key, track);
      break;
  }
}

// Gives up a start that was certainly not carried out. An earlier unanswered
// start of the same run still may be, until the worker has taken a stop for it.
void Leadership::GiveUpStart(const RunKey& key, RunTrack& track) {
  if (track.is_listed) {
    return;  // The run has started; only the repeated start was refused.
  }
  if (track.has_unanswered_start &&
      !m_init.mutations.is_unanswered_start_forgotten) {
    track.start = StartStage::kBarring;
    RequestStop(key, track, StopReason::kStartNotAnswered);
    SendStop(key, track);
    return;
  }
  track.start = StartStage::kSettled;
  Commit({scheduling::RunEnded{
             key.task, key.run, track.worker, RunEnd::kLapsed, {}}},
         [this, key](CommitOutcome outcome) {
           if (outcome == CommitOutcome::kCommitted) {
             m_runs.erase(key);
           }
           PlanSoon();
         });
}

// --- Stops ------------------------------------------------------------------

void Leadership::SendStop(const RunKey& key, RunTrack& track) {
  const auto link = m_links.find(track.worker);
  if (link == m_links.end()) {
    m_runs_to_order.insert(key);
    return;
  }
  track.is_stop_in_flight = true;
  ++m_counters.stops;
  const StopOrder order{link->second.address, key.task, key.run,
                        FenceOf(link->second), OrderTimeout()};
  const auto send = [this, key, order, incarnation = link->second.number] {
    m_init.workers->Stop(order, [weak = weak_from_this(), key,
                                 incarnation](const CallReply& reply) {
      if (const auto self = weak.lock()) {
        self->LearnAnswerTime(reply);
        self->OnStopReply(key, incarnation, reply);
      }
    });
  };
  RunUnderLeaderLease(send, [this, key] { return IsStopStillDue(key); });
}

// A stop that waited for a quorum to confirm the leader may be sent seconds
// after it was due.
bool Leadership::IsStopStillDue(const RunKey& key) {
  const auto found = m_runs.find(key);
  if (found == m_runs.end()) {
    return false;  // The run is over.
  }
  RunTrack& track = found->second;
  m_log.Read([&](const Ledger& ledger) {
    track.is_stop_in_flight = IsStopStillAllowed(ledger, key, track);
  });
  if (!track.is_stop_in_flight) {
    m_runs_to_order.insert(key);
  }
  return track.is_stop_in_flight;
}

void Leadership::OnStopReply(const RunKey& key,
                             uint64_t incarnation,
                             const CallReply& reply) {
  const auto found = m_runs.find(key);
  if (found == m_runs.end()) {
    return;
  }
  RunTrack& track = found->second;
  const auto link = m_links.find(track.worker);
  if (link != m_links.end() && link->second.number != incarnation) {
    return;  // For an earlier incarnation.
  }
  track.is_stop_in_flight = false;
  m_runs_to_order.insert(key);  // Unless it is acknowledged now.
  if (link != m_links.end()) {
    RecordReply(link->second, reply);
  }
  if (reply.outcome == CallOutcome::kDone ||
      reply.outcome == CallOutcome::kOldRun) {
    track.is_stop_acknowledged = true;
    // From now on the worker lists the run as ended, or never had it.
    track.start = StartStage::kSettled;
    track.settled_at = Now();
  } else if (reply.outcome == CallOutcome::kOtherIncarnation) {
    EndReplacedIncarnation(track.worker);
  } else {
    track.next_try = Now() + kOrderRetryDelay;
  }
}

// --- Hold requests ----------------------------------------------------------

void Leadership::SendHolds() {
  for (auto* entry : m_due_workers) {
    auto& [id, link] = *entry;
    SendDueHold(id, link);
    m_checks.CheckAt(link.slot, NextCheck(link));
  }
}

void Leadership::SendDueHold(const std::string& id, WorkerLink& link) {
  const Worker& worker = *link.worker;
  if (!worker.active.empty() && IsSeparateRenewalDue(link)) {
    RenewLease(id, link);
  }
  if (link.is_hold_under_way || Now() < link.next_hold) {
    return;
  }
  Millis wait = worker.active.empty() ? kIdleHoldWait : kBusyHoldWait;
  if (!link.pacer.told.empty() || !worker.suspects.empty()) {
    wait = kPacedHoldWait;
  }
  if (IsLeaseExtensionDue(link)) {
    wait = Millis(0);  // The leader may change while the request waits.
  }
  // Runs that end by themselves may end at any time, which is to be known soon.
  const bool may_be_delayed = link.is_reached && wait > kPacedHoldWait &&
                              worker.active.size() <= worker.persistent_runs;
  SendHold(id, link, link.is_reached ? wait : Millis(0), may_be_delayed);
}

HoldOrder Leadership::MakeHoldOrder(WorkerLink& link, Millis wait) {
  HoldOrder order;
  order.worker = link.address;
  // A silent worker may still act on requests that it does not answer: its
  // lease can expire only if no request extends it.
  if (MayExtendLease(link)) {
    order.lease_end = link.clock.Extend(LeaderLeaseLastHeldAt());
    link.lease_start = LeaderLeaseLastHeldAt();
  }
  order.fence = FenceOf(link);
  // A new incarnation numbers its ended runs anew: its ends must not be
  // acknowledged by the numbers of the one before.
  order.ends_seen =
      MayAcknowledge(link) || m_init.mutations.is_incarnation_ignored
          ? link.ends_seen
          : 0;
  if (order.ends_seen > 0) {
    link.acknowledged = order.ends_seen;
    link.acknowledged_at = Now();
  }
  order.wait = wait;
  order.timeout = wait + kHoldAnswerMargin + LeaderDelay();
  return order;
}

// Whether the link's incarnation certainly still runs.
bool Leadership::IsConfirmed(const WorkerLink& link) const {
  return link.confirmed_at != SteadyTime() &&
         Now() - link.confirmed_at < kMinRestartTime;
}

// Whether a hold call may acknowledge ends now. One that waits behind another
// call to the worker may be delivered to a later incarnation.
bool Leadership::MayAcknowledge(const WorkerLink& link) const {
  return IsConfirmed(link) && !link.is_renewal_under_way;
}

// Whether this thread has not run for so long that a worker may have restarted
// after it sent an answer that is handled only now. Beyond the usual delay: a
// thread that is always late would never confirm any incarnation.
bool Leadership::HasStalled() const {
  return m_last_tick != SteadyTime() &&
         Now() - m_last_tick > kMinRestartTime + LeaderDelay();
}

// Records that an incarnation has answered a hold call. Called before the
// answer's clock is observed.
void Leadership::Confirm(WorkerLink& link,
                         SteadyTime asked_at,
                         const HoldReply& reply) const {
  // The answer may have been delayed, but it is not older than the call.
  const Millis since_call = std::chrono::floor<Millis>(Now() - asked_at);
  const Millis age =
      reply.clock ? std::min(since_call, link.clock.AgeOf(*reply.clock, Now()))
                  : Millis(0);
  const bool may_be_old = HasStalled() || asked_at < m_stalled_until ||
                          age > kMaxTransitTime + LeaderDelay();
  link.confirmed_at = may_be_old ? SteadyTime() : Now();
}

// A call that was not answered, or that another incarnation refused, shows that
// the link's incarnation may have ended.
void Leadership::DoubtAfter(CallOutcome outcome, WorkerLink& link) {
  if (outcome == CallOutcome::kOtherIncarnation ||
      outcome == CallOutcome::kNotReached || outcome == CallOutcome::kUnknown) {
    link.confirmed_at = SteadyTime();
  }
}

void Leadership::RecordReply(WorkerLink& link, const CallReply& reply) {
  DoubtAfter(reply.outcome, link);
  if (reply.outcome < CallOutcome::kOtherIncarnation) {
    ConfirmByClock(link, reply);
    RecordContact(link, reply.clock);
  }
}

// A later incarnation counts its clock anew. So an answer with the clock of
// this one shows that it still runs, and a busy worker is confirmed often.
void Leadership::ConfirmByClock(WorkerLink& link,
                                const CallReply& reply) const {
  const bool may_have_waited =
      HasStalled() || Now() - m_stalled_until <= kMaxTransitTime;
  if (!reply.clock || !link.is_reached || !link.clock.is_known() ||
      link.confirmed_at == SteadyTime() || may_have_waited) {
    return;
  }
  if (link.clock.AgeOf(*reply.clock, Now()) <=
      kMaxTransitTime + LeaderDelay()) {
    link.confirmed_at = Now();
  }
}

// Repeats an acknowledgement that the worker has not received, or that was
// withheld, while new ends are being committed. The incarnation may no longer
// be confirmed when the next hold call is due: on a busy leader, the lists
// would grow without limit.
void Leadership::AcknowledgeAgain(const std::string& worker,
                                  WorkerLink& link,
                                  const HoldReply& reply) {
  const bool is_due = std::any_of(
      reply.ended.begin(), reply.ended.end(),
      [&link](const EndedRun& end) { return end.number <= link.ends_seen; });
  if (is_due && MayAcknowledge(link)) {
    HoldOrder order = MakeHoldOrder(link, Millis(0));
    SendBesideHold(worker, link, std::move(order));
  }
}

// Whether the worker's lease may be extended. Leases count from the last moment
// at which this host was sure to lead; one of longer ago would be over already.
bool Leadership::MayExtendLease(const WorkerLink& link) const {
  return link.clock.is_known() && !link.is_silent &&
         Now() - LeaderLeaseLastHeldAt() < m_init.bounds.longest_lease;
}

bool Leadership::IsLeaseExtensionDue(const WorkerLink& link) const {
  return MayExtendLease(link) &&
         LeaderLeaseLastHeldAt() - link.lease_start >
             m_init.bounds.longest_lease / kLeaseRenewalDivisor;
}

// Whether the lease has to be renewed by a separate request. A hold call
// that waits, or whose ended runs are being committed, may delay the next one
// for seconds; the worker's lease must not expire meanwhile.
bool Leadership::IsSeparateRenewalDue(const WorkerLink& link) const {
  return link.is_hold_under_way && !link.is_renewal_under_way &&
         Now() >= link.next_renewal && IsLeaseExtensionDue(link);
}

// Acknowledges nothing: it may wait behind the hold call in flight.
void Leadership::RenewLease(const std::string& worker, WorkerLink& link) {
  link.is_renewal_under_way = true;
  link.next_renewal = Now() + kHoldRetryDelay;
  SendBesideHold(worker, link, MakeHoldOrder(link, Millis(0)));
}

void Leadership::SendBesideHold(const std::string& worker,
                                WorkerLink& link,
                                HoldOrder order) {
  link.is_renewal_under_way = true;
  ++m_counters.holds;
  m_init.workers->Hold(
      std::move(order),
      [weak = weak_from_this(), worker, incarnation = link.number,
       asked_at = Now()](const HoldReply& reply) {
        if (const auto self = weak.lock()) {
          self->OnLeaseRenewalReply(worker, incarnation, asked_at, reply);
        }
      });
}

// Ignores the lists in the reply: the hold call in flight handles them.
void Leadership::OnLeaseRenewalReply(const std::string& worker,
                                     uint64_t incarnation,
                                     SteadyTime asked_at,
                                     const HoldReply& reply) {
  const auto found = m_links.find(worker);
  if (found == m_links.end() || found->second.number != incarnation) {
    return;
  }
  WorkerLink& link = found->second;
  m_checks.CheckSoon(link.slot);
  link.is_renewal_under_way = false;
  DoubtAfter(reply.outcome, link);
  if (reply.outcome == CallOutcome::kOtherIncarnation) {
    EndReplacedIncarnation(worker);
  } else if (reply.outcome == CallOutcome::kDone && reply.born == link.born) {
    Confirm(link, asked_at, reply);
    RecordContact(link, reply.clock);
  }
}

void Leadership::SendHold(const std::string& worker,
                          WorkerLink& link,
                          Millis wait,
                          bool may_be_delayed) {
  link.is_hold_under_way = true;
  HoldOrder order = MakeHoldOrder(link, wait);
  order.may_be_delayed = may_be_delayed;
  ++m_counters.holds;
  // Sent even while this host is not sure to lead: otherwise all leases would
  // expire whenever a quorum is slow to confirm it. This is safe: a worker that
  // knows a later leader refuses the request, the ends that it acknowledges are
  // committed, and the next leader allows for the lease that it grants.
  m_init.workers->Hold(
      std::move(order),
      [weak = weak_from_this(), worker, incarnation = link.number,
       asked_at = Now()](const HoldReply& reply) {
        if (const auto self = weak.lock()) {
          self->OnHoldReply(worker, incarnation, asked_at, reply);
        }
      });
}

void Leadership::RecordContact(WorkerLink& link,
                               std::optional<scheduling::WorkerTime> clock) {
  m_checks.CheckSoon(link.slot);  // Its lease may lapse earlier than known.
  link.last_contact = Now();
  link.lost_at = SteadyTime();
  link.suspect_until = SteadyTime();
  if (clock) {
    if (!link.clock.is_known()) {
      link.clock_at_reports_since =
          *clock - std::chrono::floor<Millis>(Now() - m_reports_since);
    }
    link.clock.Observe(*clock, Now());
  }
}

// Whether the reply is from the known incarnation, or the first one that is
// known. Switches to a later incarnation, and then returns false.
bool Leadership::CheckIncarnation(const std::string& worker,
                                  WorkerLink& link,
                                  const HoldReply& reply) {
  if (reply.born == WallTime() || reply.born == link.born ||
      m_init.mutations.is_incarnation_ignored) {
    return true;
  }
  if (reply.born < link.born) {
    link.next_hold = Now() + kHoldRetryDelay;
    return false;
  }
  const bool is_new = link.born != WallTime();
  if (is_new) {
    m_log.Read([&](const Ledger& ledger) {
      BeginIncarnation(ledger, worker, link, reply.born);
    });
  }
  link.born = reply.born;
  Commit({scheduling::WorkerRestarted{worker, reply.born}},
         [this](CommitOutcome) { PlanSoon(); });
  return !is_new;
}

void Leadership::OnHoldReply(const std::string& worker,
                             uint64_t incarnation,
                             SteadyTime asked_at,
                             const HoldReply& reply) {
  const DutyTimer timer(Duty::kWorkerResult);
  const auto found = m_links.find(worker);
  if (found == m_links.end() || found->second.number != incarnation) {
    return;
  }
  WorkerLink& link = found->second;
  m_checks.CheckSoon(link.slot);
  link.is_hold_under_way = false;
  DoubtAfter(reply.outcome, link);
  if (reply.outcome == CallOutcome::kOtherIncarnation) {
    EndReplacedIncarnation(worker);
    return;
  }
  if (reply.outcome != CallOutcome::kDone) {
    if (link.lost_at == SteadyTime()) {
      link.lost_at = Now();
      ++link.fence_number;
    }
    link.is_silent = true;
    link.next_hold = Now() + kHoldRetryDelay;
    return;
  }
  if (!CheckIncarnation(worker, link, reply)) {
    return;
  }
  Confirm(link, asked_at, reply);
  RecordContact(link, reply.clock);
  if (!link.is_restart_unassessed) {
    link.lapsed_runs.clear();  // The worker has not crashed.
  }
  link.last_listed = Now();
  link.is_silent = false;
  link.is_lapsed = false;
  if (!link.is_reached) {
    link.is_reached = true;
    link.first_contact = Now();
    DecisionLog::Get().Write(
        DecisionLine("dispatch", "worker-reached")
            .With("worker", worker)
            .With("address", link.address.address)
            .With("born_ms", reply.born.time_since_epoch().count())
            .With("running", static_cast<int64_t>(reply.running.size()))
            .With("ended", static_cast<int64_t>(reply.ended.size())));
  }
  link.next_hold = Now() + kHoldInterval;
  ProcessRunLists(worker, asked_at, reply);
}

void Leadership::ProcessRunLists(const std::string& worker,
                                 SteadyTime asked_at,
                                 const HoldReply& reply) {
  Records records;
  m_log.Read([&](const Ledger& ledger) {
    SyncWorkers(ledger);
    if (!m_links.contains(worker)) {
      return;  // This incarnation has ended meanwhile.
    }
    RecordEndedRuns(ledger, worker, reply, records);
    const ListedRuns listed = UpdateRunningRuns(ledger, worker, reply);
    AddProvenRuns(listed, records);
    if (!reply.may_omit_ends) {
      EndMissingRuns(ledger, worker, asked_at, reply, listed, records);
    }
    PaceFillingTasks(m_links.at(worker), listed);
    EndOlderWorkersOnHost(ledger, worker, records);
  });
  if (!m_links.contains(worker)) {
    return;
  }
  WorkerLink& link = m_links.at(worker);
  uint64_t last_end = link.ends_seen;
  for (const EndedRun& ended : reply.ended) {
    last_end = std::max(last_end, ended.number);
  }
  // A list without new ends is not asked for again at once: the acknowledgement
  // of those that it has must reach the worker first.
  link.has_more_ends = reply.may_omit_ends && last_end > link.ends_seen;
  link.lists_ends = !reply.ended.empty();
  if (!records.empty()) {
    AcknowledgeAgain(worker, link, reply);
  }
  CommitEndedRuns(worker, last_end, std::move(records));
}

// A host runs one worker at a time: earlier workers on the same host that have
// not answered since this one was first reached are ended.
void Leadership::EndOlderWorkersOnHost(const Ledger& ledger,
                                       const std::string& worker,
                                       Records& records) {
  const Worker* self = ledger.FindWorker(worker);
  if (self == nullptr) {
    return;
  }
  for (const std::string& id : ledger.WorkersOn(self->info.host)) {
    WorkerLink& link = m_links.at(id);
    if (id == worker || link.is_removal_under_way ||
        link.last_contact >= m_links.at(worker).first_contact) {
      continue;
    }
    EndWorker(ledger, *ledger.FindWorker(id), WorkerEndCause::kReplaced,
              "another worker runs on its host", records, worker);
  }
}

void Leadership::RecordEndedRuns(const Ledger& ledger,
                                 const std::string& worker,
                                 const HoldReply& reply,
                                 Records& records) {
  for (const EndedRun& ended : reply.ended) {
    const Job* job = nullptr;
    const Task* task = FindTask(ledger, ended.task, &job);
    const bool is_late_success = task != nullptr &&
                                 ended.end == RunEnd::kDone && !task->is_done &&
                                 task->last_run == ended.run;
    if (task == nullptr ||
        (!is_late_success && !ledger.IsActive(ended.task, ended.run, worker))) {
      continue;
    }
    const auto track = m_runs.find(RunRef{ended.task, ended.run});
    LearnFromEndedRun(ledger, m_links.at(worker), ended,
                      track == m_runs.end() ? nullptr : &track->second);
    ++m_counters.ends;
    records.emplace_back(scheduling::RunEnded{ended.task, ended.run, worker,
                                              ended.end, ended.checkpoint});
    if (ended.end != RunEnd::kDone) {
      DecisionLog::Get().Write(DecisionLine("dispatch", "end", LineClass::kTask)
                                   .With("task", FormatTaskId(ended.task))
                                   .With("run", ended.run)
                                   .With("worker", worker)
                                   .With("how", RunEndName(ended.end))
                                   .With("number", ended.number));
    }
  }
}

// Updates the worker's failure count and the run times learned for the queue.
void Leadership::LearnFromEndedRun(const Ledger& ledger,
                                   WorkerLink& link,
                                   const EndedRun& ended,
                                   const RunTrack* track) {
  const Job* job = nullptr;
  FindTask(ledger, ended.task, &job);
  if (ended.end == RunEnd::kDone) {
    link.failed_jobs.clear();
    if (track != nullptr && track->begun_at != SteadyTime() &&
        ended.checkpoint.empty()) {
      m_planner.Learn(job->queue, job->spec.steps[ended.task.step].estimate,
                      std::chrono::floor<Millis>(Now() - track->begun_at));
    }
  } else if (ended.end == RunEnd::kFailed) {
    link.failed_jobs.insert(ended.task.job);
    if (link.failed_jobs.size() >= kDoubtfulFailedJobs) {
      link.doubtful_until = Now() + kDoubtfulTime;
    }
  }
}

Leadership::ListedRuns Leadership::UpdateRunningRuns(const Ledger& ledger,
                                                     const std::string& worker,
                                                     const HoldReply& reply) {
  const SteadyTime now = Now();
  ListedRuns listed;
  listed.reserve(reply.running.size());
  for (const RunningRun& running : reply.running) {
    const Job* job = nullptr;
    const Task* task = FindTask(ledger, running.task, &job);
    if (task != nullptr) {
      listed.push_back({&running, task, &job->spec.steps[running.task.step]});
    }
    if (task == nullptr || !IsActiveOn(*task, running.run, worker)) {
      DecisionLog::Get().Write(
          DecisionLine("dispatch", "stop", LineClass::kTask)
              .With("task", FormatTaskId(running.task))
              .With("run", running.run)
              .With("worker", worker)
              .With("why", "not-known"));
      // A lost stop is sent again after the next hold call.
      RunUnderLeaderLease(
          [this, order = StopOrder{m_links.at(worker).address, running.task,
                                   running.run, FenceOf(m_links.at(worker)),
                                   OrderTimeout()}] {
            m_init.workers->Stop(order, [](const CallReply&) {});
          });
      continue;
    }
    RunTrack& track = TrackOf(running.task, running.run);
    listed.back().track = &track;
    track.worker = worker;
    track.start = StartStage::kSettled;
    if (!track.is_listed || track.percent != running.percent) {
      track.percent = running.percent;
      track.percent_since = now;
    } else if (IsStalled(*listed.back().step, track)) {
      m_runs_to_check.insert({running.task, running.run});
    }
    if (track.work_since == SteadyTime()) {
      track.work_since = now;
    }
    track.work_until = now;
    track.is_listed = true;
  }
  return listed;
}

// Ends the runs that the worker took or barred and that the answer to a later
// hold call does not list. An unlisted run of an earlier leader may never
// have been sent, so its start is sent again.
void Leadership::EndMissingRuns(const Ledger& ledger,
                                const std::string& worker,
                                SteadyTime asked_at,
                                const HoldReply& reply,
                                const ListedRuns& listed,
                                Records& records) {
  const Worker* known = ledger.FindWorker(worker);
  if (known == nullptr) {
    return;
  }
  RecordPreviousCrash(ledger, *known, reply, records);
  const auto is_listed = [&listed](const scheduling::TaskId& id) {
    return std::any_of(listed.begin(), listed.end(), [&](const auto& run) {
      return run.track != nullptr && run.task->active.size() == 1 &&
             IsSameTask(run.row->task, id);
    });
  };
  for (const scheduling::TaskId& id : known->active) {
    if (is_listed(id)) {
      continue;  // By its only run.
    }
    const Job& job = *ledger.FindJob(id.job);
    for (const auto& active : job.tasks[job.IndexOf(id)].active) {
      if (active.worker != worker ||
          ContainsRun(reply.running, id, active.run) ||
          ContainsRun(reply.ended, id, active.run)) {
        continue;
      }
      RunTrack& track = TrackOf(id, active.run);
      if (track.start == StartStage::kUncertain &&
          active.is_of_earlier_incarnation) {
        // Started in an earlier incarnation, whose orders the fence of this one
        // rules out for good.
        track.worker = worker;
        track.start = StartStage::kSettled;
        track.settled_at = SteadyTime();
      }
      if (track.start == StartStage::kUncertain) {
        track.worker = worker;
        track.has_unanswered_start = true;
        RepeatStart({id, active.run}, track, track.next_try);
      } else if (track.start == StartStage::kSettled &&
                 asked_at > track.settled_at) {
        records.emplace_back(
            scheduling::RunEnded{id, active.run, worker, RunEnd::kLapsed, {}});
        DecisionLog::Get().Write(
            DecisionLine("dispatch", "end", LineClass::kTask)
                .With("task", FormatTaskId(id))
                .With("run", active.run)
                .With("worker", worker)
                .With("how", "not-listed")
                .With("ends_seen", m_links.at(worker).ends_seen)
                .With("born_ms", reply.born.time_since_epoch().count())
                .With("seen_at_work_ms", track.SeenAtWork()));
      }
    }
  }
}

void Leadership::PaceFillingTasks(WorkerLink& link, const ListedRuns& listed) {
  double worst = 0;
  std::vector<const RunningRun*> filling;
  for (const ListedRun& run : listed) {
    if (run.step->target_tail_latency > Millis(0)) {
      worst = std::max(worst, static_cast<double>(run.row->figure) /
                                  static_cast<double>(
                                      run.step->target_tail_latency.count()));
    }
    if (run.step->is_best_effort) {
      filling.push_back(run.row);
    }
  }
  if (filling.empty()) {
    link.pacer.told.clear();
    return;
  }
  if (m_init.mechanisms.Has(scheduling::Mechanism::kPacing)) {
    link.pacer.Observe(worst, Now());
  }
  for (const RunningRun* running : filling) {
    uint32_t& told =
        link.pacer.told.try_emplace({running->task, running->run}, 100)
            .first->second;
    if (told == link.pacer.percent()) {
      continue;
    }
    const uint32_t percent = link.pacer.percent();
    told = percent;
    DecisionLog::Get().Write(
        DecisionLine("dispatch", "pace", LineClass::kTask)
            .With("task", FormatTaskId(running->task))
            .With("worker", link.address.id)
            .With("percent", percent)
            .With("worst_tail_percent", static_cast<int64_t>(worst * 100)));
    RunUnderLeaderLease(
        [this, order = PaceOrder{link.address, running->task, running->run,
                                 percent, FenceOf(link), OrderTimeout()}] {
          SendPace(order);
        });
  }
}

void Leadership::SendPace(const PaceOrder& order) {
  m_init.workers->Pace(
      order, [weak = weak_from_this(), worker = order.worker.id,
              key = std::pair(order.task, order.run)](const CallReply& reply) {
        const auto self = weak.lock();
        if (self == nullptr || reply.outcome == CallOutcome::kDone) {
          return;
        }
        // Sent again after the next hold call.
        const auto link = self->m_links.find(worker);
        if (link != self->m_links.end() &&
            link->second.pacer.told.contains(key)) {
          link->second.pacer.told[key] = UINT32_MAX;
        }
      });
}

// An ended run is acknowledged to its worker only once it is committed:
// otherwise the next leader would start a finished task again.
void Leadership::CommitEndedRuns(const std::string& worker,
                                 uint64_t last_end,
                                 Records records) {
  if (records.empty()) {
    WorkerLink& link = m_links.at(worker);
    link.ends_seen = last_end;
    if (link.is_awaiting_first_list) {
      link.is_awaiting_first_list = false;
      PlanSoon();
    }
    if (link.has_more_ends) {
      SendHold(worker, link, Millis(0));
    } else if (link.lists_ends && IsTickLagHigh()) {
      // Now, since the incarnation is confirmed: by the next tick it is not.
      SendHold(worker, link, kBusyHoldWait);
    }
    return;
  }
  WorkerLink& link = m_links.at(worker);
  if (m_init.mutations.is_end_acknowledged_early) {
    link.ends_seen = last_end;
    SendHold(worker, link, Millis(0));
  }
  // No hold call until the commit: it would report the same runs again.
  link.is_hold_under_way = true;
  std::vector<RunKey> ended;
  for (const scheduling::Record& record : records) {
    if (const auto* end = std::get_if<scheduling::RunEnded>(&record)) {
      ended.push_back({end->task, end->run});
    }
  }
  Commit(std::move(records), [this, worker, last_end, incarnation = link.number,
                              ended = std::move(ended)](CommitOutcome outcome) {
    const auto found = m_links.find(worker);
    if (outcome == CommitOutcome::kCommitted) {
      for (const RunKey& key : ended) {
        m_runs.erase(key);
      }
    }
    if (found != m_links.end() && found->second.number == incarnation) {
      WorkerLink& link = found->second;
      m_checks.CheckSoon(link.slot);
      link.is_hold_under_way = false;
      link.is_awaiting_first_list = false;
      // With the mutation, a hold call is in flight already.
      const bool is_hold_sent = m_init.mutations.is_end_acknowledged_early;
      if (outcome == CommitOutcome::kCommitted && !is_hold_sent) {
        link.ends_seen = std::max(link.ends_seen, last_end);
        if (link.has_more_ends) {
          SendHold(worker, link, Millis(0));
        } else if (IsTickLagHigh() && !MayAcknowledge(link)) {
          // Meanwhile more runs end, and one request collects them all.
          link.next_hold = Now() + kHoldInterval;
        } else {
          SendHold(worker, link, kBusyHoldWait);
        }
      }
    }
    PlanSoon();
  });
}

void Leadership::EndIncarnation(const WorkerIncarnation& incarnation,
                                WorkerEndCause cause,
                                const char* why) {
  Records records;
  m_log.Read([&](const Ledger& ledger) {
    SyncWorkers(ledger);
    const auto link = m_links.find(incarnation.id);
    const Worker* worker = ledger.FindWorker(incarnation.id);
    if (link != m_links.end() && !link->second.is_removal_under_way &&
        worker != nullptr && incarnation.IsSame(*worker)) {
      EndWorker(ledger, *worker, cause, why, records);
    }
  });
  if (!records.empty()) {
    Commit(std::move(records), [this](CommitOutcome) { PlanSoon(); });
  }
}

void Leadership::EndReplacedIncarnation(const std::string& worker) {
  const auto link = m_links.find(worker);
  if (link != m_links.end()) {
    EndIncarnation({worker, link->second.born}, WorkerEndCause::kReplaced,
                   "another incarnation answers");
  }
}

}  // namespace laurelhall::dispatch
