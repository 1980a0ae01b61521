#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "laurelhall/state/command.h"
#include "laurelhall/state/machine.h"
#include "sharded_map_p.h"
#include "snapshot_p.h"

namespace laurelhall::state {

/// An endpoint and whether this incarnation ever said that it leaves.
struct EndpointRecord {
  model::Endpoint endpoint;
  bool has_left = false;
};
BOOST_DESCRIBE_STRUCT(EndpointRecord, (), (endpoint, has_left))

/// Endpoints as announced, with those gone kept a while for deltas.
///
/// @remarks Since() is thread-safe; all else is for the one applying thread.
class EndpointTable {
 public:
  explicit EndpointTable(const MachineLimits& limits);

  /// @param is_host_away Whether its host serves its pool just now.
  ActResult Apply(uint64_t index,
                  const EndpointCommand& command,
                  bool is_host_away);

  /// Closes or opens all endpoints of a host.
  void SetHostAway(uint64_t index, const std::string& host, bool is_away);

  void Expire(WallTime now);

  /// Endpoints changed after a log index, in the order of their changes.
  std::vector<model::Endpoint> Since(uint64_t index) const;

  void Save(SnapshotWriter& writer) const;
  void Load(const EndpointRecord& record);

 private:
  using Change = std::pair<uint64_t, std::string>;
  struct Shard {
    using key_type = std::string;
    using mapped_type = EndpointRecord;
    std::map<std::string, EndpointRecord> records;
    std::set<Change> by_change;
    size_t size() const { return records.size(); }
  };
  static constexpr size_t kShards = 16;

  ActResult Transition(uint64_t index,
                       const EndpointRecord& before,
                       const model::Endpoint& announced);
  void Put(uint64_t index, EndpointRecord record);

  const MachineLimits m_limits;
  ShardedMap<Shard, std::hash<std::string>, kShards> m_shards;
  size_t m_count = 0;  // Of records; for the applying thread alone.
};

}  // namespace laurelhall::state
