#include "laurelhall/scheduling/organisation.h"

#include <algorithm>
#include <chrono>

namespace laurelhall::scheduling {

namespace {

// What an organisation leaves unused for so long it may send at once.
constexpr std::chrono::duration<double> kRateWindow{2};

bool IsWithin(int64_t cap, int64_t in_use, int64_t need) {
  return cap <= 0 || need <= 0 || in_use <= 0 || in_use + need <= cap;
}

}  // namespace

KeyRing::KeyRing(const Configuration& configuration)
    : m_is_open(!configuration.identities) {
  if (m_is_open) {
    return;
  }
  const IdentitySpec& identities = *configuration.identities;
  m_open_queues.insert(identities.open_queues.begin(),
                       identities.open_queues.end());
  for (const OrganisationSpec& organisation : identities.organisations) {
    m_organisations.emplace(organisation.name, organisation);
    for (const std::string& key : organisation.keys) {
      m_owners.emplace(key, organisation.name);
    }
  }
}

Access KeyRing::Check(const std::string& queue,
                      const std::string& fingerprint) const {
  if (m_is_open || m_open_queues.contains(queue)) {
    return {true, ""};
  }
  const auto owner = m_owners.find(fingerprint);
  return owner == m_owners.end() ? Access() : Access{true, owner->second};
}

const OrganisationSpec* KeyRing::Find(const std::string& organisation) const {
  const auto found = m_organisations.find(organisation);
  return found == m_organisations.end() ? nullptr : &found->second;
}

bool IsWithinCap(const Resources& cap,
                 const Resources& in_use,
                 const Resources& need) {
  return IsWithin(cap.millicores, in_use.millicores, need.millicores) &&
         IsWithin(cap.memory_mb, in_use.memory_mb, need.memory_mb) &&
         IsWithin(cap.accelerators, in_use.accelerators, need.accelerators);
}

bool JobRates::IsExcess(const std::string& organisation,
                        double per_second,
                        SteadyTime now) {
  // At least one job: a rate below one a second promises jobs all the same.
  const double most = std::max(1.0, per_second * kRateWindow.count());
  const auto [found, is_new] =
      m_left.try_emplace(organisation, Allowance{most, now});
  Allowance& left = found->second;
  const std::chrono::duration<double> since = now - left.at;
  left.jobs = std::min(most, left.jobs + per_second * since.count());
  left.at = now;
  if (left.jobs < 1) {
    return true;
  }
  left.jobs -= 1;
  return false;
}

}  // namespace laurelhall::scheduling
