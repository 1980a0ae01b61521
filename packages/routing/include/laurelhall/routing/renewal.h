#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "laurelhall/routing/grants.h"
#include "laurelhall/routing/row_delta.h"

// Renewals as changes only. What the allocator and the holder see is the same
// as if each renewal named all endpoints and each answer all grants.
namespace laurelhall::routing {

/// What an entry host sends to renew all its leases.
struct LeaseRenewal {
  RowDelta<SlotDemand> demands;
  uint64_t grants_base = kNoBase;  ///< Digest of the grants it last took in.
};

/// What the leader answers.
struct LeaseAnswer {
  /// The demands did not fit: nothing was renewed, send them in full.
  bool is_full_wanted = false;
  RowDelta<SlotGrant> grants;
};

/// The entry host's side.
///
/// @remarks Not thread-safe. One renewal is under way at a time: making the
///   next one gives up the answer of the last.
class RenewalSender {
 public:
  /// Makes the next renewal.
  ///
  /// @param report All demands, as GrantHolder::Report() gives them.
  LeaseRenewal Next(const std::vector<SlotDemand>& report);

  /// Takes in the answer to the renewal made last.
  ///
  /// @returns All grants in force, for GrantHolder::Update(); none when the
  ///   answer renews nothing, and the next renewal goes out in full.
  std::optional<std::vector<SlotGrant>> Take(const LeaseAnswer& answer);

 private:
  RowTable<SlotDemand> m_sent;
  RowTable<SlotDemand> m_acknowledged;  ///< The leader surely had these.
  RowTable<SlotGrant> m_grants;
  bool m_is_full_due = true;
};

/// The leader's side, for one incarnation of one entry host.
///
/// @remarks Not thread-safe.
class RenewalReceiver {
 public:
  /// Returns all demands, or none when the changes don't fit what is known.
  std::optional<std::vector<SlotDemand>> Read(const LeaseRenewal& renewal);

  /// Makes the answer to a renewal that was read.
  ///
  /// @param grants All grants in force for the entry host.
  LeaseAnswer Answer(const LeaseRenewal& renewal,
                     const std::vector<SlotGrant>& grants);

  uint64_t demands_digest() const { return m_demands.digest(); }
  uint64_t grants_digest() const { return m_grants.digest(); }

 private:
  RowTable<SlotDemand> m_demands;
  RowTable<SlotGrant> m_grants;  ///< As answered last.
};

}  // namespace laurelhall::routing
