#pragma once

#include <boost/json.hpp>
#include <limits>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>

#include "laurelhall/model/config.h"

// The table of settings. Checks, inheritance, explanations and the operators'
// page are all driven by it, so that a setting is described in one place.
namespace laurelhall::settings {

/// Members of a node that are not settings of their own.
inline constexpr std::string_view kParentMember = "parent";
inline constexpr std::string_view kAbstractMember = "abstract";

/// What a node of the tree resolves to.
using Record = std::variant<model::Pool,
                            model::ServiceConfig,
                            model::Organisation,
                            model::Quota,
                            model::Vendor,
                            model::MeasureWeights>;

enum class SettingType {
  kDuration,
  kInteger,
  kNumber,
  kBoolean,
  kText,
  kNames,
  kWords,
  kCount,
};

/// Least and most value; milliseconds for a duration.
struct Bounds {
  double least = 0;
  double most = std::numeric_limits<double>::infinity();
};

/// One setting; `set` and `get` reach its member of a record.
struct Setting {
  using Check = std::optional<std::string> (*)(const boost::json::value&);

  std::string_view section;
  std::string_view name;
  SettingType type = SettingType::kCount;
  Bounds bounds;
  std::string_view description;
  Check special = nullptr;  ///< What the type and bounds can't say, or null.
  void (*set)(Record&, const boost::json::value&) = nullptr;
  boost::json::value (*get)(const Record&) = nullptr;
};

/// One section of the tree.
struct Section {
  std::string_view name;
  bool is_named = true;     ///< Holds nodes by name; else settings directly.
  bool has_parent = false;  ///< Its nodes may name a `parent`.
  std::string_view description;
  Record (*make)(const std::string& node) = nullptr;
  void (*store)(model::Config&, const std::string& node, Record) = nullptr;
};

std::span<const Section> Sections();
std::span<const Setting> Settings();

/// Null when there is no such section or setting.
const Section* FindSection(std::string_view section);
const Setting* FindSetting(std::string_view section, std::string_view name);

/// Why a value doesn't fit its setting; none when it does.
std::optional<std::string> CheckValue(const Setting& setting,
                                      const boost::json::value& value);

/// The type's name and bounds as the operators' page shows them.
std::string TypeText(const Setting& setting);
std::string BoundsText(const Setting& setting);

/// Whether a name of a node is letters, digits, '-' and '_', at most 64.
bool IsNodeName(std::string_view name);

}  // namespace laurelhall::settings
