#include "json_pattern_p.h"

#include <cmath>
#include <stdexcept>
#include <string>

namespace laurelhall::report {
namespace {

namespace json = boost::json;

constexpr double kTolerance = 1e-9;

bool MatchesNumber(const json::value& pattern, const json::value& value) {
  const auto a = pattern.to_number<double>();
  const auto b = value.to_number<double>();
  return std::abs(a - b) <= kTolerance * std::max(1.0, std::abs(a));
}

bool MatchesObject(const json::object& pattern, const json::object& value) {
  for (const auto& member : pattern) {
    const json::value* found = value.if_contains(member.key());
    if (found == nullptr || !Matches(member.value(), *found)) {
      return false;
    }
  }
  return true;
}

}  // namespace

void Overlay(json::object& base, const json::object& part) {
  for (const auto& member : part) {
    json::value* found = base.if_contains(member.key());
    if (found == nullptr) {
      throw std::invalid_argument("unknown member " +
                                  std::string(member.key()));
    }
    const bool is_empty = found->is_object() && found->as_object().empty();
    if (found->is_object() && member.value().is_object() && !is_empty) {
      Overlay(found->as_object(), member.value().as_object());
    } else {
      *found = member.value();
    }
  }
}

bool Matches(const json::value& pattern, const json::value& value) {
  if (pattern.is_object() && value.is_object()) {
    return MatchesObject(pattern.as_object(), value.as_object());
  }
  if (pattern.is_number() && value.is_number()) {
    return MatchesNumber(pattern, value);
  }
  return pattern == value;
}

}  // namespace laurelhall::report
