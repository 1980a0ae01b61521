#include <doctest/doctest.h>

#include <algorithm>
#include <random>

#include "leader_loop.h"

namespace laurelhall::operations {
namespace {

using model::ActState;

constexpr int kChaosSteps = 240;
constexpr int kCalmSteps = 600;

/// What operators, leaders and the platform do to each other, from a seed.
void RunChaos(LeaderLoop& loop) {
  for (int step = 0; step < kChaosSteps; ++step) {
    loop.Platform();
    loop.Operators();
    if (loop.Chance(12)) {
      loop.FailSome();
    }
    if (loop.Chance(15)) {
      loop.ChangeLeader();
    }
    loop.Leader(step);
  }
}

/// All acts that nobody holds must end once nothing fails any more.
void RunCalm(LeaderLoop& loop) {
  loop.Settle();
  for (int step = 0; step < kCalmSteps; ++step) {
    loop.Platform();
    loop.Leader(kChaosSteps);
  }
}

template <typename Act>
bool IsEnded(const Act& act) {
  return act.state == ActState::kDone || act.state == ActState::kCancelled ||
         act.state == ActState::kHalted;
}

TEST_CASE("Leader's duties, chaos over seeds, keep budgets and end all acts") {
  LoopCounts total;
  for (uint64_t seed = 1; seed <= 30; ++seed) {
    CAPTURE(seed);
    LeaderLoop loop(seed);
    RunChaos(loop);
    RunCalm(loop);
    const model::Fleet fleet = loop.fleet();
    for (const auto& [id, wave] : fleet.waves) {
      CAPTURE(model::ToJsonText(wave));
      CHECK(IsEnded(wave));
    }
    for (const auto& [id, rollout] : fleet.rollouts) {
      CAPTURE(model::ToJsonText(rollout));
      CHECK(IsEnded(rollout));
    }
    for (const auto& [id, host] : fleet.hosts) {
      CAPTURE(model::ToJsonText(host));
      CHECK(host.state == model::HostState::kInPool);
    }
    for (const auto& [id, job] : fleet.jobs) {
      CAPTURE(model::ToJsonText(job));
      CHECK(job.host.empty());
    }
    total += loop.counts();
  }
  MESSAGE("drains " << total.drains << ", refused " << total.refused_drains
                    << ", stops " << total.stops << ", moves " << total.moves
                    << ", job runs " << total.job_runs << ", leaders "
                    << total.leaders);
  CHECK(total.broken_budgets == 0);
  CHECK(total.cut_off == 0);
  CHECK(total.odd_pool_changes == 0);
  CHECK(total.doubled_runs == 0);
  // The schedule reaches what it is for.
  CHECK(total.refused_drains > 10);
  CHECK(total.stops > 100);
  CHECK(total.moves > 5);
  CHECK(total.job_runs > 50);
}

TEST_CASE("Placement memory, next leader, goes on with what was learned") {
  LeaderLoop loop(7);
  for (int i = 0; i < 12; ++i) {
    loop.FailAllOn("h" + std::to_string(i));
  }
  for (int i = 0; i < 40; ++i) {
    loop.SubmitJob();
    loop.Platform();
    loop.Leader(i);
  }
  const auto note = loop.Note("placement");
  REQUIRE(note);
  CHECK(note->find("\"host\":\"h") != std::string::npos);
  loop.ChangeLeader();
  loop.Leader(0);
  for (int i = 0; i < 10; ++i) {
    loop.Leader(0);
  }
  // A leader that began with nothing would have put its own in its place.
  CHECK(loop.Note("placement")->find("\"host\":\"h") != std::string::npos);
}

TEST_CASE("Operators' acts, sent again after a lost answer, act once") {
  LeaderLoop loop(3);
  loop.Platform();
  const std::string drain = R"({"operator":"ana","request_id":"d"})";
  const auto first = loop.Send("POST", "/v1/hosts/h9/drain", drain);
  CHECK(first.status == 200);
  const auto resent = loop.Send("POST", "/v1/hosts/h9/drain", drain);
  CHECK(resent.status == 200);
  CHECK(resent.body.find("\"is_resend\":true") != std::string::npos);
  CHECK(loop.Send("POST", "/v1/hosts/h8/drain", drain).status == 400);
  const std::string wave = R"({"operator":"ana","request_id":"w","id":"may",
                               "pools":["counter"]})";
  CHECK(loop.Send("POST", "/v1/waves", wave).status == 200);
  loop.Leader(0);
  loop.Leader(0);
  const auto again = loop.Send("POST", "/v1/waves", wave);
  CHECK(again.status == 200);
  CHECK(again.body.find("\"is_resend\":true") != std::string::npos);
  const std::string pause = R"({"operator":"ana","request_id":"p"})";
  CHECK(loop.Send("POST", "/v1/waves/may/pause", pause).status == 200);
  loop.Leader(0);
  CHECK(loop.fleet().waves.at("may").state == ActState::kPaused);
  CHECK(loop.Send("POST", "/v1/waves/may/rollback", drain).status == 400);
}

}  // namespace
}  // namespace laurelhall::operations
