#include "laurelhall/budget/budget.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

namespace laurelhall::budget {
namespace {

using model::HostState;

struct BudgetFixture {
  void AddPool(const std::string& pool, int hosts, int per_rack) {
    m_fleet.pools[pool].name = pool;
    for (int i = 0; i < hosts; ++i) {
      model::Host host;
      host.id = pool + "-" + std::to_string(i);
      host.pool = pool;
      host.rack = pool + "-rack-" + std::to_string(i / per_rack);
      host.availability_zone = "az" + std::to_string(i / per_rack % 3);
      host.state = HostState::kInPool;
      m_fleet.hosts[host.id] = host;
    }
  }

  model::Service& AddService(const std::string& name,
                             std::vector<std::string> pools,
                             int min_available,
                             double share) {
    model::Service& service = m_fleet.services[name];
    service.name = name;
    service.pools = std::move(pools);
    service.min_available = min_available;
    service.max_away_share = share;
    return service;
  }

  Budget Evaluate(const BudgetPolicy& policy = {}) const {
    return Budget::Evaluate(m_fleet, m_burn, policy);
  }

  model::Fleet m_fleet;
  BurnByService m_burn;
};

TEST_CASE_FIXTURE(BudgetFixture,
                  "Budget, two pools of one service, refuses over both") {
  AddPool("a", 6, 1);
  AddPool("b", 6, 1);
  AddService("claims", {"a", "b"}, 9, 0.5);
  AddService("only-a", {"a"}, 3, 0.5);
  AddService("only-b", {"b"}, 3, 0.5);
  const BudgetPolicy plain{.rack_must_hold = false};
  Budget budget = Evaluate(plain);
  CHECK(budget.MayTakeAwayAll({"a-0", "a-1", "b-0"}).is_allowed());
  const Verdict verdict = budget.MayTakeAwayAll({"a-0", "a-1", "b-0", "b-1"});
  CHECK(verdict.refusal == Refusal::kMinAvailable);
  CHECK(verdict.service == "claims");
  CHECK(budget.Take("a-0").is_allowed());
  CHECK(budget.Take("a-0").is_allowed());  // Away already: takes nothing.
  CHECK(budget.Find("claims")->away() == 1);
  budget.GiveBack("a-0");
  CHECK(budget.Find("claims")->away() == 0);
}

TEST_CASE_FIXTURE(BudgetFixture, "Budget, each state but in pool, is away") {
  AddPool("a", 10, 1);
  AddService("claims", {"a"}, 5, 0.5);
  m_fleet.hosts["a-0"].state = HostState::kFailed;
  m_fleet.hosts["a-1"].state = HostState::kDraining;
  m_fleet.hosts["a-2"].state = HostState::kDrained;
  m_fleet.hosts["a-3"].state = HostState::kInMaintenance;
  m_fleet.hosts["a-4"].state = HostState::kReturning;
  m_fleet.hosts["a-5"].state = HostState::kAnnounced;
  m_fleet.hosts["a-6"].state = HostState::kRetired;
  const Budget budget = Evaluate();
  const ServiceBudget& claims = *budget.Find("claims");
  CHECK(claims.hosts == 8);
  CHECK(claims.away() == 5);
  CHECK(claims.failed == 1);
  CHECK(claims.planned_away == 4);
  CHECK_FALSE(claims.is_whole());
  CHECK_FALSE(budget.MayTakeAway("a-7").is_allowed());
}

TEST_CASE_FIXTURE(BudgetFixture,
                  "Budget, rack loss would break it, refuses other racks") {
  AddPool("a", 12, 3);  // Four racks of three.
  AddService("claims", {"a"}, 8, 0.5);
  const Budget budget = Evaluate();
  CHECK(budget.Find("claims")->can_survive_rack);
  CHECK(budget.MayTakeAway("a-0").is_allowed());
  CHECK(budget.MayTakeAwayAll({"a-0", "a-1"}).refusal == Refusal::kRackLoss);
  CHECK(budget.MayTakeAwayAll({"a-0", "a-3"}).refusal == Refusal::kRackLoss);
  CHECK(Evaluate({.rack_must_hold = false})
            .MayTakeAwayAll({"a-0", "a-3"})
            .is_allowed());
  // Zones hold six, three and three; only the first may be thinned out.
  m_fleet.services["claims"].min_available = 5;
  const BudgetPolicy zones{.zone_must_hold = true};
  CHECK(Evaluate(zones).MayTakeAway("a-3").is_allowed());
  CHECK(Evaluate(zones).MayTakeAwayAll({"a-3", "a-6"}).refusal ==
        Refusal::kZoneLoss);
  CHECK(Evaluate(zones).MayTakeAwayAll({"a-0", "a-9"}).is_allowed());
  m_fleet.services["claims"].min_available = 10;  // Can't hold at all.
  CHECK_FALSE(Evaluate().Find("claims")->can_survive_rack);
  CHECK(Evaluate().MayTakeAway("a-0").is_allowed());
}

TEST_CASE_FIXTURE(BudgetFixture, "Budget, service burns, takes nothing more") {
  AddPool("a", 20, 1);
  AddService("claims", {"a"}, 5, 0.5);
  m_burn["claims"].severity = BurnSeverity::kFast;
  CHECK(Evaluate().MayTakeAway("a-0").refusal == Refusal::kBurn);
  m_burn["claims"] = Burn();
  m_burn["claims"].left = 0;
  CHECK(Evaluate().MayTakeAway("a-0").is_allowed());
  CHECK(Evaluate().MayTakeAwayAll({"a-0", "a-1"}).refusal ==
        Refusal::kBurnSpent);
}

/// Counts anew what Budget keeps by steps.
bool HoldsByCounting(const model::Fleet& fleet) {
  for (const auto& [name, service] : fleet.services) {
    std::map<std::string, int> racks;
    int hosts = 0;
    int available = 0;
    for (const auto& [id, host] : fleet.hosts) {
      if (std::count(service.pools.begin(), service.pools.end(), host.pool)) {
        ++hosts;
        const bool is_available = host.state == HostState::kInPool;
        available += is_available;
        racks[host.availability_zone + host.rack] += is_available;
      }
    }
    int largest = 0;
    for (const auto& [rack, count] : racks) {
      largest = std::max(largest, count);
    }
    if (available < service.min_available ||
        hosts - available > service.max_away_share * hosts ||
        available - largest < service.min_available) {
      return false;
    }
  }
  return true;
}

TEST_CASE_FIXTURE(BudgetFixture,
                  "Budget, random takes and returns, agrees with counting") {
  for (int seed = 0; seed < 50; ++seed) {
    std::mt19937_64 random(static_cast<uint64_t>(seed));
    m_fleet = {};
    AddPool("a", 9, 2);
    AddPool("b", 10, 3);
    AddService("s1", {"a", "b"}, 12, 0.3);
    AddService("s2", {"b"}, 5, 0.35);
    Budget budget = Evaluate();
    REQUIRE(budget.Find("s1")->can_survive_rack);
    REQUIRE(budget.Find("s2")->can_survive_rack);
    for (int step = 0; step < 60; ++step) {
      auto at = m_fleet.hosts.begin();
      std::advance(at, random() % m_fleet.hosts.size());
      model::Host& host = at->second;
      if (host.state != HostState::kInPool) {
        host.state = HostState::kInPool;
        budget.GiveBack(host.id);
        continue;
      }
      host.state = HostState::kDraining;
      const bool holds = HoldsByCounting(m_fleet);
      CAPTURE(seed);
      CAPTURE(step);
      REQUIRE(budget.Take(host.id).is_allowed() == holds);
      host.state = holds ? HostState::kDraining : HostState::kInPool;
    }
  }
}

TEST_CASE_FIXTURE(BudgetFixture,
                  "ComputeBurn, outage of ten minutes, fast then no more") {
  const model::Service& service = AddService("claims", {}, 0, 0);
  std::vector<model::BurnSample> samples;
  const WallTime start{std::chrono::hours(1000)};
  for (int minute = 0; minute < 600; ++minute) {
    const bool is_outage = minute >= 300 && minute < 310;
    model::BurnSample& sample = samples.emplace_back();
    sample.service = "claims";
    sample.at = start + std::chrono::minutes(minute);
    sample.good = is_outage ? 80 : 100;
    sample.bad_failure = is_outage ? 20 : 0;
  }
  const auto severity = [&](int minute) {
    return ComputeBurn(service, samples, start + std::chrono::minutes(minute));
  };
  CHECK(severity(299).severity == BurnSeverity::kNone);
  CHECK(severity(309).severity == BurnSeverity::kFast);
  CHECK(severity(309).left < 0);
  CHECK(severity(330).severity < BurnSeverity::kFast);
  CHECK(severity(309).rate(BurnWindow::kFiveMinutes) == doctest::Approx(200.0));
}

}  // namespace
}  // namespace laurelhall::budget
