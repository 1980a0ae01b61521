#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "applier_p.h"
#include "laurelhall/base/duration_counts.h"
#include "laurelhall/consensus/message.h"
#include "laurelhall/state/command.h"

namespace laurelhall::control {

enum class SubmitStatus {
  kCommitted,
  kNotLeader,  ///< Surely not proposed here.
  kBusy,       ///< Surely not proposed: too much waits.
  kUnknown,    ///< May or may not be committed by a later leader.
  kCount,
};

/// What came of a group of commands.
struct SubmitOutcome {
  SubmitStatus status = SubmitStatus::kUnknown;
  std::vector<state::Result> results;  ///< One a command when committed.
};

using SubmitDone = std::function<void(SubmitOutcome)>;

/// Puts commands that come together into one log entry, and answers them once
/// it is committed and applied.
///
/// @remarks On the loop's thread only.
class SubmitQueue {
 public:
  using Propose =
      std::function<std::optional<consensus::EntryPosition>(std::string)>;

  explicit SubmitQueue(Propose propose);

  /// Queues commands, whose results are answered together; `bytes` is about
  /// their encoded size.
  void Add(std::vector<state::Command> commands, size_t bytes, SubmitDone done);

  /// Proposes what waits, as few entries as the bounds allow. Called now and
  /// then, too, while something waits.
  void Flush();

  /// Notes that the log is durable here, or committed, up to an index: what a
  /// slow commit waited for.
  void Persisted(consensus::Index index);
  void Committed(consensus::Index index);

  /// Answers what was proposed at these positions.
  void Applied(const std::vector<AppliedEntry>& entries);

  /// Answers all that waits: this host leads no more.
  void LostLeadership();

  bool is_empty() const { return m_waiting.empty(); }
  uint64_t commands() const { return m_commands; }
  const DurationCounts& commit_times() const { return m_commit_times; }

  /// How long the oldest proposal has been under way; zero without one.
  Millis OldestAge() const;

 private:
  struct Submission {
    std::vector<state::Command> commands;
    size_t bytes = 0;
    SubmitDone done;
  };
  struct Waiter {
    size_t count = 0;
    SubmitDone done;
  };
  struct Group {
    consensus::Term term = 0;
    SteadyTime proposed_at{};
    SteadyTime persisted_at{};  // Here; zero: not yet.
    SteadyTime committed_at{};  // Zero: not yet.
    std::vector<Waiter> waiters;
  };

  void ProposeGroup();
  void Note(consensus::Index index, SteadyTime Group::*stage);
  static void TellSlow(const Group& group, Millis took);
  static void Answer(Group& group, std::vector<state::Result> results);

  Propose m_propose;
  std::deque<Submission> m_waiting;
  size_t m_waiting_commands = 0;
  std::map<consensus::Index, Group> m_proposed;
  uint64_t m_commands = 0;
  SteadyTime m_proposed_at{};  // The latest group.
  DurationCounts m_commit_times;
};

}  // namespace laurelhall::control
