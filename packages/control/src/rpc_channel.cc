#include "rpc_channel_p.h"

#include <algorithm>
#include <utility>

#include "inner_tls_p.h"
#include "laurelhall/base/log.h"

namespace laurelhall::control {

namespace {

constexpr Millis kFirstBackoff{20};
constexpr Millis kLongestBackoff{500};

kj::Exception Unreachable(const std::string& why) {
  return kj::Exception(kj::Exception::Type::DISCONNECTED, __FILE__, __LINE__,
                       kj::heapString(why.c_str()));
}

}  // namespace

RpcChannel::Connection::Connection(kj::Own<kj::AsyncIoStream> stream,
                                   kj::Timer& timer)
    : m_stream(kj::mv(stream), timer),
      m_network(m_stream, capnp::rpc::twoparty::Side::CLIENT),
      m_rpc(capnp::makeRpcClient(m_network)),
      m_client(Bootstrap()) {}

proto::ControlHost::Client RpcChannel::Connection::Bootstrap() {
  capnp::MallocMessageBuilder message;
  auto server = message.initRoot<capnp::rpc::twoparty::VatId>();
  server.setSide(capnp::rpc::twoparty::Side::SERVER);
  return m_rpc.bootstrap(server).castAs<proto::ControlHost>();
}

RpcChannel::RpcChannel(LoopContext loop,
                       std::string address,
                       std::shared_ptr<ConnectionFilter> filter)
    : m_loop(std::move(loop)),
      m_address(std::move(address)),
      m_filter(std::move(filter)) {}

kj::Promise<void> RpcChannel::Run(Millis timeout, Call call) {
  const CutMode mode = m_filter ? m_filter->Get(m_address) : CutMode::kNone;
  if (mode == CutMode::kRefuse) {
    Drop();
    return Unreachable("refused by the connection filter");
  }
  // Not a failure of its own: counted as one, frequent calls would put off
  // the next attempt for ever.
  if (IsBackingOff()) {
    return Unreachable("waits before it connects again");
  }
  kj::Promise<void> done = kj::NEVER_DONE;
  if (mode != CutMode::kStall) {
    // What connecting throws at once is a failure like any other.
    done = kj::evalNow([&] { return RunConnected(kj::mv(call)); });
  }
  const SteadyTime begun = std::chrono::steady_clock::now();
  return m_loop.timer.timeoutAfter(ToKj(timeout), kj::mv(done))
      .catch_([this, begun](kj::Exception&& error) -> kj::Promise<void> {
        const auto type = error.getType();
        const bool is_late = type == kj::Exception::Type::OVERLOADED;
        const bool is_alive = is_late && HasHeardSince(begun);
        if (type != kj::Exception::Type::FAILED && !is_alive) {
          Drop();
        }
        return kj::mv(error);
      });
}

kj::Promise<void> RpcChannel::RunConnected(Call call) {
  return Connect().then(
      [call = kj::mv(call)](kj::Own<Connection>&& connection) mutable {
        auto called = connection->m_canceler.wrap(call(connection->m_client));
        return called.attach(kj::mv(connection));
      });
}

bool RpcChannel::HasHeardSince(SteadyTime time) const {
  KJ_IF_MAYBE (connection, m_connection) {
    return (*connection)->m_stream.bytes().heard_at() >= time;
  }
  return false;
}

bool RpcChannel::IsBackingOff() const {
  return m_connection == nullptr && m_connecting == nullptr &&
         std::chrono::steady_clock::now() < m_retry_at;
}

kj::Promise<kj::Own<RpcChannel::Connection>> RpcChannel::Connect() {
  KJ_IF_MAYBE (connection, m_connection) {
    return kj::addRef(**connection);
  }
  if (m_connecting == nullptr) {
    m_connecting = Open().fork();
  }
  return KJ_ASSERT_NONNULL(m_connecting)
      .addBranch()
      .then([this]() -> kj::Promise<kj::Own<Connection>> {
        KJ_IF_MAYBE (connection, m_connection) {
          return kj::addRef(**connection);
        }
        return Unreachable("connection lost");
      });
}

kj::Promise<void> RpcChannel::Open() {
  return m_loop.network.parseAddress(m_address.c_str())
      .then([](kj::Own<kj::NetworkAddress>&& address) {
        auto connected = address->connect();
        return connected.attach(kj::mv(address));
      })
      .then([this](kj::Own<kj::AsyncIoStream>&& stream) {
        return Verify(kj::mv(stream));
      })
      .then([this](kj::Own<kj::AsyncIoStream>&& stream) {
        m_connection = kj::refcounted<Connection>(kj::mv(stream), m_loop.timer);
        m_backoff = Millis(0);
      })
      // Whatever the cause, tried again: a failure of another type would pass
      // for the peer's answer, and this one be kept for ever.
      .catch_([](kj::Exception&& error) -> kj::Promise<void> {
        return Unreachable(error.getDescription().cStr());
      });
}

kj::Promise<kj::Own<kj::AsyncIoStream>> RpcChannel::Verify(
    kj::Own<kj::AsyncIoStream> stream) {
  if (m_loop.tls == nullptr) {
    return kj::mv(stream);
  }
  return m_loop.tls->Connect(kj::mv(stream))
      .catch_([this](kj::Exception&& error)
                  -> kj::Promise<kj::Own<kj::AsyncIoStream>> {
        PartLog("control")->warn("{} is not verified: {}.", m_address,
                                 error.getDescription().cStr());
        return Unreachable("not verified by its certificate");
      });
}

void RpcChannel::Drop() {
  m_connecting = nullptr;
  KJ_IF_MAYBE (connection, m_connection) {
    kj::Own<Connection> dropped = kj::mv(*connection);
    m_connection = nullptr;
    dropped->m_canceler.cancel("connection dropped");
    return;
  }
  m_backoff = std::clamp(m_backoff * 2, kFirstBackoff, kLongestBackoff);
  m_retry_at = std::chrono::steady_clock::now() + m_backoff;
}

}  // namespace laurelhall::control
