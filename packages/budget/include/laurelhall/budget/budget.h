#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "laurelhall/budget/burn.h"
#include "laurelhall/budget/domain_counts.h"
#include "laurelhall/model/fleet.h"

// Availability budgets: how many hosts of a service may be away at once. A
// budget is a service's, over all of its pools; a host that several services
// share counts against each of them.
namespace laurelhall::budget {

/// Hashes names without making a string of each that is looked up.
struct NameHash {
  using is_transparent = void;
  size_t operator()(std::string_view name) const {
    return std::hash<std::string_view>()(name);
  }
};
template <typename Value>
using NameMap =
    std::unordered_map<std::string, Value, NameHash, std::equal_to<>>;

/// Why a host may not be taken away.
enum class Refusal {
  kNone,
  kUnknownHost,
  kMinAvailable,  ///< Too few hosts would be available.
  kMaxAwayShare,  ///< Too large a share would be away.
  kBurn,          ///< The service burns; nothing more is taken from it.
  kBurnSpent,     ///< Its errors are used up: one planned host at a time.
  kRackLoss,      ///< Losing the largest rack then would break min_available.
  kZoneLoss,      ///< The same for an availability zone.
  kCount,
};
BOOST_DESCRIBE_ENUM(Refusal,
                    kNone,
                    kUnknownHost,
                    kMinAvailable,
                    kMaxAwayShare,
                    kBurn,
                    kBurnSpent,
                    kRackLoss,
                    kZoneLoss)

/// What an act is checked against besides the budget itself.
///
/// A guarantee that a service couldn't keep with one host in maintenance and
/// all others available isn't enforced, since it would forbid maintenance for
/// ever; it is reported (ServiceBudget::can_survive_rack).
struct BudgetPolicy {
  bool rack_must_hold = true;
  bool zone_must_hold = false;  ///< Otherwise only reported.
  BurnSeverity stop_at = BurnSeverity::kMedium;
};

/// Whether a burning service refuses; an act that mends the burn (such as
/// rolling back) is let through, within the rest of the budget.
enum class BurnGate { kApply, kIgnore };

/// The state of one service's budget. A pool that no service claims has one
/// of its own, named "pool NAME", so that its hosts don't go all at once.
struct ServiceBudget {
  std::string service;
  int hosts = 0;         ///< All that count: neither announced nor retired.
  int available = 0;     ///< In the pool and not leaving.
  int planned_away = 0;  ///< Draining, drained, in maintenance or returning.
  int failed = 0;
  int min_available = 0;
  int allowed_away = 0;  ///< By min_available and max_away_share together.
  int largest_rack = 0;  ///< Available hosts lost with the largest rack.
  int largest_zone = 0;
  bool can_survive_rack = false;  ///< With only one host in maintenance.
  bool can_survive_zone = false;
  int concurrency = 0;  ///< Planned hosts away at once when none has failed.
  Burn burn;

  int away() const { return hosts - available; }
  /// Hosts that may still go; negative when the budget is broken.
  int left() const { return allowed_away - away(); }
  bool survives_rack() const {
    return available - largest_rack >= min_available;
  }
  bool survives_zone() const {
    return available - largest_zone >= min_available;
  }
  /// Within budget, and a rack may still go if it ever might.
  bool is_whole() const {
    return left() >= 0 && (survives_rack() || !can_survive_rack);
  }
};

struct Verdict {
  Refusal refusal = Refusal::kNone;
  std::string service;  ///< Whose budget refuses.

  bool is_allowed() const { return refusal == Refusal::kNone; }
  /// One line for operators, such as "claims: kRackLoss".
  std::string Text() const;
};

/// The budgets of all services as of one committed fleet, with what has been
/// taken from them since.
///
/// @remarks Not thread-safe; each planner makes its own. Copies are
///   independent.
class Budget {
 public:
  /// Counts the hosts of each service; O(hosts × services of its pool).
  ///
  /// @param fleet A committed state; read only during the call.
  /// @param burn Services that aren't in it burn nothing.
  static Budget Evaluate(const model::Fleet& fleet,
                         const BurnByService& burn,
                         const BudgetPolicy& policy = {});

  /// Whether one more available host may go. O(services of its pool).
  ///
  /// @remarks A host that is away already may go again: it takes nothing.
  Verdict MayTakeAway(std::string_view host,
                      BurnGate gate = BurnGate::kApply) const;

  /// Whether all of the hosts may go together.
  Verdict MayTakeAwayAll(const std::vector<std::string>& hosts) const;

  /// Takes a host from the budgets before the act on it is done. Returns
  /// without effect if it may not go or is away already.
  Verdict Take(std::string_view host, BurnGate gate = BurnGate::kApply);

  /// Gives back a host that Take() took or that was away when counted.
  void GiveBack(std::string_view host);

  /// Whether each budget that the host counts against is whole.
  bool IsHostWhole(std::string_view host) const;

  /// Whether each budget that the pool's hosts count against is whole.
  bool IsPoolWhole(std::string_view pool) const;

  /// The worst burn of the services that the pool's hosts run.
  BurnSeverity PoolBurn(std::string_view pool) const;

  /// Most hosts of the pool away at once when all else is available.
  int PoolConcurrency(std::string_view pool) const;

  /// Services that a pool's hosts count against, as indices of services().
  const std::vector<int>& PoolServices(std::string_view pool) const;

  const std::vector<ServiceBudget>& services() const { return m_services; }

  /// The named service's budget, or null.
  const ServiceBudget* Find(std::string_view service) const;

 private:
  struct HostPlace {
    int pool = -1;
    int rack = -1;
    int zone = -1;
    bool is_available = false;
  };

  struct Membership;

  void AddServices(const model::Fleet& fleet, const BurnByService& burn);
  void AddHosts(const model::Fleet& fleet, Membership& members);
  void AddHost(const model::Host& host, Membership& members);
  void AddUnclaimedPools(const model::Fleet& fleet);
  void SetLimits(const model::Fleet& fleet, const Membership& members);
  int AllowedAway(const model::Fleet& fleet, size_t at) const;
  const HostPlace* FindHost(std::string_view host) const;
  HostPlace* FindHost(std::string_view host);
  Refusal Check(int service, const HostPlace& place, BurnGate gate) const;
  void Shift(HostPlace& place, bool becomes_available);

  BudgetPolicy m_policy;
  std::vector<ServiceBudget> m_services;
  size_t m_named_services = 0;        // The rest are pools without a service.
  std::vector<DomainCounts> m_racks;  // By service.
  std::vector<DomainCounts> m_zones;  // By service.
  std::vector<std::vector<int>> m_pool_services;
  NameMap<int> m_pool_index;
  NameMap<HostPlace> m_hosts;
};

/// Whether a drain may be committed on this fleet; the check for whoever
/// applies one, so that two planners on two views can't break a budget
/// together.
///
/// @param fleet The state that the drain is applied to.
/// @param host The host to drain.
/// @remarks Thread-safe. Burn isn't looked at: it is no part of the state.
Verdict MayDrain(const model::Fleet& fleet,
                 std::string_view host,
                 const BudgetPolicy& policy = {});

}  // namespace laurelhall::budget
