#include "buffered_stream_p.h"

#include <algorithm>
#include <cstring>

namespace laurelhall::control {

BufferedStream::BufferedStream(kj::Own<kj::AsyncIoStream> inner, TurnGate* gate)
    : m_inner(kj::mv(inner)),
      m_gate(gate),
      m_buffer(std::make_unique<std::array<kj::byte, kBufferBytes>>()) {}

size_t BufferedStream::TakeBuffered(kj::byte* out, size_t most) {
  const size_t taken = std::min(most, m_end - m_begin);
  std::memcpy(out, m_buffer->data() + m_begin, taken);
  m_begin += taken;
  return taken;
}

kj::Promise<size_t> BufferedStream::tryRead(void* buffer,
                                            size_t least,
                                            size_t most) {
  auto* out = static_cast<kj::byte*>(buffer);
  const size_t taken = TakeBuffered(out, most);
  if (taken >= least) {
    return taken;
  }
  return ReadMore(out, taken, least, most);
}

kj::Promise<void> BufferedStream::Fill() {
  if (m_begin < m_end) {
    return kj::READY_NOW;
  }
  return m_inner->tryRead(m_buffer->data(), 1, kBufferBytes)
      .then([this](size_t read) {
        m_begin = 0;
        m_end = read;
        if (read > 0) {
          m_heard_at = std::chrono::steady_clock::now();
        }
        return TakeTurn();
      });
}

// What is larger than the buffer is read to its place.
kj::Promise<size_t> BufferedStream::ReadMore(kj::byte* out,
                                             size_t taken,
                                             size_t least,
                                             size_t most) {
  if (least - taken >= kBufferBytes) {
    return m_inner->tryRead(out + taken, least - taken, most - taken)
        .then([this, taken](size_t read) {
          m_heard_at = std::chrono::steady_clock::now();
          return TakeTurn().then([taken, read] { return taken + read; });
        });
  }
  return m_inner->tryRead(m_buffer->data(), 1, kBufferBytes)
      .then(
          [this, out, taken, least, most](size_t read) -> kj::Promise<size_t> {
            if (read == 0) {
              return taken;
            }
            m_heard_at = std::chrono::steady_clock::now();
            m_begin = 0;
            m_end = read;
            return TakeTurn().then(
                [this, out, taken, least, most]() -> kj::Promise<size_t> {
                  const size_t more = TakeBuffered(out + taken, most - taken);
                  if (taken + more >= least) {
                    return taken + more;
                  }
                  return ReadMore(out, taken + more, least, most);
                });
          });
}

kj::Promise<void> BufferedStream::TakeTurn() {
  if (m_gate == nullptr) {
    return kj::READY_NOW;
  }
  if (m_reads < kFreeReads) {
    ++m_reads;
    return kj::READY_NOW;
  }
  return m_gate->Enter();
}

kj::Promise<void> BufferedStream::write(const void* buffer, size_t size) {
  return m_inner->write(buffer, size);
}

kj::Promise<void> BufferedStream::write(
    kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) {
  return m_inner->write(pieces);
}

kj::Promise<void> BufferedStream::whenWriteDisconnected() {
  return m_inner->whenWriteDisconnected();
}

void BufferedStream::getsockopt(int level,
                                int option,
                                void* value,
                                kj::uint* size) {
  m_inner->getsockopt(level, option, value, size);
}

void BufferedStream::setsockopt(int level,
                                int option,
                                const void* value,
                                kj::uint size) {
  m_inner->setsockopt(level, option, value, size);
}

void BufferedStream::getsockname(struct sockaddr* address, kj::uint* size) {
  m_inner->getsockname(address, size);
}

void BufferedStream::getpeername(struct sockaddr* address, kj::uint* size) {
  m_inner->getpeername(address, size);
}

}  // namespace laurelhall::control
