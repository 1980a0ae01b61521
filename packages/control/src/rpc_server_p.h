#pragma once

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include "accept_loop_p.h"
#include "host_loop_p.h"
#include "inner_tls_p.h"
#include "laurelhall.capnp.h"
#include "rpc_message_stream_p.h"

namespace laurelhall::control {

/// Accepts connections of the inner protocol and answers its calls.
///
/// @remarks On the loop's thread only. Calls from another cluster, with
///   another schema version or without the key are refused by name; with TLS
///   also those that the caller's certificate does not speak for.
class RpcListener final : private kj::TaskSet::ErrorHandler {
 public:
  /// @param host Outlives this.
  RpcListener(LoopContext loop,
              HostLoop& host,
              kj::Own<kj::ConnectionReceiver> receiver);

 private:
  void taskFailed(kj::Exception&& exception) override;
  void Take(kj::Own<kj::AsyncIoStream> stream);
  void TellRefused();
  kj::Promise<VerifiedStream> Verify(kj::Own<kj::AsyncIoStream> stream);
  kj::Promise<void> Serve(VerifiedStream verified);

  LoopContext m_loop;
  HostLoop& m_host;
  TurnGate m_gate;
  size_t m_connections = 0;
  uint64_t m_refused = 0;  // Since it was told last.
  SteadyTime m_next_tell{};
  kj::TaskSet m_tasks;
  AcceptLoop m_accept;  // Last: it ends before what it uses.
};

}  // namespace laurelhall::control
