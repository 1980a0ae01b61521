#include "relay_pool_p.h"

#include <algorithm>
#include <utility>

#include "laurelhall/base/decision_log.h"

namespace laurelhall::dispatch {

namespace {

// Orders made within this time are sent to a relay together: the starts of one
// plan, the hold calls of one tick.
constexpr Millis kBatchDelay{3};
// How long a relay's request is parked until there are orders.
constexpr Millis kMaxParkTime{400};
// A relay without a parked request is lost when no new one has come within this
// time of the last.
constexpr Millis kLost{1'000};
// Delay after which a host that is not needed as a relay asks again. A lost
// relay is replaced within this time.
constexpr Millis kSpareRelayRetryDelay{1'000};
// Relays find a new leader within this time, by repeating a failed request.
constexpr Millis kRelayDiscoveryTime = kRelayRetryDelay + Millis(100);
// Time for an order to reach a relay and for its result to return, including
// the time that results wait at the relay.
constexpr Millis kRelayTransitTime{300};
// A relay with more than this many times its share of workers is overloaded,
// and workers move to others.
constexpr double kMaxLoadShare = 1.25;
// Low bits of an order's number, which count within the leader's term.
constexpr int kOrderNumberBits = 32;

const WorkerAddress& WorkerOf(const RelayedOrder& relayed) {
  return std::visit(
      [](const auto& order) -> const WorkerAddress& { return order.worker; },
      relayed.order);
}

Millis TimeoutOf(const RelayedOrder& relayed) {
  return std::visit([](const auto& order) { return order.timeout; },
                    relayed.order);
}

RelayedResult FailedResult(CallOutcome outcome) {
  RelayedResult result;
  result.reply.outcome = outcome;
  return result;
}

CallReply CallReplyOf(const RelayedResult& result) {
  CallReply reply;
  reply.outcome = result.reply.outcome;
  reply.clock = result.reply.clock;
  reply.took = result.took;
  return reply;
}

Reply BatchReply(RelayedBatch batch) {
  Reply reply;
  reply.outcome = Outcome::kOk;
  reply.document = scheduling::Encode(std::move(batch));
  return reply;
}

}  // namespace

// --- Orders -----------------------------------------------------------------

template <typename Order>
void RelayPool::Send(Order order, ResultCallback on_result) {
  WorkerRoute& route = RouteTo(order.worker);
  RelayedOrder relayed;
  relayed.order = std::move(order);
  if (MustWaitForRelay(route)) {
    Defer(std::move(relayed), std::move(on_result));
    return;
  }
  AssignRelay(route);
  if (route.relay.empty()) {
    SendDirect(std::move(relayed), std::move(on_result));
  } else {
    Enqueue(std::move(relayed), route, std::move(on_result));
  }
}

void RelayPool::Start(StartOrder order, std::function<void(CallReply)> done) {
  Send(std::move(order), [done = std::move(done)](const RelayedResult& result) {
    done(CallReplyOf(result));
  });
}

void RelayPool::Stop(StopOrder order, std::function<void(CallReply)> done) {
  Send(std::move(order), [done = std::move(done)](const RelayedResult& result) {
    done(CallReplyOf(result));
  });
}

void RelayPool::Pace(PaceOrder order, std::function<void(CallReply)> done) {
  Send(std::move(order), [done = std::move(done)](const RelayedResult& result) {
    done(CallReplyOf(result));
  });
}

void RelayPool::Hold(HoldOrder order, std::function<void(HoldReply)> done) {
  Send(std::move(order), [done = std::move(done)](RelayedResult result) {
    done(std::move(result.reply));
  });
}

void RelayPool::Forget(const WorkerAddress& worker) {
  const auto found = m_routes.find(worker.id);
  if (found == m_routes.end()) {
    return;
  }
  const WorkerRoute& route = found->second;
  if (route.has_connection) {
    --m_direct_connections;
    m_direct.Forget(worker);
  }
  const auto relay = m_relays.find(route.relay);
  if (relay != m_relays.end()) {
    --relay->second.workers;
  }
  m_routes.erase(found);
}

RelayPool::WorkerRoute& RelayPool::RouteTo(const WorkerAddress& worker) {
  const auto [route, is_new] = m_routes.try_emplace(worker.id);
  if (is_new) {
    route->second.availability_zone = worker.availability_zone;
    const bool are_relays_needed =
        m_routes.size() == m_bounds.max_direct_workers + 1 &&
        m_relays.empty() && m_timers.Now() >= m_relays_expected_until;
    if (are_relays_needed) {
      // Followers that were not needed as relays so far ask again by then.
      ExpectRelays(kSpareRelayRetryDelay + kRelayDiscoveryTime);
    }
  }
  return route->second;
}

void RelayPool::ExpectRelays(Millis within) {
  m_relays_expected_until =
      std::max(m_relays_expected_until, m_timers.Now() + within);
}

// Whether an order has to wait for a relay. Direct connections to some thousand
// workers would use up this host's descriptors, only to be closed once relays
// have come.
bool RelayPool::MustWaitForRelay(const WorkerRoute& route) const {
  return m_direct_connections >= m_bounds.max_direct_connections &&
         route.relay.empty() && !route.has_connection &&
         m_relays.size() < RelaysNeeded() &&
         m_timers.Now() < m_relays_expected_until;
}

void RelayPool::Defer(RelayedOrder relayed, ResultCallback on_result) {
  const uint64_t number =
      AddPending(std::move(relayed), "", std::move(on_result));
  // The order's timeout counts from when it can be sent.
  Pending& pending = m_pending.at(number);
  m_deadlines.erase(pending.deadline_entry);
  pending.deadline_entry = m_deadlines.emplace(
      m_relays_expected_until + pending.result_timeout, number);
  m_deferred.push_back(number);
}

void RelayPool::SendDeferred() {
  for (const uint64_t number : std::exchange(m_deferred, {})) {
    Reroute(number);
  }
}

// Sends an order that was not yet handed over to a relay.
void RelayPool::Reroute(uint64_t number) {
  const auto found = m_pending.find(number);
  if (found == m_pending.end()) {
    return;  // Given up already.
  }
  RelayedOrder order = std::move(found->second.order);
  DropOutdatedAcknowledgement(
      order,
      std::chrono::floor<Millis>(m_timers.Now() - found->second.created_at));
  const ResultCallback on_result = std::move(found->second.on_result);
  m_deadlines.erase(found->second.deadline_entry);
  m_pending.erase(found);
  std::visit([&](auto& each) { Send(std::move(each), on_result); },
             order.order);
}

uint64_t RelayPool::AddPending(RelayedOrder relayed,
                               const std::string& relay,
                               ResultCallback on_result) {
  const uint64_t number = ++m_last_number;
  relayed.number = number;
  Pending& pending = m_pending[number];
  pending.relay = relay;
  pending.created_at = m_timers.Now();
  pending.result_timeout = TimeoutOf(relayed) + kRelayTransitTime + m_own_delay;
  pending.order = std::move(relayed);
  pending.on_result = std::move(on_result);
  pending.deadline_entry =
      m_deadlines.emplace(m_timers.Now() + pending.result_timeout, number);
  return number;
}

// Counts a direct call until its result. After the leadership has ended, the
// connection is closed with the last call: a worker allows few connections.
RelayPool::ResultCallback RelayPool::TrackDirectCall(const std::string& worker,
                                                     ResultCallback on_result) {
  WorkerRoute& route = m_routes.at(worker);
  m_direct_connections += route.has_connection ? 0 : 1;
  route.has_connection = true;
  ++route.direct_calls;
  return [this, alive = std::weak_ptr(m_is_alive), worker,
          on_result = std::move(on_result)](RelayedResult result) {
    if (!alive.expired()) {
      const auto found = m_routes.find(worker);
      if (found != m_routes.end()) {
        --found->second.direct_calls;
        if (!m_is_leading) {
          CloseIfIdle(worker, found->second);
        }
      }
    }
    on_result(std::move(result));
  };
}

void RelayPool::SendDirect(RelayedOrder relayed, ResultCallback on_result) {
  auto tracked = TrackDirectCall(WorkerOf(relayed).id, std::move(on_result));
  const auto on_reply = [tracked](const CallReply& reply) {
    RelayedResult result = FailedResult(reply.outcome);
    result.reply.clock = reply.clock;
    result.took = reply.took;
    tracked(std::move(result));
  };
  if (auto* start = std::get_if<StartOrder>(&relayed.order)) {
    m_direct.Start(std::move(*start), on_reply);
  } else if (auto* stop = std::get_if<StopOrder>(&relayed.order)) {
    m_direct.Stop(std::move(*stop), on_reply);
  } else if (auto* pace = std::get_if<PaceOrder>(&relayed.order)) {
    m_direct.Pace(std::move(*pace), on_reply);
  } else if (auto* hold = std::get_if<HoldOrder>(&relayed.order)) {
    m_direct.Hold(std::move(*hold), [tracked](HoldReply reply) {
      tracked({0, std::move(reply)});
    });
  }
}

void RelayPool::Enqueue(RelayedOrder relayed,
                        WorkerRoute& route,
                        ResultCallback on_result) {
  CloseIfIdle(WorkerOf(relayed).id, route);
  const auto* hold = std::get_if<HoldOrder>(&relayed.order);
  const bool is_urgent = hold == nullptr || !hold->may_be_delayed;
  const uint64_t number =
      AddPending(std::move(relayed), route.relay, std::move(on_result));
  Relay& relay = m_relays.at(route.relay);
  if (relay.queue.empty()) {
    relay.queued_since = m_timers.Now();
  }
  relay.queue.push_back(number);
  relay.has_urgent_order = relay.has_urgent_order || is_urgent;
  if (is_urgent) {
    ScheduleFlush();
  }
}

void RelayPool::CloseIfIdle(const std::string& worker, WorkerRoute& route) {
  if (route.has_connection && route.direct_calls == 0) {
    route.has_connection = false;
    --m_direct_connections;
    m_direct.Forget({worker, "", route.availability_zone});
  }
}

// --- Relays -----------------------------------------------------------------

size_t RelayPool::RelaysNeeded() const {
  if (m_routes.size() <= m_bounds.max_direct_workers) {
    return 0;
  }
  const size_t share = m_bounds.workers_per_relay;
  return (m_routes.size() + share - 1) / share;
}

bool RelayPool::IsRelayNeeded(const RelayOrders& request) const {
  return !request.is_leaving &&
         (m_relays.contains(request.relay) || m_relays.size() < RelaysNeeded());
}

// Prefers relays in the worker's availability zone that are not overloaded, for
// less traffic between zones.
RelayPool::Relays::iterator RelayPool::LeastLoadedRelay(
    const std::string& zone) {
  const auto rank = [this, &zone](const Relay& relay) {
    const bool is_near =
        relay.availability_zone == zone && !IsOverloaded(relay);
    return std::pair(!is_near, relay.workers);
  };
  return std::min_element(m_relays.begin(), m_relays.end(),
                          [&rank](const auto& a, const auto& b) {
                            return rank(a.second) < rank(b.second);
                          });
}

bool RelayPool::IsOverloaded(const Relay& relay) const {
  const double share = static_cast<double>(m_routes.size()) /
                       static_cast<double>(m_relays.size());
  return static_cast<double>(relay.workers) > kMaxLoadShare * share + 1;
}

// Keeps a worker's current relay unless it is overloaded: another one has no
// connection to the worker yet.
void RelayPool::AssignRelay(WorkerRoute& route) {
  const auto current = m_relays.find(route.relay);
  if (current != m_relays.end() && !IsOverloaded(current->second)) {
    return;
  }
  if (m_relays.empty()) {
    route.relay.clear();
    return;
  }
  const auto next = LeastLoadedRelay(route.availability_zone);
  if (current != m_relays.end()) {
    if (IsOverloaded(next->second)) {
      return;
    }
    --current->second.workers;
  }
  ++next->second.workers;
  route.relay = next->first;
}

void RelayPool::Ask(RelayOrders request, ReplyDone done) {
  for (RelayedResult& result : request.results) {
    OnResult(std::move(result));
  }
  const auto known = m_relays.find(request.relay);
  if (!IsRelayNeeded(request)) {
    if (known != m_relays.end()) {
      RemoveRelay(known, "leaves");  // It still reports results of its orders.
    }
    RelayedBatch batch;
    batch.next_request_in = kSpareRelayRetryDelay;
    done(BatchReply(std::move(batch)));
    return;
  }
  const SteadyTime now = m_timers.Now();
  Relay& relay = m_relays[request.relay];
  if (known == m_relays.end()) {
    relay.availability_zone = request.availability_zone;
    DecisionLog::Get().Write(
        DecisionLine("relay", "chosen")
            .With("relay", request.relay)
            .With("availability_zone", request.availability_zone)
            .With("relays", static_cast<uint64_t>(m_relays.size()))
            .With("workers", static_cast<uint64_t>(m_routes.size())));
  }
  relay.last_request_at = now;
  if (m_relays.size() >= RelaysNeeded()) {
    SendDeferred();
  }
  // New orders go to the newer request: the older one may have come over a
  // connection that was lost since.
  ReleaseParked(relay);
  relay.parked = std::move(done);
  relay.parked_until = now + kMaxParkTime;
  if (relay.has_urgent_order) {
    ScheduleFlush();
  }
}

void RelayPool::ReleaseParked(Relay& relay) const {
  if (const ReplyDone parked = std::exchange(relay.parked, nullptr)) {
    RelayedBatch empty_batch;
    empty_batch.is_relay_needed = true;
    empty_batch.next_request_in = m_turn;
    parked(BatchReply(std::move(empty_batch)));
  }
}

void RelayPool::ScheduleFlush() {
  if (m_is_flush_due) {
    return;
  }
  m_is_flush_due = true;
  m_timers.SubscribeOnce(kBatchDelay,
                         [this, alive = std::weak_ptr(m_is_alive)](SteadyTime) {
                           if (!alive.expired()) {
                             m_is_flush_due = false;
                             Flush();
                           }
                         });
}

void RelayPool::Flush() {
  for (auto& [name, relay] : m_relays) {
    if (relay.parked != nullptr && IsFlushDue(relay)) {
      HandOverQueue(relay);
    }
  }
}

bool RelayPool::IsFlushDue(const Relay& relay) const {
  return relay.has_urgent_order ||
         (!relay.queue.empty() &&
          m_timers.Now() - relay.queued_since >= kMaxMessageDelay);
}

void RelayPool::HandOverQueue(Relay& relay) {
  RelayedBatch batch;
  batch.is_relay_needed = true;
  batch.next_request_in = m_turn;
  relay.has_urgent_order = false;
  const SteadyTime now = m_timers.Now();
  for (const uint64_t number : std::exchange(relay.queue, {})) {
    const auto found = m_pending.find(number);
    if (found == m_pending.end()) {
      continue;  // Given up already.
    }
    Pending& pending = found->second;
    pending.is_handed_over = true;
    m_deadlines.erase(pending.deadline_entry);
    pending.deadline_entry =
        m_deadlines.emplace(now + pending.result_timeout, number);
    RelayedOrder& order = batch.orders.emplace_back(std::move(pending.order));
    DropOutdatedAcknowledgement(
        order, std::chrono::floor<Millis>(now - pending.created_at));
    if (auto* start = std::get_if<StartOrder>(&order.order)) {
      if (batch.payloads.empty() || batch.payloads.back() != start->payload) {
        batch.payloads.push_back(start->payload);
      }
      start->payload.clear();
      order.payload = static_cast<uint32_t>(batch.payloads.size() - 1);
    }
  }
  if (!batch.orders.empty()) {
    const ReplyDone parked = std::exchange(relay.parked, nullptr);
    parked(BatchReply(std::move(batch)));
  }
}

// --- Results ----------------------------------------------------------------

void RelayPool::OnResult(RelayedResult result) {
  const uint64_t number = result.number;
  CompleteOrder(number, std::move(result));
}

void RelayPool::CompleteOrder(uint64_t number, RelayedResult result) {
  const auto found = m_pending.find(number);
  if (found == m_pending.end()) {
    return;  // Completed or given up already, or of an earlier leadership.
  }
  const ResultCallback on_result = std::move(found->second.on_result);
  m_deadlines.erase(found->second.deadline_entry);
  m_pending.erase(found);
  on_result(std::move(result));
}

// The relay's workers get another relay with their next order; queued orders
// are sent to others now.
void RelayPool::RemoveRelay(Relays::iterator lost, const char* why) {
  DecisionLog::Get().Write(
      DecisionLine("relay", "lost")
          .With("relay", lost->first)
          .With("why", why)
          .With("workers", static_cast<uint64_t>(lost->second.workers))
          .With("queued", static_cast<uint64_t>(lost->second.queue.size())));
  ReleaseParked(lost->second);
  const std::deque<uint64_t> queue = std::move(lost->second.queue);
  m_relays.erase(lost);
  for (const uint64_t number : queue) {
    Reroute(number);
  }
}

// The outcome of an order that is given up without a result.
CallOutcome RelayPool::OutcomeWithoutResult(bool is_handed_over) const {
  return is_handed_over && !m_mutations.is_relayed_order_assumed_unsent
             ? CallOutcome::kUnknown
             : CallOutcome::kNotReached;
}

// Completes the orders that a lost relay may or may not have carried out. Not
// left to their timeouts: a hold call that is still pending keeps its worker
// without another one for seconds.
void RelayPool::FailHandedOver(const std::string& relay) {
  std::vector<uint64_t> numbers;
  for (const auto& [number, pending] : m_pending) {
    if (pending.is_handed_over && pending.relay == relay) {
      numbers.push_back(number);
    }
  }
  std::sort(numbers.begin(), numbers.end());
  for (const uint64_t number : numbers) {
    CompleteOrder(number, FailedResult(OutcomeWithoutResult(true)));
  }
}

void RelayPool::Tick(Millis turn, Millis own_delay) {
  m_turn = turn;
  m_own_delay = own_delay;
  const SteadyTime now = m_timers.Now();
  if (now >= m_relays_expected_until) {
    SendDeferred();
  }
  while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
    const uint64_t number = m_deadlines.begin()->second;
    const bool is_handed_over = m_pending.at(number).is_handed_over;
    CompleteOrder(number, FailedResult(OutcomeWithoutResult(is_handed_over)));
  }
  for (auto relay = m_relays.begin(); relay != m_relays.end();) {
    const auto current = relay++;
    if (current->second.parked != nullptr &&
        current->second.parked_until <= now) {
      ReleaseParked(current->second);
    }
    if (current->second.parked == nullptr &&
        now - current->second.last_request_at > kLost + own_delay) {
      const std::string name = current->first;
      RemoveRelay(current, "silent");
      FailHandedOver(name);
      // Restarts the loop: resent orders may have changed m_relays.
      relay = m_relays.begin();
    }
  }
  Flush();
}

void RelayPool::Begin(uint64_t term) {
  Clear();
  m_is_leading = true;
  ExpectRelays(kRelayDiscoveryTime);
  m_own_delay = Millis(0);
  m_turn = Millis(0);
  // Results that were meant for another leader match no number of this term.
  m_last_number =
      m_mutations.is_relay_term_ignored ? 0 : term << kOrderNumberBits;
}

void RelayPool::Clear() {
  m_is_leading = false;
  m_deferred.clear();
  m_pending.clear();
  m_deadlines.clear();
  for (auto& [name, relay] : m_relays) {
    if (const ReplyDone parked = std::exchange(relay.parked, nullptr)) {
      parked(Reply());
    }
  }
  m_relays.clear();
  for (auto& [worker, route] : m_routes) {
    route.relay.clear();
    CloseIfIdle(worker, route);
  }
}

}  // namespace laurelhall::dispatch
