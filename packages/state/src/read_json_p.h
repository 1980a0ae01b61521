#pragma once

#include <boost/describe.hpp>
#include <boost/json.hpp>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

// Reading of described values that tolerates missing members, so that a newer
// program reads what an older one wrote: they keep their defaults.
namespace laurelhall::state {

template <typename T>
void ReadJson(const boost::json::value& in, T& out);

/// Parses text whose strings may hold any bytes, as callers' keys do.
inline boost::json::value ParseBytes(std::string_view text) {
  boost::json::parse_options options;
  options.allow_invalid_utf8 = true;
  return boost::json::parse(boost::json::string_view(text.data(), text.size()),
                            {}, options);
}

template <typename T>
void ReadEnum(const boost::json::value& in, T& out) {
  if (!in.is_string()) {
    out = T::kCount;  // How an enumerator without a name was written.
    return;
  }
  const std::string name(in.get_string());
  if (!boost::describe::enum_from_string(name.c_str(), out)) {
    throw std::invalid_argument("unknown enumerator " + name);
  }
}

template <typename T>
void ReadMembers(const boost::json::object& in, T& out) {
  using Members =
      boost::describe::describe_members<T, boost::describe::mod_public |
                                               boost::describe::mod_inherited>;
  boost::mp11::mp_for_each<Members>([&](auto member) {
    if (const boost::json::value* value = in.if_contains(member.name)) {
      ReadJson(*value, out.*member.pointer);
    }
  });
}

template <typename T>
void ReadValue(const boost::json::value& in, std::vector<T>& out) {
  for (const boost::json::value& element : in.as_array()) {
    ReadJson(element, out.emplace_back());
  }
}

template <typename T>
void ReadValue(const boost::json::value& in, std::map<std::string, T>& out) {
  for (const auto& member : in.as_object()) {
    ReadJson(member.value(), out[std::string(member.key())]);
  }
}

template <typename T>
void ReadValue(const boost::json::value& in, std::optional<T>& out) {
  out.reset();
  if (!in.is_null()) {
    ReadJson(in, out.emplace());
  }
}

template <typename T>
void ReadValue(const boost::json::value& in, T& out) {
  out = boost::json::value_to<T>(in);
}

/// Reads a value over the defaults that `out` holds.
///
/// @throws std::exception when the value does not fit the type.
/// @remarks Thread-safe.
template <typename T>
void ReadJson(const boost::json::value& in, T& out) {
  if constexpr (std::is_enum_v<T>) {
    ReadEnum(in, out);
  } else if constexpr (boost::describe::has_describe_members<T>::value) {
    ReadMembers(in.as_object(), out);
  } else {
    ReadValue(in, out);
  }
}

}  // namespace laurelhall::state
