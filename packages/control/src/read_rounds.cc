#include "read_rounds_p.h"

namespace laurelhall::control {

ReadRounds::ReadRounds(Request request) : m_request(std::move(request)) {}

void ReadRounds::Add(Done done) {
  m_waiting.push_back(std::move(done));
}

void ReadRounds::Flush() {
  const auto waiting = std::exchange(m_waiting, {});
  if (waiting.empty()) {
    return;
  }
  const uint64_t context = m_next_context++;
  if (m_request(context)) {
    m_asked[context] = waiting;
    return;
  }
  for (const Done& done : waiting) {
    done(false);
  }
}

void ReadRounds::Confirmed(const std::vector<consensus::ReadState>& reads) {
  for (const consensus::ReadState& read : reads) {
    const auto found = m_asked.find(read.context);
    if (found != m_asked.end()) {
      m_confirmed.emplace(read.index, std::move(found->second));
      m_asked.erase(found);
    }
  }
}

void ReadRounds::Applied(consensus::Index applied) {
  while (!m_confirmed.empty() && m_confirmed.begin()->first <= applied) {
    const std::vector<Done> ready = std::move(m_confirmed.begin()->second);
    m_confirmed.erase(m_confirmed.begin());
    for (const Done& done : ready) {
      done(true);
    }
  }
}

void ReadRounds::LostLeadership() {
  const auto waiting = std::exchange(m_waiting, {});
  const auto asked = std::exchange(m_asked, {});
  const auto confirmed = std::exchange(m_confirmed, {});
  for (const Done& done : waiting) {
    done(false);
  }
  for (const auto& [context, group] : asked) {
    for (const Done& done : group) {
      done(false);
    }
  }
  for (const auto& [index, group] : confirmed) {
    for (const Done& done : group) {
      done(false);
    }
  }
}

}  // namespace laurelhall::control
