#include "path_p.h"

#include <utility>

namespace laurelhall::settings {
namespace {

namespace json = boost::json;

constexpr std::string_view kWordsMember = "state_words";

}  // namespace

std::vector<std::string> SplitPath(std::string_view path) {
  std::vector<std::string> parts;
  while (true) {
    const size_t dot = path.find('.');
    const bool is_word = !parts.empty() && parts.back() == kWordsMember;
    if (dot == std::string_view::npos || is_word) {
      parts.emplace_back(path);
      return parts;
    }
    parts.emplace_back(path.substr(0, dot));
    path.remove_prefix(dot + 1);
  }
}

const json::value* FindPath(const json::value& root,
                            const std::vector<std::string>& path) {
  const json::value* current = &root;
  for (const std::string& part : path) {
    const json::object* object = current->if_object();
    current = object == nullptr ? nullptr : object->if_contains(part);
    if (current == nullptr) {
      return nullptr;
    }
  }
  return current;
}

bool PutPath(json::value& root,
             const std::vector<std::string>& path,
             json::value value) {
  json::value* current = &root;
  for (const std::string& part : path) {
    json::object* object = current->if_object();
    if (object == nullptr) {
      return false;
    }
    const auto [member, is_new] = object->emplace(part, json::object());
    current = &member->value();
  }
  *current = std::move(value);
  return true;
}

bool RemovePath(json::value& root, const std::vector<std::string>& path) {
  json::value* current = &root;
  for (size_t i = 0; i + 1 < path.size(); ++i) {
    json::object* object = current->if_object();
    current = object == nullptr ? nullptr : object->if_contains(path[i]);
    if (current == nullptr) {
      return false;
    }
  }
  json::object* object = current->if_object();
  return object != nullptr && object->erase(path.back()) > 0;
}

}  // namespace laurelhall::settings
