#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "laurelhall/scheduling/graph.h"

namespace laurelhall::scheduling {

/// One organisation in a pool that lacks room for all that could start.
struct OrganisationShare {
  std::string organisation;  ///< Empty: work of no organisation.
  double weight = 0;
  Resources cap;     ///< Zero: no limit.
  Resources held;    ///< By its running tasks and planned starts.
  Resources wanted;  ///< By its tasks that could start.
  double used = 0;   ///< Dominant share of `held`, 1 being the whole pool.
  double part = 0;   ///< What it is entitled to, in the same unit.
};

/// A step with tasks that could start.
struct BegunStep {
  Resources need;  ///< Of one task.
  Resources held;  ///< By its running tasks and planned starts.
};

/// Divides a pool among organisations by weighted dominant-resource shares, and
/// determines which of them go first.
///
/// @remarks Not thread-safe. Keeps no state of earlier plans: who used little
///   before has no claim to more now.
class PoolShares {
 public:
  /// Index of an organisation in shares().
  using Claim = size_t;

  /// Returns the claim of an organisation; adds it on the first call.
  Claim ClaimOf(const std::string& organisation);

  /// Sets what an organisation is entitled to.
  void SetLimits(Claim claim, double weight, const Resources& cap);

  /// Counts tasks of a size that could start.
  void Want(Claim claim, const Resources& need, uint32_t tasks);

  /// Counts what running tasks and planned starts take.
  void Hold(Claim claim, const Resources& held);

  /// The sum of what could start.
  const Resources& wanted() const { return m_wanted; }

  /// The smallest need of the tasks that could start, by resource.
  const Resources& smallest() const { return m_smallest; }

  /// Determines the parts. To be called once, after all claims are known.
  ///
  /// @param free Room that tasks could still take.
  /// @param workers Number of workers of the pool.
  void Divide(const Resources& free, size_t workers);

  /// Whether the pool lacks room and was divided.
  bool is_divided() const { return m_is_divided; }

  /// Whether an organisation holds less than its part. Holds for all until the
  /// pool is divided.
  bool IsBelowPart(Claim claim) const;

  /// Whether the next task of a step goes before those for which this does not
  /// hold: it fits into its organisation's part, or the organisation was below
  /// its part when it began the step. The latter holds only while no
  /// organisation lacks more of its part than a task a worker.
  bool GoesFirst(Claim claim, const BegunStep& step) const;

  const std::vector<OrganisationShare>& shares() const { return m_shares; }

 private:
  double DominantShare(const Resources& taken) const;
  bool MayExceed(Claim claim, const BegunStep& step, double task) const;

  std::vector<OrganisationShare> m_shares;
  std::unordered_map<std::string, Claim> m_claims;  // By organisation.
  Resources m_wanted;
  Resources m_smallest;
  Resources m_capacity;  // Set by Divide().
  size_t m_workers = 0;  // Set by Divide().
  bool m_is_divided = false;
};

}  // namespace laurelhall::scheduling
