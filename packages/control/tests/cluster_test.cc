#include "cluster_fixture.h"

#include <doctest/doctest.h>

#include "failing_files.h"

namespace laurelhall::control {
namespace {

class ClusterFixture {
 protected:
  // Claims `count` keys at once and waits; returns how many were granted.
  size_t ClaimMany(ControlLink& link, const std::string& prefix, int count) {
    std::atomic<int> answered{0};
    std::atomic<int> granted{0};
    for (int i = 0; i < count; ++i) {
      link.Claim(MakeClaim(prefix + std::to_string(i)),
                 std::chrono::steady_clock::now() + kCap, [&](auto result) {
                   granted += result &&
                              result->verdict == state::ClaimVerdict::kGranted;
                   ++answered;
                 });
    }
    Eventually([&] { return answered == count; });
    return static_cast<size_t>(granted);
  }

  bool AllApplied(Cluster& cluster) {
    const size_t leader = cluster.Leader();
    if (leader == cluster.size()) {
      return false;
    }
    const uint64_t digest = cluster.host(leader).machine().Digest();
    for (size_t i = 0; i < cluster.size(); ++i) {
      if (cluster.host(i).machine().Digest() != digest) {
        return false;
      }
    }
    return true;
  }

  Cluster m_cluster{3};
};

TEST_CASE_FIXTURE(ClusterFixture,
                  "Cluster, three empty hosts, elects and commits a group") {
  m_cluster.StartAll();
  REQUIRE(m_cluster.AwaitLeader() < m_cluster.size());
  const auto link = m_cluster.MakeLink("entry");
  CHECK(ClaimMany(*link, "a", 500) == 500);
  CHECK(Eventually([&] { return AllApplied(m_cluster); }));
  const ControlStatus status = m_cluster.host(m_cluster.AwaitLeader()).status();
  CHECK(status.consensus.membership.members.size() == 3);
  CHECK(status.zones_at_risk.empty());
}

TEST_CASE_FIXTURE(ClusterFixture,
                  "Cluster, first member starts late, the others find it") {
  m_cluster.Start(0);
  m_cluster.Start(1);
  // Until the pauses between attempts to reach it are the longest.
  std::this_thread::sleep_for(Seconds(3));
  m_cluster.Start(2);
  REQUIRE(m_cluster.AwaitLeader() < m_cluster.size());
  CHECK(Eventually([&] { return AllApplied(m_cluster); }));
}

TEST_CASE_FIXTURE(ClusterFixture,
                  "Cluster, settings change, reaches a syncing entry host") {
  m_cluster.StartAll();
  const auto link = m_cluster.MakeLink("entry");
  RecordingListener listener;
  link->Start(listener);
  const auto result = ActNow(*link, MakeSettings(0, "first", 7));
  REQUIRE(result);
  CHECK(result->is_accepted);
  CHECK(Eventually([&] { return listener.version() == result->version; }));
  REQUIRE(listener.config());
  CHECK(listener.config()->pools.at("annex").target_hosts == 7);
  const auto again = ActNow(*link, MakeSettings(0, "first", 7));
  REQUIRE(again);
  CHECK(again->is_resend);
  CHECK(again->version == result->version);
}

TEST_CASE_FIXTURE(ClusterFixture,
                  "Cluster, leader stopped, another leads with all that was "
                  "acknowledged") {
  m_cluster.StartAll();
  const auto link = m_cluster.MakeLink("entry");
  const auto change = ActNow(*link, MakeSettings(0, "first", 3));
  REQUIRE(change);
  REQUIRE(ClaimMany(*link, "a", 50) == 50);
  const size_t old = m_cluster.AwaitLeader();
  m_cluster.Stop(old);
  const size_t next = m_cluster.AwaitLeader(old);
  REQUIRE(next < m_cluster.size());
  // A resend is answered as the first time; another request is not run.
  const auto again = ClaimNow(*link, MakeClaim("a7"));
  REQUIRE(again);
  CHECK(again->verdict == state::ClaimVerdict::kGranted);
  state::ClaimCommand other = MakeClaim("a7");
  other.request_id = "other";
  const auto refused = ClaimNow(*link, other);
  REQUIRE(refused);
  CHECK(refused->verdict == state::ClaimVerdict::kInProgress);
  CHECK(m_cluster.host(next).machine().settings_version() == change->version);
}

TEST_CASE_FIXTURE(ClusterFixture,
                  "Cluster, all restarted after snapshots, knows everything") {
  for (size_t i = 0; i < m_cluster.size(); ++i) {
    m_cluster.init(i).snapshot_every = 20;
  }
  m_cluster.StartAll();
  auto link = m_cluster.MakeLink("entry");
  uint64_t version = 0;
  for (int i = 0; i < 50; ++i) {
    const auto change =
        ActNow(*link, MakeSettings(version, "r" + std::to_string(i), i));
    REQUIRE(change);
    REQUIRE(change->is_accepted);
    version = change->version;
  }
  const size_t leader = m_cluster.AwaitLeader();
  REQUIRE(Eventually(
      [&] { return m_cluster.host(leader).status().counters.snapshots > 0; }));
  for (size_t i = 0; i < m_cluster.size(); ++i) {
    m_cluster.Stop(i);
  }
  m_cluster.StartAll();
  RecordingListener listener;
  link = m_cluster.MakeLink("entry");
  link->Start(listener);
  CHECK(Eventually([&] { return listener.version() == version; }));
  const auto raced = ActNow(*link, MakeSettings(version - 1, "late", 99));
  REQUIRE(raced);
  CHECK_FALSE(raced->is_accepted);
  link.reset();
}

TEST_CASE_FIXTURE(ClusterFixture,
                  "Cluster, leader cut off in silence, serves nothing stale") {
  m_cluster.StartAll();
  const size_t old = m_cluster.AwaitLeader();
  REQUIRE(old < m_cluster.size());
  // One link knows only the host that is about to be cut off from its peers,
  // the other knows all.
  const auto link = m_cluster.MakeLink("entry");
  const auto lonely = m_cluster.MakeLinkTo("lonely", old);
  RecordingListener stale;
  RecordingListener fresh;
  lonely->Start(stale);
  link->Start(fresh);
  REQUIRE(Eventually([&] { return stale.views() > 0; }));
  for (size_t i = 0; i < m_cluster.size(); ++i) {
    m_cluster.init(old).filter->Set(m_cluster.init(i).inner_address,
                                    CutMode::kStall);
  }
  const SteadyTime cut_at = std::chrono::steady_clock::now();
  const size_t next = m_cluster.AwaitLeader(old);
  REQUIRE(next < m_cluster.size());
  const auto change = ActNow(*link, MakeSettings(0, "after", 5));
  REQUIRE(change);
  CHECK(change->is_accepted);
  CHECK(Eventually([&] { return fresh.version() == change->version; }));
  CHECK_FALSE(ClaimNow(*lonely, MakeClaim("k"), Millis(500)));
  // Nothing asked after the cut can have been confirmed by a quorum.
  CHECK(stale.asked_at() <= cut_at);
  CHECK(stale.version() == 0);
  CHECK_FALSE(m_cluster.host(old).status().consensus.is_leader_confirmed);

  for (size_t i = 0; i < m_cluster.size(); ++i) {
    m_cluster.init(old).filter->Set(m_cluster.init(i).inner_address,
                                    CutMode::kNone);
  }
  const uint64_t term = m_cluster.host(next).status().consensus.term;
  CHECK(Eventually([&] { return AllApplied(m_cluster); }));
  CHECK(m_cluster.host(old).machine().settings_version() == change->version);
  CHECK(m_cluster.host(next).status().consensus.term == term);
  CHECK_FALSE(fresh.is_reverted());
}

TEST_CASE_FIXTURE(ClusterFixture,
                  "Cluster, lost disk, waits while no member answers") {
  m_cluster.StartAll();
  const size_t leader = m_cluster.AwaitLeader();
  REQUIRE(leader < m_cluster.size());
  const auto link = m_cluster.MakeLink("entry");
  REQUIRE(ClaimMany(*link, "a", 10) == 10);
  const size_t first = 0;  // The one that may make a first membership.
  const consensus::NodeId lost = m_cluster.host(first).status().consensus.self;
  for (size_t i = 0; i < m_cluster.size(); ++i) {
    m_cluster.Stop(i);
  }
  m_cluster.LoseDisk(first);
  m_cluster.Start(first);
  REQUIRE(Eventually(
      [&] { return !m_cluster.host(first).status().waits_for.empty(); }));
  const ControlStatus waiting = m_cluster.host(first).status();
  CHECK(waiting.is_waiting);
  CHECK(waiting.consensus.self != lost);
  CHECK(waiting.consensus.membership.members.empty());
  // One member is back: still no quorum, for the empty one does not vote.
  m_cluster.Start(1);
  REQUIRE(Eventually([&] {
    return m_cluster.host(first).status().waits_for.find("exists") !=
           std::string::npos;
  }));
  CHECK_FALSE(Eventually([&] { return m_cluster.Leader() < 3; }, Seconds(4)));
  m_cluster.Start(2);
  CHECK(m_cluster.AwaitLeader(first) < m_cluster.size());
}

TEST_CASE_FIXTURE(ClusterFixture,
                  "Cluster, disk lost twice in a row, repairs itself and "
                  "loses nothing") {
  // Small, so that the new identities catch up by snapshot.
  for (size_t i = 0; i < m_cluster.size(); ++i) {
    m_cluster.init(i).snapshot_every = 10;
  }
  m_cluster.StartAll();
  const auto link = m_cluster.MakeLink("entry");
  for (int i = 0; i < 40; ++i) {
    REQUIRE(ClaimNow(*link, MakeClaim("one" + std::to_string(i))));
  }
  REQUIRE(ClaimMany(*link, "a", 100) == 100);
  const size_t first = m_cluster.AwaitLeader();
  REQUIRE(first < m_cluster.size());
  for (const size_t lost : {(first + 1) % 3, (first + 2) % 3}) {
    const consensus::NodeId old = m_cluster.host(lost).status().consensus.self;
    m_cluster.Stop(lost);
    m_cluster.LoseDisk(lost);
    m_cluster.Start(lost);
    REQUIRE(Eventually([&] {
      const size_t leader = m_cluster.Leader();
      if (leader == m_cluster.size()) {
        return false;
      }
      const auto members =
          m_cluster.host(leader).status().consensus.membership.members;
      return members.size() == 3 && !members.contains(old) &&
             std::all_of(members.begin(), members.end(),
                         [](const auto& item) { return item.second.is_voter; });
    }));
  }
  CHECK(Eventually([&] { return AllApplied(m_cluster); }));
  m_cluster.Stop(first);
  REQUIRE(m_cluster.AwaitLeader(first) < m_cluster.size());
  for (int i = 0; i < 100; ++i) {
    state::ClaimCommand other = MakeClaim("a" + std::to_string(i));
    other.request_id = "other";
    const auto refused = ClaimNow(*link, other);
    REQUIRE(refused);
    CHECK(refused->verdict == state::ClaimVerdict::kInProgress);
  }
}

class FiveHostsFixture {
 protected:
  static size_t CountVoters(const consensus::Membership& membership) {
    return static_cast<size_t>(
        std::count_if(membership.members.begin(), membership.members.end(),
                      [](const auto& each) { return each.second.is_voter; }));
  }

