#pragma once

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <memory>
#include <string>

#include "laurelhall.capnp.h"
#include "laurelhall/control/connection_filter.h"
#include "loop_thread_p.h"
#include "rpc_message_stream_p.h"

namespace laurelhall::control {

/// A connection to one control host, made when needed and made anew when lost.
///
/// @remarks On the loop's thread only. Outlives the promises of its calls.
class RpcChannel {
 public:
  using Call = kj::Function<kj::Promise<void>(proto::ControlHost::Client&)>;

  /// @param filter May be null.
  RpcChannel(LoopContext loop,
             std::string address,
             std::shared_ptr<ConnectionFilter> filter);

  /// Runs a call; the promise fails when it fails or takes too long.
  ///
  /// @remarks A peer that is cut off leaves calls pending for ever, so a
  ///   timeout also drops the connection, with all other calls on it, unless
  ///   the peer was heard of since the call began: then it is late, not gone,
  ///   and a new connection would only add to what it has to do.
  kj::Promise<void> Run(Millis timeout, Call call);

  /// Whether bytes of the peer have come over the present connection since.
  bool HasHeardSince(SteadyTime time) const;

  const std::string& address() const { return m_address; }

 private:
  struct Connection : kj::Refcounted {
    Connection(kj::Own<kj::AsyncIoStream> stream, kj::Timer& timer);

    proto::ControlHost::Client Bootstrap();

    RpcMessageStream m_stream;
    capnp::TwoPartyVatNetwork m_network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> m_rpc;
    proto::ControlHost::Client m_client;
    kj::Canceler m_canceler;  // Ends the calls of a dropped connection.
  };

  bool IsBackingOff() const;
  kj::Promise<kj::Own<Connection>> Connect();
  kj::Promise<void> Open();
  kj::Promise<kj::Own<kj::AsyncIoStream>> Verify(
      kj::Own<kj::AsyncIoStream> stream);
  kj::Promise<void> RunConnected(Call call);
  void Drop();

  LoopContext m_loop;
  std::string m_address;
  std::shared_ptr<ConnectionFilter> m_filter;
  kj::Maybe<kj::Own<Connection>> m_connection;
  kj::Maybe<kj::ForkedPromise<void>> m_connecting;
  Millis m_backoff{0};
  SteadyTime m_retry_at{};
};

}  // namespace laurelhall::control
