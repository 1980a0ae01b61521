#include "tables_p.h"

#include <algorithm>
#include <stdexcept>

#include "read_json_p.h"
#include "results_p.h"

namespace laurelhall::state {
namespace {

namespace json = boost::json;

constexpr uint64_t kSnapshotFormat = 1;

/// The first record of a snapshot.
struct SnapshotHead {
  uint64_t format = kSnapshotFormat;
  uint64_t applied_index = 0;
};
BOOST_DESCRIBE_STRUCT(SnapshotHead, (), (format, applied_index))

template <typename T>
T ReadAs(const json::value& value) {
  T record{};
  ReadJson(value, record);
  return record;
}

// Hands a record to the Load() of the table that `kTable` points to.
template <auto kTable, typename Record>
void LoadInto(Tables& tables, const json::value& value) {
  (tables.*kTable).Load(ReadAs<Record>(value));
}

struct Loader {
  std::string_view table;
  void (*load)(Tables&, const json::value&);
};

void LoadHead(Tables& tables, const json::value& value) {
  const auto head = ReadAs<SnapshotHead>(value);
  if (head.format != kSnapshotFormat) {
    throw std::invalid_argument("bad snapshot: its format is " +
                                std::to_string(head.format) + ", expected " +
                                std::to_string(kSnapshotFormat));
  }
  tables.applied_index = head.applied_index;
}

constexpr Loader kLoaders[] = {
    {"head", &LoadHead},
    {"claim_sequence",
     [](Tables& tables, const json::value& value) {
       tables.claims.LoadSequence(ReadAs<uint64_t>(value));
     }},
    {"claim", &LoadInto<&Tables::claims, ClaimRecord>},
    {"claim_tombstone", &LoadInto<&Tables::claims, ClaimTombstone>},
    {"claim_released",
     [](Tables& tables, const json::value& value) {
       tables.claims.LoadReleased(ReadAs<WideHash>(value));
     }},
    {"endpoint", &LoadInto<&Tables::endpoints, EndpointRecord>},
    {"settings", &LoadInto<&Tables::settings, SettingsInForce>},
    {"settings_record", &LoadInto<&Tables::settings, SettingsRecord>},
    {"host", &LoadInto<&Tables::fleet, model::Host>},
    {"wave", &LoadInto<&Tables::fleet, Tracked<model::Wave>>},
    {"rollout", &LoadInto<&Tables::fleet, Tracked<model::Rollout>>},
    {"job", &LoadInto<&Tables::fleet, Tracked<model::Job>>},
    {"request",
     [](Tables& tables, const json::value& value) {
       tables.requests.Remember(ReadAs<RememberedRequest>(value));
     }},
    {"audit",
     [](Tables& tables, const json::value& value) {
       tables.audit.Add(ReadAs<AuditRecord>(value));
     }},
    {"burn", &LoadInto<&Tables::burn, BurnSample>},
    {"session", &LoadInto<&Tables::sessions, SessionRecord>},
    {"note", &LoadInto<&Tables::notes, NoteCommand>},
    {"schedule", &LoadInto<&Tables::schedule, std::string>},
};

// The time of a resend differs from the first one's; all else is the same.
template <typename OperatorCommand>
uint64_t DigestOf(OperatorCommand command) {
  if (!command.request.digest.empty()) {
    return HashText(command.request.digest);
  }
  command.request.at = {};
  return HashText(EncodeCommands({std::move(command)}));
}

}  // namespace

Tables::Tables(const MachineLimits& limits)
    : claims(limits),
      endpoints(limits),
      settings(limits),
      fleet(limits),
      requests(limits),
      audit(limits),
      burn(limits),
      sessions(limits),
      notes(limits) {}

Result Tables::Apply(uint64_t index, const Command& command) {
  m_index = index;
  return std::visit(
      [this](const auto& known) -> Result {
        if constexpr (requires { known.request; }) {
          return RunOnce(known);
        } else {
          return Run(known);
        }
      },
      command);
}

ClaimResult Tables::Run(const ClaimCommand& command) {
  std::vector<model::EntryIdentity> lost;
  const bool may_grant = sessions.Admit(m_index, command, &lost);
  EndClaims(lost);
  return claims.Claim(command, may_grant);
}

ActResult Tables::Run(const CompleteCommand& command) {
  return claims.Complete(command);
}

ActResult Tables::Run(const ReleaseCommand& command) {
  return claims.Release(command);
}

ActResult Tables::Run(const AbandonCommand& command) {
  return claims.Abandon(command);
}

ActResult Tables::Run(const EndpointCommand& command) {
  const bool is_away = fleet.IsHostAway(command.endpoint.host);
  return endpoints.Apply(m_index, command, is_away);
}

ActResult Tables::Run(const SettingsCommand& command) {
  return settings.Apply(command, fleet.CountHosts());
}

// It has no effect here; RunOnce() records it.
ActResult Tables::Run(const ControlCommand&) {
  return Accepted();
}

ActResult Tables::Run(const BurnCommand& command) {
  return burn.Apply(command, *settings.config());
}

ActResult Tables::Run(const ExpireCommand& command) {
  Expire(command.now);
  return Accepted();
}

ActResult Tables::Run(const SessionCommand& command) {
  SessionTable::Change change = sessions.Apply(m_index, command);
  change.result.version = EndClaims(change.lost);
  return change.result;
}

ActResult Tables::Run(const NoteCommand& command) {
  return notes.Apply(command);
}

ActResult Tables::Run(const ScheduleCommand& command) {
  return schedule.Apply(command);
}

ActResult Tables::Run(const HostCommand& command) {
  ActResult result = fleet.Apply(command, *settings.config());
  if (result.is_accepted) {
    // In the same entry, so that no entry host sees one without the other.
    const bool is_away = fleet.IsHostAway(command.host);
    endpoints.SetHostAway(m_index, command.host, is_away);
  }
  return result;
}

template <typename FleetCommand>
ActResult Tables::Run(const FleetCommand& command) {
  return fleet.Apply(command, *settings.config());
}

template <typename OperatorCommand>
ActResult Tables::RunOnce(const OperatorCommand& command) {
  const OperatorRequest& request = command.request;
  const uint64_t digest = DigestOf(command);
  ActResult result;
  const std::optional<RememberedRequest> first =
      request.request_id.empty() ? std::nullopt : requests.Find(request);
  if (!first) {
    result = Run(command);
    requests.Remember({request, digest, result});
  } else if (first->digest != digest) {
    result = Refused(OtherRequestText(request));
  } else {
    result = first->answer;
    result.is_resend = true;
  }
  if (!request.operator_name.empty()) {
    audit.Add({m_index, request, ActText(command), OutcomeText(result)});
  }
  return result;
}

uint64_t Tables::EndClaims(const std::vector<model::EntryIdentity>& lost) {
  uint64_t ended = 0;
  for (const model::EntryIdentity& owner : lost) {
    ended += claims.AbandonAllOf(owner);
  }
  return ended;
}

void Tables::Expire(WallTime now) {
  Millis longest_run{0};
  for (const auto& [name, service] : settings.config()->services) {
    longest_run = std::max(longest_run, service.requests.max_run_time);
  }
  claims.Expire(now);
  // One that returns must be known while a run at it may still go on: its slots
  // were lent before.
  endpoints.Expire(now - longest_run);
  fleet.Expire(now);
  requests.Expire(now);
  burn.Expire(now);
  sessions.Expire(now);
}

std::string Tables::Save() const {
  SnapshotWriter writer;
  writer.Add("head", SnapshotHead{kSnapshotFormat, applied_index});
  claims.Save(writer);
  endpoints.Save(writer);
  settings.Save(writer);
  fleet.Save(writer);
  requests.Save(writer);
  audit.Save(writer);
  burn.Save(writer);
  sessions.Save(writer);
  notes.Save(writer);
  schedule.Save(writer);
  return writer.Finish();
}

void Tables::Load(std::string_view snapshot) {
  ReadSnapshot(snapshot,
               [this](std::string_view table, const json::value& value) {
                 LoadRecord(table, value);
               });
}

void Tables::LoadRecord(std::string_view table, const json::value& value) {
  for (const Loader& loader : kLoaders) {
    if (loader.table == table) {
      loader.load(*this, value);
      return;
    }
  }
  throw std::invalid_argument("bad snapshot: unknown table " +
                              std::string(table));
}

}  // namespace laurelhall::state
