#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "laurelhall/trace/trace.h"

namespace laurelhall::trace {

/// An id's timeline, and the rules that find its cause. A rule is a row of the
/// table in causes.cc and looks at no other rule; the first that holds tells.
/// Not thread-safe.
class Story {
 public:
  /// The answer must have a timeline and outlive the story.
  explicit Story(const Answer& answer);

  /// Always finds one: the last rules hold for all.
  Cause FindCause() const;

  /// What a rule says; the table adds the names.
  struct Verdict {
    const Line* line;
    std::string reason;
  };
  using Rule = std::optional<Verdict> (Story::*)() const;

  // Refused.
  std::optional<Verdict> BadRequest() const;
  std::optional<Verdict> UnknownKey() const;
  std::optional<Verdict> UnknownQueue() const;
  std::optional<Verdict> NoLeader() const;
  std::optional<Verdict> NotAnswered() const;
  // Lost sight of, still waiting, at work.
  std::optional<Verdict> DroppedLines() const;
  std::optional<Verdict> Waiting() const;
  std::optional<Verdict> AtWork() const;
  // Ended badly.
  std::optional<Verdict> Cancelled() const;
  std::optional<Verdict> GivenUp() const;
  std::optional<Verdict> TaskGivenUp() const;
  std::optional<Verdict> LastGiveUp() const;
  std::optional<Verdict> FailedByWorkers() const;
  std::optional<Verdict> FailedByItself() const;
  std::optional<Verdict> FailedUntold() const;
  // Late.
  std::optional<Verdict> Failover() const;
  std::optional<Verdict> WorkerLapsed() const;
  std::optional<Verdict> RunFailed() const;
  std::optional<Verdict> OrderNotAnswered() const;
  std::optional<Verdict> LeaderBehind() const;
  std::optional<Verdict> HostsMovedLate() const;
  std::optional<Verdict> NoRoom() const;
  std::optional<Verdict> HeldBack() const;
  std::optional<Verdict> LateUntold() const;
  std::optional<Verdict> AnsweredLate() const;
  // All else.
  std::optional<Verdict> Done() const;
  std::optional<Verdict> WorkerState() const;
  std::optional<Verdict> HostState() const;
  std::optional<Verdict> WaveState() const;
  std::optional<Verdict> VersionState() const;
  std::optional<Verdict> LastLine() const;

 private:
  template <typename Predicate>
  const Line* First(Predicate predicate) const;
  template <typename Predicate>
  const Line* Last(Predicate predicate) const;
  template <typename Predicate>
  size_t Count(Predicate predicate) const;

  const Line* Own(std::string_view event) const;
  const Line* LastOwn(std::string_view event) const;
  const Line* Refusal(int64_t status) const;
  const Line* RoomShortage() const;
  bool HasFailed() const;
  bool StartedLate() const;
  bool WasStartedAgain() const;
  bool IsWhileWaiting(const Line& line) const;
  Millis Wait() const;
  std::string DelayText() const;

  const Answer& m_answer;
  const std::vector<Line>& m_lines;
  const Line* m_accept = nullptr;
  const Line* m_first_starts = nullptr;  // Of the first step.
  const Line* m_again = nullptr;         // A task's second run.
  const Line* m_over = nullptr;
  WallTime m_taken_in;  // By the leader, or when the first line came.
  WallTime m_at_work;   // The first start, or the last line.
};

}  // namespace laurelhall::trace
