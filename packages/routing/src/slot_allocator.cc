#include <algorithm>
#include <utility>

#include "laurelhall/routing/grants.h"
#include "slot_table_p.h"

namespace laurelhall::routing {
namespace {

constexpr int kEpochShift = 32;

uint64_t EpochOf(uint64_t grant) {
  return grant >> kEpochShift;
}

}  // namespace

/// What it does with a report depends on whose grant the report names: the
/// one in force, an earlier one of this leader, or one of an earlier leader.
class SlotAllocator::Impl {
 public:
  Impl(const SlotAllocatorInit& init, SteadyTime now)
      : m_init(init), m_started_at(now) {}

  void SetEarlierHolders(std::set<model::EntryIdentity> entries) {
    m_earlier_holders = std::move(entries);
  }

  void SetEndpoint(const model::Endpoint& endpoint,
                   Millis max_run_time,
                   SteadyTime now,
                   bool is_never_lent) {
    auto [it, is_new] = m_endpoints.try_emplace(endpoint.id, m_ordinals);
    m_ordinals += is_new ? 1 : 0;
    EndpointSlots& slots = it->second;
    const Millis longest = WithDrift(max_run_time + m_init.write_margin);
    if (is_new && !is_never_lent && !m_settled.contains(endpoint.id)) {
      const SteadyTime until = m_started_at + Lease() + longest;
      m_take_over_end = std::max(m_take_over_end, until);
      slots.ReserveForTakeOver(endpoint.slots, until, now);
    }
    slots.SetLimit(endpoint.slots, longest);
  }

  void RemoveEndpoint(const std::string& endpoint) {
    const auto it = m_endpoints.find(endpoint);
    if (it != m_endpoints.end()) {
      it->second.Close();
    }
  }

  std::vector<SlotGrant> Renew(const model::EntryIdentity& entry,
                               const std::vector<SlotDemand>& demands,
                               SteadyTime now) {
    Expire(now);
    m_current[entry.name] = entry.incarnation;
    std::map<std::string, SlotDemand> by_endpoint;
    for (const SlotDemand& demand : demands) {
      by_endpoint[demand.endpoint] = demand;
    }
    std::vector<SlotGrant> grants;
    for (auto& [id, slots] : m_endpoints) {
      SlotDemand& demand = by_endpoint[id];
      demand.endpoint = id;
      RenewOne(entry, demand, slots, now, &grants);
    }
    return grants;
  }

  void Expire(SteadyTime now) {
    if (now >= m_take_over_end) {
      m_settled.clear();
    }
    for (auto it = m_endpoints.begin(); it != m_endpoints.end();) {
      it->second.Expire(now);
      if (m_earlier_holders) {
        it->second.EndTakeOverIfReported(*m_earlier_holders);
      }
      if (!it->second.is_done()) {
        ++it;
        continue;
      }
      m_settled.insert(it->first);
      it = m_endpoints.erase(it);
    }
    std::erase_if(m_current, [&](const auto& named) {
      const model::EntryIdentity entry{named.first, named.second};
      return std::ranges::none_of(m_endpoints, [&](const auto& item) {
        return item.second.Find(entry) != nullptr;
      });
    });
  }

  bool MayHoldSlots(const model::EntryIdentity& entry) const {
    const bool is_earlier =
        !m_earlier_holders || m_earlier_holders->contains(entry);
    return std::ranges::any_of(m_endpoints, [&](const auto& item) {
      const Loan* loan = item.second.Find(entry);
      const bool is_charged =
          loan != nullptr && (loan->charge > 0 || loan->slots > 0);
      return is_charged || (is_earlier && item.second.IsAwaited(entry));
    });
  }

  int Lent(const std::string& endpoint) const {
    const auto it = m_endpoints.find(endpoint);
    return it == m_endpoints.end() ? 0 : it->second.Lent(m_current);
  }

  int Quarantined(const std::string& endpoint) const {
    const auto it = m_endpoints.find(endpoint);
    return it == m_endpoints.end() ? 0 : it->second.Quarantined(m_current);
  }

 private:
  Millis WithDrift(Millis duration) const {
    // Both clocks may be off by the bound, in opposite directions.
    const double ratio = (1 + m_init.clock_drift) / (1 - m_init.clock_drift);
    return std::chrono::ceil<Millis>(
        std::chrono::duration<double, std::milli>(duration) * ratio);
  }

  Millis Lease() const { return WithDrift(m_init.lease); }

  uint64_t NextGrant() { return (m_init.epoch << kEpochShift) | ++m_counter; }

