#pragma once

#include <algorithm>
#include <string>
#include <variant>
#include <vector>

#include "laurelhall/dispatch/ports.h"
#include "laurelhall/scheduling/codec.h"

// Messages between the leader and a relay, which calls workers on its behalf.
namespace laurelhall::dispatch {

/// Delay after which a relay repeats a request that no leader answered.
constexpr Millis kRelayRetryDelay{200};

/// How long orders and results that may be delayed wait for others, so that
/// they share a message: each costs the leader about as much as a start.
constexpr Millis kMaxMessageDelay{100};

/// One order. The leader numbers its orders; the result carries the number.
struct RelayedOrder {
  uint64_t number = 0;
  std::variant<StartOrder, StopOrder, PaceOrder, HoldOrder> order;
  /// For a StartOrder: the index of its payload in RelayedBatch::payloads.
  /// Consecutive starts with the same payload share one entry.
  uint32_t payload = 0;
};

/// Removes the acknowledgement of ends from a hold call that has waited on its
/// way. The worker may have restarted since, and numbers its ends anew.
inline void DropOutdatedAcknowledgement(RelayedOrder& relayed, Millis waited) {
  auto* hold = std::get_if<HoldOrder>(&relayed.order);
  if (hold != nullptr && waited > kMaxTransitTime) {
    hold->ends_seen = 0;
  }
}

/// The leader's answer to a relay: a batch of orders.
struct RelayedBatch {
  bool is_relay_needed = false;  ///< Whether the leader needs this relay now.
  /// Delay before the next request if the relay is not needed. Otherwise the
  /// least time between two requests with results: the leader handles them in
  /// turns that take as long.
  Millis next_request_in{0};
  std::vector<std::string> payloads;
  std::vector<RelayedOrder> orders;
};

/// The result of one order. Only that of a HoldOrder has lists of runs.
struct RelayedResult {
  uint64_t number = 0;
  HoldReply reply;
  Millis took{0};  ///< As CallReply::took.
};

/// The numbers of the results with HoldReply::may_omit_ends. They are encoded
/// behind the list of results, whose elements earlier versions must be able to
/// read. Thread-safe.
inline std::vector<uint64_t> NumbersOfOmittingLists(
    const std::vector<RelayedResult>& results) {
  std::vector<uint64_t> numbers;
  for (const RelayedResult& result : results) {
    if (result.reply.may_omit_ends) {
      numbers.push_back(result.number);
    }
  }
  return numbers;
}

/// Sets HoldReply::may_omit_ends in the results with these numbers. Thread-safe
/// if `results` is not shared.
inline void MarkOmittingLists(const std::vector<uint64_t>& numbers,
                              std::vector<RelayedResult>& results) {
  for (RelayedResult& result : results) {
    result.reply.may_omit_ends = std::find(numbers.begin(), numbers.end(),
                                           result.number) != numbers.end();
  }
}

template <typename Archive>
void Visit(Archive& archive, WorkerAddress& value) {
  archive(value.id, value.address, value.availability_zone);
}

template <typename Archive>
void Visit(Archive& archive, StartOrder& value) {
  archive(value.worker, value.task, value.run, value.payload, value.checkpoint,
          value.lease_end, value.fence, value.timeout);
}

template <typename Archive>
void Visit(Archive& archive, StopOrder& value) {
  archive(value.worker, value.task, value.run, value.fence, value.timeout);
}

template <typename Archive>
void Visit(Archive& archive, PaceOrder& value) {
  archive(value.worker, value.task, value.run, value.percent, value.fence,
          value.timeout);
}

template <typename Archive>
void Visit(Archive& archive, HoldOrder& value) {
  archive(value.worker, value.lease_end, value.fence, value.ends_seen,
          value.wait, value.timeout);
}

template <typename Archive>
void Visit(Archive& archive, RelayedOrder& value) {
  archive(value.number, value.order, value.payload);
}

template <typename Archive>
void Visit(Archive& archive, RelayedBatch& value) {
  archive(value.is_relay_needed, value.next_request_in, value.payloads,
          value.orders);
}

template <typename Archive>
void Visit(Archive& archive, RunningRun& value) {
  archive(value.task, value.run, value.checkpoint, value.percent, value.figure);
}

template <typename Archive>
void Visit(Archive& archive, EndedRun& value) {
  archive(value.number, value.task, value.run, value.end, value.checkpoint);
}

template <typename Archive>
void Visit(Archive& archive, HoldReply& value) {
  archive(value.outcome, value.clock, value.born, value.running, value.ended);
}

template <typename Archive>
void Visit(Archive& archive, RelayedResult& value) {
  archive(value.number, value.reply, value.took);
}

}  // namespace laurelhall::dispatch
