#include "worker_checks_p.h"

#include <cstdint>

#include "leadership_p.h"

namespace laurelhall::dispatch {

WorkerSlot WorkerChecks::Add(Entry& entry) {
  if (m_unused.empty()) {
    m_unused.push_back({static_cast<uint32_t>(m_due.size())});
    m_due.emplace_back();
    m_entries.emplace_back();
  }
  const WorkerSlot slot = m_unused.back();
  m_unused.pop_back();
  m_entries[slot.index] = &entry;
  CheckSoon(slot);
  return slot;
}

void WorkerChecks::Remove(WorkerSlot slot) {
  m_due[slot.index] = SteadyTime::max();
  m_entries[slot.index] = nullptr;
  m_unused.push_back(slot);
}

std::vector<WorkerChecks::Entry*> WorkerChecks::Due(SteadyTime now) const {
  std::vector<Entry*> due;
  for (size_t index = 0; index < m_due.size(); ++index) {
    if (m_due[index] <= now) {
      due.push_back(m_entries[index]);
    }
  }
  return due;
}

}  // namespace laurelhall::dispatch
