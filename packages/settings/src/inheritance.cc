#include "inheritance_p.h"

#include <algorithm>

namespace laurelhall::settings {
namespace {

namespace json = boost::json;

void SetFrom(const Section& section, const json::object& node, Record& record) {
  for (const Setting& setting : Settings()) {
    if (setting.section != section.name) {
      continue;
    }
    if (const json::value* value = node.if_contains(setting.name)) {
      setting.set(record, *value);
    }
  }
}

bool IsAbstract(const json::object& node) {
  const json::value* value = node.if_contains(kAbstractMember);
  return value != nullptr && value->is_bool() && value->get_bool();
}

// Null when the node names none.
const json::value* ParentOf(const json::object& nodes,
                            const std::string& node) {
  const json::object* members = nodes.at(node).if_object();
  const json::value* parent =
      members == nullptr ? nullptr : members->if_contains(kParentMember);
  return parent != nullptr && parent->is_string() ? parent : nullptr;
}

void ResolveSection(const Section& section,
                    const json::object& nodes,
                    model::Config& config) {
  for (const auto& member : nodes) {
    if (!IsAbstract(member.value().as_object())) {
      const std::string node(member.key());
      section.store(config, node, ResolveNode(section, nodes, node));
    }
  }
}

}  // namespace

std::vector<std::string> ParentChain(const json::object& nodes,
                                     const std::string& node) {
  std::vector<std::string> chain;
  std::string current = node;
  while (nodes.contains(current) &&
         std::find(chain.begin(), chain.end(), current) == chain.end()) {
    chain.push_back(current);
    const json::value* parent = ParentOf(nodes, current);
    if (parent == nullptr) {
      break;
    }
    current = std::string(parent->get_string());
  }
  return chain;
}

Record ResolveNode(const Section& section,
                   const json::object& nodes,
                   const std::string& node) {
  Record record = section.make(node);
  const std::vector<std::string> chain = ParentChain(nodes, node);
  for (auto name = chain.rbegin(); name != chain.rend(); ++name) {
    SetFrom(section, nodes.at(*name).as_object(), record);
  }
  return record;
}

model::Config ResolveTree(const json::object& root, uint64_t version) {
  model::Config config;
  config.version = version;
  for (const Section& section : Sections()) {
    const json::value* value = root.if_contains(section.name);
    if (value == nullptr) {
      continue;
    }
    if (section.is_named) {
      ResolveSection(section, value->as_object(), config);
      continue;
    }
    Record record = section.make("");
    SetFrom(section, value->as_object(), record);
    section.store(config, "", std::move(record));
  }
  return config;
}

}  // namespace laurelhall::settings
