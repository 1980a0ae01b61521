#pragma once

#include <capnp/capability.h>

#include <string>

#include "laurelhall/proto/codec.h"

namespace laurelhall::control {

/// Of an envelope and the frame of a call.
constexpr size_t kEnvelopeWords = 48;

/// Room for a message with so many bytes of its own, envelope included. Without
/// it each one clears 8 KB, which a leader of thousands of calls a second
/// spends more on than on what the calls ask for.
inline capnp::MessageSize RoomFor(size_t bytes) {
  return {kEnvelopeWords + bytes / sizeof(capnp::word), 0};
}

/// Of a message between peers, its entries left out.
constexpr size_t kMessageBytes = 160;

/// What this process writes into the envelope of each call.
struct EnvelopeInfo {
  proto::Credentials credentials;
  std::string sender;  ///< Inner address of a control host, name of an entry.

  void Fill(proto::Envelope::Builder envelope) const {
    proto::FillEnvelope(credentials, sender, envelope);
  }
};

}  // namespace laurelhall::control
