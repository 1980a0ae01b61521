#include "message_wire_p.h"

#include <stdexcept>

#include "wire_p.h"

namespace laurelhall::control {

void WriteEnvelope(const EnvelopeInfo& info, proto::Envelope::Builder out) {
  out.setCluster(info.cluster);
  out.setSchemaVersion(kSchemaVersion);
  out.setKey(info.key);
  out.setSender(info.sender);
}

void CheckEnvelope(const EnvelopeInfo& own, proto::Envelope::Reader in) {
  if (ToString(in.getCluster()) != own.cluster) {
    throw std::runtime_error("refused: another cluster");
  }
  if (in.getSchemaVersion() != kSchemaVersion) {
    throw std::runtime_error("refused: another schema version");
  }
  if (ToString(in.getKey()) != own.key) {
    throw std::runtime_error("refused: wrong cluster key");
  }
}

void WriteMessage(const consensus::Message& message,
                  proto::RaftMessage::Builder out) {
  out.setKind(static_cast<uint8_t>(message.kind));
  out.setFrom(message.from.value);
  out.setTo(message.to.value);
  out.setTerm(message.term);
  out.setIndex(message.index);
  out.setLogTerm(message.log_term);
  out.setCommit(message.commit);
  out.setIsRejected(message.is_rejected);
  out.setIsTransfer(message.is_transfer);
  out.setHint(message.hint);
  out.setRound(message.round);
  auto entries = out.initEntries(message.entries.size());
  for (uint32_t i = 0; i < entries.size(); ++i) {
    const consensus::Entry& entry = message.entries[i];
    entries[i].setIndex(entry.index);
    entries[i].setTerm(entry.term);
    entries[i].setKind(static_cast<uint8_t>(entry.kind));
    entries[i].setPayload(ToData(entry.payload));
  }
  if (message.kind == consensus::MessageKind::kSnapshot) {
    const consensus::SnapshotMeta& meta = message.snapshot.meta;
    out.setSnapshotIndex(meta.index);
    out.setSnapshotTerm(meta.term);
    out.setSnapshotMembership(
        ToData(consensus::EncodeMembership(meta.membership)));
    out.setSnapshotData(ToData(message.snapshot.data));
  }
}

consensus::Message ReadMessage(proto::RaftMessage::Reader in) {
  consensus::Message message;
  if (in.getKind() >= static_cast<uint8_t>(consensus::MessageKind::kCount)) {
    throw std::invalid_argument("unknown kind of message");
  }
  message.kind = static_cast<consensus::MessageKind>(in.getKind());
  message.from.value = in.getFrom();
  message.to.value = in.getTo();
  message.term = in.getTerm();
  message.index = in.getIndex();
  message.log_term = in.getLogTerm();
  message.commit = in.getCommit();
  message.is_rejected = in.getIsRejected();
  message.is_transfer = in.getIsTransfer();
  message.hint = in.getHint();
  message.round = in.getRound();
  for (const auto entry : in.getEntries()) {
    message.entries.push_back(
        {entry.getIndex(), entry.getTerm(),
         static_cast<consensus::EntryKind>(entry.getKind()),
         ToString(entry.getPayload())});
  }
  if (message.kind == consensus::MessageKind::kSnapshot) {
    message.snapshot.meta.index = in.getSnapshotIndex();
    message.snapshot.meta.term = in.getSnapshotTerm();
    message.snapshot.meta.membership =
        consensus::DecodeMembership(ToString(in.getSnapshotMembership()));
    message.snapshot.data = ToString(in.getSnapshotData());
  }
  return message;
}

}  // namespace laurelhall::control
