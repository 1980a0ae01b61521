#include <map>
#include <random>
#include <set>

#include "machine_fixture.h"

namespace laurelhall::state {
namespace {

using std::chrono::hours;

struct ClaimTableFixture : MachineFixture {
  using MachineFixture::MachineFixture;

  static model::ClaimKey Key(const std::string& key) {
    return {"insurer-a", "estimates-a", key};
  }

  ClaimCommand ClaimOf(const std::string& key,
                       const std::string& request_id,
                       const std::string& digest = "d",
                       const std::string& owner = "entry-1") const {
    return {Key(key),   digest, {owner, 1},
            request_id, m_now,  m_now + kRetention};
  }

  ClaimVerdict Verdict(const std::string& key,
                       const std::string& request_id,
                       const std::string& digest = "d",
                       const std::string& owner = "entry-1") {
    return Claim(ClaimOf(key, request_id, digest, owner)).verdict;
  }

  bool Complete(const std::string& key,
                const std::string& request_id,
                const std::string& body = "whole",
                bool is_kept = true) {
    return Act(CompleteCommand{
                   Key(key), request_id, is_kept, {200, "text", {body}}})
        .is_accepted;
  }

  bool Release(const std::string& key, const std::string& request_id) {
    return Act(ReleaseCommand{Key(key), request_id}).is_accepted;
  }

  ActResult Session(const std::string& name,
                    uint64_t incarnation,
                    SessionState state,
                    bool may_hold_slots = true) {
    const auto known = m_machine->FindSession({name, incarnation});
    const uint64_t index = known ? known->changed_at_index : 0;
    return Act(SessionCommand{
        {name, incarnation}, state, m_now, index, may_hold_slots});
  }

