#pragma once

#include <string>
#include <unordered_map>
#include <unordered_set>

#include "laurelhall/base/time.h"
#include "laurelhall/scheduling/graph.h"

// Determines the organisation of a job and enforces the limits of
// organisations.
namespace laurelhall::scheduling {

/// The result of an access check.
struct Access {
  bool is_granted = false;
  std::string organisation;  ///< Empty: the queue requires no key.
};

/// The keys of a configuration and the organisations that own them.
///
/// @remarks Immutable; thread-safe.
class KeyRing {
 public:
  KeyRing() = default;
  explicit KeyRing(const Configuration& configuration);

  /// Whether a caller may submit jobs to a queue, and for which organisation.
  ///
  /// @param queue Name of a queue of the configuration.
  /// @param fingerprint Fingerprint of the caller's key; empty for none.
  Access Check(const std::string& queue, const std::string& fingerprint) const;

  /// @returns Null when the configuration has no organisation of this name.
  const OrganisationSpec* Find(const std::string& organisation) const;

 private:
  bool m_requires_no_key = true;  // For any queue.
  std::unordered_set<std::string> m_open_queues;
  std::unordered_map<std::string, std::string>
      m_organisation_by_key;  // By fingerprint.
  std::unordered_map<std::string, OrganisationSpec> m_organisations;
};

/// Whether another task stays within the cap. A task that is larger than the
/// whole cap may run when nothing else does, because it would wait forever
/// otherwise. Thread-safe.
///
/// @param cap Limit by resource; zero: no limit.
bool IsWithinCap(const Resources& cap,
                 const Resources& in_use,
                 const Resources& need);

/// Detects jobs above the guaranteed job rates of organisations, by a token
/// bucket per organisation.
///
/// @remarks Not thread-safe. Its state is not persistent: every organisation
///   starts with a full bucket.
class JobRateLimiter {
 public:
  /// Counts a job of an organisation with the guaranteed rate
  /// `jobs_per_second`.
  ///
  /// @returns Whether the job exceeds the rate.
  bool IsExcess(const std::string& organisation,
                double jobs_per_second,
                SteadyTime now);

  /// Takes back a job that did not exceed the rate, as it was not accepted.
  void Refund(const std::string& organisation);

 private:
  struct TokenBucket {
    double tokens = 0;
    SteadyTime updated_at{};
  };
  std::unordered_map<std::string, TokenBucket> m_buckets;  // By organisation.
};

}  // namespace laurelhall::scheduling
