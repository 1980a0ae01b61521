#include "laurelhall/scheduling/weighted_shares.h"

#include <algorithm>
#include <cstddef>

namespace laurelhall::scheduling {

namespace {

// Divides `capacity` among the claims at `order`, which is sorted by demand for
// each unit of weight, and returns what is left.
double Divide(double capacity,
              const std::vector<ShareClaim>& claims,
              const std::vector<double>& weights,
              const std::vector<size_t>& order,
              std::vector<double>& parts) {
  double weight_left = 0;
  for (const size_t claim : order) {
    weight_left += weights[claim];
  }
  for (const size_t claim : order) {
    const double fair = capacity * weights[claim] / weight_left;
    parts[claim] = std::min(claims[claim].demand, fair);
    capacity -= parts[claim];
    weight_left -= weights[claim];
  }
  return std::max(0.0, capacity);
}

}  // namespace

std::vector<double> DivideByWeight(double capacity,
                                   const std::vector<ShareClaim>& claims) {
  std::vector<double> parts(claims.size(), 0.0);
  std::vector<double> weights(claims.size(), 1.0);
  std::vector<size_t> weighted;
  std::vector<size_t> unweighted;
  for (size_t claim = 0; claim < claims.size(); ++claim) {
    const bool has_weight = claims[claim].weight > 0;
    weights[claim] = has_weight ? claims[claim].weight : 1.0;
    (has_weight ? weighted : unweighted).push_back(claim);
  }
  const auto is_satisfied_sooner = [&](size_t a, size_t b) {
    return claims[a].demand * weights[b] < claims[b].demand * weights[a];
  };
  std::sort(weighted.begin(), weighted.end(), is_satisfied_sooner);
  std::sort(unweighted.begin(), unweighted.end(), is_satisfied_sooner);
  capacity = std::max(0.0, capacity);
  capacity = Divide(capacity, claims, weights, weighted, parts);
  Divide(capacity, claims, weights, unweighted, parts);
  return parts;
}

}  // namespace laurelhall::scheduling