  bool Abandon(const std::string& key, const std::string& request_id) {
    return Act(AbandonCommand{Key(key), request_id}).is_accepted;
  }
};

TEST_CASE_FIXTURE(ClaimTableFixture,
                  "ClaimTable, key claimed again, answers by what holds it") {
  CHECK(Verdict("k", "r1") == ClaimVerdict::kGranted);
  CHECK(Verdict("k", "r1") == ClaimVerdict::kGranted);  // Its own resend.
  CHECK(Verdict("k", "r1", "d", "entry-2") == ClaimVerdict::kInProgress);
  CHECK(Verdict("k", "r2") == ClaimVerdict::kInProgress);
  CHECK(Verdict("k", "r2", "other") == ClaimVerdict::kOtherBody);
  CHECK(Claim(ClaimOf("k", "r2")).request_id == "r1");
  CHECK(Complete("k", "r1", "photo estimate"));
  const ClaimResult repeated = Claim(ClaimOf("k", "r3"));
  CHECK(repeated.verdict == ClaimVerdict::kCompleted);
  CHECK(repeated.answer.body.data == "photo estimate");
  CHECK(Verdict("k", "r1") == ClaimVerdict::kCompleted);
  const ClaimResult refused = Claim(ClaimOf("k", "r4", "other"));
  CHECK(refused.verdict == ClaimVerdict::kOtherBody);
  CHECK(refused.answer.body.data.empty());
}

TEST_CASE_FIXTURE(ClaimTableFixture,
                  "ClaimTable, same key of another scope, is another claim") {
  CHECK(Verdict("k", "r1") == ClaimVerdict::kGranted);
  ClaimCommand rival = ClaimOf("k", "r2");
  rival.key.organisation = "insurer-b";
  CHECK(Claim(rival).verdict == ClaimVerdict::kGranted);
  // The same letters, cut elsewhere, and bytes that are no UTF-8.
  ClaimCommand shifted = ClaimOf("ak", "r3");
  shifted.key.service = "estimates-";
  CHECK(Claim(shifted).verdict == ClaimVerdict::kGranted);
  ClaimCommand raw = ClaimOf(std::string("\xff\x00\x1f", 3), "r4");
  CHECK(Claim(raw).verdict == ClaimVerdict::kGranted);
  CHECK(m_machine->FindClaim(raw.key)->request_id == "r4");
  Reload();
  CHECK(m_machine->FindClaim(raw.key)->request_id == "r4");
}

TEST_CASE_FIXTURE(ClaimTableFixture,
                  "ClaimTable, claim released, next request is a first run") {
  CHECK(Verdict("k", "r1") == ClaimVerdict::kGranted);
  CHECK_FALSE(Release("k", "r2"));
  CHECK(Release("k", "r1"));
  CHECK_FALSE(Release("k", "r1"));
  CHECK(m_machine->FindClaim(Key("k")) == std::nullopt);
  CHECK(Verdict("k", "r1") == ClaimVerdict::kInProgress);  // A late copy.
  Reload();
  CHECK(Verdict("k", "r1") == ClaimVerdict::kInProgress);
  CHECK(Verdict("k", "r2") == ClaimVerdict::kInProgress);  // Release first.
  CHECK(Verdict("k", "r3", "another body") == ClaimVerdict::kGranted);
  CHECK_FALSE(Release("k", "r1"));
  CHECK_FALSE(Complete("k", "r1"));
  CHECK_FALSE(Abandon("k", "r1"));
  CHECK(m_machine->FindClaim(Key("k"))->request_id == "r3");
}

TEST_CASE_FIXTURE(ClaimTableFixture,
                  "ClaimTable, release overtakes its claim, the key stays free "
                  "for a first run") {
  CHECK_FALSE(Release("k", "r1"));
  Reload();
  CHECK(Verdict("k", "r1") == ClaimVerdict::kInProgress);
  CHECK(m_machine->FindClaim(Key("k")) == std::nullopt);
  CHECK(Verdict("k", "r2") == ClaimVerdict::kGranted);
}

TEST_CASE_FIXTURE(ClaimTableFixture,
                  "Sessions, owner lost, its claims in progress are unknown at "
                  "once and nobody runs them") {
  CHECK(Session("entry-1", 1, SessionState::kOpen).is_accepted);
  for (const std::string key : {"open", "done", "freed"}) {
    CHECK(Verdict(key, key) == ClaimVerdict::kGranted);
  }
  CHECK(Verdict("other", "r1", "d", "entry-2") == ClaimVerdict::kGranted);
  CHECK(Complete("done", "done"));
  CHECK(Release("freed", "freed"));
  CHECK(Session("entry-1", 1, SessionState::kLost).version == 1);
  CHECK(Session("entry-1", 1, SessionState::kLost).version == 0);
  Reload();
  CHECK(Verdict("open", "r2", "d", "entry-2") == ClaimVerdict::kOutcomeUnknown);
  CHECK(Verdict("done", "r2", "d", "entry-2") == ClaimVerdict::kCompleted);
  CHECK(Verdict("other", "r2") == ClaimVerdict::kInProgress);
  // A claim of the lost one, late: it would lock the key.
  CHECK(Verdict("late", "late") == ClaimVerdict::kInProgress);
  CHECK(m_machine->FindClaim(Key("late")) == std::nullopt);
  CHECK_FALSE(Release("open", "open"));
  CHECK(Complete("open", "open", "it ran"));
  CHECK(Claim(ClaimOf("open", "r3")).answer.body.data == "it ran");
  const uint64_t lost_at_index =
      m_machine->FindSession({"entry-1", 1})->changed_at_index;
  // Frozen and back: it may claim again, and what was unknown stays so.
  CHECK(Session("entry-1", 1, SessionState::kOpen).is_accepted);
  CHECK(Verdict("late", "late") == ClaimVerdict::kGranted);
  // Proposed before it was back: it says nothing of what was lent since.
  CHECK_FALSE(
      Act(SessionCommand{
              {"entry-1", 1}, SessionState::kLost, m_now, lost_at_index, false})
          .is_accepted);
}

TEST_CASE_FIXTURE(ClaimTableFixture,
                  "Sessions, newer incarnation, the earlier one is lost for "
                  "good and forgotten when nothing depends on it") {
  CHECK(Verdict("k", "r1") == ClaimVerdict::kGranted);  // Opens it.
  CHECK_FALSE(m_machine->FindSession({"entry-1", 1})->may_hold_slots);
  CHECK(Session("entry-1", 1, SessionState::kOpen).is_accepted);
  CHECK(m_machine->FindSession({"entry-1", 1})->may_hold_slots);
  CHECK(Session("entry-1", 2, SessionState::kOpen).version == 1);
  CHECK(Verdict("k", "r2", "d", "entry-2") == ClaimVerdict::kOutcomeUnknown);
  CHECK_FALSE(Session("entry-1", 1, SessionState::kOpen).is_accepted);
  CHECK(Verdict("k2", "r3") == ClaimVerdict::kInProgress);
  m_now += hours(5);
  Expire();
  Reload();
  REQUIRE(m_machine->FindSession({"entry-1", 1}));
  CHECK(Session("entry-1", 1, SessionState::kLost, false).is_accepted);
  Expire();
  CHECK_FALSE(m_machine->FindSession({"entry-1", 1}));
  CHECK(m_machine->FindSession({"entry-1", 2}));
  CHECK(Verdict("k2", "r3") == ClaimVerdict::kInProgress);
}

TEST_CASE_FIXTURE(ClaimTableFixture,
                  "ClaimTable, claim abandoned, stays unknown until answered") {
  CHECK(Verdict("k", "r1") == ClaimVerdict::kGranted);
  CHECK(Abandon("k", "r1"));
  CHECK(Abandon("k", "r1"));
  CHECK_FALSE(Release("k", "r1"));
  CHECK(Verdict("k", "r1") == ClaimVerdict::kOutcomeUnknown);
  CHECK(Verdict("k", "r2") == ClaimVerdict::kOutcomeUnknown);
  CHECK(Complete("k", "r1", "late"));
  CHECK_FALSE(Abandon("k", "r1"));
  CHECK_FALSE(Release("k", "r1"));
  CHECK(Complete("k", "r1", "another"));  // Resent: the first answer stays.
  CHECK(Claim(ClaimOf("k", "r2")).answer.body.data == "late");
}

TEST_CASE_FIXTURE(ClaimTableFixture,
                  "ClaimTable, claims past their time, are never run again") {
  const auto expect_after = [&](Millis by, ClaimVerdict done,
                                ClaimVerdict open) {
    m_now += by;
    Expire();
    Reload();
    CHECK(Verdict("done", "late") == done);
    CHECK(Verdict("open", "late") == open);
  };
  CHECK(Verdict("done", "r1") == ClaimVerdict::kGranted);
  CHECK(Complete("done", "r1"));
  CHECK(Verdict("open", "r2") == ClaimVerdict::kGranted);
  expect_after(kRetention - Millis(1), ClaimVerdict::kCompleted,
               ClaimVerdict::kInProgress);
  expect_after(Millis(1), ClaimVerdict::kAnswerNotKept,
               ClaimVerdict::kInProgress);
  expect_after(m_limits.unfinished_claim_margin, ClaimVerdict::kAnswerNotKept,
               ClaimVerdict::kOutcomeUnknown);
  expect_after(m_limits.unfinished_claim_margin, ClaimVerdict::kAnswerNotKept,
               ClaimVerdict::kOutcomeUnknown);
  CHECK(Verdict("done", "late", "other") == ClaimVerdict::kOtherBody);
  CHECK_FALSE(Complete("open", "r2"));  // Its record is a tombstone now.
  expect_after(m_limits.claim_tombstone_retention - hours(3),
               ClaimVerdict::kAnswerNotKept, ClaimVerdict::kOutcomeUnknown);
  // The stated bound: past the tombstones a key is new.
  expect_after(hours(3), ClaimVerdict::kGranted, ClaimVerdict::kGranted);
}

TEST_CASE_FIXTURE(ClaimTableFixture,
                  "ClaimTable, answer comes past the expiry, still completes") {
  CHECK(Verdict("k", "r1") == ClaimVerdict::kGranted);
  m_now += kRetention + m_limits.unfinished_claim_margin;
  Expire();
  CHECK(Verdict("k", "r2") == ClaimVerdict::kOutcomeUnknown);
  CHECK(Complete("k", "r1", "overnight"));
  CHECK(Claim(ClaimOf("k", "r2")).answer.body.data == "overnight");
}

struct SmallClaimTableFixture : ClaimTableFixture {
  static MachineLimits Limits() {
    MachineLimits limits;
    limits.max_claims = 3;
    limits.max_kept_answer_bytes = 100;
    limits.max_claim_tombstones = 2;
    return limits;
  }
  SmallClaimTableFixture() : ClaimTableFixture(Limits()) {}
};

TEST_CASE_FIXTURE(SmallClaimTableFixture,
                  "ClaimTable, answers past the bytes, drops the oldest") {
  for (const std::string key : {"a", "b", "c"}) {
    CHECK(Verdict(key, key) == ClaimVerdict::kGranted);
  }
  CHECK(Complete("b", "b", std::string(40, 'b')));
  CHECK(Complete("a", "a", std::string(40, 'a')));
  Reload();
  CHECK(Complete("c", "c", std::string(40, 'c')));
  CHECK(Verdict("b", "x") == ClaimVerdict::kAnswerNotKept);
  CHECK(Claim(ClaimOf("a", "x")).answer.body.data == std::string(40, 'a'));
  CHECK(Claim(ClaimOf("c", "x")).answer.body.data == std::string(40, 'c'));
}

TEST_CASE_FIXTURE(SmallClaimTableFixture,
                  "ClaimTable, at its bounds, refuses and forgets nothing") {
  for (const std::string key : {"a", "b", "c"}) {
    CHECK(Verdict(key, key) == ClaimVerdict::kGranted);
    CHECK(Complete(key, key));
  }
  CHECK(Verdict("d", "d") == ClaimVerdict::kFull);
  CHECK(m_machine->FindClaim(Key("d")) == std::nullopt);
  m_now += kRetention;
  Expire();  // Two become tombstones, which frees their places; one stays.
  CHECK(Verdict("d", "d") == ClaimVerdict::kGranted);
  CHECK(Verdict("e", "e") == ClaimVerdict::kGranted);
  CHECK(Verdict("f", "f") == ClaimVerdict::kFull);
  for (const std::string key : {"a", "b"}) {
    CHECK(Verdict(key, "late") == ClaimVerdict::kAnswerNotKept);
  }
  CHECK(Verdict("c", "late") == ClaimVerdict::kCompleted);
}

/// What is known of a key from outside the table.
struct KeyModel {
  enum class Phase { kFree, kHeld, kCompleted, kUnknown };
  Phase phase = Phase::kFree;
  std::string holder;
  std::string owner;
  std::string answer;
  int runs = 0;
};

/// Entry hosts that race for keys, crash, and whose commands arrive late and
/// twice. They follow the rules: write only once granted, never after a
/// release.
class ClaimRace : public ClaimTableFixture {
 public:
  explicit ClaimRace(uint64_t seed) : m_random(seed) {
    for (const std::string owner : {"entry-0", "entry-1", "entry-2"}) {
      CHECK(Session(owner, 1, SessionState::kOpen).is_accepted);
    }
  }

