#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "laurelhall/base/timer_service.h"
#include "laurelhall/dispatch/dispatcher.h"
#include "laurelhall/dispatch/relayed.h"

namespace laurelhall::dispatch {

/// Makes the leader's calls to workers, through relays where there are more
/// workers than one host can call: making a call costs the leader more than
/// deciding on it.
///
/// @remarks Used on the dispatcher's thread only. The assignment of workers to
///   relays is forgotten when the leadership ends; correctness does not depend
///   on it. An order that was handed over to a relay and has no result counts
///   as unanswered; one that was not yet handed over goes to another relay.
class RelayPool final : public WorkerPort {
 public:
  /// @param direct Makes the calls that go through no relay; outlives this.
  RelayPool(const RelayBounds& bounds,
            const DispatchMutations& mutations,
            TimerService& timers,
            WorkerPort& direct)
      : m_bounds(bounds),
        m_mutations(mutations),
        m_timers(timers),
        m_direct(direct) {}

  void Start(StartOrder order, std::function<void(CallReply)> done) override;
  void Stop(StopOrder order, std::function<void(CallReply)> done) override;
  void Pace(PaceOrder order, std::function<void(CallReply)> done) override;
  void Hold(HoldOrder order, std::function<void(HoldReply)> done) override;
  void Forget(const WorkerAddress& worker) override;

  /// Handles a request of a relay, which reports results and asks for orders.
  /// `done` is called once there are orders, or after a while without any.
  void Ask(RelayOrders request, ReplyDone done);

  /// Handles orders and relays whose time is up; to be called at each tick.
  ///
  /// @param turn Time that this host takes to commit what results report, so
  ///   that it has no use for results in shorter intervals.
  /// @param own_delay Delay that this host's thread may add to the time between
  ///   two requests of a relay; it does not count towards losing the relay.
  void Tick(Millis turn, Millis own_delay);

  /// Starts a leadership.
  void Begin(uint64_t term);

  /// Ends the leadership: callbacks of pending orders are dropped, relays look
  /// for the next leader, and connections to workers are closed, as a host that
  /// leads no more needs its descriptors for the calls that it relays.
  void Clear();

  size_t relays() const { return m_relays.size(); }

 private:
  using ResultCallback = std::function<void(RelayedResult)>;

  /// An order without a result so far.
  struct Pending {
    RelayedOrder order;  // Moved out when it is handed over.
    std::string relay;
    SteadyTime created_at{};
    bool is_handed_over = false;
    Millis result_timeout{0};  // Counted anew when handed over.
    ResultCallback on_result;
    std::multimap<SteadyTime, uint64_t>::iterator deadline_entry;
  };

  /// A host that makes calls on behalf of this one.
  struct Relay {
    std::string availability_zone;
    SteadyTime last_request_at{};
    ReplyDone parked;  // Answers the request that waits for orders, if any.
    SteadyTime parked_until{};
    std::deque<uint64_t> queue;     // Numbers of orders to be handed over.
    bool has_urgent_order = false;  // In the queue.
    SteadyTime queued_since{};      // When its first order came.
    size_t workers = 0;
  };

  /// How calls reach a worker.
  struct WorkerRoute {
    std::string availability_zone;
    std::string relay;            // Empty: called directly.
    bool has_connection = false;  // From this host.
    size_t direct_calls = 0;      // In flight.
  };

  using Relays = std::map<std::string, Relay>;

  template <typename Order>
  void Send(Order order, ResultCallback on_result);
  void SendDirect(RelayedOrder order, ResultCallback on_result);
  ResultCallback TrackDirectCall(const std::string& worker,
                                 ResultCallback on_result);
  void Enqueue(RelayedOrder order,
               WorkerRoute& route,
               ResultCallback on_result);
  bool MustWaitForRelay(const WorkerRoute& route) const;
  void ExpectRelays(Millis within);
  void Defer(RelayedOrder order, ResultCallback on_result);
  void SendDeferred();
  void Reroute(uint64_t number);
  uint64_t AddPending(RelayedOrder order,
                      const std::string& relay,
                      ResultCallback on_result);
  void CloseIfIdle(const std::string& worker, WorkerRoute& route);
  WorkerRoute& RouteTo(const WorkerAddress& worker);
  void AssignRelay(WorkerRoute& route);
  bool IsOverloaded(const Relay& relay) const;
  Relays::iterator LeastLoadedRelay(const std::string& zone);
  size_t RelaysNeeded() const;
  bool IsRelayNeeded(const RelayOrders& request) const;
  void OnResult(RelayedResult result);
  void CompleteOrder(uint64_t number, RelayedResult result);
  void ScheduleFlush();
  void Flush();
  bool IsFlushDue(const Relay& relay) const;
  void HandOverQueue(Relay& relay);
  void RemoveRelay(Relays::iterator relay, const char* why);
  CallOutcome OutcomeWithoutResult(bool is_handed_over) const;
  void FailHandedOver(const std::string& relay);
  void ReleaseParked(Relay& relay) const;

  const RelayBounds m_bounds;
  const DispatchMutations m_mutations;
  TimerService& m_timers;
  WorkerPort& m_direct;
  Relays m_relays;  // By name; in use now.
  std::unordered_map<std::string, WorkerRoute> m_routes;  // By worker.
  /// Until then relays are expected, and orders may be deferred for them.
  SteadyTime m_relays_expected_until{};
  std::deque<uint64_t> m_deferred;  // Numbers of orders that wait for relays.
  bool m_is_leading = false;
  size_t m_direct_connections = 0;  // From this host to workers.
  uint64_t m_last_number = 0;
  Millis m_own_delay{0};
  Millis m_turn{0};
  std::unordered_map<uint64_t, Pending> m_pending;  // By number.
  /// When each pending order is given up, and its number.
  std::multimap<SteadyTime, uint64_t> m_deadlines;
  bool m_is_flush_due = false;
  std::shared_ptr<bool> m_is_alive = std::make_shared<bool>(true);
};

}  // namespace laurelhall::dispatch
