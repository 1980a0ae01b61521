#include "run_p.h"

#include <algorithm>
#include <array>
#include <utility>

#include "laurelhall/base/decision_log.h"

namespace laurelhall::entry {
namespace {

constexpr Millis kInProgressRetry{1'000};
constexpr Millis kUnavailableRetry{1'000};
constexpr Millis kLeastReleaseTime{500};
constexpr int kUnsentAtOnce = 2;
constexpr Millis kFirstUnsentPause{2};
constexpr Millis kMostUnsentPause{500};

constexpr std::array<std::string_view,
                     static_cast<size_t>(routing::RefusalReason::kCount)>
    kRefusalTexts{
        "the queue is full",
        "the queue holds too many bytes",
        "it cannot finish before its deadline",
        "no endpoint of the service may be used now",
        "this entry host is stopping",
    };

bool IsOverload(routing::RefusalReason reason) {
  return reason != routing::RefusalReason::kNoEndpoint &&
         reason != routing::RefusalReason::kDraining;
}

// How a settled claim is told to the caller of a resend.
struct VerdictText {
  state::ClaimVerdict verdict;
  ProblemKind kind;
  const char* detail;
};

constexpr std::array<VerdictText, 4> kVerdictTexts{{
    {state::ClaimVerdict::kAnswerNotKept, ProblemKind::kGone,
     "the first run's answer was too large, or is too old, to be kept"},
    {state::ClaimVerdict::kOutcomeUnknown, ProblemKind::kOutcomeUnknown,
     "the first run may have run; it will not be run again"},
    {state::ClaimVerdict::kOtherBody, ProblemKind::kKeyConflict,
     "the first request of this key had another method, path or body"},
    {state::ClaimVerdict::kFull, ProblemKind::kNotAccepted,
     "too many keys are remembered at the moment"},
}};

}  // namespace

Run::Run(std::shared_ptr<EntryContext> context,
         std::shared_ptr<ServiceShard> shard,
         std::shared_ptr<net::HttpExchange> exchange,
         CallerRequest request)
    : m_context(std::move(context)),
      m_shard(std::move(shard)),
      m_exchange(std::move(exchange)),
      m_request(std::move(request)),
      m_policy(m_shard->policy()),
      m_id(m_context->NextRequestId()),
      m_deadline(m_context->Now() + m_request.timeout),
      m_life(m_request.is_keyed()),
      m_pause(m_context->init.claim_poll) {
  m_admission.organisation = m_request.organisation;
  m_admission.priority = m_request.priority;
  m_admission.deadline = m_deadline;
  m_admission.bytes =
      static_cast<int64_t>(m_exchange->request().body.size()) + 1'000;
  ++m_context->counters.open;
}

Run::~Run() {
  --m_context->counters.open;
}

void Run::Start() {
  m_serial.Post([self = shared_from_this()] { self->Begin(); });
}

void Run::OnTurn(const Turn& turn) {
  m_serial.Post([self = shared_from_this(), turn] {
    self->m_handle.reset();
    self->m_turn = turn;
    self->Fire(LifeEvent::kTurn);
    if (self->m_turn) {
      // Nobody wants it any more: the slot goes back unused.
      const Turn unused = *std::exchange(self->m_turn, std::nullopt);
      self->m_shard->EndAttempt(unused, {}, self->m_admission,
                                self->m_context->Now());
    }
  });
}

void Run::OnGivenUp(const routing::Refusal& refusal) {
  m_serial.Post([self = shared_from_this(), refusal] {
    self->m_handle.reset();
    self->m_refusal = refusal;
    self->Fire(LifeEvent::kGivenUp);
  });
}

void Run::OnDeadline() {
  PostEvent(LifeEvent::kDeadline);
}

void Run::OnCallerGone() {
  m_is_caller_gone = true;
  // A keyed run goes on, so that its answer is there for a resend.
  *m_is_cancelled = !m_request.is_keyed();
  Fire(LifeEvent::kCallerGone);
  LeaveQueue();
}

void Run::PostEvent(LifeEvent event) {
  m_serial.Post([self = shared_from_this(), event] { self->Fire(event); });
}

void Run::Fire(LifeEvent event) {
  using Action = void (Run::*)();
  static constexpr std::array<Action, static_cast<size_t>(LifeAction::kCount)>
      k_actions{
          &Run::DoNothing,     &Run::Claim,         &Run::Queue,
          &Run::Pause,         &Run::Replay,        &Run::Disown,
          &Run::Dispatch,      &Run::RequeueUnsent, &Run::Retry,
          &Run::Abandon,       &Run::Complete,      &Run::AnswerCaller,
          &Run::Release,       &Run::SayNotRun,     &Run::SayUnknown,
          &Run::SayInProgress, &Run::SayLate,       &Run::Drop,
      };
  const LifeAction action = m_life.Handle(event);
  (this->*k_actions.at(static_cast<size_t>(action)))();
}

void Run::Begin() {
  if (RefuseAtOnce()) {
    return;
  }
  m_shard->FirstAttempt();
  m_shard->WatchDeadline(m_deadline, weak_from_this());
  m_exchange->OnGone([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->m_serial.Post([self] { self->OnCallerGone(); });
    }
  });
  Fire(LifeEvent::kBegin);
  m_shard->Pump(m_context->Now());
}

// Refused before a claim: cheap under overload. A keyed request hears
// not-accepted, because an earlier copy of it may have run.
bool Run::RefuseAtOnce() {
  const bool is_fresh = m_context->IsViewFresh(m_context->Now());
  const ProblemKind kind =
      m_request.is_keyed() ? ProblemKind::kNotAccepted : ProblemKind::kNotRun;
  if (!is_fresh) {
    CountBurn(BurnKind::kBadFailure);
    SayProblem(kind, "this entry host is cut off from the control hosts",
               m_context->Spread(kUnavailableRetry));
    return true;
  }
  if (Enter(!m_request.is_keyed())) {
    return false;
  }
  CountBurn(IsOverload(m_refusal.reason) ? BurnKind::kBadOverload
                                         : BurnKind::kBadFailure);
  SayProblem(
      kind,
      std::string(kRefusalTexts.at(static_cast<size_t>(m_refusal.reason))),
      m_refusal.retry_after);
  return true;
}

// --- The queue ---------------------------------------------------------------

bool Run::Enter(bool is_ready) {
  Entrant entrant{shared_from_this(), m_admission, m_avoid,
                  !m_request.is_keyed(), is_ready};
  routing::RequestHandle handle;
  const auto refusal =
      m_shard->Offer(std::move(entrant), m_context->Now(), &handle);
  if (refusal) {
    m_refusal = *refusal;
    return false;
  }
  m_handle = handle;
  return true;
}

void Run::LeaveQueue() {
  if (m_handle) {
    m_shard->Leave(*m_handle);
    m_handle.reset();
  }
}

void Run::Queue() {
  if (!m_handle || !m_shard->SetReady(*m_handle)) {
    Requeue();
  }
  m_shard->Pump(m_context->Now());
}

void Run::Requeue() {
  m_handle.reset();
  if (m_is_caller_gone) {
    PostEvent(LifeEvent::kCallerGone);
    return;
  }
  if (!Enter(true)) {
    PostEvent(LifeEvent::kGivenUp);
    return;
  }
  m_shard->Pump(m_context->Now());
}

// Where no endpoint takes connections this would spin: after a few attempts
// each next one waits longer.
void Run::RequeueUnsent() {
  ++m_context->counters.unsent;
  if (++m_unsent <= kUnsentAtOnce) {
    Requeue();
    return;
  }
  const Millis pause = std::min(
      kFirstUnsentPause * (1 << std::min(m_unsent, 16)), kMostUnsentPause);
  m_context->threads.timers().SubscribeOnce(
      pause, [self = shared_from_this()](SteadyTime) {
        self->m_serial.Post([self] {
          // A caller that went meanwhile has ended it already.
          if (!self->m_is_caller_gone) {
            self->Requeue();
          }
        });
      });
  if (m_is_caller_gone) {
    PostEvent(LifeEvent::kCallerGone);
  }
}

void Run::Retry() {
  const bool may_retry = !m_is_answered && !m_is_caller_gone &&
                         m_context->Now() < m_deadline && m_shard->TryRetry();
  if (may_retry) {
    ++m_context->counters.retries;
    Requeue();
  } else {
    PostEvent(LifeEvent::kGivenUp);
  }
}

// --- The claim ---------------------------------------------------------------

model::ClaimKey Run::MakeClaimKey() const {
  return {m_request.organisation, m_request.service, m_request.key};
}

void Run::Claim() {
  state::ClaimCommand command;
  command.key = MakeClaimKey();
  command.digest = m_request.digest;
  command.owner = m_context->init.identity;
  command.request_id = m_id;
  command.at = WallNow();
  command.expires_at = command.at + m_policy.claim_retention;
  m_claim_begun = m_context->Now();
  auto done =
      [self = shared_from_this()](std::optional<state::ClaimResult> result) {
        self->m_serial.Post(
            [self, result = std::move(result)] { self->OnClaim(result); });
      };
  if (m_claim) {
    m_context->link.PollClaim(std::move(command), m_deadline, std::move(done));
  } else {
    m_context->link.Claim(std::move(command), m_deadline, std::move(done));
  }
}

void Run::OnClaim(const std::optional<state::ClaimResult>& result) {
  if (!result) {
    Fire(LifeEvent::kClaimUnknown);
    return;
  }
  m_claim = result;
  // An earlier copy of this very command may have been granted.
  const bool is_ours =
      result->request_id == m_id && result->owner == m_context->init.identity;
  if (result->verdict == state::ClaimVerdict::kGranted ||
      (result->verdict == state::ClaimVerdict::kInProgress && is_ours)) {
    Fire(LifeEvent::kClaimGranted);
  } else if (result->verdict == state::ClaimVerdict::kInProgress) {
    Fire(LifeEvent::kClaimHeld);
  } else {
    Fire(LifeEvent::kClaimSettled);
  }
}

// The timer keeps the run alive meanwhile. No poll starts so late that its
// result could only come after the deadline.
void Run::Pause() {
  LeaveQueue();
  const SteadyTime now = m_context->Now();
  const Millis left =
      std::max(Millis(0), std::chrono::ceil<Millis>(m_deadline - now));
  const bool is_last = m_pause >= left;
  m_context->threads.timers().SubscribeOnce(
      is_last ? left : m_pause,
      [self = shared_from_this(), is_last](SteadyTime) {
        self->PostEvent(is_last ? LifeEvent::kDeadline : LifeEvent::kPollDue);
      });
  m_pause = std::min(m_pause * 3 / 2, m_context->init.claim_poll_most);
}

void Run::Replay() {
  LeaveQueue();
  if (m_claim->verdict == state::ClaimVerdict::kCompleted) {
    net::HttpResponse response;
    response.status = m_claim->answer.status;
    response.headers.Set("Content-Type", m_claim->answer.content_type);
    response.headers.Set("Laurelhall-Replayed", "true");
    response.body = m_claim->answer.body.data;
    ++m_context->counters.replays;
    ++m_context->counters.answers;
    Respond(std::move(response));
    return;
  }
  for (const VerdictText& text : kVerdictTexts) {
    if (text.verdict == m_claim->verdict) {
      const bool is_full = text.kind == ProblemKind::kNotAccepted;
      SayProblem(text.kind, text.detail,
                 is_full ? std::optional(m_context->Spread(kUnavailableRetry))
                         : std::nullopt);
    }
  }
}

// No word of the claim by the deadline. Where another request held the key when
// it was last heard of, asking again with the key tells what came of it.
void Run::Disown() {
  LeaveQueue();
  CountBurn(BurnKind::kBadFailure);
  if (m_claim) {
    SayInProgress();
  } else {
    SayUnknown();
  }
  Commit(state::ReleaseCommand{MakeClaimKey(), m_id},
         m_context->init.commit_tries, nullptr);
}

// --- The attempt -------------------------------------------------------------

net::HttpRequest Run::MakeEndpointRequest() const {
  const net::HttpRequest& asked = m_exchange->request();
  net::HttpRequest request;
  request.method = asked.method;
  request.target = m_request.target;
  request.headers = m_request.headers;
  request.headers.Set("X-Request-Id", m_id);
  request.headers.Set("Laurelhall-Organisation", m_request.organisation);
  request.body = asked.body;
  return request;
}

void Run::Dispatch() {
  const Turn turn = *std::exchange(m_turn, std::nullopt);
  AttemptInit init;
  init.context = m_context;
  init.shard = m_shard;
  init.turn = turn;
  init.request = MakeEndpointRequest();
  init.request_id = m_id;
  init.deadline = m_deadline;
  init.is_cancelled = m_is_cancelled;
  init.must_be_fresh = m_request.is_keyed();
  init.policy = m_policy;
  StartAttempt(
      std::move(init), [self = shared_from_this(), turn](AttemptResult result) {
        auto shared = std::make_shared<AttemptResult>(std::move(result));
        self->m_serial.Post([self, turn, shared] {
          self->OnAttempt(turn, std::move(*shared));
        });
      });
}

void Run::OnAttempt(const Turn& turn, AttemptResult result) {
  m_shard->EndAttempt(turn, result.end, m_admission, m_context->Now());
  m_avoid = turn.endpoint;
  m_has_sent = m_has_sent || result.end.has_run;
  if (result.failure == AttemptFailure::kUnsent) {
    Fire(LifeEvent::kUnsent);
    return;
  }
  const bool is_failure =
      result.failure != AttemptFailure::kNone || result.response.status >= 500;
  m_turn_was_away = is_failure && m_shard->IsAway(turn);
  if (result.failure == AttemptFailure::kNone) {
    m_response = std::move(result.response);
  }
  // An idempotent request's failure is tried elsewhere; what the endpoint
  // said of it is handed on if nothing better comes.
  const bool is_retriable = is_failure && !m_request.is_keyed();
  Fire(result.failure == AttemptFailure::kNone && !is_retriable
           ? LifeEvent::kAnswered
           : LifeEvent::kBroken);
}

void Run::Abandon() {
  CountBurn(FailureKind());
  SayUnknown();
  Commit(state::AbandonCommand{MakeClaimKey(), m_id},
         m_context->init.commit_tries, nullptr);
}

// --- The end -----------------------------------------------------------------

// Tries until the outcome is known; `first_known` hears of the first try only,
// because somebody may wait for it.
void Run::Commit(const state::Command& command,
                 int tries,
                 std::function<void(bool)> first_known) {
  Millis timeout = m_context->init.commit_timeout;
  if (first_known != nullptr && !m_is_answered) {
    const auto left =
        std::chrono::duration_cast<Millis>(m_deadline - m_context->Now());
    timeout = std::clamp(left, kLeastReleaseTime, timeout);
  }
  const SteadyTime deadline = m_context->Now() + timeout;
  auto done = [self = shared_from_this(), command, tries,
               first_known = std::move(first_known)](
                  const std::optional<state::ActResult>& result) {
    self->m_serial.Post([self, command, tries, first_known, result] {
      if (first_known != nullptr) {
        first_known(result && result->is_accepted);
      }
      if (!result && tries > 1) {
        self->Commit(command, tries - 1, nullptr);
      }
    });
  };
  m_context->link_gate.Enter(
      [&] { m_context->link.Act(command, deadline, std::move(done)); });
}

void Run::Complete() {
  const auto most =
      static_cast<size_t>(std::max<int64_t>(m_policy.kept_answer_bytes, 0));
  state::CompleteCommand command;
  command.key = MakeClaimKey();
  command.request_id = m_id;
  command.is_kept = m_response->body.size() <= most;
  if (command.is_kept) {
    command.answer.status = m_response->status;
    command.answer.content_type = m_response->headers.Get("Content-Type");
    command.answer.body.data = m_response->body;
  }
  // Committed first: an answer that a caller has heard can be heard again.
  Commit(std::move(command), m_context->init.commit_tries,
         [this](bool) { Fire(LifeEvent::kKept); });
}

void Run::AnswerCaller() {
  if (m_is_answered || !m_response) {
    return;
  }
  const bool is_in_time = m_context->Now() <= m_deadline;
  const bool is_failure = m_response->status >= 500;
  CountBurn(is_in_time && !is_failure ? BurnKind::kGood : FailureKind());
  ++m_context->counters.answers;
  Respond(std::move(*m_response));
}

void Run::Release() {
  LeaveQueue();
  Commit(
      state::ReleaseCommand{MakeClaimKey(), m_id}, m_context->init.commit_tries,
      [this](bool is_accepted) {
        Fire(is_accepted ? LifeEvent::kReleased : LifeEvent::kReleaseUnknown);
      });
}

void Run::SayNotRun() {
  if (m_response) {
    AnswerCaller();
    return;
  }
  if (m_has_sent) {
    CountBurn(FailureKind());
    SayProblem(ProblemKind::kFailed,
               "attempts were made and none gave a whole answer",
               m_context->Spread(kUnavailableRetry));
    return;
  }
  CountBurn(IsOverload(m_refusal.reason) ? BurnKind::kBadOverload
                                         : BurnKind::kBadFailure);
  SayProblem(
      ProblemKind::kNotRun,
      std::string(kRefusalTexts.at(static_cast<size_t>(m_refusal.reason))),
      m_refusal.retry_after);
}

void Run::SayUnknown() {
  SayProblem(ProblemKind::kOutcomeUnknown,
             "it may have run, or may not; it will not be run again for this "
             "request");
}

void Run::SayInProgress() {
  LeaveQueue();
  SayProblem(ProblemKind::kInProgress,
             "the first run of this key has not ended; ask again with the "
             "same key",
             m_context->Spread(kInProgressRetry));
}

// The run goes on: a keyed one so that its answer is kept for a resend, and
// both because closing a connection doesn't stop what runs at the endpoint.
void Run::SayLate() {
  CountBurn(FailureKind());
  if (m_request.is_keyed()) {
    SayInProgress();
  } else {
    SayUnknown();
  }
}

void Run::Drop() {
  LeaveQueue();
  m_is_answered = true;
}

void Run::SayProblem(ProblemKind kind,
                     const std::string& detail,
                     std::optional<Millis> retry_after) {
  if (!m_is_answered) {
    ++m_context->counters.problems.at(static_cast<size_t>(kind));
    LogProblem(kind, detail);
    Respond(MakeProblem(kind, detail, retry_after));
  }
}

// What decided it: how long the request and its claim have waited, and how old
// the entry host's view is.
void Run::LogProblem(ProblemKind kind, const std::string& detail) const {
  const SteadyTime now = m_context->Now();
  const auto age = [now](SteadyTime since) {
    return since == SteadyTime() ? Millis(0)
                                 : std::chrono::floor<Millis>(now - since);
  };
  DecisionLog::Get().Write(
      DecisionLine("entry", "answer")
          .With("request", m_id)
          .With("service", m_request.service)
          .With("problem", ProblemTypeOf(kind).slug)
          .With("why", detail)
          .With("waited_ms", age(m_deadline - m_request.timeout))
          .With("deadline_ms", m_request.timeout)
          .With("claimed_for_ms", age(m_claim_begun))
          .With("is_claim_answered", m_claim ? "yes" : "no")
          .With("has_sent", m_has_sent ? "yes" : "no")
          .With("view_age_ms", age(m_context->confirmed_at.load())));
}

void Run::Respond(net::HttpResponse response) {
  if (m_is_answered) {
    return;
  }
  m_is_answered = true;
  response.headers.Set("Laurelhall-Request-Id", m_id);
  m_exchange->Respond(std::move(response));
}

void Run::CountBurn(BurnKind kind) {
  if (!m_is_answered && !m_is_caller_gone) {
    m_shard->Count(kind);
  }
}

BurnKind Run::FailureKind() const {
  return m_turn_was_away ? BurnKind::kBadWave : BurnKind::kBadFailure;
}

}  // namespace laurelhall::entry
