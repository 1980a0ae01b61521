#include "laurelhall/dispatch/order_relay.h"

#include <algorithm>
#include <unordered_map>
#include <utility>
#include <vector>

#include "laurelhall/base/decision_log.h"
#include "laurelhall/dispatch/relayed.h"
#include "laurelhall/dispatch/request.h"

namespace laurelhall::dispatch {

namespace {

// Results that arrive within this time, or the leader's turn if that is longer,
// are sent to the leader together: each request costs it about as much as
// planning a start.
constexpr Millis kBatchDelay{15};
// Timeout of a request to the leader, which parks it for a part of this time
// until there are orders.
constexpr Millis kRequestTimeout{1'500};
// One request can deliver results at once while another waits for orders.
constexpr size_t kMaxRequestsInFlight = 2;
// Maximum age of an order, counted from when the request was sent that brought
// it. A relay that was frozen must not send orders that its leader has long
// given up.
constexpr Millis kMaxOrderAge{1'000};
// A worker without orders for this long is now called by another relay.
constexpr Millis kWorkerIdleTimeout{8'000};
constexpr Millis kSweepInterval{4'000};

}  // namespace

class OrderRelay::Impl : public std::enable_shared_from_this<Impl> {
 public:
  explicit Impl(const OrderRelayInit& init) : m_init(init) {}

  void Start() {
    m_sweep = m_init.timers->SubscribeEvery(
        kSweepInterval, [weak = weak_from_this()](SteadyTime now) {
          if (const auto self = weak.lock()) {
            self->ForgetUnused(now);
          }
        });
    ScheduleRequest(Millis(0));
  }

  void Stop() { m_init.timers->Cancel(m_sweep); }

  void Leave() {
    m_is_leaving = true;
    ScheduleNextRequest();
  }

 private:
  struct RecentWorker {
    WorkerAddress address;
    SteadyTime used_at{};
  };

  void ScheduleRequest(Millis delay) {
    const SteadyTime due = m_init.timers->Now() + delay;
    if (m_request_due && *m_request_due <= due) {
      return;
    }
    if (m_request_due) {
      m_init.timers->Cancel(m_request_timer);
    }
    m_request_due = due;
    m_request_timer = m_init.timers->SubscribeOnce(
        delay, [weak = weak_from_this()](SteadyTime) {
          if (const auto self = weak.lock()) {
            self->m_request_due.reset();
            self->SendRequest();
          }
        });
  }

  // When the next request is due. Results that may be delayed go with the next
  // one that asks for orders, with urgent ones, or after kMaxMessageDelay.
  SteadyTime NextRequestAt() const {
    if (m_requests_in_flight == 0 || m_is_leaving) {
      return m_requested_at + kBatchDelay;
    }
    return m_has_urgent_result
               ? m_requested_at + std::max(kBatchDelay, m_leader_turn)
               : m_oldest_result_at + kMaxMessageDelay;
  }

  void ScheduleNextRequest() {
    if (m_results.empty() && m_requests_in_flight > 0 && !m_is_leaving) {
      return;  // One waits for orders already.
    }
    const auto left =
        std::chrono::ceil<Millis>(NextRequestAt() - m_init.timers->Now());
    ScheduleRequest(std::max(left, Millis(0)));
  }

  void SendRequest() {
    const bool has_no_results = m_results.empty();
    const bool has_left = m_is_leaving && m_has_reported_leaving;
    const bool must_report_leaving = m_is_leaving && !m_has_reported_leaving;
    if (m_requests_in_flight == kMaxRequestsInFlight ||
        (has_no_results && !must_report_leaving &&
         (m_requests_in_flight > 0 || has_left))) {
      return;
    }
    m_has_reported_leaving = m_is_leaving;
    ++m_requests_in_flight;
    const SteadyTime now = m_init.timers->Now();
    m_requested_at = now;
    m_has_urgent_result = false;
    auto results = std::make_shared<std::vector<RelayedResult>>(
        std::exchange(m_results, {}));
    RelayOrders request{m_init.name, m_init.availability_zone, m_is_leaving,
                        *results};
    m_init.ask(
        scheduling::Encode(Request(std::move(request))), now + kRequestTimeout,
        [weak = weak_from_this(), post = m_init.post, results,
         asked_at = m_init.boot_now()](std::optional<std::string> reply) {
          post([weak, results, asked_at, reply = std::move(reply)] {
            if (const auto self = weak.lock()) {
              self->OnAnswer(reply, *results, asked_at);
            }
          });
        });
  }

  void OnAnswer(const std::optional<std::string>& text,
                std::vector<RelayedResult>& results,
                BootTime asked_at) {
    --m_requests_in_flight;
    RelayedBatch batch;
    if (!DecodeBatch(text, batch)) {
      // Reported again: the leader ignores results that it has already.
      m_results.insert(m_results.end(),
                       std::make_move_iterator(results.begin()),
                       std::make_move_iterator(results.end()));
      m_has_urgent_result = true;  // Some may be.
      ScheduleRequest(kRelayRetryDelay);
      return;
    }
    if (!batch.is_relay_needed) {
      if (m_results.empty()) {
        ScheduleRequest(batch.next_request_in);
      } else {
        ScheduleNextRequest();
      }
      return;
    }
    m_leader_turn = std::min(batch.next_request_in, kMaxMessageDelay);
    const auto age = std::chrono::floor<Millis>(m_init.boot_now() - asked_at);
    for (RelayedOrder& order : batch.orders) {
      if (age > kMaxOrderAge) {
        ReturnUnsent(order.number);
      } else {
        DropOutdatedAcknowledgement(order, age);
        CarryOut(batch, order);
      }
    }
    ScheduleNextRequest();
  }

  // Returns false if there was no answer, or it was not from a leader.
  static bool DecodeBatch(const std::optional<std::string>& text,
                          RelayedBatch& batch) {
    if (!text) {
      return false;
    }
    try {
      const auto reply = scheduling::Decode<Reply>(*text);
      if (reply.outcome != Outcome::kOk) {
        return false;
      }
      batch = scheduling::Decode<RelayedBatch>(reply.document);
      return true;
    } catch (const scheduling::CodecError& error) {
      DecisionLog::Get().Write(
          DecisionLine("relay", "bad-answer").With("error", error.what()));
      return false;
    }
  }

  void ReturnUnsent(uint64_t number) {
    RelayedResult result;
    result.number = number;
    result.reply.outcome = CallOutcome::kNotReached;
    AddResult(std::move(result));
  }

  // Whether the leader goes on from the result: a run has ended, a call has
  // failed, or a worker answers for the first time.
  static bool IsUrgent(const RelayedResult& result, bool is_first_call) {
    return is_first_call || result.reply.outcome != CallOutcome::kDone ||
           !result.reply.ended.empty();
  }

  void AddResult(RelayedResult result, bool is_first_call = false) {
    if (m_results.empty()) {
      m_oldest_result_at = m_init.timers->Now();
    }
    m_has_urgent_result =
        m_has_urgent_result || IsUrgent(result, is_first_call);
    m_results.push_back(std::move(result));
    ScheduleNextRequest();
  }

  /// @returns Whether the worker was not called lately.
  bool RecordUse(const WorkerAddress& worker) {
    const auto [recent, is_first] = m_recent_workers.try_emplace(worker.id);
    recent->second = {worker, m_init.timers->Now()};
    return is_first;
  }

  void CarryOut(const RelayedBatch& batch, RelayedOrder& relayed) {
    const uint64_t number = relayed.number;
    if (auto* start = std::get_if<StartOrder>(&relayed.order)) {
      if (relayed.payload < batch.payloads.size()) {
        start->payload = batch.payloads[relayed.payload];
      }
      RecordUse(start->worker);
      m_init.workers->Start(std::move(*start), MakeCallback(number));
    } else if (auto* stop = std::get_if<StopOrder>(&relayed.order)) {
      RecordUse(stop->worker);
      m_init.workers->Stop(std::move(*stop), MakeCallback(number));
    } else if (auto* pace = std::get_if<PaceOrder>(&relayed.order)) {
      RecordUse(pace->worker);
      m_init.workers->Pace(std::move(*pace), MakeCallback(number));
    } else if (auto* hold = std::get_if<HoldOrder>(&relayed.order)) {
      const bool is_first = RecordUse(hold->worker);
      m_init.workers->Hold(std::move(*hold), [weak = weak_from_this(), number,
                                              is_first](HoldReply reply) {
        if (const auto self = weak.lock()) {
          self->AddResult({number, std::move(reply)}, is_first);
        }
      });
    }
  }

  std::function<void(CallReply)> MakeCallback(uint64_t number) {
    return [weak = weak_from_this(), number](const CallReply& reply) {
      if (const auto self = weak.lock()) {
        RelayedResult result{number};
        result.reply.outcome = reply.outcome;
        result.reply.clock = reply.clock;
        result.took = reply.took;
        self->AddResult(std::move(result));
      }
    };
  }

  void ForgetUnused(SteadyTime now) {
    std::erase_if(m_recent_workers, [&](const auto& entry) {
      const RecentWorker& recent = entry.second;
      const bool is_unused = now - recent.used_at > kWorkerIdleTimeout;
      if (is_unused) {
        m_init.workers->Forget(recent.address);
      }
      return is_unused;
    });
  }

  const OrderRelayInit m_init;
  TimerHandle m_sweep;
  bool m_is_leaving = false;
  bool m_has_reported_leaving = false;
  std::optional<SteadyTime> m_request_due;  // Of the timer, if it is set.
  TimerHandle m_request_timer;
  size_t m_requests_in_flight = 0;
  SteadyTime m_requested_at{};
  Millis m_leader_turn{0};               // See RelayedBatch::next_request_in.
  std::vector<RelayedResult> m_results;  // Not reported yet.
  bool m_has_urgent_result = false;
  SteadyTime m_oldest_result_at{};
  std::unordered_map<std::string, RecentWorker> m_recent_workers;  // By worker.
};

OrderRelay::OrderRelay(const OrderRelayInit& init)
    : m_impl(std::make_shared<Impl>(init)) {
  m_impl->Start();
}

OrderRelay::~OrderRelay() {
  m_impl->Stop();
}

void OrderRelay::Leave() {
  m_impl->Leave();
}

}  // namespace laurelhall::dispatch