  const std::set<ClaimVerdict>& seen() const { return m_seen; }
  uint64_t ended() const { return m_ended; }

  void Run(int steps) {
    for (int step = 0; step < steps; ++step) {
      CAPTURE(step);
      Step();
    }
    CHECK(m_machine->Digest() == m_replica->Digest());
  }

 private:
  struct Request {
    std::string id;
    std::string key;
    ClaimCommand claim;
    bool is_granted = false;
    bool is_released = false;
    bool is_written = false;
  };

  uint64_t Pick(uint64_t below) { return m_random() % below; }

  void Step() {
    switch (Pick(9)) {
      case 0:
      case 1:
        return SendNew();
      case 2:
      case 3:
        return SendAgain();
      case 4:
      case 5:
        return GoOn();
      case 6:
        m_now += Millis(static_cast<int64_t>(Pick(hours(3) / Millis(1))));
        return Expire();
      case 7:
        return ChangeSession();
      default:
        return Reload();
    }
  }

  void SendNew() {
    Request request;
    request.id = "r" + std::to_string(m_requests.size());
    request.key = std::string(1, static_cast<char>('a' + Pick(4)));
    const std::string owner = "entry-" + std::to_string(Pick(3));
    request.claim = ClaimOf(request.key, request.id, "d", owner);
    request.claim.expires_at = m_now + hours(Pick(6));
    if (Pick(5) == 0) {  // Given up at once; its release overtakes it.
      request.is_released = true;
      CHECK_FALSE(Release(request.key, request.id));
    }
    m_requests.push_back(request);
    SendClaim(m_requests.back());
  }