  Cluster m_cluster{5};
};

TEST_CASE_FIXTURE(FiveHostsFixture,
                  "Cluster, a voter's disk lost, no pause between the steps "
                  "of its repair") {
  // Less than the second after which the leader's other duties come round.
  constexpr Millis kLongestEven{500};
  m_cluster.StartAll();
  const size_t leader = m_cluster.AwaitLeader();
  REQUIRE(leader < m_cluster.size());
  const size_t lost = (leader + 1) % m_cluster.size();
  REQUIRE(Eventually([&] {
    return m_cluster.host(lost).status().consensus.membership.members.size() ==
           m_cluster.size();
  }));
  const consensus::NodeId old = m_cluster.host(lost).status().consensus.self;
  m_cluster.Stop(lost);
  m_cluster.LoseDisk(lost);
  m_cluster.Start(lost);
  std::optional<SteadyTime> removed_at;
  REQUIRE(Eventually([&] {
    const auto membership =
        m_cluster.host(leader).status().consensus.membership;
    const bool is_removed = !membership.members.contains(old);
    if (is_removed && !removed_at) {
      removed_at = std::chrono::steady_clock::now();
    }
    return is_removed && CountVoters(membership) == m_cluster.size();
  }));
  CHECK(std::chrono::steady_clock::now() - *removed_at < kLongestEven);
}

TEST_CASE_FIXTURE(ClusterFixture,
                  "Cluster, leader's sync fails, it votes no more and the "
                  "others go on") {
  std::vector<std::unique_ptr<FailingFiles>> files;
  std::atomic<int> failures{0};
  for (size_t i = 0; i < m_cluster.size(); ++i) {
    files.push_back(std::make_unique<FailingFiles>());
    m_cluster.init(i).file_system = files.back().get();
    m_cluster.init(i).on_store_failed = [&](const std::string&) { ++failures; };
  }
  m_cluster.StartAll();
  const auto link = m_cluster.MakeLink("entry");
  REQUIRE(ClaimMany(*link, "a", 20) == 20);
  const size_t old = m_cluster.AwaitLeader();
  files[old]->FailSyncs();
  REQUIRE(ClaimMany(*link, "b", 20) == 20);
  CHECK(
      Eventually([&] { return m_cluster.host(old).status().is_store_failed; }));
  CHECK(m_cluster.AwaitLeader(old) < m_cluster.size());
  CHECK(failures == 1);
  for (size_t i = 0; i < m_cluster.size(); ++i) {
    m_cluster.Stop(i);
  }
}

TEST_CASE_FIXTURE(
    ClusterFixture,
    "Cluster, entry host dies with a claim, its key is of unknown "
    "outcome to others within the timeout") {
  for (size_t i = 0; i < m_cluster.size(); ++i) {
    m_cluster.init(i).session_timeout = Seconds(1);
  }
  m_cluster.StartAll();
  RecordingListener dying_views;
  RecordingListener living_views;
  auto dying = m_cluster.MakeLink("dying");
  const auto living = m_cluster.MakeLink("living");
  dying->Start(dying_views);
  living->Start(living_views);
  REQUIRE(Eventually([&] { return living_views.views() > 0; }));
  state::ClaimCommand claim = MakeClaim("k");
  claim.owner = {"dying", 1};
  const auto granted = ClaimNow(*dying, claim);
  REQUIRE(granted);
  CHECK(granted->verdict == state::ClaimVerdict::kGranted);
  dying.reset();
  state::ClaimCommand resend = MakeClaim("k");
  resend.owner = {"living", 1};
  resend.request_id = "resend";
  CHECK(Eventually([&] {
    const auto heard = ClaimNow(*living, resend);
    return heard && heard->verdict == state::ClaimVerdict::kOutcomeUnknown;
  }));
  // A copy of a claim of the dead one, late: it locks no key.
  claim = MakeClaim("late");
  claim.owner = {"dying", 1};
  REQUIRE(ClaimNow(*living, claim));
  resend.key = claim.key;
  const auto first = ClaimNow(*living, resend);
  REQUIRE(first);
  CHECK(first->verdict == state::ClaimVerdict::kGranted);
}

// Answers with the settings version, and commits what it is told to.
class EchoOperators : public OperatorService {
 public:
  void Handle(const std::string& method,
              const std::string& path,
              const std::string& body,
              const state::Machine& machine,
              const ControlStatus& status,
              const Commit& commit,
              std::function<void(OperatorReply)> done) override {
    const std::string leader = status.leader_name;
    if (method == "GET") {
      done({200, leader + " " + std::to_string(machine.settings_version())});
      return;
    }
    commit({MakeSettings(0, path, std::stoi(body))},
           [done, leader](const auto& results) {
             const bool is_known = results && results->size() == 1;
             done({is_known ? 200 : 503, leader});
           });
  }
};

TEST_CASE_FIXTURE(ClusterFixture,
                  "Cluster, operator asks a follower, the leader answers") {
  m_cluster.m_make_operators = [] { return std::make_unique<EchoOperators>(); };
  m_cluster.StartAll();
  const size_t leader = m_cluster.AwaitLeader();
  REQUIRE(leader < m_cluster.size());
  const size_t follower = (leader + 1) % m_cluster.size();
  const auto link = m_cluster.MakeLinkTo("operator", follower);
  const auto ask = [&](const std::string& method, const std::string& body) {
    std::promise<OperatorReply> reply;
    link->Operate(
        method, "id", body, std::chrono::steady_clock::now() + kCap,
        [&](const OperatorReply& answer) { reply.set_value(answer); });
    return reply.get_future().get();
  };
  CHECK(ask("POST", "4").status == 200);
  const OperatorReply reply = ask("GET", "");
  CHECK(reply.status == 200);
  CHECK(reply.body == m_cluster.init(leader).name + " 1");
}

// Counts settings versions up to five, one a step.
class CountingDuty : public LeaderDuty {
 public:
  explicit CountingDuty(std::atomic<int>& early) : m_early(early) {}

