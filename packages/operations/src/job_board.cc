#include "job_board_p.h"

#include <iterator>

namespace laurelhall::operations {

void JobBoard::NoteUsage(const std::string& job,
                         const placement::JobUsage& usage) {
  const std::lock_guard lock(m_mutex);
  m_usage.usage[job] = usage;
}

void JobBoard::NoteEnded(Ended ended) {
  const std::lock_guard lock(m_mutex);
  if (m_ended.size() >= kMaxPending) {
    m_ended.pop_front();
  }
  m_ended.push_back(std::move(ended));
}

placement::Observations JobBoard::usage() const {
  const std::lock_guard lock(m_mutex);
  return m_usage;
}

std::vector<JobBoard::Ended> JobBoard::TakeEnded() {
  const std::lock_guard lock(m_mutex);
  std::vector<Ended> taken(std::make_move_iterator(m_ended.begin()),
                           std::make_move_iterator(m_ended.end()));
  m_ended.clear();
  return taken;
}

void JobBoard::Retain(const std::map<std::string, model::Job>& jobs) {
  const std::lock_guard lock(m_mutex);
  std::erase_if(m_usage.usage, [&](const auto& item) {
    const auto job = jobs.find(item.first);
    return job == jobs.end() || job->second.host.empty();
  });
}

}  // namespace laurelhall::operations