  void RenewOne(const model::EntryIdentity& entry,
                const SlotDemand& demand,
                EndpointSlots& slots,
                SteadyTime now,
                std::vector<SlotGrant>* grants) {
    if (EpochOf(demand.grant) > m_init.epoch) {
      return;  // Lent by a later leader: this one no longer leads.
    }
    Loan* loan = slots.Find(entry);
    const bool is_confirmed = loan != nullptr && loan->grant == demand.grant;
    if (loan == nullptr) {
      loan = Open(entry, demand, slots);
    } else if (is_confirmed) {
      slots.Confirm(entry, *loan, demand);
    } else {
      loan->charge = std::max(loan->charge, demand.in_use);
    }
    if (loan == nullptr) {
      return;
    }
    loan->SeeDemand(demand.wanted);
    slots.Extend(*loan, now, Lease());
    if (is_confirmed || slots.is_closed()) {
      Move(entry, slots, *loan);
    }
    grants->push_back(
        {demand.endpoint, loan->grant, loan->slots, m_init.lease});
  }

  /// Starts the record of an entry host at an endpoint.
  Loan* Open(const model::EntryIdentity& entry,
             const SlotDemand& demand,
             EndpointSlots& slots) {
    const bool is_awaited = slots.is_taking_over();
    if (slots.is_closed() && demand.held == 0 && !is_awaited) {
      return nullptr;
    }
    Loan& loan = slots.Add(entry);
    loan.grant = NextGrant();
    loan.SeeDemand(demand.wanted);
    const bool is_earlier = demand.grant != 0;
    if (is_earlier && EpochOf(demand.grant) < m_init.epoch &&
        slots.is_taking_over()) {
      slots.TakeOver(loan, demand);
    } else if (is_earlier) {
      loan.charge = demand.in_use;  // Its lease has surely run out.
    } else {
      const int slots_now =
          std::min(slots.TargetOf(entry, m_current), slots.Lendable());
      EndpointSlots::Lend(loan, std::max(slots_now, 0));
    }
    return &loan;
  }

  /// Moves slots with demand. One change at a time is under way: the next is
  /// made after the entry host has reported under the grant of the last.
  void Move(const model::EntryIdentity& entry,
            EndpointSlots& slots,
            Loan& loan) {
    int target = slots.TargetOf(entry, m_current);
    if (target > loan.slots) {
      // Slots still in use above `slots` are charged to it already. Below
      // zero there is nothing behind some charges, so these don't count.
      const int room = slots.Lendable() + loan.charge;
      target = std::clamp(target, loan.slots, std::max(room, loan.slots));
    }
    if (target == loan.slots) {
      return;
    }
    loan.grant = NextGrant();
    loan.slots = target;
    loan.charge = std::max(loan.charge, target);
  }

  const SlotAllocatorInit m_init;
  const SteadyTime m_started_at;
  uint64_t m_counter = 0;
  size_t m_ordinals = 0;
  std::map<std::string, EndpointSlots> m_endpoints;
  CurrentIncarnations m_current;
  std::optional<std::set<model::EntryIdentity>> m_earlier_holders;
  // Forgotten endpoints of which nothing was lent any longer: if they return
  // before the end of the take-over, nothing is reserved again.
  std::set<std::string> m_settled;
  SteadyTime m_take_over_end{};
};

SlotAllocator::SlotAllocator(const SlotAllocatorInit& init, SteadyTime now)
    : m_impl(std::make_unique<Impl>(init, now)) {}

SlotAllocator::~SlotAllocator() = default;

void SlotAllocator::SetEarlierHolders(std::set<model::EntryIdentity> entries) {
  m_impl->SetEarlierHolders(std::move(entries));
}

void SlotAllocator::SetEndpoint(const model::Endpoint& endpoint,
                                Millis max_run_time,
                                SteadyTime now,
                                bool is_never_lent) {
  m_impl->SetEndpoint(endpoint, max_run_time, now, is_never_lent);
}

void SlotAllocator::RemoveEndpoint(const std::string& endpoint) {
  m_impl->RemoveEndpoint(endpoint);
}

std::vector<SlotGrant> SlotAllocator::Renew(
    const model::EntryIdentity& entry,
    const std::vector<SlotDemand>& demands,
    SteadyTime now) {
  return m_impl->Renew(entry, demands, now);
}

void SlotAllocator::Expire(SteadyTime now) {
  m_impl->Expire(now);
}

bool SlotAllocator::MayHoldSlots(const model::EntryIdentity& entry) const {
  return m_impl->MayHoldSlots(entry);
}

int SlotAllocator::LentSlots(const std::string& endpoint) const {
  return m_impl->Lent(endpoint);
}

int SlotAllocator::QuarantinedSlots(const std::string& endpoint) const {
  return m_impl->Quarantined(endpoint);
}

}  // namespace laurelhall::routing
