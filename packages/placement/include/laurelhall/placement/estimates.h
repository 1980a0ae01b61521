#pragma once

#include <array>
#include <map>
#include <string>
#include <vector>

#include "laurelhall/model/fleet.h"

namespace laurelhall::placement {

/// The quantity whose measured value is divided by its declared value.
enum class RatioKind { kRunTime, kProcessors, kMemory, kCount };

/// The most recent ratios of measured to declared values for one team and kind
/// of job, oldest first.
struct KindEstimates {
  std::string team;
  std::string kind;
  std::vector<float> run_time;
  std::vector<float> processors;
  std::vector<float> memory;
  uint64_t last_used =
      0;  ///< Update sequence number; the lowest is evicted first.
};
BOOST_DESCRIBE_STRUCT(KindEstimates,
                      (),
                      (team, kind, run_time, processors, memory, last_used))

/// Corrects the declared sizes and run times of jobs by the values measured on
/// earlier jobs of the same team and kind.
///
/// @remarks Memory is bounded: 16 ratios per quantity and 512 kinds. An
///   estimate is a high quantile of the recent ratios, so that one or two
///   outliers do not change it. Not thread-safe.
class Estimates {
 public:
  static constexpr size_t kWindowSize = 16;
  static constexpr size_t kMaxKinds = 512;

  /// Adds the measurements of a job that succeeded.
  ///
  /// @param work Run time of the job at full speed, earlier runs included.
  /// @param peak Peak resource usage of the job.
  void Learn(const model::Job& job, Millis work, const model::Resources& peak);

  /// Returns the expected total run time at full speed.
  Millis ExpectedRunTime(const model::Job& job) const;

  /// Returns the expected resource usage; accelerators are as declared.
  model::Resources ExpectedSize(const model::Job& job) const;

  /// Returns the expected time that a job still needs at full speed.
  ///
  /// @param work Run time at full speed so far, earlier runs included.
  /// @remarks For a job that has reached its estimate this is half of the run
  ///   time so far, and at least 1 ms.
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
    // The quantile of each list of ratios, computed on update so that a read
    // does not sort.
    std::array<float, static_cast<size_t>(RatioKind::kCount)> quantile{1, 1, 1};
    uint64_t last_used = 0;
  };

  const Window* FindWindow(const model::Job& job) const;
  void AddRatio(Window& window,
                RatioKind kind,
                double measured,
                double declared);
  void EvictLeastRecentlyUpdated();

  std::map<Key, Window, KeyLess> m_windows;
  uint64_t m_last_sequence = 0;
};

}  // namespace laurelhall::placement
