#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "envelope_p.h"
#include "laurelhall/consensus/message.h"
#include "rpc_channel_p.h"

namespace laurelhall::control {

/// Sends consensus messages to the other members, one connection each, and as
/// answers to calls of theirs that are kept open for a moment.
///
/// @remarks Order is kept per peer while its connection lasts. Messages are
///   dropped when too much is under way or the peer cannot be reached; the
///   protocol recovers. On the loop's thread only.
class PeerLinks {
 public:
  using Messages = std::vector<consensus::Message>;
  using OnMessages = std::function<void(const Messages&)>;

  /// @param on_messages Takes what peers answer.
  PeerLinks(LoopContext loop,
            EnvelopeInfo envelope,
            std::shared_ptr<ConnectionFilter> filter,
            kj::TaskSet& tasks,
            OnMessages on_messages);

  /// Makes the members' addresses known; connections to others are dropped.
  void SetMembership(const consensus::Membership& membership);

  void Send(Messages messages);

  /// Keeps a peer's call open: the promise is fulfilled with what is sent to
  /// that peer next, or with nothing after a while.
  kj::Promise<Messages> Hold(const std::string& address);

  /// Ends calls that were kept open for long enough; to be called each tick.
  void ReleaseHeld();

  /// The channel to an address, for other calls.
  RpcChannel& ChannelTo(const std::string& address);

  const EnvelopeInfo& envelope() const { return m_envelope; }
  uint64_t sent() const { return m_sent; }
  uint64_t dropped() const { return m_dropped; }
  uint64_t bytes() const { return m_bytes; }

 private:
  struct Traffic {
    size_t calls = 0;
    size_t bytes = 0;
  };

  struct HeldCall {
    kj::Own<kj::PromiseFulfiller<Messages>> answer;
    SteadyTime since{};
  };

  void SendTo(const std::string& address, Messages messages);
  bool Answer(const std::string& address, size_t bytes, Messages& messages);

  LoopContext m_loop;
  EnvelopeInfo m_envelope;
  std::shared_ptr<ConnectionFilter> m_filter;
  kj::TaskSet& m_tasks;
  OnMessages m_on_messages;
  std::map<std::string, std::deque<HeldCall>> m_held;  // By address.
  std::map<consensus::NodeId, std::string> m_addresses;
  std::map<std::string, std::unique_ptr<RpcChannel>> m_channels;
  std::map<std::string, Traffic> m_traffic;  // Under way, by address.
  uint64_t m_sent = 0;
  uint64_t m_dropped = 0;
  uint64_t m_bytes = 0;
};

}  // namespace laurelhall::control
