#include "table_p.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <iomanip>
#include <sstream>
#include <string_view>

#include "laurelhall/base/time.h"

namespace laurelhall::cli {
namespace {

constexpr size_t kMaxListed = 4;
constexpr int kDigits = 6;
constexpr std::string_view kBold = "\x1b[1m";
constexpr std::string_view kPlain = "\x1b[0m";

/// Members that hold milliseconds since the epoch.
constexpr std::array<std::string_view, 9> kTimeMembers = {
    "at",       "started",   "finish_by",  "state_since",    "submitted",
    "deadline", "last_seen", "not_before", "last_maintained"};

/// Members that hold a duration in milliseconds.
constexpr std::array<std::string_view, 8> kDurationMembers = {
    "rollout_time", "declared_run_time",  "work_done",        "drain_timeout",
    "warm_up",      "maintenance_period", "objective_window", "bake"};

template <size_t kCount>
bool IsAmong(const std::array<std::string_view, kCount>& names,
             std::string_view name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

/// "kInPool" as "in-pool"; other text as it is.
std::string EnumText(std::string_view text) {
  const bool is_enumerator =
      text.size() > 1 && text[0] == 'k' &&
      std::isupper(static_cast<unsigned char>(text[1])) != 0;
  if (!is_enumerator) {
    return std::string(text);
  }
  std::string words;
  for (const char c : text.substr(1)) {
    const auto byte = static_cast<unsigned char>(c);
    if (std::isupper(byte) != 0 && !words.empty()) {
      words += '-';
    }
    words += static_cast<char>(std::tolower(byte));
  }
  return words;
}

std::string NumberText(double number) {
  std::ostringstream text;
  text << std::setprecision(kDigits) << number;
  return text.str();
}

std::string Cell(std::string_view name, const boost::json::value& value);

std::string ListCell(const boost::json::array& array) {
  if (array.size() > kMaxListed) {
    return std::to_string(array.size()) + " items";
  }
  std::string text;
  for (const boost::json::value& item : array) {
    text += (text.empty() ? "" : ",") + Cell("", item);
  }
  return text.empty() ? "-" : text;
}

std::string Cell(std::string_view name, const boost::json::value& value) {
  if (value.is_null()) {
    return "-";
  }
  if (value.is_string()) {
    const std::string text = EnumText(value.get_string());
    return text.empty() ? "-" : text;
  }
  if (value.is_array()) {
    return ListCell(value.get_array());
  }
  if (value.is_double()) {
    return NumberText(value.get_double());
  }
  if (value.is_int64() && IsAmong(kTimeMembers, name)) {
    const int64_t millis = value.get_int64();
    return millis == 0 ? "-" : FormatWallTime(WallTime(Millis(millis)));
  }
  if (value.is_int64() && IsAmong(kDurationMembers, name)) {
    const int64_t millis = value.get_int64();
    return millis == Millis::max().count() ? "never"
                                           : FormatDuration(Millis(millis));
  }
  return boost::json::serialize(value);
}

bool IsTable(const boost::json::value& value) {
  return value.is_array() && !value.get_array().empty() &&
         value.get_array().front().is_object();
}

bool IsLines(const boost::json::value& value) {
  return value.is_array() && !value.get_array().empty() &&
         std::all_of(value.get_array().begin(), value.get_array().end(),
                     [](const auto& item) { return item.is_string(); });
}

using Rows = std::vector<std::vector<std::string>>;

std::string Align(const Rows& rows, bool is_first_bold) {
  std::vector<size_t> widths(rows.front().size());
  for (const auto& row : rows) {
    for (size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  for (const auto& row : rows) {
    std::string line;
    for (size_t i = 0; i < row.size(); ++i) {
      line += row[i] + std::string(widths[i] - row[i].size() + 2, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    const bool is_bold = is_first_bold && &row == &rows.front();
    text += is_bold ? std::string(kBold) + line + std::string(kPlain) : line;
    text += '\n';
  }
  return text;
}

std::vector<std::string> ColumnsOf(const boost::json::object& row) {
  std::vector<std::string> columns;
  for (const auto& member : row) {
    columns.emplace_back(member.key());
  }
  return columns;
}

std::string RenderRows(const boost::json::array& array,
                       std::vector<std::string> columns,
                       bool is_coloured) {
  if (columns.empty()) {
    columns = ColumnsOf(array.front().get_object());
  }
  Rows rows = {columns};
  for (const boost::json::value& item : array) {
    std::vector<std::string> row;
    for (const std::string& column : columns) {
      const boost::json::value* value =
          item.is_object() ? item.get_object().if_contains(column) : nullptr;
      row.push_back(value == nullptr ? "-" : Cell(column, *value));
    }
    rows.push_back(row);
  }
  return Align(rows, is_coloured);
}

std::string RenderObject(const boost::json::object& object, bool is_coloured) {
  Rows lines;
  std::string tables;
  for (const auto& member : object) {
    const std::string name(member.key());
    if (IsTable(member.value())) {
      tables += "\n" + name + ":\n" +
                RenderRows(member.value().get_array(), {}, is_coloured);
    } else {
      lines.push_back({name, Cell(name, member.value())});
    }
  }
  return (lines.empty() ? "" : Align(lines, false)) + tables;
}

}  // namespace

std::string RenderTable(const boost::json::value& value,
                        const std::vector<std::string>& columns,
                        bool is_coloured) {
  if (IsTable(value)) {
    return RenderRows(value.get_array(), columns, is_coloured);
  }
  if (value.is_object()) {
    return RenderObject(value.get_object(), is_coloured);
  }
  if (IsLines(value)) {
    std::string text;
    for (const boost::json::value& line : value.get_array()) {
      text += std::string(line.get_string()) + '\n';
    }
    return text;
  }
  if (value.is_array() && value.get_array().empty()) {
    return "none\n";
  }
  return Cell("", value) + "\n";
}

}  // namespace laurelhall::cli
