#include "laurelhall/planning/lifecycle.h"

#include <array>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>
#include <utility>

namespace laurelhall::planning {
namespace {

namespace msm = boost::msm;
using model::DrainReason;
using model::HostEvent;
using model::HostState;
using msm::front::none;
using msm::front::Row;

/// An event as a type of its own, as MSM's table needs it.
template <HostEvent kEvent>
struct TypedEvent {
  DrainReason reason = DrainReason::kNone;
};

/// Event that puts a new machine into the state that a host was committed in.
template <HostState kState>
struct Restore {};

/// A state as a type of its own; entering it records its value.
template <HostState kState>
struct TypedState : msm::front::state<> {
  template <typename Event, typename Machine>
  void on_entry(const Event&, Machine& machine) {
    machine.m_state = kState;
  }
};

/// State of a new machine, before Restore.
struct Initial : msm::front::state<> {};

/// Guard: the host drains for one of these reasons.
template <DrainReason... kReasons>
struct DrainsFor {
  template <typename Event, typename Machine, typename From, typename To>
  bool operator()(const Event& event, Machine&, From&, To&) const {
    return ((event.reason == kReasons) || ...);
  }
};
using DrainsForAny = DrainsFor<DrainReason::kMaintenance,
                               DrainReason::kMove,
                               DrainReason::kRollout,
                               DrainReason::kOperator,
                               DrainReason::kRetire>;
using DrainsForStop = DrainsFor<DrainReason::kMaintenance,
                                DrainReason::kRollout,
                                DrainReason::kOperator>;
using DrainsForMove = DrainsFor<DrainReason::kMove>;
using DrainsForRetire = DrainsFor<DrainReason::kRetire, DrainReason::kOperator>;

using Announced = TypedState<HostState::kAnnounced>;
using InPool = TypedState<HostState::kInPool>;
using Draining = TypedState<HostState::kDraining>;
using Drained = TypedState<HostState::kDrained>;
using InMaintenance = TypedState<HostState::kInMaintenance>;
using Returning = TypedState<HostState::kReturning>;
using Failed = TypedState<HostState::kFailed>;
using Retired = TypedState<HostState::kRetired>;

using Join = TypedEvent<HostEvent::kJoin>;
using Drain = TypedEvent<HostEvent::kDrain>;
using ConfirmEmpty = TypedEvent<HostEvent::kConfirmEmpty>;
using CancelDrain = TypedEvent<HostEvent::kCancelDrain>;
using Stop = TypedEvent<HostEvent::kStopForMaintenance>;
using MovePool = TypedEvent<HostEvent::kMovePool>;
using Return = TypedEvent<HostEvent::kReturn>;
using Warm = TypedEvent<HostEvent::kWarm>;
using Fail = TypedEvent<HostEvent::kFail>;
using Retire = TypedEvent<HostEvent::kRetire>;

struct LifecycleDef : msm::front::state_machine_def<LifecycleDef> {
  using initial_state = Initial;
  // Guards and entry actions neither post events nor throw, so the message
  // queue and the exception handling are switched off.
  using no_message_queue = int;
  using no_exception_thrown = int;

  HostState m_state = HostState::kCount;

