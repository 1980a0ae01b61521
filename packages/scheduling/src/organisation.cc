#include "laurelhall/scheduling/organisation.h"

#include <algorithm>
#include <chrono>

namespace laurelhall::scheduling {

namespace {

// An organisation may submit in one burst the unused jobs of this time.
constexpr std::chrono::duration<double> kBurstWindow{2};

bool IsWithinLimit(int64_t cap, int64_t in_use, int64_t need) {
  return cap <= 0 || need <= 0 || in_use <= 0 || in_use + need <= cap;
}

}  // namespace

KeyRing::KeyRing(const Configuration& configuration)
    : m_requires_no_key(!configuration.identities) {
  if (m_requires_no_key) {
    return;
  }
  const IdentitySpec& identities = *configuration.identities;
  m_open_queues.insert(identities.open_queues.begin(),
                       identities.open_queues.end());
  for (const OrganisationSpec& organisation : identities.organisations) {
    m_organisations.emplace(organisation.name, organisation);
    for (const std::string& key : organisation.keys) {
      m_organisation_by_key.emplace(key, organisation.name);
    }
  }
}

Access KeyRing::Check(const std::string& queue,
                      const std::string& fingerprint) const {
  if (m_requires_no_key || m_open_queues.contains(queue)) {
    return {true, ""};
  }
  const auto entry = m_organisation_by_key.find(fingerprint);
  return entry == m_organisation_by_key.end() ? Access()
                                              : Access{true, entry->second};
}

const OrganisationSpec* KeyRing::Find(const std::string& organisation) const {
  const auto found = m_organisations.find(organisation);
  return found == m_organisations.end() ? nullptr : &found->second;
}

bool IsWithinCap(const Resources& cap,
                 const Resources& in_use,
                 const Resources& need) {
  return IsWithinLimit(cap.millicores, in_use.millicores, need.millicores) &&
         IsWithinLimit(cap.memory_mb, in_use.memory_mb, need.memory_mb) &&
         IsWithinLimit(cap.accelerators, in_use.accelerators,
                       need.accelerators);
}

bool JobRateLimiter::IsExcess(const std::string& organisation,
                              double jobs_per_second,
                              SteadyTime now) {
  // At least one job: a rate below one per second must admit jobs too.
  const double max_tokens =
      std::max(1.0, jobs_per_second * kBurstWindow.count());
  const auto [found, is_new] =
      m_buckets.try_emplace(organisation, TokenBucket{max_tokens, now});
  TokenBucket& bucket = found->second;
  const std::chrono::duration<double> elapsed = now - bucket.updated_at;
  bucket.tokens =
      std::min(max_tokens, bucket.tokens + jobs_per_second * elapsed.count());
  bucket.updated_at = now;
  if (bucket.tokens < 1) {
    return true;
  }
  bucket.tokens -= 1;
  return false;
}

void JobRateLimiter::Refund(const std::string& organisation) {
  const auto bucket = m_buckets.find(organisation);
  if (bucket != m_buckets.end()) {
    bucket->second.tokens += 1;
  }
}

}  // namespace laurelhall::scheduling
