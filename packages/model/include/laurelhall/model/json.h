#pragma once

#include <boost/describe.hpp>
#include <boost/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "laurelhall/base/time.h"

// Described structs (BOOST_DESCRIBE_STRUCT) convert by themselves; these are
// the conversions of the times that they hold: milliseconds as a number.
namespace std::chrono {

inline void tag_invoke(boost::json::value_from_tag,
                       boost::json::value& out,
                       milliseconds in) {
  out = static_cast<int64_t>(in.count());
}

inline milliseconds tag_invoke(boost::json::value_to_tag<milliseconds>,
                               const boost::json::value& in) {
  return milliseconds(in.to_number<int64_t>());
}

inline void tag_invoke(boost::json::value_from_tag,
                       boost::json::value& out,
                       sys_time<milliseconds> in) {
  out = static_cast<int64_t>(in.time_since_epoch().count());
}

inline sys_time<milliseconds> tag_invoke(
    boost::json::value_to_tag<sys_time<milliseconds>>,
    const boost::json::value& in) {
  return sys_time<milliseconds>(milliseconds(in.to_number<int64_t>()));
}

}  // namespace std::chrono

namespace laurelhall::model {

/// Bytes that need not be UTF-8; base64 in JSON.
struct Bytes {
  std::string data;
  friend bool operator==(const Bytes&, const Bytes&) = default;
};

void tag_invoke(boost::json::value_from_tag,
                boost::json::value& out,
                const Bytes& in);
Bytes tag_invoke(boost::json::value_to_tag<Bytes>,
                 const boost::json::value& in);

/// Writes a described value as JSON text. Thread-safe.
template <typename T>
std::string ToJsonText(const T& value) {
  return boost::json::serialize(boost::json::value_from(value));
}

/// Reads a described value back; throws boost::system::system_error or
/// std::exception when the text does not fit the type. Thread-safe.
template <typename T>
T FromJsonText(std::string_view text) {
  return boost::json::value_to<T>(boost::json::parse(text));
}

}  // namespace laurelhall::model
