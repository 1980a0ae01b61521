#include <doctest/doctest.h>

#include "laurelhall/planning/lifecycle.h"

namespace laurelhall::planning {
namespace {

using model::DrainReason;
using model::HostEvent;
using model::HostState;

struct LifecycleFixture {
  LifecycleFixture() {
    m_host.id = "h1";
    m_host.pool = "claims";
    m_host.state = HostState::kInPool;
  }

  bool Apply(HostEvent event,
             DrainReason reason = DrainReason::kNone,
             std::string move_to = "") {
    m_now += Seconds(1);
    const Transition transition{.host = "h1",
                                .expected_epoch = m_host.epoch,
                                .event = event,
                                .drain_reason = reason,
                                .move_to = std::move(move_to),
                                .act = "act-1",
                                .version = {}};
    const auto after = ApplyTransition(m_host, transition, m_now);
    if (after) {
      m_host = *after;
    }
    return after.has_value();
  }

  model::Host m_host;
  WallTime m_now{Seconds(1000)};
};

TEST_CASE_FIXTURE(LifecycleFixture,
                  "Lifecycle, maintenance, is capacity again once warm") {
  CHECK(Apply(HostEvent::kDrain, DrainReason::kMaintenance));
  CHECK_FALSE(
      Apply(HostEvent::kStopForMaintenance));  // Not yet confirmed empty.
  CHECK(Apply(HostEvent::kConfirmEmpty));
  CHECK_FALSE(Apply(HostEvent::kMovePool));
  CHECK(Apply(HostEvent::kStopForMaintenance));
  CHECK_FALSE(Apply(HostEvent::kWarm));
  CHECK(Apply(HostEvent::kReturn));
  CHECK(m_host.state == HostState::kReturning);
  CHECK(m_host.act == "act-1");
  CHECK(m_host.last_maintained == m_now);
  CHECK(Apply(HostEvent::kWarm));
  CHECK(m_host.state == HostState::kInPool);
  CHECK(m_host.act.empty());
  CHECK(m_host.epoch == 5);
}

TEST_CASE_FIXTURE(LifecycleFixture,
                  "Lifecycle, move, changes the pool in one transition") {
  CHECK_FALSE(Apply(HostEvent::kDrain, DrainReason::kMove, "claims"));
  CHECK(Apply(HostEvent::kDrain, DrainReason::kMove, "reserve"));
  CHECK(Apply(HostEvent::kConfirmEmpty));
  CHECK(m_host.pool == "claims");
  CHECK(Apply(HostEvent::kMovePool));
  CHECK(m_host.pool == "reserve");
  CHECK(m_host.moved_from == "claims");
  CHECK(m_host.last_moved == m_now);
}

TEST_CASE_FIXTURE(LifecycleFixture,
                  "Lifecycle, transition of an older epoch, is refused") {
  CHECK(Apply(HostEvent::kDrain, DrainReason::kOperator));
  const Transition stale_transition{.host = "h1",
                                    .expected_epoch = 0,
                                    .event = HostEvent::kCancelDrain,
                                    .drain_reason = DrainReason::kNone,
                                    .move_to = {},
                                    .act = {},
                                    .version = {}};
  CHECK_FALSE(ApplyTransition(m_host, stale_transition, m_now).has_value());
}

TEST_CASE("Lifecycle, every state, retired is final and others can leave") {
  for (int from = 0; from < static_cast<int>(HostState::kCount); ++from) {
    int allowed_transitions = 0;
    for (int event = 0; event < static_cast<int>(HostEvent::kCount); ++event) {
      for (int reason = 0; reason < static_cast<int>(DrainReason::kCount);
           ++reason) {
        allowed_transitions += NextState(static_cast<HostState>(from),
                                         static_cast<HostEvent>(event),
                                         static_cast<DrainReason>(reason))
                                   .has_value();
      }
    }
    CAPTURE(from);
    CHECK((allowed_transitions > 0) ==
          (static_cast<HostState>(from) != HostState::kRetired));
  }
  CHECK_FALSE(
      NextState(HostState::kInPool, HostEvent::kDrain, DrainReason::kNone));
  CHECK(LifecycleTable().find("| Drained | MovePool | Returning | Move |") !=
        std::string::npos);
}

}  // namespace
}  // namespace laurelhall::planning
