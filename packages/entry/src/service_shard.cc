#include "service_shard_p.h"

#include <algorithm>
#include <utility>

namespace laurelhall::entry {
namespace {

constexpr Millis kNoEndpointRetry{1'000};

// Where each kind is counted, in a sample.
constexpr std::array<int64_t state::BurnSample::*,
                     static_cast<size_t>(BurnKind::kCount)>
    kBurnFields{&state::BurnSample::good, &state::BurnSample::bad_failure,
                &state::BurnSample::bad_overload, &state::BurnSample::bad_wave};

template <typename Duration>
Millis ToMillis(Duration duration) {
  return std::chrono::duration_cast<Millis>(duration);
}

bool IsSamePolicy(const model::RequestPolicy& a,
                  const model::RequestPolicy& b) {
  return a.queue_max_requests == b.queue_max_requests &&
         a.queue_max_bytes == b.queue_max_bytes &&
         a.retry_ratio == b.retry_ratio &&
         a.max_ejected_share == b.max_ejected_share;
}

}  // namespace

// Calls to members, gathered under the lock and made after it.
struct ServiceShard::Calls {
  std::vector<std::pair<std::shared_ptr<QueueMember>, Turn>> turns;
  std::vector<std::pair<std::shared_ptr<QueueMember>, routing::Refusal>>
      given_up;
  std::vector<std::shared_ptr<QueueMember>> late;

