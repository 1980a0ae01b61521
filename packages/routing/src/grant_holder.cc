#include <algorithm>
#include <array>
#include <functional>
#include <mutex>
#include <unordered_map>

#include "handle_table_p.h"
#include "laurelhall/routing/grants.h"

namespace laurelhall::routing {
namespace {

constexpr int kShardBits = 4;
constexpr size_t kShardCount = size_t{1} << kShardBits;
constexpr int kPlaceBits = 16;
constexpr int kEpochShift = 32;

/// Records without a lease are dropped after this time.
constexpr Millis kForgetAfter{std::chrono::minutes(1)};

/// A run that was let in.
struct Ticket {
  std::string endpoint;
  uint32_t lapses = 0;  ///< Of its endpoint's lease when it was taken.
};

using TicketTable = HandleTable<Ticket, SlotTicketTag, kShardBits, kPlaceBits>;

}  // namespace

class GrantHolder::Impl {
 public:
  void Update(const std::vector<SlotGrant>& grants,
              SteadyTime asked_at,
              const std::map<std::string, Millis>& longest_runs) {
    for (const SlotGrant& grant : grants) {
      const auto longest_run = longest_runs.find(grant.endpoint);
      Shard& shard = ShardOf(grant.endpoint);
      std::lock_guard lock(shard.mutex);
      Holding& holding = shard.holdings[grant.endpoint];
      Take(holding, grant, asked_at);
      holding.longest_run =
          longest_run == longest_runs.end() ? Millis(0) : longest_run->second;
    }
    for (Shard& shard : m_shards) {
      std::lock_guard lock(shard.mutex);
      Forget(shard, asked_at);
    }
  }

  std::optional<SlotTicket> TryAcquire(const std::string& endpoint,
                                       SteadyTime now) {
    Shard& shard = ShardOf(endpoint);
    std::lock_guard lock(shard.mutex);
    const auto it = shard.holdings.find(endpoint);
    if (it == shard.holdings.end() || it->second.FreeSlots(now) <= 0) {
      return std::nullopt;
    }
    const auto lane = static_cast<uint32_t>(ShardIndex(endpoint));
    const auto ticket = shard.tickets.Add({endpoint, it->second.lapses}, lane);
    if (ticket) {
      it->second.in_use++;
    }
    return ticket;
  }

  bool IsValid(SlotTicket ticket, SteadyTime now) const {
    if (!ticket.is_valid()) {
      return false;
    }
    const Shard& shard = m_shards[TicketTable::LaneOf(ticket)];
    std::lock_guard lock(shard.mutex);
    const Ticket* found = shard.tickets.Find(ticket);
    if (found == nullptr) {
      return false;
    }
    const Holding& holding = shard.holdings.at(found->endpoint);
    return now < holding.lease_until && holding.lapses == found->lapses;
  }

  void Release(SlotTicket ticket) {
    if (!ticket.is_valid()) {
      return;
    }
    Shard& shard = m_shards[TicketTable::LaneOf(ticket)];
    std::lock_guard lock(shard.mutex);
    const Ticket* found = shard.tickets.Find(ticket);
    if (found == nullptr) {
      return;
    }
    Holding& holding = shard.holdings.at(found->endpoint);
    holding.in_use--;
    holding.in_use_lapsed -= found->lapses == holding.lapses ? 0 : 1;
    shard.tickets.Remove(ticket);
  }

  std::vector<SlotDemand> Report(
      const std::map<std::string, int>& queued) const {
    std::map<std::string, SlotDemand> demands;
    for (const auto& [endpoint, count] : queued) {
      demands[endpoint].wanted = count;
    }
    for (const Shard& shard : m_shards) {
      std::lock_guard lock(shard.mutex);
      for (const auto& [endpoint, holding] : shard.holdings) {
        SlotDemand& demand = demands[endpoint];
        holding.Fill(&demand);
        demand.wanted = shard.is_returning ? 0 : demand.wanted;
      }
    }
    std::vector<SlotDemand> report;
    report.reserve(demands.size());
    for (auto& [endpoint, demand] : demands) {
      demand.endpoint = endpoint;
      report.push_back(std::move(demand));
    }
    return report;
  }

  int FreeSlots(const std::string& endpoint, SteadyTime now) const {
    const Shard& shard = m_shards[ShardIndex(endpoint)];
    std::lock_guard lock(shard.mutex);
    const auto it = shard.holdings.find(endpoint);
    return it == shard.holdings.end() ? 0 : it->second.FreeSlots(now);
  }

  void ReturnAll() {
    for (Shard& shard : m_shards) {
      std::lock_guard lock(shard.mutex);
      shard.is_returning = true;
      for (auto& [endpoint, holding] : shard.holdings) {
        holding.slots = 0;
      }
    }
  }

