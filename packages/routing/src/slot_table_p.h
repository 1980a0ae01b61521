#pragma once

#include <map>
#include <set>
#include <string>

#include "laurelhall/base/time.h"
#include "laurelhall/model/endpoint.h"
#include "laurelhall/routing/grants.h"

namespace laurelhall::routing {

/// The incarnation of each entry host that renewed last, by name.
using CurrentIncarnations = std::map<std::string, uint64_t>;

/// What one entry host was lent of one endpoint.
struct Loan {
  uint64_t grant = 0;  ///< Changes with each change of `slots`.
  int slots = 0;       ///< What it was last told.
  /// Runs that it may have under way at most, by all that it was told.
  int charge = 0;
  int expected = 0;           ///< What the first report should say is held.
  int from_reserve = 0;       ///< Part of `expected` taken out of the reserve.
  bool is_confirmed = false;  ///< It has reported under this leader's grant.
  /// It gave back slots and wants none, as before a planned stop.
  bool is_declined = false;
  bool is_silent = false;  ///< Its lease has surely run out.
  double demand = 0;       ///< Recent: rises at once, falls slowly.
  SteadyTime lease_until{};
  SteadyTime runs_until{};  ///< All runs under its leases have ended by then.

  void SeeDemand(int wanted);
};

/// One endpoint's slots: lent, quarantined, reserved for the take-over.
///
/// @remarks Not thread-safe. Invariant: the sum of all charges and of the
///   reserve is at least what all entry hosts together may have under way.
class EndpointSlots {
 public:
  /// @param ordinal Differs between endpoints; spreads the minimum holdings.
  explicit EndpointSlots(size_t ordinal) : m_ordinal(ordinal) {}

  void SetLimit(int slots, Millis longest_run);

  /// Lends nothing more; what is lent is called back.
  void Close() { m_is_closed = true; }
  bool is_closed() const { return m_is_closed; }

  /// Holds all slots back until `until` for what earlier leaders lent.
  void ReserveForTakeOver(int slots, SteadyTime until, SteadyTime now);
  bool is_taking_over() const { return m_is_taking_over; }

  /// Ends the take-over once each of these has reported under a grant of this
  /// leader: nobody else can hold what earlier leaders lent.
  void EndTakeOverIfReported(const std::set<model::EntryIdentity>& earlier);

  /// Whether this entry host has not reported under a grant of this leader.
  bool IsAwaited(const model::EntryIdentity& entry) const {
    return m_is_taking_over && !m_reported.contains(entry);
  }

  Loan* Find(const model::EntryIdentity& entry);
  const Loan* Find(const model::EntryIdentity& entry) const;
  Loan& Add(const model::EntryIdentity& entry);

  /// Adopts what an entry host holds of an earlier leader.
  void TakeOver(Loan& loan, const SlotDemand& demand);

  /// Starts a record with slots that nobody has.
  static void Lend(Loan& loan, int slots);

  /// Takes in a report under the grant in force.
  void Confirm(const model::EntryIdentity& entry,
               Loan& loan,
               const SlotDemand& demand);

  void Extend(Loan& loan, SteadyTime now, Millis lease);
  void Expire(SteadyTime now);

  /// Slots that no entry host may use at present.
  int Lendable() const;

  /// Slots that the entry host should have by present demand.
  int TargetOf(const model::EntryIdentity& entry,
               const CurrentIncarnations& current) const;

  int Lent(const CurrentIncarnations& current) const;
  int Quarantined(const CurrentIncarnations& current) const;
  /// Nothing is lent, and nothing that earlier leaders lent can be in use.
  bool is_done() const {
    return m_is_closed && m_loans.empty() && !m_is_taking_over;
  }

 private:
  void EndTakeOver();
  void ConfirmFirst(Loan& loan, const SlotDemand& demand);
  std::map<const model::EntryIdentity*, int> Targets(
      const CurrentIncarnations& current) const;

  size_t m_ordinal;
  int m_limit = 0;
  Millis m_longest_run{0};
  bool m_is_closed = false;
  bool m_is_taking_over = false;
  /// Slots that earlier leaders may have lent and nobody has reported. Below
  /// zero when late copies of reports account for more than there is.
  int m_reserve = 0;
  SteadyTime m_take_over_until{};
  std::set<model::EntryIdentity> m_reported;  ///< During the take-over.
  std::map<model::EntryIdentity, Loan> m_loans;
};

}  // namespace laurelhall::routing