  // MSM requires this name.
  // clang-format off
  // NOLINTNEXTLINE(readability-identifier-naming)
  struct transition_table : boost::mpl::vector<
      Row<Announced,     Join,         Returning>,
      Row<Announced,     Fail,         Failed>,
      Row<Announced,     Retire,       Retired>,
      Row<InPool,        Drain,        Draining,      none, DrainsForAny>,
      Row<InPool,        Fail,         Failed>,
      Row<Draining,      ConfirmEmpty, Drained>,
      Row<Draining,      CancelDrain,  InPool>,
      Row<Draining,      Fail,         Failed>,
      Row<Drained,       CancelDrain,  InPool>,
      Row<Drained,       Stop,         InMaintenance, none, DrainsForStop>,
      Row<Drained,       MovePool,     Returning,     none, DrainsForMove>,
      Row<Drained,       Retire,       Retired,       none, DrainsForRetire>,
      Row<Drained,       Fail,         Failed>,
      Row<InMaintenance, Return,       Returning>,
      Row<InMaintenance, Fail,         Failed>,
      Row<InMaintenance, Retire,       Retired>,
      Row<Returning,     Warm,         InPool>,
      Row<Returning,     Fail,         Failed>,
      Row<Failed,        Return,       Returning>,
      Row<Failed,        Retire,       Retired>,
      Row<Initial, Restore<HostState::kAnnounced>,     Announced>,
      Row<Initial, Restore<HostState::kInPool>,        InPool>,
      Row<Initial, Restore<HostState::kDraining>,      Draining>,
      Row<Initial, Restore<HostState::kDrained>,       Drained>,
      Row<Initial, Restore<HostState::kInMaintenance>, InMaintenance>,
      Row<Initial, Restore<HostState::kReturning>,     Returning>,
      Row<Initial, Restore<HostState::kFailed>,        Failed>,
      Row<Initial, Restore<HostState::kRetired>,       Retired>
  > {};
  // clang-format on

