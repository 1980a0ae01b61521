#include "rpc_message_stream_p.h"

#include <capnp/rpc.capnp.h>
#include <capnp/serialize.h>

#include <array>
#include <bit>
#include <cstdint>
#include <cstring>
#include <utility>

#include "loop_thread_p.h"

namespace laurelhall::control {

namespace {

using capnp::word;

// Those that may wait are smaller: a header, and some words.
constexpr size_t kMaxWaitingMessageWords = 16;
// A connection on which so much waits is written to at once.
constexpr size_t kMaxWaitingBytes = 4'096;

/// A message of one segment.
class OneSegmentReader final : public capnp::MessageReader {
 public:
  OneSegmentReader(kj::Array<word> segment, capnp::ReaderOptions options)
      : MessageReader(options), m_segment(kj::mv(segment)) {}

  kj::ArrayPtr<const word> getSegment(kj::uint id) override {
    return id == 0 ? kj::ArrayPtr<const word>(m_segment.asPtr()) : nullptr;
  }

 private:
  const kj::Array<word> m_segment;
};

}  // namespace

RpcMessageStream::RpcMessageStream(kj::Own<kj::AsyncIoStream> inner,
                                   kj::Timer& timer,
                                   TurnGate* gate)
    : m_timer(timer), m_bytes(kj::mv(inner), gate), m_tasks(*this) {}

void RpcMessageStream::taskFailed(kj::Exception&& exception) {
  // The next message fails with it, and with that the connection.
  m_is_writing = false;
  m_error = kj::mv(exception);
}

// The head of a message of one segment: a zero, and its size in words.
kj::Maybe<kj::Own<capnp::MessageReader>> RpcMessageStream::TakeWhole(
    capnp::ReaderOptions options) {
  static_assert(std::endian::native == std::endian::little);
  const kj::ArrayPtr<const kj::byte> buffered = m_bytes.buffered();
  std::array<uint32_t, 2> head{};
  if (buffered.size() < sizeof(head)) {
    return nullptr;
  }
  std::memcpy(head.data(), buffered.begin(), sizeof(head));
  const auto [segments_less_one, words] = head;
  const size_t bytes = size_t{words} * sizeof(word);
  if (segments_less_one != 0 || buffered.size() - sizeof(head) < bytes) {
    return nullptr;
  }
  auto segment = kj::heapArray<word>(words);
  std::memcpy(segment.begin(), buffered.begin() + sizeof(head), bytes);
  m_bytes.Skip(sizeof(head) + bytes);
  return kj::Own<capnp::MessageReader>(
      kj::heap<OneSegmentReader>(kj::mv(segment), options));
}

kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>>
RpcMessageStream::tryReadMessage(kj::ArrayPtr<kj::AutoCloseFd> fd_space,
                                 capnp::ReaderOptions options,
                                 kj::ArrayPtr<word> scratch_space) {
  KJ_IF_MAYBE (whole, TakeWhole(options)) {
    return kj::Maybe(capnp::MessageReaderAndFds{kj::mv(*whole), nullptr});
  }
  return m_bytes.Fill().then(
      [this, fd_space, options,
       scratch_space]() -> kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>> {
        KJ_IF_MAYBE (whole, TakeWhole(options)) {
          return kj::Maybe(capnp::MessageReaderAndFds{kj::mv(*whole), nullptr});
        }
        // It is larger than the buffer, comes in parts or has several segments.
        return m_messages.tryReadMessage(fd_space, options, scratch_space);
      });
}

bool RpcMessageStream::MayWait(Segments segments) {
  if (segments.size() != 1 || segments[0].size() > kMaxWaitingMessageWords) {
    return false;
  }
  capnp::SegmentArrayMessageReader reader(segments);
  const auto message = reader.getRoot<capnp::rpc::Message>();
  return message.isFinish() || message.isRelease();
}

void RpcMessageStream::Append(Segments segments) {
  const size_t begin = m_waiting.size();
  const size_t size =
      capnp::computeSerializedSizeInWords(segments) * sizeof(word);
  m_waiting.resize(begin + size);
  kj::ArrayOutputStream out(kj::arrayPtr(m_waiting.data() + begin, size));
  capnp::writeMessage(out, segments);
}

kj::Promise<void> RpcMessageStream::writeMessage(kj::ArrayPtr<const int>,
                                                 Segments segments) {
  KJ_IF_MAYBE (error, m_error) {
    return kj::cp(*error);
  }
  Append(segments);
  if (MayWait(segments) && m_waiting.size() < kMaxWaitingBytes) {
    FlushLater();
    return kj::READY_NOW;
  }
  return Flush();
}

kj::Promise<void> RpcMessageStream::writeMessages(
    kj::ArrayPtr<kj::ArrayPtr<const kj::ArrayPtr<const word>>> messages) {
  for (const auto& segments : messages) {
    Append(segments);
  }
  return Flush();
}

// What is being written takes along what waits when it is done.
kj::Promise<void> RpcMessageStream::Flush() {
  if (m_is_writing || m_waiting.empty()) {
    return kj::READY_NOW;
  }
  m_is_writing = true;
  auto written = kj::heap(std::exchange(m_waiting, {}));
  auto done = m_bytes.write(written->data(), written->size());
  return done.attach(kj::mv(written)).then([this]() -> kj::Promise<void> {
    m_is_writing = false;
    return Flush();
  });
}

void RpcMessageStream::FlushLater() {
  if (m_is_flush_due) {
    return;
  }
  m_is_flush_due = true;
  m_tasks.add(
      m_timer.afterDelay(ToKj(kMaxWait)).then([this]() -> kj::Promise<void> {
        m_is_flush_due = false;
        return Flush();
      }));
}

kj::Promise<void> RpcMessageStream::end() {
  return Flush().then([this] { m_bytes.shutdownWrite(); });
}

}  // namespace laurelhall::control