  void Make() const {
    for (const auto& [member, turn] : turns) {
      member->OnTurn(turn);
    }
    for (const auto& [member, refusal] : given_up) {
      member->OnGivenUp(refusal);
    }
    for (const auto& member : late) {
      member->OnDeadline();
    }
  }
};

ServiceShard::ServiceShard(std::string service,
                           const EntryInit& init,
                           routing::GrantHolder& grants)
    : m_service(std::move(service)),
      m_init(init),
      m_grants(grants),
      m_selector(MakeSelector()),
      m_retries(model::RequestPolicy().retry_ratio) {
  RenewQueue();
}

routing::Selector ServiceShard::MakeSelector() const {
  routing::SelectorInit init;
  init.own_zone = m_init.availability_zone;
  init.view_bound = m_init.view_bound;
  init.max_ejected_share = m_policy.max_ejected_share;
  init.seed = m_init.seed + std::hash<std::string>{}(m_service);
  return routing::Selector(init);
}

void ServiceShard::RenewQueue() {
  routing::AdmissionInit init;
  init.max_requests = m_policy.queue_max_requests;
  init.max_bytes = m_policy.queue_max_bytes;
  init.seed = m_init.seed + std::hash<std::string>{}(m_service) + 1;
  m_queue = std::make_unique<routing::AdmissionQueue>(init);
  m_queue->SetCapacity(m_capacity);
  m_retries = routing::RetryBudget(m_policy.retry_ratio);
  m_is_policy_new = false;
  if (m_config != nullptr) {
    for (const auto& [name, organisation] : m_config->organisations) {
      m_queue->SetWeight(name, organisation.weight);
    }
  }
}

void ServiceShard::SetConfig(
    const std::shared_ptr<const model::Config>& config) {
  const std::lock_guard lock(m_mutex);
  m_config = config;
  const auto found = config->services.find(m_service);
  if (found != config->services.end()) {
    m_is_policy_new =
        m_is_policy_new || !IsSamePolicy(m_policy, found->second.requests);
    m_policy = found->second.requests;
  }
  for (const auto& [name, organisation] : config->organisations) {
    m_queue->SetWeight(name, organisation.weight);
  }
  // A queue's bounds are fixed: a new one takes over once this one is empty.
  if (m_is_policy_new && m_entrants.empty()) {
    RenewQueue();
  }
}

model::RequestPolicy ServiceShard::policy() const {
  const std::lock_guard lock(m_mutex);
  return m_policy;
}

void ServiceShard::Update(const model::Endpoint& endpoint,
                          SteadyTime confirmed_at) {
  std::vector<routing::SlotTicket> ended;
  {
    const std::lock_guard lock(m_mutex);
    m_selector.Update(endpoint, confirmed_at);
    const auto known = m_selector.Find(endpoint.id);
    const uint64_t incarnation = known ? known->incarnation : 0;
    const auto left = m_left.find(endpoint.id);
    if (left != m_left.end() && left->second < incarnation) {
      m_left.erase(left);
    }
    // The runs of an endpoint's earlier process have ended with it.
    std::erase_if(m_held, [&](const HeldSlot& held) {
      const bool is_over = held.turn.endpoint == endpoint.id &&
                           held.turn.incarnation < incarnation;
      if (is_over) {
        ended.push_back(held.turn.ticket);
      }
      return is_over;
    });
  }
  for (const routing::SlotTicket ticket : ended) {
    m_grants.Release(ticket);
  }
}

void ServiceShard::ConfirmAll(SteadyTime confirmed_at) {
  const std::lock_guard lock(m_mutex);
  m_selector.ConfirmAll(confirmed_at);
}

void ServiceShard::ConfirmOne(const model::Endpoint& endpoint, SteadyTime at) {
  const std::lock_guard lock(m_mutex);
  m_selector.ConfirmOne(endpoint.id, endpoint.incarnation, at);
}

void ServiceShard::SetLeft(const std::string& endpoint, uint64_t incarnation) {
  const std::lock_guard lock(m_mutex);
  uint64_t& left = m_left[endpoint];
  left = std::max(left, incarnation);
}

bool ServiceShard::HasLeft(const std::string& endpoint,
                           uint64_t incarnation) const {
  const auto found = m_left.find(endpoint);
  return found != m_left.end() && found->second >= incarnation;
}

std::optional<model::Endpoint> ServiceShard::Find(
    const std::string& endpoint) const {
  const std::lock_guard lock(m_mutex);
  return m_selector.Find(endpoint);
}

bool ServiceShard::MaySend(const Turn& turn, SteadyTime now) const {
  const std::lock_guard lock(m_mutex);
  const auto known = m_selector.Find(turn.endpoint);
  return known && known->incarnation == turn.incarnation &&
         known->address == turn.address &&
         !HasLeft(turn.endpoint, turn.incarnation) &&
         m_selector.MaySend(turn.endpoint, now);
}

bool ServiceShard::IsAway(const Turn& turn) const {
  const std::lock_guard lock(m_mutex);
  const auto known = m_selector.Find(turn.endpoint);
  return !known || !known->is_open() ||
         HasLeft(turn.endpoint, turn.incarnation);
}

std::optional<routing::Refusal> ServiceShard::Offer(
    Entrant entrant,
    SteadyTime now,
    routing::RequestHandle* handle) {
  const std::lock_guard lock(m_mutex);
  if (m_is_policy_new && m_entrants.empty()) {
    RenewQueue();
  }
  if (m_selector.Usable(now).empty()) {
    return routing::Refusal{routing::RefusalReason::kNoEndpoint,
                            kNoEndpointRetry};
  }
  auto refusal = m_queue->Offer(entrant.request, now, handle);
  if (!refusal) {
    m_entrants.insert_or_assign(handle->index, std::move(entrant));
  }
  return refusal;
}

bool ServiceShard::SetReady(routing::RequestHandle handle) {
  const std::lock_guard lock(m_mutex);
  const auto found = m_entrants.find(handle.index);
  if (found == m_entrants.end()) {
    return false;
  }
  found->second.is_ready = true;
  return true;
}

void ServiceShard::Leave(routing::RequestHandle handle) {
  const std::lock_guard lock(m_mutex);
  if (m_entrants.erase(handle.index) > 0) {
    m_queue->Cancel(handle);
  }
}

void ServiceShard::WatchDeadline(SteadyTime deadline,
                                 std::weak_ptr<QueueMember> member) {
  const std::lock_guard lock(m_mutex);
  m_deadlines.emplace(deadline, std::move(member));
}

void ServiceShard::EndAttempt(const Turn& turn,
                              const AttemptEnd& end,
                              const routing::AdmissionRequest& request,
                              SteadyTime now) {
  const Millis run_time = ToMillis(now - turn.started_at);
  {
    const std::lock_guard lock(m_mutex);
    m_selector.Finished(turn.endpoint, turn.incarnation, end.outcome, run_time,
                        now);
    if (end.has_run) {
      m_queue->Finished(request.organisation, request.priority, run_time, now);
    } else {
      // Takes back what its turn counted for the organisation.
      m_queue->PutBack(turn.handle);
      m_queue->Cancel(turn.handle);
    }
    if (end.may_still_run) {
      m_held.push_back({turn, end.run_until});
    }
  }
  if (!end.may_still_run) {
    m_grants.Release(turn.ticket);
  }
  Pump(now);
}

void ServiceShard::FirstAttempt() {
  const std::lock_guard lock(m_mutex);
  m_retries.FirstAttempt();
}

bool ServiceShard::TryRetry() {
  const std::lock_guard lock(m_mutex);
  return m_retries.TryRetry();
}

std::vector<routing::Selector::Candidate> ServiceShard::Candidates(
    SteadyTime now) const {
  std::vector<routing::Selector::Candidate> candidates;
  for (const model::Endpoint& endpoint : m_selector.Usable(now)) {
    const int free = m_grants.FreeSlots(endpoint.id, now);
    if (free > 0 && !HasLeft(endpoint.id, endpoint.incarnation)) {
      candidates.push_back({endpoint.id, free});
    }
  }
  return candidates;
}

std::optional<std::string> ServiceShard::PickFor(
    const Entrant& entrant,
    const std::vector<routing::Selector::Candidate>& candidates,
    SteadyTime now) {
  auto picked =
      m_selector.Pick(candidates, entrant.avoid, now, entrant.may_probe);
  if (!picked && !entrant.avoid.empty()) {
    // The one it avoids is the only one left: better than to block the queue.
    picked = m_selector.Pick(candidates, {}, now, entrant.may_probe);
  }
  return picked;
}

bool ServiceShard::GiveTurn(routing::RequestHandle handle,
                            SteadyTime now,
                            Calls* calls) {
  const auto found = m_entrants.find(handle.index);
  if (found == m_entrants.end() || !found->second.is_ready) {
    // Its claim is not there yet: it is offered again when it is.
    m_queue->PutBack(handle);
    m_queue->Cancel(handle);
    m_entrants.erase(handle.index);
    return true;
  }
  const auto picked = PickFor(found->second, Candidates(now), now);
  const auto endpoint = picked ? m_selector.Find(*picked) : std::nullopt;
  const auto ticket =
      endpoint ? m_grants.TryAcquire(*picked, now) : std::nullopt;
  if (!ticket) {
    m_queue->PutBack(handle);
    return false;
  }
  m_selector.Started(*picked, now);
  calls->turns.emplace_back(std::move(found->second.member),
                            Turn{*picked, endpoint->address,
                                 endpoint->incarnation, *ticket, handle, now});
  m_entrants.erase(found);
  return true;
}

void ServiceShard::PumpLocked(SteadyTime now, Calls* calls) {
  bool may_go_on = true;
  while (may_go_on && m_queue->size() > 0 && !Candidates(now).empty()) {
    const auto handle = m_queue->Next(now);
    may_go_on = handle && GiveTurn(*handle, now, calls);
  }
  for (const auto& given_up : m_queue->TakeGivenUp(now)) {
    const auto found = m_entrants.find(given_up.handle.index);
    if (found != m_entrants.end()) {
      calls->given_up.emplace_back(std::move(found->second.member),
                                   given_up.refusal);
      m_entrants.erase(found);
    }
  }
}

void ServiceShard::Pump(SteadyTime now) {
  Calls calls;
  {
    const std::lock_guard lock(m_mutex);
    PumpLocked(now, &calls);
  }
  calls.Make();
}

void ServiceShard::ReleaseEnded(SteadyTime now) {
  std::erase_if(m_held, [&](const HeldSlot& held) {
    if (held.until <= now) {
      m_grants.Release(held.turn.ticket);
    }
    return held.until <= now;
  });
}

void ServiceShard::Tick(SteadyTime now) {
  Calls calls;
  {
    const std::lock_guard lock(m_mutex);
    ReleaseEnded(now);
    const auto end = m_deadlines.upper_bound(now);
    for (auto due = m_deadlines.begin(); due != end; ++due) {
      if (auto member = due->second.lock()) {
        calls.late.push_back(std::move(member));
      }
    }
    m_deadlines.erase(m_deadlines.begin(), end);
    PumpLocked(now, &calls);
  }
  calls.Make();
}

void ServiceShard::Count(BurnKind kind) {
  const auto index = static_cast<size_t>(kind);
  const WallTime minute = std::chrono::floor<std::chrono::minutes>(WallNow());
  const std::lock_guard lock(m_mutex);
  state::BurnSample& sample = m_burn[minute];
  sample.service = m_service;
  sample.at = minute;
  sample.*kBurnFields.at(index) += 1;
  ++m_counts.at(index);
}

std::vector<state::BurnSample> ServiceShard::TakeBurnSamples() {
  const std::lock_guard lock(m_mutex);
  std::vector<state::BurnSample> samples;
  for (auto& [minute, sample] : std::exchange(m_burn, {})) {
    samples.push_back(std::move(sample));
  }
  return samples;
}

void ServiceShard::AddDemands(std::map<std::string, int>* queued,
                              SteadyTime now) const {
  const std::lock_guard lock(m_mutex);
  const auto usable = m_selector.Usable(now);
  const int count = static_cast<int>(usable.size());
  for (const model::Endpoint& endpoint : usable) {
    (*queued)[endpoint.id] = (m_queue->size() + count - 1) / count;
  }
}

void ServiceShard::AddLongestRuns(
    std::map<std::string, Millis>* longest_runs) const {
  const std::lock_guard lock(m_mutex);
  for (const std::string& endpoint : m_selector.Ids()) {
    (*longest_runs)[endpoint] = m_policy.max_run_time;
  }
}

void ServiceShard::SetLent(const std::map<std::string, int>& slots) {
  const std::lock_guard lock(m_mutex);
  m_capacity = 0;
  for (const auto& [endpoint, count] : slots) {
    m_capacity += m_selector.Find(endpoint) ? count : 0;
  }
  m_queue->SetCapacity(m_capacity);
}

ServiceStats ServiceShard::Stats(SteadyTime now) const {
  const std::lock_guard lock(m_mutex);
  ServiceStats stats;
  stats.queued = m_queue->size();
  stats.queued_bytes = m_queue->bytes();
  stats.usable_endpoints = static_cast<int>(m_selector.Usable(now).size());
  stats.ejected_endpoints = m_selector.EjectedCount(now);
  stats.capacity = m_capacity;
  stats.held_slots = static_cast<int>(m_held.size());
  stats.good = m_counts[static_cast<size_t>(BurnKind::kGood)];
  stats.bad_failure = m_counts[static_cast<size_t>(BurnKind::kBadFailure)];
  stats.bad_overload = m_counts[static_cast<size_t>(BurnKind::kBadOverload)];
  stats.bad_wave = m_counts[static_cast<size_t>(BurnKind::kBadWave)];
  return stats;
}

}  // namespace laurelhall::entry
