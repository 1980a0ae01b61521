#include <doctest/doctest.h>

#include <fstream>
#include <future>

#include "cluster_fixture.h"
#include "envelope_p.h"
#include "inner_tls_p.h"
#include "laurelhall/base/finding.h"
#include "rpc_channel_p.h"
#include "test_certificates.h"

namespace laurelhall::control {
namespace {

// How long a call that must fail is given to go wrong by succeeding.
constexpr Millis kFailingCall{1'500};

class InnerTlsFixture {
 protected:
  InnerTlsFixture() {
    for (size_t i = 0; i < m_cluster.size(); ++i) {
      m_cluster.init(i).tls = m_authority.Make(m_cluster.init(i).name, true);
    }
    m_cluster.StartAll();
    REQUIRE(m_cluster.AwaitLeader() < m_cluster.size());
  }

  // Whether a daemon of this name, key and certificate commits a claim.
  bool Commits(const std::string& name,
               const InnerTlsFiles& files,
               Millis patience,
               const std::string& key = "secret") {
    ControlClientInit init;
    init.cluster = "test";
    init.cluster_key = key;
    init.identity = {name, 1};
    for (size_t i = 0; i < m_cluster.size(); ++i) {
      init.control_addresses.push_back(m_cluster.init(i).inner_address);
    }
    init.tls = files;
    const auto link = MakeControlClient(init);
    const std::string claim = "claim-" + std::to_string(++m_claims);
    return ClaimNow(*link, MakeClaim(claim), patience).has_value();
  }

  // What the first host answers to a call; empty when it takes it.
  std::string ErrorOf(const InnerTlsFiles& files, RpcChannel::Call call) {
    InnerTls tls(files, "test");
    std::promise<std::string> error;
    const LoopThread thread(
        [&](kj::AsyncIoContext& io, LoopContext& loop, kj::Promise<void>) {
          loop.tls = &tls;
          RpcChannel channel(loop, m_cluster.init(0).inner_address, nullptr);
          channel.Run(kCap, kj::mv(call))
              .then([&] { error.set_value(""); },
                    [&](kj::Exception&& failed) {
                      error.set_value(failed.getDescription().cStr());
                    })
              .wait(io.waitScope);
        });
    return error.get_future().get();
  }

  static RpcChannel::Call Step(const std::string& sender) {
    return [sender](proto::ControlHost::Client& client) {
      auto request = client.stepRequest();
      EnvelopeInfo{{"test", "secret"}, sender}.Fill(request.initEnvelope());
      return request.send().ignoreResult();
    };
  }

  static RpcChannel::Call HelloAs(const std::string& name) {
    return [name](proto::ControlHost::Client& client) {
      auto request = client.helloRequest();
      EnvelopeInfo{{"test", "secret"}, name}.Fill(request.initEnvelope());
      request.initHello().setName(name);
      return request.send().ignoreResult();
    };
  }

  TestAuthority m_authority;
  TestAuthority m_stranger;
  Cluster m_cluster{3};
  int m_claims = 0;
};

TEST_CASE_FIXTURE(InnerTlsFixture,
                  "ControlHost, peers verified both ways, serves only those") {
  const InnerTlsFiles entry = m_authority.Make("entry-1", false);
  CHECK(Commits("entry-1", entry, kCap));
  CHECK_FALSE(Commits("entry-1", {}, kFailingCall));
  CHECK_FALSE(Commits("entry-1", entry, kFailingCall, "another key"));

  InnerTlsFiles strange = m_stranger.Make("entry-1", false);
  CHECK_FALSE(Commits("entry-1", strange, kFailingCall));
  strange.ca_file = entry.ca_file;
  CHECK_FALSE(Commits("entry-1", strange, kFailingCall));
}

TEST_CASE_FIXTURE(InnerTlsFixture,
                  "ControlHost, certificate of another role or name, refuses") {
  const InnerTlsFiles entry = m_authority.Make("entry-1", false);
  const InnerTlsFiles control = m_authority.Make("control-1", true);
  CHECK_FALSE(Commits("entry-2", entry, kFailingCall));
  CHECK(ErrorOf(control, Step("control-1")) == "");
  CHECK(ErrorOf(entry, Step("control-1")).find("no control host's") !=
        std::string::npos);
  CHECK(ErrorOf(control, HelloAs("control-2")).find("another daemon") !=
        std::string::npos);
}

TEST_CASE_FIXTURE(InnerTlsFixture,
                  "ControlClient, host of another authority, does not call") {
  InnerTlsFiles entry = m_authority.Make("entry-1", false);
  entry.ca_file = m_stranger.ca_file();
  CHECK_FALSE(Commits("entry-1", entry, kFailingCall));
}

class KeyReloadFixture {
 protected:
  KeyReloadFixture() {
    m_cluster.init(0).tls = m_files;
    m_cluster.StartAll();
    REQUIRE(m_cluster.AwaitLeader() < m_cluster.size());
  }

  static void Replace(const std::string& file, const std::string& by) {
    std::filesystem::copy_file(
        by, file, std::filesystem::copy_options::overwrite_existing);
    // Two writes within a tick of the file system's clock look like one.
    static int s_seconds = 0;
    std::filesystem::last_write_time(
        file, std::filesystem::file_time_type::clock::now() +
                  std::chrono::seconds(++s_seconds));
  }

  bool Commits(const TestAuthority& authority, Millis patience) {
    ControlClientInit init;
    init.cluster = "test";
    init.cluster_key = "secret";
    init.identity = {"entry-1", 1};
    init.control_addresses = {m_cluster.init(0).inner_address};
    init.tls = authority.Make("entry-1", false);
    const auto link = MakeControlClient(init);
    return ClaimNow(*link, MakeClaim("claim-" + std::to_string(++m_claims)),
                    patience)
        .has_value();
  }

  TestAuthority m_old;
  TestAuthority m_new;
  InnerTlsFiles m_files = m_old.Make("control-0", true);
  Cluster m_cluster{1};
  int m_claims = 0;
};

TEST_CASE_FIXTURE(KeyReloadFixture,
                  "ControlHost, keys replaced, uses them for new connections") {
  CHECK(Commits(m_old, kCap));
  const InnerTlsFiles made = m_new.Make("control-0", true);
  Replace(m_files.certificate_file, made.certificate_file);
  CHECK(Commits(m_old, kCap));  // The key does not fit yet.
  Replace(m_files.key_file, made.key_file);
  Replace(m_files.ca_file, made.ca_file);
  CHECK(Commits(m_new, kCap));
  std::ofstream(m_files.key_file) << "-----BEGIN PRIV";
  CHECK(Commits(m_new, kCap));
}

TEST_CASE_FIXTURE(KeyReloadFixture,
                  "ControlHost, key of another certificate, does not start") {
  m_cluster.Stop(0);
  Replace(m_files.key_file, m_new.Make("control-0", true).key_file);
  CHECK_THROWS_AS(m_cluster.Start(0), FindingsError);
}

}  // namespace
}  // namespace laurelhall::control
