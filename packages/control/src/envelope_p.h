#pragma once

#include <string>

#include "laurelhall/proto/codec.h"

namespace laurelhall::control {

/// What this process writes into the envelope of each call.
struct EnvelopeInfo {
  proto::Credentials credentials;
  std::string sender;  ///< Inner address of a control host, name of an entry.

  void Fill(proto::Envelope::Builder envelope) const {
    proto::FillEnvelope(credentials, sender, envelope);
  }
};

}  // namespace laurelhall::control
