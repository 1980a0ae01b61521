#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace laurelhall::state {

/// A map in shards, each under its own lock, with many readers.
///
/// @tparam Map A standard map; ShardHash chooses the shard of a key.
/// @remarks Thread-safe. Writers must be kept apart by the caller: one entry
///   is applied at a time. Functions passed in run under a shard's lock and
///   must not call out of the package or back into the map.
template <typename Map, typename ShardHash, size_t kShards>
class ShardedMap {
 public:
  using Key = typename Map::key_type;
  using Value = typename Map::mapped_type;

  /// Calls `use(map)` on the shard of a key, for a change.
  template <typename Use>
  auto Write(const Key& key, Use use) {
    Shard& shard = ShardOf(key);
    const std::lock_guard lock(shard.mutex);
    return use(shard.map);
  }

  /// Calls `use(map)` on the shard of a key.
  template <typename Use>
  auto Read(const Key& key, Use use) const {
    const Shard& shard = ShardOf(key);
    const std::lock_guard lock(shard.mutex);
    return use(shard.map);
  }

  /// A copy of one value.
  std::optional<Value> Find(const Key& key) const {
    return Read(key, [&](const Map& map) -> std::optional<Value> {
      const auto found = map.find(key);
      return found == map.end() ? std::nullopt : std::optional(found->second);
    });
  }

  /// Calls `use(map)` on each shard in turn, for a change.
  template <typename Use>
  void WriteEach(Use use) {
    for (Shard& shard : m_shards) {
      const std::lock_guard lock(shard.mutex);
      use(shard.map);
    }
  }

  /// Calls `use(map)` on each shard in turn.
  template <typename Use>
  void ReadEach(Use use) const {
    for (const Shard& shard : m_shards) {
      const std::lock_guard lock(shard.mutex);
      use(shard.map);
    }
  }

  /// Calls `use(map)` on each shard while all are locked: one moment's state.
  template <typename Use>
  void ReadAtOnce(Use use) const {
    std::vector<std::unique_lock<std::mutex>> locks;
    locks.reserve(kShards);
    // Always in the order of the array, so that two readers cannot deadlock.
    for (const Shard& shard : m_shards) {
      locks.emplace_back(shard.mutex);
    }
    for (const Shard& shard : m_shards) {
      use(shard.map);
    }
  }

  size_t size() const {
    size_t total = 0;
    ReadEach([&](const Map& map) { total += map.size(); });
    return total;
  }

 private:
  struct Shard {
    mutable std::mutex mutex;
    Map map;  // Guarded by `mutex`.
  };

  Shard& ShardOf(const Key& key) {
    return m_shards[ShardHash{}(key) % kShards];
  }
  const Shard& ShardOf(const Key& key) const {
    return m_shards[ShardHash{}(key) % kShards];
  }

  std::array<Shard, kShards> m_shards;
};

}  // namespace laurelhall::state
