#pragma once

#include <cstddef>
#include <vector>

namespace laurelhall::budget {

/// Hosts by failure domain, and how many the largest domain holds.
///
/// @remarks Each call is O(1) amortised. Not thread-safe.
class DomainCounts {
 public:
  /// Counts one more host in a domain; domains are small indices.
  void Add(int domain);

  /// Counts one host less. Precondition: the domain holds one.
  void Remove(int domain);

  /// Returns the largest count once a host of `domain` has gone.
  int LargestWithout(int domain) const;

  int largest() const { return m_largest; }

 private:
  int& DomainsWith(int count);

  std::vector<int> m_counts;     // By domain.
  std::vector<int> m_histogram;  // Number of domains by their count.
  int m_largest = 0;
};

}  // namespace laurelhall::budget
