#include "laurelhall/budget/domain_counts.h"

#include <algorithm>

namespace laurelhall::budget {

int& DomainCounts::DomainsWith(int count) {
  const auto index = static_cast<size_t>(count);
  if (m_histogram.size() <= index) {
    m_histogram.resize(index + 1);
  }
  return m_histogram[index];
}

void DomainCounts::Add(int domain) {
  const auto index = static_cast<size_t>(domain);
  if (m_counts.size() <= index) {
    m_counts.resize(index + 1);
  }
  --DomainsWith(m_counts[index]);
  ++DomainsWith(++m_counts[index]);
  m_largest = std::max(m_largest, m_counts[index]);
}

void DomainCounts::Remove(int domain) {
  int& count = m_counts[static_cast<size_t>(domain)];
  --DomainsWith(count);
  ++DomainsWith(--count);
  // The domain itself now holds one less, so one step down is enough.
  if (m_largest > 0 && DomainsWith(m_largest) == 0) {
    --m_largest;
  }
}

int DomainCounts::LargestWithout(int domain) const {
  const auto index = static_cast<size_t>(domain);
  const bool is_only_largest = index < m_counts.size() && m_largest > 0 &&
                               m_counts[index] == m_largest &&
                               m_histogram[static_cast<size_t>(m_largest)] == 1;
  return is_only_largest ? m_largest - 1 : m_largest;
}

}  // namespace laurelhall::budget
