#include "laurelhall/dispatch/remote.h"

#include <algorithm>
#include <utility>

#include "admission_limit_p.h"
#include "laurelhall/base/decision_log.h"
#include "pause_meter_p.h"

namespace laurelhall::dispatch {

namespace {

// Time reserved for the answer to reach the caller.
constexpr Millis kAnswerReturnTime{100};
constexpr Millis kRetryDelay{50};
constexpr Millis kRetryAfter{700};
// The leader is probed this often, so that its loss is noticed before callers
// notice it.
constexpr Millis kProbeInterval{1'000};
constexpr Millis kProbeTimeout{900};
// Two and a half probe intervals.
constexpr Millis kDisconnectedAfter{2'500};
constexpr Millis kLogFlushInterval{100};
// Without any answer for this long, the leader is taken to be lost: a busy
// leader gives several answers in this time.
constexpr Millis kLeaderLostAfter{300};
// Enough for two elections.
constexpr Millis kMaxElectionTime{2'500};
// A count of waiting jobs is valid for the moment and is soon requested again.
// A count that waited for a leader would be of a later moment than the caller
// asked at, and might reflect a newer configuration than the answer to a later
// request.
constexpr Millis kCountTimeout{200};
// Largest share of the caller's time that a request may take, whatever its
// outcome: in the rest the caller can ask another daemon.
constexpr double kMaxWaitShare = 0.4;

}  // namespace

class RemoteScheduler::Impl : public std::enable_shared_from_this<Impl> {
 public:
  explicit Impl(const RemoteInit& init)
      : m_init(init), m_last_answer_at(init.timers->Now()) {}

  void Start() {
    m_probe = m_init.timers->SubscribeEvery(
        kProbeInterval, [weak = weak_from_this()](SteadyTime) {
          if (const auto self = weak.lock()) {
            self->Probe();
          }
        });
    m_flush = m_init.timers->SubscribeEvery(
        kLogFlushInterval, [weak = weak_from_this()](SteadyTime) {
          DecisionLog::Get().Flush();
          if (const auto self = weak.lock()) {
            self->m_pauses.OnTick(self->m_init.boot_now());
          }
        });
  }

  void Stop() {
    m_init.timers->Cancel(m_probe);
    m_init.timers->Cancel(m_flush);
  }

  void Ask(Request request, Millis time_left, ReplyDone done) {
    if (const auto* submission = std::get_if<SubmitJob>(&request)) {
      const Millis unread = m_pauses.UnreadTime(m_init.boot_now());
      time_left -= unread;
      if (time_left <= Millis(0)) {
        RefuseLate(*submission, unread, done);
        return;
      }
    }
    const SteadyTime now = m_init.timers->Now();
    auto pending = std::make_shared<PendingRequest>();
    pending->limit = AdmissionLimitFor(request);
    pending->is_read_only = IsReadOnly(request);
    Millis max_wait = time_left - kAnswerReturnTime;
    if (std::holds_alternative<CountWaiting>(request)) {
      max_wait = std::min(max_wait, kCountTimeout);
    }
    pending->request = scheduling::Encode(std::move(request));
    pending->give_up_at = now + std::min({m_init.patience, max_wait,
                                          std::chrono::duration_cast<Millis>(
                                              time_left * kMaxWaitShare)});
    pending->done = std::move(done);
    if (pending->limit != nullptr && !pending->limit->MayEnter() &&
        !IsLeaderLost()) {
      Refuse(*pending);
      return;
    }
    Send(pending);
  }

  bool is_connected() const {
    return m_init.timers->Now() - m_last_answer_at < kDisconnectedAfter;
  }

 private:
  struct PendingRequest {
    std::string request;
    SteadyTime give_up_at;
    ReplyDone done;
    bool may_have_run = false;
    bool is_read_only = false;
    bool is_marked = false;           ///< As a repeat.
    SteadyTime sent_at{};             // Of the last try.
    AdmissionLimit* limit = nullptr;  // Null: admitted whatever the load.
  };

  static bool IsReadOnly(const Request& request) {
    return std::holds_alternative<GetJob>(request) ||
           std::holds_alternative<CountWaiting>(request) ||
           std::holds_alternative<GetConfiguration>(request) ||
           std::holds_alternative<GetWave>(request);
  }

  // Reads and job submissions have separate limits, so that neither crowds out
  // the other. Cancels and the requests of operators and probes are few and
  // have no limit; a cancel also frees capacity.
  AdmissionLimit* AdmissionLimitFor(const Request& request) {
    if (std::holds_alternative<SubmitJob>(request)) {
      return &m_submissions;
    }
    const bool is_callers_read = std::holds_alternative<GetJob>(request) ||
                                 std::holds_alternative<CountWaiting>(request);
    return is_callers_read ? &m_reads : nullptr;
  }

  // A busy leader answers some requests. One that answers none is lost, and
  // callers wait for the next one for as long as elections may take.
  bool IsLeaderLost() const {
    const auto silence = m_init.timers->Now() - m_last_answer_at;
    return silence > kLeaderLostAfter && silence < kMaxElectionTime;
  }

  // Refuses a submission whose caller has given up by now: it may have
  // cancelled the job elsewhere, or sent it again.
  static void RefuseLate(const SubmitJob& submission,
                         Millis unread,
                         const ReplyDone& done) {
    DecisionLog::Get().Write(DecisionLine("entry", "read-late")
                                 .With("job", submission.id)
                                 .With("unread_ms", unread));
    Reply reply;
    reply.outcome = Outcome::kUnavailable;
    reply.retry_after = kRetryAfter;
    done(reply);
  }

  // Refuses a request because the leader is late with earlier ones: the caller
  // does better to retry later than to wait. As nothing was sent, nothing has
  // been carried out.
  void Refuse(const PendingRequest& pending) {
    ++m_refused;
    Reply reply;
    reply.outcome = Outcome::kUnavailable;
    reply.retry_after = kRetryAfter;
    pending.done(reply);
  }

  void LogRefused() {
    if (m_refused == 0) {
      return;
    }
    DecisionLog::Get().Write(
        DecisionLine("entry", "overload")
            .With("refused", std::exchange(m_refused, 0))
            .With("hand_ins", static_cast<uint64_t>(m_submissions.under_way()))
            .With("hand_ins_limit",
                  static_cast<uint64_t>(m_submissions.limit()))
            .With("reads", static_cast<uint64_t>(m_reads.under_way()))
            .With("reads_limit", static_cast<uint64_t>(m_reads.limit())));
  }

  // Skipped after a recent answer to a caller, which shows the same as a probe.
  void Probe() {
    LogRefused();
    if (m_init.timers->Now() - m_last_answer_at < kProbeInterval / 2) {
      return;
    }
    // Reads a wave that nobody opens: before answering, the leader confirms
    // that it leads.
    Ask(GetWave{}, kProbeTimeout, [](const Reply&) {});
  }

  // A request counts towards its limit while it is with a leader, not while it
  // waits for one.
  void Send(const std::shared_ptr<PendingRequest>& pending) {
    pending->sent_at = m_init.timers->Now();
    if (pending->limit != nullptr) {
      pending->limit->Enter();
    }
    m_init.ask({pending->request, pending->give_up_at, pending->is_read_only},
               [weak = weak_from_this(), post = m_init.post, pending](
                   std::optional<std::string> reply, bool may_have_run) {
                 post([weak, pending, reply = std::move(reply), may_have_run] {
                   if (const auto self = weak.lock()) {
                     self->OnAnswer(pending, reply, may_have_run);
                   }
                 });
               });
  }

  void ReleaseAdmission(const PendingRequest& pending,
                        bool is_answered,
                        bool may_have_run) {
    const SteadyTime now = m_init.timers->Now();
    const auto took = std::chrono::floor<Millis>(now - pending.sent_at);
    const bool is_busy = may_have_run && !IsLeaderLost();
    const AdmittedOutcome unanswered =
        is_busy ? AdmittedOutcome::kNotAnswered : AdmittedOutcome::kNotSent;
    pending.limit->Leave(
        took, is_answered ? AdmittedOutcome::kAnswered : unanswered, now);
  }

  // Whether the last try's outcome is that of the request. A refusal is not, if
  // an earlier try may have been carried out: it was judged by other keys,
  // queues and load.
  static bool IsFinal(const PendingRequest& pending, Outcome outcome) {
    switch (outcome) {
      case Outcome::kUnknown:
      case Outcome::kUnavailable:
        return false;
      case Outcome::kNoQueue:
      case Outcome::kNoAccess:
      case Outcome::kOverloaded:
        return pending.is_read_only || !pending.may_have_run;
      default:
        return true;
    }
  }

  // The leader must not judge a submission anew that it may have taken in.
  static void MarkRepeat(PendingRequest& pending) {
    if (pending.is_read_only || !pending.may_have_run ||
        std::exchange(pending.is_marked, true)) {
      return;
    }
    auto request = scheduling::Decode<Request>(pending.request);
    if (auto* submission = std::get_if<SubmitJob>(&request)) {
      submission->is_repeat = true;
      pending.request = scheduling::Encode(std::move(request));
    }
  }

  void OnAnswer(const std::shared_ptr<PendingRequest>& pending,
                const std::optional<std::string>& text,
                bool may_have_run) {
    if (pending->limit != nullptr) {
      ReleaseAdmission(*pending, text.has_value(), may_have_run);
    }
    Reply reply;
    if (text) {
      m_last_answer_at = m_init.timers->Now();
      try {
        reply = scheduling::Decode<Reply>(*text);
      } catch (const scheduling::CodecError& error) {
        DecisionLog::Get().Write(
            DecisionLine("entry", "bad-reply").With("error", error.what()));
        reply.outcome = Outcome::kUnknown;
      }
    } else {
      pending->may_have_run = pending->may_have_run || may_have_run;
      reply.outcome =
          pending->may_have_run ? Outcome::kUnknown : Outcome::kUnavailable;
    }
    pending->may_have_run =
        pending->may_have_run || reply.outcome == Outcome::kUnknown;
    const bool is_final = IsFinal(*pending, reply.outcome);
    const SteadyTime now = m_init.timers->Now();
    if (!is_final && now + kRetryDelay < pending->give_up_at) {
      MarkRepeat(*pending);
      m_init.timers->SubscribeOnce(
          kRetryDelay, [weak = weak_from_this(), pending](SteadyTime) {
            if (const auto self = weak.lock()) {
              self->Send(pending);
            }
          });
      return;
    }
    // An earlier try may have been carried out, whatever the outcome of the
    // last one. This matters only for requests that change something.
    if (!is_final) {
      reply.outcome = pending->may_have_run && !pending->is_read_only
                          ? Outcome::kUnknown
                          : Outcome::kUnavailable;
    }
    if (reply.outcome == Outcome::kUnavailable) {
      reply.retry_after = std::max(reply.retry_after, kRetryAfter);
    }
    pending->done(reply);
  }

  const RemoteInit m_init;
  AdmissionLimit m_submissions;
  AdmissionLimit m_reads;
  uint64_t m_refused = 0;  // Since the last log line about it.
  SteadyTime m_last_answer_at;
  PauseMeter m_pauses;
  TimerHandle m_probe;
  TimerHandle m_flush;
};

RemoteScheduler::RemoteScheduler(const RemoteInit& init)
    : m_impl(std::make_shared<Impl>(init)) {
  m_impl->Start();
}

RemoteScheduler::~RemoteScheduler() {
  m_impl->Stop();
}

void RemoteScheduler::Ask(Request request, Millis time_left, ReplyDone done) {
  m_impl->Ask(std::move(request), time_left, std::move(done));
}

bool RemoteScheduler::is_connected() const {
  return m_impl->is_connected();
}

}  // namespace laurelhall::dispatch
