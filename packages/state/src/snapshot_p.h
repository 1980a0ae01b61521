#pragma once

#include <boost/json.hpp>
#include <functional>
#include <string>
#include <string_view>

namespace laurelhall::state {

/// Writes a snapshot: one line of JSON a record, closed by a line with the
/// count and a hash of all that stands before. Not thread-safe.
class SnapshotWriter {
 public:
  /// Adds a described value as a record of a table.
  template <typename T>
  void Add(std::string_view table, const T& value) {
    AddJson(table, boost::json::value_from(value));
  }

  void AddJson(std::string_view table, const boost::json::value& value);

  /// Closes the snapshot and returns its text.
  std::string Finish();

 private:
  std::string m_text;
  uint64_t m_records = 0;
};

/// Calls back for each record of SnapshotWriter's text, in order.
///
/// @throws std::exception when the text is cut, altered or none, before any
///   call back.
void ReadSnapshot(
    std::string_view text,
    const std::function<void(std::string_view table,
                             const boost::json::value& value)>& use);

}  // namespace laurelhall::state
