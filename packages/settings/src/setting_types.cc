#include <algorithm>
#include <array>
#include <cmath>
#include <stdexcept>

#include "canonical_json_p.h"
#include "schema_p.h"

namespace laurelhall::settings {
namespace {

namespace json = boost::json;

constexpr size_t kMaxNameLength = 64;

struct TypeName {
  const char* expected;
  const char* shown;
};

constexpr std::array<TypeName, static_cast<size_t>(SettingType::kCount)>
    kTypeNames{{{"a duration such as \"30s\"", "duration"},
                {"a whole number", "whole number"},
                {"a number", "number"},
                {"true or false", "boolean"},
                {"a text", "text"},
                {"a list of names such as [\"base\"]", "list of names"},
                {"an object of words, each for \"ready\", \"leaving\" or "
                 "\"gone\"",
                 "words"}}};

const TypeName& NameOf(SettingType type) {
  return kTypeNames.at(static_cast<size_t>(type));
}

bool IsDuration(const json::value& value) {
  try {
    ParseDuration(std::string_view(value.as_string()));
    return true;
  } catch (const std::exception&) {
    return false;
  }
}

bool IsNames(const json::value& value) {
  const json::array* names = value.if_array();
  return names != nullptr &&
         std::all_of(names->begin(), names->end(), [](const auto& name) {
           return name.is_string() && IsNodeName(name.get_string());
         });
}

bool IsStateWord(const json::value& value) {
  const json::string* word = value.if_string();
  return word != nullptr &&
         (*word == "ready" || *word == "leaving" || *word == "gone");
}

bool IsWords(const json::value& value) {
  const json::object* words = value.if_object();
  return words != nullptr &&
         std::all_of(words->begin(), words->end(), [](const auto& word) {
           return IsStateWord(word.value());
         });
}

bool IsOfType(SettingType type, const json::value& value) {
  switch (type) {
    case SettingType::kDuration:
      return IsDuration(value);
    case SettingType::kInteger:
      return value.is_int64();
    case SettingType::kNumber:
      return value.is_number();
    case SettingType::kBoolean:
      return value.is_bool();
    case SettingType::kText:
      return value.is_string();
    case SettingType::kNames:
      return IsNames(value);
    case SettingType::kWords:
      return IsWords(value);
    case SettingType::kCount:
      break;
  }
  return false;
}

bool IsBounded(SettingType type) {
  return type == SettingType::kDuration || type == SettingType::kInteger ||
         type == SettingType::kNumber;
}

double NumberOf(SettingType type, const json::value& value) {
  if (type == SettingType::kDuration) {
    const Millis parsed = ParseDuration(std::string_view(value.get_string()));
    return static_cast<double>(parsed.count());
  }
  return value.to_number<double>();
}

std::string BoundText(SettingType type, double bound) {
  if (type == SettingType::kDuration) {
    return '"' + FormatDuration(Millis(static_cast<int64_t>(bound))) + '"';
  }
  if (bound == std::floor(bound)) {
    return std::to_string(static_cast<int64_t>(bound));
  }
  return CanonicalText(json::value(bound));
}

}  // namespace

std::optional<std::string> CheckValue(const Setting& setting,
                                      const json::value& value) {
  const std::string expected =
      std::string("expected ") + NameOf(setting.type).expected;
  if (!IsOfType(setting.type, value)) {
    return expected;
  }
  if (IsBounded(setting.type)) {
    const double number = NumberOf(setting.type, value);
    if (number < setting.bounds.least || number > setting.bounds.most) {
      return expected + " from " + BoundsText(setting);
    }
  }
  return setting.special == nullptr ? std::nullopt : setting.special(value);
}

std::string TypeText(const Setting& setting) {
  return NameOf(setting.type).shown;
}

std::string BoundsText(const Setting& setting) {
  if (!IsBounded(setting.type)) {
    return "";
  }
  return BoundText(setting.type, setting.bounds.least) + " to " +
         BoundText(setting.type, setting.bounds.most);
}

bool IsNodeName(std::string_view name) {
  const auto is_fine = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '-' || c == '_';
  };
  return !name.empty() && name.size() <= kMaxNameLength &&
         std::all_of(name.begin(), name.end(), is_fine);
}

}  // namespace laurelhall::settings
