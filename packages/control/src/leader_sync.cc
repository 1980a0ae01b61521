#include "leader_sync_p.h"

#include <algorithm>

namespace laurelhall::control {

namespace {

// An endpoint that no entry host heard for this long is gone.
constexpr Millis kSilentIsGone = std::chrono::seconds(10);
// Without syncs, silence says nothing of endpoints.
constexpr Millis kSyncsAreRecent = std::chrono::seconds(2);
constexpr Millis kExpiryPeriod = std::chrono::minutes(1);
constexpr Millis kForgetEntry = std::chrono::hours(1);
constexpr size_t kMaxEntries = 1'000;
constexpr size_t kMaxBurnSamples = 20'000;

WallTime MinuteOf(WallTime at) {
  return std::chrono::floor<std::chrono::minutes>(at);
}

Millis MaxRunTime(const model::Config* config, const std::string& service) {
  if (config != nullptr) {
    const auto found = config->services.find(service);
    if (found != config->services.end()) {
      return found->second.requests.max_run_time;
    }
  }
  return model::RequestPolicy().max_run_time;
}

}  // namespace

LeaderSync::LeaderSync(const state::Machine& machine,
                       uint64_t term,
                       uint64_t first_index,
                       SteadyTime now,
                       Millis session_timeout)
    : m_machine(machine),
      m_first_index(first_index),
      m_allocator(
          [term] {
            routing::SlotAllocatorInit init;
            init.epoch = term;
            return init;
          }(),
          now),
      m_sessions(machine, session_timeout, now),
      m_leads_since(now),
      m_next_expiry(now + kExpiryPeriod) {}

SyncAnswer LeaderSync::Answer(const SyncQuestion& question,
                              uint64_t applied,
                              SteadyTime now) {
  FollowEndpoints(now);
  TakeOverSessions();
  Remember(question, now);
  SyncAnswer answer;
  answer.applied_index = applied;
  answer.endpoints = m_machine.EndpointsSince(question.endpoints_index);
  FillSettings(question.settings_version, answer);
  RenewLeases(question, now, answer);
  return answer;
}

void LeaderSync::RenewLeases(const SyncQuestion& question,
                             SteadyTime now,
                             SyncAnswer& answer) {
  if (!m_sessions.Admit(question.entry, now)) {
    // Anything else would renew what it holds.
    answer.leases.is_full_wanted = true;
    return;
  }
  routing::RenewalReceiver& receiver =
      m_receivers[{question.entry.name, question.entry.incarnation}];
  const auto demands = receiver.Read(question.leases);
  if (!demands) {
    answer.leases.is_full_wanted = true;
    return;
  }
  answer.leases = receiver.Answer(
      question.leases, m_allocator.Renew(question.entry, *demands, now));
}

std::vector<state::Command> LeaderSync::TakeOpenedSessions() {
  return m_sessions.TakeOpened();
}

// Sessions of earlier terms are all applied once a read was confirmed.
void LeaderSync::TakeOverSessions() {
  if (!m_has_taken_over) {
    m_has_taken_over = true;
    m_allocator.SetEarlierHolders(m_sessions.MayHoldSlots());
  }
}

std::vector<state::Command> LeaderSync::TakeDue(SteadyTime now, WallTime wall) {
  std::vector<state::Command> due;
  FollowEndpoints(now);
  m_allocator.Expire(now);
  TakeSilentEndpoints(now, wall, due);
  if (m_has_taken_over) {
    m_sessions.TakeLost(m_allocator, now, due);
  }
  TakeBurn(wall, due);
  if (now >= m_next_expiry) {
    m_next_expiry = now + kExpiryPeriod;
    due.emplace_back(state::ExpireCommand{wall});
  }
  ForgetEntries(now);
  return due;
}

// Who is forgotten too early only has to send its demands in full again.
void LeaderSync::ForgetEntries(SteadyTime now) {
  std::erase_if(m_entries, [now](const auto& entry) {
    return now - entry.second.at > kForgetEntry;
  });
  std::erase_if(m_receivers, [this](const auto& receiver) {
    const auto known = m_entries.find(receiver.first.first);
    return known == m_entries.end() ||
           known->second.incarnation != receiver.first.second;
  });
}

std::vector<EntryReport> LeaderSync::Entries(SteadyTime now) const {
  std::vector<EntryReport> reports;
  for (const auto& [name, record] : m_entries) {
    reports.push_back({name, record.incarnation, record.settings_version,
                       std::chrono::duration_cast<Millis>(now - record.at)});
  }
  return reports;
}

void LeaderSync::FollowEndpoints(SteadyTime now) {
  const auto config = m_machine.config();
  const bool is_new_config = config && config->version != m_config_version;
  for (model::Endpoint& endpoint :
       m_machine.EndpointsSince(m_endpoints_index)) {
    m_endpoints_index = std::max(m_endpoints_index, endpoint.changed_at_index);
    if (endpoint.state == model::EndpointState::kGone) {
      SetSlots(endpoint, config.get(), now);
      m_endpoints.erase(endpoint.id);
      m_signs.erase(endpoint.id);
      continue;
    }
    SetSlots(endpoint, config.get(), now);
    m_signs[endpoint.id] = {endpoint.incarnation, now};
    m_endpoints[endpoint.id] = std::move(endpoint);
  }
  if (is_new_config) {
    m_config_version = config->version;
    for (const auto& [id, endpoint] : m_endpoints) {
      SetSlots(endpoint, config.get(), now);
    }
  }
}

// One that is closed is made known too: an earlier leader may have lent its
// slots, and its host is not empty while runs under them may go on.
void LeaderSync::SetSlots(const model::Endpoint& endpoint,
                          const model::Config* config,
                          SteadyTime now) {
  const bool is_never_lent = endpoint.first_index >= m_first_index;
  m_allocator.SetEndpoint(endpoint, MaxRunTime(config, endpoint.service), now,
                          is_never_lent);
  if (!endpoint.is_open()) {
    m_allocator.RemoveEndpoint(endpoint.id);
  }
}

std::map<std::string, int> LeaderSync::SlotsOutByHost(SteadyTime now) {
  FollowEndpoints(now);
  TakeOverSessions();
  m_allocator.Expire(now);
  std::map<std::string, int> slots;
  for (const auto& [id, endpoint] : m_endpoints) {
    slots[endpoint.host] +=
        m_allocator.LentSlots(id) + m_allocator.QuarantinedSlots(id);
  }
  return slots;
}

void LeaderSync::Remember(const SyncQuestion& question, SteadyTime now) {
  m_last_sync = now;
  const auto known = m_entries.find(question.entry.name);
  if (known != m_entries.end() || m_entries.size() < kMaxEntries) {
    m_entries[question.entry.name] = {question.entry.incarnation,
                                      question.settings_version, now};
  }
  for (const Renewal& renewal : question.renewals) {
    const auto sign = m_signs.find(renewal.endpoint);
    if (sign != m_signs.end() &&
        renewal.incarnation >= sign->second.incarnation) {
      sign->second.at = now;
    }
  }
  for (const state::BurnSample& sample : question.burn) {
    const auto key = std::pair(sample.service, MinuteOf(sample.at));
    if (m_burn.size() >= kMaxBurnSamples && !m_burn.contains(key)) {
      continue;
    }
    state::BurnSample& sum = m_burn[key];
    sum.service = key.first;
    sum.at = key.second;
    sum.good += sample.good;
    sum.bad_failure += sample.bad_failure;
    sum.bad_wave += sample.bad_wave;
    sum.bad_overload += sample.bad_overload;
  }
}

void LeaderSync::FillSettings(uint64_t since, SyncAnswer& answer) const {
  const uint64_t version = m_machine.settings_version();
  answer.settings_version = version;
  if (version == since) {
    return;
  }
  auto records =
      since < version ? m_machine.SettingsSince(since) : std::nullopt;
  if (records && !records->empty()) {
    answer.settings_version = records->back().version;
    answer.settings_records = std::move(*records);
    return;
  }
  // The tree and its version are read apart while another thread applies.
  do {
    answer.settings_version = m_machine.settings_version();
    answer.settings_tree = m_machine.settings_tree();
  } while (answer.settings_version != m_machine.settings_version());
}

void LeaderSync::TakeSilentEndpoints(SteadyTime now,
                                     WallTime wall,
                                     std::vector<state::Command>& due) {
  if (now - m_leads_since < kSilentIsGone ||
      now - m_last_sync > kSyncsAreRecent) {
    return;
  }
  for (auto& [id, sign] : m_signs) {
    if (now - sign.at < kSilentIsGone) {
      continue;
    }
    sign.at = now;  // Not proposed again while this one is on its way.
    state::EndpointCommand gone{m_endpoints.at(id)};
    gone.endpoint.state = model::EndpointState::kGone;
    gone.endpoint.state_since = wall;
    due.emplace_back(std::move(gone));
  }
}

void LeaderSync::TakeBurn(WallTime wall, std::vector<state::Command>& due) {
  state::BurnCommand command;
  std::erase_if(m_burn, [&](const auto& sample) {
    const bool is_past = sample.first.second < MinuteOf(wall);
    if (is_past) {
      command.samples.push_back(sample.second);
    }
    return is_past;
  });
  if (!command.samples.empty()) {
    due.emplace_back(std::move(command));
  }
}

}  // namespace laurelhall::control
