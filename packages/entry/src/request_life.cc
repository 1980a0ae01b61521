#include "request_life_p.h"

#include <array>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>
#include <utility>

namespace laurelhall::entry {
namespace {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

template <LifeEvent event>
struct On {};

template <LifeAction action>
struct Do {
  template <typename Event, typename Machine, typename From, typename To>
  void operator()(const Event&, Machine& machine, From&, To&) const {
    machine.m_action = action;
  }
};

struct Keyed {
  template <typename Event, typename Machine, typename From, typename To>
  bool operator()(const Event&, Machine& machine, From&, To&) const {
    return machine.m_is_keyed;
  }
};

struct Idempotent {
  template <typename Event, typename Machine, typename From, typename To>
  bool operator()(const Event&, Machine& machine, From&, To&) const {
    return !machine.m_is_keyed;
  }
};

struct LifeTable : msm::front::state_machine_def<LifeTable> {
  explicit LifeTable(bool is_keyed) : m_is_keyed(is_keyed) {}

  using no_exception_thrown = int;
  using no_message_queue = int;

  struct Fresh : msm::front::state<> {};
  struct Claiming : msm::front::state<> {};
  struct Pausing : msm::front::state<> {};
  struct Withdrawing : msm::front::state<> {};  // Given up; claim under way.
  struct Queued : msm::front::state<> {};
  struct Attempting : msm::front::state<> {};
  struct Completing : msm::front::state<> {};
  struct Releasing : msm::front::state<> {};
  struct Done : msm::front::state<> {};
  using initial_state = Fresh;

  using E = LifeEvent;
  using A = LifeAction;

  // clang-format off
  // NOLINTNEXTLINE(readability-identifier-naming): the name that MSM asks for.
  struct transition_table : boost::mpl::vector<
    // from        event                   to           action                 guard
    Row<Fresh,       On<E::kBegin>,          Claiming,    Do<A::kClaim>,         Keyed>,
    Row<Fresh,       On<E::kBegin>,          Queued,      none,                  Idempotent>,
    Row<Claiming,    On<E::kClaimGranted>,   Queued,      Do<A::kQueue>,         none>,
    Row<Claiming,    On<E::kClaimHeld>,      Pausing,     Do<A::kPause>,         none>,
    Row<Claiming,    On<E::kClaimSettled>,   Done,        Do<A::kReplay>,        none>,
    Row<Claiming,    On<E::kClaimUnknown>,   Done,        Do<A::kDisown>,        none>,
    Row<Claiming,    On<E::kGivenUp>,        Withdrawing, none,                  none>,
    Row<Claiming,    On<E::kCallerGone>,     Withdrawing, none,                  none>,
    Row<Pausing,     On<E::kPollDue>,        Claiming,    Do<A::kClaim>,         none>,
    Row<Pausing,     On<E::kDeadline>,       Done,        Do<A::kSayInProgress>, none>,
    Row<Pausing,     On<E::kCallerGone>,     Done,        Do<A::kDrop>,          none>,
    Row<Withdrawing, On<E::kClaimGranted>,   Releasing,   Do<A::kRelease>,       none>,
    Row<Withdrawing, On<E::kClaimHeld>,      Done,        Do<A::kSayInProgress>, none>,
    Row<Withdrawing, On<E::kClaimSettled>,   Done,        Do<A::kReplay>,        none>,
    Row<Withdrawing, On<E::kClaimUnknown>,   Done,        Do<A::kDisown>,        none>,
    Row<Queued,      On<E::kTurn>,           Attempting,  Do<A::kDispatch>,      none>,
    Row<Queued,      On<E::kGivenUp>,        Releasing,   Do<A::kRelease>,       Keyed>,
    Row<Queued,      On<E::kGivenUp>,        Done,        Do<A::kSayNotRun>,     Idempotent>,
    Row<Queued,      On<E::kCallerGone>,     Releasing,   Do<A::kRelease>,       Keyed>,
    Row<Queued,      On<E::kCallerGone>,     Done,        Do<A::kDrop>,          Idempotent>,
    Row<Attempting,  On<E::kUnsent>,         Queued,      Do<A::kRequeue>,       none>,
    Row<Attempting,  On<E::kBroken>,         Done,        Do<A::kAbandon>,       Keyed>,
    Row<Attempting,  On<E::kBroken>,         Queued,      Do<A::kRetry>,         Idempotent>,
    Row<Attempting,  On<E::kAnswered>,       Completing,  Do<A::kComplete>,      Keyed>,
    Row<Attempting,  On<E::kAnswered>,       Done,        Do<A::kAnswer>,        Idempotent>,
    Row<Attempting,  On<E::kDeadline>,       none,        Do<A::kSayLate>,       none>,
    Row<Completing,  On<E::kKept>,           Done,        Do<A::kAnswer>,        none>,
    Row<Completing,  On<E::kDeadline>,       none,        Do<A::kAnswer>,        none>,
    Row<Releasing,   On<E::kReleased>,       Done,        Do<A::kSayNotRun>,     none>,
    Row<Releasing,   On<E::kReleaseUnknown>, Done,        Do<A::kSayUnknown>,    none>
  > {};
  // clang-format on

  template <typename Event, typename Machine>
  void no_transition(const Event&, Machine&, int) {}

  bool m_is_keyed;
  LifeAction m_action = LifeAction::kNone;
};

constexpr size_t kEventCount = static_cast<size_t>(LifeEvent::kCount);

}  // namespace

class RequestLife::Impl {
 public:
  explicit Impl(bool is_keyed) : m_machine(is_keyed) { m_machine.start(); }

  LifeAction Handle(LifeEvent event) {
    m_machine.m_action = LifeAction::kNone;
    (this->*kFire.at(static_cast<size_t>(event)))();
    return m_machine.m_action;
  }

  bool is_done() const {
    using Stt = Machine::stt;
    return m_machine.current_state()[0] ==
           msm::back::get_state_id<Stt, LifeTable::Done>::value;
  }

 private:
  using Machine = msm::back::state_machine<LifeTable>;

  template <LifeEvent event>
  void Fire() {
    m_machine.process_event(On<event>());
  }

  template <size_t... indices>
  static constexpr auto MakeFire(std::index_sequence<indices...>) {
    return std::array<void (Impl::*)(), kEventCount>{
        &Impl::Fire<static_cast<LifeEvent>(indices)>...};
  }

  static const std::array<void (Impl::*)(), kEventCount> kFire;

  Machine m_machine;
};

const std::array<void (RequestLife::Impl::*)(), kEventCount>
    RequestLife::Impl::kFire =
        RequestLife::Impl::MakeFire(std::make_index_sequence<kEventCount>());

RequestLife::RequestLife(bool is_keyed)
    : m_impl(std::make_unique<Impl>(is_keyed)) {}
RequestLife::~RequestLife() = default;

LifeAction RequestLife::Handle(LifeEvent event) {
  return m_impl->Handle(event);
}

bool RequestLife::is_done() const {
  return m_impl->is_done();
}

}  // namespace laurelhall::entry
