#pragma once

#include <optional>
#include <string>

#include "laurelhall/model/fleet.h"

// The state machine of a host: which event is allowed in which state, and how
// it changes the host. All committed transitions are checked and applied here.
namespace laurelhall::planning {

/// Returns the state that follows an event, or none if it isn't allowed.
///
/// @param from The host's state.
/// @param reason For kDrain the requested drain reason; for all other events
///   the reason of the host's current drain (Host::drain_reason).
/// @remarks Thread-safe. A lookup in a table that is built on first use.
std::optional<model::HostState> NextState(model::HostState from,
                                          model::HostEvent event,
                                          model::DrainReason reason);

/// One transition of one host, planned or requested by an operator.
struct Transition {
  std::string host;
  uint64_t expected_epoch = 0;
  model::HostEvent event = model::HostEvent::kCount;
  model::DrainReason drain_reason = model::DrainReason::kNone;
  std::string move_to;  ///< With kDrain for a move: the target pool.
  std::string act;      ///< Id of the wave, roll-out or move it is part of.
  std::string version;  ///< With kReturn: the version that the host now runs;
                        ///< with kStopForMaintenance: the one to install.
};
BOOST_DESCRIBE_STRUCT(
    Transition,
    (),
    (host, expected_epoch, event, drain_reason, move_to, act, version))

/// Applies a transition to a host. The only function that changes its pool.
///
/// @param host The host as committed.
/// @param transition The transition; its `host` and `expected_epoch` must be
///   those of the host.
/// @param at Time of the transition, by the leader's clock.
/// @returns The changed host, its epoch one higher, or none if the id or epoch
///   differs, the lifecycle doesn't allow the event, or a drain for a move
///   names no pool or the host's own.
/// @remarks Thread-safe. Deterministic, for use in replicated state.
std::optional<model::Host> ApplyTransition(const model::Host& host,
                                           const Transition& transition,
                                           WallTime at);

/// Returns the transition table as Markdown for the documentation.
/// Thread-safe.
std::string LifecycleTable();

}  // namespace laurelhall::planning
