#pragma once

#include <string>
#include <unordered_map>
#include <unordered_set>

#include "laurelhall/base/time.h"
#include "laurelhall/scheduling/graph.h"

// Whose a job is, and how much of the workers its organisation may have.
namespace laurelhall::scheduling {

/// What a key opens.
struct Access {
  bool is_granted = false;
  std::string organisation;  ///< Empty: the queue is open to all.
};

/// The keys of one configuration.
///
/// @remarks Immutable; thread-safe.
class KeyRing {
 public:
  KeyRing() = default;
  explicit KeyRing(const Configuration& configuration);

  /// @param queue By name; one of the configuration.
  /// @param fingerprint Of the caller's key; empty for none.
  Access Check(const std::string& queue, const std::string& fingerprint) const;

  /// Null for a name that the configuration does not hold.
  const OrganisationSpec* Find(const std::string& organisation) const;

 private:
  bool m_is_open = true;  // No queue asks for a key.
  std::unordered_set<std::string> m_open_queues;
  std::unordered_map<std::string, std::string> m_owners;  // By fingerprint.
  std::unordered_map<std::string, OrganisationSpec> m_organisations;
};

/// Whether a task more stays within a cap. A task larger than the whole cap may
/// run alone: it would wait for ever. Thread-safe.
bool IsWithinCap(const Resources& cap,
                 const Resources& in_use,
                 const Resources& need);

/// Tells which jobs go beyond the rates that organisations are promised.
///
/// @remarks Not thread-safe; knows nothing of what came before it was made.
class JobRates {
 public:
  /// Counts a job of an organisation that is promised `per_second`.
  ///
  /// @returns Whether it is one too many.
  bool IsExcess(const std::string& organisation,
                double per_second,
                SteadyTime now);

 private:
  struct Allowance {
    double jobs = 0;
    SteadyTime at{};
  };
  std::unordered_map<std::string, Allowance> m_left;  // By organisation.
};

}  // namespace laurelhall::scheduling
