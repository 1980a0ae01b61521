#include "audit_log_p.h"

#include <algorithm>
#include <cctype>
#include <utility>

#include "results_p.h"

namespace laurelhall::state {
namespace {

constexpr size_t kMaxNamedPaths = 10;

// "kConfirmEmpty" as "confirm_empty".
template <typename Enum>
std::string Word(Enum value) {
  std::string word;
  for (const char letter : NameOf(value).substr(1)) {
    if (std::isupper(static_cast<unsigned char>(letter)) != 0 &&
        !word.empty()) {
      word += '_';
    }
    word += static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
  }
  return word;
}

}  // namespace

AuditLog::AuditLog(const MachineLimits& limits) : m_limits(limits) {}

void AuditLog::Add(AuditRecord record) {
  const std::lock_guard lock(m_mutex);
  m_records.push_back(std::move(record));
  if (m_records.size() > m_limits.max_audit_records) {
    m_records.pop_front();
  }
}

std::vector<AuditRecord> AuditLog::Latest(size_t most) const {
  const std::lock_guard lock(m_mutex);
  const size_t count = std::min(most, m_records.size());
  return {m_records.rbegin(),
          m_records.rbegin() + static_cast<ptrdiff_t>(count)};
}

void AuditLog::Save(SnapshotWriter& writer) const {
  const std::lock_guard lock(m_mutex);
  for (const AuditRecord& record : m_records) {
    writer.Add("audit", record);
  }
}

std::string ActText(const SettingsCommand& command) {
  std::string text = "settings.change";
  size_t named = 0;
  for (const auto& [path, value] : command.changes) {
    if (++named > kMaxNamedPaths) {
      return text + " and more";
    }
    text += " " + path;
  }
  return text;
}

std::string ActText(const HostAddCommand& command) {
  return "host.add " + command.host.id;
}

std::string ActText(const HostCommand& command) {
  return "host." + Word(command.event) + " " + command.host +
         (command.force ? " forced" : "");
}

std::string ActText(const WaveCommand& command) {
  return "wave." + Word(command.wave.state) + " " + command.wave.id;
}

std::string ActText(const RolloutCommand& command) {
  return "rollout." + Word(command.rollout.state) + " " + command.rollout.id;
}

std::string ActText(const JobCommand& command) {
  return "job." + Word(command.job.state) + " " + command.job.id;
}

std::string ActText(const ControlCommand& command) {
  return "control." + command.act;
}

std::string OutcomeText(const ActResult& result) {
  const std::string text =
      result.is_accepted ? "accepted" : "refused: " + result.error;
  return result.is_resend ? "resend, " + text : text;
}

}  // namespace laurelhall::state