  void ChangeSession() {
    const std::string owner = "entry-" + std::to_string(Pick(3));
    const bool is_loss = Pick(2) == 0;
    const auto result =
        Session(owner, 1, is_loss ? SessionState::kLost : SessionState::kOpen);
    CHECK(result.is_accepted);
    if (is_loss) {
      m_lost.insert(owner);
    } else {
      m_lost.erase(owner);
    }
    uint64_t ended = 0;
    for (auto& [name, key] : m_keys) {
      const bool is_hit =
          is_loss && key.phase == KeyModel::Phase::kHeld && key.owner == owner;
      // One that expired is of unknown outcome already.
      ended += is_hit ? 1 : 0;
      key.phase = is_hit ? KeyModel::Phase::kUnknown : key.phase;
    }
    CHECK(result.version <= ended);
    m_ended += result.version;
  }

  void SendAgain() {
    if (!m_requests.empty()) {
      SendClaim(m_requests[Pick(m_requests.size())]);
    }
  }

  void SendClaim(Request& request) {
    KeyModel& key = m_keys[request.key];
    const ClaimResult result = Claim(request.claim);
    const bool is_holder = key.holder == request.id;
    using Phase = KeyModel::Phase;
    std::set<ClaimVerdict> allowed;
    if (key.phase == Phase::kFree) {
      const bool is_lost = m_lost.contains(request.claim.owner.name);
      allowed = {request.is_released || is_lost ? ClaimVerdict::kInProgress
                                                : ClaimVerdict::kGranted};
    } else if (key.phase == Phase::kHeld) {
      allowed = {is_holder ? ClaimVerdict::kGranted : ClaimVerdict::kInProgress,
                 ClaimVerdict::kOutcomeUnknown};
    } else if (key.phase == Phase::kCompleted) {
      allowed = {ClaimVerdict::kCompleted, ClaimVerdict::kAnswerNotKept};
    } else {
      allowed = {ClaimVerdict::kOutcomeUnknown};
    }
    CHECK(allowed.contains(result.verdict));
    m_seen.insert(result.verdict);
    if (result.verdict == ClaimVerdict::kCompleted) {
      CHECK(result.answer.body.data == key.answer);
    }
    if (result.verdict == ClaimVerdict::kGranted) {
      key.phase = Phase::kHeld;
      key.holder = request.id;
      key.owner = request.claim.owner.name;
      request.is_granted = true;
    }
  }

