#include "hand_ins_p.h"

#include <utility>

namespace laurelhall::dispatch {

namespace {

// The longest for which an entry host repeats a submission. A key that was
// taken away must not be of use for longer.
constexpr Millis kRepeatPeriod{1'500};

}  // namespace

bool HandIns::HandIn::IsOf(const Caller& other) const {
  return caller.key == other.key ||
         (other.organisation && caller.organisation == other.organisation);
}

void HandIns::Begin(const std::string& job,
                    const Caller& caller,
                    ReplyDone done) {
  HandIn& hand_in = m_hand_ins[job];
  hand_in = HandIn{caller};
  hand_in.waiting.push_back(std::move(done));
}

void HandIns::Settle(const std::string& job,
                     const Reply& reply,
                     SteadyTime now) {
  const auto found = m_hand_ins.find(job);
  if (found == m_hand_ins.end()) {
    return;
  }
  const auto waiting = std::exchange(found->second.waiting, {});
  if (reply.outcome == Outcome::kOk || reply.outcome == Outcome::kUnknown) {
    found->second.outcome = reply.outcome;
    found->second.settled_at = now;
  } else {
    m_hand_ins.erase(found);
  }
  Prune(now);
  for (const ReplyDone& done : waiting) {
    done(reply);
  }
}

HandIns::Found HandIns::Find(const std::string& job,
                             const Caller& caller,
                             const ReplyDone& done,
                             SteadyTime now) {
  const auto found = m_hand_ins.find(job);
  if (found == m_hand_ins.end()) {
    return Found::kNone;
  }
  HandIn& hand_in = found->second;
  const bool is_own = hand_in.IsOf(caller);
  if (hand_in.outcome == Outcome::kCount) {
    if (is_own) {
      hand_in.waiting.push_back(done);
    }
    return is_own ? Found::kJoined : Found::kOfAnother;
  }
  if (!is_own) {
    return Found::kNone;
  }
  if (hand_in.outcome == Outcome::kUnknown) {
    return Found::kUnknown;
  }
  return now - hand_in.settled_at <= kRepeatPeriod ? Found::kAccepted
                                                   : Found::kNone;
}

void HandIns::Clear() {
  std::erase_if(m_hand_ins, [](const auto& entry) {
    return entry.second.outcome != Outcome::kCount;
  });
}

void HandIns::Prune(SteadyTime now) {
  if (now < m_next_prune) {
    return;
  }
  m_next_prune = now + kRepeatPeriod;
  std::erase_if(m_hand_ins, [now](const auto& entry) {
    return entry.second.outcome == Outcome::kOk &&
           now - entry.second.settled_at > kRepeatPeriod;
  });
}

}  // namespace laurelhall::dispatch
