#pragma once

#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

#include "laurelhall/state/command.h"
#include "laurelhall/state/machine.h"
#include "snapshot_p.h"

namespace laurelhall::state {

/// Why a request whose id stands for another one is refused.
inline std::string OtherRequestText(const OperatorRequest& request) {
  return "request id " + request.request_id + " was used with another command";
}

/// An operator's request and how it was answered.
struct RememberedRequest {
  OperatorRequest request;
  uint64_t digest = 0;  ///< Of the command.
  ActResult answer;
};
BOOST_DESCRIBE_STRUCT(RememberedRequest, (), (request, digest, answer))

/// Recognises operators' requests that are sent again, by name and id.
///
/// @remarks Part of the replicated state and so of snapshots: bounded by count
///   and age, which the limits name. Find() is thread-safe; all else is for the
///   one applying thread.
class RequestMemory {
 public:
  explicit RequestMemory(const MachineLimits& limits);

  /// The first answer; none when the request is new.
  std::optional<RememberedRequest> Find(const OperatorRequest& request) const;

  /// Remembers an answer; no effect when the request has no id.
  void Remember(RememberedRequest remembered);
  void Expire(WallTime now);

  void Save(SnapshotWriter& writer) const;

 private:
  using Key = std::pair<std::string, std::string>;
  static Key KeyOf(const OperatorRequest& request);
  void ForgetOldest();

  const MachineLimits m_limits;
  mutable std::mutex m_mutex;  // Guards all below.
  std::map<Key, RememberedRequest> m_requests;
  std::deque<Key> m_order;
};

}  // namespace laurelhall::state
