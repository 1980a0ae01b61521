#include "laurelhall/settings/tree.h"

#include <algorithm>
#include <utility>

#include "canonical_json_p.h"
#include "inheritance_p.h"
#include "path_p.h"

namespace laurelhall::settings {
namespace {

namespace json = boost::json;

// The deepest place is a vendor's word: vendors.NAME.state_words.WORD.
constexpr size_t kMaxPathParts = 4;

// None, with a finding, when the text is not JSON.
std::optional<json::value> ParseText(std::string_view text,
                                     const std::string& place,
                                     FindingList& findings) {
  json::error_code error;
  json::value value = json::parse(text, error);
  if (error) {
    findings.Add(place, "expected JSON: " + error.message());
    return std::nullopt;
  }
  return value;
}

// All findings at once, in the order of their places.
void ThrowIfAny(const FindingList& findings) {
  if (findings.is_empty()) {
    return;
  }
  std::vector<Finding> sorted = findings.all();
  std::stable_sort(
      sorted.begin(), sorted.end(),
      [](const Finding& a, const Finding& b) { return a.place < b.place; });
  throw FindingsError(std::move(sorted));
}

void ApplyChange(const std::string& path,
                 const std::optional<std::string>& text,
                 json::value& root,
                 FindingList& findings) {
  const std::vector<std::string> parts = SplitPath(path);
  if (parts.size() > kMaxPathParts) {
    findings.Add(path, "unknown setting");
    return;
  }
  if (!text) {
    if (!RemovePath(root, parts)) {
      findings.Add(path, "not set here");
    }
    return;
  }
  std::optional<json::value> value = ParseText(*text, path, findings);
  if (value && !PutPath(root, parts, std::move(*value))) {
    findings.Add(path, "unknown setting");
  }
}

// Where a setting stands: its section, node ("" for weights) and row.
struct Place {
  const Section* section = nullptr;
  std::string node;
  const Setting* setting = nullptr;
};

std::optional<Place> FindPlace(std::string_view path) {
  const std::vector<std::string> parts = SplitPath(path);
  Place place;
  place.section = FindSection(parts.front());
  if (place.section == nullptr) {
    return std::nullopt;
  }
  const size_t depth = place.section->is_named ? 3 : 2;
  if (parts.size() != depth) {
    return std::nullopt;
  }
  place.node = place.section->is_named ? parts[1] : "";
  place.setting = FindSetting(place.section->name, parts.back());
  return place.setting == nullptr ? std::nullopt : std::optional(place);
}

[[noreturn]] void ThrowUnknown(std::string_view path) {
  throw FindingsError({{std::string(path), "unknown setting"}});
}

// The paths of nodes that may set the place, the nearest first.
std::vector<std::string> NodePaths(const json::value& root,
                                   const Place& place) {
  const std::string section(place.section->name);
  if (!place.section->is_named) {
    return {section};
  }
  const std::string prefix = section + ".";
  std::vector<std::string> paths;
  if (const json::value* nodes = FindPath(root, {section})) {
    for (const auto& name : ParentChain(nodes->get_object(), place.node)) {
      paths.push_back(prefix + name);
    }
  }
  return paths;
}

void DiffMembers(const json::value& before,
                 const json::value& after,
                 const std::string& prefix,
                 int depth,
                 Changes& changes);

void DiffMember(const json::value* before,
                const json::value* after,
                const std::string& path,
                int depth,
                Changes& changes) {
  if (after == nullptr) {
    changes[path] = std::nullopt;
  } else if (before == nullptr || depth == 0) {
    changes[path] = CanonicalText(*after);
  } else {
    DiffMembers(*before, *after, path + ".", depth - 1, changes);
  }
}

void DiffMembers(const json::value& before,
                 const json::value& after,
                 const std::string& prefix,
                 int depth,
                 Changes& changes) {
  const json::object& old_members = before.as_object();
  const json::object& new_members = after.as_object();
  for (const auto& member : old_members) {
    const json::value* now = new_members.if_contains(member.key());
    if (now == nullptr ||
        CanonicalText(*now) != CanonicalText(member.value())) {
      DiffMember(&member.value(), now, prefix + std::string(member.key()),
                 depth, changes);
    }
  }
  for (const auto& member : new_members) {
    if (!old_members.contains(member.key())) {
      DiffMember(nullptr, &member.value(), prefix + std::string(member.key()),
                 depth, changes);
    }
  }
}

// Settings stand at depth 2 of a named section, at depth 1 of another.
int DepthOf(std::string_view section_name) {
  return FindSection(section_name)->is_named ? 2 : 1;
}

}  // namespace

Tree::Tree() : m_text("{}") {}

Tree Tree::Parse(std::string_view json_text) {
  FindingList findings;
  const auto root = ParseText(json_text, "settings", findings);
  if (root) {
    CheckTree(*root, findings);
  }
  ThrowIfAny(findings);
  Tree tree;
  tree.m_text = CanonicalText(*root);
  return tree;
}

Tree Tree::With(const Changes& changes) const {
  FindingList findings;
  json::value root = json::parse(m_text);
  for (const auto& [path, text] : changes) {
    ApplyChange(path, text, root, findings);
  }
  CheckTree(root, findings);
  ThrowIfAny(findings);
  Tree tree;
  tree.m_text = CanonicalText(root);
  // A path may bring bytes in that no reader of the text would take.
  const bool is_readable =
      ParseText(tree.m_text, "settings", findings).has_value();
  if (!is_readable) {
    ThrowIfAny(findings);
  }
  return tree;
}

std::string Tree::Text() const {
  return m_text;
}

std::optional<std::string> Tree::Get(std::string_view path) const {
  const json::value root = json::parse(m_text);
  const json::value* found = FindPath(root, SplitPath(path));
  return found == nullptr ? std::nullopt : std::optional(CanonicalText(*found));
}

std::vector<Origin> Tree::Explain(std::string_view path) const {
  const std::optional<Place> place = FindPlace(path);
  if (!place) {
    ThrowUnknown(path);
  }
  const json::value root = json::parse(m_text);
  const std::vector<std::string> node_paths = NodePaths(root, *place);
  if (node_paths.empty()) {
    ThrowUnknown(path);
  }
  const std::string suffix = "." + std::string(place->setting->name);
  std::vector<Origin> origins;
  for (const std::string& node_path : node_paths) {
    const json::value* set = FindPath(root, SplitPath(node_path + suffix));
    if (set != nullptr) {
      origins.push_back({node_path, CanonicalText(*set), false});
    }
  }
  const Record record = place->section->make(place->node);
  origins.push_back(
      {"default", CanonicalText(place->setting->get(record)), false});
  origins.front().is_in_force = true;
  return origins;
}

model::Config Tree::Resolve(uint64_t version) const {
  return ResolveTree(json::parse(m_text).as_object(), version);
}

Changes Tree::DiffTo(const Tree& other) const {
  const json::value before = json::parse(m_text);
  const json::value after = json::parse(other.m_text);
  Changes changes;
  for (const Section& section : Sections()) {
    const json::value* old_section =
        before.as_object().if_contains(section.name);
    const json::value* new_section =
        after.as_object().if_contains(section.name);
    if (old_section != nullptr && new_section != nullptr) {
      DiffMembers(*old_section, *new_section, std::string(section.name) + ".",
                  DepthOf(section.name) - 1, changes);
    } else if (old_section != nullptr || new_section != nullptr) {
      DiffMember(old_section, new_section, std::string(section.name), 0,
                 changes);
    }
  }
  return changes;
}

}  // namespace laurelhall::settings
