#include "peer_links_p.h"

#include <utility>

#include "laurelhall/base/work_meter.h"

namespace laurelhall::control {

namespace {

constexpr size_t kMaxCalls = 64;
constexpr size_t kMaxBytes = 32 << 20;
constexpr Millis kCallTimeout = std::chrono::seconds(2);
// A snapshot takes longer: so many bytes a millisecond are expected at least.
constexpr size_t kSlowestBytesPerMilli = 5'000;
constexpr size_t kMessageOverhead = 128;
// How long a peer's call waits for something to say: a sync of 9 ms and its
// turn. Slower disks answer by a call of their own.
constexpr Millis kHold{40};
// More than this goes by a call of its own, whose timeout counts its bytes.
constexpr size_t kMaxAnswerBytes = 64 << 10;

size_t BytesOf(const std::vector<consensus::Message>& messages) {
  size_t bytes = 0;
  for (const consensus::Message& message : messages) {
    bytes += kMessageOverhead + message.snapshot.data.size();
    for (const consensus::Entry& entry : message.entries) {
      bytes += kMessageOverhead / 4 + entry.payload.size();
    }
  }
  return bytes;
}

}  // namespace

PeerLinks::PeerLinks(LoopContext loop,
                     EnvelopeInfo envelope,
                     std::shared_ptr<ConnectionFilter> filter,
                     kj::TaskSet& tasks,
                     OnMessages on_messages)
    : m_loop(std::move(loop)),
      m_envelope(std::move(envelope)),
      m_filter(std::move(filter)),
      m_tasks(tasks),
      m_on_messages(std::move(on_messages)) {}

void PeerLinks::SetMembership(const consensus::Membership& membership) {
  m_addresses.clear();
  for (const auto& [id, member] : membership.members) {
    m_addresses[id] = member.address;
  }
}

void PeerLinks::Send(std::vector<consensus::Message> messages) {
  std::map<std::string, std::vector<consensus::Message>> by_address;
  for (consensus::Message& message : messages) {
    const auto found = m_addresses.find(message.to);
    if (found != m_addresses.end()) {
      by_address[found->second].push_back(std::move(message));
    }
  }
  for (auto& [address, group] : by_address) {
    SendTo(address, std::move(group));
  }
}

RpcChannel& PeerLinks::ChannelTo(const std::string& address) {
  auto& channel = m_channels[address];
  if (!channel) {
    channel = std::make_unique<RpcChannel>(m_loop, address, m_filter);
  }
  return *channel;
}

kj::Promise<PeerLinks::Messages> PeerLinks::Hold(const std::string& address) {
  auto pair = kj::newPromiseAndFulfiller<Messages>();
  m_held[address].push_back(
      {kj::mv(pair.fulfiller), std::chrono::steady_clock::now()});
  return kj::mv(pair.promise);
}

void PeerLinks::ReleaseHeld() {
  const SteadyTime now = std::chrono::steady_clock::now();
  for (auto& [address, calls] : m_held) {
    while (!calls.empty() && now - calls.front().since >= kHold) {
      calls.front().answer->fulfill({});
      calls.pop_front();
    }
  }
}

// The oldest call that its peer still waits for takes the messages.
bool PeerLinks::Answer(const std::string& address,
                       size_t bytes,
                       Messages& messages) {
  const auto held = m_held.find(address);
  if (held == m_held.end() || bytes > kMaxAnswerBytes) {
    return false;
  }
  while (!held->second.empty()) {
    HeldCall call = kj::mv(held->second.front());
    held->second.pop_front();
    if (call.answer->isWaiting()) {
      m_sent += messages.size();
      m_bytes += bytes;
      call.answer->fulfill(std::move(messages));
      return true;
    }
  }
  return false;
}

void PeerLinks::SendTo(const std::string& address, Messages messages) {
  const DutyTimer timer(Duty::kPeerSend);
  const size_t bytes = BytesOf(messages);
  if (Answer(address, bytes, messages)) {
    return;
  }
  Traffic& traffic = m_traffic[address];
  const bool is_full = traffic.calls >= kMaxCalls ||
                       (traffic.calls > 0 && traffic.bytes + bytes > kMaxBytes);
  if (is_full) {
    m_dropped += messages.size();
    return;
  }
  ++traffic.calls;
  traffic.bytes += bytes;
  m_sent += messages.size();
  m_bytes += bytes;
  const auto ended = [this, address, bytes] {
    --m_traffic[address].calls;
    m_traffic[address].bytes -= bytes;
  };
  const size_t room = bytes + messages.size() * kMessageBytes;
  auto call = [this, room, messages = std::move(messages)](
                  proto::ControlHost::Client& client) -> kj::Promise<void> {
    auto request = client.stepRequest(RoomFor(room));
    m_envelope.Fill(request.initEnvelope());
    request.setTakesAnswer(true);
    auto out = request.initMessages(messages.size());
    for (uint32_t i = 0; i < out.size(); ++i) {
      proto::EncodeMessage(messages[i], out[i]);
    }
    return request.send().then([this](auto&& response) {
      Messages answered;
      for (const auto message : response.getMessages()) {
        answered.push_back(proto::DecodeMessage(message));
      }
      if (!answered.empty()) {
        m_on_messages(answered);
      }
    });
  };
  const Millis timeout = kCallTimeout + Millis(bytes / kSlowestBytesPerMilli);
  m_tasks.add(
      ChannelTo(address)
          .Run(timeout, kj::mv(call))
          .then([ended] { ended(); }, [ended](kj::Exception&&) { ended(); }));
}

}  // namespace laurelhall::control
