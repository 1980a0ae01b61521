#include "laurelhall/proto/codec.h"

#include <capnp/serialize.h>
#include <kj/exception.h>

#include <cstring>
#include <exception>
#include <utility>

namespace laurelhall::proto {
namespace {

constexpr size_t kShownBytes = 64;  // Of untrusted text in an error.

std::string_view View(capnp::Text::Reader text) {
  return {text.begin(), text.size()};
}

std::string Copy(capnp::Data::Reader data) {
  return {reinterpret_cast<const char*>(data.begin()), data.size()};
}

capnp::Data::Reader ToData(std::string_view bytes) {
  return {reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()};
}

/// Takes as long for each text of a length; tells the length alone.
bool IsEqualInConstantTime(std::string_view own, std::string_view received) {
  if (own.size() != received.size()) {
    return false;
  }
  volatile unsigned char difference = 0;
  for (size_t i = 0; i < own.size(); ++i) {
    difference = difference | static_cast<unsigned char>(own[i] ^ received[i]);
  }
  return difference == 0;
}

/// Runs a step that reads untrusted bytes; each error becomes a DecodeError.
template <typename Step>
auto Decode(const Step& step) {
  try {
    return step();
  } catch (const kj::Exception& error) {
    throw DecodeError(std::string("message cannot be read: ") +
                      error.getDescription().cStr());
  } catch (const std::invalid_argument& error) {
    throw DecodeError(std::string("membership cannot be read: ") +
                      error.what());
  }
}

template <typename Kind>
Kind DecodeKind(uint8_t value, const char* what) {
  if (value >= static_cast<uint8_t>(Kind::kCount)) {
    throw DecodeError(std::string(what) + " " + std::to_string(value) +
                      " is unknown");
  }
  return static_cast<Kind>(value);
}

consensus::Entry DecodeEntry(LogEntry::Reader reader) {
  consensus::Entry entry;
  entry.index = reader.getIndex();
  entry.term = reader.getTerm();
  entry.kind = DecodeKind<consensus::EntryKind>(reader.getKind(), "entry kind");
  entry.payload = Copy(reader.getPayload());
  return entry;
}

std::vector<consensus::Entry> DecodeEntries(
    capnp::List<LogEntry>::Reader reader) {
  std::vector<consensus::Entry> entries;
  for (const LogEntry::Reader item : reader) {
    entries.push_back(DecodeEntry(item));
    const size_t count = entries.size();
    if (count > 1 && entries[count - 1].index != entries[count - 2].index + 1) {
      throw DecodeError("entries do not follow one another");
    }
  }
  return entries;
}

consensus::Snapshot DecodeSnapshot(RaftMessage::Reader reader) {
  consensus::Snapshot snapshot;
  snapshot.meta.index = reader.getSnapshotIndex();
  snapshot.meta.term = reader.getSnapshotTerm();
  if (reader.hasSnapshotMembership()) {
    snapshot.meta.membership =
        consensus::DecodeMembership(Copy(reader.getSnapshotMembership()));
  }
  snapshot.data = Copy(reader.getSnapshotData());
  return snapshot;
}

consensus::Message DecodeUnchecked(RaftMessage::Reader reader) {
  consensus::Message message;
  message.kind =
      DecodeKind<consensus::MessageKind>(reader.getKind(), "message kind");
  message.from.value = reader.getFrom();
  message.to.value = reader.getTo();
  message.term = reader.getTerm();
  message.index = reader.getIndex();
  message.log_term = reader.getLogTerm();
  message.commit = reader.getCommit();
  message.is_rejected = reader.getIsRejected();
  message.is_transfer = reader.getIsTransfer();
  message.hint = reader.getHint();
  message.round = reader.getRound();
  message.entries = DecodeEntries(reader.getEntries());
  message.snapshot = DecodeSnapshot(reader);
  return message;
}

void EncodeEntries(const std::vector<consensus::Entry>& entries,
                   RaftMessage::Builder builder) {
  capnp::List<LogEntry>::Builder list =
      builder.initEntries(static_cast<unsigned>(entries.size()));
  for (unsigned i = 0; i < list.size(); ++i) {
    list[i].setIndex(entries[i].index);
    list[i].setTerm(entries[i].term);
    list[i].setKind(static_cast<uint8_t>(entries[i].kind));
    list[i].setPayload(ToData(entries[i].payload));
  }
}

std::string Quoted(std::string_view text) {
  return "'" + std::string(text.substr(0, kShownBytes)) + "'";
}

}  // namespace

EnvelopeError::EnvelopeError(EnvelopeField field, const std::string& text)
    : std::runtime_error(text), m_field(field) {}

capnp::ReaderOptions BoundedReaderOptions() {
  capnp::ReaderOptions options;
  options.traversalLimitInWords = kTraversalLimitWords;
  options.nestingLimit = kNestingLimit;
  return options;
}

void FillEnvelope(const Credentials& own,
                  std::string_view sender,
                  Envelope::Builder envelope) {
  envelope.setCluster(own.cluster);
  envelope.setSchemaVersion(kSchemaVersion);
  envelope.setKey(own.key);
  envelope.setSender(std::string(sender));
}

void CheckEnvelope(const Credentials& own, Envelope::Reader envelope) {
  Decode([&] {
    const std::string_view cluster = View(envelope.getCluster());
    if (cluster != own.cluster) {
      throw EnvelopeError(EnvelopeField::kCluster,
                          "cluster is " + Quoted(cluster) + ", expected " +
                              Quoted(own.cluster));
    }
    const uint32_t version = envelope.getSchemaVersion();
    if (version != kSchemaVersion) {
      throw EnvelopeError(EnvelopeField::kSchemaVersion,
                          "schema version is " + std::to_string(version) +
                              ", expected " + std::to_string(kSchemaVersion));
    }
    if (!IsEqualInConstantTime(own.key, View(envelope.getKey()))) {
      throw EnvelopeError(EnvelopeField::kKey, "cluster key differs");
    }
  });
}

void EncodeMessage(const consensus::Message& message,
                   RaftMessage::Builder builder) {
  builder.setKind(static_cast<uint8_t>(message.kind));
  builder.setFrom(message.from.value);
  builder.setTo(message.to.value);
  builder.setTerm(message.term);
  builder.setIndex(message.index);
  builder.setLogTerm(message.log_term);
  builder.setCommit(message.commit);
  builder.setIsRejected(message.is_rejected);
  builder.setIsTransfer(message.is_transfer);
  builder.setHint(message.hint);
  builder.setRound(message.round);
  if (!message.entries.empty()) {
    EncodeEntries(message.entries, builder);
  }
  const consensus::Snapshot& snapshot = message.snapshot;
  builder.setSnapshotIndex(snapshot.meta.index);
  builder.setSnapshotTerm(snapshot.meta.term);
  if (snapshot.meta.index != 0) {
    builder.setSnapshotMembership(
        ToData(consensus::EncodeMembership(snapshot.meta.membership)));
    builder.setSnapshotData(ToData(snapshot.data));
  }
}

consensus::Message DecodeMessage(RaftMessage::Reader reader) {
  return Decode([&] { return DecodeUnchecked(reader); });
}

std::string EncodeMessageBytes(const consensus::Message& message) {
  capnp::MallocMessageBuilder builder;
  EncodeMessage(message, builder.initRoot<RaftMessage>());
  const kj::Array<capnp::word> words = capnp::messageToFlatArray(builder);
  const kj::ArrayPtr<const kj::byte> bytes = words.asBytes();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

consensus::Message DecodeMessageBytes(std::string_view bytes) {
  if (bytes.size() % sizeof(capnp::word) != 0) {
    throw DecodeError("message is not a whole number of words");
  }
  kj::Array<capnp::word> words =
      kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
  std::memcpy(words.asBytes().begin(), bytes.data(), bytes.size());
  return Decode([&] {
    capnp::FlatArrayMessageReader reader(words.asPtr(), BoundedReaderOptions());
    return DecodeUnchecked(reader.getRoot<RaftMessage>());
  });
}

}  // namespace laurelhall::proto
