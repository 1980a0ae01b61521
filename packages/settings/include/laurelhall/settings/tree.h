#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "laurelhall/base/finding.h"
#include "laurelhall/model/config.h"

namespace laurelhall::settings {

/// Dotted path ("pools.annex.drain_timeout") to JSON text; none removes it.
using Changes = std::map<std::string, std::optional<std::string>>;

/// Where a value in force comes from.
struct Origin {
  std::string path;   ///< The node that sets it, or "default".
  std::string value;  ///< JSON text.
  bool is_in_force = false;
};

/// The shared tree of settings, in which pools and services name a `parent`
/// and override only what differs. A value; immutable once made.
///
/// @remarks Sections: pools, services, organisations, quotas, vendors,
///   weights. Thread-safe to read.
class Tree {
 public:
  Tree();  ///< The empty tree: defaults everywhere.

  /// Reads a tree. @throws FindingsError with all places that do not fit.
  static Tree Parse(std::string_view json_text);

  /// This tree with changes made and everything checked again.
  /// @throws FindingsError with every finding; this tree stays as it is.
  Tree With(const Changes& changes) const;

  std::string Text() const;

  /// The value set at a path itself; none when it is inherited or unknown.
  std::optional<std::string> Get(std::string_view path) const;

  /// From the value in force up through the parents to the default.
  /// @throws FindingsError for an unknown path.
  std::vector<Origin> Explain(std::string_view path) const;

  /// Inheritance done, defaults filled in.
  model::Config Resolve(uint64_t version) const;

  /// What leads from this tree to another.
  Changes DiffTo(const Tree& other) const;

 private:
  std::string m_text;  // Canonical JSON.
};

/// docs/SETTINGS.md, made from the table that the checks use.
std::string SettingsPage();

}  // namespace laurelhall::settings
