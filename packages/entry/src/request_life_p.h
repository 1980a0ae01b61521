#pragma once

#include <memory>

namespace laurelhall::entry {

/// What can happen to a request after it was understood.
enum class LifeEvent {
  kBegin,
  kClaimGranted,
  kClaimHeld,     ///< Another request has the key and still runs.
  kClaimSettled,  ///< Its outcome is known, or it is refused.
  kClaimUnknown,  ///< The claim may or may not have been committed.
  kPollDue,
  kTurn,     ///< A slot of an endpoint is there.
  kGivenUp,  ///< Admission gave up on it.
  kCallerGone,
  kDeadline,
  kUnsent,    ///< The attempt ended with no byte sent.
  kBroken,    ///< It ended without a whole answer; bytes may have been sent.
  kAnswered,  ///< The whole answer is here.
  kKept,      ///< The completion is committed, or its commit not known.
  kReleased,
  kReleaseUnknown,
  kCount,
};

/// What is to be done about it.
enum class LifeAction {
  kNone,  ///< The event changes nothing in this state.
  kClaim,
  kQueue,  ///< The claim is ours: take part in the queue.
  kPause,  ///< Ask for the claim again in a while.
  kReplay,
  kDisown,  ///< Say outcome-unknown, and release in case it was committed.
  kDispatch,
  kRequeue,
  kRetry,    ///< Requeue if the budget, the deadline and the caller allow.
  kAbandon,  ///< Say outcome-unknown, and commit that it is.
  kComplete,
  kAnswer,
  kRelease,
  kSayNotRun,
  kSayUnknown,
  kSayInProgress,
  kSayLate,
  kDrop,
  kCount,
};

/// The life of one request, keyed or idempotent; the table in the .cc says
/// which event leads where. Not thread-safe.
class RequestLife {
 public:
  explicit RequestLife(bool is_keyed);
  ~RequestLife();

  LifeAction Handle(LifeEvent event);
  bool is_done() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace laurelhall::entry
