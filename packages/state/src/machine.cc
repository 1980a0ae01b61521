#include "laurelhall/state/machine.h"

#include <mutex>
#include <stdexcept>
#include <utility>

#include "tables_p.h"

namespace laurelhall::state {

class Machine::Impl {
 public:
  explicit Impl(const MachineLimits& limits)
      : m_limits(limits), m_tables(std::make_shared<Tables>(limits)) {}

  std::vector<Result> Apply(uint64_t index, std::string_view payload) {
    const std::vector<Command> commands = DecodeCommands(payload);
    const std::lock_guard lock(m_apply_mutex);
    const std::shared_ptr<Tables> tables = Current();
    if (index <= tables->applied_index) {
      throw std::logic_error("entry " + std::to_string(index) +
                             " is applied already");
    }
    std::vector<Result> results;
    results.reserve(commands.size());
    for (const Command& command : commands) {
      results.push_back(tables->Apply(index, command));
    }
    // Last, so that who reads the index and then a table misses nothing.
    tables->applied_index = index;
    return results;
  }

  std::string Save() const {
    const std::lock_guard lock(m_apply_mutex);
    return Current()->Save();
  }

  void Load(std::string_view snapshot) {
    auto loaded = std::make_shared<Tables>(m_limits);
    loaded->Load(snapshot);
    const std::lock_guard apply_lock(m_apply_mutex);
    const std::lock_guard lock(m_tables_mutex);
    m_tables = std::move(loaded);
  }

  std::shared_ptr<Tables> Current() const {
    const std::lock_guard lock(m_tables_mutex);
    return m_tables;
  }

 private:
  const MachineLimits m_limits;

  // Keeps writers and Save() apart. Held while settings are checked, which is
  // a pure function of this process; readers never wait for it.
  mutable std::mutex m_apply_mutex;

  mutable std::mutex m_tables_mutex;  // Guards the pointer below.
  std::shared_ptr<Tables> m_tables;
};

Machine::Machine(MachineLimits limits)
    : m_impl(std::make_unique<Impl>(limits)) {}

Machine::~Machine() = default;

std::vector<Result> Machine::Apply(uint64_t index, std::string_view payload) {
  return m_impl->Apply(index, payload);
}

uint64_t Machine::applied_index() const {
  return m_impl->Current()->applied_index;
}

std::string Machine::Save() const {
  return m_impl->Save();
}

void Machine::Load(std::string_view snapshot) {
  m_impl->Load(snapshot);
}

uint64_t Machine::settings_version() const {
  return m_impl->Current()->settings.version();
}

std::string Machine::settings_tree() const {
  return m_impl->Current()->settings.tree();
}

std::shared_ptr<const model::Config> Machine::config() const {
  return m_impl->Current()->settings.config();
}

std::optional<std::vector<SettingsRecord>> Machine::SettingsSince(
    uint64_t version) const {
  return m_impl->Current()->settings.Since(version);
}

std::vector<model::Endpoint> Machine::EndpointsSince(uint64_t index) const {
  const std::shared_ptr<Tables> tables = m_impl->Current();
  // An entry that is being applied shows whole or not at all: who asks again
  // from the last index seen would never hear of the other half.
  const uint64_t applied = tables->applied_index;
  std::vector<model::Endpoint> endpoints = tables->endpoints.Since(index);
  std::erase_if(endpoints, [applied](const model::Endpoint& endpoint) {
    return endpoint.changed_at_index > applied;
  });
  return endpoints;
}

model::Fleet Machine::fleet() const {
  const std::shared_ptr<Tables> tables = m_impl->Current();
  const std::shared_ptr<const model::Config> config = tables->settings.config();
  model::Fleet fleet;
  tables->fleet.Read(fleet);
  FillSettings(*config, fleet);
  return fleet;
}

std::optional<model::Host> Machine::FindHost(const std::string& id) const {
  return m_impl->Current()->fleet.FindHost(id);
}

std::optional<model::Job> Machine::FindJob(const std::string& id) const {
  return m_impl->Current()->fleet.FindJob(id);
}

std::vector<model::Job> Machine::JobsOnHosts(
    const std::set<std::string>& hosts) const {
  return m_impl->Current()->fleet.JobsOnHosts(hosts);
}

std::vector<AuditRecord> Machine::Audit(size_t most) const {
  return m_impl->Current()->audit.Latest(most);
}

std::vector<BurnSample> Machine::Burn(const std::string& service,
                                      WallTime since) const {
  return m_impl->Current()->burn.Since(service, since);
}

std::optional<ClaimResult> Machine::RepeatOfClaim(
    const ClaimCommand& command) const {
  return m_impl->Current()->claims.RepeatOf(command);
}

std::optional<ActResult> Machine::FindRequest(
    const OperatorRequest& request) const {
  const auto first = m_impl->Current()->requests.Find(request);
  if (!first) {
    return std::nullopt;
  }
  if (first->request.digest != request.digest) {
    throw std::invalid_argument(OtherRequestText(request));
  }
  ActResult answer = first->answer;
  answer.is_resend = true;
  return answer;
}

std::optional<std::string> Machine::Note(const std::string& name) const {
  return m_impl->Current()->notes.Find(name);
}

std::optional<ClaimResult> Machine::FindClaim(
    const model::ClaimKey& key) const {
  return m_impl->Current()->claims.Find(key);
}

std::vector<SessionRecord> Machine::Sessions() const {
  return m_impl->Current()->sessions.All();
}

std::optional<SessionRecord> Machine::FindSession(
    const model::EntryIdentity& entry) const {
  return m_impl->Current()->sessions.Find(entry);
}

void Machine::ReadSchedule(
    const std::function<void(const scheduling::Ledger&)>& reader) const {
  m_impl->Current()->schedule.Read(reader);
}

uint64_t Machine::Digest() const {
  return HashText(m_impl->Save());
}

}  // namespace laurelhall::state
