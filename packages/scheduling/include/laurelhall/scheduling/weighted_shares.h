#pragma once

#include <vector>

namespace laurelhall::scheduling {

/// A claim on a part of a capacity, in the unit of the capacity.
struct ShareClaim {
  double weight = 0;  ///< Claims without a weight get what others leave.
  double demand = 0;
};

/// Divides a capacity among claims by weighted max-min fairness: no claim gets
/// more than its demand, and what one leaves is divided among the others by
/// their weights. Thread-safe.
///
/// @returns The part of each claim, in the order of the claims.
std::vector<double> DivideByWeight(double capacity,
                                   const std::vector<ShareClaim>& claims);

}  // namespace laurelhall::scheduling
