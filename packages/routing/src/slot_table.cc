#include <algorithm>
#include <vector>

#include "slot_table_p.h"

namespace laurelhall::routing {
namespace {

/// Share of the distance to a lower demand that one renewal goes.
constexpr double kDemandFall = 0.2;

/// A holder keeps a slot until another one's need is this much greater.
constexpr double kHolderBonus = 1.5;

bool IsLive(const model::EntryIdentity& entry,
            const Loan& loan,
            const CurrentIncarnations& current) {
  const auto it = current.find(entry.name);
  return !loan.is_silent && it != current.end() &&
         it->second == entry.incarnation;
}

/// Slots that a report accounts for.
int UsedBy(const SlotDemand& demand) {
  return std::max(demand.held, demand.in_use);
}

/// One entry host's claim to a share of the slots.
struct Claimant {
  const model::EntryIdentity* entry = nullptr;
  const Loan* loan = nullptr;
  int slots = 0;

  /// How much it needs one more slot: demand first, then what it has.
  double Need() const {
    const bool is_holder = slots < loan->slots;
    const double bonus = is_holder ? kHolderBonus : 1.0;
    const bool is_wanted = loan->demand > slots + kDemandNoise;
    // Slots that nobody wants go to the smallest holding, after any demand.
    const double demand = is_wanted ? loan->demand : kIdleDemand;
    return bonus * demand / (slots + 1);
  }

