#pragma once

#include <capnp/message.h>
#include <capnp/serialize-async.h>
#include <kj/async-io.h>
#include <kj/timer.h>

#include <vector>

#include "buffered_stream_p.h"
#include "laurelhall/base/time.h"

namespace laurelhall::control {

/// The messages of one RPC connection. Messages that nobody waits for, which
/// release the results of calls at the other end, share a write with the next
/// message. A message that is buffered whole is read without further turns of
/// the loop.
///
/// @remarks On the loop's thread only.
class RpcMessageStream final : public capnp::MessageStream,
                               private kj::TaskSet::ErrorHandler {
 public:
  /// @param gate As for BufferedStream.
  RpcMessageStream(kj::Own<kj::AsyncIoStream> inner,
                   kj::Timer& timer,
                   TurnGate* gate = nullptr);

  /// The bytes below.
  BufferedStream& bytes() { return m_bytes; }
  const BufferedStream& bytes() const { return m_bytes; }

  kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>> tryReadMessage(
      kj::ArrayPtr<kj::AutoCloseFd> fd_space,
      capnp::ReaderOptions options,
      kj::ArrayPtr<capnp::word> scratch_space) override;

  /// @returns Done once the message is handed to the operating system, or at
  ///   once if it may wait for the next one.
  kj::Promise<void> writeMessage(
      kj::ArrayPtr<const int> fds,
      kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments) override;
  kj::Promise<void> writeMessages(
      kj::ArrayPtr<kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>>>
          messages) override;

  /// The size is not known, as only some transports have one.
  kj::Maybe<int> getSendBufferSize() override { return nullptr; }

  kj::Promise<void> end() override;

  /// How long a message waits for the next one at most. Until then the other
  /// end keeps the results of the calls that have ended.
  static constexpr Millis kMaxWait{100};

 private:
  using Segments = kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>>;

  void taskFailed(kj::Exception&& exception) override;
  kj::Maybe<kj::Own<capnp::MessageReader>> TakeWhole(
      capnp::ReaderOptions options);
  static bool MayWait(Segments segments);
  void Append(Segments segments);
  kj::Promise<void> Flush();
  void FlushLater();

  kj::Timer& m_timer;
  BufferedStream m_bytes;
  capnp::AsyncIoMessageStream m_messages{m_bytes};
  std::vector<kj::byte> m_waiting;  // Not handed over yet.
  bool m_is_flush_due = false;
  bool m_is_writing = false;
  kj::Maybe<kj::Exception> m_error;  // Of a write that nobody waited for.
  kj::TaskSet m_tasks;
};

}  // namespace laurelhall::control
