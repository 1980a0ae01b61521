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

template <HostEvent kEvent>
struct On {
  DrainReason reason = DrainReason::kNone;
};

/// Puts a fresh machine into the state that a host was committed in.
template <HostState kState>
struct Resume {};

template <HostState kState>
struct In : msm::front::state<> {
  template <typename Event, typename Machine>
  void on_entry(const Event&, Machine& machine) {
    machine.m_state = kState;
  }
};
struct Fresh : msm::front::state<> {};

/// Guard: the host drains for one of these reasons.
template <DrainReason... kReasons>
struct For {
  template <typename Event, typename Machine, typename From, typename To>
  bool operator()(const Event& event, Machine&, From&, To&) const {
    return ((event.reason == kReasons) || ...);
  }
};
using ForAny = For<DrainReason::kMaintenance,
                   DrainReason::kMove,
                   DrainReason::kRollout,
                   DrainReason::kOperator,
                   DrainReason::kRetire>;
using ForStop = For<DrainReason::kMaintenance,
                    DrainReason::kRollout,
                    DrainReason::kOperator>;
using ForMove = For<DrainReason::kMove>;
using ForRetire = For<DrainReason::kRetire, DrainReason::kOperator>;

using Announced = In<HostState::kAnnounced>;
using InPool = In<HostState::kInPool>;
using Draining = In<HostState::kDraining>;
using Drained = In<HostState::kDrained>;
using InMaintenance = In<HostState::kInMaintenance>;
using Returning = In<HostState::kReturning>;
using Failed = In<HostState::kFailed>;
using Retired = In<HostState::kRetired>;

using Join = On<HostEvent::kJoin>;
using Drain = On<HostEvent::kDrain>;
using ConfirmEmpty = On<HostEvent::kConfirmEmpty>;
using CancelDrain = On<HostEvent::kCancelDrain>;
using Stop = On<HostEvent::kStopForMaintenance>;
using MovePool = On<HostEvent::kMovePool>;
using Return = On<HostEvent::kReturn>;
using Warm = On<HostEvent::kWarm>;
using Fail = On<HostEvent::kFail>;
using Retire = On<HostEvent::kRetire>;

struct LifecycleDef : msm::front::state_machine_def<LifecycleDef> {
  using initial_state = Fresh;
  // Guards and entries don't post events or throw: no queues are needed.
  using no_message_queue = int;
  using no_exception_thrown = int;

  HostState m_state = HostState::kCount;

  // MSM asks for the table by this name.
  // clang-format off
  // NOLINTNEXTLINE(readability-identifier-naming)
  struct transition_table : boost::mpl::vector<
      Row<Announced,     Join,         Returning>,
      Row<Announced,     Fail,         Failed>,
      Row<Announced,     Retire,       Retired>,
      Row<InPool,        Drain,        Draining,      none, ForAny>,
      Row<InPool,        Fail,         Failed>,
      Row<Draining,      ConfirmEmpty, Drained>,
      Row<Draining,      CancelDrain,  InPool>,
      Row<Draining,      Fail,         Failed>,
      Row<Drained,       CancelDrain,  InPool>,
      Row<Drained,       Stop,         InMaintenance, none, ForStop>,
      Row<Drained,       MovePool,     Returning,     none, ForMove>,
      Row<Drained,       Retire,       Retired,       none, ForRetire>,
      Row<Drained,       Fail,         Failed>,
      Row<InMaintenance, Return,       Returning>,
      Row<InMaintenance, Fail,         Failed>,
      Row<InMaintenance, Retire,       Retired>,
      Row<Returning,     Warm,         InPool>,
      Row<Returning,     Fail,         Failed>,
      Row<Failed,        Return,       Returning>,
      Row<Failed,        Retire,       Retired>,
      Row<Fresh, Resume<HostState::kAnnounced>,     Announced>,
      Row<Fresh, Resume<HostState::kInPool>,        InPool>,
      Row<Fresh, Resume<HostState::kDraining>,      Draining>,
      Row<Fresh, Resume<HostState::kDrained>,       Drained>,
      Row<Fresh, Resume<HostState::kInMaintenance>, InMaintenance>,
      Row<Fresh, Resume<HostState::kReturning>,     Returning>,
      Row<Fresh, Resume<HostState::kFailed>,        Failed>,
      Row<Fresh, Resume<HostState::kRetired>,       Retired>
  > {};
  // clang-format on

