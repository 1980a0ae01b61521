#include "rpc_channel_p.h"

#include <doctest/doctest.h>

#include <string>
#include <utility>

#include "cluster_fixture.h"

namespace laurelhall::control {
namespace {

// A network that cannot look up its first address.
class FailingNetwork final : public kj::Network {
 public:
  explicit FailingNetwork(kj::Network& inner) : m_inner(inner) {}

  kj::Promise<kj::Own<kj::NetworkAddress>> parseAddress(
      kj::StringPtr address,
      kj::uint port) override {
    if (std::exchange(m_is_failing, false)) {
      return KJ_EXCEPTION(FAILED, "the name is not found");
    }
    return m_inner.parseAddress(address, port);
  }
  kj::Own<kj::NetworkAddress> getSockaddr(const void* address,
                                          kj::uint size) override {
    return m_inner.getSockaddr(address, size);
  }
  kj::Own<kj::Network> restrictPeers(
      kj::ArrayPtr<const kj::StringPtr> allow,
      kj::ArrayPtr<const kj::StringPtr> deny) override {
    return m_inner.restrictPeers(allow, deny);
  }

 private:
  kj::Network& m_inner;
  bool m_is_failing = true;
};

class RpcChannelFixture {
 protected:
  bool Call() {
    const auto nothing = [](proto::ControlHost::Client&) -> kj::Promise<void> {
      return kj::READY_NOW;
    };
    return m_channel.Run(Seconds(10), nothing)
        .then([] { return true; }, [](kj::Exception&&) { return false; })
        .wait(m_io.waitScope);
  }

  kj::AsyncIoContext m_io = kj::setupAsyncIo();
  kj::Own<kj::ConnectionReceiver> m_receiver = m_io.provider->getNetwork()
                                                   .parseAddress("127.0.0.1")
                                                   .wait(m_io.waitScope)
                                                   ->listen();
  FailingNetwork m_network{m_io.provider->getNetwork()};
  RpcChannel m_channel{
      LoopContext{m_network, m_io.provider->getTimer(), nullptr},
      "127.0.0.1:" + std::to_string(m_receiver->getPort()), nullptr};
};

TEST_CASE_FIXTURE(RpcChannelFixture,
                  "RpcChannel, name not found at first, connects later") {
  CHECK_FALSE(Call());
  CHECK(Eventually([this] { return Call(); }, Seconds(10)));
}

}  // namespace
}  // namespace laurelhall::control
