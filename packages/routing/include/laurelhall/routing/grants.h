#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "laurelhall/base/handle.h"
#include "laurelhall/base/time.h"
#include "laurelhall/model/endpoint.h"

// Limits that hold over all entry hosts together, without asking per request:
// the leader lends slots of each endpoint to entry hosts under leases that
// move with demand. One slot carries one run and at most one connection.
namespace laurelhall::routing {

class RowDigest;

/// What an entry host says about one endpoint when it renews.
struct SlotDemand {
  std::string endpoint;
  uint64_t grant = 0;  ///< Id of the grant it holds; 0 for none.
  int held = 0;        ///< Slots it holds under that grant.
  /// Runs in flight. More than `held` only while runs go on whose lease ran
  /// out before it was renewed.
  int in_use = 0;
  int wanted = 0;  ///< In use and queued: what it could use now.

  void AddTo(RowDigest& digest) const;
  friend bool operator==(const SlotDemand&, const SlotDemand&) = default;
};

/// Slots lent to one entry host. Zero slots takes the grant back.
struct SlotGrant {
  std::string endpoint;
  uint64_t grant = 0;
  int slots = 0;
  Millis lease{0};  ///< Runs from when the entry host asked.

  void AddTo(RowDigest& digest) const;
  friend bool operator==(const SlotGrant&, const SlotGrant&) = default;
};

struct SlotAllocatorInit {
  Millis lease{std::chrono::seconds(12)};
  double clock_drift = 0.01;  ///< The slower clock may be this much slower.
  uint64_t epoch = 0;         ///< Of the leader; makes its grant ids its own.
  /// Longest time from IsValid() to the endpoint seeing the run. Endpoints
  /// check no lease, so this can only be allowed for, not enforced.
  Millis write_margin{std::chrono::seconds(1)};
};

/// The leader's side: who may use how many slots of which endpoint.
///
/// @remarks Not thread-safe. Invariant: slots lent, plus slots that a silent
///   entry host may still be using, never exceed the endpoint's slots.
class SlotAllocator {
 public:
  /// @param now A new leader lends nothing that is not reported to it as held
  ///   until every lease of an earlier leader, and the longest run under it,
  ///   has surely ended.
  SlotAllocator(const SlotAllocatorInit& init, SteadyTime now);
  ~SlotAllocator();

  /// Names the entry hosts that may hold what earlier leaders lent; once.
  ///
  /// @remarks At an endpoint where each of them has reported under a grant of
  ///   this leader, nothing is reserved for the take-over any longer. One that
  ///   never reports is waited for as long as a run of it may go on.
  /// @pre Whoever is not named was lent nothing before this leader, or all runs
  ///   under it have surely ended.
  void SetEarlierHolders(std::set<model::EntryIdentity> entries);

  /// Makes an endpoint known, or changes its slots.
  ///
  /// @param is_never_lent No earlier leader can have lent any of it: it was
  ///   first announced under this one. Else it is reserved for the take-over.
  /// @remarks A new incarnation keeps what is lent: the old runs died with
  ///   the old process, but leases on the same address still hold and a
  ///   silent entry host may use them at the new one.
  void SetEndpoint(const model::Endpoint& endpoint,
                   Millis max_run_time,
                   SteadyTime now,
                   bool is_never_lent = false);

  /// Lends nothing more of an endpoint that leaves or is gone.
  void RemoveEndpoint(const std::string& endpoint);

  /// Renews an entry host's leases and moves slots with demand.
  ///
  /// @pre The answer is sent only after leadership was confirmed at or after
  ///   this call; else it is dropped.
  /// @returns The grants in force for this entry host, changed or not.
  std::vector<SlotGrant> Renew(const model::EntryIdentity& entry,
                               const std::vector<SlotDemand>& demands,
                               SteadyTime now);

  /// Takes back what is surely over.
  void Expire(SteadyTime now);

  /// Whether a run of this entry host may be going on or may still start,
  /// under slots of this leader or of an earlier one.
  ///
  /// @pre Expire() was called at this time; SetEarlierHolders() was called.
  bool MayHoldSlots(const model::EntryIdentity& entry) const;

  int LentSlots(const std::string& endpoint) const;
  int QuarantinedSlots(const std::string& endpoint) const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

using SlotTicket = Handle<struct SlotTicketTag>;

/// The entry host's side: starts a run only under a lease that still holds.
///
/// @remarks Thread-safe: shards by endpoint, each under its own lock. At most
///   65,536 tickets a shard are out at once.
class GrantHolder {
 public:
  GrantHolder();
  ~GrantHolder();

  /// Takes in grants; the lease runs from when the renewal was sent.
  ///
  /// @param longest_runs By endpoint: for this time after a lease ran out its
  ///   slots are lent to nobody else. Zero for those that it doesn't name.
  /// @remarks Grants older than the one held are ignored, so answers may come
  ///   late, twice or out of order. The first grant of a later leader never
  ///   adds slots: that leader learns from the next report what is held. Of
  ///   slots whose lease ran out it confirms those that nobody else can have.
  void Update(const std::vector<SlotGrant>& grants,
              SteadyTime asked_at,
              const std::map<std::string, Millis>& longest_runs = {});

  /// Takes a slot, or none when all are in use or the lease has run out.
  std::optional<SlotTicket> TryAcquire(const std::string& endpoint,
                                       SteadyTime now);

  /// Whether the ticket's lease has held ever since it was taken; asked again
  /// right before a write. A lease that lapsed in between stays lapsed for
  /// the ticket, also after a renewal.
  bool IsValid(SlotTicket ticket, SteadyTime now) const;

  /// Gives a slot back. No effect on an invalid ticket.
  ///
  /// @pre The run has surely ended at the endpoint: its answer is here, it was
  ///   never written, or the longest run time has passed since it was.
  void Release(SlotTicket ticket);

  /// What to report at the next renewal, `wanted` filled in by the caller's
  /// count of queued requests per endpoint.
  std::vector<SlotDemand> Report(
      const std::map<std::string, int>& queued) const;

  int FreeSlots(const std::string& endpoint, SteadyTime now) const;

  /// Starts no more runs and reports unused slots as given back, for a planned
  /// stop: after one more renewal the leader may lend them at once, where a
  /// silent entry host's slots wait for its lease and the longest run.
  void ReturnAll();

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace laurelhall::routing
