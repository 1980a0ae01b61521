#include "fair_share_p.h"

#include <algorithm>

namespace laurelhall::routing {
namespace {

constexpr double kLeastWeight = 0.001;
constexpr size_t kMaxIdleShares = 1000;

/// Runs that never report their end are forgotten beyond this number.
constexpr size_t kMaxExpected = 4096;

/// Most that an organisation passed over by priority may lag behind, so that
/// it doesn't shut others out when it catches up.
constexpr double kMaxLagMillis = 5'000;

}  // namespace

void FairShare::SetWeight(const std::string& organisation, double weight) {
  m_shares[organisation].weight = std::max(weight, kLeastWeight);
}

Share& FairShare::Join(const std::string& organisation) {
  Share& share = m_shares[organisation];
  if (share.waiting == 0) {
    share.virtual_time = std::max(share.virtual_time, m_present);
  }
  return share;
}

void FairShare::Serve(const std::string& organisation, double expected_millis) {
  Share& share = m_shares[organisation];
  share.virtual_time = std::max(share.virtual_time, m_present - kMaxLagMillis);
  m_present = std::max(m_present, share.virtual_time);
  share.virtual_time += expected_millis / share.weight;
  share.expected.push_back(expected_millis);
  if (share.expected.size() > kMaxExpected) {
    share.expected.pop_front();
  }
}

void FairShare::Unserve(const std::string& organisation) {
  Share& share = m_shares[organisation];
  if (!share.expected.empty()) {
    share.virtual_time -= share.expected.back() / share.weight;
    share.expected.pop_back();
  }
}

void FairShare::Finish(const std::string& organisation, double millis) {
  Share& share = m_shares[organisation];
  if (!share.expected.empty()) {
    share.virtual_time += (millis - share.expected.front()) / share.weight;
    share.expected.pop_front();
  }
}

double FairShare::Dilution(const std::string& organisation) const {
  double total = 0;
  double own = 1;
  for (const auto& [name, share] : m_shares) {
    if (name == organisation) {
      own = share.weight;
    }
    total += share.waiting > 0 || name == organisation ? share.weight : 0;
  }
  return std::max(total / own, 1.0);
}

void FairShare::Trim() {
  if (m_shares.size() <= kMaxIdleShares) {
    return;
  }
  std::erase_if(m_shares, [&](const auto& item) {
    const Share& share = item.second;
    return share.waiting == 0 && share.weight == 1 && share.expected.empty() &&
           share.virtual_time <= m_present;
  });
}

}  // namespace laurelhall::routing