  /// An event without a row isn't allowed; the caller sees that.
  template <typename Machine, typename Event>
  void no_transition(const Event&, Machine&, int) {}
};
using Lifecycle = msm::back::state_machine<LifecycleDef>;

constexpr size_t kStates = static_cast<size_t>(HostState::kCount);
constexpr size_t kEvents = static_cast<size_t>(HostEvent::kCount);
constexpr size_t kReasons = static_cast<size_t>(DrainReason::kCount);

using Next = std::optional<HostState>;
using ByReason = std::array<Next, kReasons>;
using Table = std::array<std::array<ByReason, kEvents>, kStates>;

template <size_t kFrom, size_t kEvent>
ByReason RunMachine() {
  ByReason next;
  for (size_t reason = 0; reason < kReasons; ++reason) {
    Lifecycle machine;
    machine.start();
    machine.process_event(Resume<static_cast<HostState>(kFrom)>());
    const auto handled = machine.process_event(
        On<static_cast<HostEvent>(kEvent)>{static_cast<DrainReason>(reason)});
    if (handled == msm::back::HANDLED_TRUE) {
      next[reason] = machine.m_state;
    }
  }
  return next;
}

template <size_t kFrom, size_t... kEventIndices>
std::array<ByReason, kEvents> RunEvents(std::index_sequence<kEventIndices...>) {
  return {RunMachine<kFrom, kEventIndices>()...};
}

template <size_t... kFromIndices>
Table RunAll(std::index_sequence<kFromIndices...>) {
  return {RunEvents<kFromIndices>(std::make_index_sequence<kEvents>())...};
}

const Table& Transitions() {
  static const Table table = RunAll(std::make_index_sequence<kStates>());
  return table;
}

template <typename Enum>
std::string Name(Enum value) {
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
    names +=
        (names.empty() ? "" : ", ") + Name(static_cast<DrainReason>(reason));
  }
  return allowed == kReasons ? "any" : names;
}

Next FirstNext(const ByReason& by_reason) {
  for (const Next& next : by_reason) {
    if (next) {
      return next;
    }
  }
  return std::nullopt;
}

void EndDrain(model::Host& host) {
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
  EndDrain(host);
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

void OnEnd(model::Host& host, const Transition&, WallTime) {
  EndDrain(host);
}

void Keep(model::Host&, const Transition&, WallTime) {}

using Effect = void (*)(model::Host&, const Transition&, WallTime);

/// What each event does to the host, besides its state.
constexpr std::array<Effect, kEvents> kEffects = {
    &OnEnd,       // kJoin
    &OnDrain,     // kDrain
    &Keep,        // kConfirmEmpty
    &OnEnd,       // kCancelDrain
    &OnStop,      // kStopForMaintenance
    &OnMovePool,  // kMovePool
    &OnReturn,    // kReturn
    &OnEnd,       // kWarm
    &OnEnd,       // kFail
    &OnEnd,       // kRetire
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
  return Transitions()[from_index][event_index][reason_index];
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
  const Next next = NextState(host.state, transition.event, reason);
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
      const ByReason& by_reason = Transitions()[from][event];
      const Next next = FirstNext(by_reason);
      if (!next) {
        continue;
      }
      text += "| " + Name(static_cast<HostState>(from)) + " | " +
              Name(static_cast<HostEvent>(event)) + " | " + Name(*next) +
              " | " + ReasonNames(by_reason) + " |\n";
    }
  }
  return text;
}

}  // namespace laurelhall::planning
