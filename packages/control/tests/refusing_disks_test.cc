// Guards against control hosts that are lost for good to a disk that refuses
// writes for a moment: they leave the quorum and come back to it in the same
// process.

#include <doctest/doctest.h>

#include <array>

#include "cluster_fixture.h"
#include "refusing_files.h"

namespace laurelhall::control {
namespace {

class RefusingDisksFixture {
 protected:
  RefusingDisksFixture() {
    for (size_t i = 0; i < m_cluster.size(); ++i) {
      m_cluster.init(i).file_system = &m_files.at(i);
    }
  }
  ~RefusingDisksFixture() {
    m_link.reset();
    for (size_t i = 0; i < m_cluster.size(); ++i) {
      m_cluster.Stop(i);  // Before its files.
    }
  }

  void Start(uint64_t snapshot_every = 20'000) {
    for (size_t i = 0; i < m_cluster.size(); ++i) {
      m_cluster.init(i).snapshot_every = snapshot_every;
    }
    m_cluster.StartAll();
    m_link = m_cluster.MakeLink("entry");
    REQUIRE(CommitsSome());
  }

  bool IsOut(size_t i) { return m_cluster.host(i).status().is_store_failed; }

  bool CommitsSome(int count = 10) {
    for (int i = 0; i < count; ++i) {
      if (!ClaimNow(*m_link, MakeClaim("k" + std::to_string(m_keys++)))) {
        return false;
      }
    }
    return true;
  }

  /// What is committed reaches each disk, the refusing one too.
  void RefuseUntilOut(size_t i) {
    m_files.at(i).Refuse();
    REQUIRE(CommitsSome(1));
    REQUIRE(Eventually([&] { return IsOut(i); }));
  }

  bool IsBack(size_t i) {
    const ControlStatus status = m_cluster.host(i).status();
    const auto& members = status.consensus.membership.members;
    const auto self = members.find(status.consensus.self);
    return !status.is_store_failed && !status.leader_name.empty() &&
           self != members.end() && self->second.is_voter;
  }

  bool AllHoldTheSame() {
    const uint64_t digest = m_cluster.host(0).machine().Digest();
    for (size_t i = 1; i < m_cluster.size(); ++i) {
      if (m_cluster.host(i).machine().Digest() != digest) {
        return false;
      }
    }
    return true;
  }

  void RefuseInTurn() {
    for (size_t i = 0; i < m_cluster.size(); ++i) {
      CAPTURE(i);
      const auto self = m_cluster.host(i).status().consensus.self;
      RefuseUntilOut(i);
      REQUIRE(CommitsSome());
      m_files.at(i).Accept();
      REQUIRE(Eventually([&] { return IsBack(i); }));
      CHECK(m_cluster.host(i).status().consensus.self == self);
    }
    REQUIRE(CommitsSome());
    CHECK(Eventually([&] { return AllHoldTheSame(); }));
  }

  std::array<RefusingFiles, 3> m_files;
  Cluster m_cluster{3};
  std::unique_ptr<ControlLink> m_link;
  int m_keys = 0;
};

TEST_CASE_FIXTURE(RefusingDisksFixture,
                  "Control group, disks refuse writes in turn, all vote again "
                  "afterwards") {
  Start();
  RefuseInTurn();
}

TEST_CASE_FIXTURE(
    RefusingDisksFixture,
    "Control group, disks refuse writes in turn beside snapshots, "
    "all hold the same afterwards") {
  Start(3);
  RefuseInTurn();
}

TEST_CASE_FIXTURE(RefusingDisksFixture,
                  "Control group, all disks fill at once, commits again once "
                  "they take writes") {
  Start();
  for (RefusingFiles& files : m_files) {
    files.Refuse();
  }
  // Nobody can commit it, but all try to save it or a vote.
  const auto unknown = ClaimNow(*m_link, MakeClaim("lost"), Millis(300));
  CHECK_FALSE(unknown);
  REQUIRE(Eventually([&] { return IsOut(0) && IsOut(1) && IsOut(2); }));
  for (RefusingFiles& files : m_files) {
    files.Accept();
  }
  REQUIRE(CommitsSome());
  CHECK(Eventually([&] { return AllHoldTheSame(); }));
}

TEST_CASE_FIXTURE(RefusingDisksFixture,
                  "Control host, disk refuses the leader's snapshot, installs "
                  "it later") {
  Start(3);
  const size_t host = (m_cluster.AwaitLeader() + 1) % m_cluster.size();
  m_cluster.Stop(host);
  REQUIRE(CommitsSome(30));
  m_cluster.init(host).snapshot_every = 20'000;  // Saves none of its own.
  m_files.at(host).RefuseSnapshots();
  m_cluster.Start(host);
  REQUIRE(Eventually([&] { return IsOut(host); }));
  m_files.at(host).Accept();
  REQUIRE(Eventually([&] { return IsBack(host); }));
  REQUIRE(CommitsSome());
  CHECK(Eventually([&] { return AllHoldTheSame(); }));
}

TEST_CASE_FIXTURE(RefusingDisksFixture,
                  "Control host, store fails three times soon after another, "
                  "told as unfit") {
  Start();
  const size_t host = (m_cluster.AwaitLeader() + 1) % m_cluster.size();
  for (uint64_t failures = 1; failures <= 3; ++failures) {
    CHECK_FALSE(m_cluster.host(host).status().is_store_unfit);
    RefuseUntilOut(host);
    m_files.at(host).Accept();
    REQUIRE(Eventually([&] { return IsBack(host); }));
    CHECK(m_cluster.host(host).status().counters.store_failures == failures);
  }
  CHECK(
      Eventually([&] { return m_cluster.host(host).status().is_store_unfit; }));
}

}  // namespace
}  // namespace laurelhall::control