 private:
  struct Holding {
    uint64_t grant = 0;
    int slots = 0;
    int in_use = 0;
    int in_use_lapsed = 0;  ///< Of `in_use`, those whose lease ran out.
    uint32_t lapses = 0;    ///< Times that a lease ran out unrenewed.
    SteadyTime lease_until{};
    Millis longest_run{0};      ///< When the lease was last extended.
    bool is_inherited = false;  ///< From an earlier leader, not yet sure.
    SteadyTime inherited_at{};

    int FreeSlots(SteadyTime now) const {
      return now < lease_until ? std::max(slots - in_use, 0) : 0;
    }

    void Fill(SlotDemand* demand) const {
      demand->grant = grant;
      demand->held = std::max(slots, in_use - in_use_lapsed);
      demand->in_use = in_use;
      demand->wanted += in_use;
    }
  };

  /// The mutex guards all members.
  struct Shard {
    mutable std::mutex mutex;
    std::unordered_map<std::string, Holding> holdings;
    TicketTable tickets;
    bool is_returning = false;
  };

  static size_t ShardIndex(const std::string& endpoint) {
    return std::hash<std::string>{}(endpoint) % kShardCount;
  }

  Shard& ShardOf(const std::string& endpoint) {
    return m_shards[ShardIndex(endpoint)];
  }

  static void Take(Holding& holding,
                   const SlotGrant& grant,
                   SteadyTime asked_at) {
    if (grant.grant < holding.grant) {
      return;
    }
    const bool has_lapsed = asked_at > holding.lease_until;
    if (grant.grant > holding.grant) {
      Replace(holding, grant, asked_at, has_lapsed);
    } else if (asked_at > holding.inherited_at) {
      ConfirmInherited(holding, has_lapsed);
    }
    if (has_lapsed) {
      holding.lapses++;
      holding.in_use_lapsed = holding.in_use;
    }
    holding.lease_until = std::max(holding.lease_until, asked_at + grant.lease);
  }

  static void Replace(Holding& holding,
                      const SlotGrant& grant,
                      SteadyTime asked_at,
                      bool has_lapsed) {
    const bool is_of_later_leader =
        (grant.grant >> kEpochShift) != (holding.grant >> kEpochShift);
    if (holding.grant != 0 && is_of_later_leader) {
      // Every leader waits for the longest run before it lends the slots of a
      // lease that ran out to others. Until then they are inherited all the
      // same, or a time without a leader would cost the slots of all.
      const bool may_be_lent =
          has_lapsed &&
          asked_at + grant.lease > holding.lease_until + holding.longest_run;
      holding.slots = may_be_lent ? 0 : std::min(grant.slots, holding.slots);
      holding.is_inherited = true;
      holding.inherited_at = asked_at;
    } else {
      holding.slots = grant.slots;
      holding.is_inherited = false;
    }
    holding.grant = grant.grant;
  }

  /// What was inherited is sure once a later renewal was asked for before the
  /// lease ran out. Else the answer came too late: the earlier leader may have
  /// lent the slots to others before the later one heard of them.
  static void ConfirmInherited(Holding& holding, bool has_lapsed) {
    if (holding.is_inherited && has_lapsed) {
      holding.slots = 0;
    }
    holding.is_inherited &= has_lapsed;
  }

  static void Forget(Shard& shard, SteadyTime asked_at) {
    for (auto it = shard.holdings.begin(); it != shard.holdings.end();) {
      Holding& holding = it->second;
      if (shard.is_returning) {
        holding.slots = 0;
      }
      const bool is_over =
          holding.in_use == 0 && asked_at > holding.lease_until + kForgetAfter;
      it = is_over ? shard.holdings.erase(it) : std::next(it);
    }
  }

  std::array<Shard, kShardCount> m_shards;
};

GrantHolder::GrantHolder() : m_impl(std::make_unique<Impl>()) {}
GrantHolder::~GrantHolder() = default;

void GrantHolder::Update(const std::vector<SlotGrant>& grants,
                         SteadyTime asked_at,
                         const std::map<std::string, Millis>& longest_runs) {
  m_impl->Update(grants, asked_at, longest_runs);
}

std::optional<SlotTicket> GrantHolder::TryAcquire(const std::string& endpoint,
                                                  SteadyTime now) {
  return m_impl->TryAcquire(endpoint, now);
}

bool GrantHolder::IsValid(SlotTicket ticket, SteadyTime now) const {
  return m_impl->IsValid(ticket, now);
}

void GrantHolder::Release(SlotTicket ticket) {
  m_impl->Release(ticket);
}

std::vector<SlotDemand> GrantHolder::Report(
    const std::map<std::string, int>& queued) const {
  return m_impl->Report(queued);
}

int GrantHolder::FreeSlots(const std::string& endpoint, SteadyTime now) const {
  return m_impl->FreeSlots(endpoint, now);
}

void GrantHolder::ReturnAll() {
  m_impl->ReturnAll();
}

}  // namespace laurelhall::routing
