#pragma once

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "laurelhall/base/handle.h"

namespace laurelhall::routing {

/// Values by handle. A handle carries a lane (its shard), a place and a
/// generation, so that one used after its value's removal finds nothing.
///
/// @remarks Not thread-safe: its owner's lock is held by the caller.
template <typename T, typename Tag, int kLaneBits, int kPlaceBits>
class HandleTable {
 public:
  static constexpr uint32_t kMaxPlaces = uint32_t{1} << kPlaceBits;

  static uint32_t LaneOf(Handle<Tag> handle) {
    return handle.index % (uint32_t{1} << kLaneBits);
  }

  /// Adds a value; none when the table is full.
  std::optional<Handle<Tag>> Add(T value, uint32_t lane = 0) {
    if (m_free.empty() && m_places.size() == kMaxPlaces) {
      return std::nullopt;
    }
    if (m_free.empty()) {
      m_free.push_back(static_cast<uint32_t>(m_places.size()));
      m_places.emplace_back();
    }
    const uint32_t index = m_free.back();
    m_free.pop_back();
    Place& place = m_places[index];
    place.value = std::move(value);
    return Handle<Tag>{(place.generation << (kLaneBits + kPlaceBits)) |
                       (index << kLaneBits) | lane};
  }

  /// Finds a value; null when it was removed.
  const T* Find(Handle<Tag> handle) const {
    const uint32_t index = (handle.index >> kLaneBits) % kMaxPlaces;
    if (!handle.is_valid() || index >= m_places.size()) {
      return nullptr;
    }
    const Place& place = m_places[index];
    const uint32_t generation = handle.index >> (kLaneBits + kPlaceBits);
    const bool is_same = place.value && place.generation == generation;
    return is_same ? &*place.value : nullptr;
  }

  T* Find(Handle<Tag> handle) {
    return const_cast<T*>(std::as_const(*this).Find(handle));
  }

  /// Removes a value. No effect when it was removed before.
  void Remove(Handle<Tag> handle) {
    if (Find(handle) == nullptr) {
      return;
    }
    const uint32_t index = (handle.index >> kLaneBits) % kMaxPlaces;
    Place& place = m_places[index];
    place.value.reset();
    place.generation = (place.generation + 1) % kGenerations;
    m_free.push_back(index);
  }

 private:
  // The last generation is left out: with it, all bits set is no valid handle.
  static constexpr uint32_t kGenerations =
      (uint32_t{1} << (32 - kLaneBits - kPlaceBits)) - 1;

  struct Place {
    std::optional<T> value;
    uint32_t generation = 0;
  };

  std::vector<Place> m_places;
  std::vector<uint32_t> m_free;
};

}  // namespace laurelhall::routing
