#pragma once

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <memory>
#include <string>

#include "laurelhall.capnp.h"
#include "laurelhall/control/connection_filter.h"
#include "loop_thread_p.h"

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
  ///   timeout also drops the connection, with all other calls on it.
  kj::Promise<void> Run(Millis timeout, Call call);

  const std::string& address() const { return m_address; }

 private:
  struct Connection : kj::Refcounted {
    explicit Connection(kj::Own<kj::AsyncIoStream> stream);

    kj::Own<kj::AsyncIoStream> m_stream;
    capnp::TwoPartyClient m_rpc;
    proto::ControlHost::Client m_client;
    kj::Canceler m_canceler;  // Ends the calls of a dropped connection.
  };

  bool IsBackingOff() const;
  kj::Promise<kj::Own<Connection>> Connect();
  kj::Promise<void> Open();
  kj::Promise<kj::Own<kj::AsyncIoStream>> Verify(
      kj::Own<kj::AsyncIoStream> stream);
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
