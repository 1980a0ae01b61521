#include <doctest/doctest.h>

#include <random>

#include "attempt_p.h"
#include "entry_fixture_p.h"
#include "request_life_p.h"

namespace laurelhall::entry {
namespace {

// One endpoint that may be written to, until a test takes that away.
class AttemptFixture {
 public:
  AttemptFixture() {
    const SteadyTime now = m_context->Now();
    model::Endpoint endpoint;
    endpoint.id = "e1";
    endpoint.service = "quote";
    endpoint.address = m_endpoint.address();
    endpoint.incarnation = 1;
    endpoint.changed_at_index = 1;
    m_shard->Update(endpoint, now);
    m_context->confirmed_at = now;
    m_context->grants.Update({{"e1", 1, 1, Millis(60'000)}}, now);
    m_init.context = m_context;
    m_init.shard = m_shard;
    m_init.turn = {"e1", endpoint.address,
                   1,    *m_context->grants.TryAcquire("e1", now),
                   {},   now};
    m_init.request.method = "POST";
    m_init.request.headers.Set("X-Request-Id", "r1");
    m_init.request_id = "r1";
    m_init.deadline = now + kTestWait;
    m_init.is_cancelled = std::make_shared<std::atomic<bool>>(false);
    m_init.must_be_fresh = true;
  }

 protected:
  AttemptResult Try() {
    auto done = std::make_shared<std::promise<AttemptResult>>();
    StartAttempt(m_init, [done](AttemptResult result) {
      done->set_value(std::move(result));
    });
    return done->get_future().get();
  }

  net::IoThreads m_threads{2};
  FakeEndpoint m_endpoint{m_threads};
  FakeControlLink m_link{m_threads};
  std::shared_ptr<EntryContext> m_context = MakeContext();
  std::shared_ptr<ServiceShard> m_shard =
      std::make_shared<ServiceShard>("quote",
                                     m_context->init,
                                     m_context->grants);
  AttemptInit m_init;

 private:
  std::shared_ptr<EntryContext> MakeContext() {
    EntryInit init;
    init.view_bound = kTestWait;
    return std::make_shared<EntryContext>(init, m_threads, m_link);
  }
};

TEST_CASE_FIXTURE(AttemptFixture, "Attempt, all holds, gives the answer") {
  CHECK(Try().failure == AttemptFailure::kNone);
  CHECK(m_endpoint.runs() == 1);
}

TEST_CASE_FIXTURE(
    AttemptFixture,
    "Attempt, something lapsed before the write, writes nothing") {
  SUBCASE("the endpoint left") {
    m_shard->SetLeft("e1", 1);
  }
  SUBCASE("the slot is no longer held") {
    m_context->grants.Release(m_init.turn.ticket);
  }
  SUBCASE("the view grew old") {
    m_context->confirmed_at = SteadyTime{};
  }
  SUBCASE("the deadline passed") {
    m_init.deadline = m_context->Now();
  }
  SUBCASE("the caller went away") {
    *m_init.is_cancelled = true;
  }
  SUBCASE("the endpoint started anew") {
    m_init.turn.incarnation = 0;
  }
  const AttemptResult result = Try();
  CHECK(result.failure == AttemptFailure::kUnsent);
  CHECK_FALSE(result.end.has_run);
  CHECK(m_endpoint.runs() == 0);
}

// What must hold of any order of events, against a claim kept in the test.
class LifeFixture {
 protected:
  // Events that can come in this situation.
  std::vector<LifeEvent> Possible() const {
    std::vector<LifeEvent> events{LifeEvent::kCallerGone, LifeEvent::kDeadline};
    const auto add = [&](bool can, std::initializer_list<LifeEvent> more) {
      if (can) {
        events.insert(events.end(), more);
      }
    };
    add(m_is_claiming, {LifeEvent::kClaimGranted, LifeEvent::kClaimHeld,
                        LifeEvent::kClaimSettled, LifeEvent::kClaimUnknown});
    add(m_is_pausing, {LifeEvent::kPollDue});
    add(m_is_queued, {LifeEvent::kGivenUp});
    add(m_is_queued && (m_is_granted || !m_is_keyed), {LifeEvent::kTurn});
    add(m_is_attempting,
        {LifeEvent::kUnsent, LifeEvent::kBroken, LifeEvent::kAnswered});
    add(m_is_completing, {LifeEvent::kKept});
    add(m_is_releasing, {LifeEvent::kReleased, LifeEvent::kReleaseUnknown});
    return events;
  }

  void Step(RequestLife& life, LifeEvent event) {
    m_is_released = event == LifeEvent::kReleased;
    if (event <= LifeEvent::kClaimUnknown) {
      m_is_claiming = false;
      m_is_granted = event == LifeEvent::kClaimGranted;
    }
    m_is_pausing = m_is_pausing && event != LifeEvent::kPollDue;
    m_is_queued = m_is_queued && event != LifeEvent::kTurn &&
                  event != LifeEvent::kGivenUp;
    if (event >= LifeEvent::kUnsent && event <= LifeEvent::kAnswered) {
      m_is_attempting = false;
      m_may_have_run = m_may_have_run || event != LifeEvent::kUnsent;
    }
    Check(life.Handle(event), event);
  }

  void Check(LifeAction action, LifeEvent event) {
    const auto is = [&](LifeAction one) { return action == one; };
    if (is(LifeAction::kDispatch)) {
      CHECK((!m_is_keyed || m_is_granted));
      CHECK_FALSE((m_is_keyed && m_may_have_run));
      m_is_attempting = true;
    }
    if (is(LifeAction::kRelease)) {
      CHECK(m_is_granted);
      CHECK_FALSE((m_is_attempting || m_may_have_run));
      m_is_releasing = true;
      m_is_granted = false;
    }
    if (is(LifeAction::kSayNotRun) && m_is_keyed) {
      CHECK(m_is_released);
      CHECK_FALSE(m_may_have_run);
    }
    if (is(LifeAction::kAbandon)) {
      CHECK(event == LifeEvent::kBroken);
    }
    m_is_claiming = m_is_claiming || is(LifeAction::kClaim);
    m_is_pausing = is(LifeAction::kPause) || (m_is_pausing && !IsEnd(action));
    m_is_completing = m_is_completing || is(LifeAction::kComplete);
    m_is_queued = m_is_queued || is(LifeAction::kQueue) ||
                  is(LifeAction::kRequeue) || is(LifeAction::kRetry);
    m_is_queued = m_is_queued && !is(LifeAction::kPause) &&
                  !is(LifeAction::kRelease) && !IsEnd(action);
  }

  static bool IsEnd(LifeAction action) {
    return action == LifeAction::kDrop ||
           action == LifeAction::kSayInProgress ||
           action == LifeAction::kReplay || action == LifeAction::kDisown;
  }

  bool m_is_keyed = true;
  bool m_is_claiming = false;
  bool m_is_granted = false;
  bool m_is_pausing = false;
  bool m_is_queued = true;
  bool m_is_attempting = false;
  bool m_may_have_run = false;
  bool m_is_completing = false;
  bool m_is_releasing = false;
  bool m_is_released = false;
};

TEST_CASE("RequestLife, any order of events, never runs twice nor lies") {
  std::mt19937_64 random(20);
  int done = 0;
  for (int round = 0; round < 4'000; ++round) {
    struct Model : LifeFixture {
      void Run(bool is_keyed, std::mt19937_64& random, int* done) {
        m_is_keyed = is_keyed;
        RequestLife life(is_keyed);
        Step(life, LifeEvent::kBegin);
        for (int i = 0; i < 60 && !life.is_done(); ++i) {
          const auto events = Possible();
          Step(life, events[random() % events.size()]);
        }
        *done += life.is_done() ? 1 : 0;
      }
    } model;
    model.Run(round % 2 == 0, random, &done);
  }
  CHECK(done > 3'500);
}

}  // namespace
}  // namespace laurelhall::entry
