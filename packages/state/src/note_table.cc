#include "note_table_p.h"

namespace laurelhall::state {

ActResult NoteTable::Apply(const NoteCommand& command) {
  if (command.name.empty() ||
      command.name.size() > MachineLimits::kMaxNoteName) {
    return Refused("expected a note's name");
  }
  if (command.text.size() > m_limits.max_note_bytes) {
    return Refused("note " + command.name + " is too large");
  }
  const std::lock_guard lock(m_mutex);
  if (command.text.empty()) {
    m_notes.erase(command.name);
    return Accepted();
  }
  if (m_notes.size() >= m_limits.max_notes && !m_notes.contains(command.name)) {
    return Refused("too many notes");
  }
  m_notes[command.name] = command.text;
  return Accepted();
}

std::optional<std::string> NoteTable::Find(const std::string& name) const {
  const std::lock_guard lock(m_mutex);
  const auto found = m_notes.find(name);
  return found == m_notes.end() ? std::nullopt : std::optional(found->second);
}

void NoteTable::Save(SnapshotWriter& writer) const {
  const std::lock_guard lock(m_mutex);
  for (const auto& [name, text] : m_notes) {
    writer.Add("note", NoteCommand{name, text});
  }
}

void NoteTable::Load(const NoteCommand& note) {
  const std::lock_guard lock(m_mutex);
  m_notes[note.name] = note.text;
}

}  // namespace laurelhall::state
