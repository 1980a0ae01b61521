#include "fleet_table_p.h"

#include <algorithm>
#include <utility>

#include "laurelhall/planning/lifecycle.h"
#include "transition_check_p.h"

namespace laurelhall::state {
namespace {

using model::ActState;
using model::Host;
using model::HostState;
using model::JobState;

constexpr uint64_t kFirstEpoch = 1;

planning::Transition TransitionOf(const HostCommand& command) {
  return {command.host,         command.expected_epoch, command.event,
          command.drain_reason, command.move_to,        command.act,
          command.version};
}

template <typename Act>
bool IsActFinished(const Act& act) {
  return act.state == ActState::kDone || act.state == ActState::kCancelled;
}

bool IsRolloutOpen(const model::Rollout& rollout) {
  return rollout.state == ActState::kRunning ||
         rollout.state == ActState::kPaused ||
         rollout.state == ActState::kRollingBack;
}

// Whether two services run on hosts of one pool.
bool SharePool(const std::string& a,
               const std::string& b,
               const model::Config& config) {
  const auto found_a = config.services.find(a);
  const auto found_b = config.services.find(b);
  if (found_a == config.services.end() || found_b == config.services.end()) {
    return false;
  }
  const std::vector<std::string>& others = found_b->second.budget.pools;
  return std::ranges::any_of(found_a->second.budget.pools,
                             [&](const std::string& pool) {
                               return std::ranges::count(others, pool) > 0;
                             });
}

bool IsJobFinished(const model::Job& job) {
  return job.state == JobState::kSucceeded || job.state == JobState::kFailed ||
         job.state == JobState::kCancelled;
}

// Done and cancelled acts stay so, and only an operator holds or resumes one:
// a controller may have read it before.
template <typename Command, typename Act>
std::string WhyNotAct(const std::optional<Act>& before,
                      const Act& act,
                      const Command& command) {
  if (act.state >= ActState::kCount) {
    return "expected a state";
  }
  if (!before || command.expected_state != before->state) {
    return "";  // The fence decides.
  }
  if (IsActFinished(*before) && act.state != before->state) {
    return act.id + " is " + NameOf(before->state) + " and stays so";
  }
  const bool is_operators = !command.request.request_id.empty();
  if (act.is_held != before->is_held && !is_operators) {
    return act.id + " is held or resumed by an operator alone";
  }
  return "";
}

std::string UnknownPoolText(const std::vector<std::string>& pools,
                            const model::Config& config) {
  for (const std::string& pool : pools) {
    if (!config.pools.contains(pool)) {
      return "unknown pool \"" + pool + "\"";
    }
  }
  return "";
}

std::string WhyNotJob(const std::optional<model::Job>& before,
                      const JobCommand& command) {
  const model::Job& job = command.job;
  if (job.state >= JobState::kCount ||
      job.priority >= model::Priority::kCount) {
    return "expected a state and a priority";
  }
  if (!before || command.expected_lease != before->lease) {
    return "";  // The fence decides.
  }
  if (job.lease < before->lease) {
    return "a job's lease never falls: it is " + std::to_string(before->lease);
  }
  const bool is_final = before->state == JobState::kSucceeded ||
                        before->state == JobState::kCancelled;
  if (is_final && job.state != before->state) {
    return "job " + job.id + " is " + NameOf(before->state) + " and stays so";
  }
  return "";
}

}  // namespace

void FillSettings(const model::Config& config, model::Fleet& fleet) {
  fleet.pools = config.pools;
  for (const auto& [name, service] : config.services) {
    fleet.services.emplace(name, service.budget);
  }
  fleet.quotas = config.quotas;
  fleet.weights = config.weights;
}

FleetTable::FleetTable(const MachineLimits& limits)
    : m_limits(limits),
      m_waves("wave", limits.max_acts, &IsActFinished<model::Wave>),
      m_rollouts("rollout", limits.max_acts, &IsActFinished<model::Rollout>),
      m_jobs("job", limits.max_jobs, &IsJobFinished) {}

ActResult FleetTable::Apply(const HostAddCommand& command,
                            const model::Config& config) {
  if (command.host.id.empty()) {
    return Refused("expected an id");
  }
  const std::optional<Host> known = m_hosts.Find(command.host.id);
  return known ? RefreshHost(*known, command) : AddHost(command, config);
}

ActResult FleetTable::AddHost(const HostAddCommand& command,
                              const model::Config& config) {
  const std::string error = WhyNotJoin(command.host, command.host.pool, config);
  if (!error.empty()) {
    return Refused(error);
  }
  if (m_host_count >= m_limits.max_hosts) {
    return Refused("too many hosts");
  }
  Host host = command.host;
  host.state = HostState::kAnnounced;
  host.epoch = kFirstEpoch;
  host.drain_reason = model::DrainReason::kNone;
  host.move_to.clear();
  host.act.clear();
  host.state_since = command.request.at;
  host.last_seen = command.request.at;
  Load(host);
  return Accepted(host.epoch);
}

ActResult FleetTable::RefreshHost(const Host& known,
                                  const HostAddCommand& command) {
  if (command.host.pool != known.pool) {
    return Refused(
        "host " + known.id + " belongs to pool " + known.pool + "; move it",
        known.epoch);
  }
  Host host = known;
  host.rack = command.host.rack;
  host.availability_zone = command.host.availability_zone;
  host.region = command.host.region;
  host.capacity = command.host.capacity;
  host.last_seen = std::max(host.last_seen, command.request.at);
  Load(host);
  return Accepted(host.epoch);
}

ActResult FleetTable::Apply(const HostCommand& command,
                            const model::Config& config) {
  const std::optional<Host> host = m_hosts.Find(command.host);
  if (!host) {
    return Refused("unknown host \"" + command.host + "\"");
  }
  std::string error = WhyNotTransition(*host, command, config);
  if (error.empty()) {
    error = WhyNotNow(command, config);
  }
  if (!error.empty()) {
    return Refused(error, host->epoch);
  }
  const std::optional<Host> after = planning::ApplyTransition(
      *host, TransitionOf(command), command.request.at);
  if (!after) {
    return Refused("host " + host->id + " is " + NameOf(host->state) +
                       " (drain reason " + NameOf(host->drain_reason) +
                       "): " + NameOf(command.event) + " isn't allowed",
                   host->epoch);
  }
  Load(*after);
  return Accepted(after->epoch);
}

/// What other records of this entry's state say against a transition.
std::string FleetTable::WhyNotNow(const HostCommand& command,
                                  const model::Config& config) const {
  if (TakesFromBudget(command)) {
    model::Fleet fleet;
    FillSettings(config, fleet);
    m_hosts.ReadEach([&](const Hosts& hosts) {
      fleet.hosts.insert(hosts.begin(), hosts.end());
    });
    return WhyNotDrain(fleet, command.host);
  }
  if (!NeedsEmptyHost(command.event)) {
    return "";
  }
  const std::optional<std::string> job = m_jobs.FindId(
      [&](const model::Job& each) { return each.host == command.host; });
  return job ? "host " + command.host + " still holds job " + *job : "";
}

/// A job starts only on a host that serves its pool as of this entry.
std::string FleetTable::WhyNotStart(const std::optional<model::Job>& before,
                                    const model::Job& job) const {
  const bool is_start = !job.host.empty() && (!before || before->host.empty());
  if (!is_start) {
    return "";
  }
  const std::optional<Host> host = m_hosts.Find(job.host);
  if (!host) {
    return "unknown host \"" + job.host + "\"";
  }
  return host->state == HostState::kInPool
             ? ""
             : "host " + job.host + " is " + NameOf(host->state) +
                   ": nothing starts there";
}

/// Two roll-outs under way over one host would undo each other for ever.
std::string FleetTable::WhyNotOpen(const model::Rollout& rollout,
                                   const model::Config& config) const {
  if (!IsRolloutOpen(rollout)) {
    return "";
  }
  const std::optional<std::string> other =
      m_rollouts.FindId([&](const model::Rollout& each) {
        return each.id != rollout.id && IsRolloutOpen(each) &&
               SharePool(each.service, rollout.service, config);
      });
  return other ? "roll-out " + *other + " is under way over the same pools"
               : "";
}

bool FleetTable::IsHostAway(const std::string& host) const {
  const std::optional<Host> known = m_hosts.Find(host);
  return known && known->state != HostState::kInPool;
}

ActResult FleetTable::Apply(const WaveCommand& command,
                            const model::Config& config) {
  std::string error =
      WhyNotAct(m_waves.Find(command.wave.id), command.wave, command);
  if (error.empty() && !command.expected_state) {
    error = UnknownPoolText(command.wave.pools, config);
  }
  return error.empty() ? m_waves.Replace(command.wave, command.expected_state,
                                         command.request.at)
                       : Refused(error);
}

ActResult FleetTable::Apply(const RolloutCommand& command,
                            const model::Config& config) {
  const model::Rollout& rollout = command.rollout;
  std::string error = WhyNotAct(m_rollouts.Find(rollout.id), rollout, command);
  const bool is_known = config.services.contains(rollout.service);
  if (error.empty()) {
    error = WhyNotOpen(rollout, config);
  }
  if (error.empty() && !command.expected_state && !is_known) {
    error = "unknown service \"" + rollout.service + "\"";
  }
  return error.empty() ? m_rollouts.Replace(rollout, command.expected_state,
                                            command.request.at)
                       : Refused(error);
}

ActResult FleetTable::Apply(const JobCommand& command,
                            const model::Config& config) {
  const std::optional<model::Job> before = m_jobs.Find(command.job.id);
  std::string error = WhyNotJob(before, command);
  if (error.empty() && (!before || command.expected_lease == before->lease)) {
    error = WhyNotStart(before, command.job);
  }
  if (error.empty() && !command.expected_lease) {
    error = UnknownPoolText({command.job.pool}, config);
  }
  const uint64_t lease_before = before ? before->lease : 0;
  if (!error.empty()) {
    return Refused(error, lease_before);
  }
  ActResult result =
      m_jobs.Replace(command.job, command.expected_lease, command.request.at);
  result.version = result.is_accepted ? command.job.lease : lease_before;
  return result;
}

std::vector<model::Job> FleetTable::JobsOnHosts(
    const std::set<std::string>& hosts) const {
  return m_jobs.Those([&](const model::Job& job) {
    return !job.host.empty() && (hosts.empty() || hosts.contains(job.host));
  });
}

void FleetTable::Expire(WallTime now) {
  const WallTime before = now - m_limits.finished_retention;
  m_waves.Expire(before);
  m_rollouts.Expire(before);
  m_jobs.Expire(before);
  m_hosts.WriteEach([&](Hosts& hosts) {
    m_host_count -= std::erase_if(hosts, [&](const auto& item) {
      return item.second.state == HostState::kRetired &&
             item.second.state_since <= before;
    });
  });
}

void FleetTable::Read(model::Fleet& fleet) const {
  m_hosts.ReadAtOnce([&](const Hosts& hosts) {
    fleet.hosts.insert(hosts.begin(), hosts.end());
  });
  fleet.waves = m_waves.All();
  fleet.rollouts = m_rollouts.All();
  fleet.jobs = m_jobs.All();
}

HostsByPool FleetTable::CountHosts() const {
  HostsByPool counts;
  m_hosts.ReadEach([&](const Hosts& hosts) {
    for (const auto& [id, host] : hosts) {
      if (host.state == HostState::kRetired) {
        continue;
      }
      ++counts[host.pool];
      if (!host.move_to.empty()) {
        ++counts[host.move_to];
      }
    }
  });
  return counts;
}

void FleetTable::Save(SnapshotWriter& writer) const {
  Hosts all;
  m_hosts.ReadEach(
      [&](const Hosts& hosts) { all.insert(hosts.begin(), hosts.end()); });
  for (const auto& [id, host] : all) {
    writer.Add("host", host);
  }
  m_waves.Save(writer);
  m_rollouts.Save(writer);
  m_jobs.Save(writer);
}

void FleetTable::Load(const Host& host) {
  m_hosts.Write(host.id, [&](Hosts& hosts) {
    m_host_count += hosts.insert_or_assign(host.id, host).second ? 1 : 0;
  });
}

}  // namespace laurelhall::state
