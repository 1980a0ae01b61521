#pragma once

#include <array>
#include <map>
#include <string>
#include <vector>

#include "laurelhall/model/fleet.h"

namespace laurelhall::placement {

/// What was measured against what was declared.
enum class RatioKind { kRunTime, kProcessors, kMemory, kCount };

/// The last ratios of one team's kind of job, oldest first.
struct KindEstimates {
  std::string team;
  std::string kind;
  std::vector<float> run_time;
  std::vector<float> processors;
  std::vector<float> memory;
  uint64_t last_used = 0;  ///< Order of use; the oldest kind is dropped first.
};
BOOST_DESCRIBE_STRUCT(KindEstimates,
                      (),
                      (team, kind, run_time, processors, memory, last_used))

/// Corrects declared sizes and run times by what was seen of the same team's
/// kind of job.
///
/// @remarks Bounded: 16 ratios a figure, 512 kinds. An estimate is a high
///   quantile of the window, so that one or two outliers do not move it. Not
///   thread-safe.
class Estimates {
 public:
  static constexpr size_t kWindow = 16;
  static constexpr size_t kMaxKinds = 512;

  /// Learns from a run that succeeded.
  ///
  /// @param work Its run time at full speed, earlier runs included.
  /// @param peak The most it used.
  void Learn(const model::Job& job, Millis work, const model::Resources& peak);

  /// Expected whole run time at full speed.
  Millis RunTime(const model::Job& job) const;

  /// Expected size; accelerators are as declared.
  model::Resources Size(const model::Job& job) const;

  /// Expected time that a job still needs at full speed.
  ///
  /// @param work What it has done so far.
  /// @remarks Past its estimate it grows with age: a job that has run for
  ///   long is expected to run for half as long again.
  Millis Remaining(const model::Job& job, Millis work) const;

  std::vector<KindEstimates> Save() const;
  void Load(const std::vector<KindEstimates>& saved);

 private:
  using Key = std::pair<std::string, std::string>;
  using KeyView = std::pair<std::string_view, std::string_view>;

  struct KeyLess {
    using is_transparent = void;
    template <typename A, typename B>
    bool operator()(const A& a, const B& b) const {
      return KeyView(a.first, a.second) < KeyView(b.first, b.second);
    }
  };

  struct Window {
    std::array<std::vector<float>, static_cast<size_t>(RatioKind::kCount)>
        ratios;
    // The quantile of each window, kept so that reading costs a look-up.
    std::array<float, static_cast<size_t>(RatioKind::kCount)> quantile{1, 1, 1};
    uint64_t last_used = 0;
  };

  const Window* Find(const model::Job& job) const;
  void Add(Window& window, RatioKind kind, double seen, double declared);
  void DropOldest();

  std::map<Key, Window, KeyLess> m_windows;
  uint64_t m_uses = 0;
};

}  // namespace laurelhall::placement
