#include "hand_ins_p.h"

#include <doctest/doctest.h>

namespace laurelhall::dispatch {
namespace {

class HandInsFixture {
 protected:
  HandIns::Found Find(const std::string& key, Millis at = Millis(0)) {
    return hand_ins.Find(
        "job", {key, {}}, [](const Reply&) {}, SteadyTime(at));
  }

  void Submit(Outcome outcome) {
    hand_ins.Begin("job", {"key", "a"}, [this](const Reply&) { ++answered; });
    Reply reply;
    reply.outcome = outcome;
    hand_ins.Settle("job", reply, SteadyTime());
  }

  HandIns hand_ins;
  int answered = 0;
};

// Guards against a refusal of a job that may be committed after all.
TEST_CASE_FIXTURE(HandInsFixture,
                  "HandIns, outcome is unknown, known until the next term") {
  Submit(Outcome::kUnknown);
  CHECK(answered == 1);
  CHECK(Find("key", Millis(60'000)) == HandIns::Found::kUnknown);
  CHECK(Find("other") == HandIns::Found::kNone);
  hand_ins.Clear();
  CHECK(Find("key") == HandIns::Found::kNone);
}

TEST_CASE_FIXTURE(HandInsFixture,
                  "HandIns, submission not carried out, a repeat is judged") {
  Submit(Outcome::kUnavailable);
  CHECK(Find("key") == HandIns::Found::kNone);
}

TEST_CASE_FIXTURE(HandInsFixture,
                  "HandIns, submission committed, accepted for a while") {
  Submit(Outcome::kOk);
  CHECK(Find("key", Millis(1'500)) == HandIns::Found::kAccepted);
  CHECK(Find("key", Millis(1'501)) == HandIns::Found::kNone);
}

TEST_CASE_FIXTURE(HandInsFixture,
                  "HandIns, term ends before the outcome, all are answered") {
  hand_ins.Begin("job", {"key", "a"}, [this](const Reply&) { ++answered; });
  hand_ins.Find(
      "job", {"new key", "a"}, [this](const Reply&) { ++answered; },
      SteadyTime());
  CHECK(Find("other") == HandIns::Found::kOfAnother);
  hand_ins.Clear();
  hand_ins.Settle("job", Reply(), SteadyTime());
  CHECK(answered == 2);
}

}  // namespace
}  // namespace laurelhall::dispatch
