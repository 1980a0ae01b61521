#pragma once

#include <atomic>
#include <memory>
#include <optional>

#include "attempt_p.h"
#include "caller_request_p.h"
#include "entry_context_p.h"
#include "request_life_p.h"
#include "serial_p.h"
#include "service_shard_p.h"

namespace laurelhall::entry {

/// One caller's request from admission to its answer.
///
/// @remarks Thread-safe: what happens is handled one event at a time, and all
///   members below the serial are touched from there alone.
class Run : public QueueMember, public std::enable_shared_from_this<Run> {
 public:
  Run(std::shared_ptr<EntryContext> context,
      std::shared_ptr<ServiceShard> shard,
      std::shared_ptr<net::HttpExchange> exchange,
      CallerRequest request);
  ~Run() override;
  Run(const Run&) = delete;
  Run& operator=(const Run&) = delete;

  void Start();

  void OnTurn(const Turn& turn) override;
  void OnGivenUp(const routing::Refusal& refusal) override;
  void OnDeadline() override;

 private:
  void Begin();
  void Fire(LifeEvent event);
  void PostEvent(LifeEvent event);
  void OnClaim(const std::optional<state::ClaimResult>& result);
  void OnAttempt(const Turn& turn, AttemptResult result);
  void OnCallerGone();

  // One per LifeAction.
  void DoNothing() {}
  void Claim();
  void Queue();
  void Pause();
  void Replay();
  void Disown();
  void Dispatch();
  void Requeue();
  void RequeueUnsent();
  void Retry();
  void Abandon();
  void Complete();
  void AnswerCaller();
  void Release();
  void SayNotRun();
  void SayUnknown();
  void SayInProgress();
  void SayLate();
  void Drop();

  bool Enter(bool is_ready);
  bool RefuseAtOnce();
  void LeaveQueue();
  net::HttpRequest MakeEndpointRequest() const;
  model::ClaimKey MakeClaimKey() const;
  void Commit(const state::Command& command,
              int tries,
              std::function<void(bool is_accepted)> first_known);
  void SayProblem(ProblemKind kind,
                  const std::string& detail,
                  std::optional<Millis> retry_after = {});
  void LogProblem(ProblemKind kind, const std::string& detail) const;
  void Respond(net::HttpResponse response);
  void CountBurn(BurnKind kind);
  BurnKind FailureKind() const;

  const std::shared_ptr<EntryContext> m_context;
  const std::shared_ptr<ServiceShard> m_shard;
  const std::shared_ptr<net::HttpExchange> m_exchange;
  const CallerRequest m_request;
  const model::RequestPolicy m_policy;
  const std::string m_id;
  const SteadyTime m_deadline;
  routing::AdmissionRequest m_admission;
  const std::shared_ptr<std::atomic<bool>> m_is_cancelled =
      std::make_shared<std::atomic<bool>>(false);

  Serial m_serial;  // Everything below is touched on it alone.
  RequestLife m_life;
  bool m_is_answered = false;
  bool m_is_caller_gone = false;
  bool m_has_sent = false;  // A byte may have reached an endpoint.
  std::optional<routing::RequestHandle> m_handle;  // While in the queue.
  std::optional<state::ClaimResult> m_claim;
  SteadyTime m_claim_begun{};  // Of the latest claim.
  std::optional<Turn> m_turn;
  int m_unsent = 0;  // Attempts that ended with no byte sent.
  std::string m_avoid;
  bool m_turn_was_away = false;  // The endpoint of a failed attempt left.
  Millis m_pause;
  routing::Refusal m_refusal;
  std::optional<net::HttpResponse> m_response;
};

}  // namespace laurelhall::entry