  // A granted request writes, ends one way or another, or stays silent.
  void GoOn() {
    if (m_requests.empty()) {
      return;
    }
    Request& request = m_requests[Pick(m_requests.size())];
    if (!request.is_granted || request.is_released) {
      return;
    }
    KeyModel& key = m_keys[request.key];
    if (!request.is_written && Pick(3) == 0) {
      GiveBack(request, key);
    } else if (!request.is_written) {
      request.is_written = true;
      CHECK(++key.runs == 1);
    } else {
      End(request, key);
    }
  }

  void GiveBack(Request& request, KeyModel& key) {
    request.is_released = true;  // It will not write, whatever it hears.
    if (Release(request.key, request.id)) {
      CHECK(key.holder == request.id);
      CHECK(key.runs == 0);
      key = {};
    }
  }

  void End(Request& request, KeyModel& key) {
    const bool is_complete = Pick(2) == 0;
    const std::string answer = "answer of " + request.id;
    const bool was_completed = key.phase == KeyModel::Phase::kCompleted;
    const bool is_accepted = is_complete
                                 ? Complete(request.key, request.id, answer)
                                 : Abandon(request.key, request.id);
    CHECK_FALSE(Release(request.key, request.id));
    if (is_accepted && is_complete) {
      key.phase = KeyModel::Phase::kCompleted;
      key.answer = answer;
    } else if (is_accepted) {
      CHECK_FALSE(was_completed);
      key.phase = KeyModel::Phase::kUnknown;
    }
  }

  std::set<ClaimVerdict> m_seen;
  std::mt19937_64 m_random;
  std::vector<Request> m_requests;
  std::map<std::string, KeyModel> m_keys;
  std::set<std::string> m_lost;  // Owners whose session is lost.
  uint64_t m_ended = 0;
};

TEST_CASE("ClaimTable, owners race over many seeds, each key runs once") {
  constexpr uint64_t kSeeds = 150;
  constexpr int kSteps = 80;  // Fewer hours than a tombstone is kept.
  std::set<ClaimVerdict> seen;
  uint64_t ended = 0;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    ClaimRace race(seed);
    race.Run(kSteps);
    seen.insert(race.seen().begin(), race.seen().end());
    ended += race.ended();
  }
  CHECK(ended > 100);       // Claims whose owner was lost.
  CHECK(seen.size() == 5);  // All but another body and a full table.
}

}  // namespace
}  // namespace laurelhall::state