  static constexpr double kIdleDemand = 0.01;
  static constexpr double kDemandNoise = 0.1;
};

}  // namespace

void Loan::SeeDemand(int wanted) {
  const double seen = std::max(wanted, 0);
  const double fallen = demand - (demand - seen) * kDemandFall;
  demand = std::max(seen, fallen);
  is_declined &= wanted == 0;
}

void EndpointSlots::SetLimit(int slots, Millis longest_run) {
  m_limit = slots;
  m_longest_run = longest_run;
  m_is_closed = false;
}

void EndpointSlots::ReserveForTakeOver(int slots,
                                       SteadyTime until,
                                       SteadyTime now) {
  if (now >= until) {
    return;
  }
  m_reserve = slots;
  m_take_over_until = until;
  m_is_taking_over = true;
}

Loan* EndpointSlots::Find(const model::EntryIdentity& entry) {
  const auto it = m_loans.find(entry);
  return it == m_loans.end() ? nullptr : &it->second;
}

const Loan* EndpointSlots::Find(const model::EntryIdentity& entry) const {
  const auto it = m_loans.find(entry);
  return it == m_loans.end() ? nullptr : &it->second;
}

Loan& EndpointSlots::Add(const model::EntryIdentity& entry) {
  return m_loans[entry];
}

void EndpointSlots::TakeOver(Loan& loan, const SlotDemand& demand) {
  int charged = 0;
  for (const auto& [entry, other] : m_loans) {
    charged += other.charge;
  }
  loan.slots = std::clamp(m_limit - charged, 0, demand.held);
  loan.charge = UsedBy(demand);
  loan.from_reserve = demand.held;
  loan.expected = demand.held;
  m_reserve -= demand.held;
}

void EndpointSlots::Lend(Loan& loan, int slots) {
  loan.slots = slots;
  loan.charge = slots;
  loan.expected = slots;
}

void EndpointSlots::EndTakeOverIfReported(
    const std::set<model::EntryIdentity>& earlier) {
  if (m_is_taking_over && std::ranges::includes(m_reported, earlier)) {
    EndTakeOver();
  }
}

void EndpointSlots::EndTakeOver() {
  m_is_taking_over = false;
  m_reserve = 0;
  m_reported.clear();
}

/// A report under a grant of this leader is complete: the entry host accepts no
/// grant of an earlier leader after it.
void EndpointSlots::Confirm(const model::EntryIdentity& entry,
                            Loan& loan,
                            const SlotDemand& demand) {
  if (m_is_taking_over) {
    m_reported.insert(entry);
  }
  if (loan.is_confirmed) {
    // Under one grant `held` only falls, so late copies do no harm.
    loan.charge = std::min(loan.charge, UsedBy(demand));
    loan.is_declined |= demand.held < loan.slots && demand.wanted == 0;
  } else {
    ConfirmFirst(loan, demand);
  }
  loan.slots = std::min(loan.slots, demand.held);
}

/// The first report under this leader is the truth about what was taken over.
/// What is held less than reported before may be lent to somebody who has not
/// reported yet, so that goes back into the reserve. Runs whose lease ran out
/// are charged on top: no earlier leader's account has room for them.
void EndpointSlots::ConfirmFirst(Loan& loan, const SlotDemand& demand) {
  if (m_is_taking_over) {
    const int change = demand.held - loan.expected;
    m_reserve -= std::max(change, -loan.from_reserve);
  }
  loan.charge = UsedBy(demand);
  loan.from_reserve = 0;
  loan.is_confirmed = true;
}

void EndpointSlots::Extend(Loan& loan, SteadyTime now, Millis lease) {
  loan.is_silent = false;
  loan.lease_until = std::max(loan.lease_until, now + lease);
  loan.runs_until = std::max(loan.runs_until, loan.lease_until + m_longest_run);
}

void EndpointSlots::Expire(SteadyTime now) {
  for (auto& [entry, loan] : m_loans) {
    loan.is_silent = now >= loan.lease_until;
  }
  std::erase_if(m_loans, [&](const auto& item) {
    const Loan& loan = item.second;
    const bool is_returned =
        m_is_closed && loan.is_confirmed && loan.slots == 0 && loan.charge == 0;
    const bool is_unused = loan.is_silent && loan.charge == 0;
    return is_returned || is_unused || now >= loan.runs_until;
  });
  if (m_is_taking_over && now >= m_take_over_until) {
    EndTakeOver();
  }
}

int EndpointSlots::Lendable() const {
  int charged = 0;
  for (const auto& [entry, loan] : m_loans) {
    charged += loan.charge;
  }
  return m_limit - charged - std::max(m_reserve, 0);
}

int EndpointSlots::TargetOf(const model::EntryIdentity& entry,
                            const CurrentIncarnations& current) const {
  if (m_is_closed) {
    return 0;
  }
  for (const auto& [claimant, slots] : Targets(current)) {
    if (*claimant == entry) {
      return slots;
    }
  }
  return 0;
}

std::map<const model::EntryIdentity*, int> EndpointSlots::Targets(
    const CurrentIncarnations& current) const {
  std::vector<Claimant> claimants;
  for (const auto& [entry, loan] : m_loans) {
    if (IsLive(entry, loan, current) && !loan.is_declined) {
      claimants.push_back({&entry, &loan, 0});
    }
  }
  std::map<const model::EntryIdentity*, int> targets;
  if (claimants.empty()) {
    return targets;
  }
  int left = std::max(m_limit - Quarantined(current), 0);
  // Each entry host keeps one slot of every second endpoint, so that a first
  // request need not wait a renewal. One of every endpoint would take most of
  // the slots out of the reach of demand; with many entry hosts, or few slots
  // that are not quarantined, each keeps one of fewer endpoints, so that half
  // of the slots always follow demand and no entry host is left without any.
  const size_t share = std::max<size_t>(static_cast<size_t>(left) / 2, 1);
  const size_t stride =
      std::max<size_t>(2, (claimants.size() + share - 1) / share);
  for (size_t i = m_ordinal % stride; i < claimants.size() && left > 0;
       i += stride) {
    claimants[i].slots = 1;
    --left;
  }
  for (; left > 0; --left) {
    std::ranges::max_element(claimants, {}, &Claimant::Need)->slots++;
  }
  for (const Claimant& claimant : claimants) {
    targets[claimant.entry] = claimant.slots;
  }
  return targets;
}

int EndpointSlots::Lent(const CurrentIncarnations& current) const {
  int lent = 0;
  for (const auto& [entry, loan] : m_loans) {
    lent += IsLive(entry, loan, current) ? loan.charge : 0;
  }
  return lent;
}

int EndpointSlots::Quarantined(const CurrentIncarnations& current) const {
  int quarantined = std::max(m_reserve, 0);
  for (const auto& [entry, loan] : m_loans) {
    quarantined += IsLive(entry, loan, current) ? 0 : loan.charge;
  }
  return quarantined;
}

}  // namespace laurelhall::routing
