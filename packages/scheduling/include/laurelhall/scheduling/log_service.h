#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "laurelhall/scheduling/ledger.h"

namespace laurelhall::scheduling {

/// The outcome of a commit.
enum class CommitOutcome {
  kCommitted,  ///< Committed, and applied on this host.
  kRefused,    ///< Never committed: this host is not the leader.
  kUnknown,    ///< A later leader may or may not commit it.
  kCount,
};

/// The replicated log, as seen by the scheduling on a control host.
///
/// @remarks Thread-safe. Each callback is called once, on a thread of the log,
///   and must not block.
class ReplicatedLog {
 public:
  using CommitDone = std::function<void(CommitOutcome)>;
  using ConfirmDone = std::function<void(bool is_confirmed)>;

  virtual ~ReplicatedLog() = default;

  /// Commits records in one batch, only while this host leads in `term`: a
  /// decision from an earlier term is never committed in a later one.
  virtual void Commit(uint64_t term,
                      std::vector<Record> records,
                      CommitDone done) = 0;

  /// Checks that this host still leads and that its ledger includes everything
  /// that was committed before the call.
  virtual void Confirm(ConfirmDone done) = 0;

  /// Reads the ledger in the state that is applied on this host.
  ///
  /// @param reader Called before Read() returns. No record is applied
  /// meanwhile.
  virtual void Read(const std::function<void(const Ledger&)>& reader) const = 0;
};

/// A request of an entry host to the scheduling on the leader.
struct LeaderRequest {
  std::string body;  ///< Encoded.
  SteadyTime deadline{};
  bool is_query = false;  ///< Changes no state on any host.
};

/// A service that runs on top of the replicated log on each control host.
///
/// @remarks Its functions are called on threads of the log and must not block.
class LogService {
 public:
  virtual ~LogService() = default;

  /// Called once, before all other functions. `log` outlives the last call.
  virtual void Attach(ReplicatedLog& log) = 0;

  /// Called when this host has become leader in `term` and has applied an entry
  /// of that term.
  virtual void OnLeadershipGained(uint64_t term) = 0;

  /// Called when this host is no longer leader.
  virtual void OnLeadershipLost() = 0;

  /// Handles a request of another process. Request and reply are encoded.
  virtual void Handle(std::string request,
                      std::function<void(std::string)> done) = 0;
};

}  // namespace laurelhall::scheduling