  std::vector<state::Command> Step(const state::Machine& machine,
                                   const LeaderView& /*view*/) override {
    const uint64_t version = machine.settings_version();
    m_early += version < m_proposed ? 1 : 0;
    if (version >= 5) {
      return {};
    }
    m_proposed = version + 1;
    return {MakeSettings(version, "duty-" + std::to_string(version),
                         static_cast<int>(version))};
  }

 private:
  std::atomic<int>& m_early;
  uint64_t m_proposed = 0;
};

TEST_CASE_FIXTURE(ClusterFixture,
                  "Cluster, leader's duty, each step sees what the last one "
                  "committed") {
  std::atomic<int> early{0};
  m_cluster.m_make_duties = [&early] {
    std::vector<std::unique_ptr<LeaderDuty>> duties;
    duties.push_back(std::make_unique<CountingDuty>(early));
    return duties;
  };
  m_cluster.StartAll();
  for (size_t i = 0; i < m_cluster.size(); ++i) {
    CHECK(Eventually(
        [&] { return m_cluster.host(i).machine().settings_version() == 5; }));
  }
  CHECK(early == 0);
}

TEST_CASE_FIXTURE(ClusterFixture,
                  "Cluster, caller without the key, is not served") {
  m_cluster.StartAll();
  REQUIRE(m_cluster.AwaitLeader() < m_cluster.size());
  ControlClientInit init;
  init.cluster = "test";
  init.cluster_key = "guess";
  init.identity = {"stranger", 1};
  init.control_addresses = {m_cluster.init(0).inner_address,
                            m_cluster.init(1).inner_address,
                            m_cluster.init(2).inner_address};
  const auto link = MakeControlClient(init);
  CHECK_FALSE(ClaimNow(*link, MakeClaim("k"), Seconds(2)));
  CHECK_FALSE(m_cluster.host(0).machine().FindClaim(MakeClaim("k").key));
}

// Failed first: what was asked of hosts that were gone by then seemed to have
// been carried out, for all the caller knew.
TEST_CASE("Client, control hosts silent for a while, a request was not sent") {
  Cluster cluster(3);
  cluster.StartAll();
  REQUIRE(cluster.AwaitLeader() < cluster.size());
  const auto link = cluster.MakeLink("entry");
  const auto may_have_run = [&link] {
    std::promise<bool> outcome;
    link->AskSchedule({"", std::chrono::steady_clock::now() + Millis(900)},
                      [&](const auto&, bool may) { outcome.set_value(may); });
    return outcome.get_future().get();
  };
  may_have_run();
  for (size_t i = 0; i < cluster.size(); ++i) {
    cluster.Cut(i, CutMode::kStall);
  }
  std::this_thread::sleep_for(Millis(400));
  CHECK(!may_have_run());
}

/// Never answers what it hears first.
class SilentOnce final : public scheduling::LogService {
 public:
  void Attach(scheduling::ReplicatedLog&) override {}
  void OnLeadershipGained(uint64_t) override {}
  void OnLeadershipLost() override {}
  void Handle(std::string, std::function<void(std::string)> done) override {
    if (m_heard++ > 0) {
      done("nothing was done");
    }
  }

 private:
  std::atomic<int> m_heard{0};
};

// Failed first: the second try's answer was handed on as if it spoke for the
// first one too, which a later leader carried out.
TEST_CASE("Client, try without an answer, is told before another one") {
  SilentOnce service;
  Cluster cluster(1);
  cluster.init(0).schedule = &service;
  cluster.StartAll();
  REQUIRE(cluster.AwaitLeader() < cluster.size());
  const auto link = cluster.MakeLink("entry");
  std::promise<std::pair<bool, bool>> outcome;
  link->AskSchedule({"", std::chrono::steady_clock::now() + Seconds(20)},
                    [&](const auto& text, bool may_have_run) {
                      outcome.set_value({text.has_value(), may_have_run});
                    });
  const auto [has_answer, may_have_run] = outcome.get_future().get();
  CHECK_FALSE(has_answer);
  CHECK(may_have_run);
}

}  // namespace
}  // namespace laurelhall::control
