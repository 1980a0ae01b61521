#pragma once

#include <string>
#include <vector>

#include "laurelhall.capnp.h"
#include "laurelhall/control/control_client.h"
#include "leader_sync_p.h"

namespace laurelhall::control {

/// Paths of `operate` that no operator's request has: the scheduling's requests
/// in its own encoding, and the members' addresses, a line each, as any control
/// host knows them.
inline constexpr const char* kSchedulePath = "schedule";
inline constexpr const char* kMembersPath = "members";
inline constexpr const char* kClaimPath = "claim";

/// Turns a text of the protocol into a string.
inline std::string ToString(capnp::Text::Reader text) {
  return {text.cStr(), text.size()};
}

/// Turns bytes of the protocol into a string.
inline std::string ToString(capnp::Data::Reader data) {
  return {reinterpret_cast<const char*>(data.begin()), data.size()};
}

/// Views a string as bytes for the protocol; valid as long as the string.
inline capnp::Data::Reader ToData(const std::string& bytes) {
  return {reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()};
}

/// Writes what an entry host asks for.
void WriteSyncQuestion(const SyncQuestion& question,
                       proto::SyncRequest::Builder out);

/// Reads it back; throws std::exception on malformed parts.
SyncQuestion ReadSyncQuestion(proto::SyncRequest::Reader in);

/// Writes the leader's answer.
void WriteSyncAnswer(const SyncAnswer& answer, proto::SyncReply::Builder out);

/// Reads it back; throws std::exception on malformed parts.
SyncAnswer ReadSyncAnswer(proto::SyncReply::Reader in);

/// Writes one command's result as JSON text with its kind.
std::string EncodeResult(const state::Result& result);

/// Reads EncodeResult()'s text; throws std::exception on anything else.
state::Result DecodeResult(const std::string& text);

}  // namespace laurelhall::control
