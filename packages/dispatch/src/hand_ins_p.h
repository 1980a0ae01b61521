#pragma once

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "laurelhall/base/time.h"
#include "laurelhall/dispatch/request.h"

namespace laurelhall::dispatch {

/// The submissions that a leader has put into a batch, so that one that its
/// entry host repeats gets the outcome of the first one and is not judged
/// again.
///
/// @remarks Used on the dispatcher's thread only. An outcome is kept for as
///   long as an entry host may repeat the submission; an unknown one until
///   Clear().
class HandIns {
 public:
  /// Who submits a job.
  struct Caller {
    std::string key;  ///< Fingerprint of the key.
    /// None: the configuration in force refuses the caller.
    std::optional<std::string> organisation;
  };

  /// Records a submission that is about to be committed.
  ///
  /// @pre Find() found none under way.
  void Begin(const std::string& job, const Caller& caller, ReplyDone done);

  /// Calls all that wait for the outcome of a submission.
  void Settle(const std::string& job, const Reply& reply, SteadyTime now);

  enum class Found {
    kNone,       ///< To be judged.
    kJoined,     ///< `done` is called with the first one's outcome.
    kAccepted,   ///< The first one was committed lately.
    kUnknown,    ///< The first one may be committed or not.
    kOfAnother,  ///< Another caller's submission of this id is under way.
  };

  /// Looks up an earlier submission of the job by the same caller: one with the
  /// same key or of the same organisation.
  Found Find(const std::string& job,
             const Caller& caller,
             const ReplyDone& done,
             SteadyTime now);

  /// Forgets all outcomes: what was under way at the start of a term is in the
  /// ledger by then, or will never be. What waits is still called.
  void Clear();

 private:
  struct HandIn {
    Caller caller;
    std::vector<ReplyDone> waiting;
    Outcome outcome = Outcome::kCount;  // kCount: under way.
    SteadyTime settled_at{};

    bool IsOf(const Caller& other) const;
  };

  void Prune(SteadyTime now);

  std::unordered_map<std::string, HandIn> m_hand_ins;  // By job.
  SteadyTime m_next_prune{};
};

}  // namespace laurelhall::dispatch
