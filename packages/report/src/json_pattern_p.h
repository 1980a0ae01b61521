#pragma once

#include <boost/json.hpp>

namespace laurelhall::report {

// Sets the members of `base` that `part` names, to any depth. Throws
// std::invalid_argument with the name of one that `base` does not have. What
// is empty in `base` is a map and takes any names.
void Overlay(boost::json::object& base, const boost::json::object& part);

// Whether `value` has all that `pattern` names, with equal values. Numbers are
// compared with room for the last bits of a double.
bool Matches(const boost::json::value& pattern,
             const boost::json::value& value);

}  // namespace laurelhall::report
