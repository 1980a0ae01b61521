#pragma once

#include <kj/async-io.h>

#include <array>
#include <memory>

#include "laurelhall/base/time.h"
#include "turn_gate_p.h"

namespace laurelhall::control {

/// A connection that reads ahead: a message of the inner protocol is a head and
/// a body, which would cost a read each. Tells when the other end was heard of
/// last, and may take turns with other connections.
///
/// @remarks On the loop's thread only.
class BufferedStream final : public kj::AsyncIoStream {
 public:
  /// @param gate Where what was read takes its turn, but for the first reads:
  ///   what they bring may tell that the other end is a peer. Null: none does.
  ///   Else it outlives this.
  explicit BufferedStream(kj::Own<kj::AsyncIoStream> inner,
                          TurnGate* gate = nullptr);

  /// When bytes of the other end came last; zero: none yet.
  SteadyTime heard_at() const { return m_heard_at; }

  /// Reads into the buffer if it is empty. It stays empty at the end of input.
  kj::Promise<void> Fill();

  /// What is read ahead. Valid until the next call of a function that reads.
  kj::ArrayPtr<const kj::byte> buffered() const {
    return {m_buffer->data() + m_begin, m_buffer->data() + m_end};
  }

  /// Takes bytes out of the buffer.
  ///
  /// @pre So many are buffered.
  void Skip(size_t bytes) { m_begin += bytes; }

  /// From now on what is read does not wait for others.
  void LeaveGate() { m_gate = nullptr; }

  kj::Promise<size_t> tryRead(void* buffer, size_t least, size_t most) override;
  kj::Promise<void> write(const void* buffer, size_t size) override;
  kj::Promise<void> write(
      kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override;
  kj::Promise<void> whenWriteDisconnected() override;
  void shutdownWrite() override { m_inner->shutdownWrite(); }
  void abortRead() override { m_inner->abortRead(); }
  void getsockopt(int level, int option, void* value, kj::uint* size) override;
  void setsockopt(int level,
                  int option,
                  const void* value,
                  kj::uint size) override;
  void getsockname(struct sockaddr* address, kj::uint* size) override;
  void getpeername(struct sockaddr* address, kj::uint* size) override;
  kj::Maybe<int> getFd() const override { return m_inner->getFd(); }

 private:
  /// Holds most messages of callers whole.
  static constexpr size_t kBufferBytes = 2'048;
  /// The bootstrap of a connection, and its first call.
  static constexpr int kFreeReads = 2;

  size_t TakeBuffered(kj::byte* out, size_t most);
  kj::Promise<size_t> ReadMore(kj::byte* out,
                               size_t taken,
                               size_t least,
                               size_t most);
  kj::Promise<void> TakeTurn();

  kj::Own<kj::AsyncIoStream> m_inner;
  TurnGate* m_gate;
  int m_reads = 0;  // Up to kFreeReads.
  SteadyTime m_heard_at{};
  std::unique_ptr<std::array<kj::byte, kBufferBytes>> m_buffer;
  size_t m_begin = 0;  // Of what is read and not yet taken.
  size_t m_end = 0;
};

}  // namespace laurelhall::control
