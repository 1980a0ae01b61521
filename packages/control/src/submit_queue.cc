#include "submit_queue_p.h"

#include <iterator>
#include <string>
#include <utility>

#include <spdlog/fmt/fmt.h>

#include "laurelhall/base/log.h"

namespace laurelhall::control {

namespace {

constexpr size_t kMaxGroupCommands = 512;
constexpr size_t kMaxGroupBytes = 1 << 20;
constexpr size_t kMaxWaitingCommands = 16'384;
constexpr size_t kMaxGroupsUnderWay = 2;
// Where a commit takes longer than this, the disks are what it waits for. What
// comes meanwhile is proposed all the same, to be part of the next sync: held
// back until a commit, it would miss that and wait for one more.
constexpr Millis kLongCommit{40};
// A commit that takes as long is told: callers wait for it.
constexpr Millis kSlowCommit{500};

Millis AgeOf(SteadyTime time) {
  return std::chrono::floor<Millis>(std::chrono::steady_clock::now() - time);
}

}  // namespace

SubmitQueue::SubmitQueue(Propose propose) : m_propose(std::move(propose)) {}

void SubmitQueue::Add(std::vector<state::Command> commands,
                      size_t bytes,
                      SubmitDone done) {
  if (m_waiting_commands + commands.size() > kMaxWaitingCommands) {
    done({SubmitStatus::kBusy, {}});
    return;
  }
  m_waiting_commands += commands.size();
  m_waiting.push_back({std::move(commands), bytes, std::move(done)});
}

void SubmitQueue::Flush() {
  // More entries under way would not commit sooner, only cost more messages
  // and wake-ups on each control host: what comes meanwhile goes together.
  while (!m_waiting.empty() && (m_proposed.size() < kMaxGroupsUnderWay ||
                                AgeOf(m_proposed_at) >= kLongCommit)) {
    ProposeGroup();
  }
}

void SubmitQueue::ProposeGroup() {
  std::vector<state::Command> commands;
  size_t bytes = 0;
  Group group;
  do {
    Submission& next = m_waiting.front();
    bytes += next.bytes;
    group.waiters.push_back({next.commands.size(), std::move(next.done)});
    std::move(next.commands.begin(), next.commands.end(),
              std::back_inserter(commands));
    m_waiting.pop_front();
  } while (!m_waiting.empty() &&
           commands.size() + m_waiting.front().commands.size() <=
               kMaxGroupCommands &&
           bytes + m_waiting.front().bytes <= kMaxGroupBytes);
  m_waiting_commands -= commands.size();
  const auto position = m_propose(state::EncodeCommands(commands));
  if (!position) {
    for (Waiter& waiter : group.waiters) {
      waiter.done({SubmitStatus::kBusy, {}});
    }
    return;
  }
  m_commands += commands.size();
  group.term = position->term;
  m_proposed_at = std::chrono::steady_clock::now();
  group.proposed_at = m_proposed_at;
  m_proposed[position->index] = std::move(group);
}

void SubmitQueue::Applied(const std::vector<AppliedEntry>& entries) {
  for (const AppliedEntry& entry : entries) {
    const auto found = m_proposed.find(entry.position.index);
    if (found == m_proposed.end()) {
      continue;
    }
    Group group = std::move(found->second);
    m_proposed.erase(found);
    const Millis took = AgeOf(group.proposed_at);
    m_commit_times.Add(took);
    if (took >= kSlowCommit) {
      TellSlow(group, took);
    }
    const bool is_ours = group.term == entry.position.term;
    Answer(group, is_ours ? entry.results : std::vector<state::Result>());
  }
}

void SubmitQueue::Persisted(consensus::Index index) {
  Note(index, &Group::persisted_at);
}

void SubmitQueue::Committed(consensus::Index index) {
  Note(index, &Group::committed_at);
}

void SubmitQueue::Note(consensus::Index index, SteadyTime Group::*stage) {
  const SteadyTime now = std::chrono::steady_clock::now();
  const auto end = m_proposed.upper_bound(index);
  for (auto group = m_proposed.begin(); group != end; ++group) {
    SteadyTime& at = group->second.*stage;
    at = at == SteadyTime() ? now : at;
  }
}

// The local disk may be the last of the quorum, or may not be needed.
void SubmitQueue::TellSlow(const Group& group, Millis took) {
  const auto after = [&group](SteadyTime at) {
    return at == SteadyTime()
               ? std::string("later")
               : fmt::format("after {} ms",
                             std::chrono::floor<Millis>(at - group.proposed_at)
                                 .count());
  };
  PartLog("control")->warn(
      "A commit took {} ms: durable here {}, at a quorum {}; {} submissions "
      "waited.",
      took.count(), after(group.persisted_at), after(group.committed_at),
      group.waiters.size());
}

Millis SubmitQueue::OldestAge() const {
  return m_proposed.empty() ? Millis(0)
                            : AgeOf(m_proposed.begin()->second.proposed_at);
}

void SubmitQueue::Answer(Group& group, std::vector<state::Result> results) {
  auto next = results.begin();
  for (Waiter& waiter : group.waiters) {
    const size_t left = static_cast<size_t>(results.end() - next);
    if (left < waiter.count) {
      waiter.done({SubmitStatus::kUnknown, {}});
      continue;
    }
    const auto end = next + static_cast<std::ptrdiff_t>(waiter.count);
    waiter.done(
        {SubmitStatus::kCommitted,
         {std::make_move_iterator(next), std::make_move_iterator(end)}});
    next = end;
  }
}

void SubmitQueue::LostLeadership() {
  const auto waiting = std::exchange(m_waiting, {});
  m_waiting_commands = 0;
  const auto proposed = std::exchange(m_proposed, {});
  for (const Submission& submission : waiting) {
    submission.done({SubmitStatus::kNotLeader, {}});
  }
  for (const auto& [index, group] : proposed) {
    for (const Waiter& waiter : group.waiters) {
      waiter.done({SubmitStatus::kUnknown, {}});
    }
  }
}

}  // namespace laurelhall::control
