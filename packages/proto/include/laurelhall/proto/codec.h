#pragma once

#include <capnp/message.h>

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

#include "laurelhall.capnp.h"
#include "laurelhall/consensus/message.h"

// What the generated schema does not do: conversions to the types of the
// decision packages, the check of envelopes, and bounds on untrusted bytes.
namespace laurelhall::proto {

/// Raised with each change of the schema that an older process misreads.
inline constexpr uint32_t kSchemaVersion = 1;

/// The most that one message may make its reader go through, in words of 8
/// bytes; a snapshot travels in one message.
inline constexpr uint64_t kTraversalLimitWords = (256ULL << 20) / 8;

/// The deepest nesting of pointers that a message may have.
inline constexpr int kNestingLimit = 16;

/// The limits for every reader of untrusted bytes, RPC included.
capnp::ReaderOptions BoundedReaderOptions();

/// The bytes are not a message of this schema, or hold impossible values.
class DecodeError : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// What of an envelope differs from the receiver's own.
enum class EnvelopeField { kCluster, kSchemaVersion, kKey, kCount };

/// A call comes from another cluster, schema, or without the cluster's key.
class EnvelopeError : public std::runtime_error {
 public:
  EnvelopeError(EnvelopeField field, const std::string& text);

  EnvelopeField field() const { return m_field; }

 private:
  EnvelopeField m_field;
};

/// By what the processes of one cluster know one another.
struct Credentials {
  std::string cluster;
  std::string key;
};

/// Writes the envelope of a call. Thread-safe.
///
/// @param sender The sending daemon's name, for logs.
void FillEnvelope(const Credentials& own,
                  std::string_view sender,
                  Envelope::Builder envelope);

/// Checks a received envelope; the key in constant time. Thread-safe.
///
/// @throws EnvelopeError naming the first field that differs; its text never
///   holds a key. DecodeError when the envelope cannot be read.
void CheckEnvelope(const Credentials& own, Envelope::Reader envelope);

/// Writes a message of the log's protocol. Thread-safe.
void EncodeMessage(const consensus::Message& message,
                   RaftMessage::Builder builder);

/// Reads a message of the log's protocol. Thread-safe.
///
/// @throws DecodeError when a kind is unknown, entries do not follow one
///   another, the membership cannot be read, or a limit is passed.
consensus::Message DecodeMessage(RaftMessage::Reader reader);

/// A message as bytes on their own, outside of an RPC. Thread-safe.
std::string EncodeMessageBytes(const consensus::Message& message);

/// Reads EncodeMessageBytes()'s bytes, trusting none. Thread-safe.
///
/// @throws DecodeError, as DecodeMessage() does.
consensus::Message DecodeMessageBytes(std::string_view bytes);

}  // namespace laurelhall::proto
