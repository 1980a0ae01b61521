#include "laurelhall/dispatch/dispatcher.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <utility>

#include "hand_ins_p.h"
#include "laurelhall/base/decision_log.h"
#include "laurelhall/base/work_meter.h"
#include "leadership_p.h"
#include "relay_pool_p.h"

namespace laurelhall::dispatch {

using scheduling::CommitOutcome;
using scheduling::Ledger;

namespace {

constexpr Millis kLogFlush{100};
// Minimum time between two rounds that confirm with a quorum that this host
// still leads. A round costs each control host two messages. The pause delays a
// read by at most a tenth of the interval at which callers poll.
constexpr Millis kConfirmPause{40};
// How long a follower answers a worker's repeated announcement itself before it
// refers the worker to the leader again: a third of the time after which a
// leader considers a silent worker gone.
constexpr Millis kLocalAnswerPeriod{5'000};
// Retry delay sent to a caller that could not be served: about the duration of
// an election.
constexpr Millis kRetryAfter{700};
// Interval at which announcements are forwarded to the leader; the longest that
// a new leader waits to learn of the workers that other hosts know.
constexpr Millis kForwardPeriod{200};
// Forwarding is tried again after this time without an answer, as the leader
// may have changed.
constexpr Millis kForwardRetry{500};
// Timeout of a forwarding request, the same as a relay's: a request that timed
// out sooner would close the connection that both share.
constexpr Millis kForwardCallTimeout{1'500};
// Announcements per message, so that the leader's thread can do other work
// between two messages.
constexpr size_t kMaxForwarded = 500;
// Announcements older than this are of no use to a new leader.
constexpr Millis kForwardMaxAge{3'000};
// After this time without an answer of a leader this host may be cut off.
constexpr Millis kCutOffTimeout{2'000};
constexpr Millis kAdmissionLogPeriod{1'000};
// Digits of a key's fingerprint in a log line, enough to distinguish keys.
constexpr size_t kLoggedKeyDigits = 12;

Reply Unavailable() {
  Reply reply;
  reply.outcome = Outcome::kUnavailable;
  reply.retry_after = kRetryAfter;
  return reply;
}

Reply MakeReply(Outcome outcome) {
  Reply reply;
  reply.outcome = outcome;
  return reply;
}

Reply ReplyOf(Outcome outcome) {
  return outcome == Outcome::kUnavailable ? Unavailable() : MakeReply(outcome);
}

Reply CommitReply(CommitOutcome outcome) {
  switch (outcome) {
    case CommitOutcome::kCommitted:
      return MakeReply(Outcome::kOk);
    case CommitOutcome::kRefused:
      return Unavailable();
    default:
      return MakeReply(Outcome::kUnknown);
  }
}

}  // namespace

class Dispatcher::Impl : public std::enable_shared_from_this<Impl> {
 public:
  explicit Impl(const DispatcherInit& init)
      : m_init(init),
        m_relays(RelayBoundsOf(init),
                 init.mutations,
                 *init.timers,
                 *init.workers) {}

  void Start() {
    m_tick = m_init.timers->SubscribeEvery(
        kDispatchTick, [weak = weak_from_this()](SteadyTime) {
          const auto self = weak.lock();
          if (self != nullptr) {
            self->Tick();
          }
        });
    m_flush = m_init.timers->SubscribeEvery(
        kLogFlush, [](SteadyTime) { DecisionLog::Get().Flush(); });
  }

  void Stop() {
    m_init.timers->Cancel(m_tick);
    m_init.timers->Cancel(m_flush);
  }

  void Attach(scheduling::ReplicatedLog& log) { m_log = &log; }

  void Post(std::function<void(Impl&)> task) {
    m_init.post([weak = weak_from_this(), task = std::move(task)] {
      if (const auto self = weak.lock()) {
        task(*self);
      }
    });
  }

  void OnLeadershipGained(uint64_t term) {
    DecisionLog::Get().Write(
        DecisionLine("dispatch", "leads").With("term", term));
    m_relays.Begin(term);
    m_rates = {};
    m_hand_ins->Clear();
    DispatcherInit init = m_init;
    init.workers = &m_relays;
    m_leadership = std::make_shared<Leadership>(init, *m_log, term, m_counters);
    m_is_leading = true;
    m_leadership->Tick();
    ApplyAnnouncements();
    PublishCounters();
  }

  void OnLeadershipLost() {
    if (m_leadership != nullptr) {
      DecisionLog::Get().Write(DecisionLine("dispatch", "leads-no-more")
                                   .With("term", m_leadership->term()));
    }
    m_leadership.reset();
    m_relays.Clear();
    m_is_leading = false;
    PublishCounters();
  }

  void Ask(Request request, const ReplyDone& done) {
    const DutyTimer timer(Duty::kRequest);
    const auto* announced = std::get_if<AnnounceWorker>(&request);
    if (announced != nullptr) {
      RecordAnnouncement(*announced);
    }
    if (m_leadership == nullptr) {
      const bool is_answered =
          announced != nullptr && IsKnownRepeat(*announced);
      done(is_answered ? MakeReply(Outcome::kOk) : Unavailable());
      return;
    }
    std::visit([&](auto& known) { Run(known, done); }, request);
  }

  bool is_leading() const { return m_is_leading; }

  DispatchCounters counters() const {
    const std::lock_guard lock(m_counters_mutex);
    return m_published;
  }

  SchedulerStatus scheduler_status() const {
    const std::lock_guard lock(m_counters_mutex);
    return m_published_status;
  }

 private:
  void Tick() {
    if (m_leadership != nullptr) {
      // Kept alive during the calls, which may end the leadership.
      const auto leadership = m_leadership;
      m_relays.Tick(leadership->turn(), leadership->LeaderDelay());
      leadership->Tick();
      LogAdmission();
      PublishCounters();
    } else {
      ForwardToLeader();
    }
  }

  void PublishCounters() {
    const std::lock_guard lock(m_counters_mutex);
    m_published = m_counters;
    if (m_leadership != nullptr) {
      m_published_status = m_leadership->scheduler_status();
      m_published_status.relays = m_relays.relays();
    } else {
      m_published_status.Clear();
    }
  }

  void PlanSoon() {
    if (m_leadership != nullptr) {
      m_leadership->PlanSoon();
    }
  }

  void Commit(scheduling::Record record, const ReplyDone& done) {
    m_leadership->CommitRequest(
        std::move(record),
        [weak = weak_from_this(), done](CommitOutcome outcome) {
          done(CommitReply(outcome));
          if (const auto self = weak.lock()) {
            self->PlanSoon();
          }
        });
  }

  // Reads the ledger after a quorum has confirmed that no newer state is
  // committed elsewhere. Reads that arrive during a confirmation share the next
  // one.
  void ReadConfirmed(std::function<Reply(const Ledger&)> read,
                     const ReplyDone& done) {
    auto confirmed = [weak = weak_from_this(), read = std::move(read),
                      done](bool is_lead_confirmed) {
      const auto self = weak.lock();
      if (self == nullptr || !is_lead_confirmed) {
        done(Unavailable());
        return;
      }
      Reply reply;
      self->m_log->Read([&](const Ledger& ledger) { reply = read(ledger); });
      done(reply);
    };
    // Committing a waiting batch confirms the leadership as well.
    if (m_leadership != nullptr && m_leadership->ConfirmWithBatch(confirmed)) {
      return;
    }
    m_to_confirm.push_back(std::move(confirmed));
    if (!m_is_confirming) {
      ConfirmSoon();
    }
  }

  // Confirms at once, or kConfirmPause after the last confirmation, as each one
  // sends messages to all control hosts.
  void ConfirmSoon() {
    m_is_confirming = true;
    const SteadyTime now = m_init.timers->Now();
    if (now >= m_next_confirm) {
      Confirm();
      return;
    }
    m_init.timers->SubscribeOnce(
        std::chrono::ceil<Millis>(m_next_confirm - now),
        [weak = weak_from_this()](SteadyTime) {
          if (const auto self = weak.lock()) {
            self->Confirm();
          }
        });
  }

  void Confirm() {
    m_next_confirm = m_init.timers->Now() + kConfirmPause;
    auto waiting = std::make_shared<std::vector<std::function<void(bool)>>>(
        std::exchange(m_to_confirm, {}));
    m_log->Confirm([weak = weak_from_this(), post = m_init.post,
                    waiting](bool is_lead_confirmed) {
      post([weak, waiting, is_lead_confirmed] {
        const auto self = weak.lock();
        if (self == nullptr) {
          return;
        }
        self->m_is_confirming = false;
        for (const auto& reader : *waiting) {
          reader(is_lead_confirmed);
        }
        if (!self->m_to_confirm.empty() && !self->m_is_confirming) {
          self->ConfirmSoon();
        }
      });
    });
  }

  // Whether a queue accepts a caller's requests, by this host's configuration:
  // kOk, kNoQueue, kNoAccess, or kUnavailable before the first configuration.
  struct Admission {
    Outcome outcome = Outcome::kUnavailable;
    // With kOk and kNoAccess. Valid during the read of the ledger.
    const scheduling::QueueSpec* queue = nullptr;
    std::string organisation;
  };

  template <typename Asked>
  static Admission Admit(const Ledger& ledger, const Asked& request) {
    const auto& configuration = ledger.configuration();
    if (configuration.version == 0) {
      return {};
    }
    const auto* queue = FindQueue(configuration, request.host, request.path);
    if (queue == nullptr) {
      return {Outcome::kNoQueue};
    }
    scheduling::Access access = ledger.keys().Check(queue->name, request.key);
    return {access.is_granted ? Outcome::kOk : Outcome::kNoAccess, queue,
            std::move(access.organisation)};
  }

  // Refuses a request only after a confirmed read: a newer configuration may
  // have the queue or the key that this host's configuration lacks.
  template <typename Asked>
  void RefuseConfirmed(const Asked& request, const ReplyDone& done) {
    ReadConfirmed(
        [host = request.host, path = request.path, id = request.id,
         key = request.key](const Ledger& ledger) {
          const Admission admission =
              Admit(ledger, CountWaiting{host, path, key});
          if (admission.outcome == Outcome::kNoAccess) {
            LogNoAccess(ledger, *admission.queue, key, id);
          }
          // The queue accepts it by now: the caller is told to retry.
          return admission.outcome == Outcome::kOk ? Unavailable()
                                                   : ReplyOf(admission.outcome);
        },
        done);
  }

  static void LogNoAccess(const Ledger& ledger,
                          const scheduling::QueueSpec& queue,
                          const std::string& key,
                          const std::string& job = "") {
    DecisionLog::Get().Write(
        DecisionLine("dispatch", "no-access", LineClass::kRequest)
            .With("job", job)
            .With("queue", queue.name)
            .With("version", ledger.configuration().version)
            .With("key",
                  key.empty() ? "none" : key.substr(0, kLoggedKeyDigits)));
  }

  // Finds a job that the caller may see: one of the caller's organisation, or
  // one of no organisation, which everyone with access to the queue may see.
  static const scheduling::Job* FindOwnJob(const Ledger& ledger,
                                           const std::string& id,
                                           const std::string& organisation) {
    const scheduling::Job* job = ledger.FindJob(id);
    return job != nullptr && job->IsOpenTo(organisation) ? job : nullptr;
  }

  // Before the first configuration, any service counts as configured.
  static bool HasService(const Ledger& ledger, const std::string& name) {
    const auto& configuration = ledger.configuration();
    return configuration.version == 0 ||
           std::any_of(
               configuration.services.begin(), configuration.services.end(),
               [&name](const auto& service) { return service.name == name; });
  }

  static Reply JobReply(const Ledger& ledger, const GetJob& request) {
    const Admission admission = Admit(ledger, request);
    if (admission.outcome != Outcome::kOk) {
      return ReplyOf(admission.outcome);
    }
    const scheduling::Job* job =
        FindOwnJob(ledger, request.id, admission.organisation);
    Reply reply = MakeReply(job == nullptr ? Outcome::kNoJob : Outcome::kOk);
    if (job != nullptr) {
      reply.job_state = job->state;
    }
    return reply;
  }

  // The outcome of a submission by the ledger.
  struct Judgement {
    Outcome outcome = Outcome::kUnavailable;  // As in Admission.
    std::string organisation;
    std::string queue;
    std::string service;
    bool is_known = false;
    bool is_own = false;              // With is_known.
    bool is_cancelled_early = false;  // It will not run, so it needs no room.
    double promised_rate = 0;
    bool is_admission_on = false;
    scheduling::JobForecast forecast;  // With is_admission_on.
  };

  Judgement Judge(const SubmitJob& request) const {
    Judgement judged;
    m_log->Read([&](const Ledger& ledger) {
      Admission admission = Admit(ledger, request);
      judged.outcome = admission.outcome;
      judged.organisation = std::move(admission.organisation);
      if (admission.queue != nullptr) {
        judged.queue = admission.queue->name;
        judged.service = admission.queue->service;
      }
      judged.is_known = ledger.FindJob(request.id) != nullptr;
      judged.is_own =
          FindOwnJob(ledger, request.id, judged.organisation) != nullptr;
      const auto* spec = ledger.keys().Find(judged.organisation);
      judged.promised_rate = spec == nullptr ? 0 : spec->weight;
      judged.is_cancelled_early =
          ledger.IsCancelledEarly(request.id, judged.organisation);
      judged.is_admission_on = judged.outcome == Outcome::kOk &&
                               !judged.is_cancelled_early &&
                               m_leadership->IsAdmissionOn(ledger);
      if (judged.is_admission_on) {
        judged.forecast =
            m_leadership->Forecast(request.spec, *admission.queue);
      }
    });
    return judged;
  }

  // A submission that its entry host repeats gets the outcome of the first one,
  // also if its key or queue was removed between the two: its caller must not
  // get a refusal for a job that runs. A caller that sends it again is judged
  // by the configuration in force, as its entry host may have shown that
  // already.
  bool AnswerRepeat(const Judgement& judged,
                    HandIns::Found found,
                    const ReplyDone& done) {
    const bool is_accepted = judged.outcome == Outcome::kOk;
    switch (found) {
      case HandIns::Found::kJoined:
        return true;
      case HandIns::Found::kAccepted:
        done(MakeReply(Outcome::kOk));
        return true;
      case HandIns::Found::kUnknown:
        if (!is_accepted) {
          done(MakeReply(judged.is_known ? Outcome::kOk : Outcome::kUnknown));
        }
        return !is_accepted;
      case HandIns::Found::kOfAnother:
        if (is_accepted) {
          done(Unavailable());
        }
        return is_accepted;
      default:
        return false;
    }
  }

  void Run(SubmitJob& request, const ReplyDone& done) {
    const Judgement judged = Judge(request);
    const bool is_refused = judged.outcome != Outcome::kOk;
    HandIns::Caller caller{request.key, {}};
    if (!is_refused) {
      caller.organisation = judged.organisation;
    }
    const HandIns::Found found =
        is_refused && !request.is_repeat
            ? HandIns::Found::kNone
            : m_hand_ins->Find(request.id, caller, done, m_init.timers->Now());
    if (AnswerRepeat(judged, found, done)) {
      return;
    }
    if (is_refused) {
      RefuseConfirmed(request, done);
      return;
    }
    if (judged.is_known) {
      done(MakeReply(judged.is_own ? Outcome::kOk : Outcome::kConflict));
      return;
    }
    const bool is_excess = CountsAsExcess(judged);
    const scheduling::AdmissionRequest asked =
        MakeAdmissionRequest(request, judged, is_excess);
    // A job that may have been accepted can't be refused.
    if (judged.is_admission_on && found != HandIns::Found::kUnknown) {
      const scheduling::Decision decision =
          m_leadership->admission().Decide(asked, m_init.timers->Now());
      if (!decision.is_admitted()) {
        RefuseLate(asked, caller, decision, done);
        return;
      }
    }
    Accept(request, judged, asked, caller, done);
  }

  bool CountsAsExcess(const Judgement& judged) {
    return judged.promised_rate > 0 && !judged.is_cancelled_early &&
           m_rates.IsExcess(judged.organisation, judged.promised_rate,
                            m_init.timers->Now());
  }

  static scheduling::AdmissionRequest MakeAdmissionRequest(
      const SubmitJob& request,
      const Judgement& judged,
      bool is_excess) {
    const auto& steps = request.spec.steps;
    const bool is_short =
        !request.spec.is_timed &&
        std::none_of(steps.begin(), steps.end(),
                     [](const auto& step) { return step.is_persistent; });
    // Promised work is taken as long as it is of use: late is better than not
    // at all. Excess has to be in time.
    return {request.id,
            judged.organisation,
            judged.promised_rate,
            judged.service,
            is_short,
            is_excess,
            judged.forecast.work,
            judged.forecast.critical_path,
            is_excess ? judged.forecast.objective : judged.forecast.useful};
  }

  void CountRefusal(const scheduling::AdmissionRequest& asked,
                    const scheduling::Decision& decision) {
    using scheduling::Verdict;
    const bool is_too_early = decision.verdict == Verdict::kTooEarly;
    ++(is_too_early ? m_counters.refused_too_early
       : decision.verdict == Verdict::kExcess
           ? m_counters.refused_excess
           : m_counters.refused_beyond_share);
    ++m_refused_since_log;
    DecisionLog::Get().Write(
        DecisionLine("dispatch", "overloaded", LineClass::kRequest)
            .With("job", asked.job)
            .With("organisation", asked.organisation)
            .With("pool", asked.pool)
            .With("why", scheduling::VerdictName(decision.verdict))
            .With("open_core_ms", static_cast<int64_t>(decision.ahead))
            .With("part_core_ms", static_cast<int64_t>(decision.part))
            .With("slack_ms", decision.slack)
            .With("retry_after_ms", decision.retry_after));
  }

  // Refuses a job only after a confirmed read: another leader may have accepted
  // it. What is accepted meanwhile decides.
  void RefuseLate(const scheduling::AdmissionRequest& asked,
                  const HandIns::Caller& caller,
                  const scheduling::Decision& decision,
                  const ReplyDone& done) {
    if (!asked.is_excess) {
      m_rates.Refund(asked.organisation);
    }
    if (!decision.is_repeat) {
      m_leadership->CountRefusedDemand(asked.pool, asked.work);
    }
    CountRefusal(asked, decision);
    auto refuse = [asked, decision](const Ledger& ledger) {
      if (ledger.FindJob(asked.job) != nullptr) {
        const bool is_own =
            FindOwnJob(ledger, asked.job, asked.organisation) != nullptr;
        return MakeReply(is_own ? Outcome::kOk : Outcome::kConflict);
      }
      Reply reply = MakeReply(Outcome::kOverloaded);
      reply.retry_after = decision.retry_after;
      return reply;
    };
    ReadConfirmed(
        std::move(refuse), [hand_ins = m_hand_ins, asked, caller,
                            timers = m_init.timers, done](const Reply& reply) {
          const bool is_joined =
              reply.outcome == Outcome::kOverloaded &&
              hand_ins->Find(asked.job, caller, done, timers->Now()) ==
                  HandIns::Found::kJoined;
          if (!is_joined) {
            done(reply);
          }
        });
  }

  void Accept(SubmitJob& request,
              const Judgement& judged,
              const scheduling::AdmissionRequest& asked,
              const HandIns::Caller& caller,
              const ReplyDone& done) {
    scheduling::OrganisationJobAccepted taken;
    taken.job.queue = judged.queue;
    taken.job.service = judged.service;
    taken.organisation = judged.organisation;
    taken.job.id = request.id;
    taken.job.at = m_init.wall_now();
    taken.job.spec = std::move(request.spec);
    taken.is_excess = asked.is_excess;
    ++m_counters.jobs;
    const char* const event =
        judged.is_cancelled_early ? "accept-cancelled" : "accept";
    DecisionLog::Get().Write(
        DecisionLine("dispatch", event, LineClass::kRequest)
            .With("job", taken.job.id)
            .With("queue", taken.job.queue)
            .With("service", taken.job.service)
            .With("organisation", taken.organisation)
            .With("excess", taken.is_excess ? 1 : 0)
            .With("term", m_leadership->term()));
    m_hand_ins->Begin(request.id, caller, done);
    Commit(std::move(taken), [weak = weak_from_this(), hand_ins = m_hand_ins,
                              asked, is_counted = judged.is_admission_on,
                              timers = m_init.timers,
                              term = m_leadership->term()](const Reply& reply) {
      const auto self = weak.lock();
      if (is_counted && self != nullptr && self->m_leadership != nullptr &&
          self->m_leadership->term() == term) {
        self->m_leadership->admission().Settle(asked,
                                               reply.outcome == Outcome::kOk);
      }
      hand_ins->Settle(asked.job, reply, timers->Now());
    });
  }

  // Counts show whether jobs are refused when the lines about single jobs are
  // dropped.
  void LogAdmission() {
    const SteadyTime now = m_init.timers->Now();
    if (now < m_next_admission_log) {
      return;
    }
    m_next_admission_log = now + kAdmissionLogPeriod;
    const uint64_t accepted =
        m_counters.jobs - std::exchange(m_logged_jobs, m_counters.jobs);
    const uint64_t refused = std::exchange(m_refused_since_log, 0);
    if (refused > 0) {
      DecisionLog::Get().Write(DecisionLine("dispatch", "admission")
                                   .With("accepted", accepted)
                                   .With("refused", refused));
    }
  }

  void Run(GetJob& request, const ReplyDone& done) {
    // The state of an ended job is final, so it needs no confirmed read.
    Reply known;
    m_log->Read(
        [&](const Ledger& ledger) { known = JobReply(ledger, request); });
    if (known.outcome == Outcome::kOk &&
        known.job_state >= scheduling::JobState::kSucceeded) {
      done(known);
      return;
    }
    if (known.outcome == Outcome::kNoAccess) {
      RefuseConfirmed(request, done);
      return;
    }
    ReadConfirmed(
        [request](const Ledger& ledger) { return JobReply(ledger, request); },
        done);
  }

  void Run(CancelJob& request, const ReplyDone& done) {
    const GetJob asked{request.host, request.path, request.id, request.key};
    Reply known;
    m_log->Read([&](const Ledger& ledger) { known = JobReply(ledger, asked); });
    if (known.outcome == Outcome::kNoAccess) {
      RefuseConfirmed(request, done);
      return;
    }
    if (known.outcome == Outcome::kNoJob) {
      CancelEarly(request, done);
      return;
    }
    if (known.outcome == Outcome::kNoQueue && MayCancelDropped(request)) {
      CancelDropped(request, done);
      return;
    }
    if (known.outcome != Outcome::kOk) {
      ReadConfirmed(
          [asked](const Ledger& ledger) {
            const Reply reply = JobReply(ledger, asked);
            // The queue is known by now, but nothing was cancelled by this
            // request: the caller is told to retry.
            const bool is_queue_known = reply.outcome == Outcome::kOk ||
                                        reply.outcome == Outcome::kNoJob;
            return is_queue_known ? Unavailable() : reply;
          },
          done);
      return;
    }
    if (known.job_state >= scheduling::JobState::kSucceeded) {
      done(MakeReply(Outcome::kOk));
      return;
    }
    DecisionLog::Get().Write(
        DecisionLine("dispatch", "cancel", LineClass::kRequest)
            .With("job", request.id));
    Commit(scheduling::JobCancelled{request.id}, done);
  }

  // Whether a request names an open job that was accepted for the queue which
  // was at its host and path, and its caller may cancel it.
  bool MayCancelDropped(const CancelJob& request) const {
    bool may_cancel = false;
    m_log->Read([&](const Ledger& ledger) {
      const scheduling::Job* job = ledger.FindJob(request.id);
      const scheduling::QueueSpec* queue =
          job == nullptr || job->is_over() ? nullptr : ledger.QueueOf(*job);
      if (queue == nullptr || queue->host != request.host ||
          !request.path.starts_with(queue->prefix)) {
        return;
      }
      const scheduling::Access access =
          ledger.keys().Check(queue->name, request.key);
      may_cancel = access.is_granted && job->IsOpenTo(access.organisation);
    });
    return may_cancel;
  }

  // Cancels a job whose queue was dropped, which nobody could end otherwise.
  // The caller is told that there is no such queue, as the configuration has
  // it.
  void CancelDropped(const CancelJob& request, const ReplyDone& done) {
    DecisionLog::Get().Write(
        DecisionLine("dispatch", "cancel", LineClass::kRequest)
            .With("job", request.id)
            .With("why", "its queue was dropped"));
    Commit(scheduling::JobCancelled{request.id},
           [weak = weak_from_this(), request, done](const Reply& reply) {
             const auto self = weak.lock();
             if (reply.outcome != Outcome::kOk || self == nullptr) {
               done(reply);
               return;
             }
             Reply cancelled;
             self->m_log->Read([&](const Ledger& ledger) {
               cancelled = JobReply(ledger, {request.host, request.path,
                                             request.id, request.key});
             });
             done(cancelled);
           });
  }

  // Cancels a job that is not known: its submission may still be under way, at
  // an entry host that was suspended, say. The caller is told that there is no
  // such job only once it is committed that there will be none.
  void CancelEarly(const CancelJob& request, const ReplyDone& done) {
    scheduling::JobCancelledEarly cancel;
    cancel.id = request.id;
    bool is_admitted = false;
    bool has_room = false;
    bool is_recorded = false;
    m_log->Read([&](const Ledger& ledger) {
      Admission admission = Admit(ledger, request);
      is_admitted = admission.outcome == Outcome::kOk;
      if (!is_admitted) {
        return;  // The configuration has changed since it was looked up.
      }
      cancel.queue = admission.queue->name;
      cancel.organisation = std::move(admission.organisation);
      is_recorded = ledger.IsCancelledEarly(cancel.id, cancel.organisation);
      has_room =
          ledger.HasRoomForEarlyCancel(cancel.queue, cancel.organisation);
    });
    if (!is_admitted) {
      done(Unavailable());
      return;
    }
    if (is_recorded) {
      done(MakeReply(Outcome::kNoJob));
      return;
    }
    ++(has_room ? m_counters.early_cancels : m_counters.refused_early_cancels);
    DecisionLog::Get().Write(
        DecisionLine("dispatch", has_room ? "cancel-early" : "cancel-refused",
                     LineClass::kRequest)
            .With("job", cancel.id)
            .With("queue", cancel.queue)
            .With("organisation", cancel.organisation));
    if (!has_room) {
      done(Unavailable());
      return;
    }
    Commit(cancel, [weak = weak_from_this(), cancel, done](const Reply& reply) {
      const auto self = weak.lock();
      done(reply.outcome == Outcome::kOk && self != nullptr
               ? self->EarlyCancelReply(cancel)
               : reply);
    });
  }

  // The outcome of a committed early cancel: the job may have been accepted
  // before it, or the cancel may have found no room.
  Reply EarlyCancelReply(const scheduling::JobCancelledEarly& cancel) const {
    Reply reply = Unavailable();
    m_log->Read([&](const Ledger& ledger) {
      if (FindOwnJob(ledger, cancel.id, cancel.organisation) != nullptr) {
        reply = MakeReply(Outcome::kOk);
      } else if (ledger.IsCancelledEarly(cancel.id, cancel.organisation)) {
        reply = MakeReply(Outcome::kNoJob);
      }
    });
    return reply;
  }

  void Run(CountWaiting& request, const ReplyDone& done) {
    ReadConfirmed(
        [request](const Ledger& ledger) {
          const Admission admission = Admit(ledger, request);
          Reply reply = ReplyOf(admission.outcome);
          if (admission.outcome == Outcome::kNoAccess) {
            LogNoAccess(ledger, *admission.queue, request.key);
          } else if (admission.outcome == Outcome::kOk) {
            reply.waiting = ledger.CountQueued(admission.queue->name);
          }
          return reply;
        },
        done);
  }

  void Run(PutConfiguration& request, const ReplyDone& done) {
    uint64_t version = 0;
    m_log->Read([&](const Ledger& ledger) {
      version = ledger.configuration().version;
    });
    DecisionLog::Get().Write(
        DecisionLine("dispatch", "configuration")
            .With("version", request.configuration.version)
            .With("held", version)
            .With("outcome", request.configuration.version > version
                                 ? "proposed"
                                 : "nothing-new"));
    if (request.configuration.version <= version) {
      done(MakeReply(Outcome::kOk));
      return;
    }
    Commit(scheduling::ConfigurationWithIdentitiesSet{std::move(
               request.configuration)},
           done);
  }

  void Run(GetConfiguration&, const ReplyDone& done) {
    ReadConfirmed(
        [](const Ledger& ledger) {
          Reply reply = MakeReply(Outcome::kOk);
          reply.document = ledger.configuration().document;
          return reply.document.empty() ? Unavailable() : reply;
        },
        done);
  }

  // Whether an announcement only repeats what is committed, so that the leader
  // need not receive it, as it polls its workers itself. True for
  // kLocalAnswerPeriod at a time only: the leader considers a worker gone that
  // it can't reach and receives no announcement of.
  bool IsKnownRepeat(const AnnounceWorker& request) {
    if (m_log == nullptr) {
      return false;
    }
    bool is_known = false;
    m_log->Read([&](const Ledger& ledger) {
      const scheduling::Worker* worker = ledger.FindWorker(request.info.id);
      is_known = worker != nullptr && worker->info == request.info &&
                 (request.born == WallTime() || request.born == worker->born);
    });
    const SteadyTime now = m_init.timers->Now();
    SteadyTime& last_referred = m_last_referred[request.info.id];
    if (is_known && now - last_referred < kLocalAnswerPeriod &&
        !IsCutOff(now)) {
      return true;
    }
    last_referred = now;
    PruneReferrals(now);
    return false;
  }

  // Keeps the newest announcement of each worker, to be forwarded to the
  // leader. An announcement received before the leader's current epoch is
  // forwarded once more when the worker repeats it.
  void RecordAnnouncement(const AnnounceWorker& announcement) {
    ReceivedAnnouncement& received = m_announcements[announcement.info.id];
    const bool is_older =
        announcement.born != received.announcement.born
            ? announcement.born < received.announcement.born
            : announcement.sequence != 0 &&
                  announcement.sequence < received.announcement.sequence;
    if (is_older) {
      return;
    }
    const bool is_repeated = received.is_received_in_epoch &&
                             announcement.born == received.announcement.born &&
                             announcement.info == received.announcement.info;
    received.forwarded_in_epoch = is_repeated ? received.forwarded_in_epoch : 0;
    received.announcement = announcement;
    received.at = m_init.timers->Now();
    PruneAnnouncements(received.at);
  }

  void PruneAnnouncements(SteadyTime now) {
    if (now >= m_next_announcement_prune) {
      m_next_announcement_prune = now + kLocalAnswerPeriod;
      std::erase_if(m_announcements, [now](const auto& entry) {
        return now - entry.second.at > kLocalAnswerPeriod;
      });
    }
  }

  void ForwardToLeader() {
    const SteadyTime now = m_init.timers->Now();
    if (!m_init.ask_leader || now < m_next_forward || m_announcements.empty()) {
      return;
    }
    m_next_forward = now + kForwardRetry;
    ForwardAnnouncements request;
    for (const auto& [id, received] : m_announcements) {
      const bool must_forward = received.forwarded_in_epoch == 0 ||
                                received.forwarded_in_epoch != m_epoch;
      if (must_forward && now - received.at <= kForwardMaxAge &&
          request.announcements.size() < kMaxForwarded) {
        request.announcements.push_back({received.announcement});
      }
    }
    auto forwarded = std::make_shared<std::vector<ForwardedAnnouncement>>(
        request.announcements);
    m_init.ask_leader(scheduling::Encode(Request(std::move(request))),
                      now + kForwardCallTimeout,
                      [weak = weak_from_this(), post = m_init.post, forwarded,
                       now](std::optional<std::string> reply) {
                        post([weak, forwarded, now, reply = std::move(reply)] {
                          if (const auto self = weak.lock()) {
                            self->OnForwarded(*forwarded, now, reply);
                          }
                        });
                      });
  }

  void OnForwarded(const std::vector<ForwardedAnnouncement>& forwarded,
                   SteadyTime forwarded_at,
                   const std::optional<std::string>& text) {
    m_next_forward = std::min(m_next_forward, forwarded_at + kForwardPeriod);
    const std::optional<uint64_t> epoch = DecodeEpoch(text);
    if (!epoch) {
      m_unanswered_since = m_unanswered_since == SteadyTime()
                               ? forwarded_at
                               : m_unanswered_since;
      return;
    }
    m_unanswered_since = SteadyTime();
    const SteadyTime now = m_init.timers->Now();
    if (*epoch != m_epoch) {
      m_epoch = *epoch;
      m_epoch_seen_at = now;
      m_next_forward = now;
    }
    for (const ForwardedAnnouncement& each : forwarded) {
      const auto received = m_announcements.find(each.announcement.info.id);
      if (received != m_announcements.end() &&
          received->second.announcement == each.announcement) {
        received->second.forwarded_in_epoch = m_epoch;
        received->second.is_received_in_epoch =
            received->second.at >= m_epoch_seen_at;
      }
    }
    if (forwarded.size() == kMaxForwarded) {
      m_next_forward = now;
    }
  }

  static std::optional<uint64_t> DecodeEpoch(
      const std::optional<std::string>& text) {
    if (!text) {
      return std::nullopt;
    }
    try {
      const auto reply = scheduling::Decode<Reply>(*text);
      if (reply.outcome != Outcome::kOk) {
        return std::nullopt;  // That host does not lead any more.
      }
      return scheduling::Decode<ForwardAnnouncementsReply>(reply.document)
          .epoch;
    } catch (const scheduling::CodecError& error) {
      DecisionLog::Get().Write(
          DecisionLine("dispatch", "bad-reply").With("error", error.what()));
      return std::nullopt;
    }
  }

  // Applies the announcements that came to this host while another host led.
  void ApplyAnnouncements() {
    const SteadyTime now = m_init.timers->Now();
    for (const auto& [id, received] : m_announcements) {
      if (now - received.at <= kForwardMaxAge) {
        AnnounceWorker announcement = received.announcement;
        ApplyAnnouncement(announcement);
      }
    }
  }

  // Ignores workers that are not known: the announcement may be a late one of
  // an incarnation that has ended. A new worker announces itself to the leader.
  void ApplyAnnouncement(AnnounceWorker& announcement) {
    bool is_known = false;
    m_log->Read([&](const Ledger& ledger) {
      is_known = ledger.FindWorker(announcement.info.id) != nullptr;
    });
    if (is_known) {
      Run(announcement, [](const Reply&) {});
    }
  }

  void Run(ForwardAnnouncements& request, const ReplyDone& done) {
    for (ForwardedAnnouncement& each : request.announcements) {
      ApplyAnnouncement(each.announcement);
    }
    Reply reply = MakeReply(Outcome::kOk);
    reply.document = scheduling::Encode(
        ForwardAnnouncementsReply{m_leadership->report_epoch()});
    done(reply);
  }

  // Whether no leader has answered this host's forwarding requests for
  // kCutOffTimeout. Workers must then announce themselves to other hosts: a
  // leader starts nothing on a worker whose announcements don't reach it.
  bool IsCutOff(SteadyTime now) const {
    return m_unanswered_since != SteadyTime() &&
           now - m_unanswered_since >= kCutOffTimeout;
  }

  void PruneReferrals(SteadyTime now) {
    if (now >= m_next_referral_prune) {
      m_next_referral_prune = now + kLocalAnswerPeriod;
      std::erase_if(m_last_referred, [now](const auto& entry) {
        return now - entry.second > 2 * kLocalAnswerPeriod;
      });
    }
  }

  // A worker that continues to announce itself so runs, but gets no work.
  void TellIgnored(const AnnounceWorker& request,
                   scheduling::WorkerEndCause ended) {
    ++m_counters.ended_announcements;
    DecisionLog::Get().Write(
        DecisionLine("dispatch", "worker-ignored", LineClass::kRequest)
            .With("worker", request.info.id)
            .With("host", request.info.host)
            .With("ended_before", scheduling::WorkerEndCauseName(ended))
            .With("sequence", request.sequence)
            .With("born_ms", request.born.time_since_epoch().count()));
  }

  void Run(AnnounceWorker& request, const ReplyDone& done) {
    scheduling::WorkerInfo& info = request.info;
    bool is_known = false;
    bool is_service_known = true;
    bool is_outdated = false;
    bool is_gone = false;
    std::optional<scheduling::WorkerEndCause> ended;
    m_log->Read([&](const Ledger& ledger) {
      const scheduling::Worker* worker = ledger.FindWorker(info.id);
      is_gone = ledger.IsGone(info.id, request.born, request.sequence);
      is_outdated =
          is_gone || ledger.IsOutdated(info.id, request.born, request.sequence);
      ended = ledger.EndCauseOf(info.id);
      is_service_known = worker != nullptr || HasService(ledger, info.service);
      const bool is_known_incarnation =
          worker != nullptr &&
          (request.born == WallTime() || request.born == worker->born);
      // Draining is final for an incarnation: an announcement that denies it
      // is an older one that came late.
      info.is_draining = info.is_draining ||
                         (is_known_incarnation && worker->info.is_draining);
      is_known = is_known_incarnation && worker->info == info;
    });
    if (!is_service_known) {
      DecisionLog::Get().Write(DecisionLine("dispatch", "worker-refused")
                                   .With("worker", info.id)
                                   .With("service", info.service)
                                   .With("why", "no such service"));
      done(MakeReply(Outcome::kNotFound));
      return;
    }
    if (is_gone) {
      TellIgnored(request, *ended);
    }
    if (!is_outdated) {
      m_leadership->OnAnnounced(info.id);
    }
    const ReportStamp word{request.born, request.clock};
    if (is_known && !is_outdated) {
      m_leadership->OnReportCommitted(info.id, word);
    }
    if (is_known || is_outdated) {
      done(MakeReply(Outcome::kOk));
      return;
    }
    DecisionLine line("dispatch", "worker", LineClass::kRequest);
    line.With("worker", info.id)
        .With("address", info.address)
        .With("service", info.service)
        .With("host", info.host)
        .With("state", info.is_draining ? "draining" : "ready")
        .With("millicores", info.capacity.millicores)
        .With("sequence", request.sequence)
        .With("born_ms", request.born.time_since_epoch().count());
    if (ended) {
      line.With("ended_before", scheduling::WorkerEndCauseName(*ended));
    }
    DecisionLog::Get().Write(line);
    m_leadership->OnReportPending(info.id, word);
    const auto is_committed = [weak = weak_from_this(), id = info.id, word,
                               done, term = m_leadership->term()](
                                  const Reply& reply) {
      const auto self = weak.lock();
      if (reply.outcome == Outcome::kOk && self != nullptr &&
          self->m_leadership != nullptr && self->m_leadership->term() == term) {
        self->m_leadership->OnReportCommitted(id, word);
      }
      done(reply);
    };
    Commit(scheduling::WorkerAnnounced{std::move(info), request.sequence,
                                       request.born},
           is_committed);
  }

  // The notice doesn't say which incarnation sent it. With an earlier
  // incarnation of the id it may be that one's, come late. It is accepted if
  // the current incarnation is draining, as a worker drains before it leaves.
  void Run(WorkerLeaves& request, const ReplyDone& done) {
    scheduling::WorkerLeft ended{request.id};
    bool may_be_late = false;
    m_log->Read([&](const Ledger& ledger) {
      const scheduling::Worker* worker = ledger.FindWorker(request.id);
      if (worker != nullptr) {
        ended.born = worker->born;
        may_be_late =
            worker->earlier_incarnations > 0 && !worker->info.is_draining;
      }
    });
    DecisionLog::Get().Write(
        DecisionLine("dispatch",
                     may_be_late ? "worker-leaves-ignored" : "worker-gone")
            .With("worker", request.id)
            .With("why", may_be_late ? "an earlier incarnation may have sent it"
                                     : "the worker announced it"));
    if (may_be_late) {
      done(MakeReply(Outcome::kOk));
      return;
    }
    Commit(std::move(ended), done);
  }

  void Run(OpenWave& request, const ReplyDone& done) {
    bool is_known = false;
    m_log->Read([&](const Ledger& ledger) {
      is_known = ledger.waves().contains(request.wave);
    });
    if (is_known) {
      done(MakeReply(Outcome::kOk));
      return;
    }
    DecisionLog::Get().Write(
        DecisionLine("wave", "open")
            .With("wave", request.wave)
            .With("hosts", static_cast<int64_t>(request.hosts.size()))
            .With("most_at_once", request.most_at_once)
            .With("duration_ms", request.duration));
    Commit(scheduling::WaveOpened{request.wave, std::move(request.hosts),
                                  request.duration, request.most_at_once,
                                  m_init.wall_now()},
           done);
  }

  void Run(GetWave& request, const ReplyDone& done) {
    ReadConfirmed(
        [request](const Ledger& ledger) {
          const auto wave = ledger.waves().find(request.wave);
          if (wave == ledger.waves().end()) {
            return MakeReply(Outcome::kNotFound);
          }
          Reply reply = MakeReply(Outcome::kOk);
          reply.is_wave_done = wave->second.is_done();
          return reply;
        },
        done);
  }

  void Run(RelayOrders& request, const ReplyDone& done) {
    const DutyTimer timer(Duty::kRelayRequest);
    ++m_counters.relay_requests;
    m_relays.Ask(std::move(request), done);
  }

  static RelayBounds RelayBoundsOf(const DispatcherInit& init) {
    RelayBounds bounds = init.relays;
    if (!init.mechanisms.Has(scheduling::Mechanism::kRelays)) {
      bounds.max_direct_workers = SIZE_MAX;
    }
    return bounds;
  }

  /// The newest announcement of a worker that came to this host.
  struct ReceivedAnnouncement {
    AnnounceWorker announcement;
    SteadyTime at{};
    uint64_t forwarded_in_epoch = 0;  ///< 0: not forwarded.
    /// It came after this host had learned of that epoch.
    bool is_received_in_epoch = false;
  };

  const DispatcherInit m_init;
  RelayPool m_relays;
  scheduling::ReplicatedLog* m_log = nullptr;
  TimerHandle m_tick;
  TimerHandle m_flush;

  // Used on the dispatch thread only.
  std::shared_ptr<Leadership> m_leadership;
  std::vector<std::function<void(bool)>> m_to_confirm;
  bool m_is_confirming = false;
  SteadyTime m_next_confirm{};
  /// When a worker's announcement was last referred to the leader; by worker.
  std::unordered_map<std::string, SteadyTime> m_last_referred;
  SteadyTime m_next_referral_prune{};
  std::unordered_map<std::string, ReceivedAnnouncement>
      m_announcements;   // By worker.
  uint64_t m_epoch = 0;  // The leader's; 0 until it has answered.
  SteadyTime m_epoch_seen_at{};
  SteadyTime m_next_announcement_prune{};
  SteadyTime m_next_forward{};
  // When the first of the forwarding requests without an answer was sent; zero
  // after an answer.
  SteadyTime m_unanswered_since{};
  DispatchCounters m_counters;
  uint64_t m_refused_since_log = 0;
  uint64_t m_logged_jobs = 0;  // Accepted jobs that were logged.
  SteadyTime m_next_admission_log{};
  // Commits hold it too: who waits is answered also when this object is gone.
  std::shared_ptr<HandIns> m_hand_ins = std::make_shared<HandIns>();
  scheduling::JobRateLimiter m_rates;  // Since this host began to lead.

  std::atomic<bool> m_is_leading{false};
  mutable std::mutex m_counters_mutex;  // Guards the two published copies.
  DispatchCounters m_published;
  SchedulerStatus m_published_status;
};

Dispatcher::Dispatcher(const DispatcherInit& init)
    : m_impl(std::make_shared<Impl>(init)) {
  m_impl->Start();
}

Dispatcher::~Dispatcher() {
  m_impl->Stop();
}

void Dispatcher::Attach(scheduling::ReplicatedLog& log) {
  m_impl->Attach(log);
}

void Dispatcher::OnLeadershipGained(uint64_t term) {
  m_impl->Post([term](Impl& impl) { impl.OnLeadershipGained(term); });
}

void Dispatcher::OnLeadershipLost() {
  m_impl->Post([](Impl& impl) { impl.OnLeadershipLost(); });
}

void Dispatcher::Handle(std::string request,
                        std::function<void(std::string)> done) {
  auto answer = [done = std::move(done)](Reply reply) {
    done(scheduling::Encode(std::move(reply)));
  };
  try {
    Ask(scheduling::Decode<Request>(request), std::move(answer));
  } catch (const scheduling::CodecError& error) {
    DecisionLog::Get().Write(
        DecisionLine("dispatch", "bad-request").With("error", error.what()));
    answer(Reply());
  }
}

void Dispatcher::Ask(Request request, ReplyDone done) {
  auto shared = std::make_shared<Request>(std::move(request));
  m_impl->Post([shared, done = std::move(done)](Impl& impl) {
    impl.Ask(std::move(*shared), done);
  });
}

bool Dispatcher::is_leading() const {
  return m_impl->is_leading();
}

DispatchCounters Dispatcher::counters() const {
  return m_impl->counters();
}

SchedulerStatus Dispatcher::scheduler_status() const {
  return m_impl->scheduler_status();
}

}  // namespace laurelhall::dispatch
