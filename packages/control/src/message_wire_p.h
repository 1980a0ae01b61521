#pragma once

#include <string>

#include "laurelhall.capnp.h"
#include "laurelhall/consensus/message.h"

namespace laurelhall::control {

/// What stands in each call's envelope.
struct EnvelopeInfo {
  std::string cluster;
  std::string key;
  std::string sender;
};

constexpr uint32_t kSchemaVersion = 1;

void WriteEnvelope(const EnvelopeInfo& info, proto::Envelope::Builder out);

/// Throws std::runtime_error naming what does not fit.
void CheckEnvelope(const EnvelopeInfo& own, proto::Envelope::Reader in);

void WriteMessage(const consensus::Message& message,
                  proto::RaftMessage::Builder out);
consensus::Message ReadMessage(proto::RaftMessage::Reader in);

}  // namespace laurelhall::control
