#include "canonical_json_p.h"

#include <array>
#include <charconv>
#include <map>
#include <string_view>

namespace laurelhall::settings {
namespace {

namespace json = boost::json;

void Write(const json::value& value, std::string& out);

void WriteObject(const json::object& object, std::string& out) {
  std::map<std::string_view, const json::value*> sorted;
  for (const auto& member : object) {
    sorted.emplace(member.key(), &member.value());
  }
  out += '{';
  bool is_first = true;
  for (const auto& [key, value] : sorted) {
    if (!is_first) {
      out += ',';
    }
    is_first = false;
    out += json::serialize(json::string(key));
    out += ':';
    Write(*value, out);
  }
  out += '}';
}

void WriteArray(const json::array& array, std::string& out) {
  out += '[';
  for (size_t i = 0; i < array.size(); ++i) {
    if (i > 0) {
      out += ',';
    }
    Write(array[i], out);
  }
  out += ']';
}

void WriteNumber(double number, std::string& out) {
  std::array<char, 32> buffer{};
  const auto [end, error] =
      std::to_chars(buffer.data(), buffer.data() + buffer.size(), number);
  out.append(buffer.data(), end);
}

void Write(const json::value& value, std::string& out) {
  if (value.is_object()) {
    WriteObject(value.get_object(), out);
  } else if (value.is_array()) {
    WriteArray(value.get_array(), out);
  } else if (value.is_double()) {
    WriteNumber(value.get_double(), out);
  } else {
    out += json::serialize(value);
  }
}

}  // namespace

std::string CanonicalText(const json::value& value) {
  std::string out;
  Write(value, out);
  return out;
}

}  // namespace laurelhall::settings
