#include "laurelhall/scheduling/fair_shares.h"

#include <algorithm>

#include "laurelhall/scheduling/weighted_shares.h"

namespace laurelhall::scheduling {

namespace {

// Shares that differ by less are equal; far below the share of one task.
constexpr double kShareTolerance = 1e-9;

constexpr int64_t Resources::*kKinds[] = {
    &Resources::millicores, &Resources::memory_mb, &Resources::accelerators};

Resources Multiplied(const Resources& need, uint32_t tasks) {
  Resources product;
  for (const auto kind : kKinds) {
    product.*kind = need.*kind * tasks;
  }
  return product;
}

// What an organisation would hold if all of its tasks started that its cap
// allows.
Resources ReachableBy(const OrganisationShare& share) {
  Resources reachable = share.held;
  Add(reachable, share.wanted);
  for (const auto kind : kKinds) {
    if (share.cap.*kind > 0) {
      reachable.*kind = std::min(reachable.*kind,
                                 std::max(share.cap.*kind, share.held.*kind));
    }
  }
  return reachable;
}

}  // namespace

PoolShares::Claim PoolShares::ClaimOf(const std::string& organisation) {
  const auto [found, is_new] =
      m_claims.try_emplace(organisation, m_shares.size());
  if (is_new) {
    m_shares.emplace_back().organisation = organisation;
  }
  return found->second;
}

void PoolShares::SetLimits(Claim claim, double weight, const Resources& cap) {
  m_shares[claim].weight = weight;
  m_shares[claim].cap = cap;
}

void PoolShares::Want(Claim claim, const Resources& need, uint32_t tasks) {
  if (m_wanted == Resources()) {
    m_smallest = need;
  } else {
    Lower(m_smallest, need);
  }
  const Resources all = Multiplied(need, tasks);
  Add(m_shares[claim].wanted, all);
  Add(m_wanted, all);
}

void PoolShares::Hold(Claim claim, const Resources& held) {
  OrganisationShare& share = m_shares[claim];
  Add(share.held, held);
  share.used = DominantShare(share.held);
}

void PoolShares::Divide(const Resources& free, size_t workers) {
  m_workers = workers;
  m_is_divided = true;
  m_capacity = free;
  for (const OrganisationShare& share : m_shares) {
    Add(m_capacity, share.held);
  }
  std::vector<ShareClaim> claims;
  claims.reserve(m_shares.size());
  for (OrganisationShare& share : m_shares) {
    share.used = DominantShare(share.held);
    claims.push_back({share.weight, DominantShare(ReachableBy(share))});
  }
  const std::vector<double> parts = DivideByWeight(1.0, claims);
  for (size_t claim = 0; claim < parts.size(); ++claim) {
    m_shares[claim].part = parts[claim];
  }
}

bool PoolShares::IsBelowPart(Claim claim) const {
  const OrganisationShare& share = m_shares[claim];
  return !m_is_divided || share.used < share.part - kShareTolerance;
}

bool PoolShares::GoesFirst(Claim claim, const BegunStep& step) const {
  const OrganisationShare& share = m_shares[claim];
  const double task = DominantShare(step.need);
  return !m_is_divided || share.used + task < share.part + kShareTolerance ||
         MayExceed(claim, step, task);
}

// A part can be smaller than a step or even a task, and a step is of no use
// before its last task has run.
bool PoolShares::MayExceed(Claim claim,
                           const BegunStep& step,
                           double task) const {
  Resources others = m_shares[claim].held;
  Subtract(others, step.held);
  if (DominantShare(others) >= m_shares[claim].part - kShareTolerance) {
    return false;
  }
  const double limit = task * static_cast<double>(m_workers) + kShareTolerance;
  return std::all_of(m_shares.begin(), m_shares.end(),
                     [&](const OrganisationShare& other) {
                       return other.part - other.used + task <= limit;
                     });
}

double PoolShares::DominantShare(const Resources& taken) const {
  double dominant = 0;
  for (const auto kind : kKinds) {
    if (m_capacity.*kind > 0) {
      dominant = std::max(dominant, static_cast<double>(taken.*kind) /
                                        static_cast<double>(m_capacity.*kind));
    }
  }
  return dominant;
}

}  // namespace laurelhall::scheduling
