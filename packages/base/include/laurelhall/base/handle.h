#pragma once

#include <cstdint>
#include <functional>

namespace laurelhall {

/// A small typed index into a table, with an invalid value.
///
/// @remarks `Tag` only tells kinds of handle apart. Thread-safe as any value.
template <typename Tag>
struct Handle {
  static constexpr uint32_t kInvalidIndex = UINT32_MAX;

  uint32_t index = kInvalidIndex;

  constexpr bool is_valid() const { return index != kInvalidIndex; }
  friend constexpr bool operator==(Handle, Handle) = default;
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads <=>.
  friend constexpr auto operator<=>(Handle, Handle) = default;
};

}  // namespace laurelhall

template <typename Tag>
struct std::hash<laurelhall::Handle<Tag>> {
  size_t operator()(laurelhall::Handle<Tag> handle) const noexcept {
    return std::hash<uint32_t>{}(handle.index);
  }
};
