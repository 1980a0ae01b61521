#include "schedule_table_p.h"

namespace laurelhall::state {

ActResult ScheduleTable::Apply(const ScheduleCommand& command) {
  std::vector<scheduling::Record> records;
  try {
    records = scheduling::DecodeRecords(command.records);
  } catch (const scheduling::CodecError& error) {
    return Refused(error.what());
  }
  const std::lock_guard lock(m_mutex);
  for (const scheduling::Record& record : records) {
    m_ledger.Apply(record);
  }
  return Accepted();
}

void ScheduleTable::Read(
    const std::function<void(const scheduling::Ledger&)>& reader) const {
  const std::lock_guard lock(m_mutex);
  reader(m_ledger);
}

void ScheduleTable::Save(SnapshotWriter& writer) const {
  const std::lock_guard lock(m_mutex);
  writer.Add("schedule", m_ledger.Save());
}

void ScheduleTable::Load(const std::string& saved) {
  const std::lock_guard lock(m_mutex);
  m_ledger.Load(saved);
}

}  // namespace laurelhall::state
