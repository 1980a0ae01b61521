#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "laurelhall/base/time.h"
#include "results_p.h"
#include "sharded_map_p.h"
#include "snapshot_p.h"

namespace laurelhall::state {

/// A value and when it was last replaced.
template <typename T>
struct Tracked {
  T value;
  WallTime changed_at{};
  BOOST_DESCRIBE_CLASS(Tracked, (), (value, changed_at), (), ())
};

/// Records by id that are created once and replaced only by who names the
/// fence that stands there, so that of two racing controllers one loses.
///
/// @tparam kFence The member that replacing compares.
/// @remarks Find() and All() are thread-safe; all else is for the one applying
///   thread.
template <typename T, auto kFence, size_t kShards>
class FencedTable {
 public:
  using Fence = std::remove_cvref_t<decltype(std::declval<T&>().*kFence)>;
  using IsFinished = bool (*)(const T&);

  /// @param kind What the records are called, for errors.
  /// @param is_finished Whether a record is final: it is dropped in time.
  FencedTable(std::string_view kind, size_t most, IsFinished is_finished)
      : m_kind(kind), m_most(most), m_is_finished(is_finished) {}

  ActResult Replace(const T& value,
                    const std::optional<Fence>& expected,
                    WallTime at) {
    const std::optional<Tracked<T>> before = m_records.Find(value.id);
    const std::string error = before ? WhyNotReplace(before->value, expected)
                                     : WhyNotAdd(value, expected);
    if (!error.empty()) {
      return Refused(error);
    }
    Load({value, at});
    return Accepted();
  }

  std::optional<T> Find(const std::string& id) const {
    const auto found = m_records.Find(id);
    return found ? std::optional(found->value) : std::nullopt;
  }

  /// The id of a record that fits, or none. O(records).
  template <typename Fits>
  std::optional<std::string> FindId(Fits fits) const {
    std::optional<std::string> id;
    m_records.ReadEach([&](const Map& map) {
      for (auto at = map.begin(); at != map.end() && !id; ++at) {
        if (fits(at->second.value)) {
          id = at->first;
        }
      }
    });
    return id;
  }

  /// Copies of the records that fit.
  template <typename Fits>
  std::vector<T> Those(Fits fits) const {
    std::vector<T> those;
    m_records.ReadAtOnce([&](const Map& map) {
      for (const auto& [id, record] : map) {
        if (fits(record.value)) {
          those.push_back(record.value);
        }
      }
    });
    return those;
  }

  std::map<std::string, T> All() const {
    std::map<std::string, T> all;
    m_records.ReadAtOnce([&](const Map& map) {
      for (const auto& [id, record] : map) {
        all.emplace(id, record.value);
      }
    });
    return all;
  }

  /// Drops finished records that nobody has changed since.
  void Expire(WallTime before) {
    m_records.WriteEach([&](Map& map) {
      m_count -= std::erase_if(map, [&](const auto& item) {
        return m_is_finished(item.second.value) &&
               item.second.changed_at <= before;
      });
    });
  }

  void Save(SnapshotWriter& writer) const {
    std::map<std::string, Tracked<T>> all;
    m_records.ReadEach(
        [&](const Map& map) { all.insert(map.begin(), map.end()); });
    for (const auto& [id, record] : all) {
      writer.Add(m_kind, record);
    }
  }

  void Load(const Tracked<T>& record) {
    m_records.Write(record.value.id, [&](Map& map) {
      m_count += map.insert_or_assign(record.value.id, record).second ? 1 : 0;
    });
  }

 private:
  using Map = std::map<std::string, Tracked<T>>;

  std::string WhyNotAdd(const T& value,
                        const std::optional<Fence>& expected) const {
    if (value.id.empty()) {
      return "expected an id";
    }
    if (expected) {
      return Label(value) + " is not known";
    }
    return m_count >= m_most ? "too many: " + m_kind : "";
  }

  std::string WhyNotReplace(const T& before,
                            const std::optional<Fence>& expected) const {
    if (!expected) {
      return Label(before) + " is there already";
    }
    if (before.*kFence != *expected) {
      return Label(before) + " is at " + FenceText(before.*kFence) +
             ", expected " + FenceText(*expected);
    }
    return "";
  }

  std::string Label(const T& value) const { return m_kind + " " + value.id; }

  static std::string FenceText(const Fence& fence) {
    if constexpr (std::is_enum_v<Fence>) {
      return NameOf(fence);
    } else {
      return std::to_string(fence);
    }
  }

  const std::string m_kind;
  const size_t m_most;
  const IsFinished m_is_finished;
  ShardedMap<Map, std::hash<std::string>, kShards> m_records;
  size_t m_count = 0;  // For the applying thread alone.
};

}  // namespace laurelhall::state
