#include "laurelhall/routing/renewal.h"

#include <utility>

namespace laurelhall::routing {

void RowDigest::Add(uint64_t value) {
  // The finalizer of splitmix64, chained.
  uint64_t mixed = (m_value ^ value) + 0x9e3779b97f4a7c15;
  mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9;
  mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111eb;
  m_value = mixed ^ (mixed >> 31);
}

void RowDigest::Add(const std::string& text) {
  // FNV-1a.
  uint64_t sum = 0xcbf29ce484222325;
  for (const char letter : text) {
    sum = (sum ^ static_cast<unsigned char>(letter)) * 0x100000001b3;
  }
  Add(sum);
  Add(text.size());
}

void SlotDemand::AddTo(RowDigest& digest) const {
  digest.Add(endpoint);
  digest.Add(grant);
  digest.Add(static_cast<uint64_t>(held));
  digest.Add(static_cast<uint64_t>(in_use));
  digest.Add(static_cast<uint64_t>(wanted));
}

void SlotGrant::AddTo(RowDigest& digest) const {
  digest.Add(endpoint);
  digest.Add(grant);
  digest.Add(static_cast<uint64_t>(slots));
  digest.Add(static_cast<uint64_t>(lease.count()));
}

LeaseRenewal RenewalSender::Next(const std::vector<SlotDemand>& report) {
  m_sent = RowTable<SlotDemand>(report);
  LeaseRenewal renewal;
  renewal.demands =
      m_is_full_due ? m_sent.Full() : m_sent.DeltaFrom(m_acknowledged);
  renewal.grants_base = m_is_full_due ? kNoBase : m_grants.digest();
  return renewal;
}

std::optional<std::vector<SlotGrant>> RenewalSender::Take(
    const LeaseAnswer& answer) {
  m_is_full_due = answer.is_full_wanted || !m_grants.Fits(answer.grants);
  if (m_is_full_due) {
    return std::nullopt;
  }
  m_acknowledged = m_sent;
  m_grants.Apply(answer.grants);
  return m_grants.Rows();
}

std::optional<std::vector<SlotDemand>> RenewalReceiver::Read(
    const LeaseRenewal& renewal) {
  if (!m_demands.Fits(renewal.demands)) {
    return std::nullopt;
  }
  m_demands.Apply(renewal.demands);
  return m_demands.Rows();
}

LeaseAnswer RenewalReceiver::Answer(const LeaseRenewal& renewal,
                                    const std::vector<SlotGrant>& grants) {
  RowTable<SlotGrant> now(grants);
  LeaseAnswer answer;
  answer.grants = renewal.grants_base == m_grants.digest()
                      ? now.DeltaFrom(m_grants)
                      : now.Full();
  m_grants = std::move(now);
  return answer;
}

}  // namespace laurelhall::routing
