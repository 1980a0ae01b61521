#include "laurelhall/scheduling/admission.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace laurelhall::scheduling {

namespace {

// Assumed until work has waited in a pool.
constexpr double kInitialEfficiency = 0.85;
constexpr double kMinEfficiency = 0.3;
// Per update, of which there are some a second.
constexpr double kEfficiencyLearningRate = 0.08;
// Work waits if it would keep all cores of the pool busy for this time. Below,
// cores are idle because there is too little work for them.
constexpr Millis kMinWaitingTime{100};
// Of a job's time, what commits, orders and reports of ends take.
constexpr Millis kDispatchTime{150};
// A job that can't be done in time by an empty pool has this slack, so that a
// pool which could take it does not refuse it.
constexpr Millis kMinSlack{200};
// Over which the rate of an organisation's admitted work is measured.
constexpr Millis kRatePeriod{2'000};
// No longer than callers are likely to wait, and than a forecast is good for.
constexpr Millis kMaxRetryAfter{5'000};
// A refused job goes before new ones for this time: retry-after times are in
// whole seconds.
constexpr Millis kReturnPeriod{1'200};
constexpr double kReturnLearningRate = 0.05;

constexpr std::array<const char*, static_cast<size_t>(Verdict::kCount)> kNames{
    "admitted", "beyond-share", "excess", "too-early"};

double Milliseconds(SteadyTime::duration time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

double Decay(SteadyTime::duration elapsed) {
  return std::exp(-Milliseconds(elapsed) / Milliseconds(kRatePeriod));
}

Millis InMillis(double milliseconds) {
  return Millis(static_cast<int64_t>(
      std::min(milliseconds, Milliseconds(kMaxRetryAfter))));
}

}  // namespace

const char* VerdictName(Verdict verdict) {
  return kNames.at(static_cast<size_t>(verdict));
}

void Admission::Update(const std::string& name, PoolLoad load, SteadyTime now) {
  Pool& pool = m_pools[name];
  if (pool.efficiency == 0) {
    pool.efficiency = kInitialEfficiency;
  }
  const bool is_work_waiting =
      load.usable_cores > 0 &&
      load.ready_work >= load.usable_cores * Milliseconds(kMinWaitingTime);
  if (load.is_known && is_work_waiting) {
    const double seen =
        std::clamp(load.busy_cores / load.usable_cores, kMinEfficiency, 1.0);
    pool.efficiency += kEfficiencyLearningRate * (seen - pool.efficiency);
  }
  // Workers that come later are reached one by one.
  load.is_known = load.is_known || pool.load.is_known;
  pool.load = std::move(load);
  for (const auto& [organisation, open] : pool.load.open) {
    if (!organisation.empty()) {
      pool.claimants[organisation].weight = open.weight;
    }
  }
  for (auto& [organisation, claimant] : pool.claimants) {
    AdvanceReturns(claimant, now);
  }
}

double Admission::EfficiencyOf(const std::string& pool) const {
  const auto found = m_pools.find(pool);
  return found == m_pools.end() ? kInitialEfficiency : found->second.efficiency;
}

Decision Admission::Decide(const AdmissionRequest& request, SteadyTime now) {
  Decision decision;
  if (request.organisation.empty() || !request.is_short) {
    return decision;
  }
  Pool& pool = m_pools[request.pool];
  Claimant& claimant = pool.claimants[request.organisation];
  claimant.weight = request.weight;
  AdvanceReturns(claimant, now);
  const OpenWork open = OpenOf(pool, request.organisation, claimant);
  decision.slack = std::max(
      kMinSlack, request.objective - request.critical_path - kDispatchTime);
  const auto refused = claimant.refused.find(request.job);
  const bool is_back = refused != claimant.refused.end();
  decision.is_repeat = is_back;
  if (!pool.load.is_known || open.total() <= 0) {
    Admit(claimant, request, now);
    return decision;
  }
  if (is_back && !refused->second.is_due) {
    decision.verdict = Verdict::kTooEarly;
    decision.retry_after =
        std::chrono::ceil<Millis>(refused->second.back_at - now);
    return decision;
  }
  decision.ahead = request.is_excess ? open.excess : open.promised;
  if (!is_back) {
    decision.ahead += claimant.due_work * claimant.return_share;
  }
  decision.part = PartOf(pool, request, decision, now);
  if (decision.part > 0 && decision.ahead <= decision.part) {
    Admit(claimant, request, now);
    return decision;
  }
  decision.verdict =
      request.is_excess ? Verdict::kExcess : Verdict::kBeyondShare;
  decision.retry_after = Postpone(claimant, request, decision, now);
  return decision;
}

void Admission::Settle(const AdmissionRequest& request, bool is_committed) {
  if (request.organisation.empty() || !request.is_short) {
    return;
  }
  Pool& pool = m_pools[request.pool];
  Claimant& claimant = pool.claimants[request.organisation];
  const auto work = request.is_excess ? &OpenWork::excess : &OpenWork::promised;
  claimant.uncommitted.*work =
      std::max(0.0, claimant.uncommitted.*work - request.work);
  if (is_committed) {
    pool.load.open[request.organisation].*work += request.work;
  }
}

OpenWork Admission::OpenOf(const Pool& pool,
                           const std::string& organisation,
                           const Claimant& claimant) {
  OpenWork open = claimant.uncommitted;
  const auto measured = pool.load.open.find(organisation);
  if (measured != pool.load.open.end()) {
    open.promised += measured->second.promised;
    open.excess += measured->second.excess;
  }
  return open;
}

double Admission::CapacityWithin(const Pool& pool, Millis slack) {
  double work = pool.load.usable_cores * Milliseconds(slack);
  for (const ArrivingCores& each : pool.load.arriving) {
    work += each.cores * Milliseconds(std::max(Millis(0), slack - each.in));
  }
  return work * pool.efficiency;
}

// Promised work that an organisation is expected to submit within the slack.
// It goes before the job where its organisation has not had its share.
double Admission::ArrivingWithin(const Claimant& claimant,
                                 Millis slack,
                                 SteadyTime now) {
  return claimant.recent_work * Decay(now - claimant.recent_at) /
         Milliseconds(kRatePeriod) * Milliseconds(slack);
}

// The part of the pool's capacity that the job's organisation gets for its
// promised work or, if the job is excess, for its excess work.
double Admission::PartOf(const Pool& pool,
                         const AdmissionRequest& request,
                         const Decision& decision,
                         SteadyTime now) {
  double capacity = CapacityWithin(pool, decision.slack);
  const auto of_none = pool.load.open.find("");
  if (of_none != pool.load.open.end()) {
    capacity -= of_none->second.total();
  }
  std::vector<ShareClaim> claims;
  size_t own = 0;
  for (const auto& [organisation, claimant] : pool.claimants) {
    const OpenWork open = OpenOf(pool, organisation, claimant);
    const double arriving = ArrivingWithin(claimant, decision.slack, now);
    if (request.is_excess) {
      capacity -= open.promised + arriving;
    }
    const bool is_own = organisation == request.organisation;
    const double others =
        request.is_excess ? open.excess : open.promised + arriving;
    const double demand = is_own ? decision.ahead + request.work : others;
    own = is_own ? claims.size() : own;
    claims.push_back({claimant.weight, demand});
  }
  return DivideByWeight(capacity, claims).at(own);
}

void Admission::AdvanceReturns(Claimant& claimant, SteadyTime now) {
  const auto find =
      [&claimant](const std::pair<SteadyTime, std::string>& entry) {
        const auto refused = claimant.refused.find(entry.second);
        // It may have come back, and been refused again, since.
        return refused != claimant.refused.end() &&
                       refused->second.back_at == entry.first
                   ? refused
                   : claimant.refused.end();
      };
  while (!claimant.upcoming.empty() && claimant.upcoming.front().first <= now) {
    const auto refused = find(claimant.upcoming.front());
    if (refused != claimant.refused.end()) {
      refused->second.is_due = true;
      claimant.due_work += refused->second.work;
      claimant.due.push_back(std::move(claimant.upcoming.front()));
    }
    claimant.upcoming.pop_front();
  }
  while (!claimant.due.empty() &&
         claimant.due.front().first + kReturnPeriod < now) {
    if (find(claimant.due.front()) != claimant.refused.end()) {
      ForgetRefusal(claimant, claimant.due.front().second);
      claimant.return_share -= kReturnLearningRate * claimant.return_share;
    }
    claimant.due.pop_front();
  }
}

void Admission::ForgetRefusal(Claimant& claimant, const std::string& job) {
  const auto refused = claimant.refused.find(job);
  if (refused == claimant.refused.end()) {
    return;
  }
  if (refused->second.is_due) {
    claimant.due_work = std::max(0.0, claimant.due_work - refused->second.work);
  }
  claimant.refused.erase(refused);
}

// Counts a job that comes back after a refusal.
void Admission::RecordReturn(Claimant& claimant, const std::string& job) {
  if (claimant.refused.contains(job)) {
    claimant.return_share += kReturnLearningRate * (1 - claimant.return_share);
    ForgetRefusal(claimant, job);
  }
}

// Gives a refused job the next time to come back.
Millis Admission::Postpone(Claimant& claimant,
                           const AdmissionRequest& request,
                           const Decision& decision,
                           SteadyTime now) {
  RecordReturn(claimant, request.job);
  // Of the organisation's work, in core-milliseconds a millisecond.
  const double rate =
      std::max(decision.part, 1.0) / Milliseconds(decision.slack);
  const SteadyTime room_at =
      now + InMillis((decision.ahead - decision.part) / rate);
  const SteadyTime back_at =
      std::min(std::max(claimant.next_return, room_at), now + kMaxRetryAfter);
  claimant.next_return = back_at + InMillis(request.work / rate);
  claimant.refused[request.job] = {back_at, request.work, false};
  claimant.upcoming.emplace_back(back_at, request.job);
  return std::chrono::ceil<Millis>(back_at - now);
}

void Admission::Admit(Claimant& claimant,
                      const AdmissionRequest& request,
                      SteadyTime now) {
  RecordReturn(claimant, request.job);
  if (request.is_excess) {
    claimant.uncommitted.excess += request.work;
    return;
  }
  claimant.uncommitted.promised += request.work;
  claimant.recent_work =
      claimant.recent_work * Decay(now - claimant.recent_at) + request.work;
  claimant.recent_at = now;
}

}  // namespace laurelhall::scheduling