  /// Called for an event without a row. Does nothing: process_event() tells its
  /// caller that the event wasn't handled.
  template <typename Machine, typename Event>
  void no_transition(const Event&, Machine&, int) {}
};
using Lifecycle = msm::back::state_machine<LifecycleDef>;

constexpr size_t kStates = static_cast<size_t>(HostState::kCount);
constexpr size_t kEvents = static_cast<size_t>(HostEvent::kCount);
constexpr size_t kReasons = static_cast<size_t>(DrainReason::kCount);

using OptionalState = std::optional<HostState>;
using ByReason = std::array<OptionalState, kReasons>;
using NextStateTable = std::array<std::array<ByReason, kEvents>, kStates>;

/// Finds the state after one event in one state, for each drain reason, by
/// running the state machine.
template <size_t kFrom, size_t kEvent>
ByReason NextStatesByReason() {
  ByReason next;
  for (size_t reason = 0; reason < kReasons; ++reason) {
    Lifecycle machine;
    machine.start();
    machine.process_event(Restore<static_cast<HostState>(kFrom)>());
    const auto handled =
        machine.process_event(TypedEvent<static_cast<HostEvent>(kEvent)>{
            static_cast<DrainReason>(reason)});
    if (handled == msm::back::HANDLED_TRUE) {
      next[reason] = machine.m_state;
    }
  }
  return next;
}

template <size_t kFrom, size_t... kEventIndices>
std::array<ByReason, kEvents> NextStatesByEvent(
    std::index_sequence<kEventIndices...>) {
  return {NextStatesByReason<kFrom, kEventIndices>()...};
}

template <size_t... kFromIndices>
NextStateTable MakeTable(std::index_sequence<kFromIndices...>) {
  return {
      NextStatesByEvent<kFromIndices>(std::make_index_sequence<kEvents>())...};
}

const NextStateTable& LookupTable() {
  static const NextStateTable table =
      MakeTable(std::make_index_sequence<kStates>());
  return table;
}

/// Returns the enumerator's name without its leading `k`.
template <typename Enum>
std::string EnumName(Enum value) {
  return std::string(boost::describe::enum_to_string(value, "kUnknown") + 1);
}

std::string ReasonNames(const ByReason& by_reason) {
  std::string names;
  size_t allowed = 0;
  for (size_t reason = 0; reason < kReasons; ++reason) {
    if (!by_reason[reason]) {
      continue;
    }
    ++allowed;
    names += (names.empty() ? "" : ", ") +
             EnumName(static_cast<DrainReason>(reason));
  }
  return allowed == kReasons ? "any" : names;
}

OptionalState FirstAllowed(const ByReason& by_reason) {
  for (const OptionalState& next : by_reason) {
    if (next) {
      return next;
    }
  }
  return std::nullopt;
}

void ClearDrain(model::Host& host) {
  host.drain_reason = DrainReason::kNone;
  host.move_to.clear();
  host.act.clear();
  host.install.clear();
}

void OnDrain(model::Host& host, const Transition& transition, WallTime) {
  host.drain_reason = transition.drain_reason;
  host.move_to = transition.move_to;
  host.act = transition.act;
}

void OnStop(model::Host& host, const Transition& transition, WallTime) {
  host.install = transition.version;
}

void OnMovePool(model::Host& host, const Transition&, WallTime at) {
  host.moved_from = host.pool;
  host.last_moved = at;
  host.pool = host.move_to;
  ClearDrain(host);
}

void OnReturn(model::Host& host, const Transition& transition, WallTime at) {
  const bool was_maintained = host.state == HostState::kInMaintenance &&
                              host.drain_reason != DrainReason::kRollout;
  if (was_maintained) {
    host.last_maintained = at;
  }
  if (!transition.version.empty()) {
    host.version = transition.version;
  }
}

void OnDrainEnd(model::Host& host, const Transition&, WallTime) {
  ClearDrain(host);
}

void NoEffect(model::Host&, const Transition&, WallTime) {}

using Effect = void (*)(model::Host&, const Transition&, WallTime);

/// How each event changes the host's members other than its state.
constexpr std::array<Effect, kEvents> kEffects = {
    &OnDrainEnd,  // kJoin
    &OnDrain,     // kDrain
    &NoEffect,    // kConfirmEmpty
    &OnDrainEnd,  // kCancelDrain
    &OnStop,      // kStopForMaintenance
    &OnMovePool,  // kMovePool
    &OnReturn,    // kReturn
    &OnDrainEnd,  // kWarm
    &OnDrainEnd,  // kFail
    &OnDrainEnd,  // kRetire
};

}  // namespace

std::optional<HostState> NextState(HostState from,
                                   HostEvent event,
                                   DrainReason reason) {
  const auto from_index = static_cast<size_t>(from);
  const auto event_index = static_cast<size_t>(event);
  const auto reason_index = static_cast<size_t>(reason);
  if (from_index >= kStates || event_index >= kEvents ||
      reason_index >= kReasons) {
    return std::nullopt;
  }
  return LookupTable()[from_index][event_index][reason_index];
}

std::optional<model::Host> ApplyTransition(const model::Host& host,
                                           const Transition& transition,
                                           WallTime at) {
  if (transition.host != host.id || transition.expected_epoch != host.epoch) {
    return std::nullopt;
  }
  const bool is_drain = transition.event == HostEvent::kDrain;
  const DrainReason reason =
      is_drain ? transition.drain_reason : host.drain_reason;
  const OptionalState next = NextState(host.state, transition.event, reason);
  const bool lacks_pool =
      is_drain && reason == DrainReason::kMove &&
      (transition.move_to.empty() || transition.move_to == host.pool);
  if (!next || lacks_pool) {
    return std::nullopt;
  }
  model::Host after = host;
  kEffects[static_cast<size_t>(transition.event)](after, transition, at);
  after.state = *next;
  after.state_since = at;
  ++after.epoch;
  return after;
}

std::string LifecycleTable() {
  std::string text =
      "| from | event | to | drain reason |\n|---|---|---|---|\n";
  for (size_t from = 0; from < kStates; ++from) {
    for (size_t event = 0; event < kEvents; ++event) {
      const ByReason& by_reason = LookupTable()[from][event];
      const OptionalState next = FirstAllowed(by_reason);
      if (!next) {
        continue;
      }
      text += "| " + EnumName(static_cast<HostState>(from)) + " | " +
              EnumName(static_cast<HostEvent>(event)) + " | " +
              EnumName(*next) + " | " + ReasonNames(by_reason) + " |\n";
    }
  }
  return text;
}

}  // namespace laurelhall::planning
