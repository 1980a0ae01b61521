#include "endpoint_table_p.h"

#include <algorithm>
#include <optional>

#include "results_p.h"

namespace laurelhall::state {
namespace {

using model::Endpoint;
using model::EndpointState;

// Compares all but when and at which index it changed.
bool HasSameFacts(const Endpoint& a, const Endpoint& b) {
  const auto facts = [](const Endpoint& e) {
    return std::tie(e.service, e.address, e.host, e.availability_zone, e.vendor,
                    e.incarnation, e.state, e.slots, e.connections,
                    e.is_host_away);
  };
  return facts(a) == facts(b);
}

std::optional<std::string> Unfit(const Endpoint& endpoint) {
  if (endpoint.id.empty()) {
    return "expected an id";
  }
  if (endpoint.state >= EndpointState::kCount) {
    return "expected a state";
  }
  if (endpoint.slots <= 0 || endpoint.connections <= 0) {
    return "expected slots and connections";
  }
  return std::nullopt;
}

std::string IncarnationText(const Endpoint& endpoint) {
  return "endpoint " + endpoint.id + " incarnation " +
         std::to_string(endpoint.incarnation);
}

}  // namespace

EndpointTable::EndpointTable(const MachineLimits& limits) : m_limits(limits) {}

ActResult EndpointTable::Apply(uint64_t index,
                               const EndpointCommand& command,
                               bool is_host_away) {
  Endpoint announced = command.endpoint;
  announced.is_host_away = is_host_away;
  announced.first_index = index;
  if (const auto error = Unfit(announced)) {
    return Refused(*error);
  }
  const auto before = m_shards.Read(
      announced.id, [&](const Shard& shard) -> std::optional<EndpointRecord> {
        const auto found = shard.records.find(announced.id);
        return found == shard.records.end() ? std::nullopt
                                            : std::optional(found->second);
      });
  if (before) {
    return Transition(index, *before, announced);
  }
  if (announced.state == EndpointState::kGone) {
    return Accepted(announced.incarnation);
  }
  if (m_count >= m_limits.max_endpoints) {
    return Refused("the table of endpoints is full");
  }
  Put(index, {announced, announced.state == EndpointState::kLeaving});
  return Accepted(announced.incarnation);
}

ActResult EndpointTable::Transition(uint64_t index,
                                    const EndpointRecord& before,
                                    const Endpoint& announced) {
  const Endpoint& known = before.endpoint;
  if (announced.incarnation < known.incarnation) {
    return Refused(IncarnationText(known) + " is known, " +
                       std::to_string(announced.incarnation) + " is older",
                   known.incarnation);
  }
  // Each vendor proves itself for its own endpoints only.
  if (announced.vendor != known.vendor) {
    return Refused("endpoint " + known.id + " is of another vendor",
                   known.incarnation);
  }
  const bool is_fresh = announced.incarnation > known.incarnation;
  const bool has_left = before.has_left && !is_fresh;
  if (has_left && announced.state == EndpointState::kReady) {
    return Refused(IncarnationText(known) + " is leaving and stays so",
                   known.incarnation);
  }
  EndpointRecord after{announced, has_left};
  after.endpoint.first_index = known.first_index;
  if (announced.state != EndpointState::kReady && !is_fresh) {
    // Who says that it leaves or is gone need not know the rest.
    after.endpoint = known;
    after.endpoint.state = announced.state;
    after.endpoint.state_since = announced.state_since;
  }
  // A late `leaving` doesn't call a gone one back.
  if (known.state == EndpointState::kGone && !is_fresh &&
      announced.state == EndpointState::kLeaving) {
    after.endpoint.state = EndpointState::kGone;
  }
  after.has_left = has_left || announced.state == EndpointState::kLeaving;
  if (after.has_left == before.has_left &&
      HasSameFacts(after.endpoint, known)) {
    return Accepted(known.incarnation);
  }
  Put(index, std::move(after));
  return Accepted(announced.incarnation);
}

void EndpointTable::SetHostAway(uint64_t index,
                                const std::string& host,
                                bool is_away) {
  std::vector<EndpointRecord> changed;
  m_shards.ReadEach([&](const Shard& shard) {
    for (const auto& [id, record] : shard.records) {
      if (record.endpoint.host == host &&
          record.endpoint.is_host_away != is_away) {
        changed.push_back(record);
      }
    }
  });
  for (EndpointRecord& record : changed) {
    record.endpoint.is_host_away = is_away;
    Put(index, std::move(record));
  }
}

void EndpointTable::Put(uint64_t index, EndpointRecord record) {
  record.endpoint.changed_at_index = index;
  Load(record);
}

void EndpointTable::Load(const EndpointRecord& record) {
  const std::string& id = record.endpoint.id;
  m_shards.Write(id, [&](Shard& shard) {
    auto [place, is_new] = shard.records.try_emplace(id);
    if (!is_new) {
      shard.by_change.erase({place->second.endpoint.changed_at_index, id});
    }
    place->second = record;
    shard.by_change.emplace(record.endpoint.changed_at_index, id);
    m_count += is_new ? 1 : 0;
  });
}

void EndpointTable::Expire(WallTime now) {
  m_shards.WriteEach([&](Shard& shard) {
    m_count -= std::erase_if(shard.records, [&](const auto& item) {
      const Endpoint& endpoint = item.second.endpoint;
      const bool is_past =
          endpoint.state == EndpointState::kGone &&
          endpoint.state_since + m_limits.gone_endpoint_retention <= now;
      if (is_past) {
        shard.by_change.erase({endpoint.changed_at_index, endpoint.id});
      }
      return is_past;
    });
  });
}

std::vector<Endpoint> EndpointTable::Since(uint64_t index) const {
  std::vector<Endpoint> changed;
  m_shards.ReadEach([&](const Shard& shard) {
    auto change = shard.by_change.lower_bound({index + 1, ""});
    for (; change != shard.by_change.end(); ++change) {
      changed.push_back(shard.records.at(change->second).endpoint);
    }
  });
  std::sort(changed.begin(), changed.end(),
            [](const Endpoint& a, const Endpoint& b) {
              return std::tie(a.changed_at_index, a.id) <
                     std::tie(b.changed_at_index, b.id);
            });
  return changed;
}

void EndpointTable::Save(SnapshotWriter& writer) const {
  std::map<std::string, EndpointRecord> all;
  m_shards.ReadEach([&](const Shard& shard) {
    all.insert(shard.records.begin(), shard.records.end());
  });
  for (const auto& [id, record] : all) {
    writer.Add("endpoint", record);
  }
}

}  // namespace laurelhall::state
