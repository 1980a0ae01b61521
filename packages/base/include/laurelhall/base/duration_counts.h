#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

#include "laurelhall/base/time.h"

namespace laurelhall {

/// How often something took how long, in fixed classes.
///
/// @remarks Not thread-safe; cheap to copy.
class DurationCounts {
 public:
  /// Upper bounds of the classes, inclusive; the last class has none.
  static constexpr std::array<Millis, 11> kBounds{
      Millis(1),   Millis(2),     Millis(5),    Millis(10),
      Millis(20),  Millis(50),    Millis(100),  Millis(200),
      Millis(500), Millis(1'000), Millis(5'000)};

  void Add(Millis duration) {
    const auto* bound =
        std::lower_bound(kBounds.begin(), kBounds.end(), duration);
    ++m_counts[static_cast<size_t>(bound - kBounds.begin())];
    m_sum += duration;
    m_longest = std::max(m_longest, duration);
  }

  const std::array<uint64_t, kBounds.size() + 1>& counts() const {
    return m_counts;
  }
  Millis sum() const { return m_sum; }
  Millis longest() const { return m_longest; }

 private:
  std::array<uint64_t, kBounds.size() + 1> m_counts{};
  Millis m_sum{0};
  Millis m_longest{0};
};

}  // namespace laurelhall
