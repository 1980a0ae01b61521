#include <algorithm>

#include "inheritance_p.h"

namespace laurelhall::settings {
namespace {

namespace json = boost::json;

std::string Join(std::string_view left, std::string_view right) {
  return std::string(left) + "." + std::string(right);
}

void CheckStructuralMember(const json::key_value_pair& member,
                           const std::string& place,
                           FindingList& findings) {
  if (member.key() == kParentMember && !member.value().is_string()) {
    findings.Add(place, "expected the name of a parent");
  }
  if (member.key() == kAbstractMember && !member.value().is_bool()) {
    findings.Add(place, "expected true or false");
  }
}

void CheckMember(const Section& section,
                 const json::key_value_pair& member,
                 const std::string& place,
                 FindingList& findings) {
  const bool is_structural =
      member.key() == kParentMember || member.key() == kAbstractMember;
  if (section.has_parent && is_structural) {
    CheckStructuralMember(member, place, findings);
    return;
  }
  const Setting* setting = FindSetting(section.name, member.key());
  if (setting == nullptr) {
    findings.Add(place, "unknown setting");
    return;
  }
  if (const auto text = CheckValue(*setting, member.value())) {
    findings.Add(place, *text);
  }
}

void CheckMembers(const Section& section,
                  const json::object& members,
                  const std::string& place,
                  FindingList& findings) {
  for (const auto& member : members) {
    CheckMember(section, member, Join(place, member.key()), findings);
  }
}

void CheckParent(const json::object& nodes,
                 const std::string& node,
                 const std::string& place,
                 FindingList& findings) {
  const json::object* members = nodes.at(node).if_object();
  const json::value* parent =
      members == nullptr ? nullptr : members->if_contains(kParentMember);
  if (parent == nullptr || !parent->is_string()) {
    return;
  }
  const std::string name(parent->get_string());
  if (!nodes.contains(name)) {
    findings.Add(Join(place, kParentMember), "unknown parent \"" + name + "\"");
    return;
  }
  // Each node of a cycle says so; nodes that only lead into one do not.
  const std::vector<std::string> above = ParentChain(nodes, name);
  if (std::find(above.begin(), above.end(), node) != above.end()) {
    findings.Add(Join(place, kParentMember),
                 "\"" + name + "\" descends from this node: a cycle");
  }
}

void CheckNodes(const Section& section,
                const json::object& nodes,
                FindingList& findings) {
  for (const auto& member : nodes) {
    const std::string node(member.key());
    const std::string place = Join(section.name, node);
    if (!IsNodeName(node)) {
      findings.Add(place,
                   "expected a name of letters, digits, '-' and '_', at most "
                   "64");
    }
    if (const json::object* members = member.value().if_object()) {
      CheckMembers(section, *members, place, findings);
    } else {
      findings.Add(place, "expected an object");
    }
    if (section.has_parent) {
      CheckParent(nodes, node, place, findings);
    }
  }
}

void CheckSection(const json::key_value_pair& member, FindingList& findings) {
  const Section* section = FindSection(member.key());
  if (section == nullptr) {
    findings.Add(std::string(member.key()), "unknown section");
  } else if (!member.value().is_object()) {
    findings.Add(std::string(member.key()), "expected an object");
  } else if (section->is_named) {
    CheckNodes(*section, member.value().get_object(), findings);
  } else {
    CheckMembers(*section, member.value().get_object(),
                 std::string(member.key()), findings);
  }
}

void CheckServicePools(const model::Config& config,
                       const model::Service& service,
                       const std::string& place,
                       FindingList& findings) {
  int target_hosts = 0;
  for (const std::string& name : service.pools) {
    const auto pool = config.pools.find(name);
    if (pool == config.pools.end()) {
      findings.Add(Join(place, "pools"), "unknown pool \"" + name + "\"");
      return;
    }
    target_hosts += pool->second.target_hosts;
  }
  if (service.min_available > 0 && service.pools.empty()) {
    findings.Add(Join(place, "pools"), "expected at least one pool");
  }
  if (target_hosts > 0 && service.min_available > target_hosts) {
    findings.Add(Join(place, "min_available"),
                 "expected at most the " + std::to_string(target_hosts) +
                     " target hosts of its pools");
  }
}

void CheckRequests(const model::RequestPolicy& requests,
                   const std::string& place,
                   FindingList& findings) {
  if (requests.kept_answer_bytes > requests.max_answer_bytes) {
    findings.Add(Join(place, "kept_answer_bytes"),
                 "expected at most max_answer_bytes");
  }
  if (requests.max_request_bytes > requests.queue_max_bytes) {
    findings.Add(Join(place, "max_request_bytes"),
                 "expected at most queue_max_bytes");
  }
  if (requests.claim_retention < requests.max_run_time) {
    findings.Add(Join(place, "claim_retention"),
                 "expected at least max_run_time");
  }
}

void CheckService(const model::Config& config,
                  const model::ServiceConfig& service,
                  FindingList& findings) {
  const std::string place = Join("services", service.budget.name);
  const std::string& organisation = service.budget.organisation;
  if (!organisation.empty() && !config.organisations.contains(organisation)) {
    findings.Add(Join(place, "organisation"),
                 "unknown organisation \"" + organisation + "\"");
  }
  CheckServicePools(config, service.budget, place, findings);
  CheckRequests(service.requests, place, findings);
}

void CheckVendor(const model::Vendor& vendor, FindingList& findings) {
  const std::string place = Join("vendors", vendor.name);
  if (vendor.form.empty()) {
    findings.Add(Join(place, "form"), "expected \"flat\" or \"nested\"");
  }
  const auto& words = vendor.state_words;
  const bool has_ready =
      std::any_of(words.begin(), words.end(),
                  [](const auto& word) { return word.second == "ready"; });
  if (!has_ready) {
    findings.Add(Join(place, "state_words"), "expected a word for \"ready\"");
  }
}

void CheckAgreement(const model::Config& config, FindingList& findings) {
  for (const auto& [name, service] : config.services) {
    CheckService(config, service, findings);
  }
  for (const auto& [name, vendor] : config.vendors) {
    CheckVendor(vendor, findings);
  }
}

}  // namespace

void CheckTree(const json::value& root, FindingList& findings) {
  const json::object* sections = root.if_object();
  if (sections == nullptr) {
    findings.Add("settings", "expected an object");
    return;
  }
  for (const auto& member : *sections) {
    CheckSection(member, findings);
  }
  if (findings.is_empty()) {
    CheckAgreement(ResolveTree(*sections, 0), findings);
  }
}

}  // namespace laurelhall::settings
