#pragma once

#include <atomic>
#include <functional>
#include <memory>

#include "entry_context_p.h"
#include "service_shard_p.h"

namespace laurelhall::entry {

/// What an attempt is made with.
struct AttemptInit {
  std::shared_ptr<EntryContext> context;
  std::shared_ptr<ServiceShard> shard;
  Turn turn;
  net::HttpRequest request;
  std::string request_id;
  SteadyTime deadline{};
  std::shared_ptr<std::atomic<bool>> is_cancelled;  ///< Write no more.
  bool must_be_fresh = false;  ///< A connection of its own: a keyed run.
  model::RequestPolicy policy;
};

enum class AttemptFailure { kNone, kUnsent, kBroken };

struct AttemptResult {
  AttemptFailure failure = AttemptFailure::kNone;
  net::HttpResponse response;  ///< Whole and ours, when failure is kNone.
  AttemptEnd end;
};

/// Sends a request to one endpoint, once, and reads its whole answer.
///
/// @param done Called once, on one of the IoThreads; the slot is still taken.
/// @remarks A connection that turns out closed before a byte was written is
///   replaced by a fresh one, once.
void StartAttempt(AttemptInit init, std::function<void(AttemptResult)> done);

}  // namespace laurelhall::entry
