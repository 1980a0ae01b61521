#pragma once

#include <boost/json.hpp>
#include <string>
#include <vector>

#include "laurelhall/base/finding.h"
#include "laurelhall/settings/tree.h"
#include "schema_p.h"

namespace laurelhall::settings {

/// A node and its ancestors, the node first. Stops at an unknown or repeated
/// parent.
std::vector<std::string> ParentChain(const boost::json::object& nodes,
                                     const std::string& node);

/// One node with inheritance done; the section must have been checked.
Record ResolveNode(const Section& section,
                   const boost::json::object& nodes,
                   const std::string& node);

/// All sections resolved; abstract nodes are left out. Needs a checked tree.
model::Config ResolveTree(const boost::json::object& root, uint64_t version);

/// Adds what doesn't fit: names, types, bounds, parents; then, when these are
/// right, what sections must agree on.
void CheckTree(const boost::json::value& root, FindingList& findings);

}  // namespace laurelhall::settings
