#pragma once

#include <optional>
#include <string>

#include "laurelhall/model/fleet.h"

// The life of a host: which event is allowed in which state, and what it does
// to the host. Whoever commits a transition goes through here.
namespace laurelhall::planning {

/// Returns the state that an event leads to, or none when it isn't allowed.
///
/// @param from The host's state.
/// @param event The event.
/// @param reason For kDrain the reason asked for; for every other event the
///   reason that the host drains for (Host::drain_reason).
/// @remarks Thread-safe. A lookup; the table is made once.
std::optional<model::HostState> NextState(model::HostState from,
                                          model::HostEvent event,
                                          model::DrainReason reason);

/// One transition of one host, as planned or as asked for by an operator.
struct Transition {
  std::string host;
  uint64_t expected_epoch = 0;
  model::HostEvent event = model::HostEvent::kCount;
  model::DrainReason drain_reason = model::DrainReason::kNone;
  std::string move_to;  ///< With kDrain for a move: the pool it joins.
  std::string act;      ///< Wave, roll-out or move on whose behalf.
  std::string version;  ///< With kReturn: the version that it came back with.
};
BOOST_DESCRIBE_STRUCT(
    Transition,
    (),
    (host, expected_epoch, event, drain_reason, move_to, act, version))

/// Applies a transition to a host; the one place that changes its pool.
///
/// @param host The host as committed.
/// @param transition What happens; `host` and `expected_epoch` must fit.
/// @param at When, from the leader's clock.
/// @returns The host after it, its epoch one higher, or none when the epoch
///   is another one or the lifecycle doesn't allow the event.
/// @remarks Thread-safe. Deterministic, for use in replicated state.
std::optional<model::Host> ApplyTransition(const model::Host& host,
                                           const Transition& transition,
                                           WallTime at);

/// Writes the transition table as Markdown, for the documents. Thread-safe.
std::string LifecycleTable();

}  // namespace laurelhall::planning
